//! The messages between an owner and a keeper.

use std::sync::Arc;

use gradedyke_base::id::{Epoch, Slot};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A position in a slot's log, from 1.
pub type Index = u64;

/// One entry of a slot's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The epoch of the owner that first appended it.
    pub epoch: Epoch,
    /// What it says, in JSON; shared between the keepers it goes to.
    pub data: Arc<RawValue>,
}

/// Entries to append to one slot's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// The slot.
    pub slot: Slot,
    /// The epoch of the owner that appends now.
    pub epoch: Epoch,
    /// The epoch of the entry before the first one, to detect a log that went
    /// another way. Zero before the first entry of all.
    pub previous: Epoch,
    /// Start the log anew with these entries, whatever was there before.
    #[serde(default)]
    pub restart: bool,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
}

/// How an append ended at one keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Kept, through this index.
    Kept(Index),
    /// Refused: this higher epoch has been promised.
    Fenced(Epoch),
    /// Refused: entries from this index on are missing or differ.
    Gap(Index),
}

/// Asks for a promise to refuse lower epochs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Seal {
    /// The slot.
    pub slot: Slot,
    /// The epoch to promise.
    pub epoch: Epoch,
}

/// How a seal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sealed {
    /// Promised; the log ends here.
    At(Tail),
    /// Refused: this higher epoch has been promised.
    Fenced(Epoch),
}

/// The end of a log. Of two logs, the one with the greater tail has all that
/// was ever kept by a majority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tail {
    /// The epoch of the last entry.
    pub epoch: Epoch,
    /// The index of the last entry; 0 for an empty log.
    pub index: Index,
}

/// Drops the entries before an index, which later entries have made useless.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Trim {
    /// The slot.
    pub slot: Slot,
    /// The epoch of the owner that asks.
    pub epoch: Epoch,
    /// The first index to keep.
    pub before: Index,
}

/// A part of a log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Entries in order; the first may come after the index asked for if
    /// earlier ones were trimmed.
    pub entries: Vec<Entry>,
    /// Whether there are more.
    pub more: bool,
}
