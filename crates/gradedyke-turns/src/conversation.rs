//! A conversation: what was said in a turn and in all that it continues.
//!
//! A part of it may be on disk only. Which parts those are is found out under the
//! index's lock, and they are read without it.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::log::Place;
use crate::record::Id;

/// The conversation up to and with a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// Inputs and outputs, oldest first.
    pub body: Bytes,
    /// The backend server that ran the last turn.
    pub server: Id,
}

/// A part of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// It is in memory.
    Held(Body),
    /// It is on disk only.
    Stored(Place),
}

/// The conversation up to and with a turn, as far as it is in memory.
#[derive(Clone, Debug)]
pub struct Conversation {
    /// Its turns, oldest first.
    pub parts: Vec<(Id, Part)>,
    /// The backend server that ran the last turn.
    pub server: Id,
}

impl Conversation {
    /// The turns that have to be read from disk.
    pub fn stored(&self) -> Vec<Place> {
        let places = self.parts.iter().filter_map(|(_, part)| match part {
            Part::Held(_) => None,
            Part::Stored(place) => Some(*place),
        });
        places.collect()
    }

    /// The whole conversation, with `read` for the parts that are not in memory, in
    /// their order; `None` if one is missing there.
    pub fn chain(&self, read: &[Body]) -> Option<Chain> {
        let mut read = read.iter();
        let mut body = BytesMut::new();
        for (_, part) in &self.parts {
            let turn = match part {
                Part::Held(held) => held,
                Part::Stored(_) => read.next()?,
            };
            body.extend_from_slice(&turn.input);
            body.extend_from_slice(&turn.output);
        }
        Some(Chain {
            body: body.freeze(),
            server: self.server.clone(),
        })
    }
}
