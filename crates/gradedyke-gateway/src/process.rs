//! A process from its start to its stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use eyre::{WrapErr, eyre};
use gradedyke_http::Server;
use gradedyke_http::server::{Config, Protocol};
use gradedyke_platform::kv::KeyValue;
use gradedyke_turns::desk::Desk;
use gradedyke_turns::detour::Forwarder;
use gradedyke_turns::membership::{self, Membership};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::quorum::Quorum;
use gradedyke_turns::replica::{self, Replica};
use gradedyke_turns::{feed, log, snapshot};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::allowance::Register;
use crate::demand::Demand;
use crate::dialect::Dialect;
use crate::entry::{self, Door, Entry, Readiness};
use crate::fleet::Fleet;
use crate::mechanism::Enabled;
use crate::settings::Settings;
use crate::throttle::Throttle;
use crate::{meter, news, placement};

/// What surrounds a process.
#[derive(Clone)]
pub struct World {
    /// How the outside spells things.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's key-value service.
    pub kv: Arc<dyn KeyValue>,
}

/// How often an entry looks at servers that vanished.
const LOOK: Duration = Duration::from_millis(250);
/// Time in which the balancer notices that an entry leaves: it asks every
/// second, and two answers in a row must say so.
const LEAVE: Duration = Duration::from_millis(2_300);
/// Time that is left before the end of the grace, for the end itself.
const RESERVE: Duration = Duration::from_millis(400);
/// How often it is looked whether all requests have ended.
const IDLE: Duration = Duration::from_millis(25);
/// Connections of callers at a time: three quarters of 4,100 descriptors, each
/// caller taking up to one more towards a server.
const CONNECTIONS: usize = 1_500;
/// Rest after which a caller's connection is closed: twice the 15 s that callers are
/// usually let rest, because it counts from the start of the last request.
const REST: Duration = Duration::from_secs(30);

/// Longest time for which a caller may leave an answer unread: longer than callers wait for
/// one.
const UNREAD: Duration = Duration::from_secs(10);

/// A running process. Its tasks end with it.
pub struct Process {
    stop: CancellationToken,
    tasks: JoinSet<()>,
    entry: Option<Arc<Entry>>,
    settings: Arc<ArcSwap<Settings>>,
    addresses: Addresses,
}

/// Where a process listens, with the ports that were given for port 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Addresses {
    /// For callers.
    pub caller: Option<SocketAddr>,
    /// For the question whether callers may come.
    pub ready: Option<SocketAddr>,
    /// For other processes.
    pub peer: Option<SocketAddr>,
}

fn required<T>(value: Option<T>, what: &str) -> eyre::Result<T> {
    value.ok_or_else(|| eyre!("{what} is not set; add it to the settings of this role"))
}

/// How long a keeper lets others go first; one without seeds knows of no others.
fn turn(settings: &Settings) -> Duration {
    if settings.seeds.is_empty() {
        return Duration::ZERO;
    }
    membership::turn(settings.first_start)
}

