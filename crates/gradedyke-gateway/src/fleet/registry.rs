//! The servers there are, by identity and by service.

use std::collections::HashMap;

use gradedyke_turns::load::Busy;
use gradedyke_turns::record::Id;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::known::{Known, State};
use super::{Key, Question, Server};
use crate::estimate::{self, Times};

/// The servers, and what was learned of their services.
#[derive(Default)]
pub(super) struct Servers {
    pub(super) servers: SlotMap<Key, Known>,
    pub(super) by_id: HashMap<Id, Key>,
    pub(super) by_service: HashMap<String, Vec<Key>>,
    /// What was learned of each service.
    pub(super) learned: HashMap<String, estimate::Service>,
    /// When it was last told what other entries have in progress.
    pub(super) told: Option<Instant>,
}

impl Servers {
    /// Usual times at a service, as learned so far.
    pub(super) fn times(&self, service: &str, engine: bool) -> Times {
        let learned = self.learned.get(service).copied();
        learned.unwrap_or_default().times(engine)
    }

    /// Drops what other entries told: it is too old.
    pub(super) fn forget_others(&mut self) {
        self.told = None;
        for known in self.servers.values_mut() {
            known.others = Busy::default();
        }
    }

    pub(super) fn list(&mut self, server: Server) {
        if let Some(known) = self.by_id.get(&server.id).copied() {
            let known = &mut self.servers[known];
            if known.server.leaving != server.leaving {
                tracing::info!(event = "server_changed", server = %server.id,
                    leaving = server.leaving);
            }
            known.state = State::Listed;
            known.server = server;
            return;
        }
        tracing::info!(event = "server_listed", server = %server.id, service = server.service,
            address = %server.address, leaving = server.leaving);
        let id = server.id.clone();
        let service = server.service.clone();
        let key = self.servers.insert(Known::new(server));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    pub(super) fn vanish(&mut self, id: &Id, learned: Instant) {
        let Some(known) = self.by_id.get(id).copied() else {
            return;
        };
        let known = &mut self.servers[known];
        if known.state == State::Listed {
            tracing::info!(event = "server_vanished", server = %id);
            known.state = State::Vanished(learned);
        }
    }

    pub(super) fn remove(&mut self, id: &Id) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if let Some(known) = self.servers.remove(key) {
            tracing::info!(event = "server_gone", server = %id);
            known.pool.clear();
            if let Some(keys) = self.by_service.get_mut(&known.server.service) {
                keys.retain(|k| *k != key);
            }
        }
    }

    /// The servers that may run the request: of the best kind there are.
    pub(super) fn able(&self, question: &Question<'_>, rests: bool) -> Vec<Key> {
        let Some(keys) = self.by_service.get(question.service) else {
            return Vec::new();
        };
        let rank = |key: &Key| {
            let known = &self.servers[*key];
            let vanished = known.state != State::Listed;
            (vanished, rests && known.resting(question.now))
        };
        let open = |key: &&Key| {
            let known = &self.servers[**key];
            !known.server.leaving && !known.replaced && !question.tried.contains(key)
        };
        let open: Vec<Key> = keys.iter().filter(open).copied().collect();
        let best = open.iter().map(rank).min();
        open.into_iter().filter(|k| Some(rank(k)) == best).collect()
    }
}
