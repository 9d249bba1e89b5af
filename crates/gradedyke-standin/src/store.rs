//! The state of the key-value stand-in: keys, leases and past events.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub value: Vec<u8>,
    pub revision: u64,
    pub lease: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub revision: u64,
    pub key: Vec<u8>,
    /// The new value, or `None` for a deletion.
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub length: Duration,
    pub ends: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub revision: u64,
    pub keys: BTreeMap<Vec<u8>, Stored>,
    pub leases: BTreeMap<i64, Lease>,
    pub changes: Vec<Change>,
    next_lease: i64,
}

impl Store {
    pub(crate) fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let stored = Stored {
            value: value.clone(),
            revision,
            lease,
        };
        self.keys.insert(key.clone(), stored);
        self.changes.push(Change {
            revision,
            key,
            value: Some(value),
        });
    }

    pub(crate) fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.changes.push(Change {
            revision: self.revision,
            key: key.to_vec(),
            value: None,
        });
    }

    /// Keys from `key` up to `end`; an empty end means `key` alone.
    pub(crate) fn range(&self, key: &[u8], end: &[u8]) -> Vec<(&Vec<u8>, &Stored)> {
        let within = |(k, _): &(&Vec<u8>, &Stored)| covers(key, end, k);
        self.keys.iter().filter(within).collect()
    }

    pub(crate) fn grant(&mut self, length: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let ends = now + length;
        self.leases.insert(self.next_lease, Lease { length, ends });
        self.next_lease
    }

    /// Renews a lease and returns its length, or `None` if it has gone.
    pub(crate) fn renew(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = now + lease.length;
        Some(lease.length)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> bool {
        let there = self.leases.remove(&id).is_some();
        let gone = self.keys.iter().filter(|(_, s)| s.lease == id);
        let gone: Vec<_> = gone.map(|(k, _)| k.clone()).collect();
        gone.iter().for_each(|key| self.delete(key));
        there
    }

    /// Ends the leases whose time has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        let past = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let past: Vec<_> = past.map(|(id, _)| *id).collect();
        past.into_iter().for_each(|id| {
            self.revoke(id);
        });
    }
}

/// Whether `k` lies from `key` up to `end`; an end of one zero byte is open.
pub(crate) fn covers(key: &[u8], end: &[u8], k: &[u8]) -> bool {
    match end {
        [] => k == key,
        [0] => k >= key,
        end => k >= key && k < end,
    }
}
