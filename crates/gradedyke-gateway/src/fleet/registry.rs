//! Index of the backend servers by ID, incarnation and service.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use gradedyke_turns::load::{self, ServerLoad};
use gradedyke_turns::mirror::Item;
use gradedyke_turns::record::Id;
use slotmap::SlotMap;
use tokio::time::Instant;

use super::occupancy;
use super::prefix_owners::PrefixOwners;
use super::sample::{self, RecentServers};
use super::server_state::{DirectoryState, ServerState};
use super::slow_start;
use super::{Key, Query, Server, Topology, request_hash};
use crate::dialect::{Dialect, Error};
use crate::link::Pool;
use gradedyke_policy::estimate::{self, Times};
use gradedyke_policy::health::Counts;
use gradedyke_policy::placement::pace::Monitor;
use gradedyke_policy::window::Window;

/// Largest number of directory changes in a batch that are logged one by one. Larger batches get a
/// single log line. Logging a listing of thousands of servers one by one would keep a small
/// instance busy.
const MAX_LOGGED_CHANGES: usize = 64;
/// Maximum number of unreadable records of unknown servers that are remembered, so that each is
/// logged once.
const MAX_UNREADABLE_RECORDS: usize = 1_024;

/// The error for a record without a start time whose server had one before.
fn missing_start_time(id: &Id) -> Error {
    Error {
        item: id.to_string(),
        cause: "the record has no start time, but an earlier record of the server had one"
            .to_owned(),
    }
}

/// The servers and the estimates for their services.
#[derive(Default)]
pub(super) struct Registry {
    pub(super) servers: SlotMap<Key, ServerState>,
    pub(super) by_id: HashMap<Id, Key>,
    pub(super) by_service: HashMap<String, Vec<Key>>,
    by_incarnation: HashMap<Id, Key>,
    /// The servers by the hash that identifies them in load reports.
    by_load_id: HashMap<load::ServerHash, Key>,
    /// Owners of shared prompt parts, for each service.
    pub(super) owners: HashMap<String, PrefixOwners>,
    /// Recently used servers of each service.
    recent: HashMap<String, RecentServers>,
    /// Servers that may have to be included in this entry's load report.
    reportable: HashSet<Key>,
    /// Servers with load reported by other entries.
    with_peer_load: Vec<Key>,
    /// Learned times of each service.
    pub(super) estimates: HashMap<String, estimate::ServiceEstimate>,
    /// Whether the servers of each model service differ in pace.
    paces: HashMap<String, Monitor>,
    /// IDs of unknown servers whose records could not be parsed.
    unreadable: HashSet<Id>,
    /// When load from other entries was last received.
    pub(super) peer_load_received: Option<Instant>,
    /// Recent requests to each service that has a warm-up limit; those that found no
    /// server count as failures.
    recent_requests: HashMap<String, Window<Counts>>,
    /// Whether changes of single servers are left out of the log.
    is_bulk_change: bool,
    /// Data centres that are being evacuated.
    pub(super) evacuated: HashSet<String>,
}

impl Registry {
    /// Expected times at a service.
    pub(super) fn times(&self, service: &str, is_engine: bool) -> Times {
        let estimate = self.estimates.get(service).copied();
        estimate.unwrap_or_default().times(is_engine)
    }

