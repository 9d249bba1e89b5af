//! Identifiers, errors and settings shared by all gradedyke crates.
//!
//! This crate is the lowest layer: it performs no I/O, spawns no tasks, reads no
//! clock, and depends on no other gradedyke crate.
//!
//! - [`id`]: typed identifiers, and the hash that maps a program to its slot.
//! - [`problem`]: the error type that is returned to callers and operators.
//! - [`retry`]: exponential backoff.
//! - [`settings`]: settings of an instance and the shared settings tree, as JSON with comments.

pub mod id;
pub mod problem;
pub mod retry;
pub mod settings;
