//! Puts received fragments together.

use std::io;

use bytes::{Buf, Bytes, BytesMut};

use crate::MAX_MESSAGE_BYTES;
use crate::frame::{Frame, Kind};

/// A message that was received completely.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Message {
    Whole(Bytes),
    /// The size of a reply that the peer could not send.
    TooLarge(u64),
}

/// The message that is being received in fragments.
struct Partial {
    number: u64,
    /// What was received; stays empty if nobody waits for the message.
    body: BytesMut,
    received: usize,
    total: usize,
    is_wanted: bool,
}

/// Puts the messages of one connection together. A peer sends the fragments of one message
/// at a time, which limits the memory of a connection to [`MAX_MESSAGE_BYTES`].
#[derive(Default)]
pub(crate) struct Inbox {
    partial: Option<Partial>,
}

fn invalid() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidData)
}

impl Inbox {
    /// Adds a frame. Returns its call's number, and the message if it is complete now. Fragments of
    /// a message that is not `wanted`, by the call's number, are dropped; the message is then empty.
    ///
    /// # Errors
    ///
    /// The frame is invalid; the connection must be closed.
    pub(crate) fn receive(
        &mut self,
        frame: BytesMut,
        wanted: impl Fn(u64) -> bool,
    ) -> io::Result<(u64, Option<Message>)> {
        let Frame { number, kind, body } = Frame::decode(frame).ok_or_else(invalid)?;
        let is_partial = self.partial.as_ref().is_some_and(|p| p.number == number);
        let message = match kind {
            Kind::TooLarge => Some(Message::TooLarge(too_large_size(body)?)),
            Kind::Last if is_partial => Some(Message::Whole(self.finish(&body)?)),
            Kind::Last => Some(Message::Whole(body)),
            Kind::More => {
                self.add(number, body, wanted(number))?;
                None
            }
        };
        Ok((number, message))
    }

    /// Adds a fragment that others follow.
    fn add(&mut self, number: u64, mut fragment: Bytes, is_wanted: bool) -> io::Result<()> {
        let partial = match &mut self.partial {
            Some(partial) if partial.number == number => partial,
            Some(_) => return Err(invalid()),
            None => {
                let total = fragment.try_get_u64().map_err(|_| invalid())?;
                let total = usize::try_from(total).unwrap_or(usize::MAX);
                if total > MAX_MESSAGE_BYTES {
                    return Err(invalid());
                }
                self.partial.insert(Partial {
                    number,
                    body: BytesMut::with_capacity(if is_wanted { total } else { 0 }),
                    received: 0,
                    total,
                    is_wanted,
                })
            }
        };
        partial.append(&fragment)
    }

    /// Adds the last fragment and returns the message.
    fn finish(&mut self, fragment: &[u8]) -> io::Result<Bytes> {
        let mut partial = self.partial.take().ok_or_else(invalid)?;
        partial.append(fragment)?;
        if partial.received < partial.total {
            return Err(invalid());
        }
        Ok(partial.body.freeze())
    }
}

impl Partial {
    fn append(&mut self, fragment: &[u8]) -> io::Result<()> {
        self.received += fragment.len();
        if self.received > self.total {
            return Err(invalid());
        }
        if self.is_wanted {
            self.body.extend_from_slice(fragment);
        }
        Ok(())
    }
}

fn too_large_size(mut body: Bytes) -> io::Result<u64> {
    body.try_get_u64().map_err(|_| invalid())
}
