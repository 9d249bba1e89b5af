//! How a process comes by what the platform's service holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::KeyValue;
use gradedyke_turns::feed;
use gradedyke_turns::mirror::{self, Mirror, Need};
use gradedyke_turns::quorum::Quorum;
use gradedyke_turns::view::Disk;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time after which a keeper asks once more beside a call that has no answer: longer than the
/// service takes on its worst days.
const BESIDE: Duration = Duration::from_millis(400);

/// How a keeper follows the platform.
pub const KEEPER_PACE: mirror::Pace = mirror::Pace {
    look: Duration::from_millis(100),
    beside: Some(BESIDE),
    first: Duration::from_millis(50),
    patience: Duration::from_millis(800),
    unhurried: Duration::from_millis(800),
};

/// The same of an entry. There are many of them, and in an outage of the service, or cut off
/// from it, their calls are in vain.
const ENTRY_PACE: mirror::Pace = mirror::Pace {
    beside: None,
    first: Duration::from_millis(400),
    unhurried: Duration::from_millis(2_500),
    ..KEEPER_PACE
};

/// Follows all prefixes of the platform's service while there is a `need`.
fn follow(
    tasks: &mut JoinSet<()>,
    mirror: &Arc<Mirror>,
    kv: &Arc<dyn KeyValue>,
    need: impl Fn() -> Need + Clone + Send + Sync + 'static,
    pace: mirror::Pace,
    stop: &CancellationToken,
) {
    for prefix in mirror.prefixes().to_vec() {
        tasks.spawn(mirror::follow(
            mirror.clone(),
            kv.clone(),
            prefix,
            need.clone(),
            pace,
            stop.clone(),
        ));
    }
}

/// How an entry comes by what the platform holds: from keepers, from other entries while
/// it is cut off from those, and from the platform's service where no keeper has news.
pub struct Entry {
    /// What it knows.
    pub mirror: Arc<Mirror>,
    /// The other processes.
    pub peers: Arc<dyn feed::Peers>,
    /// The time in which a change must be in force.
    pub in_force: Duration,
}

impl Entry {
    /// Follows keepers, the preferred one of `sources` first, and the platform's service
    /// while it has to, until `stop`. The process starts at `now`.
    pub fn start(
        self,
        tasks: &mut JoinSet<()>,
        kv: &Arc<dyn KeyValue>,
        sources: impl Fn() -> Vec<SocketAddr> + Send + 'static,
        now: Instant,
        stop: &CancellationToken,
    ) {
        let reader = Arc::new(feed::Reader::new(now, feed::ENTRY_START, self.in_force));
        tasks.spawn(feed::run(
            self.mirror.clone(),
            self.peers,
            reader.clone(),
            sources,
            stop.clone(),
        ));
        let mirror = self.mirror.clone();
        let need = move || {
            let now = Instant::now();
            reader.need(mirror.age(now), now)
        };
        follow(tasks, &self.mirror, kv, need, ENTRY_PACE, stop);
    }
}

/// How a keeper comes by what the platform holds.
pub(crate) struct Keeper {
    /// Where it answers.
    pub(crate) own: SocketAddr,
    /// The identity of its disk.
    pub(crate) disk: Disk,
    /// Keepers that watch before anybody takes part.
    pub(crate) seeds: Vec<SocketAddr>,
    /// What it knows.
    pub(crate) mirror: Arc<Mirror>,
    /// The other keepers.
    pub(crate) quorum: Arc<Quorum>,
    /// Whether it reads the service where it is no watcher.
    pub(crate) reader: Arc<feed::Reader>,
    /// Whether it reads the service in place of the first watcher.
    pub(crate) standby: feed::Standby,
}

impl Keeper {
    /// How much this keeper needs to read the platform's service itself: as the first of the
    /// watchers, in place of that one, or because nobody brings it news.
    fn need(&self, now: Instant) -> Need {
        let view = self.quorum.view();
        let mut watchers = view.watchers();
        let first = watchers.next();
        let age = self.mirror.age(now);
        match first {
            None if self.seeds.is_empty() || self.seeds.contains(&self.own) => Need::High,
            Some(first) if first.disk == self.disk => Need::High,
            Some(first) if watchers.any(|w| w.disk == self.disk) => {
                let down = self.quorum.client(first.address).is_down();
                self.standby.need(age, down, now)
            }
            _ => self.reader.need(age, now),
        }
    }

    /// Keepers to hear from: a member from those that watch, a spare from the nearest
    /// member.
    fn sources(&self) -> Vec<SocketAddr> {
        let view = self.quorum.view();
        let mut sources = match view.find(self.disk) {
            Some(_) => view.watchers().map(|m| m.address).collect(),
            None => self.quorum.by_distance(),
        };
        if sources.is_empty() {
            sources.clone_from(&self.seeds);
        }
        sources.retain(|a| *a != self.own);
        sources
    }

    /// Follows the platform's service until `stop`, by itself or from another keeper.
    pub(crate) fn start(
        self,
        tasks: &mut JoinSet<()>,
        kv: &Arc<dyn KeyValue>,
        stop: &CancellationToken,
    ) {
        let keeper = Arc::new(self);
        let hears = keeper.clone();
        tasks.spawn(feed::run(
            keeper.mirror.clone(),
            keeper.quorum.clone(),
            keeper.reader.clone(),
            move || hears.sources(),
            stop.clone(),
        ));
        let mirror = keeper.mirror.clone();
        let need = move || keeper.need(Instant::now());
        follow(tasks, &mirror, kv, need, KEEPER_PACE, stop);
    }
}
