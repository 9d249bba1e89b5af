//! Takes the platform's news from a replica, so that most processes never call
//! the platform's service.
//!
//! `reader` tells which of them do, and when.

mod reader;

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
use crate::mirror::{Cursor, Item, Mirror, News};
use crate::quorum::Quorum;

pub use reader::{ENTRY_START, KEEPER_START, Reader, Standby};

/// How long a replica may wait for news before it answers without.
const WAIT: Duration = Duration::from_millis(300);
/// Longest time for a call: the wait and the way.
const CALL: Duration = Duration::from_millis(700);
/// Wait before a source that did not answer is asked again, or the next is tried.
const RETRY: Duration = Duration::from_millis(50);
/// How long a source is followed whose copy is old, before all are asked again
/// for a fresh one.
const OLD: Duration = Duration::from_millis(800);
/// How long a source with a fresh copy is waited for where one with an old copy has
/// answered: what a keeper takes to list the service after its start.
const FRESHER: Duration = Duration::from_millis(60);
/// How long a source that is not the preferred one is followed at least, and at most
/// twice that, before it is looked whether the preferred one is fresh by now. At a
/// start only those who read the service are, and all would stay with them.
const REVIEW: Duration = Duration::from_secs(2);
/// How much earlier a source is asked than the one after it.
const AHEAD: Duration = Duration::from_millis(3);
/// Longest wait for news, whatever is asked for.
const NEWS_WAIT: Duration = Duration::from_secs(5);

/// Tells what changed in `mirror` after `cursor`; waits up to `wait` for a change. Without
/// one the news still tell how old the copy is.
pub async fn tell(mirror: &Mirror, cursor: &Cursor, wait: Duration) -> News {
    let arrived = Instant::now();
    let mut changed = mirror.watch();
    let news = mirror.news(cursor, arrived, arrived);
    if !news.items.is_empty() || news.listing {
        return news;
    }
    let more = changed.wait_for(|change| *change > cursor.change);
    let _ = tokio::time::timeout(wait.min(NEWS_WAIT), more).await;
    mirror.news(cursor, arrived, Instant::now())
}

/// Tells how old the copy in `mirror` is.
pub fn tell_age(mirror: &Mirror, now: Instant) -> Reply {
    let age = mirror.age(now);
    Reply::Age(age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)))
}

/// The other processes, as a feed asks them.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Where this process passes requests of others on, if it does.
    fn own(&self) -> Option<SocketAddr>;

    /// Whether no keeper could be reached when that was last tried.
    fn cut_off(&self) -> bool;

    /// Asks the process at `peer`, and waits for its reply for at most `time`.
    ///
    /// # Errors
    ///
    /// What the connection failed with, or that the reply is not understood.
    async fn ask(
        &self,
        peer: SocketAddr,
        request: &Request,
        time: Duration,
    ) -> Result<Reply, Unanswered>;
}

/// Why a question to another process got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Unanswered {
    /// The call failed.
    #[error(transparent)]
    Failed(#[from] gradedyke_peer::Error),
    /// The reply is not understood.
    #[error("the reply is not understood; run the same version everywhere")]
    NotUnderstood,
}

#[async_trait]
impl Peers for Quorum {
    fn own(&self) -> Option<SocketAddr> {
        Quorum::own(self)
    }

    fn cut_off(&self) -> bool {
        Quorum::cut_off(self)
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        request: &Request,
        time: Duration,
    ) -> Result<Reply, Unanswered> {
        let client = self.client(peer);
        let reply = client.call(message::encode(request), time).await?;
        message::decode(&reply).ok_or(Unanswered::NotUnderstood)
    }
}

