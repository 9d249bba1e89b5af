//! Handles callers' requests, from the request head to the end of the response.
//!
//! - [`call`]: a request that was read and routed.
//! - `admission`: checks a request against the allowance of its client account.
//! - `capacity`: admission of programs while the servers of a service are full.
//! - [`attempt`]: sends a request to backend servers.
//! - [`crash`]: requests under which backend servers ended. `fingerprint` recognizes them.
//! - [`pause`]: detects that the process was paused. [`stop`]: its end after a request to stop.
//! - [`plain`]: requests whose response is buffered.
//! - [`turn`]: requests whose response is streamed, and turns of conversations. `upstream`
//!   opens the stream at a backend server, `relay` forwards its events, `budget` reports
//!   the tokens used.
//! - [`provenance`]: which configuration decided a request.
//! - `door`: HTTP handlers, with logs and metrics for each request.
//! - [`refusal`]: error responses that an entry sends itself.

mod admission;
pub mod attempt;
mod budget;
pub mod call;
mod capacity;
pub mod crash;
mod door;
mod fingerprint;
mod hold;
pub mod pause;
pub mod plain;
pub mod provenance;
pub mod refusal;
mod relay;
pub mod stop;
pub mod turn;
mod upstream;

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use gradedyke_http::{Body, body};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::quorum::Coordinator;
use gradedyke_turns::record::MAX_TURN_BYTES;
use http::{Request, Response, header};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::{Config, Kind, Route};
use crate::dialect::{Dialect, Meta};
use crate::fleet::Fleet;
use crate::memory::{Metered, Pool};
use call::Call;
use door::RefusedRequest;
use gradedyke_policy::account::{Account, Directory};
use gradedyke_policy::admission::Admission;
use gradedyke_policy::allowance::Limiter;
use gradedyke_policy::demand::Demand;
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::outage::History;
use gradedyke_policy::progress::Progress;
use gradedyke_policy::throttle::Throttle;
use provenance::Provenance;
use refusal::Refusal;
use stop::Stop;

pub use door::{CallerHandler, ReadinessHandler};

/// Timeout of a request whose caller sets none; the timeout of its route may be shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait of a request for the first configuration. Keepers take this long to start after
/// all processes were lost, and a refusal would use up one of the few tries of a caller.
const INITIAL_CONFIG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum age of the local data at which API keys are accepted, as a fraction of the
/// revocation time, without [`Mechanism::OutageRetry`].
const MAX_KEY_AGE_RATIO: f64 = 0.9;

/// Difference between the revocation time and the maximum age of the local data at which API
/// keys are accepted. The age counts from a call that was sent before the revocation was
/// confirmed, so the margin has to cover only clocks that run at different speeds (500 ppm are
/// 2.5 ms in 5 s) and the usual time from a request's arrival to its start at a server.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(100);

/// Maximum size of the input of a turn that is stored. Leaves room for the output.
const MAX_STORED_INPUT_BYTES: usize = MAX_TURN_BYTES - (2 << 20);

/// Returns the greatest age of the local data at which API keys are still accepted, if a
/// revoked key must stop working within `revocation`.
pub fn max_key_age(revocation: Duration, mechanisms: Mechanisms) -> Duration {
    if mechanisms.is_enabled(Mechanism::OutageRetry) {
        return revocation.saturating_sub(KEY_AGE_MARGIN);
    }
    revocation.mul_f64(MAX_KEY_AGE_RATIO)
}

/// Returns the maximum size of a request's body. A turn that is stored must be small enough to be
/// read again, whatever the configuration allows.
fn max_body_bytes(config: &Config, route: &Route) -> usize {
    let configured = config.limits.max_body_bytes;
    match route.retention {
        Some(_) => configured.min(MAX_STORED_INPUT_BYTES),
        None => configured,
    }
}

