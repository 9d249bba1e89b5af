//! How a process comes by what the platform's service holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::KeyValue;
use gradedyke_turns::feed;
use gradedyke_turns::mirror::{self, Mirror};
use gradedyke_turns::quorum::Quorum;
use gradedyke_turns::view::Disk;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a keeper follows the platform: an outage of seconds should not cost a second
/// more, and one that stands by is to be there in a tenth.
const KEEPER_PACE: mirror::Pace = mirror::Pace {
    look: Duration::from_millis(100),
    patience: Duration::from_millis(800),
};

/// The same of an entry, which asks only where no keeper has news: there are
/// many of them, each call costs, and keepers are back before it matters.
const ENTRY_PACE: mirror::Pace = mirror::Pace {
    look: Duration::from_millis(1_000),
    patience: Duration::from_millis(2_500),
};

/// Follows all prefixes of the platform's service while `wanted`.
fn follow(
    tasks: &mut JoinSet<()>,
    mirror: &Arc<Mirror>,
    kv: &Arc<dyn KeyValue>,
    wanted: impl Fn() -> bool + Clone + Send + Sync + 'static,
    pace: mirror::Pace,
    stop: &CancellationToken,
) {
    for prefix in mirror.prefixes().to_vec() {
        tasks.spawn(mirror::follow(
            mirror.clone(),
            kv.clone(),
            prefix,
            wanted.clone(),
            pace,
            stop.clone(),
        ));
    }
}

/// How an entry comes by what the platform holds: from keepers, and from the platform's
/// service where no keeper has news.
pub struct Entry {
    /// What it knows.
    pub mirror: Arc<Mirror>,
    /// The other processes.
    pub peers: Arc<dyn feed::Peers>,
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
        let health = Arc::new(feed::Health::new(now, feed::ENTRY_START));
        tasks.spawn(feed::run(
            self.mirror.clone(),
            self.peers,
            health.clone(),
            sources,
            stop.clone(),
        ));
        let alone = move || health.alone(Instant::now());
        follow(tasks, &self.mirror, kv, alone, ENTRY_PACE, stop);
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
    /// Whether others bring it fresh news.
    pub(crate) health: Arc<feed::Health>,
    /// Whether it reads the service in place of the first watcher.
    pub(crate) standby: feed::Standby,
}

impl Keeper {
    /// Whether this keeper reads the platform's service itself: as the first of the
    /// watchers, in place of that one, or because nobody brings it news.
    fn wanted(&self, now: Instant) -> bool {
        let view = self.quorum.view();
        let mut watchers = view.watchers();
        let first = watchers.next();
        match first {
            None if self.seeds.is_empty() || self.seeds.contains(&self.own) => true,
            Some(first) if first.disk == self.disk => true,
            Some(first) if watchers.any(|w| w.disk == self.disk) => {
                let down = self.quorum.client(first.address).is_down();
                self.standby.reads(self.mirror.age(now), down, now)
            }
            _ => self.health.alone(now),
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
            keeper.health.clone(),
            move || hears.sources(),
            stop.clone(),
        ));
        let mirror = keeper.mirror.clone();
        let wanted = move || keeper.wanted(Instant::now());
        follow(tasks, &mirror, kv, wanted, KEEPER_PACE, stop);
    }
}
