//! Memory cache for turn bodies.
//!
//! Every body is written to disk as well; the cache holds the most recently written or
//! read ones up to a limit. Eviction uses the second-chance algorithm: a body that was
//! read since it was last considered for eviction is skipped once. Unlike LRU, this
//! does not reorder a body on each read.

use std::collections::VecDeque;

use bytes::Bytes;
use slotmap::{Key, SparseSecondaryMap};

/// What a turn adds to its conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Request content sent by the caller.
    pub input: Bytes,
    /// Content that the response adds to the conversation.
    pub output: Bytes,
}

impl Body {
    /// Returns the size of input and output in bytes.
    pub fn byte_len(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

struct CachedBody {
    body: Body,
    /// Whether the body was read since it was last considered for eviction.
    referenced: bool,
}

/// A size-limited cache of turn bodies by the key of their turn.
pub struct Cache<K: Key> {
    /// Sparse because three of four requests have no cached body; a dense map would take 80 bytes
    /// for each.
    bodies: SparseSecondaryMap<K, CachedBody>,
    /// Keys in the order of eviction. May contain keys without a cached body.
    eviction_queue: VecDeque<K>,
    cached_bytes: usize,
    max_bytes: usize,
}

impl<K: Key> Cache<K> {
    /// Creates an empty cache for up to `max_bytes` bytes of bodies.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            bodies: SparseSecondaryMap::new(),
            eviction_queue: VecDeque::new(),
            cached_bytes: 0,
            max_bytes,
        }
    }

    /// Returns the size of all cached bodies in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Inserts a body at the end of the eviction queue, unless the turn has one already.
    /// Evicts nothing; call [`Cache::evict`] afterwards.
    ///
    /// ```
    /// use gradedyke_turns::body::{Body, Cache};
    ///
    /// let mut turns = slotmap::SlotMap::new();
    /// let (first, second) = (turns.insert("a"), turns.insert("b"));
    /// let mut cache = Cache::new(6);
    /// for turn in [first, second] {
    ///     cache.insert(turn, Body { input: "in".into(), output: "out".into() });
    /// }
    /// cache.evict(|_| true);
    /// assert!(cache.get(first).is_none());
    /// assert!(cache.get(second).is_some());
    /// ```
    pub fn insert(&mut self, turn: K, body: Body) {
        if self.bodies.contains_key(turn) {
            return;
        }
        self.cached_bytes += body.byte_len();
        self.eviction_queue.push_back(turn);
        self.bodies.insert(
            turn,
            CachedBody {
                body,
                referenced: false,
            },
        );
    }

    /// Inserts a body that was read from disk for a request, and marks it as referenced.
    pub fn insert_referenced(&mut self, turn: K, body: Body) {
        self.insert(turn, body);
        if let Some(cached) = self.bodies.get_mut(turn) {
            cached.referenced = true;
        }
    }

    /// Returns the body of a turn and marks it as referenced, or `None` if it is not cached.
    pub fn get(&mut self, turn: K) -> Option<Body> {
        let cached = self.bodies.get_mut(turn)?;
        cached.referenced = true;
        Some(cached.body.clone())
    }

    /// Removes the body of a turn.
    pub fn remove(&mut self, turn: K) {
        // The key stays in the eviction queue, and `evict` skips it.
        if let Some(cached) = self.bodies.remove(turn) {
            self.cached_bytes -= cached.body.byte_len();
        }
    }

    /// Evicts bodies until the size limit is met. Evicts only turns for which `is_stored`
    /// returns true, since the others cannot be read again.
    pub fn evict(&mut self, is_stored: impl Fn(K) -> bool) {
        // At most two visits for each key: the first may only clear `referenced`.
        let mut visits_left = 2 * self.eviction_queue.len();
        while self.cached_bytes > self.max_bytes && visits_left > 0 {
            visits_left -= 1;
            let Some(turn) = self.eviction_queue.pop_front() else {
                return;
            };
            let Some(cached) = self.bodies.get_mut(turn) else {
                continue;
            };
            let referenced = std::mem::take(&mut cached.referenced);
            if referenced || !is_stored(turn) {
                self.eviction_queue.push_back(turn);
            } else {
                self.remove(turn);
            }
        }
    }
}
