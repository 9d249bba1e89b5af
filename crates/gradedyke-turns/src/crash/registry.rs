//! The registry of a process: which requests have cost which servers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::{
    Fingerprint, MAX_ENDED_SERVERS, MIN_REFUSAL_RETENTION, MIN_SUSPECT_RETENTION, Report, Run,
    Scope, ServerKey, State,
};

/// Maximum number of requests in a registry, some 200 bytes each.
const MAX_REQUESTS: usize = 8_192;
/// Part of the requests that is dropped when the registry is full.
const DROPPED_PART: usize = MAX_REQUESTS / 4;
/// Maximum number of runs of a request with the same prior. More of them change no count.
const MAX_RUNS_OF_PRIOR: usize = 4;
/// Largest prior that is stored.
const MAX_PRIOR: u8 = MAX_ENDED_SERVERS + 1;
/// Maximum time for which a request is remembered, whatever a report says.
const MAX_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Interval between removals of expired requests.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A request in the registry.
#[derive(Clone, Debug)]
struct Request {
    runs: Vec<Run>,
    keep: Duration,
    /// The last end or return.
    last_seen: Instant,
    /// Sequence number of the last change.
    change: u64,
}

impl Request {
    fn is_cleared(&self) -> bool {
        self.runs.iter().all(|run| run.state == State::Cleared)
    }
}

/// A request with what is counted for it, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of servers that count.
    pub count: u8,
    /// Number of servers that ended under it.
    pub ended: usize,
    /// Time since the last end or return.
    pub age: Duration,
}

#[derive(Debug, Default)]
struct Table {
    requests: HashMap<Fingerprint, Request>,
    /// Requests in the order of their last change.
    changes: BTreeMap<u64, Fingerprint>,
    /// Requests by the servers that ended under them.
    by_server: HashMap<ServerKey, BTreeSet<Fingerprint>>,
    last_change: u64,
    expired_at: Option<Instant>,
}

/// The requests under which servers ended, as far as this process knows.
#[derive(Debug)]
pub struct Registry {
    /// Random ID of this process's incarnation.
    boot: u64,
    table: Mutex<Table>,
    changed: watch::Sender<u64>,
    /// Whether enough other processes have told what they know.
    synced: watch::Sender<bool>,
    /// Sequence number of the last change that is on disk.
    saved: watch::Sender<u64>,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            boot: rand::random(),
            table: Mutex::default(),
            changed: watch::Sender::new(0),
            synced: watch::Sender::new(false),
            saved: watch::Sender::new(0),
        }
    }
}

impl Registry {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Random ID of the process's incarnation.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns a receiver of the sequence number of the last change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns a receiver of whether enough other processes have told what they know.
    pub fn subscribe_synced(&self) -> watch::Receiver<bool> {
        self.synced.subscribe()
    }

    /// Records that enough other processes have told what they know, or cannot.
    pub(super) fn set_synced(&self) {
        self.synced
            .send_if_modified(|synced| !std::mem::replace(synced, true));
    }

    /// Records that all changes up to this sequence number are on disk.
    pub(crate) fn set_saved(&self, change: u64) {
        self.saved.send_replace(change);
    }

    /// Waits until all changes so far are on disk.
    pub(crate) async fn wait_until_saved(&self) {
        let change = *self.changed.borrow();
        // Fails only if the registry is dropped.
        let _ = self
            .saved
            .subscribe()
            .wait_for(|saved| *saved >= change)
            .await;
    }

    /// Whether nothing is known, so that no request needs to be recognized.
    pub fn is_empty(&self) -> bool {
        *self.changed.borrow() == 0 || self.lock().requests.is_empty()
    }

    /// Merges reports. Returns whether any of them was new.
    ///
    /// ```
    /// use gradedyke_turns::crash::{Fingerprint, Registry, Report, Run, Scope, ServerKey, State};
    /// use gradedyke_turns::record::Id;
    ///
    /// let now = tokio::time::Instant::now();
    /// let fingerprint = Fingerprint::new(Scope::Program, &[Some(b"say")]);
    /// let registry = Registry::default();
    /// for (prior, server) in ["a", "b", "c"].into_iter().enumerate() {
    ///     let server = ServerKey::from(&Id::parse(server).unwrap());
    ///     let run = Run { server, prior: prior as u8, state: State::Ended };
    ///     let report = Report { fingerprint, runs: vec![run], keep_ms: 0, age_ms: 0 };
    ///     assert!(registry.merge(&[report.clone()], now));
    ///     assert!(!registry.merge(&[report], now));
    /// }
    /// assert_eq!(registry.count(fingerprint, now), 3);
    /// registry.clear(fingerprint, now);
    /// assert_eq!(registry.count(fingerprint, now), 0);
    /// ```
    pub fn merge(&self, reports: &[Report], now: Instant) -> bool {
        let mut table = self.lock();
        table.remove_expired(now);
        let mut is_new = false;
        for report in reports {
            is_new |= table.merge(report, now);
        }
        let change = table.last_change;
        drop(table);
        if is_new {
            self.changed.send_replace(change);
        }
        is_new
    }

