//! The map of slots, and the view each process has of it.

use std::sync::Arc;

use gradedyke_base::id::{self, Epoch, SLOTS, Slot};
use gradedyke_platform::kv::{self, Event, KeyValue, Revision, Swap, Swapped};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// Where the map's values stand.
pub const PREFIX: &str = "gradedyke/slots/";
/// Number of values that hold the map.
///
/// Few enough that a full read is cheap, many enough that changes of different
/// owners seldom meet in one value.
pub const SHARDS: u16 = 64;
/// Slots in one value.
pub const PER_SHARD: u16 = SLOTS / SHARDS;

/// A part of the map, as the key-value service holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The highest epoch given out in this shard.
    pub epoch: Epoch,
    /// The keepers of all its slots.
    pub keepers: Vec<id::Keeper>,
    /// The owners that `slots` refers to by place.
    pub owners: Vec<id::Instance>,
    /// For each slot the place of its owner and its epoch.
    pub slots: Vec<(u16, Epoch)>,
    /// Sets this write apart from any other.
    pub mark: String,
}

/// Who owns a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The owner.
    pub owner: id::Instance,
    /// At which epoch.
    pub epoch: Epoch,
}

impl Shard {
    /// Who owns the slot at `place` in this shard.
    pub fn holder(&self, place: u16) -> Option<Holder> {
        let (owner, epoch) = *self.slots.get(usize::from(place))?;
        let owner = self.owners.get(usize::from(owner))?.clone();
        Some(Holder { owner, epoch })
    }

    /// The shard after the slots at `moves` went to new owners, at one new
    /// epoch.
    ///
    /// ```
    /// use gradedyke::ownership::map::Shard;
    /// use gradedyke_base::id::Instance;
    ///
    /// let one = Instance::parse("one").unwrap();
    /// let shard = Shard::default().moved(&[(3, one.clone())]);
    /// assert_eq!(shard.holder(3).unwrap().owner, one);
    /// assert_eq!(shard.holder(4), None);
    /// ```
    pub fn moved(&self, moves: &[(u16, id::Instance)]) -> Self {
        let epoch = Epoch(self.epoch.0 + 1);
        let mut owners = Owners::default();
        let mut slots = Vec::with_capacity(usize::from(PER_SHARD));
        for place in 0..PER_SHARD {
            let holder = match moves.iter().find(|(p, _)| *p == place) {
                Some((_, owner)) => Some(Holder {
                    owner: owner.clone(),
                    epoch,
                }),
                None => self.holder(place),
            };
            slots.push(match holder {
                Some(holder) => (owners.place(holder.owner), holder.epoch),
                None => (u16::MAX, Epoch(0)),
            });
        }
        Self {
            epoch,
            keepers: self.keepers.clone(),
            owners: owners.0,
            slots,
            mark: id::Request::fresh().to_string(),
        }
    }
}

#[derive(Default)]
struct Owners(Vec<id::Instance>);

impl Owners {
    fn place(&mut self, owner: id::Instance) -> u16 {
        let place = self.0.iter().position(|o| *o == owner);
        let place = place.unwrap_or_else(|| {
            self.0.push(owner);
            self.0.len() - 1
        });
        u16::try_from(place).unwrap_or(u16::MAX)
    }
}

/// The shard of a slot, and its place there.
pub fn place(slot: Slot) -> (u16, u16) {
    (slot.0 / PER_SHARD, slot.0 % PER_SHARD)
}

/// The slot at a place of a shard.
pub fn slot(shard: u16, place: u16) -> Slot {
    Slot(shard * PER_SHARD + place)
}

/// A shard with the revision of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Version {
    /// The key's revision, 0 where there is none yet.
    pub revision: Revision,
    /// The shard.
    pub shard: Arc<Shard>,
}

/// The whole map as seen from this process.
pub type View = Arc<Vec<Version>>;

/// The map, followed.
#[derive(Debug)]
pub struct Map {
    view: watch::Sender<View>,
    loaded: watch::Sender<bool>,
}

impl Default for Map {
    fn default() -> Self {
        let empty = vec![Version::default(); usize::from(SHARDS)];
        Self {
            view: watch::Sender::new(Arc::new(empty)),
            loaded: watch::Sender::new(false),
        }
    }
}

impl Map {
    /// The present view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Follows the view.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Whether the map has been read once.
    pub fn loaded(&self) -> bool {
        *self.loaded.borrow()
    }

    /// Whether every slot has been given to an owner.
    pub fn assigned(&self) -> bool {
        let view = self.view.borrow();
        view.iter().all(|version| version.revision > 0)
    }

    /// Who owns a slot, as far as is known here.
    pub fn holder(&self, slot: Slot) -> Option<Holder> {
        let (shard, place) = place(slot);
        self.view.borrow()[usize::from(shard)].shard.holder(place)
    }

    /// Writes a shard in place of `known`, and takes in what then stands there.
    /// Tells whether the write took place.
    ///
    /// # Errors
    ///
    /// The key-value service failed; the write may have taken place, and then
    /// the watch brings it.
    pub async fn swap(
        &self,
        kv: &dyn KeyValue,
        number: u16,
        known: &Version,
        shard: Shard,
    ) -> Result<bool, kv::Error> {
        let value = serde_json::to_vec(&shard).map_err(|e| kv::Error::Refused(e.to_string()))?;
        let swap = Swap {
            key: key(number),
            expected: known.revision,
            value: Some(value),
            lease: None,
        };
        match kv::settle(kv, swap).await? {
            Swapped::Done(revision) => {
                self.take(number, revision, shard);
                Ok(true)
            }
            Swapped::Conflict(found) => {
                if let Some(entry) = found {
                    self.read(&entry.key, entry.revision, &entry.value);
                }
                Ok(false)
            }
        }
    }

    /// Follows the map until `stop`.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::keep("slots", stop, || self.once(&*kv)).await;
    }

    async fn once(&self, kv: &dyn KeyValue) -> Result<(), kv::Error> {
        let listing = kv.list(PREFIX).await?;
        for entry in &listing.entries {
            self.read(&entry.key, entry.revision, &entry.value);
        }
        self.loaded.send_replace(true);
        let mut watch = kv.watch(PREFIX, listing.revision + 1).await?;
        loop {
            for event in watch.next().await? {
                if let Event::Put(entry) = event {
                    self.read(&entry.key, entry.revision, &entry.value);
                }
            }
        }
    }

    fn read(&self, key: &str, revision: Revision, value: &[u8]) {
        let number = key.strip_prefix(PREFIX).and_then(|n| n.parse().ok());
        let shard = serde_json::from_slice(value);
        match (number, shard) {
            (Some(number), Ok(shard)) if number < SHARDS => self.take(number, revision, shard),
            (_, result) => {
                let error = result.err().map(|e| e.to_string());
                tracing::error!(event = "shard_malformed", key, error);
            }
        }
    }

    /// Takes a shard in unless something newer is known.
    fn take(&self, number: u16, revision: Revision, shard: Shard) {
        self.view.send_if_modified(|view| {
            let known = &view[usize::from(number)];
            if known.revision >= revision {
                return false;
            }
            let mut shards = Vec::clone(view);
            shards[usize::from(number)] = Version {
                revision,
                shard: Arc::new(shard),
            };
            *view = Arc::new(shards);
            true
        });
    }
}

/// The key of a shard.
pub fn key(shard: u16) -> String {
    format!("{PREFIX}{shard}")
}
