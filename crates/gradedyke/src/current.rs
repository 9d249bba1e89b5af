//! The settings in force: the newest revision of the operators' tree.
//!
//! The tree lives under one key of the key-value service. Every instance
//! watches it and applies only rising revisions, so that a late answer of an
//! old read can never bring an old tree back.

use std::sync::Arc;

use arc_swap::ArcSwap;
use gradedyke_base::settings::tree::Tree;
use gradedyke_platform::kv::{self, Event, KeyValue, Revision, Swap, Swapped};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// The key that holds the tree.
pub const KEY: &str = "gradedyke/settings";

/// A tree with its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision, from 1; 0 before any tree was applied.
    pub revision: u64,
    /// Sets this write apart from any other.
    pub mark: String,
    /// The tree.
    pub tree: Tree,
}

/// What applying a tree fails with.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another revision is in force than the writer knew.
    #[error("revision {0} is in force; read it, merge your change and apply it on that")]
    Conflict(u64),
    /// The service failed.
    #[error(transparent)]
    KeyValue(#[from] kv::Error),
    /// What the service holds is no tree.
    #[error("the tree in force cannot be read ({0}); apply a corrected one")]
    Malformed(String),
}

/// The settings in force on this instance.
#[derive(Debug)]
pub struct Current {
    snapshot: ArcSwap<Snapshot>,
    revision: watch::Sender<u64>,
}

impl Default for Current {
    fn default() -> Self {
        Self {
            snapshot: ArcSwap::default(),
            revision: watch::Sender::new(0),
        }
    }
}

impl Current {
    /// The newest snapshot seen.
    pub fn get(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Follows the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Takes a snapshot in if it is newer, and tells whether it was.
    ///
    /// ```
    /// use gradedyke::current::{Current, Snapshot};
    ///
    /// let current = Current::default();
    /// assert!(current.take(Snapshot { revision: 2, ..Default::default() }));
    /// assert!(!current.take(Snapshot { revision: 1, ..Default::default() }));
    /// ```
    pub fn take(&self, snapshot: Snapshot) -> bool {
        let revision = snapshot.revision;
        let newer = self.revision.send_if_modified(|seen| {
            let newer = *seen < revision;
            if newer {
                *seen = revision;
                self.snapshot.store(Arc::new(snapshot));
            }
            newer
        });
        if newer {
            tracing::info!(event = "settings_in_force", revision);
        }
        newer
    }

    /// Follows the key until `stop`.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::keep("settings", stop, || self.once(&*kv)).await;
    }

    async fn once(&self, kv: &dyn KeyValue) -> Result<(), Error> {
        let listing = kv.list(KEY).await?;
        for entry in &listing.entries {
            self.read(&entry.value);
        }
        let mut watch = kv.watch(KEY, listing.revision + 1).await?;
        loop {
            for event in watch.next().await? {
                if let Event::Put(entry) = event {
                    self.read(&entry.value);
                }
            }
        }
    }

    fn read(&self, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(snapshot) => {
                self.take(snapshot);
            }
            Err(error) => tracing::error!(event = "settings_malformed", %error),
        }
    }
}

/// Reads the snapshot in the key-value service, with the key's own revision.
///
/// # Errors
///
/// The service failed, or holds no tree.
pub async fn read(kv: &dyn KeyValue) -> Result<(Snapshot, Revision), Error> {
    let Some(entry) = kv.get(KEY).await? else {
        return Ok((Snapshot::default(), 0));
    };
    let snapshot = serde_json::from_slice(&entry.value);
    let snapshot = snapshot.map_err(|e| Error::Malformed(e.to_string()))?;
    Ok((snapshot, entry.revision))
}

/// Puts `tree` in force after revision `known` and returns its revision.
///
/// # Errors
///
/// [`Error::Conflict`] when another revision than `known` is in force.
pub async fn apply(kv: &dyn KeyValue, tree: Tree, known: u64) -> Result<Snapshot, Error> {
    let (present, expected) = read(kv).await?;
    if present.revision != known {
        return Err(Error::Conflict(present.revision));
    }
    let snapshot = Snapshot {
        revision: known + 1,
        mark: gradedyke_base::id::Request::fresh().to_string(),
        tree,
    };
    let value = serde_json::to_vec(&snapshot).map_err(|e| Error::Malformed(e.to_string()))?;
    let swap = Swap {
        key: KEY.to_owned(),
        expected,
        value: Some(value),
        lease: None,
    };
    match kv::settle(kv, swap).await? {
        Swapped::Done(_) => Ok(snapshot),
        Swapped::Conflict(found) => {
            let found = found.and_then(|e| serde_json::from_slice::<Snapshot>(&e.value).ok());
            Err(Error::Conflict(found.map_or(0, |s| s.revision)))
        }
    }
}
