//! HTTP servers, clients and replies, based on hyper.
//!
//! All of gradedyke's HTTP servers and clients use this crate, so that limits,
//! timeouts and errors are the same everywhere. It does not depend on programs or
//! owners and can be used on its own.
//!
//! - [`server`]: a server with a limit on connections and graceful shutdown.
//! - [`client`]: a client whose errors tell whether a request was sent.
//! - [`body`]: reading bodies with limits, and bodies fed by a channel.
//! - [`reply`]: JSON and error replies.

pub mod body;
pub mod client;
pub mod reply;
pub mod server;

pub use body::Body;
pub use client::Client;
pub use server::{Handler, Server};
