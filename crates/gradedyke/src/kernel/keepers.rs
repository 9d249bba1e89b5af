//! Finds keepers by instance: this process's own, or another's by JSON-RPC.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_journal::Keeper;
use gradedyke_journal::log::Directory;
use gradedyke_journal::rpc::Remote;

use crate::membership::Members;

/// Longest time for a call to a keeper.
const TIME: Duration = Duration::from_secs(3);

/// A keeper in another process, and the address it was made for.
type Known = (SocketAddr, Arc<dyn Keeper>);

/// The keepers as this process reaches them.
pub struct Keepers {
    members: Arc<Members>,
    own: OnceLock<Arc<dyn Keeper>>,
    remotes: Mutex<HashMap<id::Instance, Known>>,
}

impl Keepers {
    /// Keepers among `members`.
    pub fn new(members: Arc<Members>) -> Self {
        Self {
            members,
            own: OnceLock::new(),
            remotes: Mutex::default(),
        }
    }

    /// Sets this process's own keeper. A second one is ignored.
    pub fn set_own(&self, keeper: Arc<dyn Keeper>) {
        let _ = self.own.set(keeper);
    }

    fn remote(&self, instance: &id::Instance) -> Option<Arc<dyn Keeper>> {
        let mut remotes = self.remotes.lock().unwrap_or_else(PoisonError::into_inner);
        let known = remotes.get(instance);
        let Some(member) = self.members.get(instance) else {
            // It may be that only its registration has lapsed.
            return known.map(|(_, keeper)| keeper.clone());
        };
        match known {
            Some((address, keeper)) if *address == member.peer => Some(keeper.clone()),
            _ => {
                let keeper: Arc<dyn Keeper> = Arc::new(Remote::new(member.peer, TIME).ok()?);
                remotes.insert(instance.clone(), (member.peer, keeper.clone()));
                Some(keeper)
            }
        }
    }
}

impl Directory for Keepers {
    fn keeper(&self, instance: &id::Instance) -> Option<Arc<dyn Keeper>> {
        match self.own.get() {
            Some(own) if *instance == self.members.own().id => Some(own.clone()),
            _ => self.remote(instance),
        }
    }
}
