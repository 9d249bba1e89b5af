//! Synchronization between replicas.
//!
//! Records are normally sent to all replicas by the process that serves the turn, so
//! a follower already has most of what another replica has. It therefore fetches only
//! keys, and then the records that are still missing after a short delay. A reply with records
//! ends with the record that makes it a full page, and the rest is requested again, so that the
//! size of replies does not depend on the size of the records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use gradedyke_peer::Client;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log;
use crate::message::{self, Keys, Reply, Request};
use crate::record::{Key, Record};
use crate::replica::Replica;
use crate::view::DiskId;

/// Timeout of a call. Must exceed `KEYS_WAIT_TIMEOUT` in `replica`.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before missing records are fetched. Most arrive from their writer within it.
const FETCH_DELAY: Duration = Duration::from_millis(150);
/// Interval at which a spare or a recovering replica checks whether the members are
/// reachable.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of records requested in one call. Usual ones take half a megabyte, so that the
/// size of a page limits only large ones.
const MAX_RECORDS_PER_CALL: usize = 256;
/// Delay before a call is repeated whose reply was too large to be sent. Repeating it does not
/// help before the record has expired.
const TOO_LARGE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time without contact after which all keys are compared again. Meanwhile this replica may have
/// removed records whose retention was extended at the other one. Less than the margin by which
/// records are retained for longer than asked for.
const RESYNC_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which turns are fetched that are continued but missing here.
const MISSING_TURNS_INTERVAL: Duration = Duration::from_secs(2);

/// How far a replica has synced from another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// The view version of the other replica when this one last had all of its records;
    /// `None` if it never had.
    pub synced_version: Option<u64>,
    /// Since when the other replica has been unreachable, if it is.
    pub unreachable_since: Option<Instant>,
}

/// Why records were not synced.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] gradedyke_peer::Error),
    /// The other replica failed to answer.
    #[error("the replica failed: {0}")]
    Failed(String),
    /// The other replica is starting or overloaded, or its reply cannot be decoded.
    #[error("the replica is not ready; retry soon, or run the same version on all instances")]
    NotReady,
    /// The records could not be stored on the own disk.
    #[error(transparent)]
    NotStored(#[from] log::Error),
}

impl Error {
    /// Whether the other replica cannot serve its records. It can if only a reply is too large, or
    /// if the own disk fails.
    fn is_replica_lost(&self) -> bool {
        match self {
            Error::Call(error) => !error.is_too_large(),
            Error::Failed(_) | Error::NotReady => true,
            Error::NotStored(_) => false,
        }
    }
}

/// Syncs records from another replica and monitors whether it is reachable.
pub struct Follower {
    replica: Arc<Replica>,
    client: Client,
    peer_disk: DiskId,
    progress: watch::Sender<Progress>,
}

