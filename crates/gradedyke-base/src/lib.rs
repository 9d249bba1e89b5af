//! Identifiers, errors and settings that every gradedyke crate shares.
//!
//! This crate is the bottom layer: it performs no input or output of its own
//! besides reading a settings file, holds no task and no clock, and can be used
//! without any other gradedyke crate.
//!
//! - [`id`]: small typed identifiers, and the hash from a program to its slot.
//! - [`problem`]: the error that callers and operators see.
//! - [`retry`]: when and how often to try again.
//! - [`settings`]: JSON-with-comments settings of an instance and of the tree.

pub mod id;
pub mod problem;
pub mod retry;
pub mod settings;
