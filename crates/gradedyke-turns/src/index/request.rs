//! Items of the index: requests, programs and turns.

use tokio::time::Instant;

use super::{ProgramKey, RequestKey};
use crate::log::{Location, Segment};
use crate::record::{Id, Kind};

/// Whether a record has been written to disk, and where.
#[derive(Clone, Copy)]
pub(super) enum WriteState {
    /// The record is being written to this segment.
    Pending(Segment),
    /// The record is on disk at this location.
    OnDisk(Location),
}

impl WriteState {
    pub(super) fn segment(self) -> Segment {
        match self {
            Self::Pending(segment) => segment,
            Self::OnDisk(location) => location.segment,
        }
    }

    pub(super) fn location(self) -> Option<Location> {
        match self {
            Self::Pending(_) => None,
            Self::OnDisk(location) => Some(location),
        }
    }
}

/// Contents of the records of one request.
pub(super) struct IndexedRequest {
    pub(super) id: Id,
    pub(super) program: Option<ProgramKey>,
    pub(super) reserved_tokens: Option<u32>,
    pub(super) used_tokens: Option<u32>,
    pub(super) turn: Option<Box<IndexedTurn>>,
    /// Write states of the request's records, indexed by [`Kind`].
    pub(super) write_states: [Option<WriteState>; KIND_COUNT],
}

/// Number of variants of [`Kind`].
const KIND_COUNT: usize = 3;

impl IndexedRequest {
    pub(super) fn new(id: Id) -> Self {
        Self {
            id,
            program: None,
            reserved_tokens: None,
            used_tokens: None,
            turn: None,
            write_states: [None; KIND_COUNT],
        }
    }

    pub(super) fn has_record(&self, kind: Kind) -> bool {
        self.write_states[kind as usize].is_some()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.write_states.iter().all(Option::is_none)
    }
}

/// A program and the requests that count against its budget.
pub(super) struct IndexedProgram {
    pub(super) id: Id,
    pub(super) attempts: Vec<RequestKey>,
    pub(super) expires_at: Instant,
}

/// A turn without its body.
pub(super) struct IndexedTurn {
    pub(super) parent: Option<RequestKey>,
    pub(super) server: Id,
    pub(super) program: Option<Id>,
    pub(super) tokens: u32,
    pub(super) keep_ms: u32,
    pub(super) expires_at: Instant,
}
