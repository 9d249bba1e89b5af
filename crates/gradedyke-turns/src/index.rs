//! What follows from the records, in memory.
//!
//! Records may come in any order and more than once. A turn is kept as long as
//! any turn that continues it: each use of a turn renews its whole chain. What was
//! said in a turn is held in memory up to a limit; the rest is read from disk.
//!
//! Requests and programs lie in arenas and refer to each other by small keys: a
//! name is looked up once for a record, and a chain is walked without hashing.
//!
//! `request` holds what is known of one request or program, `answer` makes records of it
//! again, and `expire` forgets.

mod answer;
mod expire;
mod request;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::body::{Body, Cache};
use crate::conversation::{Conversation, Part};
use crate::log::{Place, Segment};
use crate::record::{Id, Key, Kind, Record, Turn};
use request::{Kept, Program, Request, Spot};

pub use answer::Answer;

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

new_key_type! {
    /// A request of which there are records, or which a turn continues.
    pub struct RequestKey;
    struct ProgramKey;
}

/// Where in the stream of arrivals a reader stands.
pub type Position = u64;

/// Bytes of conversations that a replica holds in memory: those of the last 16 s at
/// 0.74 MB a second, of 8 s at 1.4, in which most turns are continued; a tenth of a
/// memory of 120 MB. What is older is read from disk.
pub const BODIES: usize = 12 << 20;

/// The state of a replica.
pub struct Index {
    requests: SlotMap<RequestKey, Request>,
    names: HashMap<Id, RequestKey>,
    programs: SlotMap<ProgramKey, Program>,
    program_names: HashMap<Id, ProgramKey>,
    /// Servers that ran turns, one name for all their turns.
    servers: HashSet<Id>,
    bodies: Cache<RequestKey>,
    /// Turns that are kept.
    turns: usize,
    /// Records in the order of their arrival, for replicas that follow.
    arrivals: VecDeque<(Kind, RequestKey)>,
    /// Position of the first of them.
    first: Position,
    /// Records that each segment holds.
    live: BTreeMap<Segment, usize>,
}

impl Index {
    /// An empty index that holds up to `bodies` bytes of conversations in memory.
    pub fn new(bodies: usize) -> Self {
        Self {
            requests: SlotMap::with_key(),
            names: HashMap::new(),
            programs: SlotMap::with_key(),
            program_names: HashMap::new(),
            servers: HashSet::new(),
            bodies: Cache::new(bodies),
            turns: 0,
            arrivals: VecDeque::new(),
            first: 0,
            live: BTreeMap::new(),
        }
    }

    /// Whether a record with `key` is here.
    pub fn has(&self, key: &Key) -> bool {
        self.find(&key.request).is_some_and(|r| r.has(key.kind))
    }

    /// Whether a record with `key` is on disk here.
    pub fn stored(&self, key: &Key) -> bool {
        let spot = self.find(&key.request);
        let spot = spot.and_then(|r| r.spots[key.kind as usize]);
        spot.is_some_and(|s| s.place().is_some())
    }

    fn find(&self, id: &Id) -> Option<&Request> {
        self.requests.get(*self.names.get(id)?)
    }

    /// The key of a request, made if it is new.
    fn key(&mut self, id: &Id) -> RequestKey {
        if let Some(key) = self.names.get(id) {
            return *key;
        }
        let key = self.requests.insert(Request::new(id.clone()));
        self.names.insert(id.clone(), key);
        key
    }

    /// Takes a record in that is written to `segment`. Tells whether it is new.
    pub fn apply(&mut self, record: &Record, segment: Segment, now: Instant) -> bool {
        self.take(record, segment, true, now)
    }

    /// Takes a record in that is on disk at `place`; what was said in a turn only if
    /// it is to be held. Tells whether the record is new.
    pub fn recover(&mut self, record: &Record, place: Place, hold: bool, now: Instant) -> bool {
        let new = self.take(record, place.segment, hold, now);
        if new {
            self.place(&record.key(), place);
        }
        new
    }

    fn take(&mut self, record: &Record, segment: Segment, hold: bool, now: Instant) -> bool {
        let Key { kind, request } = record.key();
        let key = self.key(&request);
        if self.requests[key].has(kind) {
            return false;
        }
        let until = now + record.keep() + KEEP_MARGIN;
        match record {
            Record::Reserved(reserved) => {
                self.attempt(&reserved.program, key, until);
                self.requests[key].reserved = Some(reserved.tokens);
            }
            Record::Settled(settled) => {
                self.attempt(&settled.program, key, until);
                self.requests[key].settled = Some(settled.tokens);
            }
            Record::Turn(turn) => {
                self.insert(key, turn, until, now);
                if hold {
                    self.hold(key, turn);
                }
            }
        }
        self.requests[key].spots[kind as usize] = Some(Spot::Coming(segment));
        *self.live.entry(segment).or_default() += 1;
        self.arrivals.push_back((kind, key));
        true
    }

    fn insert(&mut self, key: RequestKey, turn: &Turn, until: Instant, now: Instant) {
        if let Some(program) = &turn.program {
            self.attempt(program, key, until);
            self.requests[key].settled = Some(turn.tokens);
        }
        let program = turn.program.as_ref().and(self.requests[key].program);
        let program = program.map(|key| self.programs[key].name.clone());
        let server = self.server(&turn.server);
        let parent = turn.parent.as_ref().map(|id| self.key(id));
        self.renew(parent, now);
        self.turns += 1;
        self.requests[key].turn = Some(Box::new(Kept {
            parent,
            server,
            program,
            tokens: turn.tokens,
            keep_ms: turn.keep_ms,
            until,
        }));
    }

