//! Simulated key-value store of the platform that holds one key, in virtual time.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_platform::kv::{
    Entry, Error, Event, KeyValue, Lease, Listing, Outcome, Revision, Swap, Watch,
};
use gradedyke_turns::mirror::Mirror;
use tokio::sync::watch;
use tokio::time::Instant;

/// The key of the configuration.
pub const CONFIG_KEY: &str = "config";
/// Latency of a call.
const CALL_LATENCY: Duration = Duration::from_millis(4);
/// Maximum time that a watch call waits for a change, as in the real client.
const WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which a client gives up an unanswered call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How calls to the store fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are not answered.
    Silent,
    /// Calls fail at once.
    Refusing,
}

/// The store. The value of the configuration is the revision that wrote it.
pub struct Store {
    /// Times at which changes were confirmed; their number is the revision.
    changes: watch::Sender<Vec<Instant>>,
    outage: Mutex<Option<Outage>>,
    /// Revision up to which the history is compacted.
    compacted: AtomicUsize,
    /// Number of calls so far.
    pub calls: AtomicUsize,
    /// Number of calls that listed all keys.
    pub listings: AtomicUsize,
}

impl Store {
    /// Creates a store whose first configuration was confirmed at `now`.
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            changes: watch::Sender::new(vec![now]),
            outage: Mutex::default(),
            compacted: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
            listings: AtomicUsize::new(0),
        })
    }

    /// Writes a new configuration, confirmed at `now`.
    pub fn change(&self, now: Instant) {
        self.changes.send_modify(|changes| changes.push(now));
    }

    /// Compacts the history of all changes so far.
    pub fn compact(&self) {
        self.compacted.store(self.revision(), Ordering::Relaxed);
    }

    /// Makes all calls fail with `outage`, or succeed again.
    pub fn set_outage(&self, outage: Option<Outage>) {
        *self.outage.lock().unwrap() = outage;
    }

    /// Time since the confirmation of the first change that `mirror` has not received; zero if
    /// it has all.
    pub fn lag(&self, mirror: &Mirror, now: Instant) -> Duration {
        let known = mirror.get(CONFIG_KEY).map_or(0, |(_, revision)| revision);
        let changes = self.changes.borrow();
        let missing = changes.get(usize::try_from(known).unwrap());
        missing.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    fn entry(revision: usize) -> Entry {
        Entry {
            key: CONFIG_KEY.to_owned(),
            value: revision.to_string().into_bytes(),
            revision: Revision::try_from(revision).unwrap(),
        }
    }

    fn revision(&self) -> usize {
        self.changes.borrow().len()
    }
}

/// The client of one process for the store.
#[derive(Clone)]
pub struct Client {
    store: Arc<Store>,
    /// Whether the process is cut off from the store.
    pub cut_off: Arc<AtomicBool>,
}

impl Client {
    /// Creates a client that can reach `store`.
    pub fn new(store: Arc<Store>) -> Self {
        let cut_off = Arc::default();
        Self { store, cut_off }
    }

    /// Simulates a call, which fails in an outage or while the process is cut off.
    async fn call(&self) -> Result<(), Error> {
        self.store.calls.fetch_add(1, Ordering::Relaxed);
        let cut_off = self.cut_off.load(Ordering::Relaxed);
        let outage = *self.store.outage.lock().unwrap();
        match outage.or(cut_off.then_some(Outage::Silent)) {
            None => {
                tokio::time::sleep(CALL_LATENCY).await;
                Ok(())
            }
            Some(Outage::Silent) => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(Error::OutcomeUnknown("call timed out".to_owned()))
            }
            Some(Outage::Refusing) => Err(Error::Unavailable("store unavailable".to_owned())),
        }
    }
}

fn unsupported<T>() -> Result<T, Error> {
    Err(Error::Refused(
        "operation not supported by the simulation".to_owned(),
    ))
}

#[async_trait]
impl KeyValue for Client {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, Error> {
        self.call().await?;
        Ok(Some(Store::entry(self.store.revision())))
    }

    async fn list(&self, _prefix: &str) -> Result<Listing, Error> {
        self.store.listings.fetch_add(1, Ordering::Relaxed);
        self.call().await?;
        let revision = self.store.revision();
        Ok(Listing {
            entries: vec![Store::entry(revision)],
            revision: Revision::try_from(revision).unwrap(),
            ..Listing::default()
        })
    }

    async fn swap(&self, _swap: Swap) -> Result<Outcome, Error> {
        unsupported()
    }

    async fn grant_lease(&self, _length: Duration) -> Result<Lease, Error> {
        unsupported()
    }

    async fn renew_lease(&self, _lease: Lease) -> Result<(), Error> {
        unsupported()
    }

    async fn revoke_lease(&self, _lease: Lease) -> Result<(), Error> {
        unsupported()
    }

    async fn watch(&self, _prefix: &str, from: Revision) -> Result<Box<dyn Watch>, Error> {
        Ok(Box::new(ChangeWatch {
            client: self.clone(),
            known: usize::try_from(from).unwrap() - 1,
            called_before: false,
            max_wait: WATCH_TIMEOUT,
        }))
    }
}

struct ChangeWatch {
    client: Client,
    known: usize,
    /// Whether this is not the first call, which returns at once.
    called_before: bool,
    max_wait: Duration,
}

#[async_trait]
impl Watch for ChangeWatch {
    async fn next(&mut self) -> Result<Vec<Event>, Error> {
        let store = self.client.store.clone();
        let mut changes = store.changes.subscribe();
        let known = self.known;
        let changed = changes.wait_for(|changes| changes.len() > known);
        // Without a change the call returns an empty result after this time.
        let wait = if std::mem::replace(&mut self.called_before, true) {
            self.max_wait
        } else {
            Duration::ZERO
        };
        let _ = tokio::time::timeout(wait, changed).await;
        self.client.call().await?;
        if self.known < store.compacted.load(Ordering::Relaxed) {
            return Err(Error::Compacted);
        }
        let revision = store.revision();
        if revision == self.known {
            return Ok(Vec::new());
        }
        self.known = revision;
        Ok(vec![Event::Put(Store::entry(revision))])
    }

    fn set_max_wait(&mut self, wait: Duration) {
        self.max_wait = wait;
    }
}
