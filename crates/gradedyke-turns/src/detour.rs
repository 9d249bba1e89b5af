//! Reaches replicas through other entries during a network partition.
//!
//! An entry that cannot reach the replicas asks neighbours to forward its requests.
//! All requests to replicas are idempotent, so the direct call and a forwarded one can run at
//! the same time. Entries learn each other's addresses from the replicas in advance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Handler};
use tokio::time::Instant;

use crate::crash;
use crate::feed;
use crate::message::{self, Reply, Request};
use crate::pressure::Pressure;
use crate::quorum::Coordinator;

/// How long to wait for direct replies of a majority before calls go through neighbours. Not
/// waited for if a majority is already known to be unreachable. Thirty times an exchange with a
/// disk sync. A keeper that answers others within this time is slow, and forwarded requests would
/// add to its load.
const FORWARDING_DELAY: Duration = Duration::from_millis(150);
/// Timeout of a call to a neighbour.
const NEIGHBOUR_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the neighbour's call to the replica. Less than [`NEIGHBOUR_CALL_TIMEOUT`], so that
/// the neighbour can still report that the replica is slow.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of neighbours tried for one request, one after the other.
const MAX_NEIGHBOURS: usize = 3;

/// Forwards requests of other entries to replicas, and sends other entries changes of
/// the platform's key-value store.
pub struct Forwarder {
    coordinator: Arc<Coordinator>,
}

impl Forwarder {
    /// Creates a forwarder to the replicas that `coordinator` knows.
    pub fn new(coordinator: Arc<Coordinator>) -> Self {
        Self { coordinator }
    }

    async fn answer(&self, request: Request) -> Reply {
        let (to, body) = match request {
            Request::Hello => return Reply::Hello,
            Request::Via { to, body } => (to, body),
            Request::Crashes(exchange) => {
                return Reply::Crashes(crash::answer(self.coordinator.crashes(), exchange).await);
            }
            Request::Age => return feed::age_reply(self.coordinator.mirror(), Instant::now()),
            Request::Follow {
                cursor, wait_ms, ..
            } => {
                let wait = Duration::from_millis(wait_ms.into());
                return Reply::News(
                    feed::long_poll(self.coordinator.mirror(), &cursor, wait).await,
                );
            }
            _ => return Reply::Failed("an entry stores no records; ask a replica".to_owned()),
        };
        // Forward to replicas only, so that an entry is not an open proxy.
        let view = self.coordinator.view();
        if !view.members.iter().any(|m| m.address == to) {
            return Reply::Failed("the address belongs to no replica; refresh the view".to_owned());
        }
        metrics::counter!("gradedyke_forwarded_total").increment(1);
        match self
            .coordinator
            .client(to)
            .call(body, FORWARD_TIMEOUT)
            .await
        {
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
            None => Reply::Failed(
                "the request could not be decoded; run the same version on all instances"
                    .to_owned(),
            ),
        };
        message::encode(&reply)
    }
}

/// Result of a call through a neighbour.
enum ForwardingOutcome {
    /// The replica's reply.
    Reply(Bytes),
    /// The replica is reachable but did not answer in time.
    ReplicaTimedOut,
    /// The neighbour failed or cannot reach the replica.
    Unreachable,
}

/// Calls the replica at `to` through `neighbour`, whose reply may have `reply_bytes` bytes.
async fn call_through(
    neighbour: &Client,
    to: SocketAddr,
    body: Bytes,
    reply_bytes: usize,
) -> ForwardingOutcome {
    let timeout = NEIGHBOUR_CALL_TIMEOUT + message::transfer_time(body.len() + reply_bytes);
    let request = message::encode(&Request::Via { to, body });
    let reply = neighbour.call(request, timeout).await;
    let reply = reply.inspect_err(|error| {
        tracing::debug!(event = "detour_failed", keeper = %to, %error);
    });
    let reply = reply.ok().and_then(|r| message::decode(&r));
    match reply {
        Some(Reply::Via(reply)) => ForwardingOutcome::Reply(reply),
        Some(Reply::Busy(_)) => ForwardingOutcome::ReplicaTimedOut,
        _ => ForwardingOutcome::Unreachable,
    }
}

