//! The items of a copy, by key and in the order in which they were learned.

use std::collections::BTreeMap;

use gradedyke_platform::kv::Revision;
use tokio::time::Instant;

use super::{Item, Packed};

/// Bytes of keys and values from which on a page is full. An instance that tells hundreds of
/// others the same has one page of each under way.
const PAGE_BYTES: usize = 128 << 10;

/// An item, and when it was learned.
pub(super) struct Held {
    pub(super) item: Item,
    /// The change that brought it.
    change: u64,
    pub(super) learned: Instant,
}

/// The items. A question for what changed costs what has changed, not what there is.
#[derive(Default)]
pub(super) struct Items {
    by_key: BTreeMap<String, Held>,
    by_change: BTreeMap<u64, String>,
    change: u64,
}

/// Some items in the order in which they were learned.
#[derive(Clone)]
pub(super) struct Page {
    pub(super) items: Packed,
    /// The last change that the page covers.
    pub(super) next: u64,
    /// Whether there are changes after it.
    pub(super) more: bool,
}

impl Items {
    /// The last change.
    pub(super) fn change(&self) -> u64 {
        self.change
    }

    /// Counts a change that brings no item.
    pub(super) fn advance(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.by_key.get(key).map(|held| &held.item)
    }

    /// Takes an item in, whatever is held of its key.
    pub(super) fn put(&mut self, item: Item, learned: Instant) {
        let change = self.advance();
        let key = item.key.clone();
        let held = Held {
            item,
            change,
            learned,
        };
        self.by_change.insert(change, key.clone());
        if let Some(former) = self.by_key.insert(key, held) {
            self.by_change.remove(&former.change);
        }
    }

    /// All, in the order of their keys.
    pub(super) fn all(&self) -> impl Iterator<Item = &Item> {
        self.by_key.values().map(|held| &held.item)
    }

    /// Those whose keys begin with `prefix`.
    pub(super) fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Held> {
        let from = self.by_key.range(prefix.to_owned()..);
        let under = from.take_while(move |(key, _)| key.starts_with(prefix));
        under.map(|(_, held)| held)
    }

    /// Those that were learned after a change, in that order.
    pub(super) fn after(&self, change: u64) -> impl Iterator<Item = &Held> {
        let changes = self.by_change.range(change.saturating_add(1)..);
        changes.filter_map(|(_, key)| self.by_key.get(key))
    }

    /// A page of those that were learned after a change and are newer than a revision.
    pub(super) fn page(&self, change: u64, above: Revision) -> Page {
        let mut items = Vec::new();
        let mut bytes = 0;
        for held in self.after(change) {
            if bytes >= PAGE_BYTES {
                return Page {
                    items: items.into(),
                    next: held.change - 1,
                    more: true,
                };
            }
            if held.item.revision > above {
                bytes += held.item.key.len() + held.item.value.as_ref().map_or(0, |v| v.len());
                items.push(held.item.clone());
            }
        }
        Page {
            items: items.into(),
            next: self.change,
            more: false,
        }
    }
}
