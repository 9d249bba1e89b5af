//! What follows from the records, in memory.
//!
//! Records may come in any order and more than once. A turn is kept as long as
//! any turn that continues it: each use of a turn renews its whole chain. What was
//! said in a turn is held in memory up to a limit; the rest is read from disk.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::body::{Body, Cache};
use crate::log::{Place, Segment};
use crate::record::{Id, Key, Kind, Record, Reserved, Settled, Turn};

/// Kept beyond the time asked for: a caller's clock starts when the last byte
/// reaches it, ours when the record is applied.
const KEEP_MARGIN: Duration = Duration::from_secs(5);

/// What one attempt used of its program's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    pub request: Id,
    /// Tokens reserved, or used once it is settled.
    pub tokens: u32,
    /// Whether the use is known.
    pub settled: bool,
}

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

/// A record that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It follows from what is in memory.
    Held(Record),
    /// It is on disk only.
    Stored(Place),
}

struct Use {
    reserved: Option<u32>,
    settled: Option<u32>,
}

struct Program {
    attempts: HashMap<Id, Use>,
    until: Instant,
}

struct Kept {
    parent: Option<Id>,
    server: Id,
    program: Option<Id>,
    tokens: u32,
    keep_ms: u32,
    until: Instant,
}

impl Kept {
    /// The turn again, with what was said in it.
    fn turn(&self, request: &Id, body: Body) -> Turn {
        Turn {
            request: request.clone(),
            parent: self.parent.clone(),
            input: body.input,
            output: body.output,
            server: self.server.clone(),
            program: self.program.clone(),
            tokens: self.tokens,
            keep_ms: self.keep_ms,
        }
    }
}

/// Where a record is.
#[derive(Clone, Copy)]
struct Spot {
    segment: Segment,
    /// Where exactly, once that is known.
    place: Option<Place>,
}

/// Where in the stream of arrivals a reader stands.
pub type Position = u64;

/// Bytes of conversations that a replica holds in memory: those of the last 17 s
/// on the largest deployment in use (1.4 MB a second), in which nearly all turns
/// are continued; a fifth of the memory of its replicas (130 MB).
pub const BODIES: usize = 24 << 20;

/// The state of a replica.
pub struct Index {
    programs: HashMap<Id, Program>,
    turns: HashMap<Id, Kept>,
    bodies: Cache,
    /// Programs of attempts, to find the record of a key.
    owners: HashMap<Id, Id>,
    /// Keys in the order of their arrival, for replicas that follow.
    arrivals: VecDeque<Key>,
    /// Position of the first of them.
    first: Position,
    spots: HashMap<Key, Spot>,
    live: HashMap<Segment, usize>,
}

impl Index {
    /// An empty index that holds up to `bodies` bytes of conversations in memory.
    pub fn new(bodies: usize) -> Self {
        Self {
            programs: HashMap::new(),
            turns: HashMap::new(),
            bodies: Cache::new(bodies),
            owners: HashMap::new(),
            arrivals: VecDeque::new(),
            first: 0,
            spots: HashMap::new(),
            live: HashMap::new(),
        }
    }

    /// Whether a record with `key` is here.
    pub fn has(&self, key: &Key) -> bool {
        self.spots.contains_key(key)
    }

    /// Takes a record in that is written to `segment`. Tells whether it is new.
    pub fn apply(&mut self, record: &Record, segment: Segment, now: Instant) -> bool {
        let key = record.key();
        if self.has(&key) {
            return false;
        }
        let until = now + record.keep() + KEEP_MARGIN;
        match record {
            Record::Reserved(Reserved {
                program, tokens, ..
            }) => {
                self.attempt(program, &key.request, until).reserved = Some(*tokens);
            }
            Record::Settled(Settled {
                program, tokens, ..
            }) => {
                self.attempt(program, &key.request, until).settled = Some(*tokens);
            }
            Record::Turn(turn) => {
                if let Some(program) = &turn.program {
                    self.attempt(program, &key.request, until).settled = Some(turn.tokens);
                }
                self.renew(turn.parent.clone(), now);
                self.insert(turn, until);
            }
        }
        let spot = Spot {
            segment,
            place: None,
        };
        self.spots.insert(key.clone(), spot);
        *self.live.entry(segment).or_default() += 1;
        self.arrivals.push_back(key);
        true
    }

