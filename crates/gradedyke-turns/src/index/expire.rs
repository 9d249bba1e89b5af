//! Forgetting what has expired.

use std::collections::{BTreeMap, HashSet};

use tokio::time::Instant;

use super::request::{Kept, Spot};
use super::{Index, RequestKey};
use crate::log::Segment;
use crate::record::{Id, Kind};

impl Index {
    /// Forgets what has expired and returns the segments that hold nothing any
    /// more.
    pub fn expire(&mut self, now: Instant) -> Vec<Segment> {
        self.expire_turns(now);
        self.expire_programs(now);
        self.remove_empty();
        while self.arrivals.front().is_some_and(|(kind, key)| {
            let request = self.requests.get(*key);
            !request.is_some_and(|r| r.has(*kind))
        }) {
            self.arrivals.pop_front();
            self.first += 1;
        }
        let empty = self.live.iter().filter(|(_, live)| **live == 0);
        empty.map(|(segment, _)| *segment).collect()
    }

    fn expire_turns(&mut self, now: Instant) {
        for (key, request) in &mut self.requests {
            if request.turn.as_ref().is_some_and(|t| t.until <= now) {
                request.turn = None;
                self.turns -= 1;
                self.bodies.remove(key);
                forget(&mut self.live, &mut request.spots[Kind::Turn as usize]);
            }
        }
    }

    fn expire_programs(&mut self, now: Instant) {
        let programs = &mut self.programs;
        let (requests, live) = (&mut self.requests, &mut self.live);
        self.program_names.retain(|_, key| {
            if programs[*key].until > now {
                return true;
            }
            for attempt in programs.remove(*key).into_iter().flat_map(|p| p.attempts) {
                let request = &mut requests[attempt];
                request.program = None;
                request.reserved = None;
                request.settled = None;
                forget(live, &mut request.spots[Kind::Reserved as usize]);
                forget(live, &mut request.spots[Kind::Settled as usize]);
            }
            false
        });
    }

    fn kept(&self) -> impl Iterator<Item = &Kept> {
        self.requests.values().filter_map(|r| r.turn.as_deref())
    }

    /// Removes requests of which there is nothing, unless a turn continues them.
    fn remove_empty(&mut self) {
        let continued: HashSet<RequestKey> = self.kept().filter_map(|t| t.parent).collect();
        let used: HashSet<Id> = self.kept().map(|t| t.server.clone()).collect();
        self.servers.retain(|id| used.contains(id));
        let names = &mut self.names;
        self.requests.retain(|key, request| {
            let keep = !request.is_empty() || request.program.is_some() || continued.contains(&key);
            if !keep {
                names.remove(&request.id);
            }
            keep
        });
    }
}

/// Counts a record out of its segment.
fn forget(live: &mut BTreeMap<Segment, usize>, spot: &mut Option<Spot>) {
    let Some(spot) = spot.take() else {
        return;
    };
    if let Some(live) = live.get_mut(&spot.segment()) {
        *live -= 1;
    }
}
