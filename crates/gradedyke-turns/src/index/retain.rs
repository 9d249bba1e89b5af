//! Extends the retention of what later turns need.

use tokio::time::Instant;

use super::{Index, RequestKey};
use crate::record::{Id, Key, Kind};

impl Index {
    /// Retains a turn and its ancestors, and the attempts of a program, at least until `until`,
    /// for a turn that runs.
    ///
    /// ```
    /// use gradedyke_turns::index::Index;
    /// use gradedyke_turns::record::{Id, Record, Turn};
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let id = |text| Id::parse(text).unwrap();
    /// let mut index = Index::new(1_000);
    /// index.apply(&Record::Turn(Turn {
    ///     request: id("a"),
    ///     parent: None,
    ///     input: "question".into(),
    ///     output: "answer".into(),
    ///     server: id("s"),
    ///     program: None,
    ///     tokens: 1,
    ///     keep_ms: 1_000,
    /// }), 1, now);
    /// index.hold(Some(&id("a")), None, now + Duration::from_secs(20));
    /// index.expire(now + Duration::from_secs(15));
    /// assert!(index.has_turn_and_ancestors(&id("a")));
    /// index.expire(now + Duration::from_secs(25));
    /// assert!(!index.has_turn_and_ancestors(&id("a")));
    /// ```
    pub fn hold(&mut self, turn: Option<&Id>, program: Option<&Id>, until: Instant) {
        let turn = turn.and_then(|id| self.request_keys.get(id)).copied();
        let turn = turn.filter(|key| self.requests[*key].turn.is_some());
        self.retain_turns(turn, until);
        let program = program.and_then(|id| self.program_keys.get(id));
        if let Some(program) = program.and_then(|key| self.programs.get_mut(*key)) {
            program.expires_at = program.expires_at.max(until);
        }
    }

    /// Retains a turn and its ancestors at least until `until`. Those of a turn that is retained
    /// for so long are as well.
    pub(super) fn retain_turns(&mut self, mut next: Option<RequestKey>, until: Instant) {
        while let Some(key) = next {
            let Some(turn) = &mut self.requests[key].turn else {
                let needed_until = self.missing_turns.entry(key).or_insert(until);
                *needed_until = until.max(*needed_until);
                return;
            };
            if turn.expires_at >= until {
                return;
            }
            turn.expires_at = until;
            next = turn.parent;
        }
    }

    /// Returns the keys of turns that are continued but not in the index, at most `limit`.
    pub fn missing_turns(&self, limit: usize) -> Vec<Key> {
        let requests = self.missing_turns.keys().take(limit);
        let requests = requests.filter_map(|key| self.requests.get(*key));
        let key = |request: &super::IndexedRequest| Key {
            kind: Kind::Turn,
            request: request.id.clone(),
        };
        requests.map(key).collect()
    }
}
