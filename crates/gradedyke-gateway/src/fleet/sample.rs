//! Selects a sample of servers for services with more than `MAX_UNSAMPLED_SERVERS` servers.
//!
//! This bounds the time that a choice takes. The sample is drawn anew for each request; recently
//! used servers and the one that caches the conversation are added by the caller.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use gradedyke_turns::record::Id;

use super::Key;

/// Largest number of servers of a service that are all compared without sampling.
pub(super) const MAX_UNSAMPLED_SERVERS: usize = 128;
/// Number of recently used servers remembered for each service.
const MAX_RECENT_SERVERS: usize = 64;
/// Largest number of servers in a sample from the local data centre.
const MAX_LOCAL_SERVERS: usize = 16;
/// Largest number of servers in a sample from other data centres.
const MAX_REMOTE_SERVERS: usize = 16;

/// The most recently used servers of a service, newest last.
#[derive(Debug, Default)]
pub(super) struct RecentServers(VecDeque<Key>);

impl RecentServers {
    /// Marks a server as the most recently used.
    pub(super) fn add(&mut self, key: Key) {
        self.remove(key);
        if self.0.len() >= MAX_RECENT_SERVERS {
            self.0.pop_front();
        }
        self.0.push_back(key);
    }

    pub(super) fn remove(&mut self, key: Key) {
        self.0.retain(|k| *k != key);
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.0.iter().copied()
    }
}

/// A permutation of `0..count` that is determined by the request ID. It steps through the
/// range with a stride coprime to `count`, so each index occurs once.
fn permutation(request: &Id, count: usize) -> impl Iterator<Item = usize> {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    let hash = usize::try_from(hasher.finish() >> 1).unwrap_or_default();
    let start = hash % count.max(1);
    let mut stride = hash / count.max(1) % count.max(1);
    while gcd(stride, count) != 1 {
        stride += 1;
    }
    (0..count).map(move |n| (start + n * stride) % count)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Draws a sample of the servers that satisfy `can_run`, local ones first.
pub(super) fn sample(
    keys: &[Key],
    request: &Id,
    can_run: impl Fn(Key) -> bool,
    is_local: impl Fn(Key) -> bool,
) -> Vec<Key> {
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for index in permutation(request, keys.len()) {
        if local.len() >= MAX_LOCAL_SERVERS && remote.len() >= MAX_REMOTE_SERVERS {
            break;
        }
        let key = keys[index];
        let (sample, limit) = match is_local(key) {
            true => (&mut local, MAX_LOCAL_SERVERS),
            false => (&mut remote, MAX_REMOTE_SERVERS),
        };
        if sample.len() < limit && can_run(key) {
            sample.push(key);
        }
    }
    local.extend(remote);
    local
}
