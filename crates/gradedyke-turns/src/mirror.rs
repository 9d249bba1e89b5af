//! A copy of what the platform's key-value service holds, in every process.
//!
//! Few processes watch the service; the others take what those know, because
//! each call to it costs and its rates do not grow with the deployment. A change
//! of a key is ordered by the service's revision, so it does not matter which
//! way or how often it arrives: the later revision stands, and nothing that was
//! in force ever comes back. An outage leaves the copy as it was.
//!
//! `follow` reads and watches the service; see [`crate::feed`] for the others.

mod follow;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use gradedyke_platform::kv::{Entry, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

pub use follow::{Need, Pace, follow};

/// A key with its value; no value when it was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, or `None` after a deletion.
    pub value: Option<Bytes>,
    /// The revision of the last change.
    pub revision: Revision,
}

impl From<Entry> for Item {
    fn from(entry: Entry) -> Self {
        Self {
            key: entry.key,
            value: Some(entry.value.into()),
            revision: entry.revision,
        }
    }
}

/// What changed since a point.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// The start of the process that tells it.
    pub boot: u64,
    /// The point to go on from.
    pub next: u64,
    /// The changes.
    pub items: Vec<Item>,
    /// All keys are in `items`: one that is not, and is not newer than this
    /// revision, is gone.
    pub whole: Option<Revision>,
    /// Milliseconds since the service last confirmed all this; none if never.
    pub age_ms: Option<u64>,
    /// Milliseconds, at most, from the question to the service that this answers until
    /// the question to this process came in; below zero where that came first, and none
    /// if the service never answered.
    pub asked_ms: Option<i64>,
    /// Milliseconds for which the service has answered without a break.
    pub steady_ms: u64,
    /// Some entries that run.
    pub neighbours: Vec<SocketAddr>,
}

struct Held {
    item: Item,
    change: u64,
    /// When this process learned of the change.
    learned: Instant,
}

/// How far a prefix is known.
#[derive(Clone, Copy, Debug, Default)]
struct Through {
    /// Through which revision.
    revision: Revision,
    /// When the service last confirmed that.
    confirmed: Option<Instant>,
    /// When the question was sent that it confirmed it to: what the service had taken
    /// by then is known.
    asked: Option<Instant>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Held>,
    change: u64,
    /// Of each prefix that was listed.
    through: HashMap<String, Through>,
    /// The change at which a prefix was last listed for the first time: who was told
    /// something before has only what came from a disk, and is told all once more.
    listed: u64,
    steady: Option<Instant>,
    neighbours: Vec<SocketAddr>,
}

