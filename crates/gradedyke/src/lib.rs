//! A shared scheduling service for agent programs.
//!
//! Gradedyke runs between callers and backend servers. It makes sure that the
//! calls of each program run completely, in order and within the program's
//! budget, and isolates client accounts from one another. This crate is the
//! library; `gradedyke run` starts it as a daemon.
//!
//! The [`kernel`] starts the roles of a process:
//!
//! - [`entry`] authenticates callers' requests and relays the answers;
//! - [`owner`] orders and dispatches the calls of the programs that it owns;
//! - [`keeper`] stores a replica of the journal;
//! - [`admin`] serves the operator API.
//!
//! The roles share [`membership`] and [`ownership`] through the key-value
//! service, the [`current`] settings, the state of a [`program`], [`routing`],
//! and the [`wire`] format between entry and owner.

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
