//! The kernel: what the roles of one process share, and how they start and stop.
//!
//! Roles register themselves as [`Plugin`]s; the kernel mounts those that the
//! settings name. It binds the listeners first, so that a port taken by the
//! system is known before the process registers as a member.

mod keepers;
mod metering;
mod peers;
mod process;

use std::sync::Arc;

use futures_util::future::BoxFuture;
use gradedyke_base::settings::instance::{Instance, Role};
use gradedyke_http::Handler;
use gradedyke_journal::Journal;
use gradedyke_platform::instances::Instances;
use gradedyke_platform::kv::KeyValue;
use jsonrpsee::Methods;
use tokio_util::sync::CancellationToken;

use crate::current::Current;
use crate::membership::Members;
use crate::ownership::map::Map;

pub use keepers::Keepers;
pub use metering::render;
pub use process::{Addresses, Process};

/// What the roles of one process share.
pub struct Kernel {
    /// The process's settings.
    pub settings: Instance,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The instance list, if the deployment has one.
    pub instances: Option<Arc<dyn Instances>>,
    /// The members.
    pub members: Arc<Members>,
    /// The map of slots.
    pub map: Arc<Map>,
    /// The operators' settings in force.
    pub current: Arc<Current>,
    /// The keepers.
    pub keepers: Arc<Keepers>,
    /// The journal.
    pub journal: Arc<Journal>,
    /// Cancelled when the process begins to stop as planned.
    pub drain: CancellationToken,
    /// Cancelled when the process stops.
    pub stop: CancellationToken,
}

impl Kernel {
    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        let current = self.current.get();
        current.revision > 0 && self.map.assigned() && !self.drain.is_cancelled()
    }
}

/// Waits until a role has drained.
pub type Drain = Box<dyn Fn() -> BoxFuture<'static, ()> + Send + Sync>;

/// Where roles mount what they serve.
#[derive(Default)]
pub struct Mounts {
    methods: Methods,
    calls: Option<Arc<dyn Handler>>,
    callers: Option<Arc<dyn Handler>>,
    operators: Option<Arc<dyn Handler>>,
    drains: Vec<Drain>,
}

impl Mounts {
    /// Mounts JSON-RPC methods for peers.
    ///
    /// # Errors
    ///
    /// A method of that name is mounted already.
    pub fn methods(&mut self, methods: impl Into<Methods>) -> eyre::Result<()> {
        self.methods.merge(methods)?;
        Ok(())
    }

    /// Mounts the handler of calls from entries.
    pub fn calls(&mut self, handler: Arc<dyn Handler>) {
        self.calls = Some(handler);
    }

    /// Mounts the handler of callers' requests.
    pub fn callers(&mut self, handler: Arc<dyn Handler>) {
        self.callers = Some(handler);
    }

    /// Mounts the handler of operators' requests.
    pub fn operators(&mut self, handler: Arc<dyn Handler>) {
        self.operators = Some(handler);
    }

    /// Has a planned stop wait for `drain`.
    pub fn on_drain(&mut self, drain: impl Fn() -> BoxFuture<'static, ()> + Send + Sync + 'static) {
        self.drains.push(Box::new(drain));
    }
}

/// A role that registers itself.
pub struct Plugin {
    /// The role.
    pub role: Role,
    /// Starts it and mounts what it serves.
    pub mount: fn(&Arc<Kernel>, &mut Mounts) -> eyre::Result<()>,
}

inventory::collect!(Plugin);

/// The registered roles that `settings` name.
fn plugins(settings: &Instance) -> Vec<&'static Plugin> {
    let plugins = inventory::iter::<Plugin>.into_iter();
    plugins.filter(|p| settings.runs(p.role)).collect()
}