/// The copy.
pub struct Mirror {
    boot: u64,
    prefixes: Vec<String>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Mirror {
    /// An empty copy of all keys that begin with one of `prefixes`.
    pub fn new(prefixes: &[&str]) -> Arc<Self> {
        Arc::new(Self {
            boot: rand::random(),
            prefixes: prefixes.iter().map(|p| (*p).to_owned()).collect(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The prefixes that are copied.
    pub fn prefixes(&self) -> &[String] {
        &self.prefixes
    }

    /// A receiver that sees each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// A key's value and revision, if it is there.
    pub fn get(&self, key: &str) -> Option<(Bytes, Revision)> {
        let state = self.lock();
        let item = &state.items.get(key)?.item;
        Some((item.value.clone()?, item.revision))
    }

    /// All items under a prefix with the time at which each was learned,
    /// deleted ones too.
    pub fn list(&self, prefix: &str) -> Vec<(Item, Instant)> {
        let state = self.lock();
        let from = state.items.range(prefix.to_owned()..);
        let under = from.take_while(|(key, _)| key.starts_with(prefix));
        under
            .map(|(_, held)| (held.item.clone(), held.learned))
            .collect()
    }

    /// The items that changed after `change`, each with the time at which that was
    /// learned, and the point to go on from.
    pub fn since(&self, change: u64) -> (Vec<(Item, Instant)>, u64) {
        let state = self.lock();
        let fresh = state.items.values().filter(|h| h.change > change);
        let fresh = fresh.map(|h| (h.item.clone(), h.learned)).collect();
        (fresh, state.change)
    }

    /// All items, without those that were deleted.
    pub fn items(&self) -> Vec<Item> {
        let state = self.lock();
        let items = state.items.values().map(|h| &h.item);
        items.filter(|i| i.value.is_some()).cloned().collect()
    }

    /// How long ago the service confirmed the copy; `None` before it ever did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.lock().confirmed(&self.prefixes)?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// A moment up to which all that the service had taken is in the copy: when the
    /// question was sent that was answered last, wherever that was. `None` before that.
    pub fn vouched(&self) -> Option<Instant> {
        self.lock().least(&self.prefixes, |t| t.asked)
    }

    /// Some entries that run, as last told.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.lock().neighbours.clone()
    }

    /// Since when the service has answered without a break.
    pub fn steady(&self) -> Option<Instant> {
        self.lock().steady
    }

    /// Takes changes in.
    pub fn put(&self, items: Vec<Item>, now: Instant) {
        let mut state = self.lock();
        let mut fresh = false;
        for item in items {
            fresh |= state.put(item, now);
        }
        self.tell(state, fresh);
    }

    /// Takes in a whole listing of `prefix` as of `revision`.
    pub fn replace(&self, prefix: &str, items: Vec<Item>, revision: Revision, now: Instant) {
        let mut state = self.lock();
        let fresh = state.replace(prefix, items, revision, now);
        self.tell(state, fresh);
    }

    fn tell(&self, state: MutexGuard<'_, State>, fresh: bool) {
        let change = state.change;
        drop(state);
        if fresh {
            self.changed.send_replace(change);
        }
    }

    /// Notes that the service confirmed the copy of a prefix at `now`, to a question
    /// that was sent at `asked`.
    fn confirm(&self, prefix: &str, asked: Instant, now: Instant) {
        let mut state = self.lock();
        state.confirm(prefix, Some(asked), Some(now));
        state.steady.get_or_insert(now);
    }

    /// Notes that the service failed to answer.
    fn broken(&self) {
        self.lock().steady = None;
    }

    /// What changed after `since`, a point of the process start `boot`, for a question
    /// that came in at `arrived`.
    pub fn news(&self, boot: u64, since: u64, arrived: Instant, now: Instant) -> News {
        let state = self.lock();
        let known = boot == self.boot && since >= state.listed;
        let since = if known { since } else { 0 };
        let through = self.prefixes.iter();
        let through = through.map(|p| state.through.get(p).map(|t| t.revision));
        let complete = through.min().flatten();
        let fresh = state.items.values().filter(|h| h.change > since);
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let past = |at: Instant| ms(now.saturating_duration_since(at));
        News {
            boot: self.boot,
            next: state.change,
            items: fresh.map(|h| h.item.clone()).collect(),
            whole: complete.filter(|_| !known),
            age_ms: state.confirmed(&self.prefixes).map(past),
            asked_ms: state
                .least(&self.prefixes, |t| t.asked)
                .map(|at| between(at, arrived)),
            steady_ms: state.steady.map(past).unwrap_or_default(),
            neighbours: Vec::new(),
        }
    }

    /// Takes in at `now` what another process answered to a question that was sent at
    /// `asked`.
    pub fn learn(&self, news: News, asked: Instant, now: Instant) {
        let mut state = self.lock();
        let mut fresh = false;
        match news.whole {
            Some(revision) => {
                for prefix in &self.prefixes {
                    let under = |i: &&Item| i.key.starts_with(prefix.as_str());
                    let items = news.items.iter().filter(under).cloned().collect();
                    fresh |= state.replace(prefix, items, revision, now);
                }
            }
            None => {
                for item in news.items {
                    fresh |= state.put(item, now);
                }
            }
        }
        if !news.neighbours.is_empty() {
            state.neighbours = news.neighbours;
        }
        if let Some(age) = news.age_ms {
            let confirmed = now.checked_sub(Duration::from_millis(age));
            // The answer may have lain here unread while this process was stopped, so
            // its age counts from the question on.
            let asked = news.asked_ms.and_then(|ms| before(asked, ms));
            for prefix in &self.prefixes {
                state.confirm(prefix, asked, confirmed);
            }
            state.steady = now.checked_sub(Duration::from_millis(news.steady_ms));
        }
        self.tell(state, fresh);
    }
}

/// Milliseconds from `first` to `second`, rounded up; below zero the other way round.
fn between(first: Instant, second: Instant) -> i64 {
    let ms = |d: Duration| i64::try_from(d.as_millis()).unwrap_or(i64::MAX - 1);
    match second.checked_duration_since(first) {
        Some(after) => ms(after) + 1,
        None => -ms(first.saturating_duration_since(second)),
    }
}

/// The moment so many milliseconds before `at`.
fn before(at: Instant, ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        return at.checked_add(distance);
    }
    at.checked_sub(distance)
}

impl State {
    /// When all prefixes were last confirmed.
    fn confirmed(&self, prefixes: &[String]) -> Option<Instant> {
        self.least(prefixes, |t| t.confirmed)
    }

    /// The earliest of a time over all prefixes.
    fn least(
        &self,
        prefixes: &[String],
        time: impl Fn(&Through) -> Option<Instant>,
    ) -> Option<Instant> {
        let each = prefixes.iter().map(|p| time(self.through.get(p)?));
        each.min().flatten()
    }

    fn confirm(&mut self, prefix: &str, asked: Option<Instant>, at: Option<Instant>) {
        if let Some(through) = self.through.get_mut(prefix) {
            through.confirmed = at.max(through.confirmed);
            through.asked = asked.max(through.asked);
        }
    }

    fn put(&mut self, item: Item, now: Instant) -> bool {
        if let Some(held) = self.items.get(&item.key)
            && held.item.revision >= item.revision
        {
            return false;
        }
        self.change += 1;
        let held = Held {
            change: self.change,
            learned: now,
            item,
        };
        self.items.insert(held.item.key.clone(), held);
        true
    }

    fn replace(
        &mut self,
        prefix: &str,
        items: Vec<Item>,
        revision: Revision,
        now: Instant,
    ) -> bool {
        let listed: std::collections::HashSet<_> = items.iter().map(|i| i.key.clone()).collect();
        let gone = |held: &&Held| {
            let item = &held.item;
            item.key.starts_with(prefix)
                && item.value.is_some()
                && item.revision <= revision
                && !listed.contains(&item.key)
        };
        let gone: Vec<String> = self
            .items
            .values()
            .filter(gone)
            .map(|h| h.item.key.clone())
            .collect();
        let mut fresh = false;
        for key in gone {
            // One above what is held, so that it stands over it; a later change
            // has a higher revision still, for the listing is at least as new.
            let value = None;
            let revision = revision.max(1);
            self.items.remove(&key);
            fresh |= self.put(
                Item {
                    key,
                    value,
                    revision,
                },
                now,
            );
        }
        for item in items {
            fresh |= self.put(item, now);
        }
        if !self.through.contains_key(prefix) {
            self.change += 1;
            self.listed = self.change;
            fresh = true;
        }
        let through = self.through.entry(prefix.to_owned()).or_default();
        through.revision = revision.max(through.revision);
        fresh
    }
}
