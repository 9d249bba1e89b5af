//! A copy of what the platform's key-value service holds, in every process.
//!
//! Few processes watch the service; the others take what those know, because
//! each call to it costs and its rates do not grow with the deployment. A change
//! of a key is ordered by the service's revision, so it does not matter which
//! way or how often it arrives: the later revision stands, and nothing that was
//! in force ever comes back. An outage leaves the copy as it was.
//!
//! `follow` reads and watches the service; see [`crate::feed`] for the others. `state` holds
//! what is known, with `items`, and `packed` is how it travels.

mod follow;
mod items;
pub mod packed;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use gradedyke_platform::kv::{Entry, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

pub use follow::{Need, Pace, follow};
pub use packed::Packed;
use state::State;

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

/// How far a process has followed another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The start of the followed process.
    pub boot: u64,
    /// Its last change that is known.
    pub change: u64,
    /// Whether that is a point within a listing, which goes on from there.
    pub listing: bool,
    /// Through which revision the follower's copy is complete, whoever told it; 0 if it is
    /// not.
    pub through: Revision,
}

/// What changed since a point.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct News {
    /// The start of the process that tells it.
    pub boot: u64,
    /// The point to go on from.
    pub next: u64,
    /// The changes.
    pub items: Packed,
    /// Whether these belong to a listing, whose pages are of use only together.
    pub listing: bool,
    /// Whether more follow after `next`.
    pub more: bool,
    /// Through which revision the copy is complete with all this.
    pub through: Option<Revision>,
    /// All keys are in the listing's items: one that is not, and is not newer than this
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
        let item = state.items.get(key)?;
        Some((item.value.clone()?, item.revision))
    }

    /// All items under a prefix with the time at which each was learned,
    /// deleted ones too.
    pub fn list(&self, prefix: &str) -> Vec<(Item, Instant)> {
        let state = self.lock();
        let under = state.items.under(prefix);
        under
            .map(|held| (held.item.clone(), held.learned))
            .collect()
    }

    /// The items that changed after `change`, each with the time at which that was
    /// learned, and the point to go on from.
    pub fn since(&self, change: u64) -> (Vec<(Item, Instant)>, u64) {
        let state = self.lock();
        let fresh = state.items.after(change);
        let fresh = fresh.map(|h| (h.item.clone(), h.learned)).collect();
        (fresh, state.items.change())
    }

    /// All items, without those that were deleted.
    pub fn items(&self) -> Vec<Item> {
        let state = self.lock();
        state
            .items
            .all()
            .filter(|i| i.value.is_some())
            .cloned()
            .collect()
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

    /// Through which revision the copy is complete; 0 if it is not.
    pub fn through(&self) -> Revision {
        self.lock().complete(&self.prefixes).unwrap_or_default()
    }

    /// Through which revision a prefix is known; 0 if it is not.
    fn known(&self, prefix: &str) -> Revision {
        let state = self.lock();
        state.through.get(prefix).map_or(0, |t| t.revision)
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

    /// Takes in changes of `prefix` that the service told of: all of them after those that
    /// are known.
    fn watched(&self, prefix: &str, items: Vec<Item>, now: Instant) {
        let latest = items.iter().map(|i| i.revision).max();
        self.put(items, now);
        if let Some(through) = self.lock().through.get_mut(prefix) {
            through.revision = latest.unwrap_or_default().max(through.revision);
        }
    }

    fn tell(&self, state: MutexGuard<'_, State>, fresh: bool) {
        let change = state.items.change();
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

    /// What changed after `cursor`, for a question that came in at `arrived`: a page of it,
    /// if it is much.
    ///
    /// Whoever follows this process for the first time gets a listing. A follower whose copy
    /// is complete through a revision from which on this process knows of all deletions gets
    /// only what is newer.
    pub fn news(&self, cursor: &Cursor, arrived: Instant, now: Instant) -> News {
        let mut state = self.lock();
        let known = cursor.boot == self.boot && cursor.change >= state.listed;
        let goes_on = cursor.boot == self.boot && cursor.listing;
        let listing = goes_on || !known;
        let covered = state.covers(&self.prefixes, cursor.through);
        let above = if listing && covered {
            cursor.through
        } else {
            0
        };
        let after = if goes_on || known { cursor.change } else { 0 };
        let page = state.page(after, above);
        let through = state.complete(&self.prefixes).filter(|_| !page.more);
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let past = |at: Instant| ms(now.saturating_duration_since(at));
        News {
            boot: self.boot,
            next: page.next,
            items: page.items,
            listing,
            more: page.more,
            through,
            whole: through.filter(|_| listing && !covered),
            age_ms: state.confirmed(&self.prefixes).map(past),
            asked_ms: state
                .least(&self.prefixes, |t| t.asked)
                .map(|at| between(at, arrived)),
            steady_ms: state.steady.map(past).unwrap_or_default(),
            neighbours: Vec::new(),
        }
    }

    /// Takes in at `now` what another process answered to a question that was sent at
    /// `asked`, with the items that its pages held together.
    pub fn learn(&self, news: News, items: Vec<Item>, asked: Instant, now: Instant) {
        let mut state = self.lock();
        let mut fresh = false;
        match news.whole {
            Some(revision) => {
                for prefix in &self.prefixes {
                    let under = |i: &&Item| i.key.starts_with(prefix.as_str());
                    let items = items.iter().filter(under).cloned().collect();
                    fresh |= state.replace(prefix, items, revision, now);
                }
            }
            None => {
                for item in items {
                    fresh |= state.put(item, now);
                }
            }
        }
        for prefix in &self.prefixes {
            if let Some(through) = state.through.get_mut(prefix) {
                through.revision = news.through.unwrap_or_default().max(through.revision);
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