    fn insert(&mut self, turn: &Turn, until: Instant) {
        let body = Body {
            input: turn.input.clone(),
            output: turn.output.clone(),
        };
        self.bodies.put(turn.request.clone(), body);
        let kept = Kept {
            parent: turn.parent.clone(),
            server: turn.server.clone(),
            program: turn.program.clone(),
            tokens: turn.tokens,
            keep_ms: turn.keep_ms,
            until,
        };
        self.turns.insert(turn.request.clone(), kept);
    }

    /// Notes where a record is on disk, once that is known. From then on it need
    /// not be in memory.
    pub fn place(&mut self, key: &Key, place: Place) {
        let Some(spot) = self.spots.get_mut(key) else {
            return;
        };
        if let Some(live) = self.live.get_mut(&spot.segment) {
            *live -= 1;
        }
        spot.segment = place.segment;
        spot.place = Some(place);
        *self.live.entry(place.segment).or_default() += 1;
        self.trim();
    }

    /// Brings a turn's body, as it was read from disk, back into memory.
    pub fn restore(&mut self, request: &Id, body: Body) {
        if self.turns.contains_key(request) {
            self.bodies.restore(request, body);
            self.trim();
        }
    }

    fn trim(&mut self) {
        let spots = &self.spots;
        self.bodies.trim(|request| {
            let key = turn_key(request);
            spots.get(&key).is_some_and(|s| s.place.is_some())
        });
    }

    /// Bytes of conversations in memory.
    pub fn body_bytes(&self) -> usize {
        self.bodies.bytes()
    }

    fn attempt(&mut self, program: &Id, request: &Id, until: Instant) -> &mut Use {
        self.owners.insert(request.clone(), program.clone());
        let new = || Program {
            attempts: HashMap::new(),
            until,
        };
        let entry = self.programs.entry(program.clone()).or_insert_with(new);
        entry.until = entry.until.max(until);
        entry.attempts.entry(request.clone()).or_insert(Use {
            reserved: None,
            settled: None,
        })
    }

    /// Keeps a turn and all it continues for their whole time from `now`.
    fn renew(&mut self, mut id: Option<Id>, now: Instant) {
        while let Some(kept) = id.and_then(|id| self.turns.get_mut(&id)) {
            let keep = Duration::from_millis(kept.keep_ms.into());
            kept.until = now + keep + KEEP_MARGIN;
            id = kept.parent.clone();
        }
    }

    /// The attempts of a program.
    pub fn attempts(&self, program: &Id) -> Vec<Attempt> {
        let Some(program) = self.programs.get(program) else {
            return Vec::new();
        };
        let attempt = |(request, used): (&Id, &Use)| Attempt {
            request: request.clone(),
            tokens: used.settled.or(used.reserved).unwrap_or_default(),
            settled: used.settled.is_some(),
        };
        program.attempts.iter().map(attempt).collect()
    }

    /// Whether a turn and all it continues are here.
    pub fn has_chain(&self, id: &Id) -> bool {
        let mut next = Some(id);
        while let Some(id) = next {
            let Some(kept) = self.turns.get(id) else {
                return false;
            };
            next = kept.parent.as_ref();
        }
        true
    }

    /// The conversation up to and with a turn, if all of it is here.
    pub fn conversation(&mut self, id: &Id) -> Option<Conversation> {
        let server = self.turns.get(id)?.server.clone();
        let mut parts = Vec::new();
        let mut next = Some(id.clone());
        while let Some(id) = next {
            next = self.turns.get(&id)?.parent.clone();
            let part = self.part(&id)?;
            parts.push((id, part));
        }
        parts.reverse();
        Some(Conversation { parts, server })
    }

