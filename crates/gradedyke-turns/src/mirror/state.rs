//! The contents of a copy, and how complete and recent each prefix is.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use gradedyke_platform::kv::{KeyRange, Revision};
use tokio::time::Instant;

use super::items::{Items, Page};
use super::{Item, Origin};

/// Largest number of cached pages.
const MAX_CACHED_PAGES: usize = 256;

/// How complete and recent the copy of a prefix is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixState {
    /// The revision up to which the copy is complete.
    pub(super) revision: Revision,
    /// The revision of the first listing. All later deletions are known.
    pub(super) first_listing_revision: Revision,
    /// When the store last confirmed the copy.
    pub(super) confirmed_at: Option<Instant>,
    /// When the request that the store answered at `confirmed_at` was sent. The copy has all
    /// earlier changes.
    pub(super) requested_at: Option<Instant>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) items: Items,
    /// Cached pages, keyed by the change and revision after which they start, with the last change
    /// at the time of caching. Any later change makes them invalid.
    pub(super) pages: (u64, HashMap<(u64, Revision), Page>),
    /// The state of each prefix that has been listed.
    pub(super) prefixes: HashMap<String, PrefixState>,
    /// Sequence number of the latest change that was the first listing of a prefix. Items
    /// before it may have been loaded from disk, so a follower with an earlier cursor needs a
    /// full listing.
    pub(super) listed_at_change: u64,
    /// Since when the store has answered without a failure.
    pub(super) available_since: Option<Instant>,
    pub(super) neighbours: Vec<SocketAddr>,
    /// From where the traced key was last received.
    pub(super) origin: Option<Origin>,
}

impl State {
    /// Returns the revision up to which all prefixes are complete; `None` if one was never
    /// listed.
    pub(super) fn complete_revision(&self, prefixes: &[String]) -> Option<Revision> {
        let states = prefixes.iter().map(|p| self.prefixes.get(p));
        states.map(|s| s.map(|s| s.revision)).min().flatten()
    }

    /// Whether all deletions after a revision are known.
    pub(super) fn knows_deletions_since(&self, prefixes: &[String], revision: Revision) -> bool {
        let covers = |s: &PrefixState| revision > 0 && revision >= s.first_listing_revision;
        prefixes
            .iter()
            .all(|p| self.prefixes.get(p).is_some_and(covers))
    }

    /// Returns when the store last confirmed all prefixes.
    pub(super) fn confirmed_at(&self, prefixes: &[String]) -> Option<Instant> {
        self.earliest(prefixes, |s| s.confirmed_at)
    }

    /// Returns the earliest `time` of all prefixes; `None` if one has none.
    pub(super) fn earliest(
        &self,
        prefixes: &[String],
        time: impl Fn(&PrefixState) -> Option<Instant>,
    ) -> Option<Instant> {
        let times = prefixes.iter().map(|p| time(self.prefixes.get(p)?));
        times.min().flatten()
    }

    pub(super) fn record_confirmation(
        &mut self,
        prefix: &str,
        requested_at: Option<Instant>,
        confirmed_at: Option<Instant>,
    ) {
        if let Some(state) = self.prefixes.get_mut(prefix) {
            state.confirmed_at = confirmed_at.max(state.confirmed_at);
            state.requested_at = requested_at.max(state.requested_at);
        }
    }

    /// Returns a page of the items that changed after the change `after` and have a higher
    /// revision than `after_revision`. Pages are cached, because many followers ask for the same
    /// one.
    pub(super) fn page(&mut self, after: u64, after_revision: Revision) -> Page {
        let change = self.items.last_change();
        if self.pages.0 != change {
            self.pages = (change, HashMap::new());
        }
        let items = &self.items;
        let pages = &mut self.pages.1;
        if pages.len() >= MAX_CACHED_PAGES {
            pages.clear();
        }
        let page = pages.entry((after, after_revision));
        page.or_insert_with(|| items.page(after, after_revision))
            .clone()
    }

    /// Stores an item unless the same or a newer revision is stored. Returns whether it was
    /// stored.
    pub(super) fn apply(&mut self, item: Item, now: Instant) -> bool {
        let stored = self.items.get(&item.key);
        if stored.is_some_and(|stored| stored.revision >= item.revision) {
            return false;
        }
        self.items.insert(item, now);
        true
    }

    /// Applies a listing of `prefix`: marks keys that are neither in it nor in `unread` as deleted
    /// and stores newer items. Returns whether anything changed.
    pub(super) fn apply_listing(
        &mut self,
        prefix: &str,
        items: Vec<Item>,
        revision: Revision,
        unread: &[KeyRange],
        now: Instant,
    ) -> bool {
        let listed: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let is_deleted = |item: &&Item| {
            let key = item.key.as_str();
            let is_absent = !listed.contains(key) && !unread.iter().any(|r| r.contains(key));
            item.value.is_some() && item.revision <= revision && is_absent
        };
        let stored = self.items.with_prefix(prefix).map(|stored| &stored.item);
        let deleted: Vec<String> = stored.filter(is_deleted).map(|i| i.key.clone()).collect();
        let mut changed = !deleted.is_empty();
        for key in deleted {
            // `apply` would ignore this item if the stored one has the same revision.
            let item = Item {
                key,
                value: None,
                revision: revision.max(1),
            };
            self.items.insert(item, now);
        }
        for item in items {
            changed |= self.apply(item, now);
        }
        if !self.prefixes.contains_key(prefix) {
            self.listed_at_change = self.items.next_change();
            changed = true;
        }
        let state = self
            .prefixes
            .entry(prefix.to_owned())
            .or_insert(PrefixState {
                first_listing_revision: revision,
                ..PrefixState::default()
            });
        state.revision = revision.max(state.revision);
        changed
    }
}
