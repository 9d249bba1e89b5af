//! Requests from their head to their last byte.
//!
//! - [`call`]: a request that was read and routed.
//! - `admission`: whether its account may have it run; [`attempt`]: one sending to one
//!   server.
//! - [`plain`]: answers that are read whole; [`turn`]: streams and turns. `source` has
//!   servers run them, `relay` passes their events on, `ledger` tells what they used.
//! - `door`: the listeners, with logs and counters of each request; [`refusal`]: answers of
//!   the gateway's own.

mod admission;
pub mod attempt;
pub mod call;
mod door;
mod ledger;
pub mod plain;
pub mod refusal;
mod relay;
mod source;
pub mod turn;

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use gradedyke_http::{Body, body};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::quorum::Quorum;
use http::{Request, Response, header};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::account::{Account, Directory};
use crate::allowance::Register;
use crate::config::{Config, Kind, Route};
use crate::demand::Demand;
use crate::dialect::{Dialect, Meta};
use crate::fleet::Fleet;
use crate::mechanism::Enabled;
use crate::throttle::Throttle;
use call::Call;
use door::Refused;
use refusal::Refusal;

pub use door::{Door, Readiness};

/// Time allowed to a caller that names none and whose route names none.
const DEADLINE: Duration = Duration::from_secs(30);

/// Longest wait for the first configuration: when all processes were lost, what
/// keepers take to start. A refusal would only use up one of the few tries that
/// a caller has.
const START: Duration = Duration::from_millis(1_000);

/// Share of the time in which a withdrawn key must be without effect for which it may be
/// used unconfirmed. The rest is for clocks that run at other speeds.
const UNCONFIRMED: f64 = 0.9;

/// For how long a key may be used unconfirmed where a withdrawn one must be without
/// effect after `revocation`.
pub fn confirmation(revocation: Duration) -> Duration {
    revocation.mul_f64(UNCONFIRMED)
}

/// The entry role of one process.
pub struct Entry {
    /// How the outside spells things.
    pub dialect: Arc<dyn Dialect>,
    /// The copy of the platform's service.
    pub mirror: Arc<Mirror>,
    /// The configuration in force.
    pub config: ArcSwapOption<Config>,
    /// The backend servers.
    pub fleet: Arc<Fleet>,
    /// The keepers.
    pub quorum: Arc<Quorum>,
    /// What client accounts had let through here.
    pub register: Register,
    /// How many requests programs need.
    pub demand: Demand,
    /// How the keepers keep up.
    pub throttle: Throttle,
    /// The mechanisms that are on.
    pub enabled: Enabled,
    /// Cancelled when the process begins to stop.
    pub drain: CancellationToken,
    /// The revision of the configuration that was read last.
    pub configured: Mutex<u64>,
    /// Time in which a change must be in force. What is known here for longer without being
    /// confirmed gives no final answer: that a key, a route or so large a body is not allowed.
    pub in_force: Duration,
    /// For how long a key may be used without the platform's service confirming that
    /// it still holds; `None` where keys need not be confirmed.
    pub confirmation: Option<Duration>,
    /// Up to where the fleet has taken the mirror in.
    pub applied: Mutex<u64>,
    /// Requests in progress.
    pub active: AtomicUsize,
}

impl Entry {
    /// Whether callers may come here.
    pub fn ready(&self) -> bool {
        let started = self.config.load().is_some() && self.fleet.listed() > 0;
        let drains = self.drain.is_cancelled();
        let confirmed = self.confirmed(self.age(Instant::now()));
        started && !drains && self.quorum.reachable() && confirmed
    }

    /// Whether keys may be used by what is known here with this `age`. A key may be
    /// withdrawn while this entry is cut off; the age tells, counted from when the question
    /// was sent that the platform's service answered, so that no delay on the way makes
    /// what is known look younger.
    fn confirmed(&self, age: Option<Duration>) -> bool {
        let Some(bound) = self.confirmation else {
            return true;
        };
        let config = self.config.load();
        let keys = config.as_ref().is_some_and(|c| c.accounts.is_some());
        !keys || age.is_some_and(|age| age <= bound)
    }

    /// How old what is known here may be for a request that arrived at `arrived`.
    fn age(&self, arrived: Instant) -> Option<Duration> {
        let vouched = self.mirror.vouched()?;
        Some(arrived.saturating_duration_since(vouched))
    }

    /// Shows which configuration is in force here, and how old what is known is.
    pub(crate) fn gauge(&self, now: Instant) {
        if let Some(config) = &*self.config.load() {
            metrics::gauge!("gradedyke_config_version").set(config.version as f64);
        }
        if let Some(age) = self.age(now) {
            metrics::gauge!("gradedyke_config_age_seconds").set(age.as_secs_f64());
        }
    }

    /// The configuration that the mirror holds now: what it knows of keys is to be as
    /// young as the mirror itself.
    fn latest(&self) -> Option<Arc<Config>> {
        self.configure();
        self.config.load_full()
    }

    /// Brings configuration and fleet in line with the mirror.
    pub fn refresh(&self) {
        self.configure();
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        let (items, next) = self.mirror.since(*applied);
        self.fleet.apply_all(&items, &*self.dialect);
        *applied = next;
    }

    /// Puts the configuration of the mirror in force, if it is a later one. It is in
    /// force at the return, whoever read it.
    fn configure(&self) {
        let mut configured = self
            .configured
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some((value, revision)) = self.mirror.get(self.dialect.config_key()) else {
            return;
        };
        // Other keys change far more often, and a large configuration takes a
        // while to read.
        if *configured >= revision {
            return;
        }
        *configured = revision;
        match self.dialect.config(&value) {
            Ok(config) => self.adopt(config, revision),
            Err(error) => tracing::warn!(event = "config_not_read", revision, %error),
        }
    }

