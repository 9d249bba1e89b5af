//! What follows from the records, in memory.
//!
//! Records may come in any order and more than once. A turn is kept as long as
//! any turn that continues it: each use of a turn renews its whole chain.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::log::Segment;
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

struct Use {
    reserved: Option<u32>,
    settled: Option<u32>,
}

struct Program {
    attempts: HashMap<Id, Use>,
    until: Instant,
}

struct Kept {
    turn: Turn,
    until: Instant,
}

/// Where in the stream of arrivals a reader stands.
pub type Position = u64;

/// The state of a replica.
#[derive(Default)]
pub struct Index {
    programs: HashMap<Id, Program>,
    turns: HashMap<Id, Kept>,
    /// Programs of attempts, to find the record of a key.
    owners: HashMap<Id, Id>,
    /// Keys in the order of their arrival, for replicas that follow.
    arrivals: VecDeque<Key>,
    /// Position of the first of them.
    first: Position,
    segments: HashMap<Key, Segment>,
    live: HashMap<Segment, usize>,
}

impl Index {
    /// Whether a record with `key` is here.
    pub fn has(&self, key: &Key) -> bool {
        self.segments.contains_key(key)
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
                let turn = turn.clone();
                if let Some(program) = &turn.program {
                    self.attempt(program, &key.request, until).settled = Some(turn.tokens);
                }
                self.renew(turn.parent.clone(), now);
                self.turns.insert(key.request.clone(), Kept { turn, until });
            }
        }
        self.segments.insert(key.clone(), segment);
        *self.live.entry(segment).or_default() += 1;
        self.arrivals.push_back(key);
        true
    }

    /// Notes which segment a record went to, once that is known.
    pub fn place(&mut self, key: &Key, segment: Segment) {
        let Some(before) = self.segments.get_mut(key) else {
            return;
        };
        if let Some(live) = self.live.get_mut(before) {
            *live -= 1;
        }
        *before = segment;
        *self.live.entry(segment).or_default() += 1;
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
            let keep = Duration::from_millis(kept.turn.keep_ms.into());
            kept.until = now + keep + KEEP_MARGIN;
            id = kept.turn.parent.clone();
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
            next = kept.turn.parent.as_ref();
        }
        true
    }

    /// The conversation up to and with a turn, if all of it is here.
    pub fn chain(&self, id: &Id) -> Option<Chain> {
        let last = self.turns.get(id)?;
        let mut turns = vec![&last.turn];
        let mut next = last.turn.parent.as_ref();
        while let Some(id) = next {
            let turn = &self.turns.get(id)?.turn;
            turns.push(turn);
            next = turn.parent.as_ref();
        }
        let bytes = turns.iter().map(|t| t.input.len() + t.output.len()).sum();
        let mut body = BytesMut::with_capacity(bytes);
        for turn in turns.iter().rev() {
            body.extend_from_slice(&turn.input);
            body.extend_from_slice(&turn.output);
        }
        Some(Chain {
            body: body.freeze(),
            server: last.turn.server.clone(),
        })
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
    pub fn record(&self, key: &Key) -> Option<Record> {
        if key.kind == Kind::Turn {
            let kept = self.turns.get(&key.request)?;
            return Some(Record::Turn(kept.turn.clone()));
        }
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
        self.turns.retain(|id, kept| {
            let keep = kept.until > now;
            if !keep {
                gone.insert(key(Kind::Turn, id));
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
            if let Some(segment) = self.segments.remove(key)
                && let Some(live) = self.live.get_mut(&segment)
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
