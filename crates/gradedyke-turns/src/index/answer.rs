//! Records as they follow from the index, for replicas that fetch them.

use tokio::time::Instant;

use super::request::Request;
use super::{Index, RequestKey};
use crate::conversation::Part;
use crate::log::Place;
use crate::record::{Id, Key, Kind, Record, Reserved, Settled, Turn};

/// A record that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It follows from what is in memory.
    Held(Record),
    /// It is on disk only.
    Stored(Place),
}

impl Index {
    /// The record of a key, if it is here. What it says of how long it is kept counts from
    /// `now`.
    pub fn record(&mut self, key: &Key, now: Instant) -> Option<Answer> {
        let request = *self.names.get(&key.request)?;
        match key.kind {
            Kind::Turn => self.turn(request),
            Kind::Reserved => self.reserved(request, now).map(Answer::Held),
            Kind::Settled => self.settled(request, now).map(Answer::Held),
        }
    }

    fn turn(&mut self, key: RequestKey) -> Option<Answer> {
        let part = self.part(key)?;
        let request = &self.requests[key];
        let kept = request.turn.as_ref()?;
        let body = match part {
            Part::Held(body) => body,
            Part::Stored(place) => return Some(Answer::Stored(place)),
        };
        let parent = kept.parent.map(|key| self.requests[key].id.clone());
        Some(Answer::Held(Record::Turn(Turn {
            request: request.id.clone(),
            parent,
            input: body.input,
            output: body.output,
            server: kept.server.clone(),
            program: kept.program.clone(),
            tokens: kept.tokens,
            keep_ms: kept.keep_ms,
        })))
    }

    /// The name of an attempt's program, and how long its attempts count still.
    fn owner(&self, request: &Request, now: Instant) -> Option<(Id, u32)> {
        let program = &self.programs[request.program?];
        let left = program.until.saturating_duration_since(now);
        let keep_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((program.name.clone(), keep_ms))
    }

    fn reserved(&self, key: RequestKey, now: Instant) -> Option<Record> {
        let request = &self.requests[key];
        let (program, keep_ms) = self.owner(request, now)?;
        Some(Record::Reserved(Reserved {
            program,
            request: request.id.clone(),
            tokens: request.reserved?,
            keep_ms,
        }))
    }

    fn settled(&self, key: RequestKey, now: Instant) -> Option<Record> {
        let request = &self.requests[key];
        let (program, keep_ms) = self.owner(request, now)?;
        Some(Record::Settled(Settled {
            program,
            request: request.id.clone(),
            tokens: request.settled?,
            keep_ms,
        }))
    }
}
