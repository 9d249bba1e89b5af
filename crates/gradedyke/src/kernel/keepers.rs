//! Finds keepers by name: this process's own, or a client of another process's.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_journal::Keeper;
use gradedyke_journal::log::Directory;
use gradedyke_journal::rpc::Remote;

use crate::membership::Members;

/// Timeout of one request to a keeper.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The client of a keeper in another process, and the address that it uses.
type RemoteKeeper = (SocketAddr, Arc<dyn Keeper>);

/// A directory of keepers, which caches the clients of remote ones.
pub struct KeeperDirectory {
    members: Arc<Members>,
    own: OnceLock<(id::Keeper, Arc<dyn Keeper>)>,
    remotes: Mutex<HashMap<id::Keeper, RemoteKeeper>>,
}

impl KeeperDirectory {
    /// Creates a directory of the keepers among `members`.
    pub fn new(members: Arc<Members>) -> Self {
        Self {
            members,
            own: OnceLock::new(),
            remotes: Mutex::default(),
        }
    }

    /// Sets this process's own keeper, whose store has the given identity. Later
    /// calls have no effect.
    pub fn set_own(&self, identity: &str, keeper: Arc<dyn Keeper>) {
        let name = id::Keeper::new(&self.members.own().id, identity);
        let _ = self.own.set((name, keeper));
    }

    /// Returns a client of a keeper in another process.
    fn remote(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        let (instance, store) = name.parts()?;
        let instance = id::Instance::parse(instance).ok()?;
        let mut remotes = self.remotes.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = remotes.get(name);
        let Some(member) = self.members.get(&instance) else {
            // The instance may still be running with an expired registration.
            return cached.map(|(_, keeper)| keeper.clone());
        };
        match cached {
            Some((address, keeper)) if *address == member.peer => Some(keeper.clone()),
            _ => {
                // If the instance now has a different store, it rejects requests
                // that name this one.
                let remote = Remote::new(member.peer, store, REQUEST_TIMEOUT).ok()?;
                let keeper: Arc<dyn Keeper> = Arc::new(remote);
                remotes.insert(name.clone(), (member.peer, keeper.clone()));
                Some(keeper)
            }
        }
    }
}

impl Directory for KeeperDirectory {
    fn keeper(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        match self.own.get() {
            Some((own, keeper)) if own == name => Some(keeper.clone()),
            _ => self.remote(name),
        }
    }
}
