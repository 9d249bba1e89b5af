//! Splits messages into frames and writes them.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::frame::{self, Kind, MAX_FRAGMENT_BYTES, MAX_WHOLE_BYTES};

/// Timeout for writing without any progress. The connection is then closed: its peer does not
/// read, and queued messages would fill the memory.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of queued small messages from which no further message is accepted.
const FULL_BYTES: usize = 1 << 20;
/// Number of queued large messages from which no further message is accepted.
const MAX_LARGE_MESSAGES: usize = 4;
/// Maximum size of a buffer that is kept once it has been written.
const MAX_KEPT_BUFFER_BYTES: usize = 256 << 10;
/// Maximum number of writes after which other work of the connection is done.
const MAX_WRITES: usize = 16;

/// A message that is sent in fragments.
struct Large {
    number: u64,
    body: Bytes,
    /// Size of the fragments that were encoded.
    encoded: usize,
}

/// The messages to be written to one connection. Small messages are written between the
/// fragments of large ones, and large ones one after the other.
pub(crate) struct Outbox {
    /// Encoded frames that are being written.
    buffer: BytesMut,
    /// Size of the buffer when it was last filled.
    filled_bytes: usize,
    small: VecDeque<(u64, Kind, Bytes)>,
    small_bytes: usize,
    large: VecDeque<Large>,
    /// The last time at which bytes were written, or at which the outbox was empty.
    progress_at: Instant,
}

impl Outbox {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            buffer: BytesMut::new(),
            filled_bytes: 0,
            small: VecDeque::new(),
            small_bytes: 0,
            large: VecDeque::new(),
            progress_at: now,
        }
    }

    /// Whether everything was written.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.small.is_empty() && self.large.is_empty()
    }

    /// Whether enough is queued, so that further messages should wait.
    pub(crate) fn is_full(&self) -> bool {
        self.small_bytes >= FULL_BYTES || self.large.len() >= MAX_LARGE_MESSAGES
    }

    /// Queues a message, which must have at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    pub(crate) fn push(&mut self, number: u64, body: Bytes, now: Instant) {
        if body.len() <= MAX_WHOLE_BYTES {
            self.push_small(number, Kind::Last, body, now);
            return;
        }
        self.note_start(now);
        self.large.push_back(Large {
            number,
            body,
            encoded: 0,
        });
    }

    /// Queues the size of a reply that is too large, in place of the reply.
    pub(crate) fn push_too_large(&mut self, number: u64, size: usize, now: Instant) {
        let size = Bytes::copy_from_slice(&(size as u64).to_be_bytes());
        self.push_small(number, Kind::TooLarge, size, now);
    }

    fn push_small(&mut self, number: u64, kind: Kind, body: Bytes, now: Instant) {
        self.note_start(now);
        self.small_bytes += body.len();
        self.small.push_back((number, kind, body));
    }

    fn note_start(&mut self, now: Instant) {
        if self.is_empty() {
            self.progress_at = now;
        }
    }

    /// Returns the number of the large message that is being written, if there is one.
    pub(crate) fn large_in_progress(&self) -> Option<u64> {
        self.large.front().map(|l| l.number)
    }

    /// Returns when the connection must be closed unless bytes are written before; `None` if
    /// everything was written.
    pub(crate) fn stalls_at(&self) -> Option<Instant> {
        (!self.is_empty()).then_some(self.progress_at + STALL_TIMEOUT)
    }

    /// Writes as much as the connection accepts without waiting. Returns whether any bytes
    /// were written.
    ///
    /// # Errors
    ///
    /// The connection failed, or has accepted nothing for [`STALL_TIMEOUT`].
    pub(crate) fn write(&mut self, writer: &OwnedWriteHalf, now: Instant) -> io::Result<bool> {
        let mut has_written = false;
        for _ in 0..MAX_WRITES {
            if self.buffer.is_empty() {
                self.fill_buffer();
            }
            if self.buffer.is_empty() {
                break;
            }
            match writer.try_write(&self.buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero)),
                Ok(written) => {
                    self.buffer.advance(written);
                    self.progress_at = now;
                    has_written = true;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        match self.stalls_at() {
            Some(at) if at <= now => Err(io::Error::from(io::ErrorKind::TimedOut)),
            _ => Ok(has_written),
        }
    }

    /// Fills the empty buffer with small messages up to the size of a fragment, and then with a
    /// fragment of a large one.
    fn fill_buffer(&mut self) {
        // A process may have hundreds of connections, which would all keep their largest buffer.
        if self.filled_bytes > MAX_KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        self.encode_next();
        self.filled_bytes = self.buffer.len();
    }

    fn encode_next(&mut self) {
        while self.buffer.len() < MAX_FRAGMENT_BYTES {
            let Some((number, kind, body)) = self.small.pop_front() else {
                break;
            };
            self.small_bytes -= body.len();
            frame::encode(&mut self.buffer, number, kind, None, &body);
        }
        let Some(large) = self.large.front_mut() else {
            return;
        };
        let from = large.encoded;
        let to = large.body.len().min(from + MAX_FRAGMENT_BYTES);
        let is_last = to == large.body.len();
        let kind = if is_last { Kind::Last } else { Kind::More };
        let total = (from == 0).then_some(large.body.len() as u64);
        let fragment = &large.body[from..to];
        frame::encode(&mut self.buffer, large.number, kind, total, fragment);
        large.encoded = to;
        if is_last {
            self.large.pop_front();
        }
    }
}
