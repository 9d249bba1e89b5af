//! The entry: takes callers' requests, authenticates and admits them, finds the
//! owner of their program, and relays whole answers.
//!
//! An entry keeps no state of programs. It may die at any time: the call goes
//! on at its owner, and the caller fetches the answer through another entry.
//!
//! - [`keys`]: from a caller's key to its client account.
//! - [`admission`]: how many calls of a client account run at a time.
//! - [`relay`]: a call at its owner, across changes of owner.
//! - [`questions`]: short questions to the owner, by JSON-RPC.
//! - [`api`]: the paths callers use; [`render`] is the format of answers.

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

/// Longest time for a connect to a peer.
const CONNECT: Duration = Duration::from_millis(500);

/// The entry role of one process.
pub struct Entry {
    members: Arc<Members>,
    map: Arc<Map>,
    current: Arc<Current>,
    limits: Limits,
    keys: keys::Keys,
    admission: admission::Admission,
    questions: questions::Questions,
    client: Client,
}

impl Entry {
    /// The entry role over what `kernel` holds.
    pub fn new(kernel: &Kernel) -> Self {
        let config = client::Config {
            connect: CONNECT,
            http2: false,
            keep: true,
        };
        Self {
            members: kernel.members.clone(),
            map: kernel.map.clone(),
            current: kernel.current.clone(),
            limits: kernel.settings.limits.clone(),
            keys: keys::Keys::default(),
            admission: admission::Admission::default(),
            questions: questions::Questions::default(),
            client: Client::new(&config),
        }
    }

    /// The owner of a slot, as far as is known here.
    fn owner(&self, slot: Slot) -> Option<Member> {
        let holder = self.map.holder(slot)?;
        self.members.get(&holder.owner)
    }
}

inventory::submit! {
    Plugin {
        role: Role::Entry,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            let entry = Arc::new(Entry::new(kernel));
            mounts.callers(Arc::new(api::Callers::new(entry)));
            Ok(())
        },
    }
}
