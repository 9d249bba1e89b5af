//! Calls between the system's own processes.
//!
//! One TCP connection joins two processes and carries any number of calls at a
//! time, each a frame behind its length with the call's number in front. A
//! reply may overtake an earlier one, so a call that waits for news never holds
//! up the others. JSON-RPC would have to spell binary bodies as text, and an
//! HTTP exchange a call costs several times the processor time; both were given
//! up for the path that every turn takes.
//!
//! - [`client`]: the calling side, which connects again by itself.
//! - [`server`]: the answering side.

pub mod client;
pub mod server;

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::LengthDelimitedCodec;

pub use client::{Client, Error};
pub use server::Handler;

/// Largest frame in bytes: a conversation of 670,000 tokens, four bytes each,
/// with room to spare.
const FRAME_BYTES: usize = 16 << 20;

/// Bytes of the call's number at the front of a frame.
const NUMBER_BYTES: usize = size_of::<u64>();

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec()
}

/// Puts the call's number in front of its body.
fn join(number: u64, body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(NUMBER_BYTES + body.len());
    frame.put_u64(number);
    frame.put_slice(body);
    frame.freeze()
}

/// Takes a frame apart into the call's number and its body.
fn split(frame: BytesMut) -> Option<(u64, Bytes)> {
    let mut frame = frame.freeze();
    let head = frame.get(..NUMBER_BYTES)?;
    let number = u64::from_be_bytes(head.try_into().ok()?);
    let body = frame.split_off(NUMBER_BYTES);
    Some((number, body))
}
