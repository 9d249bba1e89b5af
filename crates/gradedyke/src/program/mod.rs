//! Programs as their owner knows them.
//!
//! - [`record`]: what the journal says of a tree of programs.
//! - [`state`]: the state that follows from the records.
//! - [`budget`]: what a tree may still spend.

pub mod budget;
pub mod record;
pub mod state;