fn prefixes(dialect: &dyn Dialect) -> Vec<&str> {
    dialect.prefixes()
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
        }
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// A setting of the role is missing, or a listener cannot be bound.
    pub async fn entry(settings: Settings, world: World) -> eyre::Result<Self> {
        let caller = required(settings.listen.caller, "listen.caller")?;
        let ready = required(settings.listen.ready, "listen.ready")?;
        let mirror = Mirror::new(&prefixes(&*world.dialect));
        let forwards = match settings.listen.peer {
            Some(address) => {
                let listener = TcpListener::bind(address).await;
                Some(listener.wrap_err_with(|| {
                    format!("cannot listen on {address}; free it or change listen.peer")
                })?)
            }
            None => None,
        };
        let own = forwards.as_ref().map(TcpListener::local_addr).transpose()?;
        let quorum = Quorum::new(mirror.clone(), &settings.data_centre, own);
        let decisions = settings.decisions.clone();
        let enabled = Enabled::without(&decisions.off);
        let in_force = settings.in_force();
        let policy = placement::policies(enabled).remove(decisions.placement.as_str());
        let policy = policy
            .ok_or_else(|| eyre!("no policy {}; see decisions.placement", decisions.placement))?;
        tracing::info!(event = "deciding", placement = decisions.placement,
            off = ?decisions.off);
        let entry = Arc::new(Entry {
            dialect: world.dialect.clone(),
            mirror: mirror.clone(),
            config: ArcSwapOption::empty(),
            fleet: Fleet::new(settings.location(), own, policy, enabled),
            quorum: quorum.clone(),
            register: Register::new(rand::random(), settings.allowance_window(), Instant::now()),
            demand: Demand::default(),
            throttle: Throttle::default(),
            enabled,
            drain: CancellationToken::new(),
            configured: Mutex::default(),
            in_force,
            confirmation: settings.revocation().map(entry::confirmation),
            applied: Mutex::new(0),
            active: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let mut process = Self::new(settings, Some(entry.clone()), stop.clone());
        let sources = sources(process.settings.clone(), quorum.clone());
        let tasks = &mut process.tasks;
        let news = news::Entry {
            mirror,
            peers: quorum,
            in_force,
        };
        news.start(tasks, &world.kv, sources, Instant::now(), &stop);
        tasks.spawn(refresh(entry.clone(), stop.clone()));
        if let Some(listener) = forwards {
            let forwarder = Arc::new(Forwarder::new(entry.quorum.clone()));
            tasks.spawn(gradedyke_peer::server::serve(
                listener,
                forwarder,
                stop.clone(),
            ));
        }
        let config = Config {
            protocol: Protocol::Http1,
            connections: CONNECTIONS,
            idle: Some(REST),
            unread: Some(UNREAD),
            ..Config::default()
        };
        let door = bind(caller, config.clone(), "listen.caller").await?;
        process.addresses.caller = Some(door.address()?);
        tasks.spawn(door.serve(Arc::new(Door(entry.clone())), stop.clone()));
        let question = bind(ready, config, "listen.ready").await?;
        process.addresses.ready = Some(question.address()?);
        tasks.spawn(question.serve(Arc::new(Readiness(entry)), stop));
        process.started("entry");
        Ok(process)
    }

    /// Starts a keeper.
    ///
    /// # Errors
    ///
    /// A setting of the role is missing, the data folder cannot be used, or a
    /// listener cannot be bound.
    pub async fn keeper(settings: Settings, world: World) -> eyre::Result<Self> {
        let peer = required(settings.listen.peer, "listen.peer")?;
        let folder = required(settings.data_folder.clone(), "data_folder")?;
        let stop = CancellationToken::new();
        let mirror = Mirror::new(&prefixes(&*world.dialect));
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
            tolerate: settings.tolerate,
            turn: turn(&settings),
        };
        let seeds = settings.seeds.clone();
        let in_force = settings.in_force();
        let mut process = Self::new(settings, None, stop.clone());
        process.addresses.peer = Some(peer);
        let (ready, replica) = watch::channel(None);
        let desk = Arc::new(Desk::new(mirror.clone(), replica));
        let tasks = &mut process.tasks;
        tasks.spawn(gradedyke_peer::server::serve(listener, desk, stop.clone()));
        snapshot::load(&mirror, &folder, Instant::now());
        tasks.spawn(snapshot::keep(mirror.clone(), folder.clone(), stop.clone()));
        // What the platform holds is told to entries while the disk is read.
        let disk = replica::identity(&folder)?;
        let reader = feed::Reader::new(Instant::now(), feed::KEEPER_START, in_force);
        let keeper = news::Keeper {
            own: peer,
            disk,
            seeds,
            mirror: mirror.clone(),
            quorum: Quorum::new(mirror.clone(), &config.data_centre, None),
            reader: Arc::new(reader),
            standby: feed::Standby::default(),
        };
        keeper.start(tasks, &world.kv, &stop);
        let (opened, halt, at) = (mirror.clone(), stop.clone(), folder.clone());
        let open = move || {
            let replica = Replica::open(&at, opened, halt)?;
            snapshot::load_usage(&replica, &at, Instant::now());
            Ok::<_, log::Error>(replica)
        };
        let replica = tokio::task::spawn_blocking(open).await??;
        ready.send_replace(Some(replica.clone()));
        let membership = Membership::new(config, replica.clone(), world.kv, world.dialect);
        tasks.spawn(snapshot::keep_usage(replica.clone(), folder, stop.clone()));
        tasks.spawn(membership.run(stop));
        tasks.spawn(replica.clone().recover());
        tasks.spawn(replica.expire());
        process.started("keeper");
        Ok(process)
    }

    fn started(&self, role: &str) {
        let settings = self.settings.load();
        tracing::info!(event = "started", role, instance = settings.name,
            data_centre = settings.data_centre, platform = %settings.platform,
            seeds = settings.seeds.len(), first_start = settings.first_start);
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The entry, if the process runs one.
    pub fn gateway(&self) -> Option<&Arc<Entry>> {
        self.entry.as_ref()
    }

    /// Ends as a killed process does: every connection is cut at once.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.stop.cancel();
    }

    /// Puts changed settings in force: where to find others. What is bound at
    /// the start stays until the next one.
    pub fn reload(&self, settings: Settings) {
        let seeds = settings.seeds.len();
        tracing::info!(event = "reloaded", instance = settings.name, seeds);
        self.settings.store(Arc::new(settings));
    }

    /// Waits until the process gives up by itself.
    pub async fn failed(&self) {
        self.stop.cancelled().await;
    }

    /// Stops as planned: callers are sent elsewhere, requests in progress are
    /// finished, as far as the grace allows.
    pub async fn drain(mut self) {
        let began = Instant::now();
        let grace = self.settings.load().grace();
        let end = began + grace.saturating_sub(RESERVE);
        tracing::info!(event = "draining", grace_ms = grace.as_millis());
        if let Some(entry) = self.entry.clone() {
            entry.drain.cancel();
            tokio::time::sleep_until(end.min(began + LEAVE)).await;
            // Stops taking connections and closes those that rest.
            self.stop.cancel();
            while entry.active.load(Ordering::Relaxed) > 0 && Instant::now() < end {
                tokio::time::sleep(IDLE).await;
            }
            let left = entry.active.load(Ordering::Relaxed);
            tracing::info!(event = "stopped", ms = began.elapsed().as_millis(), left);
        } else {
            self.stop.cancel();
            tracing::info!(event = "stopped", ms = began.elapsed().as_millis());
        }
        self.tasks.shutdown().await;
    }
}

async fn bind(address: SocketAddr, config: Config, setting: &str) -> eyre::Result<Server> {
    let bound = Server::bind(address, config).await;
    bound.wrap_err_with(|| format!("cannot listen on {address}; free it or change {setting}"))
}

/// Where an entry takes news from: keepers of the view, near ones first, then
/// those of the settings.
fn sources(settings: Arc<ArcSwap<Settings>>, quorum: Arc<Quorum>) -> impl Fn() -> Vec<SocketAddr> {
    move || {
        let mut sources = quorum.by_distance();
        let settings = settings.load();
        let seeds = settings.seeds.iter().copied();
        let new: Vec<_> = seeds.filter(|s| !sources.contains(s)).collect();
        sources.extend(new);
        sources
    }
}

/// Brings configuration and fleet in line with the mirror.
async fn refresh(entry: Arc<Entry>, stop: CancellationToken) {
    let mut changed = entry.mirror.watch();
    loop {
        tokio::select! {
            _ = changed.changed() => entry.refresh(),
            () = tokio::time::sleep(LOOK) => entry.quorum.mend(),
            () = stop.cancelled() => return,
        }
        let now = Instant::now();
        entry.gauge(now);
        entry.fleet.expire(entry.mirror.steady(), now);
    }
}
