//! Handles requests from other processes. Limits their concurrency, answers
//! [`Request::Follow`] and [`Request::Age`] from the mirror, and passes all others to the
//! replica.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::Handler;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::backlog::Backlog;
use crate::crash::{self, Registry};
use crate::feed;
use crate::message::{self, Begin, Reply, Request};
use crate::mirror::Mirror;
use crate::pressure::{Meter, Pressure};
use crate::replica::Replica;
use crate::stats::{RequestKind, RequestStats};

/// How long a request waits for a replica that is still opening before it is answered with
/// [`Reply::Starting`]. A third of the timeout of an entry.
const STARTUP_WAIT: Duration = Duration::from_millis(100);
/// Longest time for which the reply to a report waits until the report is on disk. Callers are back
/// 100 ms after the end of a server.
const SAVE_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of concurrent [`Request::Begin`] requests; limits memory. [`Backlog`] limits
/// latency. So many take 320 ms at 600 per second, while entries wait 300 ms.
const MAX_CONCURRENT_BEGINS: usize = 192;
/// Maximum number of concurrent requests of other kinds that need the replica. They complete work
/// that is already done, and entries wait longer for them (2 s), so they are still accepted when
/// nothing new is begun.
const MAX_CONCURRENT_OTHER_REQUESTS: usize = 768;

/// One of a limited number of concurrent requests; frees its slot when dropped.
struct ConcurrencyPermit<'a>(&'a AtomicUsize);

impl<'a> ConcurrencyPermit<'a> {
    /// Counts one more request, unless `limit` are in flight already.
    fn try_acquire(count: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let in_flight = count.fetch_add(1, Ordering::Relaxed);
        let permit = Self(count);
        (in_flight < limit).then_some(permit)
    }
}

impl Drop for ConcurrencyPermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles requests from other processes. Requests for changes or the age of the
/// mirror do not need the replica; all others wait until the replica has opened its disk.
pub struct Dispatcher {
    mirror: Arc<Mirror>,
    crashes: Arc<Registry>,
    replica: watch::Receiver<Option<Arc<Replica>>>,
    begins_in_flight: AtomicUsize,
    other_requests_in_flight: AtomicUsize,
    backlog: Backlog,
    rejection_meter: Mutex<Meter>,
    stats: Mutex<RequestStats>,
}

impl Dispatcher {
    /// Creates a handler that answers requests for changes or the age of `mirror`, and passes
    /// all others to `replica` once it is available.
    pub fn new(mirror: Arc<Mirror>, replica: watch::Receiver<Option<Arc<Replica>>>) -> Self {
        Self {
            mirror,
            crashes: Arc::default(),
            replica,
            begins_in_flight: AtomicUsize::new(0),
            other_requests_in_flight: AtomicUsize::new(0),
            backlog: Backlog::default(),
            rejection_meter: Mutex::default(),
            stats: Mutex::new(RequestStats::new(Instant::now())),
        }
    }

    /// The requests under which backend servers ended, as entries reported them.
    pub fn crashes(&self) -> &Arc<Registry> {
        &self.crashes
    }

    fn lock_stats(&self) -> MutexGuard<'_, RequestStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that waited `queue_delay` to be read. Logs the statistics of the last
    /// window if the replica was overloaded in it.
    fn record_request(&self, request: &Request, queue_delay: Duration, now: Instant) {
        let kind = RequestKind::of(request);
        metrics::counter!("gradedyke_asked_total", "kind" => kind.name()).increment(1);
        let window = {
            let mut stats = self.lock_stats();
            let window = stats.finish_window(now);
            stats.record_request(kind, queue_delay);
            window
        };
        let Some(window) = window else { return };
        tracing::warn!(
            event = "falls_behind",
            begins = window.begins,
            keeps = window.keeps,
            reads = window.reads,
            refused = window.rejected,
            unread_ms = window.max_queue_delay.as_millis(),
            took_ms = window.max_response_time.as_millis()
        );
    }

