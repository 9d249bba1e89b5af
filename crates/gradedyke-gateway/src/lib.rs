//! The HTTP gateway: takes callers' requests, finds where each may run, and
//! relays the answers.
//!
//! Two roles make a deployment. An *entry* stands before the callers: it routes
//! by host and path, chooses a backend server, keeps within each route's limits
//! and passes answers on byte for byte. It keeps nothing that must last. A
//! *keeper* has a disk: it keeps turns and budgets ([`gradedyke_turns`]) and
//! tells entries what the platform's key-value service holds.
//!
//! How callers, backend servers and the platform spell all this is behind the
//! traits of [`dialect`]; nothing here knows a header or a key by name.
//!
//! - [`dialect`]: the border towards the outside, in this project's types.
//! - [`config`]: routes and services as the operator sets them; [`account`]: client
//!   accounts and their keys.
//! - [`settings`]: settings of one process.
//! - [`fleet`]: the backend servers; [`health`]: what is learned of one of them;
//!   [`prefix`]: what it holds of prompts; [`estimate`]: usual times;
//!   [`placement`]: which of them runs a request.
//! - [`allowance`]: whether a request is within its account's allowance; [`demand`]: how
//!   many requests a program needs; [`throttle`]: whether one may begin while keepers have
//!   more to do than they can.
//! - [`mechanism`]: what of all this can be switched off, to measure its worth.
//! - [`window`]: sums over the last seconds.
//! - [`link`]: connections to backend servers.
//! - [`event`]: events within a stream.
//! - [`entry`]: requests from their head to their last byte.
//! - [`news`]: where a process learns from what the platform's service holds.
//! - [`process`]: a process from start to stop.

pub mod account;
pub mod allowance;
pub mod config;
pub mod demand;
pub mod dialect;
pub mod entry;
pub mod estimate;
pub mod event;
pub mod fleet;
pub mod health;
pub mod link;
pub mod mechanism;
pub mod meter;
pub mod news;
pub mod placement;
pub mod prefix;
pub mod process;
pub mod settings;
pub mod throttle;
pub mod window;
