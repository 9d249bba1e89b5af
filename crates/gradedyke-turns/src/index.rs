//! In-memory index of the records that a replica stores.
//!
//! Records may be applied in any order and more than once. A turn is retained at least as long as
//! each turn that continues it, and while one that continues it runs ([`Index::hold`]). Turn bodies
//! are cached in memory up to a limit and are read from disk otherwise.
//!
//! Requests and programs are stored in slot maps and refer to each other by key, so
//! an ID is hashed once for each record and ancestors are followed without hashing.
//!
//! - `request`: the items for requests, programs and turns.
//! - `lookup`: rebuilds records from the index.
//! - `retain`: extends the retention of what later turns need.
//! - `expire`: removes expired items.

mod expire;
mod lookup;
mod request;
mod retain;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::body::{Body, Cache};
use crate::conversation::{Conversation, TurnBody};
use crate::log::{Location, Segment};
use crate::record::{Id, Key, Kind, Record, Turn};
use request::{IndexedProgram, IndexedRequest, IndexedTurn, WriteState};

pub use lookup::Lookup;

/// Added to the requested retention time, because a caller counts that time from the last
/// byte of the response, whereas a replica counts it from applying the record.
const RETENTION_MARGIN: Duration = Duration::from_secs(5);

/// Tokens of a program's budget that one attempt reserved or used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// ID of the request.
    pub request: Id,
    /// Tokens used if `settled`, tokens reserved otherwise.
    pub tokens: u32,
    /// Whether the number of tokens used is known.
    pub settled: bool,
}

new_key_type! {
    /// Key of a request that has records, or whose turn is continued by another turn.
    pub struct RequestKey;
    struct ProgramKey;
}

/// Number of records applied before this point.
pub type Position = u64;

/// Limit for the turn bodies that a replica caches in memory, in bytes. Evicted bodies are read
/// from disk. Holds the last 16 s at 0.74 MB/s or 8 s at 1.4 MB/s, within which most turns are
/// continued, and is a tenth of a memory of 120 MB.
pub const MAX_CACHED_BODY_BYTES: usize = 12 << 20;

/// Index of a replica's records by request and program.
pub struct Index {
    requests: SlotMap<RequestKey, IndexedRequest>,
    request_keys: HashMap<Id, RequestKey>,
    programs: SlotMap<ProgramKey, IndexedProgram>,
    program_keys: HashMap<Id, ProgramKey>,
    /// IDs of the backend servers that ran turns, interned so that turns share them.
    servers: HashSet<Id>,
    bodies: Cache<RequestKey>,
    /// Number of turns in the index.
    turn_count: usize,
    /// Records in the order in which they were applied, for replicas that follow this one.
    applied_records: VecDeque<(Kind, RequestKey)>,
    /// Position of the first element of `applied_records`.
    first_position: Position,
    /// Turns that are continued but not in the index, and until when they are needed. Empty unless
    /// records were applied out of order or missed.
    missing_turns: HashMap<RequestKey, Instant>,
    /// Number of unexpired records, by segment.
    live_record_counts: BTreeMap<Segment, usize>,
    /// The longest retention time of any record since the start.
    longest_retention: Duration,
}

impl Index {
    /// Creates an empty index that caches up to `max_body_bytes` bytes of turn bodies.
    pub fn new(max_body_bytes: usize) -> Self {
        Self {
            requests: SlotMap::with_key(),
            request_keys: HashMap::new(),
            programs: SlotMap::with_key(),
            program_keys: HashMap::new(),
            servers: HashSet::new(),
            bodies: Cache::new(max_body_bytes),
            turn_count: 0,
            applied_records: VecDeque::new(),
            first_position: 0,
            missing_turns: HashMap::new(),
            live_record_counts: BTreeMap::new(),
            longest_retention: Duration::ZERO,
        }
    }

    /// Returns whether the index contains the record with `key`.
    pub fn contains(&self, key: &Key) -> bool {
        self.request(&key.request)
            .is_some_and(|r| r.has_record(key.kind))
    }

    /// Returns whether the record with `key` is stored on this replica's disk.
    pub fn is_stored(&self, key: &Key) -> bool {
        let request = self.request(&key.request);
        let state = request.and_then(|r| r.write_states[key.kind as usize]);
        state.is_some_and(|s| s.location().is_some())
    }

    fn request(&self, id: &Id) -> Option<&IndexedRequest> {
        self.requests.get(*self.request_keys.get(id)?)
    }

    /// Returns the key of a request and inserts an empty item if there is none.
    fn get_or_insert_key(&mut self, id: &Id) -> RequestKey {
        if let Some(key) = self.request_keys.get(id) {
            return *key;
        }
        let key = self.requests.insert(IndexedRequest::new(id.clone()));
        self.request_keys.insert(id.clone(), key);
        key
    }

