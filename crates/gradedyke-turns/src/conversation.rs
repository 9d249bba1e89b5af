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

impl Conversation {
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