    /// Number of servers that count for a request; 0 if it is unknown.
    pub fn count(&self, fingerprint: Fingerprint, now: Instant) -> u8 {
        let table = self.lock();
        match table.requests.get(&fingerprint) {
            Some(request) if !table.is_expired(fingerprint, request, now) => {
                table.count(fingerprint, request)
            }
            _ => 0,
        }
    }

    /// Position of a request among those that ran at the same server when it ended, so that they
    /// can be sent to different ones; `None` if no server counts for it.
    pub fn rank(&self, fingerprint: Fingerprint) -> Option<usize> {
        let table = self.lock();
        let runs = &table.requests.get(&fingerprint)?.runs;
        let last = runs.iter().rfind(|run| run.state == State::Ended)?;
        let together = table.by_server.get(&last.server)?;
        let same_scope = together.iter().filter(|f| f.scope() == fingerprint.scope());
        same_scope.into_iter().position(|f| *f == fingerprint)
    }

    /// Records that a request has completed or that an operator clears it. Returns the report for
    /// other processes, if anything has changed.
    pub fn clear(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let mut table = self.lock();
        let request = table.requests.get(&fingerprint)?;
        if request.is_cleared() {
            return None;
        }
        let mut report = request.report(fingerprint, now);
        for run in &mut report.runs {
            run.state = State::Cleared;
        }
        table.merge(&report, now);
        let change = table.last_change;
        drop(table);
        self.changed.send_replace(change);
        Some(report)
    }

    /// Records that a caller came back with a refused request. Returns the report for other
    /// processes if they should remember the request longer.
    pub fn record_return(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let mut table = self.lock();
        let request = table.requests.get(&fingerprint)?;
        let count = table.count(fingerprint, request);
        let elapsed = now.saturating_duration_since(request.last_seen);
        // Each return would be a report otherwise.
        if elapsed < request.retention(count) / 4 {
            return None;
        }
        let mut report = request.report(fingerprint, now);
        report.age_ms = 0;
        table.merge(&report, now);
        let change = table.last_change;
        drop(table);
        self.changed.send_replace(change);
        Some(report)
    }

    /// Forgets requests whose callers cannot return any more.
    pub fn remove_expired(&self, now: Instant) {
        self.lock().remove_expired(now);
    }

    /// All requests that are known and not cleared.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        let table = self.lock();
        let known = table.requests.iter();
        let known = known.filter(|(f, r)| !r.is_cleared() && !table.is_expired(**f, r, now));
        let entry = |(fingerprint, request): (&Fingerprint, &Request)| Entry {
            fingerprint: *fingerprint,
            count: table.count(*fingerprint, request),
            ended: request.runs.len(),
            age: now.saturating_duration_since(request.last_seen),
        };
        known.map(entry).collect()
    }

    /// Returns up to `limit` requests that changed after the sequence number `after`, and the
    /// sequence number to continue from.
    pub fn changed_since(&self, after: u64, limit: usize, now: Instant) -> (Vec<Report>, u64) {
        let table = self.lock();
        let mut next = after;
        let mut reports = Vec::new();
        for (change, fingerprint) in table.changes.range(after + 1..).take(limit) {
            next = *change;
            if let Some(request) = table.requests.get(fingerprint) {
                reports.push(request.report(*fingerprint, now));
            }
        }
        (reports, next)
    }
}

impl Request {
    fn report(&self, fingerprint: Fingerprint, now: Instant) -> Report {
        let ms = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        Report {
            fingerprint,
            runs: self.runs.clone(),
            keep_ms: ms(self.keep),
            age_ms: ms(now.saturating_duration_since(self.last_seen)),
        }
    }

    /// How long the request is remembered if `count` servers count for it.
    fn retention(&self, count: u8) -> Duration {
        let minimum = if count >= MAX_ENDED_SERVERS {
            MIN_REFUSAL_RETENTION
        } else {
            MIN_SUSPECT_RETENTION
        };
        self.keep.max(minimum).min(MAX_RETENTION)
    }

    /// Adds a run, or raises its prior and state. Returns whether that changed anything.
    fn merge_run(&mut self, run: Run) -> bool {
        if let Some(known) = self.runs.iter_mut().find(|r| r.server == run.server) {
            let merged = Run {
                prior: known.prior.max(run.prior),
                state: known.state.max(run.state),
                ..*known
            };
            return std::mem::replace(known, merged) != merged;
        }
        let same_prior = self.runs.iter().filter(|r| r.prior == run.prior).count();
        if same_prior >= MAX_RUNS_OF_PRIOR {
            return false;
        }
        self.runs.push(run);
        true
    }
}