    fn adopt(&self, config: Config, revision: u64) {
        let before = self.config.load().as_ref().map(|c| c.version);
        if before >= Some(config.version) {
            return;
        }
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            before,
            revision,
            routes = config.len(),
            services = config.services.len(),
            keys = config.accounts.as_ref().map_or(0, Directory::len)
        );
        self.config.store(Some(Arc::new(config)));
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Response<Body>, Refused> {
        let meta = self.dialect.meta(request.headers());
        let call = match self.read(request, meta.clone(), arrived).await {
            Ok(call) => call,
            Err(refusal) => {
                return Err(Refused {
                    refusal,
                    meta,
                    drain: Duration::ZERO,
                });
            }
        };
        let call = Arc::new(call);
        let refused = call.clone();
        let served = match call.route.kind {
            Kind::Stream => turn::serve(self, call).await,
            Kind::Idempotent | Kind::Once => self.plain(call).await,
        };
        if let (Err(refusal), Some(counted)) = (&served, &refused.counted)
            && refusal.unrun()
        {
            self.register.undo(counted);
        }
        served.map_err(|refusal| Refused {
            refusal,
            meta,
            drain: match refusal {
                Refusal::Overload | Refusal::NoKeepers => self.throttle.wait(Instant::now()),
                _ => self.drained(&refused),
            },
        })
    }

    async fn plain(self: &Arc<Self>, call: Arc<Call>) -> Result<Response<Body>, Refusal> {
        self.allow(&call).await?;
        let served = plain::serve(self, call.clone());
        // An answer that comes in the last moment is still wanted.
        let served = tokio::time::timeout_at(call.until, served).await;
        served.unwrap_or(Err(Refusal::TimedOut))
    }

    /// In how long a server of the call's service is expected to have a place.
    fn drained(&self, call: &Call) -> Duration {
        let engine = call.engine().is_some();
        self.fleet.drain(&call.service, engine, Instant::now())
    }

    /// The configuration in force. A process that has just started waits a
    /// moment for its first one, and for the servers that come with it: they are
    /// there within that time as a rule, and the caller would only ask again.
    pub async fn started(&self, now: Instant) -> Option<Arc<Config>> {
        let mut changed = self.mirror.watch();
        let end = now + START;
        loop {
            let config = self.config.load_full();
            if config.is_some() && self.fleet.known() {
                return config;
            }
            let news = tokio::time::timeout_at(end, changed.changed()).await;
            if !matches!(news, Ok(Ok(()))) {
                return config;
            }
            // The task that does this on each change may not have run yet.
            self.refresh();
        }
    }

    /// The account whose key a request carries, by a configuration of this `age` or
    /// younger.
    fn holder(
        &self,
        config: &Config,
        route: &Route,
        meta: &Meta,
        age: Option<Duration>,
    ) -> Result<Option<Arc<Account>>, Refusal> {
        let Some(accounts) = &config.accounts else {
            return Ok(None);
        };
        match meta.key.and_then(|key| accounts.holder(key)) {
            Some(account) if self.confirmed(age) => Ok(Some(account.clone())),
            Some(_) => Err(Refusal::Unconfirmed),
            None if route.public => Ok(None),
            None => Err(self.denial(Refusal::Unauthorized, age)),
        }
    }

    /// Routes a request and reads its body.
    async fn read(
        &self,
        request: Request<Incoming>,
        meta: Meta,
        arrived: Instant,
    ) -> Result<Call, Refusal> {
        let config = self.started(arrived).await.ok_or(Refusal::NotStarted)?;
        // Before the configuration is taken, which may be younger than this then.
        let age = self.age(arrived);
        let config = self.latest().unwrap_or(config);
        let (head, incoming) = request.into_parts();
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
        let route = config.route(host, head.uri.path());
        let route: Arc<Route> = route
            .ok_or_else(|| self.denial(Refusal::NoRoute, age))?
            .clone();
        let account = self.holder(&config, &route, &meta, age)?;
        let id = meta.request.clone().ok_or(Refusal::Malformed)?;
        let allowed = meta.deadline.unwrap_or(DEADLINE).min(route.timeout);
        let until = arrived + allowed;
        let time = allowed.min(config.limits.idle);
        let body = body::collect(incoming, config.limits.body_bytes, time).await;
        let body = body.map_err(|problem| {
            tracing::info!(event = "body_not_read", request = %id, problem = %problem.message);
            match problem.kind {
                gradedyke_base::problem::Kind::TooLarge => self.denial(Refusal::TooLarge, age),
                _ => Refusal::Malformed,
            }
        })?;
        let named = meta.session.as_ref().or(meta.program.as_ref());
        let service = route.target(named).ok_or(Refusal::NoServer)?.to_owned();
        let counted = self.count(account.as_deref(), &route, &meta, arrived)?;
        let regions = Call::regions(&route, account.as_deref());
        Ok(Call {
            id,
            config,
            route,
            regions,
            service,
            account,
            counted,
            meta,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            arrived,
            until,
        })
    }

    /// The answer to what the configuration does not allow, when what is known here has this
    /// `age`. It is final only where that is young: it may have been allowed since.
    fn denial(&self, refusal: Refusal, age: Option<Duration>) -> Refusal {
        if age.is_some_and(|age| age <= self.in_force) {
            return refusal;
        }
        Refusal::Unconfirmed
    }
}
