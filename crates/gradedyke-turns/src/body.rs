//! Bodies of turns in memory: the newest and those in use, up to a limit.
//!
//! Conversations are by far the largest part of what a replica keeps, and most
//! of them are never read again. All are on disk; the memory holds what was
//! written or read last. Which body goes first is decided by second chance: one
//! that was read since its turn came is passed over once. Exact recency was
//! given up, because it would move an entry with each read.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::record::Id;

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

/// Bodies in memory, by the request of their turn.
pub struct Cache {
    slots: HashMap<Id, Slot>,
    /// The order in which they go.
    order: VecDeque<Id>,
    bytes: usize,
    limit: usize,
}

impl Cache {
    /// An empty cache that holds up to `limit` bytes of bodies.
    pub fn new(limit: usize) -> Self {
        Self {
            slots: HashMap::new(),
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
    /// use gradedyke_turns::record::Id;
    ///
    /// let mut cache = Cache::new(4);
    /// for name in ["a", "b"] {
    ///     let body = Body { input: "in".into(), output: "out".into() };
    ///     cache.put(Id::parse(name).unwrap(), body);
    /// }
    /// cache.trim(|_| true);
    /// assert!(cache.get(&Id::parse("a").unwrap()).is_none());
    /// ```
    pub fn put(&mut self, id: Id, body: Body) {
        if self.slots.contains_key(&id) {
            return;
        }
        self.bytes += body.bytes();
        self.order.push_back(id.clone());
        self.slots.insert(id, Slot { body, read: false });
    }

    /// Takes a body in that was read from disk because it is in use.
    pub fn restore(&mut self, id: &Id, body: Body) {
        self.put(id.clone(), body);
        if let Some(slot) = self.slots.get_mut(id) {
            slot.read = true;
        }
    }

    /// The body of a turn, if it is held.
    pub fn get(&mut self, id: &Id) -> Option<Body> {
        let slot = self.slots.get_mut(id)?;
        slot.read = true;
        Some(slot.body.clone())
    }

    /// Forgets the body of a turn.
    pub fn remove(&mut self, id: &Id) {
        // Its place in the order is passed over when it comes up.
        if let Some(slot) = self.slots.remove(id) {
            self.bytes -= slot.body.bytes();
        }
    }

    /// Forgets bodies until the limit is kept, as far as `stored` says that they
    /// can be read again.
    pub fn trim(&mut self, stored: impl Fn(&Id) -> bool) {
        // Each is looked at twice at most: the first look may only unmark it.
        let mut looks = 2 * self.order.len();
        while self.bytes > self.limit && looks > 0 {
            looks -= 1;
            let Some(id) = self.order.pop_front() else {
                return;
            };
            let Some(slot) = self.slots.get_mut(&id) else {
                continue;
            };
            let kept = std::mem::take(&mut slot.read);
            if kept || !stored(&id) {
                self.order.push_back(id);
            } else {
                self.remove(&id);
            }
        }
    }
}
