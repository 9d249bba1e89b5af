//! Conversations: the inputs and outputs of a turn and of all turns that it continues.
//!
//! Some turns may be on disk only. They are located while the index's lock is held and read
//! after it has been released.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::log::Location;
use crate::record::Id;

/// The text of the conversation up to and including a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transcript {
    /// Text of all inputs and outputs, oldest first.
    pub body: Bytes,
    /// ID of the incarnation of the backend server that ran the last turn.
    pub server: Id,
}

/// Maximum size of a conversation with the new input of its next turn, in bytes. A turn of the
/// largest size can be continued.
pub const MAX_CONVERSATION_BYTES: usize = gradedyke_peer::MAX_MESSAGE_BYTES;

/// Consecutive turns of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Text of the inputs and outputs of these turns.
    pub body: Bytes,
    /// Number of turns of the conversation up to the end of this page; `None` at its end.
    pub next: Option<u32>,
    /// Upper bound on the size of the whole conversation, in bytes.
    pub conversation_bytes: u64,
    /// ID of the incarnation of the backend server that ran the last turn of the conversation.
    pub server: Id,
}

/// The body of a turn, or its location if it is only on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnBody {
    /// The body, from memory.
    InMemory(Body),
    /// The location of the turn, which is only on disk.
    OnDisk(Location),
}

/// The conversation up to and including a turn, with the locations of the turns that are not
/// in memory.
#[derive(Clone, Debug)]
pub struct Conversation {
    /// Its turns, oldest first.
    pub turns: Vec<(Id, TurnBody)>,
    /// ID of the incarnation of the backend server that ran the last turn.
    pub server: Id,
}

impl TurnBody {
    /// Returns the size of the turn in bytes; of one that is only on disk, the size of its record.
    fn byte_len(&self) -> usize {
        match self {
            TurnBody::InMemory(body) => body.byte_len(),
            TurnBody::OnDisk(location) => location.len as usize,
        }
    }
}

impl Conversation {
    /// Returns an upper bound on the size of the conversation in bytes, which is close to it.
    pub fn byte_len(&self) -> usize {
        self.turns.iter().map(|(_, turn)| turn.byte_len()).sum()
    }

    /// Returns the turns from number `from` on, up to the first one with which they have
    /// `full_bytes`, and the number of the turn after them; `None` at the end.
    #[must_use]
    pub fn page(&self, from: usize, full_bytes: usize) -> (Self, Option<usize>) {
        let rest = self.turns.get(from..).unwrap_or_default();
        let mut bytes = 0;
        let is_within_page = |(_, turn): &&(Id, TurnBody)| {
            let is_first_or_fits = bytes < full_bytes;
            bytes += turn.byte_len();
            is_first_or_fits
        };
        let turns: Vec<_> = rest.iter().take_while(is_within_page).cloned().collect();
        let next = from + turns.len();
        let page = Self {
            turns,
            server: self.server.clone(),
        };
        (page, (next < self.turns.len()).then_some(next))
    }

    /// Returns the locations of the turns that have to be read from disk, oldest first.
    pub fn disk_locations(&self) -> Vec<Location> {
        let locations = self.turns.iter().filter_map(|(_, turn)| match turn {
            TurnBody::InMemory(_) => None,
            TurnBody::OnDisk(location) => Some(*location),
        });
        locations.collect()
    }

    /// Returns the whole conversation. `bodies` are the turns of [`Self::disk_locations`], in that
    /// order; `None` if one is missing.
    pub fn transcript(&self, bodies: &[Body]) -> Option<Transcript> {
        let mut bodies = bodies.iter();
        let mut body = BytesMut::new();
        for (_, turn) in &self.turns {
            let turn_body = match turn {
                TurnBody::InMemory(in_memory) => in_memory,
                TurnBody::OnDisk(_) => bodies.next()?,
            };
            body.extend_from_slice(&turn_body.input);
            body.extend_from_slice(&turn_body.output);
        }
        Some(Transcript {
            body: body.freeze(),
            server: self.server.clone(),
        })
    }
}