    /// Admits a request that waited `queue_delay` to be read, if a slot is free. A request that
    /// waited longer than its caller's timeout is rejected, as nobody would use the reply. In a model
    /// with 1.6 times the load that replicas can handle, 66% of the programs complete with this, the
    /// backlog's limit and entries that admit fewer programs, and 7% without; of the long ones 66%
    /// and 2%.
    fn admit(&self, request: &Request, queue_delay: Duration) -> Option<ConcurrencyPermit<'_>> {
        match request {
            Request::Begin(begin) if queue_delay.as_millis() > u128::from(begin.patience_ms) => {
                None
            }
            Request::Begin(_) => {
                ConcurrencyPermit::try_acquire(&self.begins_in_flight, MAX_CONCURRENT_BEGINS)
            }
            _ => ConcurrencyPermit::try_acquire(
                &self.other_requests_in_flight,
                MAX_CONCURRENT_OTHER_REQUESTS,
            ),
        }
    }

    async fn answer(&self, request: Request, queue_delay: Duration) -> Reply {
        if let Request::Follow {
            cursor,
            wait_ms,
            address,
        } = request
        {
            if let Some(replica) = &*self.replica.borrow() {
                replica
                    .load_reports()
                    .record_address(address, Instant::now());
            }
            let wait = Duration::from_millis(wait_ms.into());
            let mut update = feed::long_poll(&self.mirror, &cursor, wait).await;
            if let Some(replica) = &*self.replica.borrow() {
                update.neighbours = replica.load_reports().sample_neighbours(Instant::now());
            }
            return Reply::News(update);
        }
        if matches!(request, Request::Age) {
            return feed::age_reply(&self.mirror, Instant::now());
        }
        if let Request::Crashes(exchange) = request {
            let has_reports = !exchange.reports.is_empty();
            let update = crash::answer(&self.crashes, exchange).await;
            if has_reports {
                // A slow disk delays the reply no longer; the reports are known already.
                let saved = self.crashes.wait_until_saved();
                let _ = tokio::time::timeout(SAVE_TIMEOUT, saved).await;
            }
            return Reply::Crashes(update);
        }
        let is_begin = matches!(request, Request::Begin(_));
        let Some(_permit) = self.admit(&request, queue_delay) else {
            return self.reject(is_begin);
        };
        let mut replica = self.replica.clone();
        let ready = replica.wait_for(Option::is_some);
        let Ok(ready) = tokio::time::timeout(STARTUP_WAIT, ready).await else {
            return Reply::Starting;
        };
        let ready = ready.ok().and_then(|r| r.clone());
        match ready {
            Some(replica) => self.serve(&replica, request).await,
            None => Reply::Failed("the replica failed to start; see its log".to_owned()),
        }
    }

    /// Counts an attempt and whether it was rejected. Returns the pressure on the replica.
    fn record_attempt(&self, rejected: bool) -> Pressure {
        let now = Instant::now();
        let mut rejection_meter = self
            .rejection_meter
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        rejection_meter.record_attempt(rejected, now);
        rejection_meter.pressure(now)
    }

    fn reject(&self, is_begin: bool) -> Reply {
        metrics::counter!("gradedyke_busy_total").increment(1);
        self.lock_stats().record_rejection();
        let pressure = is_begin.then(|| self.record_attempt(true));
        Reply::Busy(pressure.unwrap_or_default())
    }

    async fn serve(&self, replica: &Replica, request: Request) -> Reply {
        match request {
            Request::Begin(begin) => self.begin(replica, begin).await,
            Request::Keep { .. } | Request::KeepAll { .. } => {
                let started = Instant::now();
                let reply = replica.handle(request).await;
                self.lock_stats().record_response_time(started.elapsed());
                reply
            }
            _ => replica.handle(request).await,
        }
    }

    async fn begin(&self, replica: &Replica, begin: Begin) -> Reply {
        let started = Instant::now();
        let Some(_guard) = self.backlog.try_begin(begin.first, started) else {
            return self.reject(true);
        };
        let current_pressure = self.record_attempt(false);
        let mut reply = replica.handle(Request::Begin(begin)).await;
        self.lock_stats().record_response_time(started.elapsed());
        if let Reply::Began { pressure, .. } = &mut reply {
            *pressure = current_pressure;
        }
        reply
    }
}

#[async_trait]
impl Handler for Dispatcher {
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes {
        let reply = match message::decode(&request) {
            Some(request) => {
                let now = Instant::now();
                let queue_delay = now.saturating_duration_since(arrived);
                self.record_request(&request, queue_delay, now);
                self.answer(request, queue_delay).await
            }
            None => Reply::Failed(
                "the request could not be decoded; run the same version on all instances"
                    .to_owned(),
            ),
        };
        message::encode(&reply)
    }
}
