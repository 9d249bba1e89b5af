//! The policy that takes each candidate in turn.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::{CallInfo, Candidate, Plugin, Policy};

/// The policy `round_robin`: takes each candidate in turn, whatever its load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, _: &CallInfo, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.next.fetch_add(1, Ordering::Relaxed) % candidates.len())
    }
}

inventory::submit! {
    Plugin {
        name: "round_robin",
        build: || Arc::new(RoundRobin::default()),
    }
}
