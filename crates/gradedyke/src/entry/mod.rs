//! The entry role: authenticates callers' requests, limits concurrency per
//! client account, and relays each request to the owner of its program.
//!
//! An entry holds no program state. When it crashes, the call continues at its
//! owner, and the caller can fetch the answer through another entry.
//!
//! - [`keys`]: maps API keys to client accounts.
//! - [`admission`]: limits concurrent calls per client account.
//! - [`relay`]: streams a call's answer from its owner and reconnects when the
//!   owner changes.
//! - [`questions`]: JSON-RPC requests to owners.
//! - [`api`]: the HTTP API for callers.
//! - [`render`]: formats answers for callers.

pub mod admission;
pub mod api;
pub mod keys;
pub mod questions;
pub mod relay;
pub mod render;

use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id::Slot;
use gradedyke_base::settings::instance::{Limits, Role};
use gradedyke_http::{Client, client};

use crate::current::Current;
use crate::kernel::{Kernel, Mounts, Plugin};
use crate::membership::{Member, Members};
use crate::ownership::map::Map;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The entry role of one process.
pub struct Entry {
    members: Arc<Members>,
    slot_map: Arc<Map>,
    active_settings: Arc<Current>,
    limits: Limits,
    keys: keys::Keys,
    admission: admission::Admission,
    rpc_clients: questions::RpcClients,
    client: Client,
}

impl Entry {
    /// Creates the entry role of a process from the process's shared state.
    pub fn new(kernel: &Kernel) -> Self {
        let config = client::Config {
            connect_timeout: CONNECT_TIMEOUT,
            http2: false,
            reuse_connections: true,
            ..client::Config::default()
        };
        Self {
            members: kernel.members.clone(),
            slot_map: kernel.slot_map.clone(),
            active_settings: kernel.active_settings.clone(),
            limits: kernel.settings.limits.clone(),
            keys: keys::Keys::default(),
            admission: admission::Admission::default(),
            rpc_clients: questions::RpcClients::default(),
            client: Client::new(&config),
        }
    }

    /// Returns the owner of a slot according to this process's slot map and
    /// member list.
    fn find_owner(&self, slot: Slot) -> Option<Member> {
        let holder = self.slot_map.holder(slot)?;
        self.members.get(&holder.owner)
    }
}

inventory::submit! {
    Plugin {
        role: Role::Entry,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            let entry = Arc::new(Entry::new(kernel));
            mounts.set_caller_handler(Arc::new(api::CallerHandler::new(entry)));
            Ok(())
        },
    }
}
