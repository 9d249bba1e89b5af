//! Bodies of turns in memory: the newest and those in use, up to a limit.
//!
//! Conversations are by far the largest part of what a replica keeps, and most
//! of them are never read again. All are on disk; the memory holds what was
//! written or read last. Which body goes first is decided by second chance: one
//! that was read since its turn came is passed over once. Exact recency was
//! given up, because it would move an entry with each read.

use std::collections::VecDeque;

use bytes::Bytes;
use slotmap::{Key, SparseSecondaryMap};

/// What a turn adds to its conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// What the caller brought.
    pub input: Bytes,
    /// What the answer adds.
    pub output: Bytes,
}

impl Body {
    /// Its size in bytes.
    pub fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

struct Slot {
    body: Body,
    read: bool,
}

/// Bodies in memory, by the key of their turn.
pub struct Cache<K: Key> {
    /// Only what is held takes memory here: three in four requests hold nothing.
    /// Only bodies take memory here. By the place of the key, each request that there is
    /// would: 80 bytes.
    slots: SparseSecondaryMap<K, Slot>,
    /// The order in which they go.
    order: VecDeque<K>,
    bytes: usize,
    limit: usize,
}

impl<K: Key> Cache<K> {
    /// An empty cache that holds up to `limit` bytes of bodies.
    pub fn new(limit: usize) -> Self {
        Self {
            slots: SparseSecondaryMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Bytes of all bodies held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a body in; it is the last to go. Nothing goes before [`Cache::trim`].
    ///
    /// ```
    /// use gradedyke_turns::body::{Body, Cache};
    ///
    /// let mut turns = slotmap::SlotMap::new();
    /// let (first, second) = (turns.insert("a"), turns.insert("b"));
    /// let mut cache = Cache::new(6);
    /// for turn in [first, second] {
    ///     cache.put(turn, Body { input: "in".into(), output: "out".into() });
    /// }
    /// cache.trim(|_| true);
    /// assert!(cache.get(first).is_none());
    /// assert!(cache.get(second).is_some());
    /// ```
    pub fn put(&mut self, turn: K, body: Body) {
        if self.slots.contains_key(turn) {
            return;
        }
        self.bytes += body.bytes();
        self.order.push_back(turn);
        self.slots.insert(turn, Slot { body, read: false });
    }

    /// Takes a body in that was read from disk because it is in use.
    pub fn restore(&mut self, turn: K, body: Body) {
        self.put(turn, body);
        if let Some(slot) = self.slots.get_mut(turn) {
            slot.read = true;
        }
    }

    /// The body of a turn, if it is held.
    pub fn get(&mut self, turn: K) -> Option<Body> {
        let slot = self.slots.get_mut(turn)?;
        slot.read = true;
        Some(slot.body.clone())
    }

    /// Forgets the body of a turn.
    pub fn remove(&mut self, turn: K) {
        // Its place in the order is passed over when it comes up.
        if let Some(slot) = self.slots.remove(turn) {
            self.bytes -= slot.body.bytes();
        }
    }

    /// Forgets bodies until the limit is kept, as far as `stored` says that they
    /// can be read again.
    pub fn trim(&mut self, stored: impl Fn(K) -> bool) {
        // Each is looked at twice at most: the first look may only unmark it.
        let mut looks = 2 * self.order.len();
        while self.bytes > self.limit && looks > 0 {
            looks -= 1;
            let Some(turn) = self.order.pop_front() else {
                return;
            };
            let Some(slot) = self.slots.get_mut(turn) else {
                continue;
            };
            let kept = std::mem::take(&mut slot.read);
            if kept || !stored(turn) {
                self.order.push_back(turn);
            } else {
                self.remove(turn);
            }
        }
    }
}