    /// Applies a record that is being written to `segment`. Returns whether it is new.
    pub fn apply(&mut self, record: &Record, segment: Segment, now: Instant) -> bool {
        self.insert_record(record, segment, true, now)
    }

    /// Applies a record that is on disk at `location`. Caches the body of a turn only if
    /// `cache_body` is set. Returns whether the record is new.
    pub fn apply_stored(
        &mut self,
        record: &Record,
        location: Location,
        cache_body: bool,
        now: Instant,
    ) -> bool {
        let new = self.insert_record(record, location.segment, cache_body, now);
        if new {
            self.set_location(&record.key(), location);
        }
        new
    }

    fn insert_record(
        &mut self,
        record: &Record,
        segment: Segment,
        cache_body: bool,
        now: Instant,
    ) -> bool {
        let Key { kind, request } = record.key();
        let key = self.get_or_insert_key(&request);
        if self.requests[key].has_record(kind) {
            return false;
        }
        let retention = record.retention() + RETENTION_MARGIN;
        self.longest_retention = self.longest_retention.max(retention);
        let expires_at = now + retention;
        match record {
            Record::Reserved(reserved) => {
                self.add_attempt(&reserved.program, key, expires_at);
                self.requests[key].reserved_tokens = Some(reserved.tokens);
            }
            Record::Settled(settled) => {
                self.add_attempt(&settled.program, key, expires_at);
                self.requests[key].used_tokens = Some(settled.tokens);
            }
            Record::Turn(turn) => {
                self.insert_turn(key, turn, expires_at);
                if cache_body {
                    self.cache_turn_body(key, turn);
                }
            }
        }
        self.requests[key].write_states[kind as usize] = Some(WriteState::Pending(segment));
        *self.live_record_counts.entry(segment).or_default() += 1;
        self.applied_records.push_back((kind, key));
        true
    }

    fn insert_turn(&mut self, key: RequestKey, turn: &Turn, expires_at: Instant) {
        if let Some(program) = &turn.program {
            self.add_attempt(program, key, expires_at);
            self.requests[key].used_tokens = Some(turn.tokens);
        }
        let program = turn.program.as_ref().and(self.requests[key].program);
        let program = program.map(|key| self.programs[key].id.clone());
        let server = self.intern_server(&turn.server);
        let parent = turn.parent.as_ref().map(|id| self.get_or_insert_key(id));
        let needed_until = self.missing_turns.remove(&key);
        let expires_at = needed_until.map_or(expires_at, |until| until.max(expires_at));
        self.turn_count += 1;
        self.requests[key].turn = Some(Box::new(IndexedTurn {
            parent,
            server,
            program,
            tokens: turn.tokens,
            keep_ms: turn.keep_ms,
            expires_at,
        }));
        self.retain_turns(parent, expires_at);
    }

    /// Caches the body of a turn in memory.
    fn cache_turn_body(&mut self, key: RequestKey, turn: &Turn) {
        let body = Body {
            input: turn.input.clone(),
            output: turn.output.clone(),
        };
        self.bodies.insert(key, body);
    }

    /// Returns the interned ID of a backend server.
    fn intern_server(&mut self, id: &Id) -> Id {
        if let Some(known) = self.servers.get(id) {
            return known.clone();
        }
        self.servers.insert(id.clone());
        id.clone()
    }

    /// Sets the location of a record that has been written to disk. The body of a turn
    /// may be evicted from memory from then on.
    pub fn set_location(&mut self, key: &Key, location: Location) {
        let request = self.request_keys.get(&key.request).copied();
        let request = request.and_then(|r| self.requests.get_mut(r));
        let state = request.and_then(|r| r.write_states[key.kind as usize].as_mut());
        let Some(state) = state else {
            return;
        };
        let previous = std::mem::replace(state, WriteState::OnDisk(location));
        if let Some(count) = self.live_record_counts.get_mut(&previous.segment()) {
            *count -= 1;
        }
        *self.live_record_counts.entry(location.segment).or_default() += 1;
        self.evict_bodies();
    }

    /// Caches a turn's body that was read from disk.
    pub fn cache_body(&mut self, request: &Id, body: Body) {
        let Some(key) = self.request_keys.get(request).copied() else {
            return;
        };
        if self.requests[key].turn.is_some() {
            self.bodies.insert_referenced(key, body);
            self.evict_bodies();
        }
    }

    fn evict_bodies(&mut self) {
        let requests = &self.requests;
        let is_stored = |key: RequestKey| {
            let state = requests
                .get(key)
                .and_then(|r| r.write_states[Kind::Turn as usize]);
            state.is_some_and(|s| s.location().is_some())
        };
        self.bodies.evict(is_stored);
    }