    /// Whether the servers of a model service differ in pace. Compares at most
    /// [`sample::MAX_UNSAMPLED_SERVERS`] of them, and only from time to time. Servers that get no
    /// requests are left out, as they would count as servers that were not observed.
    pub(super) fn is_uneven(&mut self, service: &str, now: Instant) -> bool {
        let mut monitor = self.paces.get(service).copied().unwrap_or_default();
        if !monitor.is_due(now) {
            return monitor.is_uneven();
        }
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let stride = keys.len().div_ceil(sample::MAX_UNSAMPLED_SERVERS).max(1);
        let sampled = keys.iter().step_by(stride).map(|key| &self.servers[*key]);
        let usable = sampled.filter(|state| self.is_usable(state, now));
        let latencies = usable.map(|state| state.latency_sum(now));
        let was_uneven = monitor.is_uneven();
        let spread = monitor.check(latencies, now);
        let is_uneven = monitor.is_uneven();
        self.paces.insert(service.to_owned(), monitor);
        if is_uneven || was_uneven {
            for key in keys {
                self.servers[*key].has_own_pace = is_uneven;
            }
        }
        if is_uneven != was_uneven {
            tracing::info!(
                event = "server_paces",
                service,
                told_apart = is_uneven,
                spread,
                servers = keys.len()
            );
            metrics::gauge!("gradedyke_server_paces_told_apart", "service" => service.to_owned())
                .set(f64::from(u8::from(is_uneven)));
        }
        is_uneven
    }

    /// When the load of other entries was received; `now` if it is unknown.
    pub(super) fn load_known_at(&self, now: Instant) -> Instant {
        self.peer_load_received.unwrap_or(now)
    }

    /// Discards the load reported by other entries.
    pub(super) fn clear_peer_load(&mut self) {
        self.peer_load_received = None;
        for key in std::mem::take(&mut self.with_peer_load) {
            if let Some(state) = self.servers.get_mut(key) {
                state.peer_load = ServerLoad::default();
            }
        }
    }

    /// Replaces the load reported by other entries.
    pub(super) fn set_peer_load(&mut self, load: &[ServerLoad], now: Instant) {
        self.clear_peer_load();
        self.peer_load_received = Some(now);
        for server_load in load {
            let key = self.by_load_id.get(&server_load.server).copied();
            let Some(state) = key.and_then(|key| self.servers.get_mut(key)) else {
                continue;
            };
            state.peer_load = *server_load;
            self.with_peer_load.extend(key);
        }
    }

    /// The load that this entry reports to others.
    pub(super) fn load_report(&mut self, now: Instant) -> Vec<ServerLoad> {
        let mut report = Vec::new();
        let servers = &self.servers;
        self.reportable.retain(|key| {
            let Some(state) = servers.get(*key) else {
                return false;
            };
            let server_load = state.load_report(now);
            let is_reported = server_load.requests
                + server_load.failures
                + server_load.unreached
                + server_load.paced
                > 0;
            if is_reported {
                report.push(server_load);
            }
            is_reported || server_load.ended > 0
        });
        report
    }

    /// Marks a server as one that may have to be included in load reports.
    pub(super) fn mark_reportable(&mut self, key: Key) {
        self.reportable.insert(key);
    }

    /// Marks a server as recently used.
    pub(super) fn mark_used(&mut self, key: Key) {
        self.mark_reportable(key);
        let Some(state) = self.servers.get(key) else {
            return;
        };
        if let Some(recent) = self.recent.get_mut(&state.server.service) {
            recent.add(key);
            return;
        }
        let recent = self.recent.entry(state.server.service.clone());
        recent.or_default().add(key);
    }

    fn insert(&mut self, state: ServerState) {
        let (id, incarnation) = (state.server.id.clone(), state.incarnation.clone());
        let service = state.server.service.clone();
        let owner_hash = state.owner_hash;
        let key = self.servers.insert(state);
        let owners = self.owners.entry(service.clone()).or_default();
        owners.orders.insert(key, owner_hash);
        self.by_id.insert(id, key);
        self.by_load_id.insert(load::server_hash(&incarnation), key);
        self.by_incarnation.insert(incarnation, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Removes a server from all indexes except `by_id`.
    fn remove_from_indexes(&mut self, key: Key) -> Option<ServerState> {
        let state = self.servers.remove(key)?;
        state.pool.close_idle();
        self.by_incarnation.remove(&state.incarnation);
        let load_id = load::server_hash(&state.incarnation);
        // Hashed IDs may collide, so the index may point to another server.
        if self.by_load_id.get(&load_id) == Some(&key) {
            self.by_load_id.remove(&load_id);
        }
        let service = &state.server.service;
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|k| *k != key);
        }
        if let Some(recent) = self.recent.get_mut(service) {
            recent.remove(key);
        }
        if let Some(owners) = self.owners.get_mut(service) {
            owners.orders.remove(key);
        }
        Some(state)
    }

