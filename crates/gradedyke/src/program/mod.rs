//! The state of programs on their owner.
//!
//! - [`record`]: the journal records of a tree of programs.
//! - [`state`]: the state that is rebuilt from the records.
//! - [`budget`]: the token budget of a tree.

pub mod budget;
pub mod record;
pub mod state;
