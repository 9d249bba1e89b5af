//! Rebuilds records from the index, for replicas that fetch them.

use tokio::time::Instant;

use super::request::IndexedRequest;
use super::{Index, RequestKey};
use crate::conversation::TurnBody;
use crate::log::Location;
use crate::record::{Id, Key, Kind, Record, Reserved, Settled, Turn};

/// A record found in the index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The record, rebuilt from memory.
    InMemory(Record),
    /// The location of a record that is only on disk.
    OnDisk(Location),
}

impl Lookup {
    /// Returns the size of the record's body in bytes; of a record that is only on disk, the size
    /// of the whole record.
    pub fn byte_len(&self) -> usize {
        match self {
            Lookup::InMemory(record) => record.body_bytes(),
            Lookup::OnDisk(location) => location.len as usize,
        }
    }
}

impl Index {
    /// Returns the record with `key`, or `None` if the index does not contain it. A
    /// reservation or settlement gets the remaining retention time of its program at `now`.
    pub fn record(&mut self, key: &Key, now: Instant) -> Option<Lookup> {
        let request = *self.request_keys.get(&key.request)?;
        match key.kind {
            Kind::Turn => self.turn_record(request),
            Kind::Reserved => self.reserved_record(request, now).map(Lookup::InMemory),
            Kind::Settled => self.settled_record(request, now).map(Lookup::InMemory),
        }
    }

    fn turn_record(&mut self, key: RequestKey) -> Option<Lookup> {
        let turn_body = self.turn_body(key)?;
        let request = &self.requests[key];
        let turn = request.turn.as_ref()?;
        let body = match turn_body {
            TurnBody::InMemory(body) => body,
            TurnBody::OnDisk(location) => return Some(Lookup::OnDisk(location)),
        };
        let parent = turn.parent.map(|key| self.requests[key].id.clone());
        Some(Lookup::InMemory(Record::Turn(Turn {
            request: request.id.clone(),
            parent,
            input: body.input,
            output: body.output,
            server: turn.server.clone(),
            program: turn.program.clone(),
            tokens: turn.tokens,
            keep_ms: turn.keep_ms,
        })))
    }

    /// Returns the ID of a request's program and the program's remaining retention time
    /// in milliseconds.
    fn program_retention(&self, request: &IndexedRequest, now: Instant) -> Option<(Id, u32)> {
        let program = &self.programs[request.program?];
        let left = program.expires_at.saturating_duration_since(now);
        let keep_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((program.id.clone(), keep_ms))
    }

    fn reserved_record(&self, key: RequestKey, now: Instant) -> Option<Record> {
        let request = &self.requests[key];
        let (program, keep_ms) = self.program_retention(request, now)?;
        Some(Record::Reserved(Reserved {
            program,
            request: request.id.clone(),
            tokens: request.reserved_tokens?,
            keep_ms,
        }))
    }

    fn settled_record(&self, key: RequestKey, now: Instant) -> Option<Record> {
        let request = &self.requests[key];
        let (program, keep_ms) = self.program_retention(request, now)?;
        Some(Record::Settled(Settled {
            program,
            request: request.id.clone(),
            tokens: request.used_tokens?,
            keep_ms,
        }))
    }
}
