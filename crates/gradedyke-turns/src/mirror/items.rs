//! The items of a copy, indexed by key and by the order in which they changed here.

use std::collections::BTreeMap;

use gradedyke_platform::kv::Revision;
use tokio::time::Instant;

use super::{Item, PackedItems};

/// Size of keys and values from which a page is full, in bytes. It limits the memory of a process
/// that sends pages to many followers at once.
const FULL_PAGE_BYTES: usize = 128 << 10;

/// An item with the change that stored it.
pub(super) struct StoredItem {
    pub(super) item: Item,
    /// Sequence number of the change.
    change: u64,
    pub(super) received_at: Instant,
}

/// The items. Finding the changed ones takes time in proportion to their number, not to the
/// number of all items.
#[derive(Default)]
pub(super) struct Items {
    by_key: BTreeMap<String, StoredItem>,
    by_change: BTreeMap<u64, String>,
    last_change: u64,
}

/// Some items in the order in which they changed.
#[derive(Clone)]
pub(super) struct Page {
    pub(super) items: PackedItems,
    /// Sequence number of the last change that the page covers.
    pub(super) next: u64,
    /// Whether there are changes after it.
    pub(super) more: bool,
}

impl Items {
    /// Returns the sequence number of the last change.
    pub(super) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Allocates the sequence number of a new change.
    pub(super) fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.by_key.get(key).map(|stored| &stored.item)
    }

    /// Stores an item, whatever revision of its key is stored.
    pub(super) fn insert(&mut self, item: Item, received_at: Instant) {
        let change = self.next_change();
        let key = item.key.clone();
        let stored = StoredItem {
            item,
            change,
            received_at,
        };
        self.by_change.insert(change, key.clone());
        if let Some(replaced) = self.by_key.insert(key, stored) {
            self.by_change.remove(&replaced.change);
        }
    }

    /// Iterates over all items in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Item> {
        self.by_key.values().map(|stored| &stored.item)
    }

    /// Iterates over the items whose keys begin with `prefix`.
    pub(super) fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a StoredItem> {
        let from = self.by_key.range(prefix.to_owned()..);
        let matching = from.take_while(move |(key, _)| key.starts_with(prefix));
        matching.map(|(_, stored)| stored)
    }

    /// Iterates over the items that changed after `change`, in the order of their changes.
    pub(super) fn changed_after(&self, change: u64) -> impl Iterator<Item = &StoredItem> {
        let changes = self.by_change.range(change.saturating_add(1)..);
        changes.filter_map(|(_, key)| self.by_key.get(key))
    }

    /// Returns a page of the items that changed after `change` and have a higher revision than
    /// `after_revision`.
    pub(super) fn page(&self, change: u64, after_revision: Revision) -> Page {
        let mut items = Vec::new();
        let mut bytes = 0;
        for stored in self.changed_after(change) {
            if bytes >= FULL_PAGE_BYTES {
                return Page {
                    items: items.into(),
                    next: stored.change - 1,
                    more: true,
                };
            }
            if stored.item.revision > after_revision {
                bytes += stored.item.key.len() + stored.item.value.as_ref().map_or(0, |v| v.len());
                items.push(stored.item.clone());
            }
        }
        Page {
            items: items.into(),
            next: self.last_change,
            more: false,
        }
    }
}
