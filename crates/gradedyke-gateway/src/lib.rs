//! HTTP gateway that routes callers' requests to backend servers and relays the responses.
//!
//! A process of a deployment has one of two roles. An *entry* accepts requests from callers:
//! it routes by host and path, chooses a backend server, enforces limits and relays the
//! response unchanged. It stores nothing durable. A *keeper* has a disk: it stores turns and
//! token budgets ([`gradedyke_turns`]) and passes the data of the platform's key-value store on
//! to entries.
//!
//! A *program* is a group of requests of one agent whose turns share a token budget; a *turn* is
//! one request of its conversation with a model. An *engine* is a backend server that runs a
//! model; a service of such servers is a *model service*, any other a *plain service*. A *tool
//! call* is a call of a plain service by a program. A *slot* is one of the requests that a server
//! can run at the same time.
//!
//! The *view* lists the keepers that store data, its *members*. The *watchers* are the members
//! that read the platform's key-value store on behalf of all other processes. A keeper outside
//! the view is a *spare*.
//!
//! The decisions themselves (placement, admission, limits of client accounts) are in
//! [`gradedyke_policy`]; this crate gathers their inputs and carries them out.
//!
//! The names of headers and keys are known only to the implementation of
//! [`dialect::Dialect`], outside this crate.
//!
//! - [`dialect`]: interface to the formats of callers, backend servers and the platform.
//! - [`config`]: the operator's routes and services.
//! - [`settings`]: settings of one process.
//! - [`fleet`]: the known backend servers.
//! - [`link`]: connections to backend servers.
//! - [`event`]: splitting of event streams.
//! - [`entry`]: handling of requests and responses.
//! - [`follow`]: updates of a process's copy of the platform's data.
//! - [`memory`]: memory for the bodies that a process holds.
//! - [`meter`]: metrics recorder and metrics page.
//! - [`process`]: start and shutdown of a process.

pub mod config;
pub mod dialect;
pub mod entry;
pub mod event;
pub mod fleet;
pub mod follow;
pub mod link;
pub mod memory;
pub mod meter;
pub mod process;
pub mod settings;
