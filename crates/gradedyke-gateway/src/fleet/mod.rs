//! The backend servers, with what is known and learned of them.
//!
//! The directory tells which there are; it may be away, and then what was known
//! stays in use. A server whose item vanished while the directory was away is
//! kept as a last resort for the time in which living servers come back; one
//! whose item vanished in calm times has gone.
//!
//! `registry` holds the servers there are, `known` what is believed of one, `location`
//! where they stand. `sample` says which of very many are weighed for a request, and
//! [`slow_start`] which of those that warm up may run it.

mod known;
mod location;
mod registry;
mod sample;
pub mod slow_start;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::load::{Busy, Report};
use gradedyke_turns::mirror::Item;
use gradedyke_turns::record::Id;
use slotmap::new_key_type;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::estimate::{self, Pace, Stream, Times};
use crate::health::Fault;
use crate::link::Pool;
use crate::mechanism::{Enabled, Mechanism};
use crate::placement::{self, Candidate, Policy};
use crate::prefix::Part;
use known::Known;
pub use location::Location;
use registry::Servers;

new_key_type! {
    /// A backend server in the fleet.
    pub struct Key;
}

/// How long what other entries told counts: several requests' time.
const TOLD: Duration = Duration::from_millis(1_500);

/// A backend server as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its identity. It may start again under it.
    pub id: Id,
    /// When its process started, in Unix milliseconds, if the directory says so. It tells
    /// processes of one server apart, and nothing else: clocks may be set back.
    pub started_ms: Option<u64>,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// It finishes what it has and takes nothing new.
    pub leaving: bool,
    /// For how much longer it warms up after its entry was written; it bears few requests
    /// until then.
    pub warm_up: Duration,
}

impl Server {
    /// The name of its process. Whatever is learned of a server is learned of that: one
    /// that started again holds nothing of before.
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
    ///     leaving: false,
    ///     warm_up: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(server(None).process().as_str(), "s");
    /// assert_ne!(server(Some(1)).process(), server(Some(2)).process());
    /// ```
    pub fn process(&self) -> Id {
        let started = self.started_ms.map(|ms| format!("{}/{ms}", self.id));
        let process = started.as_deref().and_then(Id::parse);
        process.unwrap_or_else(|| self.id.clone())
    }
}

/// What is asked of the fleet.
#[derive(Clone, Debug)]
pub struct Question<'a> {
    /// The service.
    pub service: &'a str,
    /// The request's name, which breaks ties.
    pub request: &'a Id,
    /// Servers that have had this request already.
    pub tried: &'a [Key],
    /// The process of the server whose cache holds the conversation.
    pub holder: Option<&'a Id>,
    /// Tokens of the prompt, 0 for a plain service.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the holder need not read.
    pub held_tokens: u64,
    /// The parts of the prompt, as far as they are named.
    pub parts: &'a [Part],
    /// Whether the service runs models.
    pub engine: bool,
    /// Tokens that the memory of one of its servers holds; 0 if it has none.
    pub room: u64,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Requests a second that one of the service's servers bears while it warms up, from
    /// all entries together; `None` where there is no such bound.
    pub warm_up_rate: Option<f64>,
    /// The regions in which the request may run; `None` for all.
    pub regions: Option<&'a [String]>,
    /// The present time.
    pub now: Instant,
}

/// A chosen server. The request counts as in progress until this is dropped.
pub struct Choice {
    fleet: Arc<Fleet>,
    /// Its key.
    pub key: Key,
    /// Its identity.
    pub id: Id,
    /// The name of its process.
    pub process: Id,
    /// Cancelled when it is known that this process has gone.
    pub gone: CancellationToken,
    /// Connections to it.
    pub pool: Arc<Pool>,
    /// When it was chosen.
    pub since: Instant,
    /// What was known of it then.
    pub view: Candidate,
}

