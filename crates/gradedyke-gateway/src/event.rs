//! Splits a `text/event-stream` into events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into events, each including the empty line that ends it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer already searched for the end of an event.
    searched_len: usize,
}

/// The buffered data exceeds the maximum size of an event.
#[derive(Debug, thiserror::Error)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes; check the stream of the backend server")]
pub struct TooLong;

impl Splitter {
    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if more bytes are buffered than an event may have.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    ///
    /// ```
    /// use gradedyke_gateway::event::Splitter;
    ///
    /// let mut events = Splitter::default();
    /// events.push(b"id: 1\ndata: a\n\nid: 2").unwrap();
    /// assert_eq!(events.next_event().unwrap(), "id: 1\ndata: a\n\n");
    /// assert!(events.next_event().is_none());
    /// ```
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.searched_len.saturating_sub(3);
        let end = find_event_end(&self.buffer[from..]).map(|at| from + at);
        let Some(end) = end else {
            self.searched_len = self.buffer.len();
            return None;
        };
        self.searched_len = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// The bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }
}

/// Finds the offset just after the first empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        match bytes.get(at + 1..) {
            Some([b'\n', ..]) => return Some(at + 2),
            Some([b'\r', b'\n', ..]) => return Some(at + 3),
            _ => {}
        }
    }
    None
}

/// The value of the first line of an event that has the field `name`.
pub fn field<'a>(event: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut lines = event.split(|b| *b == b'\n');
    lines.find_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