impl Table {
    fn merge(&mut self, report: &Report, now: Instant) -> bool {
        let fingerprint = report.fingerprint;
        let age = Duration::from_millis(report.age_ms.into());
        let seen = now.checked_sub(age).unwrap_or(now);
        let is_known = self.requests.contains_key(&fingerprint);
        if !is_known && !self.has_room(now) {
            return false;
        }
        let request = self.requests.entry(fingerprint).or_insert_with(|| Request {
            runs: Vec::new(),
            keep: Duration::ZERO,
            last_seen: seen,
            change: 0,
        });
        let mut is_new = !is_known;
        let keep = Duration::from_millis(report.keep_ms.into());
        request.keep = request.keep.max(keep);
        // Reports are passed on for as long as they make a difference of seconds.
        if seen > request.last_seen + EXPIRY_INTERVAL {
            request.last_seen = seen;
            is_new = true;
        }
        for run in &report.runs {
            let prior = run.prior.min(MAX_PRIOR);
            if request.merge_run(Run { prior, ..*run }) {
                self.by_server
                    .entry(run.server)
                    .or_default()
                    .insert(fingerprint);
                is_new = true;
            }
        }
        if is_new {
            self.last_change += 1;
            self.changes.remove(&request.change);
            request.change = self.last_change;
            self.changes.insert(self.last_change, fingerprint);
        }
        is_new
    }

    /// The largest prior of the requests of a scope that ran at a server when it ended.
    fn max_prior(&self, server: ServerKey, scope: Scope) -> u8 {
        let fingerprints = self.by_server.get(&server).into_iter().flatten();
        let requests = fingerprints.filter(|f| f.scope() == scope);
        let requests = requests.filter_map(|f| self.requests.get(f));
        let runs = requests.flat_map(|r| &r.runs);
        let priors = runs.filter(|run| run.server == server).map(|run| run.prior);
        priors.max().unwrap_or_default()
    }

    /// Number of servers that count for a request.
    fn count(&self, fingerprint: Fingerprint, request: &Request) -> u8 {
        let scope = fingerprint.scope();
        let ended = request.runs.iter().filter(|run| run.state == State::Ended);
        let count = match scope {
            Scope::Program => ended.count(),
            Scope::Content => {
                let explains = |run: &&Run| run.prior >= self.max_prior(run.server, scope);
                let priors: BTreeSet<u8> = ended.filter(explains).map(|run| run.prior).collect();
                priors.len()
            }
        };
        u8::try_from(count).unwrap_or(u8::MAX)
    }

    fn is_expired(&self, fingerprint: Fingerprint, request: &Request, now: Instant) -> bool {
        let retention = request.retention(self.count(fingerprint, request));
        now.saturating_duration_since(request.last_seen) > retention
    }

    /// Whether there is room for another request. If the registry is full, drops requests that are
    /// not refused, those first that were not seen for the longest time.
    fn has_room(&mut self, now: Instant) -> bool {
        if self.requests.len() < MAX_REQUESTS {
            return true;
        }
        let refused = |(f, r): &(&Fingerprint, &Request)| self.count(**f, r) >= MAX_ENDED_SERVERS;
        let others = self.requests.iter().filter(|entry| !refused(entry));
        let mut others: Vec<(Instant, Fingerprint)> =
            others.map(|(f, r)| (r.last_seen, *f)).collect();
        others.sort_unstable();
        others.truncate(DROPPED_PART);
        tracing::warn!(
            event = "crash_registry_full",
            requests = self.requests.len(),
            dropped = others.len(),
            remedy = "find out why so many servers end"
        );
        for (_, fingerprint) in others {
            self.remove(fingerprint);
        }
        self.expired_at = Some(now);
        self.requests.len() < MAX_REQUESTS
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EXPIRY_INTERVAL;
        if !self.expired_at.is_none_or(is_due) {
            return;
        }
        self.expired_at = Some(now);
        let requests = self.requests.iter();
        let expired = requests.filter(|(f, r)| self.is_expired(**f, r, now));
        let expired: Vec<Fingerprint> = expired.map(|(f, _)| *f).collect();
        for fingerprint in expired {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        let Some(request) = self.requests.remove(&fingerprint) else {
            return;
        };
        self.changes.remove(&request.change);
        for run in request.runs {
            if let Some(fingerprints) = self.by_server.get_mut(&run.server) {
                fingerprints.remove(&fingerprint);
                if fingerprints.is_empty() {
                    self.by_server.remove(&run.server);
                }
            }
        }
    }
}
