//! The backend servers and their estimated load and cache contents.
//!
//! Load reports lag, so the work of this owner's calls in flight is added to them.
//! Cache events are late and can be lost: a prefix counts as cached once a call
//! with it is sent, until an event reports its eviction. A gap in the event
//! numbers clears the estimate of that cache.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_backend::engine::{CacheEvent, Load};
use gradedyke_backend::prefix;
use gradedyke_backend::service;
use gradedyke_backend::{Engine, Service, engine_http};
use gradedyke_base::id;
use gradedyke_base::settings::tree::{Backend, Tree};
use gradedyke_http::{Client, client};
use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use super::Candidate;

new_key_type! {
    /// Key of a backend server in the fleet.
    pub struct ServerKey;
}

/// Timeout of a control call to a backend server.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// First backoff of a failed backend server, during which it gets no calls.
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff of a failed backend server.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(30);
/// Maximum number of cached prefixes remembered for each engine.
const MAX_CACHED_PREFIXES: usize = 65_536;

/// The client of a backend server.
#[derive(Clone)]
pub enum BackendClient {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

struct Server {
    id: id::Backend,
    settings: Backend,
    client: BackendClient,
    is_local: bool,
    /// The last load report.
    load: Load,
    /// Maximum number of tokens to generate for this owner's calls in flight.
    in_flight_tokens: u64,
    /// Number of this owner's calls in flight.
    in_flight: u32,
    /// Prefixes that are assumed cached, with the tokens of the last message of each.
    cached: HashMap<prefix::Key, u64>,
    /// Number of the last cache event received, or 0.
    last_event: u64,
    /// Number of consecutive failed calls.
    failures: u32,
    backoff_until: Option<Instant>,
    /// Whether the instance list reports that it is shutting down.
    listed_leaving: bool,
    /// Whether its data centre is evacuated.
    evacuated: bool,
}

/// A chosen backend server.
#[derive(Clone)]
pub struct Choice {
    /// Its key.
    pub key: ServerKey,
    /// Its name.
    pub id: id::Backend,
    /// Its client.
    pub client: BackendClient,
    /// Counts the call as in flight until the last clone is dropped; `None` if the
    /// call is not counted.
    _in_flight: Option<Arc<InFlightGuard>>,
}

/// Guard that counts a call as in flight on a backend server until it is dropped,
/// however the call ends.
struct InFlightGuard {
    fleet: Arc<Fleet>,
    key: ServerKey,
    answer_tokens: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(server) = self.fleet.lock().get_mut(self.key) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.in_flight_tokens = server.in_flight_tokens.saturating_sub(self.answer_tokens);
        }
    }
}

/// The backend servers as seen by this owner.
pub struct Fleet {
    data_centre: String,
    client: Client,
    servers: Mutex<SlotMap<ServerKey, Server>>,
}

impl Fleet {
    /// Creates an empty fleet as seen from a data centre. [`Fleet::update`] adds
    /// backend servers.
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            client: Client::new(&client::Config::default()),
            servers: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ServerKey, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the fleet to the current settings. The state of a backend server
    /// whose settings did not change is kept.
    pub fn update(&self, tree: &Tree) {
        let mut servers = self.lock();
        servers.retain(|_, s| tree.backends.get(s.id.as_str()) == Some(&s.settings));
        let known: BTreeSet<_> = servers.values().map(|s| s.id.as_str().to_owned()).collect();
        for (name, settings) in &tree.backends {
            let Ok(id) = id::Backend::parse(name) else {
                continue;
            };
            if !known.contains(name) {
                servers.insert(self.new_server(id, settings));
            }
        }
        for server in servers.values_mut() {
            let data_centre = server.settings.data_centre();
            server.evacuated = tree.evacuated.contains(data_centre);
        }
    }

    fn new_server(&self, id: id::Backend, settings: &Backend) -> Server {
        let address = settings.address();
        let client = match settings {
            Backend::Engine { .. } => {
                let engine = engine_http::Http::new(address, self.client.clone(), CONTROL_TIMEOUT);
                BackendClient::Engine(Arc::new(engine))
            }
            Backend::Service { outcome_path, .. } => {
                let service = service::Http::new(address, outcome_path.clone(), CONTROL_TIMEOUT);
                BackendClient::Service(Arc::new(service))
            }
        };
        Server {
            id,
            is_local: settings.data_centre() == self.data_centre,
            settings: settings.clone(),
            client,
            load: Load::default(),
            in_flight_tokens: 0,
            in_flight: 0,
            cached: HashMap::new(),
            last_event: 0,
            failures: 0,
            backoff_until: None,
            listed_leaving: false,
            evacuated: false,
        }
    }

    /// Returns the engines that can serve `model` now, without those in `avoid`.
    /// `chain` holds the keys of the prompt's prefixes, one for each message, and
    /// `tokens` the tokens of each message.
    pub fn engines(
        &self,
        model: &str,
        chain: &[prefix::Key],
        tokens: &[u64],
        avoid: &[ServerKey],
        now: Instant,
    ) -> Vec<Candidate> {
        let serves = |s: &Server| match &s.settings {
            Backend::Engine { models, .. } => models.iter().any(|m| m == model),
            Backend::Service { .. } => false,
        };
        self.candidates(serves, avoid, now, |s| s.cached_tokens(chain, tokens))
    }

