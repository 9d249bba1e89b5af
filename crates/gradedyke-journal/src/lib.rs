//! The journal: what must outlive an owner, kept on several keepers.
//!
//! Each slot of programs has a log. Its owner appends entries to every keeper
//! of the slot and counts an entry as kept once a majority has it. The owner's
//! epoch comes from the key-value service; a keeper refuses an epoch lower than
//! the highest it has promised, so an owner that was paused and replaced can do
//! no harm, whatever its clock says. A new owner seals a majority at its epoch,
//! takes the log whose last entry has the highest epoch and index, brings a
//! majority up to it, and only then serves.
//!
//! This is the log half of a replicated log such as Raft, without elections:
//! who leads is decided by compare-and-swap elsewhere. It was preferred to
//! writing each call to the key-value service, whose rates are a hundred times
//! too small, and to a replicated store with members of its own, which
//! operators would have to look after. Given up: with only two keepers, both
//! must be up.
//!
//! Entries are opaque here; what they mean is the owner's business.
//!
//! - [`entry`]: the messages between owner and keeper.
//! - [`keeper`]: the trait of a keeper, [`rpc`] its form between processes.
//! - [`store`]: what a keeper keeps, on disk or in memory.
//! - [`log`]: the owner's side: append with a majority, mend, recover.

pub mod entry;
pub mod keeper;
pub mod log;
mod peer;
pub mod recover;
pub mod rpc;
pub mod store;

pub use keeper::Keeper;
pub use log::{Journal, Log};
