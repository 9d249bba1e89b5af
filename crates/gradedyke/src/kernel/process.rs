//! The lifecycle of one process: starting, readiness, draining and stopping.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use gradedyke_base::settings::instance::{Instance, Role};
use gradedyke_http::server::{Config, Protocol};
use gradedyke_http::{Handler, Server};
use gradedyke_journal::Journal;
use gradedyke_platform::etcd::{self, Etcd};
use gradedyke_platform::instances::{Consul, List};
use gradedyke_platform::kv::KeyValue;
use jsonrpsee::server::stop_channel;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::keepers::KeeperDirectory;
use super::peers::PeerHandler;
use super::{DrainFn, Kernel, Mounts, enabled_plugins, metering};
use crate::admin;
use crate::membership::{Member, Members};

/// Timeout of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether the process is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses on which a process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers, if the process runs an entry.
    pub caller: Option<SocketAddr>,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators, health and metrics.
    pub admin: SocketAddr,
}

/// A running process of the system. Several may run in one operating system
/// process, as in the demo.
pub struct Process {
    kernel: Arc<Kernel>,
    addresses: Addresses,
    drain_fns: Vec<DrainFn>,
    /// Stops the listener for callers.
    caller_stop: CancellationToken,
    caller_task: JoinSet<()>,
    tasks: JoinSet<()>,
    // Keeps the JSON-RPC service running until it is dropped.
    _rpc: jsonrpsee::server::ServerHandle,
}

/// The bound listeners of a process.
struct Listeners {
    caller: Option<Server>,
    peer: Server,
    admin: Server,
}

