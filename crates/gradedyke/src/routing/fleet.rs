//! The backend servers, with what is known and guessed of them.
//!
//! Reports lag, so each is corrected by what this owner has sent since. Cache
//! events come late and with gaps: a prefix counts as cached from the moment a
//! call with it was sent, until an event says otherwise; a gap in the events
//! makes everything known of that cache doubtful, and it is forgotten.

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
    /// A backend server in the fleet.
    pub struct Key;
}

/// Longest time for a control call to an engine.
const CONTROL: Duration = Duration::from_secs(2);
/// How long a backend server that failed gets no work, the first time.
const REST_FIRST: Duration = Duration::from_millis(500);
/// The longest such rest.
const REST_LAST: Duration = Duration::from_secs(30);
/// Prefixes remembered for each engine.
const PREFIXES: usize = 65_536;

/// How a backend server is spoken to.
#[derive(Clone)]
pub enum Link {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

struct Server {
    id: id::Backend,
    settings: Backend,
    link: Link,
    near: bool,
    load: Load,
    sent_tokens: u64,
    in_flight: u32,
    cached: HashMap<prefix::Key, u64>,
    last_event: u64,
    failures: u32,
    rests_until: Option<Instant>,
    /// The instance list says that it is leaving.
    listed_leaving: bool,
    /// Its data centre is evacuated.
    evacuated: bool,
}

/// A chosen backend server.
#[derive(Clone)]
pub struct Choice {
    /// Its key.
    pub key: Key,
    /// Its name.
    pub id: id::Backend,
    /// How it is spoken to.
    pub link: Link,
    /// Ends the booking with the last clone of the choice, if there is one.
    _booking: Option<Arc<Booking>>,
}

/// A call on its way to a backend server. It is over when this is dropped, so
/// that a call which is given up in any way leaves no work behind in the books.
struct Booking {
    fleet: Arc<Fleet>,
    key: Key,
    work: u64,
}

impl Drop for Booking {
    fn drop(&mut self) {
        if let Some(server) = self.fleet.lock().get_mut(self.key) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.sent_tokens = server.sent_tokens.saturating_sub(self.work);
        }
    }
}

/// The backend servers as this owner sees them.
pub struct Fleet {
    data_centre: String,
    client: Client,
    servers: Mutex<SlotMap<Key, Server>>,
}

impl Fleet {
    /// A fleet as seen from a data centre; it is empty before
    /// [`Fleet::update`].
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            client: Client::new(&client::Config::default()),
            servers: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Key, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings the fleet in line with the settings in force. What is known of a
    /// backend server whose settings did not change is kept.
    pub fn update(&self, tree: &Tree) {
        let mut servers = self.lock();
        servers.retain(|_, s| tree.backends.get(s.id.as_str()) == Some(&s.settings));
        let known: BTreeSet<_> = servers.values().map(|s| s.id.as_str().to_owned()).collect();
        for (name, settings) in &tree.backends {
            let Ok(id) = id::Backend::parse(name) else {
                continue;
            };
            if !known.contains(name) {
                servers.insert(self.server(id, settings));
            }
        }
        for server in servers.values_mut() {
            let data_centre = server.settings.data_centre();
            server.evacuated = tree.evacuated.contains(data_centre);
        }
    }

    fn server(&self, id: id::Backend, settings: &Backend) -> Server {
        let address = settings.address();
        let link = match settings {
            Backend::Engine { .. } => {
                let engine = engine_http::Http::new(address, self.client.clone(), CONTROL);
                Link::Engine(Arc::new(engine))
            }
            Backend::Service { outcome_path, .. } => {
                let service = service::Http::new(address, outcome_path.clone(), CONTROL);
                Link::Service(Arc::new(service))
            }
        };
        Server {
            id,
            near: settings.data_centre() == self.data_centre,
            settings: settings.clone(),
            link,
            load: Load::default(),
            sent_tokens: 0,
            in_flight: 0,
            cached: HashMap::new(),
            last_event: 0,
            failures: 0,
            rests_until: None,
            listed_leaving: false,
            evacuated: false,
        }
    }

    /// The engines that can serve `model` now, with `chain` as the prompt's
    /// prefixes and `tokens` for each of them.
    pub fn engines(
        &self,
        model: &str,
        chain: &[prefix::Key],
        tokens: &[u64],
        avoid: &[Key],
        now: Instant,
    ) -> Vec<Candidate> {
        let serves = |s: &Server| match &s.settings {
            Backend::Engine { models, .. } => models.iter().any(|m| m == model),
            Backend::Service { .. } => false,
        };
        self.candidates(serves, avoid, now, |s| s.cached_tokens(chain, tokens))
    }

    /// The backend servers that offer `service` now.
    pub fn services(&self, service: &str, avoid: &[Key], now: Instant) -> Vec<Candidate> {
        let offers = |s: &Server| match &s.settings {
            Backend::Service { service: name, .. } => name == service,
            Backend::Engine { .. } => false,
        };
        self.candidates(offers, avoid, now, |_| 0)
    }

