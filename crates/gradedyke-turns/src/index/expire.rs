//! Removal of expired items.

use std::collections::{BTreeMap, HashSet};

use tokio::time::Instant;

use super::request::{IndexedTurn, WriteState};
use super::{Index, RequestKey};
use crate::log::Segment;
use crate::record::{Id, Kind};

impl Index {
    /// Removes expired items. Returns the segments whose records have all expired.
    pub fn expire(&mut self, now: Instant) -> Vec<Segment> {
        self.expire_turns(now);
        self.expire_programs(now);
        self.remove_unreferenced();
        while self.applied_records.front().is_some_and(|(kind, key)| {
            let request = self.requests.get(*key);
            !request.is_some_and(|r| r.has_record(*kind))
        }) {
            self.applied_records.pop_front();
            self.first_position += 1;
        }
        let empty = self
            .live_record_counts
            .iter()
            .filter(|(_, count)| **count == 0);
        empty.map(|(segment, _)| *segment).collect()
    }

    fn expire_turns(&mut self, now: Instant) {
        for (key, request) in &mut self.requests {
            if request.turn.as_ref().is_some_and(|t| t.expires_at <= now) {
                request.turn = None;
                self.turn_count -= 1;
                self.bodies.remove(key);
                clear_write_state(
                    &mut self.live_record_counts,
                    &mut request.write_states[Kind::Turn as usize],
                );
            }
        }
    }

    fn expire_programs(&mut self, now: Instant) {
        let programs = &mut self.programs;
        let (requests, live_record_counts) = (&mut self.requests, &mut self.live_record_counts);
        self.program_keys.retain(|_, key| {
            if programs[*key].expires_at > now {
                return true;
            }
            for attempt in programs.remove(*key).into_iter().flat_map(|p| p.attempts) {
                let request = &mut requests[attempt];
                request.program = None;
                request.reserved_tokens = None;
                request.used_tokens = None;
                clear_write_state(
                    live_record_counts,
                    &mut request.write_states[Kind::Reserved as usize],
                );
                clear_write_state(
                    live_record_counts,
                    &mut request.write_states[Kind::Settled as usize],
                );
            }
            false
        });
    }

    fn turns(&self) -> impl Iterator<Item = &IndexedTurn> {
        self.requests.values().filter_map(|r| r.turn.as_deref())
    }

    /// Removes requests that have no records and no program and that no turn continues. Also
    /// removes the IDs of backend servers that no turn uses.
    fn remove_unreferenced(&mut self) {
        let continued: HashSet<RequestKey> = self.turns().filter_map(|t| t.parent).collect();
        let used: HashSet<Id> = self.turns().map(|t| t.server.clone()).collect();
        self.servers.retain(|id| used.contains(id));
        self.missing_turns.retain(|key, _| continued.contains(key));
        let request_keys = &mut self.request_keys;
        self.requests.retain(|key, request| {
            let retain =
                !request.is_empty() || request.program.is_some() || continued.contains(&key);
            if !retain {
                request_keys.remove(&request.id);
            }
            retain
        });
    }
}

/// Clears the write state of a record and decrements the record count of its segment.
fn clear_write_state(
    live_record_counts: &mut BTreeMap<Segment, usize>,
    state: &mut Option<WriteState>,
) {
    let Some(state) = state.take() else {
        return;
    };
    if let Some(count) = live_record_counts.get_mut(&state.segment()) {
        *count -= 1;
    }
}
