//! Baseline policy: the server with the fewest requests in flight.

use std::sync::Arc;

use super::{Candidate, Policy, PolicyRegistration};

/// Chooses the server with the fewest requests in flight.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let indexed = candidates.iter().enumerate();
        let least = indexed.min_by_key(|(_, c)| (c.in_flight, c.hash));
        least.map(|(index, _)| index)
    }
}

inventory::submit! {
    PolicyRegistration {
        name: "least_loaded",
        build: |_| Arc::new(LeastLoaded),
    }
}
