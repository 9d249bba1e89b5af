//! A stand-in of the platform's key-value service that holds one key, in virtual time.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_platform::kv::{
    Entry, Error, Event, KeyValue, Lease, Listing, Revision, Swap, Swapped, Watch,
};
use gradedyke_turns::mirror::Mirror;
use tokio::sync::watch;
use tokio::time::Instant;

/// The key of the configuration.
const KEY: &str = "config";
/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Longest time that a watch with nothing to tell is held, as the adapter asks for.
const HELD: Duration = Duration::from_millis(600);
/// Time after which a caller gives up a call that is not answered.
const GIVEN_UP: Duration = Duration::from_millis(1_500);

/// How the service fails calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It takes them and says nothing.
    Silent,
    /// It turns them away at once.
    Refusing,
}

/// The service. Its configuration is the number of the change that wrote it.
pub struct Service {
    changes: watch::Sender<Vec<Instant>>,
    outage: Mutex<Option<Outage>>,
    /// How many changes it has forgotten.
    forgotten: AtomicUsize,
    /// Calls to it so far.
    pub calls: AtomicUsize,
    /// Calls that listed all it holds.
    pub listings: AtomicUsize,
}

impl Service {
    /// A service whose first configuration was confirmed at `now`.
    pub fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            changes: watch::Sender::new(vec![now]),
            outage: Mutex::default(),
            forgotten: AtomicUsize::new(0),
            calls: AtomicUsize::new(0),
            listings: AtomicUsize::new(0),
        })
    }

    /// Changes the configuration, and confirms it to the operator at `now`.
    pub fn change(&self, now: Instant) {
        self.changes.send_modify(|changes| changes.push(now));
    }

    /// Has it forget all changes so far.
    pub fn forget(&self) {
        self.forgotten.store(self.revision(), Ordering::Relaxed);
    }

    /// Has it fail all calls, or none.
    pub fn set_outage(&self, outage: Option<Outage>) {
        *self.outage.lock().unwrap() = outage;
    }

    /// For how long a change has been confirmed that `mirror` does not have; zero if it has
    /// all.
    pub fn lag(&self, mirror: &Mirror, now: Instant) -> Duration {
        let known = mirror.get(KEY).map_or(0, |(_, revision)| revision);
        let changes = self.changes.borrow();
        let lacks = changes.get(usize::try_from(known).unwrap());
        lacks.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    fn entry(revision: usize) -> Entry {
        Entry {
            key: KEY.to_owned(),
            value: revision.to_string().into_bytes(),
            revision: Revision::try_from(revision).unwrap(),
        }
    }

    fn revision(&self) -> usize {
        self.changes.borrow().len()
    }
}

/// The service as one process calls it.
#[derive(Clone)]
pub struct Client {
    service: Arc<Service>,
    /// Whether this process cannot reach it.
    pub cut: Arc<AtomicBool>,
}

impl Client {
    /// A client that reaches `service`.
    pub fn new(service: Arc<Service>) -> Self {
        let cut = Arc::default();
        Self { service, cut }
    }

    /// Makes a call, which fails in an outage of the service or where it is cut off.
    async fn call(&self) -> Result<(), Error> {
        self.service.calls.fetch_add(1, Ordering::Relaxed);
        let cut = self.cut.load(Ordering::Relaxed);
        let outage = *self.service.outage.lock().unwrap();
        match outage.or(cut.then_some(Outage::Silent)) {
            None => {
                tokio::time::sleep(ANSWER).await;
                Ok(())
            }
            Some(Outage::Silent) => {
                tokio::time::sleep(GIVEN_UP).await;
                Err(Error::Unknown("silent".to_owned()))
            }
            Some(Outage::Refusing) => Err(Error::Unavailable("turned away".to_owned())),
        }
    }
}

fn unused<T>() -> Result<T, Error> {
    Err(Error::Refused("nobody writes here".to_owned()))
}

#[async_trait]
impl KeyValue for Client {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, Error> {
        unused()
    }

    async fn list(&self, _prefix: &str) -> Result<Listing, Error> {
        self.service.listings.fetch_add(1, Ordering::Relaxed);
        self.call().await?;
        let revision = self.service.revision();
        Ok(Listing {
            entries: vec![Service::entry(revision)],
            revision: Revision::try_from(revision).unwrap(),
        })
    }

    async fn swap(&self, _swap: Swap) -> Result<Swapped, Error> {
        unused()
    }

    async fn grant(&self, _length: Duration) -> Result<Lease, Error> {
        unused()
    }

    async fn renew(&self, _lease: Lease) -> Result<(), Error> {
        unused()
    }

    async fn revoke(&self, _lease: Lease) -> Result<(), Error> {
        unused()
    }

    async fn watch(&self, _prefix: &str, from: Revision) -> Result<Box<dyn Watch>, Error> {
        Ok(Box::new(Waiting {
            client: self.clone(),
            known: usize::try_from(from).unwrap() - 1,
            asked: false,
        }))
    }
}

struct Waiting {
    client: Client,
    known: usize,
    /// Whether it was asked before: the first call is not held.
    asked: bool,
}

#[async_trait]
impl Watch for Waiting {
    async fn next(&mut self) -> Result<Vec<Event>, Error> {
        let service = self.client.service.clone();
        let mut changes = service.changes.subscribe();
        let known = self.known;
        let more = changes.wait_for(|changes| changes.len() > known);
        // Without a change it says so at the end of that time.
        let held = if std::mem::replace(&mut self.asked, true) {
            HELD
        } else {
            Duration::ZERO
        };
        let _ = tokio::time::timeout(held, more).await;
        self.client.call().await?;
        if self.known < service.forgotten.load(Ordering::Relaxed) {
            return Err(Error::Compacted);
        }
        let revision = service.revision();
        if revision == self.known {
            return Ok(Vec::new());
        }
        self.known = revision;
        Ok(vec![Event::Put(Service::entry(revision))])
    }
}
