//! A copy of the contents of the platform's key-value store, held by every process.
//!
//! Only a few processes watch the store, because its call rate is limited and does not
//! grow with the deployment; the others follow these. Each change of a key has the store's
//! revision. The highest revision wins, so changes may arrive by any path, repeatedly and in
//! any order, and an old value never replaces a newer one. An outage of the store leaves
//! the copy unchanged.
//!
//! `follow` reads and watches the store; [`crate::feed`] follows another process. `state`
//! and `items` hold the copy, and `packed` encodes items for transfer. `origin` tells from where a
//! process received the configuration.

mod follow;
mod items;
mod origin;
pub mod packed;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use gradedyke_platform::kv::{Entry, KeyRange, Revision};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

pub use follow::{Need, Pacing, Timing, follow};
pub use origin::{Origin, Source};
pub use packed::PackedItems;
use state::State;

/// A key with its value and revision.
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

/// A position in the changes of another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Random ID of the followed process's incarnation.
    pub boot: u64,
    /// Sequence number of the last change received from it.
    pub change: u64,
    /// Whether the position is within a listing, which continues from there.
    pub listing: bool,
    /// The revision up to which the follower's copy is complete, whatever its source; 0 if
    /// the copy is incomplete.
    #[serde(rename = "through")]
    pub complete_revision: Revision,
}

/// The changes after a [`Cursor`], or a page of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Update {
    /// Random ID of the sending process's incarnation.
    pub boot: u64,
    /// Sequence number of the last change covered; the next request starts after it.
    pub next: u64,
    /// The changed items.
    pub items: PackedItems,
    /// Whether the items are a page of a listing, which can be applied only as a whole.
    pub listing: bool,
    /// Whether there are changes after `next`.
    pub more: bool,
    /// The revision up to which the follower's copy is complete once this is applied;
    /// `None` if it is incomplete.
    #[serde(rename = "through")]
    pub complete_revision: Option<Revision>,
    /// Set if the listing holds all keys: a key that is not in it was deleted, unless its
    /// revision is higher than this one.
    pub whole: Option<Revision>,
    /// Milliseconds since the store last confirmed the copy; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Time in milliseconds, at most 1 ms too long, between two events: the sending of the last
    /// request that the store answered, and the receipt of the follower's request. Negative if the
    /// second came first; `None` if the store never answered.
    pub asked_ms: Option<i64>,
    /// Milliseconds for which the store has answered without a failure.
    pub steady_ms: u64,
    /// Addresses of some running entries.
    pub neighbours: Vec<SocketAddr>,
}

/// A copy of the keys under some prefixes.
pub struct Mirror {
    /// Random ID of this process's incarnation.
    boot: u64,
    prefixes: Vec<String>,
    /// The key whose changes are logged and whose origin is known, if any.
    traced_key: Option<String>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// When the store last confirmed the copy after an outage.
    regained: watch::Sender<Option<Instant>>,
}

/// Age of a copy from which a confirmation ends an outage. While the store answers, a copy is
/// at most 1.3 s old.
const OUTAGE_AGE: Duration = Duration::from_millis(1_500);

impl Mirror {
    /// Creates an empty copy of the keys that begin with one of `prefixes`.
    pub fn new(prefixes: &[&str]) -> Arc<Self> {
        Self::with_traced_key(prefixes, None)
    }