impl Follower {
    /// Creates a follower of the replica on `peer_disk` at `address`, which reports to
    /// `progress`.
    pub fn new(
        replica: Arc<Replica>,
        peer_disk: DiskId,
        address: SocketAddr,
        progress: watch::Sender<Progress>,
    ) -> Self {
        Self {
            replica,
            client: Client::new(address),
            peer_disk,
            progress,
        }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = self.follow() => {}
            () = stop.cancelled() => {}
        }
    }

    /// Fetches pages of keys, or only pings, until it is dropped.
    async fn follow(&self) {
        let (mut boot, mut from) = (0, 0);
        // When the last page was received, and when missing turns were last fetched.
        let (mut last_page, mut last_fetch) = (Instant::now(), Instant::now());
        loop {
            if !self.is_member() || !self.replica.is_recovered() {
                self.ping().await;
                continue;
            }
            let silence = last_page.elapsed();
            if silence > RESYNC_TIMEOUT && from > 0 {
                tracing::info!(
                    event = "replica_compared_again",
                    disk = self.peer_disk,
                    silent_ms = silence.as_millis()
                );
                from = 0;
            }
            match self.sync_page(boot, from).await {
                Ok(keys) => {
                    self.update_progress(&keys);
                    (boot, from) = (keys.boot, keys.next);
                    if last_fetch.elapsed() >= MISSING_TURNS_INTERVAL {
                        last_fetch = Instant::now();
                        self.fetch_missing_turns().await;
                    }
                    last_page = Instant::now();
                }
                Err(error) => {
                    let delay = self.record_failure(&error);
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    /// Records a failure to sync. Returns the delay before the next try.
    fn record_failure(&self, error: &Error) -> Duration {
        if error.is_replica_lost() {
            self.mark_unreachable(error);
            return RETRY_DELAY;
        }
        self.mark_reachable();
        tracing::error!(
            event = "records_not_copied",
            disk = self.peer_disk,
            %error,
            remedy = "copies are missing on this disk; report this"
        );
        TOO_LARGE_RETRY_DELAY
    }

    /// Only checks whether the other replica is reachable. A spare needs no records, and
    /// a replica that is still reading its disk would fetch records that it has.
    async fn ping(&self) {
        match self.call(&Request::Hello).await {
            Ok(_) => self.mark_reachable(),
            Err(error) => self.mark_unreachable(&error),
        }
        tokio::time::sleep(PING_INTERVAL).await;
    }

    fn update_progress(&self, keys: &Keys) {
        self.mark_reachable();
        if keys.all {
            self.progress.send_modify(|progress| {
                progress.synced_version = progress.synced_version.max(Some(keys.view));
            });
        }
    }

    fn mark_reachable(&self) {
        self.progress.send_modify(|progress| {
            if progress.unreachable_since.take().is_some() {
                tracing::info!(event = "replica_regained", disk = self.peer_disk);
            }
        });
    }

    fn mark_unreachable(&self, error: &Error) {
        self.progress.send_modify(|progress| {
            if progress.unreachable_since.is_none() {
                tracing::warn!(event = "replica_lost", disk = self.peer_disk,
                    address = %self.client.address(), %error);
                progress.unreachable_since = Some(Instant::now());
            }
        });
    }

    /// Fetches a page of keys and the records of those that are missing here.
    async fn sync_page(&self, boot: u64, from: u64) -> Result<Keys, Error> {
        let disk = self.replica.disk();
        let reply = self.call(&Request::Keys { disk, boot, from }).await?;
        let Reply::Keys(keys) = reply else {
            return Err(failure(reply));
        };
        let mut not_on_disk = self.not_on_disk(&keys.keys);
        if !not_on_disk.is_empty() && self.is_active() {
            tokio::time::sleep(FETCH_DELAY).await;
            not_on_disk = self.not_on_disk(&not_on_disk);
        }
        if not_on_disk.is_empty() {
            return Ok(keys);
        }
        let _guard = self.replica.lock_fetch().await;
        // Some may have been fetched from another replica in the meantime.
        let not_on_disk = self.not_on_disk(&not_on_disk);
        for chunk in not_on_disk.chunks(MAX_RECORDS_PER_CALL) {
            self.fetch(chunk.to_vec()).await?;
        }
        Ok(keys)
    }

    /// Fetches turns that are continued here but missing. They expired here while the other replica
    /// knew that they were needed.
    async fn fetch_missing_turns(&self) {
        let missing = self.replica.index().missing_turns(MAX_RECORDS_PER_CALL);
        if missing.is_empty() {
            return;
        }
        let _guard = self.replica.lock_fetch().await;
        let missing = self.not_on_disk(&missing);
        if let Err(error) = self.fetch(missing).await {
            tracing::debug!(event = "missing_turns_not_fetched", disk = self.peer_disk, %error);
        }
    }

    /// Returns those of `keys` whose records aren't on disk here.
    fn not_on_disk(&self, keys: &[Key]) -> Vec<Key> {
        let index = self.replica.index();
        keys.iter()
            .filter(|k| !index.is_stored(k))
            .cloned()
            .collect()
    }

    /// Whether this replica is in the view.
    fn is_member(&self) -> bool {
        let view = self.replica.view();
        let view = view.borrow();
        view.find(self.replica.disk()).is_some()
    }

    /// Whether this replica is active and so needn't catch up as fast as possible.
    fn is_active(&self) -> bool {
        let view = self.replica.view();
        let view = view.borrow();
        view.find(self.replica.disk()).is_some_and(|m| m.active)
    }

    /// Fetches and stores those of the records of `keys` that the other replica still has, a page
    /// at a time.
    async fn fetch(&self, mut keys: Vec<Key>) -> Result<(), Error> {
        while !keys.is_empty() {
            let records = self.fetch_page(&keys).await?;
            let results = join_all(records.iter().map(|r| self.replica.store(r))).await;
            results.into_iter().collect::<Result<Vec<()>, _>>()?;
            let remaining = self.not_on_disk(&keys);
            // The others have expired there.
            if remaining.len() == keys.len() {
                break;
            }
            keys = remaining;
        }
        Ok(())
    }

    async fn fetch_page(&self, keys: &[Key]) -> Result<Vec<Record>, Error> {
        let reply = self.call(&Request::Records(keys.to_vec())).await?;
        let Reply::Records(records) = reply else {
            return Err(failure(reply));
        };
        let bytes: usize = records.iter().map(Record::body_bytes).sum();
        metrics::counter!("gradedyke_synced_bytes_total").increment(bytes as u64);
        tracing::info!(
            event = "records_fetched",
            disk = self.peer_disk,
            asked = keys.len(),
            found = records.len(),
            bytes
        );
        Ok(records)
    }

    async fn call(&self, request: &Request) -> Result<Reply, Error> {
        let reply = self
            .client
            .call(message::encode(request), CALL_TIMEOUT)
            .await;
        let reply = reply.inspect_err(|error| {
            tracing::debug!(event = "replica_call_failed", disk = self.peer_disk, %error);
        });
        message::decode(&reply?).ok_or(Error::NotReady)
    }
}

/// The error of a reply that does not answer the request.
fn failure(reply: Reply) -> Error {
    match reply {
        Reply::Failed(reason) => Error::Failed(reason),
        _ => Error::NotReady,
    }
}
