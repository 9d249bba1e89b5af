//! Follows another process's copy of the platform's key-value store, so that most
//! processes never call the store themselves.
//!
//! `policy` decides when a process reads the store itself.

mod policy;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::message::{self, Reply, Request};
use crate::mirror::{Cursor, Item, Mirror, Source, Update};
use crate::quorum::Coordinator;

pub use policy::{ENTRY_START_GRACE, KEEPER_START_GRACE, Policy, Standby};

/// How long a source may hold a request while it has no changes (long polling).
const LONG_POLL_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a call. It covers [`LONG_POLL_WAIT`] and the network round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay between selections of a source, and first delay before a failed age request is retried.
const SOURCE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a source with a stale copy is followed before sources are compared again.
const STALE_SOURCE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long to wait for a source with a fresh copy once one with a stale copy has
/// answered. Gives replicas that have just started time to list the store.
const FRESH_SOURCE_WAIT: Duration = Duration::from_millis(60);
/// Minimum time for which a source other than the preferred one is followed before sources are
/// compared again; the maximum is twice this. After a start only the keepers that read the store
/// have a fresh copy, and all processes would stay with them.
const MIN_RESELECT_DELAY: Duration = Duration::from_secs(2);
/// Delay between the first requests to successive sources.
const STAGGER_DELAY: Duration = Duration::from_millis(3);
/// Longest time for which a request is held that arrives within this time after the end of an
/// outage of the store: it may have been sent by a follower that got a reply just before.
const REGAINED_WAIT: Duration = Duration::from_millis(50);
/// Longest time for which a request of a follower is held, whatever it asks for.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(5);

/// Returns what changed in `mirror` after `cursor`, waiting up to `wait` for a change. If
/// nothing changed, the result still holds the age of the copy. It is returned at once when an
/// outage of the store ends, so that followers learn this without delay.
pub async fn long_poll(mirror: &Mirror, cursor: &Cursor, wait: Duration) -> Update {
    let received_at = Instant::now();
    let mut changed = mirror.subscribe();
    let mut regained = mirror.subscribe_regained();
    let update = mirror.update_since(cursor, received_at, received_at);
    if !update.items.is_empty() || update.listing {
        return update;
    }
    let change = changed.wait_for(|change| *change > cursor.change);
    let regained_at = *regained.borrow_and_update();
    let regained_lately = regained_at.is_some_and(|at| received_at < at + REGAINED_WAIT);
    let max_wait = if regained_lately {
        REGAINED_WAIT
    } else {
        MAX_LONG_POLL_WAIT
    };
    tokio::select! {
        _ = change => {}
        _ = regained.changed() => {}
        () = tokio::time::sleep(wait.min(max_wait)) => {}
    }
    mirror.update_since(cursor, received_at, Instant::now())
}

/// Returns the reply to [`Request::Age`]: how old the copy in `mirror` is.
pub fn age_reply(mirror: &Mirror, now: Instant) -> Reply {
    let age = mirror.age(now);
    Reply::Age(age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)))
}

/// Calls to the other processes of the deployment.
#[async_trait]
pub trait Peers: Send + Sync {
    /// The address where this process forwards requests of other entries, if it does.
    fn forwarding_address(&self) -> Option<SocketAddr>;

    /// Whether no replica could be reached at the last try.
    fn is_isolated(&self) -> bool;

