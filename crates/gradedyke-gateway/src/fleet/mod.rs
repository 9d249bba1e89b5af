//! Tracks the backend servers and chooses one for each request.
//!
//! The directory in the platform's key-value store lists the servers. While it is
//! unavailable, the last known servers stay in use. A server whose record was deleted
//! remains a fallback for `UNLISTED_GRACE`, and after an outage of the directory at least for
//! `DIRECTORY_RECOVERY_GRACE`.
//!
//! `registry` indexes the servers, `server_state` holds the state of one, and `topology`
//! maps data centres to regions. `sample` selects the servers to compare if there are
//! very many, `prefix_owners` knows which engines own the shared parts of prompts,
//! `occupancy` sums the load of a service, and [`slow_start`] limits the rate of those that are
//! warming up.

mod occupancy;
mod prefix_owners;
mod registry;
mod sample;
mod server_state;
pub mod slow_start;
mod topology;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::load::{Report, ServerLoad};
use gradedyke_turns::mirror::Item;
use gradedyke_turns::record::Id;
use slotmap::new_key_type;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::link::Pool;
use gradedyke_policy::admission::Occupancy;
use gradedyke_policy::estimate::{self, Times, Timing};
use gradedyke_policy::health::Failure;
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::placement::{self, Candidate, Policy};
use gradedyke_policy::prefix::Part;
pub use prefix_owners::Ownership;
use registry::Registry;
use server_state::ServerState;
pub use topology::Topology;

new_key_type! {
    /// Identifies an incarnation of a backend server within a [`Fleet`].
    pub struct Key;
}

/// How long the load reported by other entries is used.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// The directory record of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its ID, which it keeps when it restarts.
    pub id: Id,
    /// When its process started, in Unix milliseconds, if recorded. Only distinguishes
    /// incarnations of the same server; clocks may be set back, so it defines no order.
    pub started_ms: Option<u64>,
    /// The service it belongs to.
    pub service: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it completes its requests and accepts no new ones.
    pub is_draining: bool,
    /// Remaining warm-up time when the record was written. Until it has passed, the server
    /// handles only a low request rate.
    pub remaining_warm_up: Duration,
}

impl Server {
    /// ID of its incarnation, i.e. of one run of its process: the server ID and the start
    /// time. State is kept for each incarnation, because a restarted server has lost its
    /// cache and its requests.
    ///
    /// ```
    /// use gradedyke_gateway::fleet::Server;
    /// use gradedyke_turns::record::Id;
    ///
    /// let server = |started_ms| Server {
    ///     id: Id::parse("s").unwrap(),
    ///     started_ms,
    ///     service: "tool".to_owned(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     data_centre: "here".to_owned(),
    ///     slots: 4,
    ///     is_draining: false,
    ///     remaining_warm_up: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(server(None).incarnation().as_str(), "s");
    /// assert_ne!(server(Some(1)).incarnation(), server(Some(2)).incarnation());
    /// ```
    pub fn incarnation(&self) -> Id {
        let started = self.started_ms.map(|ms| format!("{}/{ms}", self.id));
        let incarnation = started.as_deref().and_then(Id::parse);
        incarnation.unwrap_or_else(|| self.id.clone())
    }
}

/// The parameters for choosing a server.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The request ID. Its hash breaks ties and draws samples.
    pub request_id: &'a Id,
    /// Servers to which this request has been sent already; they are excluded.
    pub excluded: &'a [Key],
    /// Incarnation of the server whose cache holds the conversation.
    pub cached_on: Option<&'a Id>,
    /// Number of tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u64,
    /// Number of tokens of the prompt that the server `cached_on` has cached.
    pub cached_tokens: u64,
    /// The identified parts of the prompt; empty if there are none.
    pub parts: &'a [Part],
    /// The session that the request belongs to, if its earlier requests are not stored. Its
    /// requests prefer one of the engines that own the shared parts of the prompt.
    pub session: Option<&'a Id>,
    /// Whether the service runs models.
    pub is_engine: bool,
    /// Capacity of a server's prompt cache in tokens; 0 if it has none.
    pub cache_capacity_tokens: u64,
    /// Whether the request may be run more than once.
    pub is_repeatable: bool,
    /// Limit on the request rate of a warming server, in requests per second over all
    /// entries; `None` for no limit.
    pub max_warm_up_rate_per_s: Option<f64>,
    /// The regions in which the request may run; `None` for all.
    pub allowed_regions: Option<&'a [String]>,
    /// The current time.
    pub now: Instant,
}

