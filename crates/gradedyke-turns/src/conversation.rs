//! Conversations: the inputs and outputs of a turn and of all turns that it continues.
//!
//! Some parts may be on disk only. They are located while the index's lock is held and read
//! after it has been released.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::log::Location;
use crate::record::Id;

/// The text of the conversation up to and including a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transcript {
    /// Inputs and outputs, oldest first.
    pub body: Bytes,
    /// The backend server that ran the last turn.
    pub server: Id,
}

/// A turn of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The turn is in memory.
    InMemory(Body),
    /// The turn is on disk only, at this location.
    OnDisk(Location),
}

/// The conversation up to and including a turn, with the locations of the parts that are not
/// in memory.
#[derive(Clone, Debug)]
pub struct Conversation {
    /// Its turns, oldest first.
    pub parts: Vec<(Id, Part)>,
    /// The backend server that ran the last turn.
    pub server: Id,
}

impl Conversation {
    /// Returns the locations of the turns that have to be read from disk, oldest first.
    pub fn disk_locations(&self) -> Vec<Location> {
        let locations = self.parts.iter().filter_map(|(_, part)| match part {
            Part::InMemory(_) => None,
            Part::OnDisk(location) => Some(*location),
        });
        locations.collect()
    }

    /// Returns the whole conversation. `bodies` are the turns of [`Self::disk_locations`], in that
    /// order; `None` if one is missing.
    pub fn transcript(&self, bodies: &[Body]) -> Option<Transcript> {
        let mut bodies = bodies.iter();
        let mut body = BytesMut::new();
        for (_, part) in &self.parts {
            let turn = match part {
                Part::InMemory(in_memory) => in_memory,
                Part::OnDisk(_) => bodies.next()?,
            };
            body.extend_from_slice(&turn.input);
            body.extend_from_slice(&turn.output);
        }
        Some(Transcript {
            body: body.freeze(),
            server: self.server.clone(),
        })
    }
}