    /// Sets whether a data centre is being evacuated.
    pub(super) fn set_evacuated(&mut self, data_centre: &str, evacuated: bool) {
        let changed = match evacuated {
            true => self.evacuated.insert(data_centre.to_owned()),
            false => self.evacuated.remove(data_centre),
        };
        if changed {
            tracing::info!(event = "evacuation", data_centre, evacuated);
            metrics::gauge!("gradedyke_data_centres_evacuated").set(self.evacuated.len() as f64);
        }
    }

    /// Applies a batch of directory changes, each with the time at which it was read. A
    /// large batch gets a single log line.
    pub(super) fn apply_all(&mut self, items: &[(Item, Instant)], dialect: &dyn Dialect) {
        self.is_bulk_change = items.len() > MAX_LOGGED_CHANGES;
        for (item, read_at) in items {
            self.apply(item, *read_at, dialect);
        }
        if std::mem::take(&mut self.is_bulk_change) {
            let (items, listed) = (items.len(), self.listed());
            tracing::info!(event = "directory_changed", items, listed);
        }
    }

    /// Number of servers that the directory lists.
    pub(super) fn listed(&self) -> usize {
        let listed = |s: &&ServerState| s.directory_state == DirectoryState::Listed;
        self.servers.values().filter(listed).count()
    }

    /// Applies a directory change that was read at `read_at`.
    pub(super) fn apply(&mut self, item: &Item, read_at: Instant, dialect: &dyn Dialect) {
        if let Some(data_centre) = item.key.strip_prefix(dialect.evacuation_prefix()) {
            return self.set_evacuated(data_centre, item.value.is_some());
        }
        let name = item.key.strip_prefix(dialect.server_prefix());
        let Some(id) = name.and_then(Id::parse) else {
            return;
        };
        let Some(value) = &item.value else {
            return self.mark_unlisted(&id, read_at);
        };
        match dialect.server(&item.key, value) {
            Ok(server) => self.upsert(server, read_at),
            Err(error) => {
                metrics::counter!("gradedyke_servers_not_read_total").increment(1);
                self.mark_unreadable(&id, &error);
            }
        }
    }

    /// Inserts or updates a server whose record was read at `read_at`.
    pub(super) fn upsert(&mut self, server: Server, read_at: Instant) {
        self.unreadable.remove(&server.id);
        if let Some(key) = self.by_id.get(&server.id).copied() {
            let state = &mut self.servers[key];
            if state.is_from_previous_incarnation(&server) {
                return;
            }
            if state.server.started_ms.is_some() && server.started_ms.is_none() {
                return self.mark_unreadable(&server.id, &missing_start_time(&server.id));
            }
            if state.is_other_incarnation(&server) {
                return self.replace_incarnation(key, server, read_at);
            }
            if state.is_unreadable {
                tracing::info!(event = "server_read", server = %server.id);
                state.is_unreadable = false;
            }
            if state.server.address != server.address {
                state.pool.close_idle();
                state.pool = Arc::new(Pool::new(server.address));
            }
            if state.server.is_draining != server.is_draining && !self.is_bulk_change {
                tracing::info!(event = "server_changed", server = %server.id,
                    leaving = server.is_draining);
            }
            state.directory_state = DirectoryState::Listed;
            state.warm_up_end = ServerState::warm_up_end(&server, read_at);
            state.server = server;
            return;
        }
        if !self.is_bulk_change {
            tracing::info!(event = "server_listed", server = %server.id, service = server.service,
                address = %server.address, leaving = server.is_draining);
        }
        self.insert(ServerState::new(server, read_at));
    }