    /// Creates an empty copy of the keys that begin with one of `prefixes`, which logs from where
    /// it received each change of `traced_key`.
    pub fn with_traced_key(prefixes: &[&str], traced_key: Option<&str>) -> Arc<Self> {
        Arc::new(Self {
            boot: rand::random(),
            prefixes: prefixes.iter().map(|p| (*p).to_owned()).collect(),
            traced_key: traced_key.map(str::to_owned),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            regained: watch::Sender::new(None),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The prefixes that are copied.
    pub fn prefixes(&self) -> &[String] {
        &self.prefixes
    }

    /// Returns a receiver of the sequence number of the last change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns a receiver of when the store last confirmed the copy after an outage.
    pub fn subscribe_regained(&self) -> watch::Receiver<Option<Instant>> {
        self.regained.subscribe()
    }

    /// Returns a key's value and revision, if the key exists.
    pub fn get(&self, key: &str) -> Option<(Bytes, Revision)> {
        let state = self.lock();
        let item = state.items.get(key)?;
        Some((item.value.clone()?, item.revision))
    }

    /// Returns all items under a prefix, including deleted ones, each with the time at
    /// which this process received it.
    pub fn list(&self, prefix: &str) -> Vec<(Item, Instant)> {
        let state = self.lock();
        let items = state.items.with_prefix(prefix);
        items
            .map(|stored| (stored.item.clone(), stored.received_at))
            .collect()
    }

    /// Returns the items that changed after the sequence number `change`, each with the time
    /// at which this process received it, and the sequence number to continue from.
    pub fn changed_since(&self, change: u64) -> (Vec<(Item, Instant)>, u64) {
        let state = self.lock();
        let changed = state.items.changed_after(change);
        let changed = changed
            .map(|stored| (stored.item.clone(), stored.received_at))
            .collect();
        (changed, state.items.last_change())
    }

    /// Returns all items except deleted ones.
    pub fn items(&self) -> Vec<Item> {
        let state = self.lock();
        state
            .items
            .iter()
            .filter(|i| i.value.is_some())
            .cloned()
            .collect()
    }

    /// Returns how long ago the store confirmed the copy; `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.lock().confirmed_at(&self.prefixes)?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// The key whose changes are logged, if any.
    pub fn traced_key(&self) -> Option<&str> {
        self.traced_key.as_deref()
    }

    /// Returns from where the traced key was last received; `None` if it never was.
    pub fn origin(&self) -> Option<Origin> {
        self.lock().origin
    }

    /// Records that changes were received from `source`. Logs a change of the traced key, so that
    /// it can be followed from process to process.
    pub fn record_source(&self, source: Source, now: Instant) {
        let Some(key) = &self.traced_key else {
            return;
        };
        let mut state = self.lock();
        let Some(revision) = state.items.get(key).map(|item| item.revision) else {
            return;
        };
        if state.origin.is_some_and(|o| o.revision >= revision) {
            return;
        }
        let requested_at = state.earliest(&self.prefixes, |p| p.requested_at);
        state.origin = Some(Origin {
            revision,
            source,
            received_at: now,
        });
        drop(state);
        let age = requested_at.map(|at| now.saturating_duration_since(at).as_millis());
        tracing::info!(event = "config_received", key, revision, %source, data_age_ms = age);
    }

    /// Returns when the last request that the store answered was sent, by this or another
    /// process. The copy has all earlier changes. `None` if the store never answered.
    pub fn complete_as_of(&self) -> Option<Instant> {
        self.lock().earliest(&self.prefixes, |p| p.requested_at)
    }

    /// Returns the addresses of some running entries, as last received.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.lock().neighbours.clone()
    }

    /// Returns since when the store has answered without a failure; `None` during an
    /// outage.
    pub fn service_available_since(&self) -> Option<Instant> {
        self.lock().available_since
    }

    /// Returns the revision up to which the copy is complete; 0 if it is incomplete.
    pub fn complete_revision(&self) -> Revision {
        self.lock()
            .complete_revision(&self.prefixes)
            .unwrap_or_default()
    }

    /// Returns the revision up to which a prefix is complete; 0 if it was never listed.
    fn prefix_revision(&self, prefix: &str) -> Revision {
        let state = self.lock();
        state.prefixes.get(prefix).map_or(0, |p| p.revision)
    }

    /// Applies changes.
    pub fn apply(&self, items: Vec<Item>, now: Instant) {
        let mut state = self.lock();
        let mut changed = false;
        for item in items {
            changed |= state.apply(item, now);
        }
        self.notify(state, changed);
    }

    /// Applies a complete listing of `prefix` as of `revision`.
    pub fn apply_listing(&self, prefix: &str, items: Vec<Item>, revision: Revision, now: Instant) {
        self.apply_partial_listing(prefix, items, revision, &[], now);
    }

    /// Applies a listing of `prefix` as of `revision`, without the keys in `unread`. These stay as
    /// they are unless they are listed nevertheless.
    pub fn apply_partial_listing(
        &self,
        prefix: &str,
        items: Vec<Item>,
        revision: Revision,
        unread: &[KeyRange],
        now: Instant,
    ) {
        let mut state = self.lock();
        let changed = state.apply_listing(prefix, items, revision, unread, now);
        self.notify(state, changed);
    }

    /// Applies events that the store's watch of `prefix` returned: all changes after the
    /// revision up to which the prefix is complete.
    fn apply_watched(&self, prefix: &str, items: Vec<Item>, now: Instant) {
        let latest = items.iter().map(|i| i.revision).max();
        self.apply(items, now);
        if let Some(state) = self.lock().prefixes.get_mut(prefix) {
            state.revision = latest.unwrap_or_default().max(state.revision);
        }
    }

    fn notify(&self, state: MutexGuard<'_, State>, changed: bool) {
        let change = state.items.last_change();
        drop(state);
        if changed {
            self.changed.send_replace(change);
        }
    }

    /// Records that the store confirmed the copy of a prefix at `now`, in answer to a
    /// request sent at `requested_at`.
    fn record_confirmation(&self, prefix: &str, requested_at: Instant, now: Instant) {
        let mut state = self.lock();
        let previous = state.earliest(&self.prefixes, |p| p.requested_at);
        state.record_confirmation(prefix, Some(requested_at), Some(now));
        state.available_since.get_or_insert(now);
        self.notify_if_regained(&state, previous, now);
    }

    /// Notifies the followers that wait for a change if the copy was confirmed for the first
    /// time since an outage. `previous` is the former [`Self::complete_as_of`].
    fn notify_if_regained(&self, state: &State, previous: Option<Instant>, now: Instant) {
        let confirmed = state.earliest(&self.prefixes, |p| p.requested_at);
        if let (Some(previous), Some(confirmed)) = (previous, confirmed)
            && confirmed.saturating_duration_since(previous) >= OUTAGE_AGE
        {
            self.regained.send_replace(Some(now));
        }
    }

    /// Records that the store failed to answer.
    fn record_failure(&self) {
        self.lock().available_since = None;
    }

    /// Returns the changes after `cursor`, or a page of them, for a request received at
    /// `received_at`.
    ///
    /// A process that follows this one for the first time gets a listing. The listing holds only
    /// items newer than the follower's copy if this process knows all deletions since then.
    pub fn update_since(&self, cursor: &Cursor, received_at: Instant, now: Instant) -> Update {
        let mut state = self.lock();
        let is_valid = cursor.boot == self.boot && cursor.change >= state.listed_at_change;
        let continues_listing = cursor.boot == self.boot && cursor.listing;
        let listing = continues_listing || !is_valid;
        let knows_deletions = state.knows_deletions_since(&self.prefixes, cursor.complete_revision);
        let after_revision = if listing && knows_deletions {
            cursor.complete_revision
        } else {
            0
        };
        let after = if continues_listing || is_valid {
            cursor.change
        } else {
            0
        };
        let page = state.page(after, after_revision);
        let complete_revision = state
            .complete_revision(&self.prefixes)
            .filter(|_| !page.more);
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let ms_since = |at: Instant| ms(now.saturating_duration_since(at));
        Update {
            boot: self.boot,
            next: page.next,
            items: page.items,
            listing,
            more: page.more,
            complete_revision,
            whole: complete_revision.filter(|_| listing && !knows_deletions),
            age_ms: state.confirmed_at(&self.prefixes).map(ms_since),
            asked_ms: state
                .earliest(&self.prefixes, |p| p.requested_at)
                .map(|at| ms_between(at, received_at)),
            steady_ms: state.available_since.map(ms_since).unwrap_or_default(),
            neighbours: Vec::new(),
        }
    }

    /// Applies at `now` an update of another process, received in answer to a request sent
    /// at `sent`. `items` holds the items of all pages.
    pub fn apply_update(&self, update: Update, items: Vec<Item>, sent: Instant, now: Instant) {
        let mut state = self.lock();
        let mut changed = false;
        match update.whole {
            Some(revision) => {
                for prefix in &self.prefixes {
                    let matches = |i: &&Item| i.key.starts_with(prefix.as_str());
                    let items = items.iter().filter(matches).cloned().collect();
                    changed |= state.apply_listing(prefix, items, revision, &[], now);
                }
            }
            None => {
                for item in items {
                    changed |= state.apply(item, now);
                }
            }
        }
        for prefix in &self.prefixes {
            if let Some(state) = state.prefixes.get_mut(prefix) {
                state.revision = update
                    .complete_revision
                    .unwrap_or_default()
                    .max(state.revision);
            }
        }
        if !update.neighbours.is_empty() {
            state.neighbours = update.neighbours;
        }
        if let Some(age) = update.age_ms {
            let previous = state.earliest(&self.prefixes, |p| p.requested_at);
            let confirmed_at = now.checked_sub(Duration::from_millis(age));
            // The reply may have waited unread while this process was suspended, so the time
            // counts from sending the request.
            let requested_at = update.asked_ms.and_then(|ms| subtract_ms(sent, ms));
            for prefix in &self.prefixes {
                state.record_confirmation(prefix, requested_at, confirmed_at);
            }
            self.notify_if_regained(&state, previous, now);
            state.available_since = now.checked_sub(Duration::from_millis(update.steady_ms));
        }
        self.notify(state, changed);
    }
}

/// Returns an upper bound of the milliseconds from `first` to `second`: whole milliseconds plus
/// one. If `second` is earlier, returns the negative of the whole milliseconds between them.
fn ms_between(first: Instant, second: Instant) -> i64 {
    let ms = |d: Duration| i64::try_from(d.as_millis()).unwrap_or(i64::MAX - 1);
    match second.checked_duration_since(first) {
        Some(elapsed) => ms(elapsed) + 1,
        None => -ms(first.saturating_duration_since(second)),
    }
}

/// Returns the time `ms` milliseconds before `at`, or after it if `ms` is negative.
fn subtract_ms(at: Instant, ms: i64) -> Option<Instant> {
    let duration = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        return at.checked_add(duration);
    }
    at.checked_sub(duration)
}