    /// Returns the size of the cached turn bodies in bytes.
    pub fn cached_body_bytes(&self) -> usize {
        self.bodies.cached_bytes()
    }

    /// Adds a request to a program's attempts, and retains the program at least until
    /// `expires_at`.
    fn add_attempt(&mut self, program: &Id, request: RequestKey, expires_at: Instant) {
        let key = match self.program_keys.get(program) {
            Some(key) => *key,
            None => {
                let key = self.programs.insert(IndexedProgram {
                    id: program.clone(),
                    attempts: Vec::new(),
                    expires_at,
                });
                self.program_keys.insert(program.clone(), key);
                key
            }
        };
        let program = &mut self.programs[key];
        program.expires_at = program.expires_at.max(expires_at);
        let owner = &mut self.requests[request].program;
        if owner.is_none() {
            *owner = Some(key);
            program.attempts.push(request);
        }
    }

    /// Returns the attempts of a program, or none if the program is unknown.
    pub fn attempts(&self, program: &Id) -> Vec<Attempt> {
        let Some(program) = self.program_keys.get(program) else {
            return Vec::new();
        };
        let requests = self.programs[*program].attempts.iter();
        let requests = requests.map(|key| &self.requests[*key]);
        let attempt = |request: &IndexedRequest| Attempt {
            request: request.id.clone(),
            tokens: request
                .used_tokens
                .or(request.reserved_tokens)
                .unwrap_or_default(),
            settled: request.used_tokens.is_some(),
        };
        requests.map(attempt).collect()
    }

    /// Returns whether the index contains a turn.
    pub fn has_turn(&self, id: &Id) -> bool {
        self.request(id).is_some_and(|r| r.turn.is_some())
    }

    /// Returns whether the index contains a turn and all its ancestors.
    pub fn has_turn_and_ancestors(&self, id: &Id) -> bool {
        self.first_missing_ancestor(id).is_none()
    }

    /// Follows a turn and its ancestors, newest first, and returns the first one that is not
    /// in the index.
    pub fn first_missing_ancestor(&self, id: &Id) -> Option<Id> {
        let Some(mut key) = self.request_keys.get(id).copied() else {
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

    /// Returns the conversation up to and including a turn, or `None` if a turn of it is
    /// missing.
    pub fn conversation(&mut self, id: &Id) -> Option<Conversation> {
        let last = *self.request_keys.get(id)?;
        let server = self.requests[last].turn.as_ref()?.server.clone();
        let mut turns = Vec::new();
        let mut next = Some(last);
        while let Some(key) = next {
            next = self.requests[key].turn.as_ref()?.parent;
            let body = self.turn_body(key)?;
            turns.push((self.requests[key].id.clone(), body));
        }
        turns.reverse();
        Some(Conversation { turns, server })
    }

    fn turn_body(&mut self, key: RequestKey) -> Option<TurnBody> {
        if let Some(body) = self.bodies.get(key) {
            return Some(TurnBody::InMemory(body));
        }
        let state = self.requests[key].write_states[Kind::Turn as usize]?;
        state.location().map(TurnBody::OnDisk)
    }

    /// Returns the position after the last applied record.
    pub fn end_position(&self) -> Position {
        self.first_position + self.applied_records.len() as u64
    }

    /// Returns the keys of the unexpired records among the `limit` records from position
    /// `from` on, and the position after these records. A `from` before the first known
    /// position starts at that one: all records before it have expired.
    pub fn keys_since(&self, from: Position, limit: usize) -> (Vec<Key>, Position) {
        let from = from.clamp(self.first_position, self.end_position());
        let skip = usize::try_from(from - self.first_position).unwrap_or(usize::MAX);
        let page = self.applied_records.iter().skip(skip).take(limit);
        let next = from + page.len() as u64;
        // Requests that have been removed are skipped.
        let keys = page.filter_map(|(kind, key)| {
            let request = self.requests.get(*key)?.id.clone();
            Some(Key {
                kind: *kind,
                request,
            })
        });
        (keys.collect(), next)
    }

    /// Returns the longest time for which any record since the start is retained, unless it is
    /// continued.
    pub fn longest_retention(&self) -> Duration {
        self.longest_retention
    }

    /// Stops tracking a segment that was removed from disk.
    pub fn forget_segment(&mut self, segment: Segment) {
        self.live_record_counts.remove(&segment);
    }

    /// Returns the number of turns and the number of programs in the index.
    pub fn turn_and_program_counts(&self) -> (usize, usize) {
        (self.turn_count, self.programs.len())
    }
}
