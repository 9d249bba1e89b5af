//! The slot map, which is stored in the key-value service, and the local view of it.

use std::sync::Arc;

use gradedyke_base::id::{self, Epoch, SLOT_COUNT, Slot};
use gradedyke_platform::kv::{self, Event, KeyValue, Outcome, Revision, Swap};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// Key prefix of the slot map's values.
pub const KEY_PREFIX: &str = "gradedyke/slots/";
/// Number of values in which the slot map is stored.
///
/// Fewer make a full read cheaper; more make conflicting writes rarer.
pub const SHARDS: u16 = 64;
/// Number of slots in one value.
pub const SLOTS_PER_SHARD: u16 = SLOT_COUNT / SHARDS;

/// A part of the slot map, as stored in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The highest epoch used in this shard.
    pub epoch: Epoch,
    /// The keepers of all its slots.
    pub keepers: Vec<id::Keeper>,
    /// The owners that `slots` refers to by index.
    pub owners: Vec<id::Instance>,
    /// For each slot, the index of its owner in `owners` and the epoch.
    pub slots: Vec<(u16, Epoch)>,
    /// A unique id of this write, so that a writer recognizes its own value.
    pub mark: String,
}

/// The owner of a slot and the epoch at which it owns the slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The owner.
    pub owner: id::Instance,
    /// The epoch.
    pub epoch: Epoch,
}

impl Shard {
    /// Returns the owner of the slot at an index of this shard.
    pub fn holder(&self, index: u16) -> Option<Holder> {
        let (owner, epoch) = *self.slots.get(usize::from(index))?;
        let owner = self.owners.get(usize::from(owner))?.clone();
        Some(Holder { owner, epoch })
    }

    /// Returns a copy of the shard in which the given slots, by index, have new
    /// owners, all at one new epoch.
    ///
    /// ```
    /// use gradedyke::ownership::map::Shard;
    /// use gradedyke_base::id::Instance;
    ///
    /// let one = Instance::parse("one").unwrap();
    /// let shard = Shard::default().with_owners(&[(3, one.clone())]);
    /// assert_eq!(shard.holder(3).unwrap().owner, one);
    /// assert_eq!(shard.holder(4), None);
    /// ```
    pub fn with_owners(&self, moves: &[(u16, id::Instance)]) -> Self {
        let epoch = Epoch(self.epoch.0 + 1);
        let mut owners = OwnerList::default();
        let mut slots = Vec::with_capacity(usize::from(SLOTS_PER_SHARD));
        for index in 0..SLOTS_PER_SHARD {
            let holder = match moves.iter().find(|(moved, _)| *moved == index) {
                Some((_, owner)) => Some(Holder {
                    owner: owner.clone(),
                    epoch,
                }),
                None => self.holder(index),
            };
            slots.push(match holder {
                Some(holder) => (owners.index_of(holder.owner), holder.epoch),
                None => (u16::MAX, Epoch(0)),
            });
        }
        Self {
            epoch,
            keepers: self.keepers.clone(),
            owners: owners.0,
            slots,
            mark: id::Request::generate().to_string(),
        }
    }
}

#[derive(Default)]
struct OwnerList(Vec<id::Instance>);

impl OwnerList {
    fn index_of(&mut self, owner: id::Instance) -> u16 {
        let index = self.0.iter().position(|o| *o == owner);
        let index = index.unwrap_or_else(|| {
            self.0.push(owner);
            self.0.len() - 1
        });
        u16::try_from(index).unwrap_or(u16::MAX)
    }
}

/// Returns the shard of a slot and the index of the slot in it.
pub fn locate(slot: Slot) -> (u16, u16) {
    (slot.0 / SLOTS_PER_SHARD, slot.0 % SLOTS_PER_SHARD)
}

/// Returns the slot at an index of a shard.
pub fn slot_at(shard: u16, index: u16) -> Slot {
    Slot(shard * SLOTS_PER_SHARD + index)
}

/// A shard with the revision of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedShard {
    /// Revision of the key, or 0 if the key does not exist yet.
    pub revision: Revision,
    /// The shard.
    pub shard: Arc<Shard>,
}