    fn part(&mut self, id: &Id) -> Option<Part> {
        if let Some(body) = self.bodies.get(id) {
            return Some(Part::Held(body));
        }
        let spot = self.spots.get(&turn_key(id))?;
        spot.place.map(Part::Stored)
    }

    /// The position after the last arrival.
    pub fn end(&self) -> Position {
        self.first + self.arrivals.len() as u64
    }

    /// Up to `most` keys that arrived from `from` on, and the position after
    /// them. Positions before the first that is remembered start there: what
    /// was forgotten has expired.
    pub fn arrived(&self, from: Position, most: usize) -> (Vec<Key>, Position) {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let keys: Vec<Key> = self
            .arrivals
            .iter()
            .skip(skip)
            .take(most)
            .cloned()
            .collect();
        let next = from.max(self.first).min(self.end()) + keys.len() as u64;
        (keys, next)
    }

    /// The record of a key, if it is here.
    pub fn record(&mut self, key: &Key) -> Option<Answer> {
        if key.kind == Kind::Turn {
            return self.turn(&key.request);
        }
        self.used(key).map(Answer::Held)
    }

    fn turn(&mut self, request: &Id) -> Option<Answer> {
        let part = self.part(request)?;
        let kept = self.turns.get(request)?;
        Some(match part {
            Part::Held(body) => Answer::Held(Record::Turn(kept.turn(request, body))),
            Part::Stored(place) => Answer::Stored(place),
        })
    }

    /// The record of what an attempt reserved or used.
    fn used(&self, key: &Key) -> Option<Record> {
        let program = self.owners.get(&key.request)?;
        let owner = self.programs.get(program)?;
        let used = owner.attempts.get(&key.request)?;
        let now = Instant::now();
        let left = owner.until.saturating_duration_since(now);
        let keep_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let (program, request) = (program.clone(), key.request.clone());
        Some(match key.kind {
            Kind::Reserved => Record::Reserved(Reserved {
                program,
                request,
                tokens: used.reserved?,
                keep_ms,
            }),
            _ => Record::Settled(Settled {
                program,
                request,
                tokens: used.settled?,
                keep_ms,
            }),
        })
    }

    /// Forgets what has expired and returns the segments that hold nothing any
    /// more.
    pub fn expire(&mut self, now: Instant) -> Vec<Segment> {
        let mut gone: HashSet<Key> = HashSet::new();
        let key = |kind, request: &Id| Key {
            kind,
            request: request.clone(),
        };
        let bodies = &mut self.bodies;
        self.turns.retain(|id, kept| {
            let keep = kept.until > now;
            if !keep {
                gone.insert(turn_key(id));
                bodies.remove(id);
            }
            keep
        });
        let owners = &mut self.owners;
        self.programs.retain(|_, program| {
            let keep = program.until > now;
            if !keep {
                for request in program.attempts.keys() {
                    owners.remove(request);
                    gone.insert(key(Kind::Reserved, request));
                    gone.insert(key(Kind::Settled, request));
                }
            }
            keep
        });
        for key in &gone {
            if let Some(spot) = self.spots.remove(key)
                && let Some(live) = self.live.get_mut(&spot.segment)
            {
                *live -= 1;
            }
        }
        while self.arrivals.front().is_some_and(|k| !self.has(k)) {
            self.arrivals.pop_front();
            self.first += 1;
        }
        let empty = self.live.iter().filter(|(_, live)| **live == 0);
        empty.map(|(segment, _)| *segment).collect()
    }

    /// Forgets a segment that was removed from the disk.
    pub fn removed(&mut self, segment: Segment) {
        self.live.remove(&segment);
    }

    /// Turns and programs that are kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.turns.len(), self.programs.len())
    }
}

fn turn_key(request: &Id) -> Key {
    Key {
        kind: Kind::Turn,
        request: request.clone(),
    }
}
