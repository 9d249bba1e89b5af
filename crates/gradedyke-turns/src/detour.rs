//! Ways around a cut between an entry and the keepers.
//!
//! An entry that cannot reach the keepers, while other entries can, asks these
//! to pass its requests on. All requests to keepers may be repeated, so the
//! direct way and the detour can be tried side by side. Entries learn of each
//! other from the keepers, in time before a cut.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Handler};
use tokio::time::Instant;

use crate::feed;
use crate::message::{self, Reply, Request};
use crate::pressure::Pressure;
use crate::quorum::Quorum;

/// Silence of the direct way after which a detour is tried: thirty times what an
/// exchange takes with a sync. A keeper that answers others within that time is
/// slow, and detours would make it slower.
const SILENCE: Duration = Duration::from_millis(150);
/// Longest time for a request that is passed on. The neighbour may be cut off
/// too, and another is better than waiting.
const CALL: Duration = Duration::from_millis(250);
/// Time in it that the neighbour gives the keeper, so that it can still say that
/// the keeper is slow.
const PASSED: Duration = Duration::from_millis(200);

/// Neighbours that are tried for one request, one after the other.
const DETOURS: usize = 3;

/// Passes requests of other entries on to keepers, and tells entries that are cut off what
/// the platform's service holds.
pub struct Forwarder {
    quorum: Arc<Quorum>,
}

impl Forwarder {
    /// A forwarder to the keepers that `quorum` knows.
    pub fn new(quorum: Arc<Quorum>) -> Self {
        Self { quorum }
    }

    async fn answer(&self, request: Request) -> Reply {
        let (to, body) = match request {
            Request::Hello => return Reply::Hello,
            Request::Via { to, body } => (to, body),
            Request::Age => return feed::tell_age(self.quorum.mirror(), Instant::now()),
            Request::Follow {
                cursor, wait_ms, ..
            } => {
                let wait = Duration::from_millis(wait_ms.into());
                return Reply::News(feed::tell(self.quorum.mirror(), &cursor, wait).await);
            }
            _ => return Reply::Failed("an entry keeps no records; ask a keeper".to_owned()),
        };
        // To keepers only: an entry is no way to anywhere else.
        let view = self.quorum.view();
        if !view.members.iter().any(|m| m.address == to) {
            return Reply::Failed("the address is no keeper's; renew the view".to_owned());
        }
        metrics::counter!("gradedyke_forwarded_total").increment(1);
        match self.quorum.client(to).call(body, PASSED).await {
            Ok(reply) => Reply::Via(reply),
            Err(gradedyke_peer::Error::TimedOut(..)) => Reply::Busy(Pressure::default()),
            Err(error) => Reply::Failed(error.to_string()),
        }
    }
}

#[async_trait]
impl Handler for Forwarder {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        let reply = match message::decode(&request) {
            Some(request) => self.answer(request).await,
            None => Reply::Failed("the request is not understood".to_owned()),
        };
        message::encode(&reply)
    }
}

/// What a detour brought.
enum Passed {
    /// The keeper's reply.
    Reply(Bytes),
    /// The keeper was reached, and did not answer in time.
    Slow,
    /// This neighbour is no way.
    No,
}

/// Asks the keeper at `to` through the entry that `neighbour` reaches.
async fn ask(neighbour: &Client, to: SocketAddr, body: Bytes) -> Passed {
    let via = message::encode(&Request::Via { to, body });
    let reply = neighbour.call(via, CALL).await;
    let reply = reply.inspect_err(|error| {
        tracing::debug!(event = "detour_failed", keeper = %to, %error);
    });
    let reply = reply.ok().and_then(|r| message::decode(&r));
    match reply {
        Some(Reply::Via(reply)) => Passed::Reply(reply),
        Some(Reply::Busy(_)) => Passed::Slow,
        _ => Passed::No,
    }
}

/// The ways to one keeper.
pub struct Way {
    keeper: SocketAddr,
    direct: Client,
    detours: Vec<Client>,
    /// All keepers that count, and how many of them are a majority.
    all: Vec<Client>,
    quorum: usize,
    /// The neighbour that passed a request on last, for the next one.
    worked: Arc<Mutex<Option<SocketAddr>>>,
}

impl Way {
    /// The ways to `keeper`: its own client, and entries that may reach it.
    /// `worked` remembers which of these did. Of `all` keepers that count,
    /// `quorum` must answer.
    pub fn new(
        keeper: SocketAddr,
        direct: Client,
        mut detours: Vec<Client>,
        (all, quorum): (Vec<Client>, usize),
        worked: Arc<Mutex<Option<SocketAddr>>>,
    ) -> Self {
        let last = *worked.lock().unwrap_or_else(PoisonError::into_inner);
        detours.sort_by_key(|d| Some(d.address()) != last);
        detours.truncate(DETOURS);
        Self {
            keeper,
            direct,
            detours,
            all,
            quorum,
            worked,
        }
    }

    fn note(&self, neighbour: SocketAddr) {
        let mut worked = self.worked.lock().unwrap_or_else(PoisonError::into_inner);
        if *worked != Some(neighbour) {
            tracing::info!(event = "detour_found", %neighbour, keeper = %self.keeper);
            *worked = Some(neighbour);
        }
    }

    /// Calls by the direct way, for at most `time`; and by detours when that is
    /// known to be broken, or does not answer soon.
    pub async fn call(&self, body: Bytes, time: Duration) -> Option<Bytes> {
        let direct = self.straight(body.clone(), time);
        let around = self.around(body);
        tokio::pin!(direct, around);
        tokio::select! {
            reply = &mut direct => match reply {
                Some(reply) => Some(reply),
                None => around.await,
            },
            reply = &mut around => match reply {
                Some(reply) => Some(reply),
                None => direct.await,
            },
        }
    }

    async fn straight(&self, body: Bytes, time: Duration) -> Option<Bytes> {
        let reply = self.direct.call(body, time).await;
        let reply = reply.inspect_err(|error| {
            tracing::debug!(event = "replica_call_failed", keeper = %self.keeper, %error);
        });
        reply.ok()
    }

    /// Waits until it shows whether a detour is needed: only where no majority
    /// answers directly. A single keeper that is slow or gone is not missed, and
    /// detours to it would keep it slow.
    async fn needed(&self) -> bool {
        let asked = Instant::now();
        let up = self.all.iter().filter(|c| !c.is_down()).count();
        if up < self.quorum {
            return self.direct.is_down();
        }
        tokio::time::sleep(SILENCE).await;
        let answered = self.all.iter().filter(|c| c.heard() >= asked).count();
        answered < self.quorum && self.direct.heard() < asked
    }

    async fn around(&self, body: Bytes) -> Option<Bytes> {
        if !self.needed().await {
            return None;
        }
        for neighbour in &self.detours {
            match ask(neighbour, self.keeper, body.clone()).await {
                Passed::Reply(reply) => {
                    self.note(neighbour.address());
                    return Some(reply);
                }
                // Another way to it would only give it more to do.
                Passed::Slow => return None,
                Passed::No => {}
            }
        }
        None
    }
}
