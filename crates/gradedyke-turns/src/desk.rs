//! What other processes meet: lets requests in, and answers those that need no
//! records at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::Handler;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backlog::Backlog;
use crate::feed;
use crate::message::{self, Begin, Reply, Request};
use crate::mirror::Mirror;
use crate::pressure::{Gauge, Pressure};
use crate::replica::Replica;
use crate::tally::{Kind, Tally};

/// Time after which a replica that reads its disk still says so: a third of what
/// an entry gives replicas that are there.
const STARTING: Duration = Duration::from_millis(100);
/// Attempts that are begun at a time, for the memory that they hold. Whether one is done
/// in time is for the backlog's bound on their age to see to: so many take 320 ms at 600 a
/// second, and whoever asks waits 300.
const BEGINS: usize = 192;
/// The same of all other requests for records. They end work that has been done,
/// and are waited for longer (2 s), so they have room when no more is begun.
const OTHERS: usize = 768;

/// Counts a request as being answered until it is dropped.
struct Active<'a>(&'a AtomicUsize);

impl<'a> Active<'a> {
    /// Counts one, unless `most` are being answered already.
    fn take(count: &'a AtomicUsize, most: usize) -> Option<Self> {
        let taken = count.fetch_add(1, Ordering::Relaxed);
        let active = Self(count);
        (taken < most).then_some(active)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What answers other processes. News are told from the first moment on; what
/// concerns records waits until the replica has read its disk.
pub struct Desk {
    mirror: Arc<Mirror>,
    replica: watch::Receiver<Option<Arc<Replica>>>,
    begins: AtomicUsize,
    others: AtomicUsize,
    backlog: Backlog,
    gauge: Mutex<Gauge>,
    tally: Mutex<Tally>,
}

impl Desk {
    /// A desk that tells what is in `mirror`, and asks `replica` once it is there.
    pub fn new(mirror: Arc<Mirror>, replica: watch::Receiver<Option<Arc<Replica>>>) -> Self {
        Self {
            mirror,
            replica,
            begins: AtomicUsize::new(0),
            others: AtomicUsize::new(0),
            backlog: Backlog::default(),
            gauge: Mutex::default(),
            tally: Mutex::new(Tally::new(Instant::now())),
        }
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that lay `unread`, and tells of the second before if the
    /// replica fell behind in it.
    fn count(&self, request: &Request, unread: Duration, now: Instant) {
        let kind = Kind::of(request);
        metrics::counter!("gradedyke_asked_total", "kind" => kind.name()).increment(1);
        let span = {
            let mut tally = self.tally();
            let span = tally.over(now);
            tally.count(kind, unread);
            span
        };
        let Some(span) = span else { return };
        tracing::warn!(
            event = "falls_behind",
            begins = span.begins,
            keeps = span.keeps,
            reads = span.reads,
            refused = span.refused,
            unread_ms = span.unread.as_millis(),
            took_ms = span.took.as_millis()
        );
    }

    /// Lets a request in that lay `unread`, if there is room for it. One that its asker
    /// does not wait for any more is not done in vain. In a model where 1.6 times as much is
    /// asked as replicas can do, 66 in 100 programs end whole with this, the backlog's bound
    /// and entries that let fewer programs begin, and 7 without; of the long ones 66 and 2.
    fn admit(&self, request: &Request, unread: Duration) -> Option<Active<'_>> {
        match request {
            Request::Begin(begin) if unread.as_millis() > u128::from(begin.patience_ms) => None,
            Request::Begin(_) => Active::take(&self.begins, BEGINS),
            _ => Active::take(&self.others, OTHERS),
        }
    }

    async fn answer(&self, request: Request, unread: Duration) -> Reply {
        if let Request::Follow {
            cursor,
            wait_ms,
            address,
        } = request
        {
            if let Some(replica) = &*self.replica.borrow() {
                replica.board().note(address, Instant::now());
            }
            let wait = Duration::from_millis(wait_ms.into());
            let mut news = feed::tell(&self.mirror, &cursor, wait).await;
            if let Some(replica) = &*self.replica.borrow() {
                news.neighbours = replica.board().neighbours(Instant::now());
            }
            return Reply::News(news);
        }
        if matches!(request, Request::Age) {
            return feed::tell_age(&self.mirror, Instant::now());
        }
        let begins = matches!(request, Request::Begin(_));
        let Some(_active) = self.admit(&request, unread) else {
            return self.refuse(begins);
        };
        let mut replica = self.replica.clone();
        let ready = replica.wait_for(Option::is_some);
        let Ok(ready) = tokio::time::timeout(STARTING, ready).await else {
            return Reply::Starting;
        };
        let ready = ready.ok().and_then(|r| r.clone());
        match ready {
            Some(replica) => self.serve(&replica, request).await,
            None => Reply::Failed("the replica did not start; see its log".to_owned()),
        }
    }

    /// Notes an attempt, and whether it was refused. Returns how the replica keeps up.
    fn gauge(&self, refused: bool) -> Pressure {
        let now = Instant::now();
        let mut gauge = self.gauge.lock().unwrap_or_else(PoisonError::into_inner);
        gauge.count(refused, now);
        gauge.pressure(now)
    }

    fn refuse(&self, begins: bool) -> Reply {
        metrics::counter!("gradedyke_busy_total").increment(1);
        self.tally().refuse();
        let pressure = begins.then(|| self.gauge(true));
        Reply::Busy(pressure.unwrap_or_default())
    }

    async fn serve(&self, replica: &Replica, request: Request) -> Reply {
        match request {
            Request::Begin(begin) => self.begin(replica, begin).await,
            Request::Keep { .. } | Request::KeepAll { .. } => {
                let started = Instant::now();
                let reply = replica.answer(request).await;
                self.tally().answered(started.elapsed());
                reply
            }
            _ => replica.answer(request).await,
        }
    }

    async fn begin(&self, replica: &Replica, begin: Begin) -> Reply {
        let started = Instant::now();
        let Some(_begun) = self.backlog.begin(begin.first, started) else {
            return self.refuse(true);
        };
        let told = self.gauge(false);
        let mut reply = replica.answer(Request::Begin(begin)).await;
        self.tally().answered(started.elapsed());
        if let Reply::Began { pressure, .. } = &mut reply {
            *pressure = told;
        }
        reply
    }
}

#[async_trait]
impl Handler for Desk {
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes {
        let reply = match message::decode(&request) {
            Some(request) => {
                let now = Instant::now();
                let unread = now.saturating_duration_since(arrived);
                self.count(&request, unread, now);
                self.answer(request, unread).await
            }
            None => Reply::Failed(
                "the request is not understood; run the same version everywhere".to_owned(),
            ),
        };
        message::encode(&reply)
    }
}
