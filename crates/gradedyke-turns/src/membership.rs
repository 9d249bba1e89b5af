//! How the view changes: replicas join, replace lost ones and leave.
//!
//! Each replica changes the view only for itself: it enters as one that does
//! not count yet, takes in all that the others have, and then counts; at that
//! moment it drops those that are gone for good. There is no leader among the
//! replicas, and compare-and-swap orders their changes. No more than are needed
//! to bear the losses tolerated take part, because each costs a copy; the rest
//! are spares that enter when a place becomes vacant.
//!
//! Why dropping is safe: any quorum of those that count has each record between
//! them, also where a disk has been lost already. A replica counts only after it
//! has followed a whole quorum, at a time when its members refuse requests of the
//! view before.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::{self, KeyValue, Swap, Swapped};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::index::Position;
use crate::mirror::Mirror;
use crate::replica::Replica;
use crate::sync::{Follower, Progress};
use crate::view::{self, Disk, Member, View};

/// How long a replica must be out of reach before a newcomer takes its place.
/// A killed process is back within that time as a rule.
const GONE: Duration = Duration::from_secs(2);
/// The same where nobody waits for the place, and only the majority is to
/// become smaller again.
const SURPLUS: Duration = Duration::from_secs(8);
/// How long a replica must be out of reach before it is given up although records
/// may be on it alone: more disks were lost than is tolerated, or one was lost
/// before another was level. Longer than any outage of a single instance in use
/// (12 s), so that its disk is back in time as a rule.
const GIVEN_UP: Duration = Duration::from_secs(20);
/// How long a replica that is to be emptied waits for a spare to take its place:
/// the spare's look, its copying, and its counting.
const SPARE: Duration = Duration::from_millis(2_500);
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

/// How this replica takes part.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its instance's name.
    pub name: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether the whole system starts for the first time, so that an empty
    /// disk has lost nothing.
    pub first_start: bool,
    /// Disks that may be lost at a time.
    pub tolerate: usize,
}

/// What a replica sees when it decides.
#[derive(Clone, Debug)]
pub struct Sight<'a> {
    /// The view.
    pub view: &'a View,
    /// Its own disk.
    pub disk: Disk,
    /// How far it has followed the others.
    pub progress: &'a HashMap<Disk, Progress>,
    /// Since when it is to be emptied.
    pub leave: Option<Instant>,
    /// Names of all instances that are to be emptied.
    pub leaving: &'a HashSet<String>,
    /// Whether all others that count have followed all that it has.
    pub followed: bool,
}

impl Sight<'_> {
    /// Whether a member has been out of reach for `time`.
    fn lost(&self, member: &Member, time: Duration, now: Instant) -> bool {
        let progress = self.progress.get(&member.disk);
        let lost = progress.and_then(|p| p.lost);
        lost.is_some_and(|at| now - at >= time)
    }

    /// Whether fewer take part than are needed to bear the losses tolerated.
    fn vacant(&self, now: Instant) -> bool {
        let stays = |m: &&Member| !self.lost(m, GONE, now) && !self.leaving.contains(&m.name);
        let present = self.view.members.iter().filter(stays).count();
        present < wanted(self.view)
    }
}

/// How many take part: the fewest whose majority survives the losses tolerated.
fn wanted(view: &View) -> usize {
    2 * view.tolerate + 1
}

/// The view that a replica should propose, if any.
pub fn decide(config: &Config, sight: &Sight<'_>, now: Instant) -> Option<View> {
    let view = sight.view;
    match (view.find(sight.disk), sight.leave) {
        (None, Some(_)) => None,
        (None, None) => {
            let again = view.members.iter().any(|m| m.name == config.name);
            let enters = again || view.version == 0 || sight.vacant(now);
            enters.then(|| enter(config, sight))
        }
        (Some(_), Some(since)) => leave(sight, since, now),
        (Some(me), None) if me.address != config.address => Some(moved(config, sight)),
        (Some(me), None) if me.active => drop_surplus(sight, now),
        (Some(_), None) => activate(sight, now),
    }
}