    /// Sends `request` to the process at `peer` and waits for its reply for at most
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error`] when the call fails or the reply cannot be decoded.
    async fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error>;
}

/// Failure of a call to another process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] gradedyke_peer::Error),
    /// The reply cannot be decoded.
    #[error("the reply cannot be decoded; run the same version on all instances")]
    InvalidReply,
}

#[async_trait]
impl Peers for Coordinator {
    fn forwarding_address(&self) -> Option<SocketAddr> {
        Coordinator::forwarding_address(self)
    }

    fn is_isolated(&self) -> bool {
        Coordinator::is_isolated(self)
    }

    async fn call(
        &self,
        peer: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let client = self.client(peer);
        let reply = client.call(message::encode(request), timeout).await?;
        message::decode(&reply).ok_or(Error::InvalidReply)
    }
}

/// Keeps `mirror` up to date by following one source at a time until `stop`. `sources`
/// lists the candidates, the preferred one first.
pub async fn run(
    mirror: Arc<Mirror>,
    peers: Arc<dyn Peers>,
    policy: Arc<Policy>,
    sources: impl Fn() -> Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let mut progress_by_source = SourceProgressMap::new();
    let mut previous = None;
    loop {
        let candidates = sources();
        let neighbours = neighbours(&mirror, &*peers, &policy, Instant::now());
        if let Some(source) = select_source(&*peers, &policy, &candidates, &neighbours).await {
            let others = progress_by_source
                .iter_mut()
                .filter(|(other, _)| **other != source);
            others.for_each(|(_, progress)| progress.discard_listing());
            let progress = progress_by_source.entry(source).or_default();
            let mut session = Session {
                source,
                progress,
                is_source_logged: previous == Some(source),
                is_neighbour: neighbours.contains(&source),
                reselect_at: reselect_at(&candidates, source, Instant::now()),
            };
            previous = Some(source);
            tokio::select! {
                reason = follow(&mirror, &*peers, &policy, &mut session) => match reason {
                    EndReason::Reselect => {}
                    reason => tracing::info!(event = "feed_left", %source, why = reason.name()),
                },
                () = stop.cancelled() => return,
            }
        }
        tokio::select! {
            () = tokio::time::sleep(SOURCE_RETRY_DELAY) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Neighbours are other running entries. Returns those to follow if no replica can be reached
/// directly or none has a fresh copy, and otherwise none. Turns continue through forwarded requests
/// if no replica can be reached, but API keys are accepted only if recently confirmed, so the copy
/// has to stay fresh.
fn neighbours(
    mirror: &Mirror,
    peers: &dyn Peers,
    policy: &Policy,
    now: Instant,
) -> Vec<SocketAddr> {
    let is_needed = peers.is_isolated() || policy.is_without_fresh_replica(now);
    let Some(own) = peers.forwarding_address().filter(|_| is_needed) else {
        return Vec::new();
    };
    let mut neighbours = mirror.neighbours();
    neighbours.retain(|n| *n != own);
    neighbours
}

/// The progress in each source, by its address.
type SourceProgressMap = HashMap<SocketAddr, SourceProgress>;

/// How far this process has followed a source.
#[derive(Default)]
struct SourceProgress {
    cursor: Cursor,
    /// Items of an incomplete listing, which continues when the source answers again.
    partial_listing: Vec<Item>,
}

/// The source that is followed, and the state that belongs to it.
struct Session<'a> {
    source: SocketAddr,
    progress: &'a mut SourceProgress,
    /// Whether the source is another entry, which follows other processes itself.
    is_neighbour: bool,
    /// Whether `feed_joined` has been logged for the source.
    is_source_logged: bool,
    /// When to compare sources again; `None` for the preferred one.
    reselect_at: Option<Instant>,
}

/// Why a source is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    NoReply,
    InvalidReply,
    Stale,
    Reselect,
}

impl EndReason {
    fn name(self) -> &'static str {
        match self {
            EndReason::NoReply => "no answer",
            EndReason::InvalidReply => "not understood",
            EndReason::Stale => "its copy is old",
            EndReason::Reselect => "another is preferred",
        }
    }
}

/// Returns when to compare sources again, unless `source` is the preferred one of
/// `candidates`.
fn reselect_at(candidates: &[SocketAddr], source: SocketAddr, now: Instant) -> Option<Instant> {
    let is_preferred = candidates.first() == Some(&source);
    let wait = MIN_RESELECT_DELAY.mul_f64(1.0 + rand::random::<f64>());
    (!is_preferred).then(|| now + wait)
}

/// Returns the first source that answers with a fresh copy, or else the first that
/// answers at all. All are asked concurrently, in order of preference and slightly
/// staggered, and each is retried on its own, so that one that does not answer delays
/// no other.
///
/// A process of `neighbours` is returned only if its copy is fresh.
async fn select_source(
    peers: &dyn Peers,
    policy: &Policy,
    candidates: &[SocketAddr],
    neighbours: &[SocketAddr],
) -> Option<SocketAddr> {
    let mut requests = FuturesUnordered::new();
    for (rank, source) in candidates.iter().chain(neighbours).enumerate() {
        let delay = STAGGER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        requests.push(async move {
            tokio::time::sleep(delay).await;
            (*source, fetch_age(peers, *source).await)
        });
    }
    let mut deadline = Instant::now() + CALL_TIMEOUT;
    let mut stale = None;
    while let Ok(Some((source, age))) = tokio::time::timeout_at(deadline, requests.next()).await {
        if policy.is_fresh(age) {
            return Some(source);
        }
        if neighbours.contains(&source) {
            continue;
        }
        if stale.is_none() {
            deadline = deadline.min(Instant::now() + FRESH_SOURCE_WAIT);
        }
        stale.get_or_insert(source);
    }
    stale
}

/// Asks a source for the age of its copy, with exponential backoff, until it answers;
/// `None` for a copy that the store never confirmed.
async fn fetch_age(peers: &dyn Peers, source: SocketAddr) -> Option<Duration> {
    let mut wait = SOURCE_RETRY_DELAY;
    loop {
        let reply = peers.call(source, &Request::Age, CALL_TIMEOUT).await;
        if let Ok(Reply::Age(age)) = reply {
            return age.map(Duration::from_millis);
        }
        tokio::time::sleep(wait).await;
        wait *= 2;
    }
}

/// Follows one source until a call fails, its copy has been stale for
/// [`STALE_SOURCE_TIMEOUT`], or sources have to be compared again.
async fn follow(
    mirror: &Mirror,
    peers: &dyn Peers,
    policy: &Policy,
    session: &mut Session<'_>,
) -> EndReason {
    let source = session.source;
    // The source may have learned of the end of an outage before this request, so the first one
    // is answered at once.
    let mut wait_ms = 0;
    let started = Instant::now();
    loop {
        let cursor = Cursor {
            complete_revision: mirror.complete_revision(),
            ..session.progress.cursor
        };
        let request = Request::Follow {
            cursor,
            wait_ms,
            address: peers.forwarding_address(),
        };
        wait_ms = u32::try_from(LONG_POLL_WAIT.as_millis()).unwrap_or(u32::MAX);
        let sent = Instant::now();
        let update = match peers.call(source, &request, CALL_TIMEOUT).await {
            Ok(Reply::News(update)) => update,
            Ok(_) | Err(Error::InvalidReply) => return EndReason::InvalidReply,
            Err(Error::Failed(_)) => return EndReason::NoReply,
        };
        let items = match update.items.decode() {
            Ok(items) => items,
            Err(error) => {
                tracing::warn!(event = "news_not_read", %source, %error);
                return EndReason::InvalidReply;
            }
        };
        let age = update.age_ms.map(Duration::from_millis);
        let is_fresh = policy.is_fresh(age);
        let now = Instant::now();
        // A neighbour may itself follow this process, so its updates do not show
        // that replicas send fresh ones.
        if !session.is_neighbour {
            policy.record_update(is_fresh, now);
        }
        let Some(items) = session.progress.advance(&update, items) else {
            continue;
        };
        mirror.apply_update(update, items, sent, now);
        mirror.record_source(Source::Peer(source), now);
        if !std::mem::replace(&mut session.is_source_logged, true) {
            tracing::info!(
                event = "feed_joined",
                %source,
                neighbour = session.is_neighbour,
                age = ?age
            );
        }
        if !is_fresh && now - started > STALE_SOURCE_TIMEOUT {
            return EndReason::Stale;
        }
        if session.reselect_at.is_some_and(|at| now >= at) {
            return EndReason::Reselect;
        }
    }
}

impl SourceProgress {
    /// Discards an incomplete listing to free its memory.
    fn discard_listing(&mut self) {
        if self.cursor.listing {
            *self = Self::default();
        }
    }

    /// Moves the cursor past `update`, which holds `items`. Returns the items that can be
    /// applied: changes, or a complete listing with its last page.
    fn advance(&mut self, update: &Update, mut items: Vec<Item>) -> Option<Vec<Item>> {
        if update.boot != self.cursor.boot || !update.listing {
            self.partial_listing.clear();
        }
        self.cursor.boot = update.boot;
        self.cursor.change = update.next;
        self.cursor.listing = update.listing && update.more;
        if !update.listing {
            return Some(items);
        }
        self.partial_listing.append(&mut items);
        (!update.more).then(|| std::mem::take(&mut self.partial_listing))
    }
}
