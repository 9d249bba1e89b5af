//! Keeps a process's copy of the platform's key-value data up to date.
//!
//! A few keepers, the watchers, read the key-value store; all other processes receive the data
//! from them, and read the store themselves only while no other process has recent data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::KeyValue;
use gradedyke_turns::feed;
use gradedyke_turns::mirror::{self, Mirror, Need};
use gradedyke_turns::quorum::Coordinator;
use gradedyke_turns::view::DiskId;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time after which a keeper sends a second call to the store while the first is still unanswered.
/// Longer than the store takes on its worst days.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Poll and retry intervals of a keeper that reads the store.
pub const KEEPER_TIMING: mirror::Timing = mirror::Timing {
    poll_interval: Duration::from_millis(100),
    hedge_delay: Some(HEDGE_DELAY),
    initial_max_delay: Duration::from_millis(50),
    max_delay: Duration::from_millis(800),
    low_need_max_delay: Duration::from_millis(800),
    pacing: None,
};

/// Pacing of the calls to the store where keys may be used only while they are confirmed: the
/// copy is 0.3 to 0.9 s old instead of 0.6 to 1.2 s when an outage begins, for as many calls.
pub const CONFIRMED_KEYS_PACING: mirror::Pacing = mirror::Pacing {
    max_wait: Duration::from_millis(300),
    pause: Duration::from_millis(300),
};

/// Poll and retry intervals of an entry. They are longer than those of a keeper, because
/// many entries retry at the same time in an outage of the store.
const ENTRY_TIMING: mirror::Timing = mirror::Timing {
    hedge_delay: None,
    initial_max_delay: Duration::from_millis(400),
    low_need_max_delay: Duration::from_millis(2_500),
    ..KEEPER_TIMING
};

/// Spawns one task per prefix, which polls the store at the intervals for the current `need`.
fn follow(
    tasks: &mut JoinSet<()>,
    mirror: &Arc<Mirror>,
    kv: &Arc<dyn KeyValue>,
    need: impl Fn() -> Need + Clone + Send + Sync + 'static,
    timing: mirror::Timing,
    stop: &CancellationToken,
) {
    for prefix in mirror.prefixes().to_vec() {
        tasks.spawn(mirror::follow(
            mirror.clone(),
            kv.clone(),
            prefix,
            need.clone(),
            timing,
            stop.clone(),
        ));
    }
}

/// Updates the mirror of an entry: from keepers, from other entries while it cannot reach
/// any keeper, and from the platform's store while no keeper has recent data.
pub struct EntryFollower {
    /// The entry's copy of the platform's data.
    pub mirror: Arc<Mirror>,
    /// Client for the other processes.
    pub peers: Arc<dyn feed::Peers>,
    /// Time within which a change must take effect.
    pub propagation_limit: Duration,
    /// Pacing of the entry's calls to the store.
    pub pacing: Option<mirror::Pacing>,
}

impl EntryFollower {
    /// Spawns the tasks that update the mirror until `stop`. `sources` returns the keepers
    /// to ask, in order of preference; `now` is the start of the process.
    pub fn start(
        self,
        tasks: &mut JoinSet<()>,
        kv: &Arc<dyn KeyValue>,
        sources: impl Fn() -> Vec<SocketAddr> + Send + 'static,
        now: Instant,
        stop: &CancellationToken,
    ) {
        let policy = Arc::new(feed::Policy::new(
            now,
            feed::ENTRY_START_GRACE,
            self.propagation_limit,
        ));
        tasks.spawn(feed::run(
            self.mirror.clone(),
            self.peers,
            policy.clone(),
            sources,
            stop.clone(),
        ));
        let mirror = self.mirror.clone();
        let need = move || {
            let now = Instant::now();
            policy.need(mirror.age(now), mirror.complete_as_of(), now)
        };
        let timing = mirror::Timing {
            pacing: self.pacing,
            ..ENTRY_TIMING
        };
        follow(tasks, &self.mirror, kv, need, timing, stop);
    }
}

/// Updates the mirror of a keeper, from the platform's store or from another keeper.
pub(crate) struct KeeperFollower {
    /// The address at which other processes reach this keeper.
    pub(crate) own_address: SocketAddr,
    /// ID of the keeper's disk.
    pub(crate) disk: DiskId,
    /// Keepers that read the store while the view has no members yet.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The keeper's copy of the platform's data.
    pub(crate) mirror: Arc<Mirror>,
    /// Client for the other keepers.
    pub(crate) coordinator: Arc<Coordinator>,
    /// Decides when a keeper that is not a watcher reads the store.
    pub(crate) policy: Arc<feed::Policy>,
    /// Decides when the standby reads the store in place of the primary watcher.
    pub(crate) standby: feed::Standby,
    /// Pacing of the keeper's calls to the store.
    pub(crate) pacing: Option<mirror::Pacing>,
}

impl KeeperFollower {
    /// How urgently this keeper must read the store itself. The primary watcher always must; the
    /// other watchers if the primary fails, and all other keepers if no process sends them recent
    /// data. Without a view, the seeds must; without seeds, every keeper.
    fn need(&self, now: Instant) -> Need {
        let view = self.coordinator.view();
        let mut watchers = view.watchers();
        let first = watchers.next();
        let age = self.mirror.age(now);
        match first {
            None if self.seeds.is_empty() || self.seeds.contains(&self.own_address) => Need::High,
            Some(first) if first.disk == self.disk => Need::High,
            Some(first) if watchers.any(|w| w.disk == self.disk) => {
                let down = self.coordinator.client(first.address).is_down();
                self.standby.need(age, down, now)
            }
            _ => self.policy.need(age, self.mirror.complete_as_of(), now),
        }
    }

    /// Keepers to ask for updates: for a member of the view its watchers, for any other keeper
    /// the members, the nearest first.
    fn sources(&self) -> Vec<SocketAddr> {
        let view = self.coordinator.view();
        let mut sources = match view.find(self.disk) {
            Some(_) => view.watchers().map(|m| m.address).collect(),
            None => self.coordinator.addresses_by_distance(),
        };
        if sources.is_empty() {
            sources.clone_from(&self.seeds);
        }
        sources.retain(|a| *a != self.own_address);
        sources
    }

    /// Spawns the tasks that update the mirror until `stop`.
    pub(crate) fn start(
        self,
        tasks: &mut JoinSet<()>,
        kv: &Arc<dyn KeyValue>,
        stop: &CancellationToken,
    ) {
        let keeper = Arc::new(self);
        let follower = keeper.clone();
        tasks.spawn(feed::run(
            keeper.mirror.clone(),
            keeper.coordinator.clone(),
            keeper.policy.clone(),
            move || follower.sources(),
            stop.clone(),
        ));
        let mirror = keeper.mirror.clone();
        let timing = mirror::Timing {
            pacing: keeper.pacing,
            ..KEEPER_TIMING
        };
        let need = move || keeper.need(Instant::now());
        follow(tasks, &mirror, kv, need, timing, stop);
    }
}