/// Enters the view. Before so many count that anything could have been kept, an
/// empty disk of a first start counts at once.
fn enter(config: &Config, sight: &Sight<'_>) -> View {
    let mut view = sight.view.clone();
    view.tolerate = config.tolerate;
    let unserved = view.active().count() <= config.tolerate;
    let mut members = view.members.clone();
    // The same instance with another disk: that one was lost.
    members.retain(|m| m.name != config.name);
    members.push(Member {
        name: config.name.clone(),
        disk: sight.disk,
        address: config.address,
        data_centre: config.data_centre.clone(),
        active: config.first_start && unserved,
    });
    view.next(members)
}

fn moved(config: &Config, sight: &Sight<'_>) -> View {
    let mut members = sight.view.members.clone();
    for member in &mut members {
        if member.disk == sight.disk {
            member.address = config.address;
        }
    }
    sight.view.next(members)
}

/// Leaves once the others have everything and are enough. A spare that could
/// take the place is waited for.
fn leave(sight: &Sight<'_>, since: Instant, now: Instant) -> Option<View> {
    let view = sight.view;
    let others = view.active().filter(|m| m.disk != sight.disk).count();
    let spared = others >= wanted(view) || now - since >= SPARE;
    if !sight.followed || others <= view.tolerate || !spared {
        return None;
    }
    let mut members = view.members.clone();
    members.retain(|m| m.disk != sight.disk);
    Some(view.next(members))
}

/// Counts from now on, and drops those that are gone.
fn activate(sight: &Sight<'_>, now: Instant) -> Option<View> {
    let view = sight.view;
    let mut gone = Vec::new();
    let mut level = 0;
    for member in view.active() {
        let progress = sight.progress.get(&member.disk).copied();
        let progress = progress.unwrap_or_default();
        if progress.lost.is_some_and(|at| now - at >= GONE) {
            gone.push(member.disk);
        } else if progress.lost.is_none() && progress.level >= Some(view.version) {
            level += 1;
        } else {
            return None;
        }
    }
    // Fewer than a quorum may lack a record that only a lost one has.
    let active = view.active().count();
    if level < view.quorum().min(active) && !given_up(sight, level, now) {
        return None;
    }
    let mut members = view.members.clone();
    members.retain(|m| !gone.contains(&m.disk));
    for member in &mut members {
        member.active |= member.disk == sight.disk;
    }
    Some(view.next(members))
}

/// Whether the members that are lost have been so for so long that it is better
/// to go on without them. At least one must have been followed.
fn given_up(sight: &Sight<'_>, level: usize, now: Instant) -> bool {
    let present = |m: &&Member| {
        sight
            .progress
            .get(&m.disk)
            .is_some_and(|p| p.lost.is_none())
    };
    let mut lost = sight.view.active().filter(|m| !present(m));
    let over = lost.all(|m| sight.lost(m, GIVEN_UP, now));
    if over && level > 0 {
        tracing::error!(
            event = "replicas_given_up",
            view = sight.view.version,
            level,
            remedy = "more disks were lost than is tolerated; turns may be missing"
        );
    }
    over && level > 0
}

/// Drops one that has been out of reach for long, where enough others remain.
fn drop_surplus(sight: &Sight<'_>, now: Instant) -> Option<View> {
    let view = sight.view;
    if view.active().count() <= wanted(view) {
        return None;
    }
    let gone = view.active().find(|m| sight.lost(m, SURPLUS, now))?.disk;
    let mut members = view.members.clone();
    members.retain(|m| m.disk != gone);
    Some(view.next(members))
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
        let followed = self.leave.is_some() && self.followed(&view, now);
        let sight = Sight {
            view: &view,
            disk: self.replica.disk(),
            progress: &progress,
            leave: self.leave,
            leaving: &leaving,
            followed,
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
                let item = crate::mirror::Item {
                    key: view::KEY.to_owned(),
                    value: Some(value.into()),
                    revision,
                };
                self.replica.mirror().put(vec![item], Instant::now());
                self.replica.learn(&view);
            }
            Ok(Swapped::Conflict(_)) => {
                tracing::info!(event = "view_conflict", version = view.version, expected);
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
