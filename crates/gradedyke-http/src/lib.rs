//! HTTP listeners, clients and replies over hyper.
//!
//! Every listener and every client of gradedyke goes through this crate, so
//! that limits, time-outs and errors are the same everywhere. It knows nothing
//! of programs or owners and can be used alone.
//!
//! - [`server`]: one task per connection, bounded, with a planned stop.
//! - [`client`]: tells whether a failed request was certainly not sent.
//! - [`body`]: bounded reading, and bodies fed by a channel.
//! - [`reply`]: JSON and error replies.

pub mod body;
pub mod client;
pub mod reply;
pub mod server;

pub use body::Body;
pub use client::Client;
pub use server::{Handler, Server};
