//! The encoding of frames: a length, the call's number with the frame's kind in its upper
//! bits, and a body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a message that is sent in one frame. Usual messages are no larger, so processes
/// of earlier versions, which do not know fragments, can read them.
pub(crate) const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Maximum size of a fragment. A link of 130 Mbit/s carries it in 8 ms, which is how long it
/// delays small messages.
pub(crate) const MAX_FRAGMENT_BYTES: usize = 128 << 10;
/// Maximum size of a received frame. Processes of earlier versions send messages of up to this
/// size in one frame.
const MAX_RECEIVED_BYTES: usize = 16 << 20;
/// Size of the length at the start of a frame.
const LENGTH_BYTES: usize = size_of::<u32>();
/// Size of the call's number and the frame's kind.
const NUMBER_BYTES: usize = size_of::<u64>();
/// Position of the kind in the number.
const KIND_SHIFT: u32 = 62;

/// What a frame holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A whole message, or its last fragment.
    Last,
    /// A fragment that others follow. The first one starts with the size of the whole message.
    More,
    /// The size of a reply that is too large to be sent, in place of the reply.
    TooLarge,
}

impl Kind {
    fn bits(self) -> u64 {
        match self {
            Kind::Last => 0,
            Kind::More => 1,
            Kind::TooLarge => 2,
        }
    }

    fn from_bits(bits: u64) -> Option<Self> {
        [Kind::Last, Kind::More, Kind::TooLarge]
            .into_iter()
            .find(|kind| kind.bits() == bits)
    }
}

/// A received frame.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) number: u64,
    pub(crate) kind: Kind,
    pub(crate) body: Bytes,
}

impl Frame {
    /// Decodes a frame without its length; `None` if it is invalid.
    pub(crate) fn decode(frame: BytesMut) -> Option<Self> {
        let mut body = frame.freeze();
        let number = body.try_get_u64().ok()?;
        let kind = Kind::from_bits(number >> KIND_SHIFT)?;
        let number = number & ((1 << KIND_SHIFT) - 1);
        Some(Self { number, kind, body })
    }
}

/// Returns the codec of received frames, which rejects oversized ones.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RECEIVED_BYTES)
        .new_codec()
}

/// Appends a frame to `buffer`. Its body consists of `prefix`, if there is one, and `body`.
pub(crate) fn encode(
    buffer: &mut BytesMut,
    number: u64,
    kind: Kind,
    prefix: Option<u64>,
    body: &[u8],
) {
    let prefix_len = prefix.map_or(0, |_| size_of::<u64>());
    let len = NUMBER_BYTES + prefix_len + body.len();
    buffer.reserve(LENGTH_BYTES + len);
    // The body of a frame is at most `MAX_WHOLE_BYTES` long.
    buffer.put_u32(len as u32);
    buffer.put_u64(number | kind.bits() << KIND_SHIFT);
    if let Some(prefix) = prefix {
        buffer.put_u64(prefix);
    }
    buffer.put_slice(body);
}
