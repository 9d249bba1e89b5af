//! How the view changes: replicas join, replace lost ones and leave.
//!
//! Each replica changes the view only for itself: it enters as one that does
//! not count yet, takes in all that the others have, and then counts; at that
//! moment it drops those that are gone for good. There is no leader among the
//! replicas, and compare-and-swap orders their changes. No more than are needed
//! to bear the losses tolerated take part, because each costs a copy; the rest
//! are spares that enter when a place becomes vacant, those first whose data
//! centre has the fewest members.
//!
//! Why dropping is safe: any quorum of those that count has each record between
//! them, also where a disk has been lost already. A replica counts only after it
//! has followed a whole quorum, at a time when its members refuse requests of the
//! view before.

pub mod decide;
pub mod spread;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::{self, KeyValue, Swap, Swapped};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

pub use self::decide::{Config, Sight, decide, turn};
use crate::index::Position;
use crate::mirror::{self, Mirror};
use crate::replica::Replica;
use crate::sync::{Follower, Progress};
use crate::view::{self, Disk, Member, View};

/// How far behind another may be and still have followed: the time after which
/// a follower asks for what has not reached it by itself, and a round.
const LAG: Duration = Duration::from_millis(500);
/// How often the view is looked at when nothing changed.
const LOOK: Duration = Duration::from_millis(200);

/// Requests of operators to empty an instance, as the platform words them.
pub trait Removal: Send + Sync {
    /// The names of the instances that are to be emptied.
    fn requested(&self, mirror: &Mirror) -> HashSet<String>;
    /// The key and value that tell how far that is.
    fn status(&self, name: &str, done: bool) -> (String, Vec<u8>);
}

/// Keeps a replica in the view.
pub struct Membership {
    config: Config,
    replica: Arc<Replica>,
    kv: Arc<dyn KeyValue>,
    removal: Arc<dyn Removal>,
    followers: HashMap<(Disk, SocketAddr), Followed>,
    tasks: JoinSet<()>,
    told: Option<bool>,
    /// Since when this replica is to be emptied.
    leave: Option<Instant>,
    /// Where the arrivals ended at the last looks, the oldest first.
    ends: VecDeque<(Instant, Position)>,
    /// What the last decision was about, and since when that is the same.
    situation: (Situation, Instant),
}

/// What a replica waits for to last before it changes the view.
#[derive(Default, PartialEq, Eq)]
struct Situation {
    /// The version of the view.
    version: u64,
    /// Members out of reach.
    lost: BTreeSet<Disk>,
    /// Names of the instances that are to be emptied.
    leaving: BTreeSet<String>,
}

struct Followed {
    progress: watch::Receiver<Progress>,
    _stop: DropGuard,
}

impl Membership {
    /// A membership of `replica`.
    pub fn new(
        config: Config,
        replica: Arc<Replica>,
        kv: Arc<dyn KeyValue>,
        removal: Arc<dyn Removal>,
    ) -> Self {
        Self {
            config,
            replica,
            kv,
            removal,
            followers: HashMap::new(),
            tasks: JoinSet::new(),
            told: None,
            leave: None,
            ends: VecDeque::new(),
            situation: (Situation::default(), Instant::now()),
        }
    }

