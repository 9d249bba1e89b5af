//! The naive policy: fewest requests in progress.

use std::sync::Arc;

use super::{Candidate, Plugin, Policy};

/// Chooses by the number of requests in progress alone.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let places = candidates.iter().enumerate();
        let least = places.min_by_key(|(_, c)| (c.in_flight, c.draw));
        least.map(|(place, _)| place)
    }
}

inventory::submit! {
    Plugin {
        name: "least_loaded",
        build: |_| Arc::new(LeastLoaded),
    }
}