impl Listeners {
    async fn bind(settings: &Instance) -> eyre::Result<Self> {
        let limits = &settings.limits;
        let public_config = Config {
            protocol: Protocol::Http1,
            header_timeout: Duration::from_millis(limits.head_ms),
            max_connections: limits.connections,
            ..Config::default()
        };
        let peer_config = Config {
            protocol: Protocol::Both,
            ..Config::default()
        };
        let bind = |address: SocketAddr, config: Config| async move {
            let server = Server::bind(address, config).await;
            server.wrap_err_with(|| format!("cannot listen on {address}; free it or change listen"))
        };
        let caller = match settings.listen.caller {
            Some(address) if settings.has_role(Role::Entry) => {
                Some(bind(address, public_config.clone()).await?)
            }
            _ => None,
        };
        Ok(Self {
            caller,
            peer: bind(settings.listen.peer, peer_config).await?,
            admin: bind(settings.listen.admin, public_config).await?,
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

/// Returns the member that this process registers as.
fn own_member(settings: &Instance, addresses: &Addresses) -> Member {
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
    /// Starts a process that uses the platform services at the addresses in its
    /// settings.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or a role cannot start.
    pub async fn start(settings: Instance) -> eyre::Result<Self> {
        let kv = Etcd::new(etcd::Config {
            addresses: settings.platform.key_value.clone(),
            timeout: PLATFORM_TIMEOUT,
        });
        let address = settings.platform.instances;
        let instance_list =
            address.map(|a| Arc::new(Consul::new(a, PLATFORM_TIMEOUT)) as Arc<dyn List>);
        Self::start_with_platform(settings, Arc::new(kv), instance_list).await
    }

    /// Starts a process that uses the given platform services.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or a role cannot start.
    pub async fn start_with_platform(
        settings: Instance,
        kv: Arc<dyn KeyValue>,
        instance_list: Option<Arc<dyn List>>,
    ) -> eyre::Result<Self> {
        metering::install();
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let stop = CancellationToken::new();
        let members = Members::new(own_member(&settings, &addresses));
        let keepers = Arc::new(KeeperDirectory::new(members.clone()));
        let kernel = Arc::new(Kernel {
            journal: Journal::new(keepers.clone(), stop.clone()),
            settings,
            kv,
            instance_list,
            members,
            slot_map: Arc::default(),
            active_settings: Arc::default(),
            keepers,
            draining: CancellationToken::new(),
            stop,
        });
        let mut mounts = Mounts::default();
        for plugin in enabled_plugins(&kernel.settings) {
            (plugin.mount)(&kernel, &mut mounts)
                .wrap_err_with(|| format!("role {} cannot start", plugin.role.name()))?;
        }
        let mut process = Self::serve(kernel, listeners, addresses, mounts);
        process.spawn_background_tasks();
        tracing::info!(event = "started", instance = %process.kernel.settings.id,
            peer = %addresses.peer, admin = %addresses.admin,
            caller = addresses.caller.map(tracing::field::display));
        Ok(process)
    }

    /// Serves the listeners with the mounted handlers.
    fn serve(
        kernel: Arc<Kernel>,
        listeners: Listeners,
        addresses: Addresses,
        mounts: Mounts,
    ) -> Self {
        let (stop_handle, rpc) = stop_channel();
        let id = kernel.settings.id.clone();
        let peer_handler = Arc::new(PeerHandler::new(
            id,
            mounts.call_handler,
            mounts.methods,
            stop_handle,
        ));
        let mut tasks = JoinSet::new();
        tasks.spawn(listeners.peer.serve(peer_handler, kernel.stop.clone()));
        let admin_handler = Arc::new(admin::AdminHandler::new(
            kernel.clone(),
            mounts.operator_handler,
        ));
        tasks.spawn(listeners.admin.serve(admin_handler, kernel.stop.clone()));
        let caller_stop = kernel.stop.child_token();
        let mut caller_task = JoinSet::new();
        if let (Some(listener), Some(handler)) = (listeners.caller, mounts.caller_handler) {
            let handler: Arc<dyn Handler> = handler;
            caller_task.spawn(listener.serve(handler, caller_stop.clone()));
        }
        Self {
            kernel,
            addresses,
            drain_fns: mounts.drain_fns,
            caller_stop,
            caller_task,
            tasks,
            _rpc: rpc,
        }
    }

    /// Starts to watch the settings, the slot map and the members, and to keep
    /// this process registered.
    fn spawn_background_tasks(&mut self) {
        let kernel = self.kernel.clone();
        let Kernel {
            kv,
            members,
            slot_map,
            active_settings,
            stop,
            settings,
            ..
        } = &*kernel;
        let lease_ttl = Duration::from_millis(settings.lease_ms);
        let tasks = &mut self.tasks;
        tasks.spawn(active_settings.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(slot_map.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(members.clone().follow(kv.clone(), stop.clone()));
        tasks.spawn(
            members
                .clone()
                .register(kv.clone(), lease_ttl, stop.clone()),
        );
    }

    /// The addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The state that the roles share.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Waits until callers may send requests to this process.
    pub async fn wait_ready(&self) {
        while !self.kernel.is_ready() {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Shuts down gracefully: announces that the process is draining, waits for
    /// load balancers to stop sending callers, finishes the open streams, hands
    /// the slots over, and stops. Returns whether all this was completed within
    /// the drain limit; otherwise what remains is cut off.
    pub async fn drain(mut self) -> bool {
        let limits = &self.kernel.settings.limits;
        let timeout = Duration::from_millis(limits.drain_ms);
        let leave_delay = Duration::from_millis(limits.leave_ms);
        tracing::info!(event = "draining", instance = %self.kernel.settings.id);
        self.kernel.draining.cancel();
        self.kernel.members.set_draining();
        let draining = async {
            tokio::time::sleep(leave_delay).await;
            self.caller_stop.cancel();
            while self.caller_task.join_next().await.is_some() {}
            tracing::info!(event = "callers_gone", instance = %self.kernel.settings.id);
            for drain in &self.drain_fns {
                drain().await;
            }
        };
        let completed = tokio::time::timeout(timeout, draining).await.is_ok();
        tracing::info!(event = "drained", instance = %self.kernel.settings.id, whole = completed);
        self.stop().await;
        completed
    }

    /// Stops immediately, without finishing requests in progress.
    pub async fn stop(mut self) {
        self.kernel.stop.cancel();
        let tasks_ended = async { while self.tasks.join_next().await.is_some() {} };
        // Idle connections of peers do not close by themselves.
        let _ = tokio::time::timeout(PLATFORM_TIMEOUT, tasks_ended).await;
    }

    /// Simulates a killed process: closes every connection, hands nothing over,
    /// and leaves the registration in place until its lease expires.
    pub async fn kill(mut self) {
        self.caller_task.shutdown().await;
        self.tasks.shutdown().await;
        self.kernel.stop.cancel();
    }
}