    /// Replaces the state of a process that has ended by that of its successor. Load,
    /// health and cache contents start anew.
    fn replace_incarnation(&mut self, previous: Key, server: Server, read_at: Instant) {
        let Some(state) = self.remove_from_indexes(previous) else {
            return;
        };
        tracing::info!(event = "server_restarted", server = %server.id,
            address = %server.address, started_ms = server.started_ms,
            former_ms = state.server.started_ms);
        state.process_ended.cancel();
        self.insert(state.successor(server, read_at));
    }

    /// Marks a server whose record is invalid. It gets no new requests; those in flight may
    /// complete. Logged once until a valid record is read.
    pub(super) fn mark_unreadable(&mut self, id: &Id, error: &Error) {
        let key = self.by_id.get(id).copied();
        let is_first = match key.and_then(|key| self.servers.get_mut(key)) {
            Some(state) => !std::mem::replace(&mut state.is_unreadable, true),
            None => {
                self.unreadable.len() < MAX_UNREADABLE_RECORDS && self.unreadable.insert(id.clone())
            }
        };
        if is_first {
            tracing::warn!(event = "server_not_read", server = %id, %error);
        }
    }

    /// Marks a server whose record was found deleted at `read_at`.
    pub(super) fn mark_unlisted(&mut self, id: &Id, read_at: Instant) {
        self.unreadable.remove(id);
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        let is_bulk_change = self.is_bulk_change;
        let state = &mut self.servers[key];
        if state.directory_state == DirectoryState::Listed {
            if !is_bulk_change {
                tracing::info!(event = "server_vanished", server = %id);
            }
            state.directory_state = DirectoryState::Unlisted(read_at);
        }
    }

