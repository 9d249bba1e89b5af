//! Recognizes requests under which backend servers ended, and refuses those that ended several.
//!
//! A run that broke off counts if its server ended with it: the server doesn't accept connections
//! any more, or its process is known to have been restarted, and it was not announced that it
//! leaves. All entries are told before the caller gets its answer.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gradedyke_turns::crash::{
    Fingerprint, MAX_ENDED_SERVERS, Registry, Report, Run, Scope, ServerKey, State,
};
use gradedyke_turns::quorum::Coordinator;
use tokio::time::Instant;

use super::call::Call;
use super::fingerprint::{self, Fingerprints};
use crate::fleet::{Choice, Fleet};

/// Longest time for which a caller's answer is held until other entries know of the end of a
/// server. A caller comes back after 100 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a server that accepts connections is watched: it may be a successor that was started
/// at once, which the directory tells later.
const RESTART_WATCH: Duration = Duration::from_secs(3);

/// Interval between updates of the gauges, which go through all known requests.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time after the start for which requests wait until most keepers have told what they know.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Recognizes requests under which backend servers ended.
pub struct Monitor {
    registry: Arc<Registry>,
    coordinator: Arc<Coordinator>,
    /// Reports that were not sent yet.
    pending: Mutex<Vec<Report>>,
    /// Held while reports are sent, so that those of a server's many requests go together.
    sending: tokio::sync::Mutex<()>,
    /// When requests no longer wait for the keepers' first reports.
    sync_deadline: Instant,
    /// When the gauges were last updated.
    gauges_at: Mutex<Instant>,
}

/// A run that broke off.
pub(super) struct BrokenRun<'a> {
    pub(super) call: &'a Call,
    pub(super) fingerprints: Fingerprints,
    pub(super) choice: &'a Choice,
    /// Number of servers that counted for the content when the request was sent.
    pub(super) prior: u8,
}

impl Monitor {
    /// Creates a monitor that shares what it observes through `coordinator`; `now` is the start of
    /// the process.
    pub fn new(coordinator: Arc<Coordinator>, now: Instant) -> Arc<Self> {
        Arc::new(Self {
            registry: coordinator.crashes().clone(),
            coordinator,
            pending: Mutex::default(),
            sending: tokio::sync::Mutex::default(),
            sync_deadline: now + SYNC_TIMEOUT,
            gauges_at: Mutex::new(now),
        })
    }

    /// Whether requests need not wait for what keepers know.
    pub(super) fn is_synced(&self, now: Instant) -> bool {
        now >= self.sync_deadline || *self.registry.subscribe_synced().borrow()
    }

    /// Waits until most keepers have told what they know, for a limited time after the start. A process
    /// that was restarted would send on what others refuse.
    pub(super) async fn wait_until_synced(&self, now: Instant) {
        if self.is_synced(now) {
            return;
        }
        let mut synced = self.registry.subscribe_synced();
        let told = synced.wait_for(|synced| *synced);
        // The requests are served in either case.
        let _ = tokio::time::timeout_at(self.sync_deadline, told).await;
    }

    /// Whether no request needs to be recognized.
    pub(super) fn is_idle(&self) -> bool {
        self.registry.is_empty()
    }

    /// Number of servers that count for the content of a request.
    pub(super) fn prior(&self, fingerprints: &Fingerprints, now: Instant) -> u8 {
        self.registry.count(fingerprints.content, now)
    }

    /// Number of servers that count for a request by any of its fingerprints.
    pub(super) fn ended(&self, fingerprints: &Fingerprints, now: Instant) -> u8 {
        let counts = fingerprints.iter().map(|f| self.registry.count(f, now));
        counts.max().unwrap_or_default()
    }

    /// Position of a suspect request among those that ran at the same server when it ended.
    pub(super) fn rank(&self, fingerprints: &Fingerprints) -> Option<usize> {
        let fingerprint = fingerprints.program.unwrap_or(fingerprints.content);
        self.registry.rank(fingerprint)
    }

    /// Whether a request is to be refused before its conversation is read.
    pub(super) fn refuses_call(self: &Arc<Self>, call: &Call, now: Instant) -> bool {
        if self.is_idle() {
            return false;
        }
        fingerprint::program(call).is_some_and(|f| self.refuses_one(call, f, now))
    }

    /// Whether a request is to be refused because it has ended too many servers.
    pub(super) fn refuses(
        self: &Arc<Self>,
        call: &Call,
        fingerprints: &Fingerprints,
        now: Instant,
    ) -> bool {
        let mut all = fingerprints.iter();
        all.any(|f| self.refuses_one(call, f, now))
    }

    fn refuses_one(self: &Arc<Self>, call: &Call, fingerprint: Fingerprint, now: Instant) -> bool {
        let ended = self.registry.count(fingerprint, now);
        if ended < MAX_ENDED_SERVERS {
            return false;
        }
        tracing::info!(event = "ends_servers", request = %call.id, %fingerprint, ended,
            limit = MAX_ENDED_SERVERS);
        if let Some(report) = self.registry.record_return(fingerprint, now) {
            self.send_in_background(vec![report]);
        }
        true
    }

