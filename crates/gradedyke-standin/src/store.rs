//! State of the key-value service: keys, leases and the history of changes.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

#[derive(Clone, Debug)]
pub(crate) struct StoredValue {
    pub value: Vec<u8>,
    pub revision: u64,
    /// Lease that the key is attached to; 0 for none.
    pub lease_id: i64,
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
    pub ttl: Duration,
    pub expires_at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub revision: u64,
    pub keys: BTreeMap<Vec<u8>, StoredValue>,
    pub leases: BTreeMap<i64, Lease>,
    pub changes: Vec<Change>,
    next_lease: i64,
}

impl Store {
    pub(crate) fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease_id: i64) {
        self.revision += 1;
        let revision = self.revision;
        let stored = StoredValue {
            value: value.clone(),
            revision,
            lease_id,
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

    /// The keys in the range, as defined by [`is_in_range`].
    pub(crate) fn range(&self, key: &[u8], end: &[u8]) -> Vec<(&Vec<u8>, &StoredValue)> {
        let is_matching =
            |(candidate, _): &(&Vec<u8>, &StoredValue)| is_in_range(key, end, candidate);
        self.keys.iter().filter(is_matching).collect()
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.next_lease, Lease { ttl, expires_at });
        self.next_lease
    }

    /// Renews a lease and returns its time to live, or `None` if it does not exist.
    pub(crate) fn renew(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Removes a lease and the keys attached to it. Returns whether the lease existed.
    pub(crate) fn revoke(&mut self, id: i64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let attached = self.keys.iter().filter(|(_, s)| s.lease_id == id);
        let attached: Vec<_> = attached.map(|(k, _)| k.clone()).collect();
        attached.iter().for_each(|key| self.delete(key));
        existed
    }

    /// Revokes the leases that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| {
            self.revoke(id);
        });
    }
}

/// Whether `candidate` is in the range from `key` to `end` (exclusive), as etcd defines it: an
/// empty `end` means `key` alone, and a single zero byte means no upper bound.
pub(crate) fn is_in_range(key: &[u8], end: &[u8], candidate: &[u8]) -> bool {
    match end {
        [] => candidate == key,
        [0] => candidate >= key,
        end => candidate >= key && candidate < end,
    }
}
