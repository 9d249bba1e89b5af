//! The state that the roles of one process share, and how a process starts and
//! stops.
//!
//! Roles register themselves as [`Plugin`]s; a process mounts those that its
//! settings name. It binds its listeners first, so that a port already in use is
//! reported before the process registers as a member.

mod keepers;
mod metering;
mod peers;
mod process;

use std::sync::Arc;

use futures_util::future::BoxFuture;
use gradedyke_base::settings::instance::{Instance, Role};
use gradedyke_http::Handler;
use gradedyke_journal::Journal;
use gradedyke_platform::instances::List;
use gradedyke_platform::kv::KeyValue;
use jsonrpsee::Methods;
use tokio_util::sync::CancellationToken;

use crate::current::Current;
use crate::membership::Members;
use crate::ownership::map::Map;

pub use keepers::KeeperDirectory;
pub use metering::render_metrics;
pub use process::{Addresses, Process};

/// The state that the roles of one process share.
pub struct Kernel {
    /// The process's own settings.
    pub settings: Instance,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's instance list, if the deployment has one.
    pub instance_list: Option<Arc<dyn List>>,
    /// The members of the system.
    pub members: Arc<Members>,
    /// Which instance owns which slot.
    pub slot_map: Arc<Map>,
    /// The active operator settings.
    pub active_settings: Arc<Current>,
    /// The keepers by name.
    pub keepers: Arc<KeeperDirectory>,
    /// The journal.
    pub journal: Arc<Journal>,
    /// Cancelled when the process starts to drain.
    pub draining: CancellationToken,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

impl Kernel {
    /// Whether callers may send requests to this process.
    pub fn is_ready(&self) -> bool {
        let settings = self.active_settings.get();
        settings.revision > 0 && self.slot_map.is_assigned() && !self.draining.is_cancelled()
    }
}

/// Returns a future that completes when a role has drained.
pub type DrainFn = Box<dyn Fn() -> BoxFuture<'static, ()> + Send + Sync>;

/// The handlers that the roles of a process have mounted.
#[derive(Default)]
pub struct Mounts {
    methods: Methods,
    call_handler: Option<Arc<dyn Handler>>,
    caller_handler: Option<Arc<dyn Handler>>,
    operator_handler: Option<Arc<dyn Handler>>,
    drain_fns: Vec<DrainFn>,
}

impl Mounts {
    /// Mounts JSON-RPC methods for peers.
    ///
    /// # Errors
    ///
    /// A method of the same name is already mounted.
    pub fn add_rpc_methods(&mut self, methods: impl Into<Methods>) -> eyre::Result<()> {
        self.methods.merge(methods)?;
        Ok(())
    }

    /// Mounts the handler of calls from entries.
    pub fn set_call_handler(&mut self, handler: Arc<dyn Handler>) {
        self.call_handler = Some(handler);
    }

    /// Mounts the handler of callers' requests.
    pub fn set_caller_handler(&mut self, handler: Arc<dyn Handler>) {
        self.caller_handler = Some(handler);
    }

    /// Mounts the handler of operators' requests.
    pub fn set_operator_handler(&mut self, handler: Arc<dyn Handler>) {
        self.operator_handler = Some(handler);
    }

    /// Adds a function that draining the process waits for.
    pub fn on_drain(&mut self, drain: impl Fn() -> BoxFuture<'static, ()> + Send + Sync + 'static) {
        self.drain_fns.push(Box::new(drain));
    }
}

/// A role that is registered at link time.
pub struct Plugin {
    /// The role that this plugin provides.
    pub role: Role,
    /// Starts the role and mounts its handlers.
    pub mount: fn(&Arc<Kernel>, &mut Mounts) -> eyre::Result<()>,
}

inventory::collect!(Plugin);

/// Returns the registered roles that `settings` name.
fn enabled_plugins(settings: &Instance) -> Vec<&'static Plugin> {
    let plugins = inventory::iter::<Plugin>.into_iter();
    plugins.filter(|p| settings.has_role(p.role)).collect()
}
