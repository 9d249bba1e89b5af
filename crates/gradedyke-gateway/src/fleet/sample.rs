//! Which of very many servers are weighed for a request.
//!
//! Weighing all of thousands takes a small instance longer than the way to the server. Those
//! that this entry used lately, and the one that holds the conversation, have its
//! connections and prompts; of the others a few are as good as all, another few for each
//! request.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use gradedyke_turns::record::Id;

use super::Key;

/// Servers of a service up to which all are weighed.
pub(super) const ALL: usize = 128;
/// Servers that an entry remembers to have used, of each service.
const RECENT: usize = 64;
/// Servers of the entry's own data centre in a sample, if there are so many.
const NEAR: usize = 16;
/// Other servers in a sample.
const FAR: usize = 16;

/// The servers of a service that were used last, the latest at the end.
#[derive(Debug, Default)]
pub(super) struct Recent(VecDeque<Key>);

impl Recent {
    /// Takes in that a server is used.
    pub(super) fn add(&mut self, key: Key) {
        self.remove(key);
        if self.0.len() >= RECENT {
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

/// The places of `count` servers in an order that follows from the request's name: a start,
/// and steps of a size that has no divisor in common with `count`, so that each comes once.
fn order(request: &Id, count: usize) -> impl Iterator<Item = usize> {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    let drawn = usize::try_from(hasher.finish() >> 1).unwrap_or_default();
    let start = drawn % count.max(1);
    let mut step = drawn / count.max(1) % count.max(1);
    while gcd(step, count) != 1 {
        step += 1;
    }
    (0..count).map(move |n| (start + n * step) % count)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// A sample of the servers that are `open`, near ones first: `near` tells whether one is.
pub(super) fn draw(
    keys: &[Key],
    request: &Id,
    open: impl Fn(Key) -> bool,
    near: impl Fn(Key) -> bool,
) -> Vec<Key> {
    let (mut close, mut far) = (Vec::new(), Vec::new());
    for place in order(request, keys.len()) {
        if close.len() >= NEAR && far.len() >= FAR {
            break;
        }
        let key = keys[place];
        let (sample, most) = match near(key) {
            true => (&mut close, NEAR),
            false => (&mut far, FAR),
        };
        if sample.len() < most && open(key) {
            sample.push(key);
        }
    }
    close.extend(far);
    close
}
