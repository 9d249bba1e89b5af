//! A shared scheduling service for agent programs.
//!
//! Gradedyke is every process between callers and backend servers. It answers
//! for each program finishing whole, in order and within its budget, for client
//! accounts that do not trust one another. This crate is the library; the
//! daemon over it is `gradedyke run`.
//!
//! A [`kernel`] starts the roles that register themselves with it:
//!
//! - [`entry`] takes callers' requests and relays the answers;
//! - [`owner`] orders the calls of the programs it owns and dispatches them;
//! - [`keeper`] keeps copies of the journal;
//! - [`admin`] serves operators.
//!
//! What they share: [`membership`] and [`ownership`] in the key-value service,
//! [`current`] settings, the state of a [`program`], [`routing`], and
//! the [`wire`] between entry and owner.

pub mod admin;
pub mod current;
pub mod entry;
pub mod keeper;
pub mod kernel;
pub mod membership;
pub mod owner;
pub mod ownership;
pub mod program;
pub mod routing;
mod watching;
pub mod wire;

pub use kernel::Process;
