//! The active settings: the newest revision of the operators' settings tree.
//!
//! The tree is stored under one key of the key-value service. Every instance
//! watches the key and ignores revisions older than its own, so that a delayed
//! response cannot restore an old tree.

use std::sync::Arc;

use arc_swap::ArcSwap;
use gradedyke_base::settings::tree::Tree;
use gradedyke_platform::kv::{self, Event, KeyValue, Outcome, Revision, Swap};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::watching;

/// The key under which the tree is stored.
pub const SETTINGS_KEY: &str = "gradedyke/settings";

/// A settings tree with its revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision, from 1. It is 0 before any tree has been applied.
    pub revision: u64,
    /// A random value that distinguishes this write from any other.
    pub mark: String,
    /// The settings.
    pub tree: Tree,
}

/// An error of reading or applying settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The active revision is not the one that the change is based on.
    #[error("revision {0} is in force; read it, merge your change and apply it on that")]
    Conflict(u64),
    /// The key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] kv::Error),
    /// The stored or new settings cannot be decoded or encoded.
    #[error("the tree in force cannot be read ({0}); apply a corrected one")]
    Malformed(String),
}

/// The active settings on this instance.
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
    /// Returns the newest snapshot.
    pub fn get(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns a receiver of the active revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Replaces the active settings with a newer snapshot. Returns whether the
    /// snapshot was newer.
    ///
    /// ```
    /// use gradedyke::current::{Current, Snapshot};
    ///
    /// let current = Current::default();
    /// assert!(current.update(Snapshot { revision: 2, ..Default::default() }));
    /// assert!(!current.update(Snapshot { revision: 1, ..Default::default() }));
    /// ```
    pub fn update(&self, snapshot: Snapshot) -> bool {
        let revision = snapshot.revision;
        let is_newer = self.revision.send_if_modified(|current| {
            let is_newer = *current < revision;
            if is_newer {
                *current = revision;
                self.snapshot.store(Arc::new(snapshot));
            }
            is_newer
        });
        if is_newer {
            tracing::info!(event = "settings_in_force", revision);
        }
        is_newer
    }

    /// Watches the settings key until `stop` is cancelled.
    pub async fn follow(self: Arc<Self>, kv: Arc<dyn KeyValue>, stop: CancellationToken) {
        watching::run_until_stopped("settings", stop, || self.watch(&*kv)).await;
    }

    /// Reads the settings and applies changes until the watch fails.
    async fn watch(&self, kv: &dyn KeyValue) -> Result<(), Error> {
        let listing = kv.list(SETTINGS_KEY).await?;
        for entry in &listing.entries {
            self.update_from_json(&entry.value);
        }
        let mut watch = kv.watch(SETTINGS_KEY, listing.revision + 1).await?;
        loop {
            for event in watch.next().await? {
                if let Event::Put(entry) = event {
                    self.update_from_json(&entry.value);
                }
            }
        }
    }

    /// Updates the active settings from a stored value.
    fn update_from_json(&self, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(snapshot) => {
                self.update(snapshot);
            }
            Err(error) => tracing::error!(event = "settings_malformed", %error),
        }
    }
}

/// Reads the snapshot from the key-value service, with the key's own revision.
/// Before any settings have been applied, returns an empty snapshot.
///
/// # Errors
///
/// The service failed, or the stored value cannot be decoded.
pub async fn read(kv: &dyn KeyValue) -> Result<(Snapshot, Revision), Error> {
    let Some(entry) = kv.get(SETTINGS_KEY).await? else {
        return Ok((Snapshot::default(), 0));
    };
    let snapshot = serde_json::from_slice(&entry.value);
    let snapshot = snapshot.map_err(|e| Error::Malformed(e.to_string()))?;
    Ok((snapshot, entry.revision))
}

/// Applies `tree` as the revision after `base_revision` and returns the new
/// snapshot.
///
/// # Errors
///
/// [`Error::Conflict`] when the active revision is not `base_revision`.
pub async fn apply(kv: &dyn KeyValue, tree: Tree, base_revision: u64) -> Result<Snapshot, Error> {
    let (active, key_revision) = read(kv).await?;
    if active.revision != base_revision {
        return Err(Error::Conflict(active.revision));
    }
    let snapshot = Snapshot {
        revision: base_revision + 1,
        mark: gradedyke_base::id::Request::generate().to_string(),
        tree,
    };
    let value = serde_json::to_vec(&snapshot).map_err(|e| Error::Malformed(e.to_string()))?;
    let swap = Swap {
        key: SETTINGS_KEY.to_owned(),
        expected_revision: key_revision,
        value: Some(value),
        lease: None,
    };
    match kv::swap_and_verify(kv, swap).await? {
        Outcome::Written(_) => Ok(snapshot),
        Outcome::Conflict(found) => {
            let found = found.and_then(|e| serde_json::from_slice::<Snapshot>(&e.value).ok());
            Err(Error::Conflict(found.map_or(0, |s| s.revision)))
        }
    }
}