    /// Returns the backend servers that offer `service` now, without those in
    /// `avoid`.
    pub fn services(&self, service: &str, avoid: &[ServerKey], now: Instant) -> Vec<Candidate> {
        let offers = |s: &Server| match &s.settings {
            Backend::Service { service: name, .. } => name == service,
            Backend::Engine { .. } => false,
        };
        self.candidates(offers, avoid, now, |_| 0)
    }

    fn candidates(
        &self,
        fits: impl Fn(&Server) -> bool,
        avoid: &[ServerKey],
        now: Instant,
        cached: impl Fn(&Server) -> u64,
    ) -> Vec<Candidate> {
        let servers = self.lock();
        let is_available =
            |(key, s): &(ServerKey, &Server)| fits(s) && !s.is_leaving() && !avoid.contains(key);
        let mut available: Vec<_> = servers.iter().filter(is_available).collect();
        // Backend servers in backoff are skipped while others are available. If
        // all are in backoff, any of them may be tried.
        if available.iter().any(|(_, s)| !s.is_in_backoff(now)) {
            available.retain(|(_, s)| !s.is_in_backoff(now));
        }
        let available = available.into_iter();
        available
            .map(|(key, s)| Candidate {
                key,
                pending_tokens: s.load.pending_tokens + s.in_flight_tokens,
                in_flight: s.in_flight,
                cached_tokens: cached(s),
                is_local: s.is_local,
            })
            .collect()
    }

    /// Counts a call with up to `answer_tokens` tokens to generate as in flight on a backend
    /// server until the returned choice is dropped, and assumes that the prompt's
    /// prefixes are cached there from now on.
    pub fn start_call(
        self: &Arc<Self>,
        key: ServerKey,
        chain: &[prefix::Key],
        tokens: &[u64],
        answer_tokens: u64,
    ) -> Option<Choice> {
        let mut servers = self.lock();
        let server = servers.get_mut(key)?;
        server.in_flight += 1;
        server.in_flight_tokens += answer_tokens;
        if server.cached.len() + chain.len() > MAX_CACHED_PREFIXES {
            server.cached.clear();
        }
        let known = chain.iter().copied().zip(tokens.iter().copied());
        server.cached.extend(known);
        let guard = InFlightGuard {
            fleet: self.clone(),
            key,
            answer_tokens,
        };
        Some(Choice {
            key,
            id: server.id.clone(),
            client: server.client.clone(),
            _in_flight: Some(Arc::new(guard)),
        })
    }

    /// Records that a call succeeded, which ends the backoff.
    pub fn record_success(&self, key: ServerKey) {
        if let Some(server) = self.lock().get_mut(key) {
            server.failures = 0;
            server.backoff_until = None;
        }
    }

    /// Records that a call failed because of the backend server, and starts or
    /// extends its backoff.
    pub fn record_failure(&self, key: ServerKey, now: Instant) {
        if let Some(server) = self.lock().get_mut(key) {
            let backoff = MIN_FAILURE_BACKOFF * 2_u32.saturating_pow(server.failures.min(10));
            server.failures += 1;
            server.backoff_until = Some(now + backoff.min(MAX_FAILURE_BACKOFF));
        }
    }

    /// Stores a load report.
    pub fn set_load(&self, key: ServerKey, load: Load) {
        if let Some(server) = self.lock().get_mut(key) {
            server.load = load;
        }
    }

    /// Marks the backend servers that are shutting down according to the instance
    /// list. All others are unmarked.
    pub fn set_leaving(&self, ids: &BTreeSet<String>) {
        for server in self.lock().values_mut() {
            server.listed_leaving = ids.contains(server.id.as_str());
        }
    }

    /// Applies cache events of an engine.
    pub fn apply_cache_events(&self, key: ServerKey, events: &[CacheEvent]) {
        let mut servers = self.lock();
        let Some(server) = servers.get_mut(key) else {
            return;
        };
        for event in events {
            let has_gap = server.last_event != 0 && event.number > server.last_event + 1;
            if has_gap {
                server.cached.clear();
            }
            server.last_event = server.last_event.max(event.number);
            if !event.cached {
                server.cached.remove(&event.key);
            }
        }
    }

    /// Returns the number of the last cache event received from a backend server,
    /// or 0.
    pub fn last_event(&self, key: ServerKey) -> u64 {
        self.lock().get(key).map_or(0, |s| s.last_event)
    }

    /// Returns all engines.
    pub fn all_engines(&self) -> Vec<(ServerKey, id::Backend, Arc<dyn Engine>)> {
        let servers = self.lock();
        let engine = |(key, s): (ServerKey, &Server)| match &s.client {
            BackendClient::Engine(engine) => Some((key, s.id.clone(), engine.clone())),
            BackendClient::Service(_) => None,
        };
        servers.iter().filter_map(engine).collect()
    }

    /// Finds a backend server by its name, without counting a call as in flight.
    pub fn find(&self, id: &id::Backend) -> Option<Choice> {
        let servers = self.lock();
        let (key, server) = servers.iter().find(|(_, s)| s.id == *id)?;
        Some(Choice {
            key,
            id: server.id.clone(),
            client: server.client.clone(),
            _in_flight: None,
        })
    }
}

impl Server {
    fn is_leaving(&self) -> bool {
        self.load.leaving || self.listed_leaving || self.evacuated
    }

    fn is_in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Returns the tokens of the longest prefix of `chain` that is assumed cached.
    fn cached_tokens(&self, chain: &[prefix::Key], tokens: &[u64]) -> u64 {
        let known = chain.iter().take_while(|k| self.cached.contains_key(k));
        known.zip(tokens).map(|(_, tokens)| tokens).sum()
    }
}