/// The whole slot map as seen by this process, one item for each shard.
pub type View = Arc<Vec<VersionedShard>>;

/// The slot map, kept up to date by a watch.
#[derive(Debug)]
pub struct Map {
    view: watch::Sender<View>,
    loaded: watch::Sender<bool>,
}

impl Default for Map {
    fn default() -> Self {
        let empty = vec![VersionedShard::default(); usize::from(SHARDS)];
        Self {
            view: watch::Sender::new(Arc::new(empty)),
            loaded: watch::Sender::new(false),
        }
    }
}

impl Map {
    /// Returns the current view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified of every change of the view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Returns whether the slot map has been read at least once.
    pub fn is_loaded(&self) -> bool {
        *self.loaded.borrow()
    }

    /// Returns whether every shard has been written, so that every slot has an owner.
    pub fn is_assigned(&self) -> bool {
        let view = self.view.borrow();
        view.iter().all(|stored| stored.revision > 0)
    }

    /// Returns the owner of a slot in the local view.
    pub fn holder(&self, slot: Slot) -> Option<Holder> {
        let (shard, index) = locate(slot);
        self.view.borrow()[usize::from(shard)].shard.holder(index)
    }

    /// Writes a shard if its stored revision is still that of `known`, and updates
    /// the local view to the value that is stored afterwards. Returns whether the
    /// shard was written.
    ///
    /// # Errors
    ///
    /// The key-value service failed. The shard may have been written; the watch
    /// then updates the view.
    pub async fn compare_and_swap(
        &self,
        kv: &dyn KeyValue,
        number: u16,
        known: &VersionedShard,
        shard: Shard,
    ) -> Result<bool, kv::Error> {
        let value = serde_json::to_vec(&shard).map_err(|e| kv::Error::Refused(e.to_string()))?;
        let swap = Swap {
            key: shard_key(number),
            expected_revision: known.revision,
            value: Some(value),
            lease: None,
        };
        match kv::swap_and_verify(kv, swap).await? {
            Outcome::Written(revision) => {
                self.update(number, revision, shard);
                Ok(true)
            }
            Outcome::Conflict(found) => {
                if let Some(entry) = found {
                    self.apply_entry(&entry.key, entry.revision, &entry.value);
                }
                Ok(false)
            }
        }
    }

    /// Follows the slot map until `stop` is cancelled.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::run_until_stopped("slots", stop, || self.follow_once(&*kv)).await;
    }

    async fn follow_once(&self, kv: &dyn KeyValue) -> Result<(), kv::Error> {
        let listing = kv.list(KEY_PREFIX).await?;
        for entry in &listing.entries {
            self.apply_entry(&entry.key, entry.revision, &entry.value);
        }
        self.loaded.send_replace(true);
        let mut watch = kv.watch(KEY_PREFIX, listing.revision + 1).await?;
        loop {
            for event in watch.next().await? {
                if let Event::Put(entry) = event {
                    self.apply_entry(&entry.key, entry.revision, &entry.value);
                }
            }
        }
    }

    fn apply_entry(&self, key: &str, revision: Revision, value: &[u8]) {
        let number = key.strip_prefix(KEY_PREFIX).and_then(|n| n.parse().ok());
        let shard = serde_json::from_slice(value);
        match (number, shard) {
            (Some(number), Ok(shard)) if number < SHARDS => self.update(number, revision, shard),
            (_, result) => {
                let error = result.err().map(|e| e.to_string());
                tracing::error!(event = "shard_malformed", key, error);
            }
        }
    }

    /// Puts a shard into the view unless the view has the same or a newer revision.
    fn update(&self, number: u16, revision: Revision, shard: Shard) {
        self.view.send_if_modified(|view| {
            let known = &view[usize::from(number)];
            if known.revision >= revision {
                return false;
            }
            let mut shards = Vec::clone(view);
            shards[usize::from(number)] = VersionedShard {
                revision,
                shard: Arc::new(shard),
            };
            *view = Arc::new(shards);
            true
        });
    }
}

/// Returns the key under which a shard is stored.
pub fn shard_key(shard: u16) -> String {
    format!("{KEY_PREFIX}{shard}")
}
