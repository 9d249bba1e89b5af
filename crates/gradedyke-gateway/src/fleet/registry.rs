//! The servers there are, by identity and by service.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use gradedyke_turns::load::{self, Busy};
use gradedyke_turns::mirror::Item;
use gradedyke_turns::record::Id;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::known::{Known, State};
use super::sample::{self, Recent};
use super::slow_start;
use super::{Key, Location, Question, Server, draw};
use crate::dialect::{Dialect, Invalid};
use crate::estimate::{self, Times};
use crate::health::Counts;
use crate::link::Pool;
use crate::window::Window;

/// Items that change at a time up to which each has a line in the log. A listing of thousands
/// of servers would keep a small instance busy with nothing else.
const LOGGED: usize = 64;
/// Unreadable entries of unknown servers that are remembered, for one log line each.
const UNREAD: usize = 1_024;

/// Says that an entry lacks the start that its server has always told.
fn unsigned(id: &Id) -> Invalid {
    Invalid {
        what: id.to_string(),
        cause: "it does not say when the server started, as before".to_owned(),
    }
}

/// The servers, and what was learned of their services.
#[derive(Default)]
pub(super) struct Servers {
    pub(super) servers: SlotMap<Key, Known>,
    pub(super) by_id: HashMap<Id, Key>,
    pub(super) by_service: HashMap<String, Vec<Key>>,
    by_process: HashMap<Id, Key>,
    /// By the short name under which entries tell each other of one.
    by_short: HashMap<load::Server, Key>,
    /// The servers of each service that were used last.
    recent: HashMap<String, Recent>,
    /// Servers of which this entry may have something to tell others.
    active: HashSet<Key>,
    /// Servers of which others told something.
    told_of: Vec<Key>,
    /// What was learned of each service.
    pub(super) learned: HashMap<String, estimate::Service>,
    /// Entries that cannot be read and whose server was never known.
    unread: HashSet<Id>,
    /// When it was last told what other entries have in progress.
    pub(super) told: Option<Instant>,
    /// Requests of late of each service whose servers warm up, and how many of these found
    /// no server.
    asked: HashMap<String, Window<Counts>>,
    /// Whether changes of servers are left out of the log.
    quiet: bool,
    /// The data centres that are evacuated.
    pub(super) evacuated: HashSet<String>,
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
        for key in std::mem::take(&mut self.told_of) {
            if let Some(known) = self.servers.get_mut(key) {
                known.others = Busy::default();
            }
        }
    }

    /// Takes in what other entries have in progress, in place of what they told before.
    pub(super) fn learn(&mut self, load: &[Busy], now: Instant) {
        self.forget_others();
        self.told = Some(now);
        for busy in load {
            let key = self.by_short.get(&busy.server).copied();
            let Some(known) = key.and_then(|key| self.servers.get_mut(key)) else {
                continue;
            };
            known.others = *busy;
            self.told_of.extend(key);
        }
    }

    /// What this entry has to tell of its servers.
    pub(super) fn report(&mut self, now: Instant) -> Vec<Busy> {
        let mut report = Vec::new();
        let servers = &self.servers;
        self.active.retain(|key| {
            let Some(known) = servers.get(*key) else {
                return false;
            };
            let busy = known.report(now);
            let told = busy.requests + busy.failures + busy.unreached + busy.paced > 0;
            if told {
                report.push(busy);
            }
            told || busy.ended > 0
        });
        report
    }

    /// Takes in that a server is used, or that something was learned of it.
    pub(super) fn touch(&mut self, key: Key) {
        self.active.insert(key);
    }

    /// Takes in that a request is sent to a server.
    pub(super) fn used(&mut self, key: Key) {
        self.touch(key);
        let Some(known) = self.servers.get(key) else {
            return;
        };
        if let Some(recent) = self.recent.get_mut(&known.server.service) {
            recent.add(key);
            return;
        }
        let recent = self.recent.entry(known.server.service.clone());
        recent.or_default().add(key);
    }

    fn insert(&mut self, known: Known) {
        let (id, process) = (known.server.id.clone(), known.process.clone());
        let service = known.server.service.clone();
        let key = self.servers.insert(known);
        self.by_id.insert(id, key);
        self.by_short.insert(load::server(&process), key);
        self.by_process.insert(process, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Takes a server out, but for its name.
    fn take(&mut self, key: Key) -> Option<Known> {
        let known = self.servers.remove(key)?;
        known.pool.clear();
        self.by_process.remove(&known.process);
        let short = load::server(&known.process);
        // Two servers may share a short name.
        if self.by_short.get(&short) == Some(&key) {
            self.by_short.remove(&short);
        }
        let service = &known.server.service;
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|k| *k != key);
        }
        if let Some(recent) = self.recent.get_mut(service) {
            recent.remove(key);
        }
        Some(known)
    }

    /// Takes in whether a data centre is evacuated.
    pub(super) fn evacuate(&mut self, data_centre: &str, evacuated: bool) {
        let changed = match evacuated {
            true => self.evacuated.insert(data_centre.to_owned()),
            false => self.evacuated.remove(data_centre),
        };
        if changed {
            tracing::info!(event = "evacuation", data_centre, evacuated);
            metrics::gauge!("gradedyke_data_centres_evacuated").set(self.evacuated.len() as f64);
        }
    }

    /// Takes in items of the directory that changed, each with the time at which that was
    /// learned. Many at a time get one line in the log together.
    pub(super) fn apply_all(&mut self, items: &[(Item, Instant)], dialect: &dyn Dialect) {
        self.quiet = items.len() > LOGGED;
        for (item, learned) in items {
            self.apply(item, *learned, dialect);
        }
        if std::mem::take(&mut self.quiet) {
            let (items, listed) = (items.len(), self.listed());
            tracing::info!(event = "directory_changed", items, listed);
        }
    }

    /// How many servers are listed.
    pub(super) fn listed(&self) -> usize {
        let listed = |k: &&Known| k.state == State::Listed;
        self.servers.values().filter(listed).count()
    }

    /// Takes in an item of the directory that changed, which was learned then.
    pub(super) fn apply(&mut self, item: &Item, learned: Instant, dialect: &dyn Dialect) {
        if let Some(data_centre) = item.key.strip_prefix(dialect.evacuation_prefix()) {
            return self.evacuate(data_centre, item.value.is_some());
        }
        let name = item.key.strip_prefix(dialect.server_prefix());
        let Some(id) = name.and_then(Id::parse) else {
            return;
        };
        let Some(value) = &item.value else {
            return self.vanish(&id, learned);
        };
        match dialect.server(&item.key, value) {
            Ok(server) => self.list(server, learned),
            Err(error) => {
                metrics::counter!("gradedyke_servers_not_read_total").increment(1);
                self.unread(&id, &error);
            }
        }
    }

    pub(super) fn list(&mut self, server: Server, learned: Instant) {
        self.unread.remove(&server.id);
        if let Some(key) = self.by_id.get(&server.id).copied() {
            let known = &mut self.servers[key];
            if known.replaced_before(&server) {
                return;
            }
            if known.server.started_ms.is_some() && server.started_ms.is_none() {
                return self.unread(&server.id, &unsigned(&server.id));
            }
            if known.another(&server) {
                return self.restart(key, server, learned);
            }
            if known.unread {
                tracing::info!(event = "server_read", server = %server.id);
                known.unread = false;
            }
            if known.server.address != server.address {
                known.pool.clear();
                known.pool = Arc::new(Pool::new(server.address));
            }
            if known.server.leaving != server.leaving && !self.quiet {
                tracing::info!(event = "server_changed", server = %server.id,
                    leaving = server.leaving);
            }
            known.state = State::Listed;
            known.warm_at = Known::warm_at(&server, learned);
            known.server = server;
            return;
        }
        if !self.quiet {
            tracing::info!(event = "server_listed", server = %server.id, service = server.service,
                address = %server.address, leaving = server.leaving);
        }
        self.insert(Known::new(server, learned));
    }

    /// Puts a new process in the place of one that has ended. Nothing of what was learned
    /// of that one holds for it.
    fn restart(&mut self, former: Key, server: Server, learned: Instant) {
        let Some(known) = self.take(former) else {
            return;
        };
        tracing::info!(event = "server_restarted", server = %server.id,
            address = %server.address, started_ms = server.started_ms,
            former_ms = known.server.started_ms);
        known.ended.cancel();
        self.insert(known.successor(server, learned));
    }

    /// Takes in that an entry cannot be read. Its server gets nothing new, and what is in
    /// progress there may end. One line tells of it until the entry can be read again.
    pub(super) fn unread(&mut self, id: &Id, error: &Invalid) {
        let known = self.by_id.get(id).copied();
        let first = match known.and_then(|key| self.servers.get_mut(key)) {
            Some(known) => !std::mem::replace(&mut known.unread, true),
            None => self.unread.len() < UNREAD && self.unread.insert(id.clone()),
        };
        if first {
            tracing::warn!(event = "server_not_read", server = %id, %error);
        }
    }

    pub(super) fn vanish(&mut self, id: &Id, learned: Instant) {
        self.unread.remove(id);
        let Some(known) = self.by_id.get(id).copied() else {
            return;
        };
        let quiet = self.quiet;
        let known = &mut self.servers[known];
        if known.state == State::Listed {
            if !quiet {
                tracing::info!(event = "server_vanished", server = %id);
            }
            known.state = State::Vanished(learned);
        }
    }

    pub(super) fn remove(&mut self, id: &Id) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if self.take(key).is_some() {
            tracing::info!(event = "server_gone", server = %id);
        }
    }

    /// The servers that may run the request: of the best kind there are.
    pub(super) fn able(&self, question: &Question<'_>, from: &Location, rests: bool) -> Vec<Key> {
        let rank = |key: &Key| {
            let known = &self.servers[*key];
            let vanished = known.state != State::Listed;
            (vanished, rests && known.resting(question.now))
        };
        let open = self.warmed(question, from, self.open(question, from));
        let best = open.iter().map(rank).min();
        open.into_iter().filter(|k| Some(rank(k)) == best).collect()
    }

    /// Whether a server may be sent the request, however busy it is.
    fn may(&self, key: Key, question: &Question<'_>, from: &Location) -> bool {
        let known = &self.servers[key];
        let data_centre = &known.server.data_centre;
        !known.server.leaving
            && !known.unread
            && !known.replaced
            && !question.tried.contains(&key)
            && !self.evacuated.contains(data_centre)
            && from.allows(question.regions, data_centre)
    }

    /// The servers that may be sent the request: all, or of very many those that are worth
    /// weighing.
    fn open(&self, question: &Question<'_>, from: &Location) -> Vec<Key> {
        let Some(keys) = self.by_service.get(question.service) else {
            return Vec::new();
        };
        let may = |key: Key| self.may(key, question, from);
        if keys.len() <= sample::ALL {
            return keys.iter().copied().filter(|k| may(*k)).collect();
        }
        let near = |key: Key| self.servers[key].server.data_centre == from.data_centre;
        let mut weighed = sample::draw(keys, question.request, may, near);
        let recent = self.recent.get(question.service).into_iter();
        let recent = recent.flat_map(Recent::keys);
        let holder = question.holder.and_then(|h| self.by_process.get(h));
        for key in recent.chain(holder.copied()) {
            if may(key) && !weighed.contains(&key) {
                weighed.push(key);
            }
        }
        weighed
    }

    /// Leaves out those of `open` that warm up and have their share of the requests.
    fn warmed(&self, question: &Question<'_>, from: &Location, open: Vec<Key>) -> Vec<Key> {
        let Some(rate) = question.warm_up_rate else {
            return open;
        };
        let warm = |key: &Key| self.servers[*key].warm(question.now);
        let (mut able, cold): (Vec<Key>, Vec<Key>) = open.into_iter().partition(warm);
        if cold.is_empty() {
            return able;
        }
        let load = self.load(question, from);
        let candidates = cold.iter().map(|key| {
            let known = &self.servers[*key];
            slow_start::Candidate {
                in_flight: known.taken(),
                draw: draw(question.request, &known.server.id),
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = slow_start::choose(&candidates, rate, &load, !able.is_empty());
        able.extend(chosen.into_iter().map(|place| cold[place]));
        able
    }

    /// Counts a request to a service whose servers warm up.
    pub(super) fn count(&mut self, question: &Question<'_>, refused: bool) {
        let counts = Counts {
            failures: u32::from(refused),
            requests: 1,
        };
        let service = question.service;
        if !self.asked.contains_key(service) {
            self.asked.insert(service.to_owned(), Window::default());
        }
        if let Some(asked) = self.asked.get_mut(service) {
            asked.add(counts, question.now);
        }
    }

    /// The load of a service, as far as entries tell each other.
    fn load(&self, question: &Question<'_>, from: &Location) -> slow_start::Load {
        let times = self.times(question.service, question.engine);
        let asked = self.asked.get(question.service);
        let mut load = slow_start::Load {
            asked: asked.map_or(Counts::default(), |a| a.sum(question.now)),
            shared: self.told.is_some(),
            in_flight: 0,
            ended_lately: 0,
            answer_ms: times.answer_ms,
            warming: 0,
        };
        let keys = self.by_service.get(question.service).into_iter().flatten();
        for key in keys {
            let known = &self.servers[*key];
            load.in_flight += known.taken();
            load.ended_lately += known.ended_lately(question.now);
            let warms = !known.warm(question.now) && self.may(*key, question, from);
            load.warming += u32::from(warms);
        }
        load
    }
}
