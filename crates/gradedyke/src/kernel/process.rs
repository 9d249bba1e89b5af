//! One process: started, ready, drained or stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use gradedyke_base::settings::instance::{Instance, Role};
use gradedyke_http::server::{Config, Protocol};
use gradedyke_http::{Handler, Server};
use gradedyke_journal::Journal;
use gradedyke_platform::etcd::{self, Etcd};
use gradedyke_platform::instances::{Consul, Instances};
use gradedyke_platform::kv::KeyValue;
use jsonrpsee::server::stop_channel;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::keepers::Keepers;
use super::peers::Peers;
use super::{Drain, Kernel, Mounts, metering, plugins};
use crate::admin;
use crate::membership::{Member, Members};

/// Longest time for a call to the platform.
const PLATFORM: Duration = Duration::from_secs(2);
/// How often it is looked whether the process is ready.
const READY: Duration = Duration::from_millis(20);

/// Where a process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub caller: Option<SocketAddr>,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators, health and metrics.
    pub admin: SocketAddr,
}

/// A running process of the system. It may share an operating system process
/// with others, as in the demo.
pub struct Process {
    kernel: Arc<Kernel>,
    addresses: Addresses,
    drains: Vec<Drain>,
    /// Stops the listener for callers.
    callers: CancellationToken,
    caller_task: JoinSet<()>,
    tasks: JoinSet<()>,
    // Dropping it would stop the JSON-RPC service.
    _rpc: jsonrpsee::server::ServerHandle,
}

struct Listeners {
    caller: Option<Server>,
    peer: Server,
    admin: Server,
}

impl Listeners {
    async fn bind(settings: &Instance) -> eyre::Result<Self> {
        let limits = &settings.limits;
        let strangers = Config {
            protocol: Protocol::Http1,
            head: Duration::from_millis(limits.head_ms),
            connections: limits.connections,
            ..Config::default()
        };
        let peers = Config {
            protocol: Protocol::Both,
            ..Config::default()
        };
        let bind = |address: SocketAddr, config: Config| async move {
            let bound = Server::bind(address, config).await;
            bound.wrap_err_with(|| format!("cannot listen on {address}; free it or change listen"))
        };
        let caller = match settings.listen.caller {
            Some(address) if settings.runs(Role::Entry) => {
                Some(bind(address, strangers.clone()).await?)
            }
            _ => None,
        };
        Ok(Self {
            caller,
            peer: bind(settings.listen.peer, peers).await?,
            admin: bind(settings.listen.admin, strangers).await?,
        })
    }

    fn addresses(&self) -> eyre::Result<Addresses> {
        let caller = self.caller.as_ref().map(Server::address).transpose()?;
        Ok(Addresses {
            caller,
            peer: self.peer.address()?,
            admin: self.admin.address()?,
        })
    }
}

fn member(settings: &Instance, addresses: &Addresses) -> Member {
    Member {
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        roles: settings.roles.iter().copied().collect(),
        peer: addresses.peer,
        admin: addresses.admin,
        caller: addresses.caller,
        disk: settings.data_folder.is_some(),
        store: None,
        draining: false,
    }
}

impl Process {
    /// Starts a process with the platform at the addresses in its settings.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or a role cannot start.
    pub async fn start(settings: Instance) -> eyre::Result<Self> {
        let kv = Etcd::new(etcd::Config {
            addresses: settings.platform.key_value.clone(),
            time: PLATFORM,
        });
        let list = settings.platform.instances;
        let list = list.map(|a| Arc::new(Consul::new(a, PLATFORM)) as Arc<dyn Instances>);
        Self::start_over(settings, Arc::new(kv), list).await
    }

