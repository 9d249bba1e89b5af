//! Events within a stream (`text/event-stream`), cut apart but not changed.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into events, each with the empty line that ends it.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
}

/// An event is longer than is waited for.
#[derive(Debug, thiserror::Error)]
#[error("an event has over {EVENT_BYTES} bytes; see what the backend server sends")]
pub struct TooLong;

impl Splitter {
    /// Takes bytes in.
    ///
    /// # Errors
    ///
    /// [`TooLong`] when an event does not end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// The next whole event.
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
        let from = self.searched.saturating_sub(3);
        let end = end(&self.buffer[from..]).map(|at| from + at);
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// What came after the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

/// Where the first empty line ends.
fn end(bytes: &[u8]) -> Option<usize> {
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

/// The lines of an event that begin with `field`, without it.
pub fn field<'a>(event: &'a [u8], field: &str) -> Option<&'a [u8]> {
    let mut lines = event.split(|b| *b == b'\n');
    lines.find_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let rest = line.strip_prefix(field.as_bytes())?.strip_prefix(b":")?;
        Some(rest.strip_prefix(b" ").unwrap_or(rest))
    })
}
