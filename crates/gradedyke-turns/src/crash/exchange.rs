//! Exchange of reports between processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gradedyke_peer::Client;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{Registry, Report};
use crate::feed::{self, Peers};
use crate::message::{self, Reply, Request};

/// How long a process holds a request while it has no changes (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// Longest time for which a request is held, whatever it asks for.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// Time that a call may take beyond the time for which it is held.
const CALL_MARGIN: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after a reply that is not understood, as from a process of an earlier version.
const UNSUPPORTED_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Interval between checks which processes are to be followed, while there are none.
const START_INTERVAL: Duration = Duration::from_millis(20);
/// The same once there are some.
const SOURCES_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of reports in a message, some 100 bytes each.
const MAX_PAGE_REPORTS: usize = 1_024;

/// A position in the changes of another process's registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Random ID of that process's incarnation.
    pub boot: u64,
    /// Sequence number of the last change received from it.
    pub change: u64,
}

/// Reports to a process, and a request for those that it has.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's reports.
    pub reports: Vec<Report>,
    /// The sender's position in the receiver's registry; `None` if it asks for nothing.
    pub cursor: Option<Cursor>,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u32,
}

/// The changes of a registry after a [`Cursor`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Update {
    /// The position to continue from.
    pub next: Cursor,
    /// The changed requests.
    pub reports: Vec<Report>,
}

/// Merges the reports of another process and returns what it asks for, waiting for a change if
/// there is none.
pub async fn answer(registry: &Registry, exchange: Exchange) -> Update {
    let now = Instant::now();
    registry.merge(&exchange.reports, now);
    let boot = registry.boot();
    let Some(cursor) = exchange.cursor else {
        return Update::default();
    };
    let after = if cursor.boot == boot {
        cursor.change
    } else {
        0
    };
    let wait = Duration::from_millis(exchange.wait_ms.into()).min(MAX_LONG_POLL_WAIT);
    let mut changed = registry.subscribe();
    // The result shows that the wait is over, with or without a change.
    let _ = tokio::time::timeout(wait, changed.wait_for(|change| *change > after)).await;
    let (reports, change) = registry.changed_since(after, MAX_PAGE_REPORTS, Instant::now());
    Update {
        next: Cursor { boot, change },
        reports,
    }
}

async fn call(client: &Client, exchange: Exchange) -> Result<Update, feed::Error> {
    let request = message::encode(&Request::Crashes(exchange));
    let reply = client.call(request, CALL_MARGIN).await?;
    match message::decode(&reply) {
        Some(Reply::Crashes(update)) => Ok(update),
        _ => Err(feed::Error::InvalidReply),
    }
}

/// Sends reports to a process.
///
/// # Errors
///
/// [`feed::Error`] if the process cannot be reached or doesn't understand the request.
pub async fn send(client: &Client, reports: Vec<Report>) -> Result<(), feed::Error> {
    let exchange = Exchange {
        reports,
        ..Exchange::default()
    };
    call(client, exchange).await.map(|_| ())
}

/// Adds all reports of a process to `registry`.
///
/// # Errors
///
/// [`feed::Error`] if the process cannot be reached or doesn't understand the request.
pub async fn fetch(client: &Client, registry: &Registry) -> Result<(), feed::Error> {
    let mut cursor = Cursor::default();
    loop {
        let exchange = Exchange {
            cursor: Some(cursor),
            ..Exchange::default()
        };
        let update = call(client, exchange).await?;
        if update.reports.is_empty() {
            return Ok(());
        }
        registry.merge(&update.reports, Instant::now());
        cursor = update.next;
    }
}

/// Keeps `registry` up to date with those of the processes that `sources` lists, until `stop`.
/// All are followed at the same time, so that the loss of one delays no report.
pub async fn follow(
    registry: Arc<Registry>,
    peers: Arc<dyn Peers>,
    sources: impl Fn() -> Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let mut followed: HashMap<SocketAddr, DropGuard> = HashMap::new();
    let start = Arc::new(Start::default());
    loop {
        let current = sources();
        start.needed.store(current.len() / 2 + 1, Ordering::Relaxed);
        followed.retain(|source, _| current.contains(source));
        for source in current {
            followed.entry(source).or_insert_with(|| {
                let token = stop.child_token();
                let (registry, peers, start) = (registry.clone(), peers.clone(), start.clone());
                let following = token.clone();
                tokio::spawn(async move {
                    let follow = follow_one(&registry, &*peers, source, &start);
                    following.run_until_cancelled(follow).await;
                });
                token.drop_guard()
            });
        }
        let interval = if followed.is_empty() {
            START_INTERVAL
        } else {
            SOURCES_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// How many processes have told what they know since the start. A report is on the disks of a
/// majority, so a majority has to tell.
#[derive(Default)]
struct Start {
    told: AtomicUsize,
    needed: AtomicUsize,
}

impl Start {
    /// Records the first reply of a process.
    fn record(&self, registry: &Registry) {
        let told = self.told.fetch_add(1, Ordering::Relaxed) + 1;
        if told >= self.needed.load(Ordering::Relaxed) {
            registry.set_synced();
        }
    }
}

/// Follows the registry of one process, and tells it what it may have lost with a restart.
async fn follow_one(registry: &Registry, peers: &dyn Peers, source: SocketAddr, start: &Start) {
    let mut has_told = false;
    let mut cursor = Cursor::default();
    let mut reports = Vec::new();
    // The first reply tells whether the process has restarted, and is therefore not waited for.
    let mut wait = Duration::ZERO;
    loop {
        let exchange = Exchange {
            reports: std::mem::take(&mut reports),
            cursor: Some(cursor),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let request = Request::Crashes(exchange);
        let update = match peers.call(source, &request, wait + CALL_MARGIN).await {
            Ok(Reply::Crashes(update)) => update,
            Ok(_) => {
                if !std::mem::replace(&mut has_told, true) {
                    start.record(registry);
                }
                tokio::time::sleep(UNSUPPORTED_RETRY_DELAY).await;
                continue;
            }
            Err(_) => {
                (cursor, wait) = (Cursor::default(), Duration::ZERO);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let now = Instant::now();
        registry.merge(&update.reports, now);
        if update.next.boot != cursor.boot {
            (reports, _) = registry.changed_since(0, MAX_PAGE_REPORTS, now);
        }
        cursor = update.next;
        if !std::mem::replace(&mut has_told, true) {
            start.record(registry);
        }
        wait = if reports.is_empty() {
            LONG_POLL_WAIT
        } else {
            Duration::ZERO
        };
    }
}