/// A chosen server. The request counts as in flight at the server until this is dropped.
pub struct Choice {
    fleet: Arc<Fleet>,
    /// The key for reports to the [`Fleet`].
    pub key: Key,
    /// The server's ID.
    pub id: Id,
    /// The server's [incarnation](Server::incarnation).
    pub incarnation: Id,
    /// Cancelled when the process is known to have been replaced.
    pub process_ended: CancellationToken,
    /// Connections to the server.
    pub pool: Arc<Pool>,
    /// When the server was chosen.
    pub chosen_at: Instant,
    /// The candidate as the policy saw it.
    pub candidate: Candidate,
    /// The engines that own the shared parts of the prompt; `None` if parts have no owners.
    pub owners: Option<Ownership>,
}

impl Drop for Choice {
    fn drop(&mut self) {
        if let Some(state) = self.fleet.lock().servers.get_mut(self.key) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// The backend servers as this entry sees them.
pub struct Fleet {
    topology: Topology,
    policy: Arc<dyn Policy>,
    mechanisms: Mechanisms,
    /// Random ID of this process in load reports.
    report_id: u64,
    /// Address at which this entry forwards requests for other entries.
    forwarding_address: Option<SocketAddr>,
    registry: Mutex<Registry>,
    occupancies: Mutex<occupancy::Cache>,
}

impl Fleet {
    /// Creates an empty fleet for an entry at `topology`, which forwards requests for
    /// other entries at `forwarding_address`.
    pub fn new(
        topology: impl Into<Topology>,
        forwarding_address: Option<SocketAddr>,
        policy: Arc<dyn Policy>,
        mechanisms: Mechanisms,
    ) -> Arc<Self> {
        Arc::new(Self {
            topology: topology.into(),
            policy,
            mechanisms,
            report_id: rand::random(),
            forwarding_address,
            registry: Mutex::default(),
            occupancies: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of servers that the directory lists.
    pub fn listed_count(&self) -> usize {
        self.lock().listed()
    }

    /// Whether any server is known.
    pub fn has_servers(&self) -> bool {
        !self.lock().servers.is_empty()
    }

    /// Inserts or updates a server whose record was read at `read_at`.
    pub fn upsert(&self, server: Server, read_at: Instant) {
        self.lock().upsert(server, read_at);
    }

    /// Sets whether a data centre is being evacuated. Its servers then get no new requests
    /// but complete those in flight.
    pub fn set_evacuated(&self, data_centre: &str, evacuated: bool) {
        self.lock().set_evacuated(data_centre, evacuated);
    }

    /// Whether a data centre is being evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.lock().evacuated.contains(data_centre)
    }

    /// Applies a directory change that was read at `read_at`.
    pub fn apply(&self, item: &Item, read_at: Instant, dialect: &dyn Dialect) {
        self.lock().apply(item, read_at, dialect);
    }

    /// Applies directory changes, each with the time at which it was read, as one atomic
    /// update.
    pub fn apply_all(&self, items: &[(Item, Instant)], dialect: &dyn Dialect) {
        self.lock().apply_all(items, dialect);
    }

    /// Removes servers whose records were deleted and whose grace period has passed.
    /// `available_since` is when the directory became available; `None` if it is not.
    pub fn remove_expired(&self, available_since: Option<Instant>, now: Instant) {
        let mut registry = self.lock();
        let expired = registry
            .servers
            .values()
            .filter(|s| s.is_expired(available_since, now));
        let expired: Vec<Id> = expired.map(|s| s.server.id.clone()).collect();
        for id in expired {
            registry.remove(&id);
        }
    }

    /// Whether a server is leaving as planned, or has left.
    pub fn is_leaving(&self, key: Key) -> bool {
        let registry = self.lock();
        registry
            .servers
            .get(key)
            .is_none_or(|state| state.is_leaving())
    }

    /// Chooses a server and counts the request as in flight at it.
    pub fn choose(self: &Arc<Self>, query: &Query<'_>) -> Option<Choice> {
        self.choose_spread(query, None)
    }

    /// Chooses a server like [`Fleet::choose`], but requests of different `rank` get different
    /// servers, as far as there are enough. All entries choose the same server for a rank.
    pub fn choose_spread(
        self: &Arc<Self>,
        query: &Query<'_>,
        rank: Option<usize>,
    ) -> Option<Choice> {
        let mut registry = self.lock();
        if registry
            .peer_load_received
            .is_some_and(|at| query.now - at > PEER_LOAD_TTL)
        {
            registry.clear_peer_load();
        }
        let has_owners = self.record_demand(&mut registry, query);
        let avoid_backing_off = self.mechanisms.is_enabled(Mechanism::Rests);
        let keys = registry.eligible(query, &self.topology, avoid_backing_off);
        if query.max_warm_up_rate_per_s.is_some() {
            registry.record_request(query, keys.is_empty());
        }
        let times = if self.mechanisms.is_enabled(Mechanism::LearnedTimes) {
            registry.times(query.service, query.is_engine)
        } else {
            estimate::ServiceEstimate::default().times(query.is_engine)
        };
        let tells_paces_apart = self.mechanisms.is_enabled(Mechanism::ServerPace)
            && query.is_engine
            && registry.is_uneven(query.service, query.now);
        let paces_known_at = tells_paces_apart.then(|| registry.load_known_at(query.now));
        let mut candidates: Vec<Candidate> = keys
            .iter()
            .map(|key| self.candidate(&registry.servers[*key], query, times, paces_known_at))
            .collect();
        let owners = match has_owners {
            true => registry.apply_owners(query, &keys, &mut candidates),
            false => Vec::new(),
        };
        let index = match rank {
            Some(rank) => registry.index_of_rank(&keys, rank)?,
            None => self.policy.choose(&candidates)?,
        };
        let (key, candidate) = (keys[index], candidates[index]);
        let state = registry.servers.get_mut(key)?;
        state.in_flight += 1;
        let share = state.own_request_share(query.now);
        let capacity = (share * query.cache_capacity_tokens as f64) as u64;
        let shared_weight = if has_owners { share } else { 1.0 };
        if self.mechanisms.is_enabled(Mechanism::Prefixes) {
            let (cache, parts) = (&mut state.cache, query.parts);
            cache.record_shared_prompt(parts, 0, capacity, shared_weight);
        }
        let choice = Choice {
            fleet: self.clone(),
            key,
            id: state.server.id.clone(),
            incarnation: state.incarnation.clone(),
            process_ended: state.process_ended.clone(),
            pool: state.pool.clone(),
            chosen_at: query.now,
            candidate,
            owners: owners.get(index).copied(),
        };
        registry.mark_used(key);
        if let Some(ownership) = choice.owners {
            ownership.count();
        }
        Some(choice)
    }

    /// Records the prompt of a new request as demand for its shared parts. Returns whether
    /// these have owners.
    fn record_demand(&self, registry: &mut Registry, query: &Query<'_>) -> bool {
        let is_enabled = self.mechanisms.is_enabled(Mechanism::PrefixOwners)
            && self.mechanisms.is_enabled(Mechanism::Prefixes);
        if !is_enabled || query.parts.len() < 2 {
            return false;
        }
        let owners = registry.owners.get_mut(query.service);
        owners.is_some_and(|owners| owners.record(query))
    }

    /// Expected time until one of a service's servers has a free slot.
    pub fn expected_wait(&self, service: &str, is_engine: bool, now: Instant) -> Duration {
        let mut registry = self.lock();
        let times = registry.times(service, is_engine);
        let tells_paces_apart = self.mechanisms.is_enabled(Mechanism::ServerPace)
            && is_engine
            && registry.is_uneven(service, now);
        let keys = registry.by_service.get(service).into_iter().flatten();
        let states = keys.map(|key| &registry.servers[*key]);
        let usable = states.filter(|s| !s.server.is_draining && !s.is_avoided(now));
        let usable = usable.filter(|s| !registry.evacuated.contains(&s.server.data_centre));
        let waits = usable.map(|s| {
            let ratio = if tells_paces_apart {
                s.slowness(now)
            } else {
                1.0
            };
            placement::wait_ms(s.total_in_flight(), s.server.slots, &times.scaled(ratio))
        });
        let min_wait_ms = waits.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_secs_f64(min_wait_ms.max(0.0) / 1e3)
    }

    /// Requests in flight and slots of a service's usable servers, at most some ten ms old. `None`
    /// if other entries' requests have never been known.
    pub fn occupancy(&self, service: &str, now: Instant) -> Option<Occupancy> {
        let mut occupancies = self
            .occupancies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(recent) = occupancies.recent(service, now) {
            return recent;
        }
        let registry = self.lock();
        let received_at = registry
            .peer_load_received
            .filter(|at| now.saturating_duration_since(*at) <= PEER_LOAD_TTL);
        let sums = registry.sum_load(service, now);
        drop(registry);
        occupancies.update(service, sums, received_at, now)
    }

    /// Age of other entries' reports in the last [occupancy](Self::occupancy) that was asked for;
    /// `None` if it was estimated without reports.
    pub fn occupancy_report_age(&self, service: &str, now: Instant) -> Option<Duration> {
        let occupancies = self.occupancies.lock();
        let occupancies = occupancies.unwrap_or_else(PoisonError::into_inner);
        occupancies.report_age(service, now)
    }

    /// The last [occupancy](Self::occupancy) that was asked for, if that was recently.
    pub fn last_occupancy(&self, service: &str, now: Instant) -> Option<Occupancy> {
        let occupancies = self.occupancies.lock();
        let occupancies = occupancies.unwrap_or_else(PoisonError::into_inner);
        occupancies.last_known(service, now)
    }

    /// Returns this entry's requests in flight and recent failures, for other entries.
    pub fn load_report(&self, now: Instant) -> Report {
        Report {
            entry: self.report_id,
            address: self.forwarding_address,
            busy: self.lock().load_report(now),
        }
    }

    /// Replaces the load reported by other entries.
    pub fn set_peer_load(&self, load: &[ServerLoad], now: Instant) {
        if self.mechanisms.is_enabled(Mechanism::SharedLoad) {
            self.lock().set_peer_load(load, now);
        }
    }

    /// The candidate for a server. `times` are those of its service, and `paces_known_at` is when
    /// the load of other entries was received if the servers' paces are told apart.
    fn candidate(
        &self,
        state: &ServerState,
        query: &Query<'_>,
        times: Times,
        paces_known_at: Option<Instant>,
    ) -> Candidate {
        let pace = paces_known_at.map(|at| state.pace(&times, at, query.now));
        let caches_conversation = query.cached_on == Some(&state.incarnation);
        let cached_tokens = if caches_conversation {
            query.cached_tokens
        } else {
            0
        };
        let uncached = query.prompt_tokens.saturating_sub(cached_tokens);
        let uncached = match query.parts {
            [] => uncached,
            parts => uncached.min(state.cache.uncached_tokens(parts)),
        };
        Candidate {
            in_flight: state.total_in_flight(),
            slots: state.server.slots,
            is_local: state.server.data_centre == self.topology.data_centre,
            uncached_tokens: uncached,
            is_engine: query.is_engine,
            has_idle_connection: state
                .pool
                .has_idle_connection(query.is_repeatable, query.now),
            times: pace.map_or(times, |pace| times.scaled(pace.ratio)),
            pace,
            slowness: state.slowness(query.now),
            is_repeatable: query.is_repeatable,
            failure_rate: state.failure_rate(query.now),
            hash: request_hash(query.request_id, &state.server.id),
        }
    }

    /// Records that a server responded, `time` after the request was sent. `time` is
    /// `None` for an engine, whose times are recorded by [`Fleet::record_stream`].
    pub fn record_success(&self, key: Key, time: Option<Duration>, now: Instant) {
        let mut registry = self.lock();
        let Some(state) = registry.servers.get_mut(key) else {
            return;
        };
        state.health.record_success(now);
        let service = state.server.service.clone();
        registry.mark_reportable(key);
        if let Some(time) = time {
            let estimate = registry.estimates.entry(service).or_default();
            let ratio = estimate.record_response(time.as_secs_f64() * 1e3);
            registry.servers[key].record_latency(ratio, now);
        }
    }

    /// Records the times of an engine's response of `tokens` tokens to a prompt of `parts`.
    pub fn record_stream(&self, key: Key, parts: &[Part], tokens: u64, timing: &Timing) {
        let mut registry = self.lock();
        let Some(state) = registry.servers.get_mut(key) else {
            return;
        };
        if self.mechanisms.is_enabled(Mechanism::Prefixes) {
            state.cache.append_response(parts, tokens);
        }
        let service = state.server.service.clone();
        let estimate = registry.estimates.entry(service).or_default();
        estimate.record_stream(timing);
    }

    /// Records the time between two events of an engine's response, with `concurrent` other
    /// requests in flight at the engine.
    pub fn record_event_gap(&self, key: Key, concurrent: u32, gap: Duration, now: Instant) {
        let mut registry = self.lock();
        let Some(state) = registry.servers.get(key) else {
            return;
        };
        let estimate = registry.estimates.get(&state.server.service).copied();
        let gap_ms = gap.as_secs_f64() * 1e3;
        let estimate = estimate.unwrap_or_default();
        let ratio = estimate.gap_ratio(concurrent, state.server.slots, gap_ms);
        registry.servers[key].record_latency(ratio, now);
        registry.mark_reportable(key);
    }

    /// Records a request that failed because of the server.
    pub fn record_failure(&self, key: Key, failure: Failure, now: Instant) {
        let mut registry = self.lock();
        let Some(state) = registry.servers.get_mut(key) else {
            return;
        };
        let backoff = state.health.record_failure(failure, now);
        if backoff.is_some() {
            state.pool.close_idle();
        }
        tracing::info!(event = "server_failed", server = %state.server.id,
            fault = failure.name(), rest_ms = backoff.map(|b| b.as_millis()),
            risk = state.failure_rate(now));
        registry.mark_reportable(key);
    }

    /// Records that another server responded at a server's address, so the expected one no
    /// longer exists.
    pub fn mark_replaced(&self, key: Key) {
        let mut registry = self.lock();
        if let Some(state) = registry.servers.get_mut(key) {
            tracing::info!(event = "server_replaced", server = %state.server.id);
            state.is_replaced = true;
            state.pool.close_idle();
        }
    }
}

/// A hash of the request and server IDs, used to break ties and as a random number.
fn request_hash(request: &Id, server: &Id) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    server.hash(&mut hasher);
    hasher.finish()
}