    /// Counts a run that broke off, if its server ended. Returns when other entries know of it, or
    /// after a short time.
    pub(super) async fn record_broken_run(self: &Arc<Self>, fleet: &Fleet, run: BrokenRun<'_>) {
        let (call, choice) = (run.call, run.choice);
        let has_ended = match self.has_ended(fleet, choice).await {
            Some(has_ended) => has_ended,
            None => {
                self.watch_restart(&run);
                false
            }
        };
        tracing::info!(event = "run_interrupted", request = %call.id, server = %choice.id,
            incarnation = %choice.incarnation, ended = has_ended,
            content = %run.fingerprints.content,
            in_program = run.fingerprints.program.map(tracing::field::display));
        metrics::counter!("gradedyke_runs_interrupted_total").increment(1);
        if has_ended {
            let reports = reports(&run);
            let sent = self.record_end(reports);
            // The reports are sent on if the time is over.
            let _ = tokio::time::timeout(REPORT_TIMEOUT, sent).await;
        }
    }

    /// Whether a server has ended unexpectedly; `None` if its process may have been restarted.
    async fn has_ended(&self, fleet: &Fleet, choice: &Choice) -> Option<bool> {
        if choice.process_ended.is_cancelled() {
            return Some(true);
        }
        if fleet.is_leaving(choice.key) {
            return Some(false);
        }
        let is_listening = choice.pool.is_listening(Instant::now()).await;
        (!is_listening).then_some(true)
    }

    /// Counts a run if the directory tells soon that its server was restarted.
    fn watch_restart(self: &Arc<Self>, run: &BrokenRun<'_>) {
        let reports = reports(run);
        let process_ended = run.choice.process_ended.clone();
        let monitor = self.clone();
        tokio::spawn(async move {
            let restarted = tokio::time::timeout(RESTART_WATCH, process_ended.cancelled()).await;
            if restarted.is_ok() {
                let _ = monitor.record_end(reports).await;
            }
        });
    }

    fn record_end(self: &Arc<Self>, reports: Vec<Report>) -> tokio::task::JoinHandle<()> {
        let now = Instant::now();
        self.registry.merge(&reports, now);
        for report in &reports {
            let fingerprint = report.fingerprint;
            let counted = self.registry.count(fingerprint, now);
            tracing::warn!(event = "server_ended_under", %fingerprint, counted,
                limit = MAX_ENDED_SERVERS);
            metrics::counter!("gradedyke_server_ends_total", "scope" => fingerprint.scope().name())
                .increment(1);
        }
        self.send_in_background(reports)
    }

    /// Clears a request that has completed.
    pub(super) fn record_completed(self: &Arc<Self>, fingerprints: &Fingerprints, now: Instant) {
        let reports = fingerprints
            .iter()
            .filter_map(|f| self.registry.clear(f, now));
        let reports: Vec<Report> = reports.collect();
        for report in &reports {
            tracing::info!(event = "request_cleared", fingerprint = %report.fingerprint);
        }
        if !reports.is_empty() {
            self.send_in_background(reports);
        }
    }

    /// Reports to the keepers, from which all entries learn.
    fn send_in_background(self: &Arc<Self>, reports: Vec<Report>) -> tokio::task::JoinHandle<()> {
        self.lock_pending().extend(reports);
        let monitor = self.clone();
        tokio::spawn(async move {
            let _sending = monitor.sending.lock().await;
            let reports = std::mem::take(&mut *monitor.lock_pending());
            if !reports.is_empty() {
                monitor.coordinator.report_crashes(&reports).await;
            }
        })
    }

    fn lock_pending(&self) -> std::sync::MutexGuard<'_, Vec<Report>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets old requests and updates the gauges of those that are known, at most once in
    /// [`GAUGES_INTERVAL`].
    pub(crate) fn record_gauges(&self, now: Instant) {
        {
            let mut gauges_at = self
                .gauges_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if now.saturating_duration_since(*gauges_at) < GAUGES_INTERVAL {
                return;
            }
            *gauges_at = now;
        }
        self.registry.remove_expired(now);
        let entries = self.registry.entries(now);
        let refused = entries
            .iter()
            .filter(|e| e.count >= MAX_ENDED_SERVERS)
            .count();
        let gauge = |state, count| {
            metrics::gauge!("gradedyke_crash_requests", "state" => state).set(count as f64);
        };
        gauge("refused", refused);
        gauge("suspect", entries.len() - refused);
    }
}

/// The reports of a run whose server ended, one for each fingerprint.
fn reports(run: &BrokenRun<'_>) -> Vec<Report> {
    let server = ServerKey::from(&run.choice.incarnation);
    let keep_ms = super::budget::retention_ms(run.call);
    let report = |fingerprint: Fingerprint| {
        let prior = match fingerprint.scope() {
            Scope::Program => 0,
            Scope::Content => run.prior,
        };
        let state = State::Ended;
        Report {
            fingerprint,
            runs: vec![Run {
                server,
                prior,
                state,
            }],
            keep_ms,
            age_ms: 0,
        }
    };
    run.fingerprints.iter().map(report).collect()
}