    /// Starts a process over a given platform.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or a role cannot start.
    pub async fn start_over(
        settings: Instance,
        kv: Arc<dyn KeyValue>,
        instances: Option<Arc<dyn Instances>>,
    ) -> eyre::Result<Self> {
        metering::install();
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let stop = CancellationToken::new();
        let members = Members::new(member(&settings, &addresses));
        let keepers = Arc::new(Keepers::new(members.clone()));
        let kernel = Arc::new(Kernel {
            journal: Journal::new(keepers.clone(), stop.clone()),
            settings,
            kv,
            instances,
            members,
            map: Arc::default(),
            current: Arc::default(),
            keepers,
            drain: CancellationToken::new(),
            stop,
        });
        let mut mounts = Mounts::default();
        for plugin in plugins(&kernel.settings) {
            (plugin.mount)(&kernel, &mut mounts)
                .wrap_err_with(|| format!("role {} cannot start", plugin.role.name()))?;
        }
        let mut process = Self::serve(kernel, listeners, addresses, mounts);
        process.follow();
        tracing::info!(event = "started", instance = %process.kernel.settings.id,
            peer = %addresses.peer, admin = %addresses.admin,
            caller = addresses.caller.map(tracing::field::display));
        Ok(process)
    }

    fn serve(
        kernel: Arc<Kernel>,
        listeners: Listeners,
        addresses: Addresses,
        mounts: Mounts,
    ) -> Self {
        let (stop_handle, rpc) = stop_channel();
        let id = kernel.settings.id.clone();
        let peers = Arc::new(Peers::new(id, mounts.calls, mounts.methods, stop_handle));
        let mut tasks = JoinSet::new();
        tasks.spawn(listeners.peer.serve(peers, kernel.stop.clone()));
        let pages = Arc::new(admin::Pages::new(kernel.clone(), mounts.operators));
        tasks.spawn(listeners.admin.serve(pages, kernel.stop.clone()));
        let callers = kernel.stop.child_token();
        let mut caller_task = JoinSet::new();
        if let (Some(listener), Some(handler)) = (listeners.caller, mounts.callers) {
            let handler: Arc<dyn Handler> = handler;
            caller_task.spawn(listener.serve(handler, callers.clone()));
        }
        Self {
            kernel,
            addresses,
            drains: mounts.drains,
            callers,
            caller_task,
            tasks,
            _rpc: rpc,
        }
    }

    /// Starts to follow settings, members and map, and to register.
    fn follow(&mut self) {
        let kernel = self.kernel.clone();
        let Kernel {
            kv,
            members,
            map,
            current,
            stop,
            settings,
            ..
        } = &*kernel;
        let lease = Duration::from_millis(settings.lease_ms);
        let tasks = &mut self.tasks;
        tasks.spawn(current.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(map.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(members.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(members.clone().register(kv.clone(), lease, stop.clone()));
    }

    /// Where the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// What the roles share.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Waits until callers may be sent here.
    pub async fn ready(&self) {
        while !self.kernel.ready() {
            tokio::time::sleep(READY).await;
        }
    }

    /// Stops as planned: tells everybody, waits until the balancer has noticed,
    /// finishes every stream, hands the slots over, and then stops. Tells
    /// whether all that was done within the time for it.
    pub async fn drain(mut self) -> bool {
        let limits = &self.kernel.settings.limits;
        let limit = Duration::from_millis(limits.drain_ms);
        let leave = Duration::from_millis(limits.leave_ms);
        tracing::info!(event = "draining", instance = %self.kernel.settings.id);
        self.kernel.drain.cancel();
        self.kernel.members.drain();
        let draining = async {
            tokio::time::sleep(leave).await;
            self.callers.cancel();
            while self.caller_task.join_next().await.is_some() {}
            tracing::info!(event = "callers_gone", instance = %self.kernel.settings.id);
            for drain in &self.drains {
                drain().await;
            }
        };
        let whole = tokio::time::timeout(limit, draining).await.is_ok();
        tracing::info!(event = "drained", instance = %self.kernel.settings.id, whole);
        self.stop().await;
        whole
    }

    /// Stops at once, cutting what is in progress.
    pub async fn stop(mut self) {
        self.kernel.stop.cancel();
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        // Connections of peers that are kept open do not end by themselves.
        let _ = tokio::time::timeout(PLATFORM, ended).await;
    }

    /// Ends as a killed process does: every connection is cut, nothing is
    /// handed over, and the registration stays until its lease lapses.
    pub async fn kill(mut self) {
        self.caller_task.shutdown().await;
        self.tasks.shutdown().await;
        self.kernel.stop.cancel();
    }
}
