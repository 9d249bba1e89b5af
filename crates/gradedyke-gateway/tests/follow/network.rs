//! Simulated network between entries and keepers, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_turns::feed::{self, Error, Peers};
use gradedyke_turns::message::{Reply, Request};
use gradedyke_turns::mirror::Mirror;
use tokio::time::Instant;

/// Round-trip time to another process.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(1);
/// Number of neighbours that a keeper reports to an entry.
const NEIGHBOUR_COUNT: usize = 8;

/// How calls to a failed process fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Calls time out, as if the machine had lost power.
    Silent,
    /// Connections are refused, as if the process had been killed.
    Refused,
}

struct Node {
    mirror: Arc<Mirror>,
    is_keeper: bool,
    failure: Option<Failure>,
}

/// The processes by address.
#[derive(Default)]
pub struct Network(Mutex<BTreeMap<SocketAddr, Node>>);

impl Network {
    /// Adds a process that serves the data in `mirror`.
    pub fn add(&self, address: SocketAddr, mirror: Arc<Mirror>, is_keeper: bool) {
        let node = Node {
            mirror,
            is_keeper,
            failure: None,
        };
        self.0.lock().unwrap().insert(address, node);
    }

    /// Makes all keepers fail with `failure`, or restores them.
    pub fn set_keeper_failure(&self, failure: Option<Failure>) {
        let mut nodes = self.0.lock().unwrap();
        nodes
            .values_mut()
            .filter(|n| n.is_keeper)
            .for_each(|n| n.failure = failure);
    }

    /// The addresses of the keepers.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        let nodes = self.0.lock().unwrap();
        let keepers = nodes.iter().filter(|(_, node)| node.is_keeper);
        keepers.map(|(address, _)| *address).collect()
    }

    /// The entries that follow `address` in a ring, so that each entry is somebody's neighbour.
    fn neighbours(&self, address: SocketAddr) -> Vec<SocketAddr> {
        let nodes = self.0.lock().unwrap();
        let entries = nodes.iter().filter(|(_, node)| !node.is_keeper);
        let entries: Vec<SocketAddr> = entries.map(|(address, _)| *address).collect();
        let start = entries.partition_point(|e| *e <= address);
        let ring = entries.iter().cycle().skip(start);
        ring.take(NEIGHBOUR_COUNT.min(entries.len()))
            .copied()
            .collect()
    }

    fn failure(&self, address: SocketAddr) -> Option<Failure> {
        self.0.lock().unwrap()[&address].failure
    }

    async fn answer(&self, address: SocketAddr, request: &Request) -> Reply {
        let (mirror, is_keeper) = {
            let nodes = self.0.lock().unwrap();
            let node = &nodes[&address];
            (node.mirror.clone(), node.is_keeper)
        };
        match request {
            Request::Age => feed::age_reply(&mirror, Instant::now()),
            Request::Follow {
                cursor,
                wait_ms,
                address: caller,
            } => {
                let wait = Duration::from_millis((*wait_ms).into());
                let mut update = feed::long_poll(&mirror, cursor, wait).await;
                if let Some(caller) = caller.filter(|_| is_keeper) {
                    update.neighbours = self.neighbours(caller);
                }
                Reply::News(update)
            }
            _ => Reply::Failed("unsupported request: this process only serves updates".to_owned()),
        }
    }
}

/// The network from the point of view of one entry.
pub struct PeerClient {
    pub network: Arc<Network>,
    /// The entry's address.
    pub own_address: SocketAddr,
    /// Whether the last call to a keeper failed.
    pub cut_off: AtomicBool,
}

impl PeerClient {
    fn record_result(&self, peer: SocketAddr, failed: bool) {
        if self.network.keepers().contains(&peer) {
            self.cut_off.store(failed, Ordering::Relaxed);
        }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let reply = tokio::time::timeout(timeout, async {
            tokio::time::sleep(ROUND_TRIP_TIME).await;
            match self.network.failure(peer) {
                None => Ok(self.network.answer(peer, request).await),
                Some(Failure::Silent) => std::future::pending().await,
                Some(Failure::Refused) => Err(gradedyke_peer::Error::Unreachable(peer)),
            }
        });
        let reply = reply.await;
        let reply = reply.unwrap_or(Err(gradedyke_peer::Error::TimedOut(peer, timeout)));
        Ok(reply?)
    }
}

#[async_trait]
impl Peers for PeerClient {
    fn forwarding_address(&self) -> Option<SocketAddr> {
        Some(self.own_address)
    }

    fn is_isolated(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }

    async fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let reply = self.exchange(peer, request, timeout).await;
        // A process that failed during the call does not respond to it.
        let reply = match (reply, self.network.failure(peer)) {
            (Ok(_), Some(_)) => Err(gradedyke_peer::Error::ConnectionLost(peer).into()),
            (reply, _) => reply,
        };
        self.record_result(peer, reply.is_err());
        reply
    }
}
