//! Starts, drains and stops a process, either an entry or a keeper.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use eyre::{WrapErr, eyre};
use gradedyke_http::Server;
use gradedyke_http::server::{Config, Protocol};
use gradedyke_platform::kv::KeyValue;
use gradedyke_policy::placement;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::detour::Forwarder;
use gradedyke_turns::membership::{self, Membership};
use gradedyke_turns::mirror::{self, Mirror};
use gradedyke_turns::quorum::Coordinator;
use gradedyke_turns::replica::{self, Replica};
use gradedyke_turns::{crash, feed, log, snapshot};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::entry::crash::Monitor;
use crate::entry::stop::Stop;
use crate::entry::{self, CallerHandler, Entry, ReadinessHandler, pause};
use crate::fleet::Fleet;
use crate::memory::Pool;
use crate::settings::Settings;
use crate::{follow, meter};
use gradedyke_policy::admission::Admission;
use gradedyke_policy::allowance::Limiter;
use gradedyke_policy::demand::Demand;
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::outage::History;
use gradedyke_policy::progress::Progress;
use gradedyke_policy::throttle::Throttle;

/// External dependencies of a process.
#[derive(Clone)]
pub struct Environment {
    /// Decodes and encodes the formats of callers, backend servers and the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's key-value store.
    pub kv: Arc<dyn KeyValue>,
}

/// Time without a mirror change after which an entry probes unreachable keepers and removes
/// expired servers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Time until the load balancer notices that an entry is draining. It checks every second and
/// needs two failed checks in a row.
const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is reserved for the shutdown itself.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Part of the grace period before the shutdown in which requests that are still in progress get
/// their final responses.
const FINAL_RESPONSE_RESERVE: Duration = Duration::from_millis(150);
/// Maximum number of caller connections. Three quarters of 4,100 descriptors, where each caller
/// takes up to one more towards a server.
const MAX_CALLER_CONNECTIONS: usize = 1_500;
/// Time from the start of the last request after which a caller connection is closed. Twice the
/// usual idle timeout of 15 s, because it counts from the start of the last request.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a caller may leave sent data unacknowledged before its connection is closed. Longer
/// than callers wait for a response.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// A running process. Dropping it aborts its tasks.
pub struct Process {
    stop: CancellationToken,
    tasks: JoinSet<()>,
    entry: Option<Arc<Entry>>,
    settings: Arc<ArcSwap<Settings>>,
    addresses: Addresses,
    /// Cancelled when all callers' connections have ended after the stop.
    callers_served: CancellationToken,
}

/// Addresses that a process listens on, with the actual ports where port 0 was configured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// For callers.
    pub caller: Option<SocketAddr>,
    /// For readiness checks of the platform.
    pub ready: Option<SocketAddr>,
    /// For other processes.
    pub peer: Option<SocketAddr>,
}

fn require<T>(value: Option<T>, what: &str) -> eyre::Result<T> {
    value.ok_or_else(|| eyre!("{what} is not set; this role requires it, add it to the settings"))
}

/// How long a keeper waits for other keepers to join first. Without seeds it knows of no
/// others and does not wait.
fn join_delay(settings: &Settings) -> Duration {
    if settings.seeds.is_empty() {
        return Duration::ZERO;
    }
    membership::draw_join_delay(settings.first_start)
}

/// Creates the empty copy of the platform's key-value store.
fn new_mirror(dialect: &dyn Dialect) -> Arc<Mirror> {
    Mirror::with_traced_key(&dialect.prefixes(), Some(dialect.config_key()))
}

/// Returns the pacing of the calls to the platform's store.
fn watch_pacing(settings: &Settings) -> Option<mirror::Pacing> {
    let mechanisms = Mechanisms::all_except(&settings.decisions.off);
    let applies = settings.revocation().is_some() && mechanisms.is_enabled(Mechanism::OutageRetry);
    applies.then_some(follow::CONFIRMED_KEYS_PACING)
}

