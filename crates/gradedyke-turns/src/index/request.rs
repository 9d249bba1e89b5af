//! What is known of one request, and of one program.

use tokio::time::Instant;

use super::{ProgramKey, RequestKey};
use crate::log::{Place, Segment};
use crate::record::{Id, Kind};

/// Where a record is.
#[derive(Clone, Copy)]
pub(super) enum Spot {
    /// It is being written to this segment.
    Coming(Segment),
    /// It is on disk.
    Stored(Place),
}

impl Spot {
    pub(super) fn segment(self) -> Segment {
        match self {
            Self::Coming(segment) => segment,
            Self::Stored(place) => place.segment,
        }
    }

    pub(super) fn place(self) -> Option<Place> {
        match self {
            Self::Coming(_) => None,
            Self::Stored(place) => Some(place),
        }
    }
}

/// What the records of one request say.
pub(super) struct Request {
    pub(super) id: Id,
    pub(super) program: Option<ProgramKey>,
    pub(super) reserved: Option<u32>,
    pub(super) settled: Option<u32>,
    pub(super) turn: Option<Box<Kept>>,
    /// Where its records are, by kind.
    pub(super) spots: [Option<Spot>; KINDS],
}

/// Kinds of record.
const KINDS: usize = 3;

impl Request {
    pub(super) fn new(id: Id) -> Self {
        Self {
            id,
            program: None,
            reserved: None,
            settled: None,
            turn: None,
            spots: [None; KINDS],
        }
    }

    pub(super) fn has(&self, kind: Kind) -> bool {
        self.spots[kind as usize].is_some()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.spots.iter().all(Option::is_none)
    }
}

pub(super) struct Program {
    pub(super) name: Id,
    pub(super) attempts: Vec<RequestKey>,
    pub(super) until: Instant,
}

/// A turn without what was said in it.
pub(super) struct Kept {
    pub(super) parent: Option<RequestKey>,
    pub(super) server: Id,
    pub(super) program: Option<Id>,
    pub(super) tokens: u32,
    pub(super) keep_ms: u32,
    pub(super) until: Instant,
}
