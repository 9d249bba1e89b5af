//! Reads and watches the platform's service into a copy.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gradedyke_base::retry::Backoff;
use gradedyke_platform::kv::{Error, Event, KeyValue, Listing, Revision, Watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Item, Mirror};

/// Wait after changes before the next are asked for. Servers register one by one
/// and each answer costs a call; a tenth of a second is a twentieth of what a
/// change may take.
const GATHER: Duration = Duration::from_millis(100);

/// How much a process needs to read the service itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Others bring it news.
    None,
    /// Those that should bring news bring none that are fresh, but its copy is young or they
    /// read the service too.
    Low,
    /// It reads for others, or its copy is old and nobody there brings news.
    High,
}

/// How a process that follows the service waits.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How often it looks whether it needs to read, half more or less.
    pub look: Duration,
    /// Time without an answer after which one more call is made beside, if any is.
    pub beside: Option<Duration>,
    /// Longest wait after the first failed call.
    pub first: Duration,
    /// Longest wait between failed calls where the need is high.
    pub patience: Duration,
    /// The same where it is low.
    pub unhurried: Duration,
}

/// When to call again after calls that failed.
struct Retry {
    pace: Pace,
    backoff: Backoff,
    next: Option<Instant>,
    unhurried: Option<Instant>,
}

impl Retry {
    fn new(pace: Pace) -> Self {
        Self {
            pace,
            backoff: Backoff::endless(pace.first, pace.patience),
            next: None,
            unhurried: None,
        }
    }

    fn reset(&mut self) {
        *self = Self::new(self.pace);
    }

    /// Notes that a reading that was begun then has failed. Waits count from there: a call
    /// that was waited for in vain has taken its time already.
    fn failed(&mut self, begun: Instant) {
        let wait = self.backoff.step(rand::random());
        let unhurried = self.pace.unhurried.mul_f64(rand::random_range(0.5..1.0));
        self.next = Some(begun + wait);
        self.unhurried = Some(begun + wait.max(unhurried));
    }

    fn due(&self, need: Need, now: Instant) -> bool {
        let next = match need {
            Need::None => return false,
            Need::Low => self.unhurried,
            Need::High => self.next,
        };
        next.is_none_or(|next| now >= next)
    }
}

/// Lists and watches one prefix until `stop`, while `need` says so.
pub async fn follow(
    mirror: Arc<Mirror>,
    kv: Arc<dyn KeyValue>,
    prefix: String,
    need: impl Fn() -> Need,
    pace: Pace,
    stop: CancellationToken,
) {
    let mut retry = Retry::new(pace);
    loop {
        let needed = need();
        if needed == Need::None {
            // An outage that others sat out says nothing of the next one.
            retry.reset();
        }
        let begun = Instant::now();
        if retry.due(needed, begun) {
            let read = read(&mirror, &*kv, &prefix, &need, &mut retry).await;
            if let Err(error) = read {
                mirror.broken();
                tracing::warn!(event = "platform_lost", prefix, %error);
                retry.failed(begun);
            }
        }
        let look = pace.look.mul_f64(rand::random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(look) => {}
            () = stop.cancelled() => return,
        }
    }
}

async fn read(
    mirror: &Mirror,
    kv: &dyn KeyValue,
    prefix: &str,
    need: &impl Fn() -> Need,
    retry: &mut Retry,
) -> Result<(), Error> {
    let through = mirror.known(prefix);
    let (begun, asked) = begin(kv, prefix, through, retry.pace.beside).await?;
    if matches!(begun, Begun::Forgotten) && need() != Need::High {
        // Those that read for others list it, and all together would take its whole time.
        tracing::info!(event = "platform_forgot", prefix, through);
        retry.failed(Instant::now());
        return Ok(());
    }
    let (begun, asked) = match begun {
        Begun::Forgotten => begin(kv, prefix, 0, retry.pace.beside).await?,
        begun => (begun, asked),
    };
    let now = Instant::now();
    let before = mirror.age(now);
    let (mut watch, listed) = match begun {
        Begun::Listed(listing) => {
            let items = listing.entries.into_iter().map(Item::from);
            mirror.replace(prefix, items.collect(), listing.revision, now);
            (kv.watch(prefix, listing.revision + 1).await?, true)
        }
        Begun::Resumed(events, watch) => {
            mirror.watched(prefix, events.into_iter().map(item).collect(), now);
            (watch, false)
        }
        Begun::Forgotten => return Err(Error::Compacted),
    };
    mirror.confirm(prefix, asked, now);
    tracing::info!(
        event = "platform_regained",
        prefix,
        listed,
        revision = mirror.known(prefix),
        before_ms = before.map(|age| age.as_millis())
    );
    while need() != Need::None {
        let asked = Instant::now();
        let events = watch.next().await?;
        retry.reset();
        let now = Instant::now();
        let changed = !events.is_empty();
        mirror.watched(prefix, events.into_iter().map(item).collect(), now);
        mirror.confirm(prefix, asked, now);
        if changed {
            tokio::time::sleep(GATHER).await;
        }
    }
    tracing::info!(event = "platform_left", prefix);
    Ok(())
}

/// How a reading begins.
enum Begun {
    /// With all that is there.
    Listed(Listing),
    /// With what changed since it was last known.
    Resumed(Vec<Event>, Box<dyn Watch>),
    /// Not at all: the service has forgotten what changed since.
    Forgotten,
}

/// Goes on where the prefix is known `through` a revision; lists all of it where that is 0.
async fn resume(kv: &dyn KeyValue, prefix: &str, through: Revision) -> Result<Begun, Error> {
    if through > 0 {
        let resumed = async {
            let mut watch = kv.watch(prefix, through + 1).await?;
            let events = watch.next().await?;
            Ok(Begun::Resumed(events, watch))
        };
        match resumed.await {
            Err(Error::Compacted) => return Ok(Begun::Forgotten),
            resumed => return resumed,
        }
    }
    kv.list(prefix).await.map(Begun::Listed)
}

/// Begins to read the prefix, and tells when that was asked. Where there is no answer for the
/// time `beside`, one more call is made beside those that wait: one that the service took while
/// it was silent is never answered, and the next one tells at once that it is back. The first
/// call that ends decides.
async fn begin(
    kv: &dyn KeyValue,
    prefix: &str,
    through: Revision,
    beside: Option<Duration>,
) -> Result<(Begun, Instant), Error> {
    let ask = || async {
        let asked = Instant::now();
        Ok((resume(kv, prefix, through).await?, asked))
    };
    let mut calls = FuturesUnordered::from_iter([ask()]);
    loop {
        let Some(beside) = beside else {
            return calls.select_next_some().await;
        };
        match tokio::time::timeout(beside, calls.select_next_some()).await {
            Ok(answer) => return answer,
            Err(_) => calls.push(ask()),
        }
    }
}

fn item(event: Event) -> Item {
    match event {
        Event::Put(entry) => entry.into(),
        Event::Delete { key, revision } => Item {
            key,
            value: None,
            revision,
        },
    }
}
