//! Decisions on requests and programs: which backend server runs a request, which programs are
//! admitted, and how many requests a client account may have run.
//!
//! The crate does no I/O and reads no clock: each deciding function takes the present time as an
//! argument, so tests can play any load in virtual time.
//!
//! - [`account`]: client accounts and their keys; [`allowance`]: rate limits of client accounts.
//! - [`estimate`]: estimated durations; [`health`]: health of a server; [`prefix`]: prompt
//!   prefixes in a server's cache; [`owners`]: engines that keep shared parts of prompts;
//!   [`placement`]: the choice of a server for a request.
//! - [`demand`]: expected number of requests of a program; [`plan`]: when it is expected to make
//!   them; [`throttle`]: admission of new programs while keepers are overloaded.
//! - [`outage`]: retry delays while the store does not confirm keys and configuration.
//! - [`admission`]: admission of new programs while a service's servers are full; [`progress`]:
//!   what a program still needs.
//! - [`mechanism`]: mechanisms that can be switched off, to measure their effect.
//! - [`window`]: sums over a sliding time window.

pub mod account;
pub mod admission;
pub mod allowance;
pub mod demand;
pub mod estimate;
pub mod health;
pub mod mechanism;
pub mod outage;
pub mod owners;
pub mod placement;
pub mod plan;
pub mod prefix;
pub mod progress;
pub mod throttle;
pub mod window;

use std::time::Duration;

/// Shortest retry delay that callers are given, apart from the jitter.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