    pub(super) fn remove(&mut self, id: &Id) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if self.remove_from_indexes(key).is_some() {
            tracing::info!(event = "server_gone", server = %id);
        }
    }

    /// The servers that may run the request. Unlisted servers and servers that are
    /// backing off are returned only if there are no others.
    pub(super) fn eligible(
        &self,
        query: &Query<'_>,
        topology: &Topology,
        avoid_backing_off: bool,
    ) -> Vec<Key> {
        let rank = |key: &Key| {
            let state = &self.servers[*key];
            let is_unlisted = state.directory_state != DirectoryState::Listed;
            (
                is_unlisted,
                avoid_backing_off && state.is_avoided(query.now),
            )
        };
        let servers = self.limit_warming(query, topology, self.preselect(query, topology));
        let best = servers.iter().map(rank).min();
        servers
            .into_iter()
            .filter(|k| Some(rank(k)) == best)
            .collect()
    }

    /// Index in `keys` of the server for a request of this rank, in an order that is the same at all
    /// entries; `None` without servers.
    pub(super) fn index_of_rank(&self, keys: &[Key], rank: usize) -> Option<usize> {
        let mut order: Vec<usize> = (0..keys.len()).collect();
        order.sort_by_key(|index| self.servers[keys[*index]].owner_hash);
        order.get(rank.checked_rem(keys.len())?).copied()
    }

    /// Whether a server can be sent the request, regardless of its load.
    fn can_run(&self, key: Key, query: &Query<'_>, topology: &Topology) -> bool {
        let state = &self.servers[key];
        let data_centre = &state.server.data_centre;
        !state.server.is_draining
            && !state.is_unreadable
            && !state.is_replaced
            && !query.excluded.contains(&key)
            && !self.evacuated.contains(data_centre)
            && topology.is_in_regions(query.allowed_regions, data_centre)
    }

    /// The servers to compare: all that can run the request or, if the service has more than
    /// [`sample::MAX_UNSAMPLED_SERVERS`], a sample of them with the recently used ones, the
    /// server that caches the conversation and some owners of the prompt's shared parts.
    fn preselect(&self, query: &Query<'_>, topology: &Topology) -> Vec<Key> {
        let Some(keys) = self.by_service.get(query.service) else {
            return Vec::new();
        };
        let can_run = |key: Key| self.can_run(key, query, topology);
        if keys.len() <= sample::MAX_UNSAMPLED_SERVERS {
            return keys.iter().copied().filter(|k| can_run(*k)).collect();
        }
        let is_local = |key: Key| self.servers[key].server.data_centre == topology.data_centre;
        let mut selected = sample::sample(keys, query.request_id, can_run, is_local);
        let recent = self.recent.get(query.service).into_iter();
        let recent = recent.flat_map(RecentServers::keys);
        let cached_on = query.cached_on.and_then(|h| self.by_incarnation.get(h));
        let owners = self.preselected_owners(query);
        for key in recent.chain(cached_on.copied()).chain(owners) {
            if can_run(key) && !selected.contains(&key) {
                selected.push(key);
            }
        }
        selected
    }

    /// Removes warming servers from `servers`, except those whose rate limit allows the
    /// request.
    fn limit_warming(&self, query: &Query<'_>, topology: &Topology, servers: Vec<Key>) -> Vec<Key> {
        let Some(rate) = query.max_warm_up_rate_per_s else {
            return servers;
        };
        let is_warm = |key: &Key| self.servers[*key].is_warm(query.now);
        let (mut allowed, warming): (Vec<Key>, Vec<Key>) = servers.into_iter().partition(is_warm);
        if warming.is_empty() {
            return allowed;
        }
        let load = self.service_load(query, topology);
        let candidates = warming.iter().map(|key| {
            let state = &self.servers[*key];
            slow_start::WarmingServer {
                in_flight: state.total_in_flight(),
                hash: request_hash(query.request_id, &state.server.id),
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = slow_start::eligible_indices(&candidates, rate, &load, !allowed.is_empty());
        allowed.extend(chosen.into_iter().map(|index| warming[index]));
        allowed
    }

    /// Counts a request to a service that has a warm-up limit. `no_server` says that no
    /// server was eligible.
    pub(super) fn record_request(&mut self, query: &Query<'_>, no_server: bool) {
        let counts = Counts {
            failures: u32::from(no_server),
            requests: 1,
        };
        let service = query.service;
        if !self.recent_requests.contains_key(service) {
            self.recent_requests
                .insert(service.to_owned(), Window::default());
        }
        if let Some(requests) = self.recent_requests.get_mut(service) {
            requests.add(counts, query.now);
        }
    }

    /// Whether a server gets requests now.
    fn is_usable(&self, state: &ServerState, now: Instant) -> bool {
        state.is_usable(now) && !self.evacuated.contains(&state.server.data_centre)
    }

    /// Requests in flight and slots of a service's usable servers.
    pub(super) fn sum_load(&self, service: &str, now: Instant) -> occupancy::Sums {
        let mut sums = occupancy::Sums::default();
        let keys = self.by_service.get(service).into_iter().flatten();
        let states = keys.map(|key| &self.servers[*key]);
        for state in states.filter(|s| self.is_usable(s, now)) {
            // Other processes report these numbers; a wrong one must not overflow the sum.
            sums.own = sums.own.saturating_add(state.in_flight);
            sums.others = sums.others.saturating_add(state.peer_load.requests);
            sums.slots = sums.slots.saturating_add(state.server.slots);
        }
        sums
    }

    /// The load of a service, over all entries whose load is known.
    fn service_load(&self, query: &Query<'_>, topology: &Topology) -> slow_start::ServiceLoad {
        let times = self.times(query.service, query.is_engine);
        let requests = self.recent_requests.get(query.service);
        let mut load = slow_start::ServiceLoad {
            recent_requests: requests.map_or(Counts::default(), |r| r.sum(query.now)),
            has_peer_load: self.peer_load_received.is_some(),
            in_flight: 0,
            recently_ended: 0,
            response_ms: times.unloaded_response_ms,
            warming_servers: 0,
        };
        let keys = self.by_service.get(query.service).into_iter().flatten();
        for key in keys {
            let state = &self.servers[*key];
            load.in_flight += state.total_in_flight();
            load.recently_ended += state.recently_ended(query.now);
            let is_warming = !state.is_warm(query.now) && self.can_run(*key, query, topology);
            load.warming_servers += u32::from(is_warming);
        }
        load
    }
}