    /// Holds what was said in a turn in memory.
    fn hold(&mut self, key: RequestKey, turn: &Turn) {
        let body = Body {
            input: turn.input.clone(),
            output: turn.output.clone(),
        };
        self.bodies.put(key, body);
    }

    /// The one name of a server.
    fn server(&mut self, id: &Id) -> Id {
        if let Some(known) = self.servers.get(id) {
            return known.clone();
        }
        self.servers.insert(id.clone());
        id.clone()
    }

    /// Notes where a record is on disk, once that is known. From then on it need
    /// not be in memory.
    pub fn place(&mut self, key: &Key, place: Place) {
        let request = self.names.get(&key.request).copied();
        let request = request.and_then(|r| self.requests.get_mut(r));
        let spot = request.and_then(|r| r.spots[key.kind as usize].as_mut());
        let Some(spot) = spot else {
            return;
        };
        let before = std::mem::replace(spot, Spot::Stored(place));
        if let Some(live) = self.live.get_mut(&before.segment()) {
            *live -= 1;
        }
        *self.live.entry(place.segment).or_default() += 1;
        self.trim();
    }

    /// Brings a turn's body, as it was read from disk, back into memory.
    pub fn restore(&mut self, request: &Id, body: Body) {
        let Some(key) = self.names.get(request).copied() else {
            return;
        };
        if self.requests[key].turn.is_some() {
            self.bodies.restore(key, body);
            self.trim();
        }
    }

    fn trim(&mut self) {
        let requests = &self.requests;
        let stored = |key: RequestKey| {
            let spot = requests.get(key).and_then(|r| r.spots[Kind::Turn as usize]);
            spot.is_some_and(|s| s.place().is_some())
        };
        self.bodies.trim(stored);
    }

    /// Bytes of conversations in memory.
    pub fn body_bytes(&self) -> usize {
        self.bodies.bytes()
    }

    /// Counts a request as an attempt of a program, until then.
    fn attempt(&mut self, program: &Id, request: RequestKey, until: Instant) {
        let key = match self.program_names.get(program) {
            Some(key) => *key,
            None => {
                let key = self.programs.insert(Program {
                    name: program.clone(),
                    attempts: Vec::new(),
                    until,
                });
                self.program_names.insert(program.clone(), key);
                key
            }
        };
        let program = &mut self.programs[key];
        program.until = program.until.max(until);
        let owner = &mut self.requests[request].program;
        if owner.is_none() {
            *owner = Some(key);
            program.attempts.push(request);
        }
    }

    /// Keeps a turn and all it continues for their whole time from `now`.
    fn renew(&mut self, mut next: Option<RequestKey>, now: Instant) {
        while let Some(turn) = next.and_then(|key| self.requests[key].turn.as_mut()) {
            let keep = Duration::from_millis(turn.keep_ms.into());
            turn.until = now + keep + KEEP_MARGIN;
            next = turn.parent;
        }
    }

    /// The attempts of a program.
    pub fn attempts(&self, program: &Id) -> Vec<Attempt> {
        let Some(program) = self.program_names.get(program) else {
            return Vec::new();
        };
        let requests = self.programs[*program].attempts.iter();
        let requests = requests.map(|key| &self.requests[*key]);
        let attempt = |request: &Request| Attempt {
            request: request.id.clone(),
            tokens: request.settled.or(request.reserved).unwrap_or_default(),
            settled: request.settled.is_some(),
        };
        requests.map(attempt).collect()
    }

    /// Whether a turn and all it continues are here.
    pub fn has_chain(&self, id: &Id) -> bool {
        self.missing(id).is_none()
    }

    /// The first of a turn and all it continues that is not here.
    pub fn missing(&self, id: &Id) -> Option<Id> {
        let Some(mut key) = self.names.get(id).copied() else {
            return Some(id.clone());
        };
        loop {
            let request = &self.requests[key];
            let Some(turn) = &request.turn else {
                return Some(request.id.clone());
            };
            key = turn.parent?;
        }
    }

    /// The conversation up to and with a turn, if all of it is here.
    pub fn conversation(&mut self, id: &Id) -> Option<Conversation> {
        let last = *self.names.get(id)?;
        let server = self.requests[last].turn.as_ref()?.server.clone();
        let mut parts = Vec::new();
        let mut next = Some(last);
        while let Some(key) = next {
            next = self.requests[key].turn.as_ref()?.parent;
            let part = self.part(key)?;
            parts.push((self.requests[key].id.clone(), part));
        }
        parts.reverse();
        Some(Conversation { parts, server })
    }

    fn part(&mut self, key: RequestKey) -> Option<Part> {
        if let Some(body) = self.bodies.get(key) {
            return Some(Part::Held(body));
        }
        let spot = self.requests[key].spots[Kind::Turn as usize]?;
        spot.place().map(Part::Stored)
    }

    /// The position after the last arrival.
    pub fn end(&self) -> Position {
        self.first + self.arrivals.len() as u64
    }

    /// Up to `most` keys that arrived from `from` on, and the position after
    /// them. Positions before the first that is remembered start there: what
    /// was forgotten has expired.
    pub fn arrived(&self, from: Position, most: usize) -> (Vec<Key>, Position) {
        let from = from.clamp(self.first, self.end());
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let page = self.arrivals.iter().skip(skip).take(most);
        let next = from + page.len() as u64;
        // What has expired among them is passed over.
        let keys = page.filter_map(|(kind, key)| {
            let request = self.requests.get(*key)?.id.clone();
            Some(Key {
                kind: *kind,
                request,
            })
        });
        (keys.collect(), next)
    }

    /// Forgets a segment that was removed from the disk.
    pub fn removed(&mut self, segment: Segment) {
        self.live.remove(&segment);
    }

    /// Turns and programs that are kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.turns, self.programs.len())
    }
}