impl Drop for Choice {
    fn drop(&mut self) {
        if let Some(known) = self.fleet.lock().servers.get_mut(self.key) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}

/// The backend servers as this entry sees them.
pub struct Fleet {
    location: Location,
    policy: Arc<dyn Policy>,
    enabled: Enabled,
    /// Tells this entry's reports from those of others.
    boot: u64,
    /// Where this entry passes requests of others on.
    own: Option<SocketAddr>,
    servers: Mutex<Servers>,
}

impl Fleet {
    /// An empty fleet as seen from a location, by the entry that passes
    /// requests of others on at `own`.
    pub fn new(
        location: impl Into<Location>,
        own: Option<SocketAddr>,
        policy: Arc<dyn Policy>,
        enabled: Enabled,
    ) -> Arc<Self> {
        Arc::new(Self {
            location: location.into(),
            policy,
            enabled,
            boot: rand::random(),
            own,
            servers: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Servers> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many servers are listed.
    pub fn listed(&self) -> usize {
        self.lock().listed()
    }

    /// Whether the directory has told of any server yet.
    pub fn known(&self) -> bool {
        !self.lock().servers.is_empty()
    }

    /// Takes in that a server is listed, which was learned then.
    pub fn list(&self, server: Server, learned: Instant) {
        self.lock().list(server, learned);
    }

    /// Takes in whether a data centre is evacuated. Nothing new is sent to the servers of
    /// one that is; what they have in progress ends there.
    pub fn evacuate(&self, data_centre: &str, evacuated: bool) {
        self.lock().evacuate(data_centre, evacuated);
    }

    /// Whether a data centre is evacuated.
    pub fn evacuated(&self, data_centre: &str) -> bool {
        self.lock().evacuated.contains(data_centre)
    }

    /// Takes in an item of the directory that changed, which was learned then.
    pub fn apply(&self, item: &Item, learned: Instant, dialect: &dyn Dialect) {
        self.lock().apply(item, learned, dialect);
    }

    /// Takes in items of the directory that changed, each with the time at which that was
    /// learned: all of them before the next request is placed.
    pub fn apply_all(&self, items: &[(Item, Instant)], dialect: &dyn Dialect) {
        self.lock().apply_all(items, dialect);
    }

    /// Forgets servers that vanished long enough ago. The directory has answered
    /// since `steady` without a break.
    pub fn expire(&self, steady: Option<Instant>, now: Instant) {
        let mut servers = self.lock();
        let gone = servers.servers.values().filter(|k| k.gone(steady, now));
        let gone: Vec<Id> = gone.map(|k| k.server.id.clone()).collect();
        for id in gone {
            servers.remove(&id);
        }
    }

    /// Chooses a server and counts the request as in progress there.
    pub fn choose(self: &Arc<Self>, question: &Question<'_>) -> Option<Choice> {
        let mut servers = self.lock();
        if servers.told.is_some_and(|at| question.now - at > TOLD) {
            servers.forget_others();
        }
        let rests = self.enabled.has(Mechanism::Rests);
        let keys = servers.able(question, &self.location, rests);
        if question.warm_up_rate.is_some() {
            servers.count(question, keys.is_empty());
        }
        let times = if self.enabled.has(Mechanism::LearnedTimes) {
            servers.times(question.service, question.engine)
        } else {
            estimate::Service::default().times(question.engine)
        };
        let candidates: Vec<Candidate> = keys
            .iter()
            .map(|key| self.candidate(&servers.servers[*key], question, times))
            .collect();
        let place = self.policy.choose(&candidates)?;
        let (key, view) = (keys[place], candidates[place]);
        let known = servers.servers.get_mut(key)?;
        known.in_flight += 1;
        let room = known.own_share(question.now) * question.room as f64;
        if self.enabled.has(Mechanism::Prefixes) {
            known.cache.keep(question.parts, 0, room as u64);
        }
        let choice = Choice {
            fleet: self.clone(),
            key,
            id: known.server.id.clone(),
            process: known.process.clone(),
            gone: known.ended.clone(),
            pool: known.pool.clone(),
            since: question.now,
            view,
        };
        servers.used(key);
        Some(choice)
    }

    /// In how long one of a service's servers is expected to have a place.
    pub fn drain(&self, service: &str, engine: bool, now: Instant) -> Duration {
        let servers = self.lock();
        let times = servers.times(service, engine);
        let keys = servers.by_service.get(service).into_iter().flatten();
        let known = keys.map(|key| &servers.servers[*key]);
        let open = known.filter(|k| !k.server.leaving && !k.resting(now));
        let open = open.filter(|k| !servers.evacuated.contains(&k.server.data_centre));
        let waits = open.map(|k| placement::wait_ms(k.taken(), k.server.slots, &times));
        let least = waits.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_secs_f64(least.max(0.0) / 1e3)
    }

    /// What this entry has in progress, and where requests failed lately.
    pub fn report(&self, now: Instant) -> Report {
        Report {
            entry: self.boot,
            address: self.own,
            busy: self.lock().report(now),
        }
    }

    /// Takes in what other entries have in progress.
    pub fn learn(&self, load: &[Busy], now: Instant) {
        if self.enabled.has(Mechanism::SharedLoad) {
            self.lock().learn(load, now);
        }
    }

    fn candidate(&self, known: &Known, question: &Question<'_>, times: Times) -> Candidate {
        let holds = question.holder == Some(&known.process);
        let held = if holds { question.held_tokens } else { 0 };
        let unread = question.prompt_tokens.saturating_sub(held);
        let unread = match question.parts {
            [] => unread,
            parts => unread.min(known.cache.unread(parts)),
        };
        Candidate {
            in_flight: known.taken(),
            slots: known.server.slots,
            near: known.server.data_centre == self.location.data_centre,
            unread_tokens: unread,
            engine: question.engine,
            warm: known.pool.warm(question.repeatable, question.now),
            times,
            slowness: known.slowness(question.now),
            repeatable: question.repeatable,
            risk: known.risk(question.now),
            draw: draw(question.request, &known.server.id),
        }
    }

    /// Takes in that a server answered, `time` after the request was sent. Without
    /// a `time`, how long it takes is told by [`Fleet::streamed`].
    pub fn answered(&self, key: Key, time: Option<Duration>, now: Instant) {
        let mut servers = self.lock();
        let Some(known) = servers.servers.get_mut(key) else {
            return;
        };
        known.health.answered(now);
        let service = known.server.service.clone();
        servers.touch(key);
        if let Some(time) = time {
            let learned = servers.learned.entry(service).or_default();
            let ratio = learned.call(time.as_secs_f64() * 1e3);
            servers.servers[key].pace.add(Pace::of(ratio), now);
        }
    }

    /// Takes in that an engine answered a prompt of these parts with `tokens`.
    pub fn streamed(&self, key: Key, parts: &[Part], tokens: u64, stream: &Stream) {
        let mut servers = self.lock();
        let Some(known) = servers.servers.get_mut(key) else {
            return;
        };
        if self.enabled.has(Mechanism::Prefixes) {
            known.cache.grow(parts, tokens);
        }
        let service = known.server.service.clone();
        let learned = servers.learned.entry(service).or_default();
        learned.stream(stream);
    }

    /// Takes in the time between two events of an engine's answer that has begun, with
    /// `beside` others there.
    pub fn paced(&self, key: Key, beside: u32, gap: Duration, now: Instant) {
        let mut servers = self.lock();
        let Some(known) = servers.servers.get(key) else {
            return;
        };
        let learned = servers.learned.get(&known.server.service).copied();
        let gap_ms = gap.as_secs_f64() * 1e3;
        let learned = learned.unwrap_or_default();
        let ratio = learned.ratio(beside, known.server.slots, gap_ms);
        servers.servers[key].pace.add(Pace::of(ratio), now);
        servers.touch(key);
    }

    /// Takes in that a request failed by a server's fault.
    pub fn failed(&self, key: Key, fault: Fault, now: Instant) {
        let mut servers = self.lock();
        let Some(known) = servers.servers.get_mut(key) else {
            return;
        };
        let rest = known.health.fault(fault, now);
        if rest.is_some() {
            known.pool.clear();
        }
        tracing::info!(event = "server_failed", server = %known.server.id,
            fault = fault.name(), rest_ms = rest.map(|r| r.as_millis()),
            risk = known.risk(now));
        servers.touch(key);
    }

    /// Takes in that another server has its address: it has gone.
    pub fn misdirected(&self, key: Key) {
        let mut servers = self.lock();
        if let Some(known) = servers.servers.get_mut(key) {
            tracing::info!(event = "server_replaced", server = %known.server.id);
            known.replaced = true;
            known.pool.clear();
        }
    }
}

fn draw(request: &Id, server: &Id) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    server.hash(&mut hasher);
    hasher.finish()
}
