//! Remote calls between processes of the system.
//!
//! All calls from one process to another share one TCP connection. Requests and
//! replies are length-delimited frames that start with the call's number. Replies
//! may arrive in any order, so a long-polling call does not block others. The
//! protocol carries binary bodies unencoded and needs less CPU time per call than
//! HTTP.
//!
//! - [`client`]: makes calls and reconnects when necessary.
//! - [`server`]: accepts connections and answers calls.

pub mod client;
pub mod server;

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::LengthDelimitedCodec;

pub use client::{Client, Error};
pub use server::Handler;

/// Maximum size of a frame. The largest conversations must fit.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Size of the call's number at the start of a frame.
const CALL_NUMBER_BYTES: usize = size_of::<u64>();

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes a frame from the call's number and its body.
fn encode_frame(number: u64, body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(CALL_NUMBER_BYTES + body.len());
    frame.put_u64(number);
    frame.put_slice(body);
    frame.freeze()
}

/// Decodes a frame into the call's number and its body. Returns `None` if the
/// frame is too short.
fn decode_frame(frame: BytesMut) -> Option<(u64, Bytes)> {
    let mut frame = frame.freeze();
    let head = frame.get(..CALL_NUMBER_BYTES)?;
    let number = u64::from_be_bytes(head.try_into().ok()?);
    let body = frame.split_off(CALL_NUMBER_BYTES);
    Some((number, body))
}