/// State of a process in the entry role: it accepts callers' requests and forwards them to
/// backend servers.
pub struct Entry {
    /// Encodes and decodes headers, keys and values of callers, backend servers and platform.
    pub dialect: Arc<dyn Dialect>,
    /// Local copy of the data in the platform's key-value store.
    pub mirror: Arc<Mirror>,
    /// The active configuration; empty until the first one was read.
    pub config: ArcSwapOption<Config>,
    /// The backend servers, with their load and health.
    pub fleet: Arc<Fleet>,
    /// Client of the keepers, which store turns and budgets on a majority of disks.
    pub quorum: Arc<Coordinator>,
    /// Requests of each client account that this entry admitted.
    pub limiter: Limiter,
    /// Estimates how many requests a program needs.
    pub demand: Demand,
    /// Limits how many programs begin while the keepers are overloaded.
    pub throttle: Throttle,
    /// Memory for the bodies of requests and responses.
    pub memory: Arc<Pool>,
    /// Recognizes requests under which backend servers ended.
    pub crashes: Arc<crash::Monitor>,
    /// Outages of the platform's key-value store that this entry has observed.
    pub outages: History,
    /// Limits how many programs begin while the servers of a service are full.
    pub admission: Admission,
    /// Estimates what a program still needs.
    pub progress: Progress,
    /// The optional mechanisms that are switched on in the settings.
    pub mechanisms: Mechanisms,
    /// Cancelled when the process begins its graceful shutdown.
    pub drain: CancellationToken,
    /// When the process ends, once it was asked to stop.
    pub stop: OnceLock<Stop>,
    /// Cancelled shortly before the process ends. Requests in progress then get their final
    /// responses.
    pub give_up: CancellationToken,
    /// Detects pauses of the process.
    pub pauses: pause::Monitor,
    /// Revision of the configuration that was last read from the mirror.
    pub config_revision: Mutex<u64>,
    /// Time within which a configuration change must take effect. If the local data is older than
    /// this, a request that the configuration forbids (unknown key or route, body too large) gets
    /// a retryable error instead of a final one.
    pub propagation_limit: Duration,
    /// Greatest age of the local data at which a key in it is accepted; `None` if there is
    /// no limit.
    pub max_key_age: Option<Duration>,
    /// Position in the mirror's change log up to which changes were applied to the fleet.
    pub mirror_cursor: Mutex<u64>,
    /// Number of requests in progress.
    pub active_requests: AtomicUsize,
}

