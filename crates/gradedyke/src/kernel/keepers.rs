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
    own: OnceLock<(id::Keeper, Arc<dyn Keeper>)>,
    remotes: Mutex<HashMap<id::Keeper, Known>>,
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

    /// Sets this process's own keeper, whose store has the given identity. A
    /// second one is ignored.
    pub fn set_own(&self, identity: &str, keeper: Arc<dyn Keeper>) {
        let name = id::Keeper::new(&self.members.own().id, identity);
        let _ = self.own.set((name, keeper));
    }

    fn remote(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        let (instance, store) = name.parts()?;
        let instance = id::Instance::parse(instance).ok()?;
        let mut remotes = self.remotes.lock().unwrap_or_else(PoisonError::into_inner);
        let known = remotes.get(name);
        let Some(member) = self.members.get(&instance) else {
            // It may be that only its registration has lapsed.
            return known.map(|(_, keeper)| keeper.clone());
        };
        match known {
            Some((address, keeper)) if *address == member.peer => Some(keeper.clone()),
            _ => {
                // Where the instance has another store by now, calls that name
                // this one are refused there.
                let remote = Remote::new(member.peer, store, TIME).ok()?;
                let keeper: Arc<dyn Keeper> = Arc::new(remote);
                remotes.insert(name.clone(), (member.peer, keeper.clone()));
                Some(keeper)
            }
        }
    }
}

impl Directory for Keepers {
    fn keeper(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        match self.own.get() {
            Some((own, keeper)) if own == name => Some(keeper.clone()),
            _ => self.remote(name),
        }
    }
}
