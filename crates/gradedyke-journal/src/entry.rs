//! The messages between an owner and a keeper.

use std::sync::Arc;

use gradedyke_base::id::{Epoch, Slot};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The position of an entry in a slot's log, starting at 1.
pub type Index = u64;

/// One entry of a slot's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log.
    pub index: Index,
    /// The epoch of the owner that first appended the entry.
    pub epoch: Epoch,
    /// The JSON payload, shared by the appends to all keepers.
    pub data: Arc<RawValue>,
}

/// Entries to append to one slot's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// The slot.
    pub slot: Slot,
    /// The epoch of the owner that sends this append.
    pub epoch: Epoch,
    /// The epoch of the entry before `entries`, to detect a log that has
    /// diverged. Zero if `entries` starts at index 1.
    pub previous: Epoch,
    /// Whether to replace the whole log with `entries`.
    #[serde(default)]
    pub restart: bool,
    /// The entries, with consecutive indices.
    pub entries: Vec<Entry>,
}

/// The result of an append at one keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Stored; the log is stored up to and including this index.
    Kept(Index),
    /// Rejected: the keeper has promised this higher epoch.
    Fenced(Epoch),
    /// Rejected: entries from this index on are missing or differ.
    Gap(Index),
}

/// A request to promise to reject all epochs lower than `epoch`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Seal {
    /// The slot.
    pub slot: Slot,
    /// The epoch to promise.
    pub epoch: Epoch,
}

/// The result of a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sealed {
    /// Promised; this is the end of the log.
    At(Tail),
    /// Rejected: the keeper has promised this higher epoch.
    Fenced(Epoch),
}

/// The end of a log. Among the logs of a sealed majority of keepers, the one
/// with the greatest tail contains every entry that a majority has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tail {
    /// The epoch of the last entry.
    pub epoch: Epoch,
    /// The index of the last entry; 0 for an empty log.
    pub index: Index,
}

/// A request to delete the entries before an index, because later entries
/// supersede them.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Trim {
    /// The slot.
    pub slot: Slot,
    /// The epoch of the owner that sends the request.
    pub epoch: Epoch,
    /// The first index to keep.
    pub before: Index,
}

/// A range of a log, as returned by one read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Page {
    /// Entries in index order. The first one may have a higher index than
    /// requested if earlier entries were trimmed.
    pub entries: Vec<Entry>,
    /// Whether the log has entries after this page.
    pub more: bool,
}
