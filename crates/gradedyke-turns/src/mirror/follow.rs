//! Keeps a copy up to date by listing and watching the platform's key-value store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gradedyke_base::retry::Backoff;
use gradedyke_platform::kv::{Error, Event, KeyValue, Listing, Revision, Watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Item, Mirror, Source};

/// Delay before the next call after one that returned changes, so that changes which come in
/// quick succession are returned by one call.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// How urgently a process needs to read the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It follows another process with a fresh copy.
    None,
    /// It gets no fresh updates, but its copy is still recent or the processes it follows
    /// are trying to read the store.
    Low,
    /// Other processes depend on its copy, or its copy is too old and the processes it follows do
    /// not answer.
    High,
}

/// Intervals and delays of a process that reads the store.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between checks whether it needs to read, with a jitter of 50 %.
    pub poll_interval: Duration,
    /// Time without a reply after which another call is made concurrently (hedging); `None` for
    /// no hedging.
    pub hedge_delay: Option<Duration>,
    /// Longest delay after the first failed call.
    pub initial_max_delay: Duration,
    /// Longest delay between failed calls while the need is high.
    pub max_delay: Duration,
    /// Longest delay between failed calls while the need is low. The delay for a high need
    /// applies if it is longer.
    pub low_need_max_delay: Duration,
    /// When to call after a reply without changes; `None` to call again at once and wait as long
    /// as the store permits.
    pub pacing: Option<Pacing>,
}

/// Intervals of the calls of a watch. The age of a copy counts from when a call was sent, so a
/// short call and a pause give a younger copy than one long call, for the same number of calls.
/// A change during the pause is received at its end.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    /// How long a call waits for changes.
    pub max_wait: Duration,
    /// Pause after a call that returned no changes, or changes that it did not wait for.
    pub pause: Duration,
}

impl Pacing {
    /// Returns the pause after a call that took `elapsed`.
    fn pause_after(self, elapsed: Duration, changed: bool) -> Option<Duration> {
        // A change from the pause before returns after the latency of the store, which is much
        // shorter.
        let waited = elapsed > self.max_wait / 4;
        (!changed || !waited).then_some(self.pause)
    }
}

/// When to call again after failed calls.
struct Retry {
    timing: Timing,
    backoff: Backoff,
    next_call_if_need_high: Option<Instant>,
    next_call_if_need_low: Option<Instant>,
}

impl Retry {
    fn new(timing: Timing) -> Self {
        Self {
            timing,
            backoff: Backoff::unlimited(timing.initial_max_delay, timing.max_delay),
            next_call_if_need_high: None,
            next_call_if_need_low: None,
        }
    }

    fn reset(&mut self) {
        *self = Self::new(self.timing);
    }

    /// Records the failure of a read that started at `started`. The delay counts from there,
    /// so a call that timed out may be repeated at once.
    fn record_failure(&mut self, started: Instant) {
        let delay = self.backoff.next_delay(rand::random());
        let low_need_delay = self
            .timing
            .low_need_max_delay
            .mul_f64(rand::random_range(0.5..1.0));
        self.next_call_if_need_high = Some(started + delay);
        self.next_call_if_need_low = Some(started + delay.max(low_need_delay));
    }

    fn is_due(&self, need: Need, now: Instant) -> bool {
        let next = match need {
            Need::None => return false,
            Need::Low => self.next_call_if_need_low,
            Need::High => self.next_call_if_need_high,
        };
        next.is_none_or(|next| now >= next)
    }
}