    fn candidates(
        &self,
        fits: impl Fn(&Server) -> bool,
        avoid: &[Key],
        now: Instant,
        cached: impl Fn(&Server) -> u64,
    ) -> Vec<Candidate> {
        let servers = self.lock();
        let stays = |(key, s): &(Key, &Server)| fits(s) && !s.leaves() && !avoid.contains(key);
        let mut able: Vec<_> = servers.iter().filter(stays).collect();
        // A rest spares a failed backend server while others do its work. When
        // all of them rest, it would only refuse work that might succeed.
        if able.iter().any(|(_, s)| !s.rests(now)) {
            able.retain(|(_, s)| !s.rests(now));
        }
        let able = able.into_iter();
        able.map(|(key, s)| Candidate {
            key,
            pending_tokens: s.load.pending_tokens + s.sent_tokens,
            in_flight: s.in_flight,
            cached_tokens: cached(s),
            near: s.near,
        })
        .collect()
    }

    /// Books a call that means `work` tokens on a backend server, and returns how
    /// to speak to it. The booking ends when the choice is dropped.
    pub fn book(
        self: &Arc<Self>,
        key: Key,
        chain: &[prefix::Key],
        tokens: &[u64],
        work: u64,
    ) -> Option<Choice> {
        let mut servers = self.lock();
        let server = servers.get_mut(key)?;
        server.in_flight += 1;
        server.sent_tokens += work;
        if server.cached.len() + chain.len() > PREFIXES {
            server.cached.clear();
        }
        let known = chain.iter().copied().zip(tokens.iter().copied());
        server.cached.extend(known);
        let booking = Booking {
            fleet: self.clone(),
            key,
            work,
        };
        Some(Choice {
            key,
            id: server.id.clone(),
            link: server.link.clone(),
            _booking: Some(Arc::new(booking)),
        })
    }

    /// Takes in that a call went well.
    pub fn succeeded(&self, key: Key) {
        if let Some(server) = self.lock().get_mut(key) {
            server.failures = 0;
            server.rests_until = None;
        }
    }

    /// Takes in that a call failed through the backend server's fault: it gets
    /// no work for a while, longer each time.
    pub fn failed(&self, key: Key, now: Instant) {
        if let Some(server) = self.lock().get_mut(key) {
            let rest = REST_FIRST * 2_u32.saturating_pow(server.failures.min(10));
            server.failures += 1;
            server.rests_until = Some(now + rest.min(REST_LAST));
        }
    }

    /// Takes in a load report.
    pub fn report(&self, key: Key, load: Load) {
        if let Some(server) = self.lock().get_mut(key) {
            server.load = load;
        }
    }

    /// Marks the backend servers that the instance list says are leaving.
    pub fn leaving(&self, ids: &BTreeSet<String>) {
        for server in self.lock().values_mut() {
            server.listed_leaving = ids.contains(server.id.as_str());
        }
    }

    /// Takes in cache events.
    pub fn cache_events(&self, key: Key, events: &[CacheEvent]) {
        let mut servers = self.lock();
        let Some(server) = servers.get_mut(key) else {
            return;
        };
        for event in events {
            let gap = server.last_event != 0 && event.number > server.last_event + 1;
            if gap {
                server.cached.clear();
            }
            server.last_event = server.last_event.max(event.number);
            if !event.cached {
                server.cached.remove(&event.key);
            }
        }
    }

    /// The number of the last cache event of a backend server that was seen.
    pub fn last_event(&self, key: Key) -> u64 {
        self.lock().get(key).map_or(0, |s| s.last_event)
    }

    /// All engines.
    pub fn all_engines(&self) -> Vec<(Key, id::Backend, Arc<dyn Engine>)> {
        let servers = self.lock();
        let engine = |(key, s): (Key, &Server)| match &s.link {
            Link::Engine(engine) => Some((key, s.id.clone(), engine.clone())),
            Link::Service(_) => None,
        };
        servers.iter().filter_map(engine).collect()
    }

    /// A backend server by its name, without a booking.
    pub fn find(&self, id: &id::Backend) -> Option<Choice> {
        let servers = self.lock();
        let (key, server) = servers.iter().find(|(_, s)| s.id == *id)?;
        Some(Choice {
            key,
            id: server.id.clone(),
            link: server.link.clone(),
            _booking: None,
        })
    }
}

impl Server {
    fn leaves(&self) -> bool {
        self.load.leaving || self.listed_leaving || self.evacuated
    }

    fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }

    /// Tokens of the longest known prefix of `chain`.
    fn cached_tokens(&self, chain: &[prefix::Key], tokens: &[u64]) -> u64 {
        let known = chain.iter().take_while(|k| self.cached.contains_key(k));
        known.zip(tokens).map(|(_, tokens)| tokens).sum()
    }
}
