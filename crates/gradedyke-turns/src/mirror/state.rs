//! What a copy holds, and how far it is known.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use gradedyke_platform::kv::Revision;
use tokio::time::Instant;

use super::Item;
use super::items::{Items, Page};

/// Pages that are held for others who ask for the same.
const PAGES: usize = 256;

/// How far a prefix is known.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Through {
    /// Through which revision.
    pub(super) revision: Revision,
    /// The revision of the first listing: what was deleted after it is known as deleted.
    pub(super) since: Revision,
    /// When the service last confirmed that.
    pub(super) confirmed: Option<Instant>,
    /// When the question was sent that it confirmed it to: what the service had taken
    /// by then is known.
    pub(super) asked: Option<Instant>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) items: Items,
    /// Pages that were told, with the change up to which they hold.
    pub(super) pages: (u64, HashMap<(u64, Revision), Page>),
    /// Of each prefix that was listed.
    pub(super) through: HashMap<String, Through>,
    /// The change at which a prefix was last listed for the first time: who was told
    /// something before has only what came from a disk, and is told all once more.
    pub(super) listed: u64,
    pub(super) steady: Option<Instant>,
    pub(super) neighbours: Vec<SocketAddr>,
}

impl State {
    /// Through which revision all prefixes are known.
    pub(super) fn complete(&self, prefixes: &[String]) -> Option<Revision> {
        let through = prefixes.iter().map(|p| self.through.get(p));
        through.map(|t| t.map(|t| t.revision)).min().flatten()
    }

    /// Whether all that was deleted after a revision is known as deleted.
    pub(super) fn covers(&self, prefixes: &[String], revision: Revision) -> bool {
        let covers = |t: &Through| revision > 0 && revision >= t.since;
        prefixes
            .iter()
            .all(|p| self.through.get(p).is_some_and(covers))
    }

    /// When all prefixes were last confirmed.
    pub(super) fn confirmed(&self, prefixes: &[String]) -> Option<Instant> {
        self.least(prefixes, |t| t.confirmed)
    }

    /// The earliest of a time over all prefixes.
    pub(super) fn least(
        &self,
        prefixes: &[String],
        time: impl Fn(&Through) -> Option<Instant>,
    ) -> Option<Instant> {
        let each = prefixes.iter().map(|p| time(self.through.get(p)?));
        each.min().flatten()
    }

    pub(super) fn confirm(&mut self, prefix: &str, asked: Option<Instant>, at: Option<Instant>) {
        if let Some(through) = self.through.get_mut(prefix) {
            through.confirmed = at.max(through.confirmed);
            through.asked = asked.max(through.asked);
        }
    }

    /// A page of what changed. All who follow from the same point are told the same one.
    pub(super) fn page(&mut self, after: u64, above: Revision) -> Page {
        let change = self.items.change();
        if self.pages.0 != change {
            self.pages = (change, HashMap::new());
        }
        let items = &self.items;
        let pages = &mut self.pages.1;
        if pages.len() >= PAGES {
            pages.clear();
        }
        let page = pages.entry((after, above));
        page.or_insert_with(|| items.page(after, above)).clone()
    }

    pub(super) fn put(&mut self, item: Item, now: Instant) -> bool {
        let held = self.items.get(&item.key);
        if held.is_some_and(|held| held.revision >= item.revision) {
            return false;
        }
        self.items.put(item, now);
        true
    }

    pub(super) fn replace(
        &mut self,
        prefix: &str,
        items: Vec<Item>,
        revision: Revision,
        now: Instant,
    ) -> bool {
        let listed: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let gone = |item: &&Item| {
            item.value.is_some() && item.revision <= revision && !listed.contains(item.key.as_str())
        };
        let under = self.items.under(prefix).map(|held| &held.item);
        let gone: Vec<String> = under.filter(gone).map(|i| i.key.clone()).collect();
        let mut fresh = !gone.is_empty();
        for key in gone {
            // At least as new as what is held, and stands over it.
            let item = Item {
                key,
                value: None,
                revision: revision.max(1),
            };
            self.items.put(item, now);
        }
        for item in items {
            fresh |= self.put(item, now);
        }
        if !self.through.contains_key(prefix) {
            self.listed = self.items.advance();
            fresh = true;
        }
        let through = self.through.entry(prefix.to_owned()).or_insert(Through {
            since: revision,
            ..Through::default()
        });
        through.revision = revision.max(through.revision);
        fresh
    }
}