impl Process {
    fn new(settings: Settings, entry: Option<Arc<Entry>>, stop: CancellationToken) -> Self {
        let mut tasks = JoinSet::new();
        meter::install();
        if let Some(address) = settings.listen.metrics {
            tasks.spawn(meter::serve(address, stop.clone()));
        }
        Self {
            stop,
            tasks,
            entry,
            settings: Arc::new(ArcSwap::from_pointee(settings)),
            addresses: Addresses::default(),
            callers_served: CancellationToken::new(),
        }
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if a required setting is missing, the placement policy does not exist, or a
    /// listener cannot be bound.
    pub async fn start_entry(settings: Settings, environment: Environment) -> eyre::Result<Self> {
        let caller = require(settings.listen.caller, "listen.caller")?;
        let ready = require(settings.listen.ready, "listen.ready")?;
        let mirror = new_mirror(&*environment.dialect);
        let peer_listener = match settings.listen.peer {
            Some(address) => {
                let listener = TcpListener::bind(address).await;
                Some(listener.wrap_err_with(|| {
                    format!("cannot listen on {address}; free it or change listen.peer")
                })?)
            }
            None => None,
        };
        let own_address = peer_listener
            .as_ref()
            .map(TcpListener::local_addr)
            .transpose()?;
        let coordinator = Coordinator::new(mirror.clone(), &settings.data_centre, own_address);
        let decisions = settings.decisions.clone();
        let mechanisms = Mechanisms::all_except(&decisions.off);
        let propagation_limit = settings.propagation_limit();
        let policy = placement::policies(mechanisms).remove(decisions.placement.as_str());
        let policy = policy.ok_or_else(|| {
            eyre!(
                "no placement policy named {}; change decisions.placement",
                decisions.placement
            )
        })?;
        tracing::info!(event = "deciding", placement = decisions.placement,
            off = ?decisions.off);
        let crashes = Monitor::new(coordinator.clone(), Instant::now());
        let entry = Arc::new(Entry {
            dialect: environment.dialect.clone(),
            mirror: mirror.clone(),
            config: ArcSwapOption::empty(),
            fleet: Fleet::new(settings.topology(), own_address, policy, mechanisms),
            quorum: coordinator.clone(),
            limiter: Limiter::new(rand::random(), settings.allowance_window(), Instant::now()),
            demand: Demand::default(),
            throttle: Throttle::default(),
            memory: Pool::new(settings.body_memory()),
            crashes,
            outages: History::default(),
            admission: Admission::default(),
            progress: Progress::default(),
            mechanisms,
            drain: CancellationToken::new(),
            stop: OnceLock::new(),
            give_up: CancellationToken::new(),
            pauses: pause::Monitor::new(Instant::now()),
            config_revision: Mutex::default(),
            propagation_limit,
            max_key_age: settings
                .revocation()
                .map(|revocation| entry::max_key_age(revocation, mechanisms)),
            mirror_cursor: Mutex::new(0),
            active_requests: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let mut process = Self::new(settings, Some(entry.clone()), stop.clone());
        let sources = follow_sources(process.settings.clone(), coordinator.clone());
        let tasks = &mut process.tasks;
        tasks.spawn(crash::follow(
            coordinator.crashes().clone(),
            coordinator.clone(),
            crash_sources(coordinator.clone()),
            stop.clone(),
        ));
        let follower = follow::EntryFollower {
            mirror,
            peers: coordinator,
            propagation_limit,
            pacing: watch_pacing(&process.settings.load()),
        };
        follower.start(tasks, &environment.kv, sources, Instant::now(), &stop);
        tasks.spawn(refresh(entry.clone(), stop.clone()));
        if let Some(listener) = peer_listener {
            let forwarder = Arc::new(Forwarder::new(entry.quorum.clone()));
            tasks.spawn(gradedyke_peer::server::serve(
                listener,
                forwarder,
                stop.clone(),
            ));
        }
        let config = Config {
            protocol: Protocol::Http1,
            max_connections: MAX_CALLER_CONNECTIONS,
            idle_timeout: Some(CALLER_IDLE_TIMEOUT),
            unread_timeout: Some(CALLER_ACK_TIMEOUT),
            ..Config::default()
        };
        let caller_server = bind(caller, config.clone(), "listen.caller").await?;
        process.addresses.caller = Some(caller_server.address()?);
        let serve = caller_server.serve(Arc::new(CallerHandler(entry.clone())), stop.clone());
        let callers_served = process.callers_served.clone();
        tasks.spawn(async move {
            serve.await;
            callers_served.cancel();
        });
        let ready_server = bind(ready, config, "listen.ready").await?;
        process.addresses.ready = Some(ready_server.address()?);
        tasks.spawn(ready_server.serve(Arc::new(ReadinessHandler(entry)), stop));
        process.log_started("entry");
        Ok(process)
    }

    /// Starts a keeper.
    ///
    /// # Errors
    ///
    /// Fails if a required setting is missing, the data folder cannot be used, or a listener
    /// cannot be bound.
    pub async fn start_keeper(settings: Settings, environment: Environment) -> eyre::Result<Self> {
        let peer = require(settings.listen.peer, "listen.peer")?;
        let folder = require(settings.data_folder.clone(), "data_folder")?;
        let stop = CancellationToken::new();
        let mirror = new_mirror(&*environment.dialect);
        let listener = TcpListener::bind(peer).await;
        let listener = listener
            .wrap_err_with(|| format!("cannot listen on {peer}; free it or change listen.peer"))?;
        let peer = settings
            .listen
            .peer_public
            .unwrap_or(listener.local_addr()?);
        tracing::info!(
            event = "starting",
            role = "keeper",
            instance = settings.name
        );
        let config = membership::Config {
            name: settings.name.clone(),
            address: peer,
            data_centre: settings.data_centre.clone(),
            data_centres: settings.data_centres.clone(),
            first_start: settings.first_start,
            tolerated_losses: settings.tolerate,
            join_delay: join_delay(&settings),
        };
        let seeds = settings.seeds.clone();
        let propagation_limit = settings.propagation_limit();
        let mut process = Self::new(settings, None, stop.clone());
        process.addresses.peer = Some(peer);
        let (replica_sender, replica) = watch::channel(None);
        let handler = Arc::new(Dispatcher::new(mirror.clone(), replica));
        let tasks = &mut process.tasks;
        snapshot::load_crashes(handler.crashes(), &folder, Instant::now());
        tasks.spawn(snapshot::save_crashes_on_change(
            handler.crashes().clone(),
            folder.clone(),
            stop.clone(),
        ));
        tasks.spawn(gradedyke_peer::server::serve(
            listener,
            handler,
            stop.clone(),
        ));
        snapshot::load_mirror(&mirror, &folder, Instant::now());
        tasks.spawn(snapshot::save_mirror_on_change(
            mirror.clone(),
            folder.clone(),
            stop.clone(),
        ));
        // Entries can read the mirror from this keeper while it still opens its disk.
        let disk = replica::load_or_create_disk_id(&folder)?;
        let policy = feed::Policy::new(Instant::now(), feed::KEEPER_START_GRACE, propagation_limit);
        let follower = follow::KeeperFollower {
            own_address: peer,
            disk,
            seeds,
            mirror: mirror.clone(),
            coordinator: Coordinator::new(mirror.clone(), &config.data_centre, None),
            policy: Arc::new(policy),
            standby: feed::Standby::default(),
            pacing: watch_pacing(&process.settings.load()),
        };
        follower.start(tasks, &environment.kv, &stop);
        let (replica_mirror, replica_stop, replica_folder) =
            (mirror.clone(), stop.clone(), folder.clone());
        let open = move || {
            let replica = Replica::open(&replica_folder, replica_mirror, replica_stop)?;
            snapshot::load_usage(&replica, &replica_folder, Instant::now());
            Ok::<_, log::Error>(replica)
        };
        let replica = tokio::task::spawn_blocking(open).await??;
        replica_sender.send_replace(Some(replica.clone()));
        let membership =
            Membership::new(config, replica.clone(), environment.kv, environment.dialect);
        tasks.spawn(snapshot::save_usage_periodically(
            replica.clone(),
            folder,
            stop.clone(),
        ));
        tasks.spawn(membership.run(stop));
        tasks.spawn(replica.clone().recover());
        tasks.spawn(replica.run_expiry());
        process.log_started("keeper");
        Ok(process)
    }

    fn log_started(&self, role: &str) {
        let settings = self.settings.load();
        tracing::info!(event = "started", role, instance = settings.name,
            data_centre = settings.data_centre, platform = %settings.platform,
            seeds = settings.seeds.len(), first_start = settings.first_start);
    }

    /// The addresses that the process listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The entry; `None` if the process is a keeper.
    pub fn entry(&self) -> Option<&Arc<Entry>> {
        self.entry.as_ref()
    }

    /// Stops without draining, as if the process were killed: all connections are closed at
    /// once.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.stop.cancel();
    }

    /// Applies changed settings as far as they are read at run time, such as the seeds.
    /// Listeners and other settings used at the start change only with a restart.
    pub fn reload(&self, settings: Settings) {
        let seeds = settings.seeds.len();
        tracing::info!(event = "reloaded", instance = settings.name, seeds);
        self.settings.store(Arc::new(settings));
    }

    /// Waits until the process stops itself after a failure.
    pub async fn wait_for_failure(&self) {
        self.stop.cancelled().await;
    }

    /// Shuts down gracefully: fails readiness checks so that the load balancer sends callers
    /// elsewhere, and finishes requests in progress, within the grace period.
    pub async fn drain(mut self) {
        let started_at = Instant::now();
        let grace = self.settings.load().grace();
        let deadline = started_at + grace.saturating_sub(SHUTDOWN_RESERVE);
        tracing::info!(event = "draining", grace_ms = grace.as_millis());
        if let Some(entry) = self.entry.clone() {
            let stop = Stop {
                closes_at: deadline.min(started_at + BALANCER_NOTICE_DELAY),
                ends_at: deadline
                    .checked_sub(FINAL_RESPONSE_RESERVE)
                    .unwrap_or(deadline),
            };
            // Set once: a process is drained once.
            entry.stop.get_or_init(|| stop);
            entry.drain.cancel();
            tokio::time::sleep_until(stop.closes_at).await;
            // Stops accepting connections and closes idle ones. A connection that is reading a
            // request has no request in progress yet, and is waited for as well.
            self.stop.cancel();
            let served = self.callers_served.cancelled();
            let mut is_served = tokio::time::timeout_at(stop.ends_at, served).await.is_ok();
            if !is_served {
                entry.give_up.cancel();
                let served = self.callers_served.cancelled();
                is_served = tokio::time::timeout_at(deadline, served).await.is_ok();
            }
            let left = entry.active_requests.load(Ordering::Relaxed);
            tracing::info!(
                event = "stopped",
                ms = started_at.elapsed().as_millis(),
                is_served,
                left
            );
        } else {
            self.stop.cancel();
            tracing::info!(event = "stopped", ms = started_at.elapsed().as_millis());
        }
        self.tasks.shutdown().await;
    }
}

async fn bind(address: SocketAddr, config: Config, setting: &str) -> eyre::Result<Server> {
    let server = Server::bind(address, config).await;
    server.wrap_err_with(|| format!("cannot listen on {address}; free it or change {setting}"))
}

/// The keepers from which an entry updates its mirror: the members of the view, the nearest
/// first, then the configured seeds.
fn follow_sources(
    settings: Arc<ArcSwap<Settings>>,
    coordinator: Arc<Coordinator>,
) -> impl Fn() -> Vec<SocketAddr> {
    move || {
        let mut sources = coordinator.addresses_by_distance();
        let settings = settings.load();
        let seeds = settings.seeds.iter().copied();
        let others: Vec<_> = seeds.filter(|s| !sources.contains(s)).collect();
        sources.extend(others);
        sources
    }
}

/// The processes whose reports of ended servers an entry follows: the members of the view and, if
/// none of them can be reached, other entries.
fn crash_sources(coordinator: Arc<Coordinator>) -> impl Fn() -> Vec<SocketAddr> {
    move || {
        let mut sources = coordinator.addresses_by_distance();
        if coordinator.is_isolated() {
            let own = coordinator.forwarding_address();
            let neighbours = coordinator.mirror().neighbours();
            sources.extend(neighbours.into_iter().filter(|n| Some(*n) != own));
        }
        sources
    }
}

/// Applies changes of the mirror to the configuration and the fleet until `stop`.
async fn refresh(entry: Arc<Entry>, stop: CancellationToken) {
    let mut changed = entry.mirror.subscribe();
    loop {
        tokio::select! {
            _ = changed.changed() => entry.refresh(),
            () = tokio::time::sleep(REFRESH_INTERVAL) => entry.quorum.probe_unreachable(),
            () = stop.cancelled() => return,
        }
        let now = Instant::now();
        entry.pauses.record(now);
        entry.record_gauges(now);
        entry.record_outage();
        entry.crashes.record_gauges(now);
        entry
            .fleet
            .remove_expired(entry.mirror.service_available_since(), now);
    }
}
