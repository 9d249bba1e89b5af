//! A replicated journal for state that must survive the failure of an owner.
//!
//! Programs are partitioned into slots, and each slot has a log. The slot's
//! owner appends entries to all of the slot's keepers; an entry is committed
//! once a majority has stored it. The owner's epoch comes from the key-value
//! service. A keeper rejects every epoch lower than the highest one it has
//! promised, which fences an owner that was paused and replaced, independently
//! of clocks. A new owner seals a majority of keepers at its epoch, selects the
//! log whose last entry has the highest epoch and index, copies that log to a
//! majority, and only then serves the slot.
//!
//! This is the log replication of a protocol such as Raft without its leader
//! election: the owner is chosen by compare-and-swap in the key-value service.
//! Entries are not written to that service itself because its rate limits are
//! too low. With only two keepers, both must be available.
//!
//! The journal does not interpret the contents of entries.
//!
//! - [`entry`]: the messages between owner and keeper.
//! - [`keeper`]: the keeper trait; [`rpc`] implements it over JSON-RPC.
//! - [`store`]: a keeper's storage, on disk or in memory.
//! - [`log`]: the owner's side, which appends entries to a majority of keepers.
//! - [`recover`]: recovery of a slot's log by a new owner.

pub mod entry;
pub mod keeper;
pub mod log;
mod peer;
pub mod recover;
pub mod rpc;
pub mod store;

pub use keeper::Keeper;
pub use log::{Journal, Log};