    /// Takes part until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut changed = self.replica.mirror().watch();
        loop {
            self.look().await;
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(LOOK) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    async fn look(&mut self) {
        let mirror = self.replica.mirror().clone();
        let (view, revision) = read(&mirror).unwrap_or_default();
        self.replica.learn(&view);
        self.follow(&view);
        // Before the first listing what is known of the view is an old copy.
        if mirror.age(Instant::now()).is_none() {
            return;
        }
        let leaving = self.removal.requested(&mirror);
        let now = Instant::now();
        let leave = leaving.contains(&self.config.name);
        self.leave = leave.then(|| self.leave.unwrap_or(now));
        let progress = self.progress();
        // Asked only where somebody is to leave, which may be this replica.
        let surplus = view.active().count() > decide::wanted(&view);
        if !leave && !surplus {
            self.ends.clear();
        }
        let followed = (leave || surplus) && self.followed(&view, now);
        let unchanged = self.unchanged(&view, &progress, &leaving, now);
        let sight = Sight {
            view: &view,
            disk: self.replica.disk(),
            progress: &progress,
            leave: self.leave,
            leaving: &leaving,
            followed,
            unchanged,
        };
        let proposal = decide(&self.config, &sight, now);
        if let Some(next) = proposal {
            self.propose(next, revision).await;
        }
        if leave {
            let done = view.find(self.replica.disk()).is_none();
            self.tell(done).await;
        }
    }

    fn progress(&self) -> HashMap<Disk, Progress> {
        let followers = self.followers.iter();
        let progress = |((disk, _), f): (&(Disk, SocketAddr), &Followed)| {
            let progress: Progress = *f.progress.borrow();
            (*disk, progress)
        };
        followers.map(progress).collect()
    }

    /// Since when the situation is as it is now.
    fn unchanged(
        &mut self,
        view: &View,
        progress: &HashMap<Disk, Progress>,
        leaving: &HashSet<String>,
        now: Instant,
    ) -> Instant {
        let lost = progress.iter().filter(|(_, p)| p.lost.is_some());
        let situation = Situation {
            version: view.version,
            lost: lost.map(|(disk, _)| *disk).collect(),
            leaving: leaving.iter().cloned().collect(),
        };
        if self.situation.0 != situation {
            self.situation = (situation, now);
        }
        self.situation.1
    }

    /// Whether all others that count have followed what arrived here up to a
    /// moment ago. Under load something always arrives; the newest records are
    /// on their way to all others too, from whoever wrote them.
    fn followed(&mut self, view: &View, now: Instant) -> bool {
        let end = self.replica.index().end();
        self.ends.push_back((now, end));
        while self.ends.len() > 1 && now - self.ends[1].0 >= LAG {
            self.ends.pop_front();
        }
        let (since, end) = self.ends[0];
        if now - since < LAG {
            return false;
        }
        let own = self.replica.disk();
        let mut others = view.active().filter(|m| m.disk != own);
        others.all(|m| self.replica.followed(m.disk, end))
    }

    /// Follows exactly the other members.
    fn follow(&mut self, view: &View) {
        let own = self.replica.disk();
        let others: Vec<_> = view.members.iter().filter(|m| m.disk != own).collect();
        self.followers
            .retain(|(disk, at), _| others.iter().any(|m| m.disk == *disk && m.address == *at));
        for member in others {
            let key = (member.disk, member.address);
            if self.followers.contains_key(&key) {
                continue;
            }
            let (sender, progress) = watch::channel(Progress::default());
            let stop = CancellationToken::new();
            let replica = self.replica.clone();
            let follower = Follower::new(replica, member.disk, member.address, sender);
            self.tasks.spawn(follower.run(stop.clone()));
            let followed = Followed {
                progress,
                _stop: stop.drop_guard(),
            };
            self.followers.insert(key, followed);
        }
        while self.tasks.try_join_next().is_some() {}
    }

    async fn propose(&self, view: View, expected: u64) {
        let value = match serde_json::to_vec(&view) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "view_not_written", %error, remedy = "report this");
                return;
            }
        };
        let swap = Swap {
            key: view::KEY.to_owned(),
            expected,
            value: Some(value.clone()),
            lease: None,
        };
        let members: Vec<_> = view.members.iter().map(label).collect();
        let members = members.join(",");
        match kv::settle(&*self.kv, swap).await {
            Ok(Swapped::Done(revision)) => {
                tracing::info!(
                    event = "view_changed",
                    version = view.version,
                    revision,
                    members
                );
                let item = mirror::Item {
                    key: view::KEY.to_owned(),
                    value: Some(value.into()),
                    revision,
                };
                self.replica.mirror().put(vec![item], Instant::now());
                self.replica.learn(&view);
            }
            Ok(Swapped::Conflict(held)) => {
                tracing::info!(event = "view_conflict", version = view.version, expected);
                // What it holds now arrives otherwise only after another try.
                let items = held.map(mirror::Item::from).into_iter().collect();
                self.replica.mirror().put(items, Instant::now());
            }
            Err(error) => {
                tracing::warn!(event = "view_not_changed", version = view.version, %error);
            }
        }
    }

    /// Tells the operator how far the emptying is, once for each answer.
    async fn tell(&mut self, done: bool) {
        if self.told == Some(done) {
            return;
        }
        let (key, value) = self.removal.status(&self.config.name, done);
        let written = write(&*self.kv, key, value).await;
        match written {
            Ok(()) => {
                self.told = Some(done);
                tracing::info!(event = "emptying", instance = self.config.name, done);
            }
            Err(error) => tracing::warn!(event = "emptying_not_told", done, %error),
        }
    }
}

fn label(member: &Member) -> String {
    let mark = if member.active { "" } else { "?" };
    format!("{}{mark}", member.name)
}

/// Writes a key whatever it held before.
async fn write(kv: &dyn KeyValue, key: String, value: Vec<u8>) -> Result<(), kv::Error> {
    let expected = kv.get(&key).await?.map_or(0, |e| e.revision);
    let swap = Swap {
        key,
        expected,
        value: Some(value),
        lease: None,
    };
    match kv::settle(kv, swap).await? {
        Swapped::Done(_) => Ok(()),
        Swapped::Conflict(_) => Err(kv::Error::Refused("somebody else wrote it".to_owned())),
    }
}

/// The view in the mirror, with its revision.
pub fn read(mirror: &Mirror) -> Option<(View, u64)> {
    let (value, revision) = mirror.get(view::KEY)?;
    match serde_json::from_slice(&value) {
        Ok(view) => Some((view, revision)),
        Err(error) => {
            tracing::error!(event = "view_not_read", revision, %error,
                remedy = "run the same version everywhere");
            None
        }
    }
}