/// A client of one replica that goes through neighbours while no majority can be reached
/// directly.
pub struct ReplicaClient {
    replica: SocketAddr,
    direct: Client,
    neighbours: Vec<Client>,
    /// Direct clients of all active replicas.
    active_replicas: Vec<Client>,
    /// How many of them must answer to make forwarding unnecessary.
    required_replies: usize,
    /// The neighbour that last forwarded a request successfully; shared with other clients.
    last_neighbour: Arc<Mutex<Option<SocketAddr>>>,
    /// Expected size of replies in bytes, if they may be large.
    reply_bytes: usize,
}

impl ReplicaClient {
    /// Creates a client of the replica at address `replica`, which is called by `direct` or through
    /// `neighbours`. `last_neighbour` remembers the neighbour that last succeeded, which is tried
    /// first. `active_replicas` has the direct clients of all active replicas, of which
    /// `required_replies` must answer to make forwarding unnecessary.
    pub fn new(
        replica: SocketAddr,
        direct: Client,
        mut neighbours: Vec<Client>,
        (active_replicas, required_replies): (Vec<Client>, usize),
        last_neighbour: Arc<Mutex<Option<SocketAddr>>>,
    ) -> Self {
        let previous = *last_neighbour
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        neighbours.sort_by_key(|r| Some(r.address()) != previous);
        neighbours.truncate(MAX_NEIGHBOURS);
        Self {
            replica,
            direct,
            neighbours,
            active_replicas,
            required_replies,
            last_neighbour,
            reply_bytes: 0,
        }
    }

    /// Allows for the time that replies of this size take through neighbours, which receive a
    /// message completely before they forward it.
    #[must_use]
    pub fn expecting(self, reply_bytes: usize) -> Self {
        Self {
            reply_bytes,
            ..self
        }
    }

    /// Remembers the neighbour that forwarded a request successfully.
    fn record_neighbour(&self, neighbour: SocketAddr) {
        let mut last_neighbour = self
            .last_neighbour
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *last_neighbour != Some(neighbour) {
            tracing::info!(event = "detour_found", %neighbour, keeper = %self.replica);
            *last_neighbour = Some(neighbour);
        }
    }

    /// Calls the replica directly, for at most `timeout`, and through neighbours if no majority
    /// of replicas answers directly. Returns the first reply.
    pub async fn call(&self, body: Bytes, timeout: Duration) -> Option<Bytes> {
        let direct = self.call_direct(body.clone(), timeout);
        let forwarded = self.call_through_neighbours(body);
        tokio::pin!(direct, forwarded);
        tokio::select! {
            reply = &mut direct => match reply {
                Some(reply) => Some(reply),
                None => forwarded.await,
            },
            reply = &mut forwarded => match reply {
                Some(reply) => Some(reply),
                None => direct.await,
            },
        }
    }

    async fn call_direct(&self, body: Bytes, timeout: Duration) -> Option<Bytes> {
        let reply = self.direct.call(body, timeout).await;
        let reply = reply.inspect_err(|error| {
            tracing::debug!(event = "replica_call_failed", keeper = %self.replica, %error);
        });
        reply.ok()
    }

    /// Waits if necessary, then returns whether to call through neighbours: only if neither a
    /// majority nor this replica answers directly. A single slow or lost replica is not needed for
    /// a majority, and forwarded calls would add to its load.
    async fn wait_until_forwarding_decided(&self) -> bool {
        let started = Instant::now();
        let up_count = self.active_replicas.iter().filter(|c| !c.is_down()).count();
        if up_count < self.required_replies {
            return self.direct.is_down();
        }
        tokio::time::sleep(FORWARDING_DELAY).await;
        let answered_count = self
            .active_replicas
            .iter()
            .filter(|c| c.last_reply_at() >= started)
            .count();
        answered_count < self.required_replies && self.direct.last_reply_at() < started
    }

    /// Calls through neighbours, one after the other, if needed.
    async fn call_through_neighbours(&self, body: Bytes) -> Option<Bytes> {
        if !self.wait_until_forwarding_decided().await {
            return None;
        }
        for neighbour in &self.neighbours {
            let (to, reply_bytes) = (self.replica, self.reply_bytes);
            match call_through(neighbour, to, body.clone(), reply_bytes).await {
                ForwardingOutcome::Reply(reply) => {
                    self.record_neighbour(neighbour.address());
                    return Some(reply);
                }
                // Calling it through another neighbour would only add to its load.
                ForwardingOutcome::ReplicaTimedOut => return None,
                ForwardingOutcome::Unreachable => {}
            }
        }
        None
    }
}