/// Follows one source after the other until `stop`. `sources` lists them, the
/// preferred one first.
pub async fn run(
    mirror: Arc<Mirror>,
    peers: Arc<dyn Peers>,
    reader: Arc<Reader>,
    sources: impl Fn() -> Vec<SocketAddr>,
    stop: CancellationToken,
) {
    let mut positions = Positions::new();
    let mut before = None;
    loop {
        let known = sources();
        let neighbours = neighbours(&mirror, &*peers);
        if let Some(source) = first(&*peers, &reader, &known, &neighbours).await {
            let others = positions.iter_mut().filter(|(other, _)| **other != source);
            others.for_each(|(_, position)| position.give_up());
            let position = positions.entry(source).or_default();
            let mut joined = Joined {
                source,
                position,
                told: before == Some(source),
                neighbour: neighbours.contains(&source),
                review: review(&known, source, Instant::now()),
            };
            before = Some(source);
            tokio::select! {
                why = follow(&mirror, &*peers, &reader, &mut joined) => match why {
                    Left::Review => {}
                    why => tracing::info!(event = "feed_left", %source, why = why.name()),
                },
                () = stop.cancelled() => return,
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Other entries that an entry takes news from when no keeper can be reached. Keys may
/// only be used while the platform's service confirms them, and detours keep turns going.
fn neighbours(mirror: &Mirror, peers: &dyn Peers) -> Vec<SocketAddr> {
    let Some(own) = peers.own().filter(|_| peers.cut_off()) else {
        return Vec::new();
    };
    let mut neighbours = mirror.neighbours();
    neighbours.retain(|n| *n != own);
    neighbours
}

/// How far each source has been followed.
type Positions = HashMap<SocketAddr, Position>;

/// How far a source has been followed.
#[derive(Default)]
struct Position {
    cursor: Cursor,
    /// The pages of a listing so far. It goes on from there when the source answers again.
    listed: Vec<Item>,
}

/// The source that is followed.
struct Joined<'a> {
    source: SocketAddr,
    position: &'a mut Position,
    /// Whether it is another entry, which has its news from elsewhere.
    neighbour: bool,
    /// Whether the log says so already.
    told: bool,
    /// When to look whether a preferred one is fresh by now.
    review: Option<Instant>,
}

/// Why a source is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    Silent,
    NotUnderstood,
    Old,
    Review,
}

impl Left {
    fn name(self) -> &'static str {
        match self {
            Left::Silent => "no answer",
            Left::NotUnderstood => "not understood",
            Left::Old => "its copy is old",
            Left::Review => "another is preferred",
        }
    }
}

/// When to look again for the preferred one of `known`, if `source` is another.
fn review(known: &[SocketAddr], source: SocketAddr, now: Instant) -> Option<Instant> {
    let preferred = known.first() == Some(&source);
    let wait = REVIEW.mul_f64(1.0 + rand::random::<f64>());
    (!preferred).then(|| now + wait)
}

/// The first source that has a fresh copy, or else any that answers. All are
/// asked at once, because one that does not answer costs more than the
/// questions; preferred ones have a start. Each is asked again by itself until it
/// answers: after a loss of everything half of the sources come up 0.1 s after
/// the others, and nobody is to wait for those.
///
/// One of `neighbours` is as good as a source while its copy is fresh; an old one comes
/// from the same keepers.
async fn first(
    peers: &dyn Peers,
    reader: &Reader,
    sources: &[SocketAddr],
    neighbours: &[SocketAddr],
) -> Option<SocketAddr> {
    let mut asked = FuturesUnordered::new();
    for (place, source) in sources.iter().chain(neighbours).enumerate() {
        let start = AHEAD * u32::try_from(place).unwrap_or(u32::MAX);
        asked.push(async move {
            tokio::time::sleep(start).await;
            (*source, age(peers, *source).await)
        });
    }
    let mut until = Instant::now() + CALL;
    let mut old = None;
    while let Ok(Some((source, age))) = tokio::time::timeout_at(until, asked.next()).await {
        if reader.fresh(age) {
            return Some(source);
        }
        if neighbours.contains(&source) {
            continue;
        }
        if old.is_none() {
            until = until.min(Instant::now() + FRESHER);
        }
        old.get_or_insert(source);
    }
    old
}

/// The age of a source's copy, asked until it answers; `None` for a copy that the
/// service never confirmed. Waits grow: one that resets each connection is not to
/// be met hundreds of times a second by all others together.
async fn age(peers: &dyn Peers, source: SocketAddr) -> Option<Duration> {
    let mut wait = RETRY;
    loop {
        let reply = peers.ask(source, &Request::Age, CALL).await;
        if let Ok(Reply::Age(age)) = reply {
            return age.map(Duration::from_millis);
        }
        tokio::time::sleep(wait).await;
        wait *= 2;
    }
}

/// Follows one source until it fails, for a while if its copy is old, or until it is
/// time to look for a preferred one.
async fn follow(
    mirror: &Mirror,
    peers: &dyn Peers,
    reader: &Reader,
    joined: &mut Joined<'_>,
) -> Left {
    let source = joined.source;
    let wait_ms = u32::try_from(WAIT.as_millis()).unwrap_or(u32::MAX);
    let since = Instant::now();
    loop {
        let cursor = Cursor {
            through: mirror.through(),
            ..joined.position.cursor
        };
        let request = Request::Follow {
            cursor,
            wait_ms,
            address: peers.own(),
        };
        let asked = Instant::now();
        let news = match peers.ask(source, &request, CALL).await {
            Ok(Reply::News(news)) => news,
            Ok(_) | Err(Unanswered::NotUnderstood) => return Left::NotUnderstood,
            Err(Unanswered::Failed(_)) => return Left::Silent,
        };
        let items = match news.items.unpack() {
            Ok(items) => items,
            Err(error) => {
                tracing::warn!(event = "news_not_read", %source, %error);
                return Left::NotUnderstood;
            }
        };
        let age = news.age_ms.map(Duration::from_millis);
        let fresh = reader.fresh(age);
        let now = Instant::now();
        // Another entry may have its news from here.
        if !joined.neighbour {
            reader.heard(fresh, now);
        }
        let Some(items) = joined.position.gather(&news, items) else {
            continue;
        };
        mirror.learn(news, items, asked, now);
        if !std::mem::replace(&mut joined.told, true) {
            tracing::info!(event = "feed_joined", %source, neighbour = joined.neighbour, age = ?age);
        }
        if !fresh && now - since > OLD {
            return Left::Old;
        }
        if joined.review.is_some_and(|at| now >= at) {
            return Left::Review;
        }
    }
}

impl Position {
    /// Forgets a listing that was begun, which takes the memory of all that is listed.
    fn give_up(&mut self) {
        if self.cursor.listing {
            *self = Self::default();
        }
    }

    /// Takes in how far `news` go, which bring `items`. Returns what may be taken in:
    /// changes, or a whole listing at its last page.
    fn gather(&mut self, news: &News, mut items: Vec<Item>) -> Option<Vec<Item>> {
        if news.boot != self.cursor.boot || !news.listing {
            self.listed.clear();
        }
        self.cursor.boot = news.boot;
        self.cursor.change = news.next;
        self.cursor.listing = news.listing && news.more;
        if !news.listing {
            return Some(items);
        }
        self.listed.append(&mut items);
        (!news.more).then(|| std::mem::take(&mut self.listed))
    }
}
