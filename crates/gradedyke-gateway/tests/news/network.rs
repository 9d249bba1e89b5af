//! Processes that ask each other for news, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_turns::feed::{self, Peers, Unanswered};
use gradedyke_turns::message::{Reply, Request};
use gradedyke_turns::mirror::Mirror;
use tokio::time::Instant;

/// Time of the way to another process and back.
const WAY: Duration = Duration::from_millis(1);
/// How many entries keepers tell an entry of.
const NEIGHBOURS: usize = 8;

/// What is met where a process was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing answers: its machine has no power.
    Silent,
    /// Connections are refused: its process was killed.
    Refused,
}

struct Node {
    mirror: Arc<Mirror>,
    keeper: bool,
    lost: Option<Loss>,
}

/// The processes, by where they answer.
#[derive(Default)]
pub struct Network(Mutex<BTreeMap<SocketAddr, Node>>);

impl Network {
    /// Adds a process that tells what is in `mirror`.
    pub fn add(&self, address: SocketAddr, mirror: Arc<Mirror>, keeper: bool) {
        let node = Node {
            mirror,
            keeper,
            lost: None,
        };
        self.0.lock().unwrap().insert(address, node);
    }

    /// Loses all keepers, or has them back.
    pub fn lose_keepers(&self, lost: Option<Loss>) {
        let mut nodes = self.0.lock().unwrap();
        nodes
            .values_mut()
            .filter(|n| n.keeper)
            .for_each(|n| n.lost = lost);
    }

    /// Where keepers answer.
    pub fn keepers(&self) -> Vec<SocketAddr> {
        let nodes = self.0.lock().unwrap();
        let keepers = nodes.iter().filter(|(_, node)| node.keeper);
        keepers.map(|(address, _)| *address).collect()
    }

    /// Some entries, those behind `address` in a ring, so that all are told by somebody.
    fn neighbours(&self, address: SocketAddr) -> Vec<SocketAddr> {
        let nodes = self.0.lock().unwrap();
        let entries = nodes.iter().filter(|(_, node)| !node.keeper);
        let entries: Vec<SocketAddr> = entries.map(|(address, _)| *address).collect();
        let behind = entries.partition_point(|e| *e <= address);
        let ring = entries.iter().cycle().skip(behind);
        ring.take(NEIGHBOURS.min(entries.len())).copied().collect()
    }

    fn lost(&self, address: SocketAddr) -> Option<Loss> {
        self.0.lock().unwrap()[&address].lost
    }

    async fn answer(&self, address: SocketAddr, request: &Request) -> Reply {
        let (mirror, keeper) = {
            let nodes = self.0.lock().unwrap();
            let node = &nodes[&address];
            (node.mirror.clone(), node.keeper)
        };
        match request {
            Request::Age => feed::tell_age(&mirror, Instant::now()),
            Request::Follow {
                cursor,
                wait_ms,
                address: asker,
            } => {
                let wait = Duration::from_millis((*wait_ms).into());
                let mut news = feed::tell(&mirror, cursor, wait).await;
                if let Some(asker) = asker.filter(|_| keeper) {
                    news.neighbours = self.neighbours(asker);
                }
                Reply::News(news)
            }
            _ => Reply::Failed("only news are told here".to_owned()),
        }
    }
}

/// The network as one entry sees it.
pub struct Seat {
    pub network: Arc<Network>,
    pub own: SocketAddr,
    /// Whether the last question to a keeper failed.
    pub cut_off: AtomicBool,
}

impl Seat {
    fn note(&self, peer: SocketAddr, failed: bool) {
        if self.network.keepers().contains(&peer) {
            self.cut_off.store(failed, Ordering::Relaxed);
        }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: &Request,
        time: Duration,
    ) -> Result<Reply, Unanswered> {
        let reply = tokio::time::timeout(time, async {
            tokio::time::sleep(WAY).await;
            match self.network.lost(peer) {
                None => Ok(self.network.answer(peer, request).await),
                Some(Loss::Silent) => std::future::pending().await,
                Some(Loss::Refused) => Err(gradedyke_peer::Error::Unreachable(peer)),
            }
        });
        let reply = reply.await;
        let reply = reply.unwrap_or(Err(gradedyke_peer::Error::TimedOut(peer, time)));
        Ok(reply?)
    }
}

#[async_trait]
impl Peers for Seat {
    fn own(&self) -> Option<SocketAddr> {
        Some(self.own)
    }

    fn cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Relaxed)
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        request: &Request,
        time: Duration,
    ) -> Result<Reply, Unanswered> {
        let reply = self.exchange(peer, request, time).await;
        // What was asked before a loss and answered after it does not arrive.
        let reply = match (reply, self.network.lost(peer)) {
            (Ok(_), Some(_)) => Err(gradedyke_peer::Error::Broken(peer).into()),
            (reply, _) => reply,
        };
        self.note(peer, reply.is_err());
        reply
    }
}
