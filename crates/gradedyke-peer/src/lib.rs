//! Remote calls between processes of the system.
//!
//! All calls from one process to another share one TCP connection. Requests and
//! replies are length-delimited frames that start with the call's number. Replies
//! may arrive in any order, so a long-polling call does not block others. The
//! protocol carries binary bodies unencoded and needs less CPU time per call than
//! HTTP.
//!
//! A message of up to [`MAX_MESSAGE_BYTES`] is delivered. One over 1 MiB is sent in
//! fragments, between which small messages are sent, so that it delays them little, and its
//! timeouts count from the last fragment. A larger message fails only its own call, with an
//! error that tells its size; repeating the call does not help.
//!
//! - [`client`]: makes calls and reconnects when necessary.
//! - [`server`]: accepts connections and answers calls.
//! - `frame`: the encoding of frames.
//! - `outbox` and `inbox`: split messages into frames and put them together again.

pub mod client;
mod frame;
mod inbox;
mod outbox;
pub mod server;

pub use client::{Client, Error};
pub use server::Handler;
use tokio::time::Instant;

/// Maximum size of a request or a reply, in bytes. Limits the memory that a peer can make this
/// process allocate for one connection.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Sleeps until `deadline`, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
