//! Reads and watches the platform's service into a copy.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::{Error, Event, KeyValue};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Item, Mirror};

/// First wait after a failed call to the service.
const RETRY_FIRST: Duration = Duration::from_millis(50);

/// Wait after changes before the next are asked for. Servers register one by one
/// and each answer costs a call; a tenth of a second is a twentieth of what a
/// change may take.
const GATHER: Duration = Duration::from_millis(100);

/// How a process that follows the service waits.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How often it looks whether it is wanted.
    pub look: Duration,
    /// Longest wait between failed calls.
    pub patience: Duration,
}

/// Lists and watches one prefix until `stop`, while `wanted` tells it to. Waits
/// between failed calls grow up to the patience of `pace`.
pub async fn follow(
    mirror: Arc<Mirror>,
    kv: Arc<dyn KeyValue>,
    prefix: String,
    wanted: impl Fn() -> bool,
    pace: Pace,
    stop: CancellationToken,
) {
    let mut wait = RETRY_FIRST;
    loop {
        let mut rest = pace.look;
        if wanted() {
            let read = read(&mirror, &*kv, &prefix, &wanted, &mut wait).await;
            if let Err(error) = read {
                mirror.broken();
                tracing::warn!(event = "platform_lost", prefix, %error);
                rest = wait;
                wait = (wait * 2).min(pace.patience);
            }
        } else {
            // An outage that others sat out says nothing of the next one.
            wait = RETRY_FIRST;
        }
        let jitter = rest.mul_f64(0.5 + rand::random::<f64>());
        tokio::select! {
            () = tokio::time::sleep(jitter) => {}
            () = stop.cancelled() => return,
        }
    }
}

async fn read(
    mirror: &Mirror,
    kv: &dyn KeyValue,
    prefix: &str,
    wanted: &impl Fn() -> bool,
    wait: &mut Duration,
) -> Result<(), Error> {
    let asked = Instant::now();
    let listing = kv.list(prefix).await?;
    let items = listing.entries.into_iter().map(Item::from);
    let now = Instant::now();
    let before = mirror.age(now);
    mirror.replace(prefix, items.collect(), listing.revision, now);
    mirror.confirm(prefix, asked, now);
    tracing::info!(
        event = "platform_regained",
        prefix,
        revision = listing.revision,
        before_ms = before.map(|age| age.as_millis())
    );
    let mut watch = kv.watch(prefix, listing.revision + 1).await?;
    while wanted() {
        let asked = Instant::now();
        let events = watch.next().await?;
        *wait = RETRY_FIRST;
        let now = Instant::now();
        let changed = !events.is_empty();
        mirror.put(events.into_iter().map(item).collect(), now);
        mirror.confirm(prefix, asked, now);
        if changed {
            tokio::time::sleep(GATHER).await;
        }
    }
    tracing::info!(event = "platform_left", prefix);
    Ok(())
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
