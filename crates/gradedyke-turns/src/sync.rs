//! Replicas bring each other up to date.
//!
//! Whoever serves a turn sends its records to all replicas, so a replica that
//! follows another mostly learns of keys that it has. It asks for keys only,
//! and for the records of those that are still missing a moment later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use gradedyke_peer::Client;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::message::{self, Keys, Reply, Request};
use crate::record::Key;
use crate::replica::Replica;
use crate::view::Disk;

/// Longest time for a call: above the longest wait for keys.
const CALL: Duration = Duration::from_millis(1_200);
/// Wait after a failed call.
const RETRY: Duration = Duration::from_millis(100);
/// Wait before missing records are asked for, in which most arrive by
/// themselves.
const SPARE: Duration = Duration::from_millis(150);
/// How often a spare looks whether the members are there.
const GREET: Duration = Duration::from_millis(400);
/// Records asked for in one call: half a megabyte of them, which a connection of
/// 130 Mbit/s carries in 32 ms.
const RECORDS: usize = 256;

/// How far one replica has followed another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// The version of the other's view when all that it had was last taken in;
    /// `None` before that.
    pub level: Option<u64>,
    /// Since when the other does not answer.
    pub lost: Option<Instant>,
}

/// Another replica that is followed.
pub struct Follower {
    replica: Arc<Replica>,
    client: Client,
    other: Disk,
    progress: watch::Sender<Progress>,
}

impl Follower {
    /// Follows the replica on `other` at `address`.
    pub fn new(
        replica: Arc<Replica>,
        other: Disk,
        address: SocketAddr,
        progress: watch::Sender<Progress>,
    ) -> Self {
        Self {
            replica,
            client: Client::new(address),
            other,
            progress,
        }
    }

    /// Follows until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.rounds() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn rounds(&self) {
        let (mut boot, mut from) = (0, 0);
        loop {
            if !self.member() || !self.replica.recovered() {
                self.greet().await;
                continue;
            }
            match self.round(boot, from).await {
                Some(keys) => {
                    self.heard(&keys);
                    (boot, from) = (keys.boot, keys.next);
                }
                None => {
                    self.lost();
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Looks whether the other is there, and no more: a spare needs no records, and
    /// one that reads its disk still would take all of that for missing.
    async fn greet(&self) {
        match self.call(&Request::Hello).await {
            Some(_) => self.regained(),
            None => self.lost(),
        }
        tokio::time::sleep(GREET).await;
    }

    fn heard(&self, keys: &Keys) {
        self.regained();
        if keys.all {
            self.progress.send_modify(|progress| {
                progress.level = progress.level.max(Some(keys.view));
            });
        }
    }

    fn regained(&self) {
        self.progress.send_modify(|progress| {
            if progress.lost.take().is_some() {
                tracing::info!(event = "replica_regained", disk = self.other);
            }
        });
    }

    fn lost(&self) {
        self.progress.send_modify(|progress| {
            if progress.lost.is_none() {
                tracing::warn!(event = "replica_lost", disk = self.other,
                    address = %self.client.address());
                progress.lost = Some(Instant::now());
            }
        });
    }

    /// Takes in one page of keys with their records.
    async fn round(&self, boot: u64, from: u64) -> Option<Keys> {
        let disk = self.replica.disk();
        let Reply::Keys(keys) = self.call(&Request::Keys { disk, boot, from }).await? else {
            return None;
        };
        let mut missing = self.missing(&keys.keys);
        if !missing.is_empty() && self.active() {
            tokio::time::sleep(SPARE).await;
            missing = self.missing(&missing);
        }
        if missing.is_empty() {
            return Some(keys);
        }
        let _turn = self.replica.fetching().await;
        // Some were fetched from another meanwhile.
        let missing = self.missing(&missing);
        for part in missing.chunks(RECORDS) {
            self.fetch(part.to_vec()).await?;
        }
        Some(keys)
    }

    fn missing(&self, keys: &[Key]) -> Vec<Key> {
        let index = self.replica.index();
        keys.iter().filter(|k| !index.stored(k)).cloned().collect()
    }

    /// Whether this replica takes part.
    fn member(&self) -> bool {
        let view = self.replica.view();
        let view = view.borrow();
        view.find(self.replica.disk()).is_some()
    }

    /// Whether this replica counts already, so that there is no hurry.
    fn active(&self) -> bool {
        let view = self.replica.view();
        let view = view.borrow();
        view.find(self.replica.disk()).is_some_and(|m| m.active)
    }

    async fn fetch(&self, keys: Vec<Key>) -> Option<()> {
        let asked = keys.len();
        let Reply::Records(records) = self.call(&Request::Records(keys)).await? else {
            return None;
        };
        tracing::info!(
            event = "records_fetched",
            disk = self.other,
            asked,
            found = records.len()
        );
        let kept = join_all(records.iter().map(|r| self.replica.keep(r))).await;
        kept.into_iter().all(|k| k.is_ok()).then_some(())
    }

    async fn call(&self, request: &Request) -> Option<Reply> {
        let reply = self.client.call(message::encode(request), CALL).await;
        let reply = reply.inspect_err(|error| {
            tracing::debug!(event = "replica_call_failed", disk = self.other, %error);
        });
        message::decode(&reply.ok()?)
    }
}