impl Entry {
    /// Whether this entry should receive requests: it has a configuration and backend servers,
    /// reaches the keepers and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let started = self.config.load().is_some() && self.fleet.listed_count() > 0;
        let draining = self.drain.is_cancelled();
        let now = Instant::now();
        let can_use_keys = self.can_use_keys(self.data_age_upper_bound(now));
        let started = started && self.crashes.is_synced(now);
        started && !draining && self.quorum.is_majority_reachable() && can_use_keys
    }

    /// Whether keys may be accepted when the local data has this `age`. A key may be revoked
    /// while this entry is disconnected from the platform's key-value store.
    fn can_use_keys(&self, age: Option<Duration>) -> bool {
        let Some(max_age) = self.max_key_age else {
            return true;
        };
        let config = self.config.load();
        let requires_keys = config.as_ref().is_some_and(|c| c.accounts.is_some());
        !requires_keys || age.is_some_and(|age| age <= max_age)
    }

    /// Returns the greatest possible age of the local data at `now`; `None` before the platform
    /// first confirmed it. The age counts from when the platform was asked, not from when it
    /// responded, so that network delay cannot make the data look newer than it is.
    fn data_age_upper_bound(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.mirror.complete_as_of()?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Returns the provenance of `config` for a request that arrived when the data had this `age`.
    fn provenance(&self, config: Option<&Config>, age: Option<Duration>) -> Provenance {
        Provenance {
            version: config.map(|c| c.version),
            age,
            source: self.mirror.origin().map(|o| o.source),
        }
    }

    /// Updates the gauges of configuration version and age.
    pub(crate) fn record_gauges(&self, now: Instant) {
        if let Some(config) = &*self.config.load() {
            metrics::gauge!("gradedyke_config_version").set(config.version as f64);
        }
        if let Some(age) = self.data_age_upper_bound(now) {
            metrics::gauge!("gradedyke_config_age_seconds").set(age.as_secs_f64());
        }
    }

    /// Records the end of an outage of the platform's key-value store.
    pub(crate) fn record_outage(&self) {
        let confirmed_at = self.mirror.complete_as_of();
        let length = confirmed_at.and_then(|at| self.outages.record_confirmation(at));
        if let Some(length) = length {
            tracing::info!(event = "store_outage_ended", length_ms = length.as_millis());
            metrics::histogram!("gradedyke_store_outage_seconds").record(length.as_secs_f64());
        }
    }

    /// Returns the retry delay of a request that arrived at `arrived` and is refused because
    /// the local data may be outdated; zero if the shortest delay applies.
    fn outage_delay(&self, meta: &Meta, arrived: Instant) -> Duration {
        let config = self.config.load();
        let requires_keys = config.as_ref().is_some_and(|c| c.accounts.is_some());
        // If only this entry is disconnected, another one can serve the caller at once.
        let applies = requires_keys
            && self.mechanisms.is_enabled(Mechanism::OutageRetry)
            && !self.quorum.is_isolated();
        let max_key_age = self.max_key_age.filter(|_| applies);
        let (Some(max_key_age), Some(confirmed_at)) = (max_key_age, self.mirror.complete_as_of())
        else {
            return Duration::ZERO;
        };
        let now = Instant::now();
        let timeout = meta.timeout.unwrap_or(DEFAULT_TIMEOUT);
        // No instant is calculated from the timeout, which may be beyond the range of instants.
        let time_left = timeout.saturating_sub(now.saturating_duration_since(arrived));
        let delay = self
            .outages
            .delay(confirmed_at, now, time_left, max_key_age);
        tracing::info!(
            event = "outage_delay",
            request = meta.request_id.as_ref().map_or("none", |id| id.as_str()),
            lasted_ms = delay.lasted.as_millis(),
            time_left_ms = time_left.as_millis(),
            longer_outages = delay.longer_outages,
            wait_ms = delay.wait.as_millis()
        );
        metrics::histogram!("gradedyke_outage_delay_seconds").record(delay.wait.as_secs_f64());
        delay.wait
    }

    /// Applies the configuration in the mirror, if it is newer, and returns the active one.
    fn load_latest_config(&self) -> Option<Arc<Config>> {
        self.apply_config();
        self.config.load_full()
    }

    /// Applies all changes in the mirror to configuration and fleet.
    pub fn refresh(&self) {
        self.apply_config();
        let mut cursor = self
            .mirror_cursor
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (items, next) = self.mirror.changed_since(*cursor);
        self.fleet.apply_all(&items, &*self.dialect);
        *cursor = next;
    }

    /// Activates the configuration in the mirror, if it is newer than the active one. Holds the
    /// lock throughout: if another task is activating it, this returns only once it is active.
    fn apply_config(&self) {
        let mut read_revision = self
            .config_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some((value, revision)) = self.mirror.get(self.dialect.config_key()) else {
            return;
        };
        // Skips parsing when only other keys have changed.
        if *read_revision >= revision {
            return;
        }
        *read_revision = revision;
        match self.dialect.config(&value) {
            Ok(config) => self.activate_config(config, revision),
            Err(error) => tracing::warn!(event = "config_not_read", revision, %error),
        }
    }

    fn activate_config(&self, config: Config, revision: u64) {
        let before = self.config.load().as_ref().map(|c| c.version);
        if before >= Some(config.version) {
            tracing::warn!(
                event = "config_ignored",
                version = config.version,
                before,
                revision,
                remedy = "write it again with a higher version"
            );
            return;
        }
        tracing::info!(
            event = "config_in_force",
            version = config.version,
            before,
            revision,
            source = self.provenance(None, None).source_text(),
            routes = config.len(),
            services = config.services.len(),
            keys = config.accounts.as_ref().map_or(0, Directory::len)
        );
        if config.limits.max_body_bytes > MAX_STORED_INPUT_BYTES {
            tracing::warn!(
                event = "body_limit_reduced",
                version = config.version,
                configured = config.limits.max_body_bytes,
                stored_turns = MAX_STORED_INPUT_BYTES,
                remedy = "lower max_body_bytes; larger inputs of stored turns are refused"
            );
        }
        self.config.store(Some(Arc::new(config)));
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Response<Body>, RefusedRequest> {
        let meta = self.dialect.meta(request.headers());
        let read = self.read_call(request, meta.clone(), arrived);
        let read = self.give_up.run_until_cancelled(read).await;
        let call = match read.unwrap_or(Err(Refusal::Stopping)) {
            Ok(call) => call,
            Err(refusal) => {
                let expected_wait = match refusal {
                    Refusal::StaleData => self.outage_delay(&meta, arrived),
                    refusal => self.unrouted_wait(refusal, &meta),
                };
                return Err(RefusedRequest {
                    refusal,
                    meta,
                    expected_wait,
                });
            }
        };
        let call = Arc::new(call);
        let refused_call = call.clone();
        let result = async {
            match call.route.kind {
                Kind::Stream => turn::serve(self, call).await,
                Kind::Idempotent | Kind::AtMostOnce => self.serve_buffered(call).await,
            }
        };
        let result = self.give_up.run_until_cancelled(result).await;
        let result = result.unwrap_or(Err(Refusal::TimedOut));
        if let Err(refusal) = &result
            && refusal.is_unexecuted()
        {
            self.refund(&refused_call, *refusal);
        }
        result.map_err(|refusal| RefusedRequest {
            refusal,
            meta,
            expected_wait: match refusal {
                Refusal::Throttled | Refusal::NoKeepers => {
                    self.throttle.retry_after(Instant::now())
                }
                Refusal::AllowanceExceeded => self.refused_wait(&refused_call),
                Refusal::ServiceFull(wait) => wait,
                _ => self.estimate_slot_wait(&refused_call),
            },
        })
    }

    async fn serve_buffered(self: &Arc<Self>, call: Arc<Call>) -> Result<Response<Body>, Refusal> {
        self.check_allowance(&call).await?;
        let response = plain::serve(self, call.clone());
        let result = tokio::time::timeout_at(call.deadline, response).await;
        result.unwrap_or(Err(Refusal::TimedOut))
    }

    /// Estimates the time until a server of the call's service has a free slot.
    fn estimate_slot_wait(&self, call: &Call) -> Duration {
        let is_engine = call.engine().is_some();
        self.fleet
            .expected_wait(&call.service, is_engine, Instant::now())
    }

    /// Returns the active configuration. After a start, waits until the first configuration
    /// and the first backend servers are known, for at most `INITIAL_CONFIG_TIMEOUT`; then
    /// returns the configuration without servers, or `None` if there is none.
    pub async fn wait_for_config(&self, now: Instant) -> Option<Arc<Config>> {
        let mut changed = self.mirror.subscribe();
        let deadline = now + INITIAL_CONFIG_TIMEOUT;
        loop {
            let config = self.config.load_full();
            if config.is_some() && self.fleet.has_servers() {
                return config;
            }
            let change = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(change, Ok(Ok(()))) {
                return config;
            }
            // The task that refreshes on each change may not have run yet.
            self.refresh();
        }
    }

    /// Waits for recent data if the process has just started or was paused just before, for a limited
    /// time. The configuration may have changed meanwhile, and others know it.
    async fn catch_up(&self, now: Instant) {
        let Some(until) = self.pauses.catches_up_until(now) else {
            return;
        };
        let mut regained = self.mirror.subscribe_regained();
        let is_recent = |age: Option<Duration>| age.is_some_and(|a| a <= self.propagation_limit);
        while !is_recent(self.data_age_upper_bound(Instant::now())) {
            if tokio::time::timeout_at(until, regained.changed())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns the account that the request's key belongs to, or `None` where no key is
    /// needed. `age` is the age of the local data.
    fn authenticate(
        &self,
        config: &Config,
        route: &Route,
        meta: &Meta,
        age: Option<Duration>,
    ) -> Result<Option<Arc<Account>>, Refusal> {
        let Some(accounts) = &config.accounts else {
            return Ok(None);
        };
        match meta.key.and_then(|key| accounts.find(key)) {
            Some(account) if self.can_use_keys(age) => Ok(Some(account.clone())),
            Some(_) => Err(Refusal::StaleData),
            None if route.public => Ok(None),
            None => Err(self.deny(Refusal::Unauthorized, age)),
        }
    }

    /// Routes and authenticates a request, reads its body and charges it to its account.
    async fn read_call(
        &self,
        request: Request<Incoming>,
        meta: Meta,
        arrived: Instant,
    ) -> Result<Call, Refusal> {
        let config = self
            .wait_for_config(arrived)
            .await
            .ok_or(Refusal::NoConfig)?;
        self.crashes.wait_until_synced(arrived).await;
        self.catch_up(arrived).await;
        // Read before the configuration, so that the age is never understated.
        let age = self.data_age_upper_bound(arrived);
        let config = self.load_latest_config().unwrap_or(config);
        let (head, incoming) = request.into_parts();
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
        let route = config.route(host, head.uri.path());
        let route: Arc<Route> = route
            .ok_or_else(|| self.deny(Refusal::NoRoute, age))?
            .clone();
        let account = self.authenticate(&config, &route, &meta, age)?;
        let id = meta.request_id.clone().ok_or(Refusal::Malformed)?;
        let timeout = meta.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
        let deadline = arrived + timeout;
        let body_timeout = timeout.min(config.limits.idle_timeout);
        let lease = self.memory.lease();
        let incoming = Metered::new(incoming, &lease);
        let body = body::collect(incoming, max_body_bytes(&config, &route), body_timeout);
        let body = tokio::select! {
            body = body => body,
            () = lease.evicted() => return Err(Refusal::NoMemory),
        };
        let body = body.map_err(|problem| {
            tracing::info!(event = "body_not_read", request = %id, problem = %problem.message);
            match problem.kind {
                _ if lease.is_evicted() => Refusal::NoMemory,
                gradedyke_base::problem::Kind::TooLarge => self.deny(Refusal::TooLarge, age),
                _ => Refusal::Malformed,
            }
        })?;
        lease.pin();
        let affinity_id = meta.session.as_ref().or(meta.program.as_ref());
        let service = route
            .choose_service(affinity_id)
            .ok_or(Refusal::NoServer)?
            .to_owned();
        let charge = self.charge_request(account.as_deref(), &route, &meta, arrived)?;
        let allowed_regions = Call::allowed_regions(&route, account.as_deref());
        Ok(Call {
            id,
            provenance: self.provenance(Some(&config), age),
            config,
            route,
            allowed_regions,
            service,
            account,
            charge,
            meta,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            _body_memory: Arc::new(lease),
            arrived,
            deadline,
        })
    }

    /// Returns `refusal` for a request that the configuration forbids, or the retryable
    /// [`Refusal::StaleData`] if the local data with this `age` may be outdated.
    fn deny(&self, refusal: Refusal, age: Option<Duration>) -> Refusal {
        if age.is_some_and(|age| age <= self.propagation_limit) {
            return refusal;
        }
        Refusal::StaleData
    }
}