/// Lists and watches `prefix` until `stop`, whenever there is a `need`.
pub async fn follow(
    mirror: Arc<Mirror>,
    kv: Arc<dyn KeyValue>,
    prefix: String,
    need: impl Fn() -> Need,
    timing: Timing,
    stop: CancellationToken,
) {
    let mut retry = Retry::new(timing);
    let mut compacted_after = None;
    loop {
        let current_need = need();
        if current_need == Need::None {
            // After a time without need, failures start with a short delay again.
            retry.reset();
        }
        let started = Instant::now();
        if retry.is_due(current_need, started) {
            let compacted_after = &mut compacted_after;
            let result =
                read_prefix(&mirror, &*kv, &prefix, &need, &mut retry, compacted_after).await;
            if let Err(error) = result {
                mirror.record_failure();
                tracing::warn!(event = "platform_lost", prefix, %error);
                retry.record_failure(started);
            }
        }
        let interval = timing.poll_interval.mul_f64(rand::random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Lists `prefix` or resumes its watch, and watches it until there is no `need` any more.
/// `compacted_after` is the last revision whose later changes the store is known to have compacted.
async fn read_prefix(
    mirror: &Mirror,
    kv: &dyn KeyValue,
    prefix: &str,
    need: &impl Fn() -> Need,
    retry: &mut Retry,
    compacted_after: &mut Option<Revision>,
) -> Result<(), Error> {
    let complete_revision = mirror.prefix_revision(prefix);
    if *compacted_after == Some(complete_revision) && need() != Need::High {
        return read_traced_key(mirror, kv, retry).await;
    }
    let (start, requested_at) =
        start_with_hedging(kv, prefix, complete_revision, retry.timing.hedge_delay).await?;
    if matches!(start, ReadStart::Compacted) && need() != Need::High {
        // A process with a high need lists the prefix; listings by all would overload the
        // store.
        tracing::info!(
            event = "platform_forgot",
            prefix,
            through = complete_revision
        );
        *compacted_after = Some(complete_revision);
        return read_traced_key(mirror, kv, retry).await;
    }
    let (start, requested_at) = match start {
        ReadStart::Compacted => start_with_hedging(kv, prefix, 0, retry.timing.hedge_delay).await?,
        start => (start, requested_at),
    };
    let now = Instant::now();
    let previous_age = mirror.age(now);
    let (mut watch, listed) = match start {
        ReadStart::Listed(listing) => {
            let items = listing.entries.into_iter().map(Item::from);
            let (revision, unread) = (listing.revision, &listing.unread);
            mirror.apply_partial_listing(prefix, items.collect(), revision, unread, now);
            (kv.watch(prefix, listing.revision + 1).await?, true)
        }
        ReadStart::Resumed(events, watch) => {
            mirror.apply_watched(prefix, events.into_iter().map(to_item).collect(), now);
            (watch, false)
        }
        ReadStart::Compacted => return Err(Error::Compacted),
    };
    mirror.record_confirmation(prefix, requested_at, now);
    mirror.record_source(Source::Store, now);
    let pacing = retry.timing.pacing;
    if let Some(pacing) = pacing {
        watch.set_max_wait(pacing.max_wait);
    }
    tracing::info!(
        event = "platform_regained",
        prefix,
        listed,
        revision = mirror.prefix_revision(prefix),
        before_ms = previous_age.map(|age| age.as_millis())
    );
    while need() != Need::None {
        let requested_at = Instant::now();
        let events = watch.next().await?;
        retry.reset();
        let now = Instant::now();
        let changed = !events.is_empty();
        mirror.apply_watched(prefix, events.into_iter().map(to_item).collect(), now);
        mirror.record_confirmation(prefix, requested_at, now);
        mirror.record_source(Source::Store, now);
        let pause = pacing.and_then(|p| p.pause_after(now - requested_at, changed));
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None if changed => tokio::time::sleep(BATCH_DELAY).await,
            None => {}
        }
    }
    tracing::info!(event = "platform_left", prefix);
    Ok(())
}

/// Reads the traced key alone, in place of a listing. The copy stays incomplete, so the next read
/// follows after a delay.
async fn read_traced_key(
    mirror: &Mirror,
    kv: &dyn KeyValue,
    retry: &mut Retry,
) -> Result<(), Error> {
    if let Some(key) = mirror.traced_key() {
        let entry = kv.get(key).await?;
        let now = Instant::now();
        mirror.apply(entry.into_iter().map(Item::from).collect(), now);
        mirror.record_source(Source::Store, now);
    }
    retry.record_failure(Instant::now());
    Ok(())
}

/// The result of the first call of a read.
enum ReadStart {
    /// All entries were listed.
    Listed(Listing),
    /// A watch was resumed; it returned the changes since the last read.
    Resumed(Vec<Event>, Box<dyn Watch>),
    /// The watch cannot be resumed: the store has compacted the changes since the last read, or
    /// cannot return them.
    Compacted,
}

/// Resumes the watch of a prefix that is complete up to `complete_revision`, or lists the
/// prefix if that is 0.
async fn start_read(
    kv: &dyn KeyValue,
    prefix: &str,
    complete_revision: Revision,
) -> Result<ReadStart, Error> {
    if complete_revision > 0 {
        let resumed = async {
            let mut watch = kv.watch(prefix, complete_revision + 1).await?;
            let events = watch.next().await?;
            Ok(ReadStart::Resumed(events, watch))
        };
        match resumed.await {
            Err(Error::Compacted) => return Ok(ReadStart::Compacted),
            // The same call would fail again, whatever it is that the store cannot answer.
            Err(error) if error.is_persistent() => {
                tracing::warn!(event = "watch_not_resumed", prefix, complete_revision, %error);
                return Ok(ReadStart::Compacted);
            }
            resumed => return resumed,
        }
    }
    kv.list(prefix).await.map(ReadStart::Listed)
}

/// Starts to read a prefix; also returns when the call was sent. Each time that `hedge_delay`
/// passes without a reply, one more concurrent call is made, because the store may never
/// reply to a call that it received during an outage. The first call that ends gives the
/// result.
async fn start_with_hedging(
    kv: &dyn KeyValue,
    prefix: &str,
    complete_revision: Revision,
    hedge_delay: Option<Duration>,
) -> Result<(ReadStart, Instant), Error> {
    let call = || async {
        let requested_at = Instant::now();
        Ok((
            start_read(kv, prefix, complete_revision).await?,
            requested_at,
        ))
    };
    let mut calls = FuturesUnordered::from_iter([call()]);
    loop {
        let Some(hedge_delay) = hedge_delay else {
            return calls.select_next_some().await;
        };
        match tokio::time::timeout(hedge_delay, calls.select_next_some()).await {
            Ok(result) => return result,
            Err(_) => calls.push(call()),
        }
    }
}

fn to_item(event: Event) -> Item {
    match event {
        Event::Put(entry) => entry.into(),
        Event::Delete { key, revision } => Item {
            key,
            value: None,
            revision,
        },
    }
}
