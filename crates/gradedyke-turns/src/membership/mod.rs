//! Membership changes: replicas join the view, replace lost members and leave.
//!
//! Each replica proposes its own changes: it joins as an inactive member, syncs all
//! records from the others, and then becomes active; with that change it also
//! removes members that are unreachable. There is no leader; changes are ordered by
//! compare-and-swap. Only as many replicas as the tolerated losses require are
//! members, because each holds a copy of all records. The others are spares, which
//! join when there is a vacancy; those in the data centre with the fewest
//! members have priority.
//!
//! Where that can't be known, because more members are unreachable than tolerated, the others
//! continue after a time, and the view lists those whose records may be missing
//! ([`View::absences`]). Meanwhile entries refuse what depends on such records. A replica whose
//! disk is listed joins as soon as it is back, whether there is a vacancy or not, and is active
//! only when the others have its records. An instance that is back with another disk takes the lost
//! one off the list, and all are taken off after the longest retention time.
//!
//! Removing a member is safe because the members of any quorum together have every
//! record, even after a tolerated disk loss. A replica becomes active only after it
//! has synced from a whole quorum whose members already refuse requests of earlier
//! views. With fewer active members than needed a quorum is all of them, and one that
//! is lost could not be waited for. Once they have each other's records, the view says
//! so ([`View::copies`]), and it is enough to sync from one of them
//! ([`View::sync_quorum`]).

pub mod decide;
pub mod distribution;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_platform::kv::{self, KeyValue, Outcome, Swap};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

pub use self::decide::{Config, Observation, decide, draw_join_delay};
use crate::index::Position;
use crate::mirror::{self, Mirror};
use crate::replica::Replica;
use crate::sync::{Follower, Progress};
use crate::view::{self, DiskId, Member, View};

/// How far another replica may lag behind and still be considered caught up.
const MAX_LAG: Duration = Duration::from_millis(500);
/// How often the membership is checked if the mirror doesn't change.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What operators state in the platform's format: requests to retire an instance, and how long
/// records are retained.
pub trait Retirement: Send + Sync {
    /// Returns the names of the instances that are to be retired.
    fn retiring_instances(&self, mirror: &Mirror) -> HashSet<String>;
    /// Returns the key and value that report whether the retirement of the instance `name`
    /// is `done`.
    fn retire_status(&self, name: &str, done: bool) -> (String, Vec<u8>);
    /// Returns the longest retention time of the present configuration, if there is one.
    fn longest_retention(&self, mirror: &Mirror) -> Option<Duration>;
}

/// Keeps the view up to date on behalf of one replica.
pub struct Membership {
    config: Config,
    replica: Arc<Replica>,
    kv: Arc<dyn KeyValue>,
    retirement: Arc<dyn Retirement>,
    followers: HashMap<(DiskId, SocketAddr), FollowerHandle>,
    tasks: JoinSet<()>,
    /// The retirement status last written for the operator.
    reported_retired: Option<bool>,
    /// When the request to retire this replica's instance was first seen, if there is one.
    retiring_since: Option<Instant>,
    /// End positions of the index at recent checks, oldest first.
    recent_end_positions: VecDeque<(Instant, Position)>,
    /// The current state, and since when it has been the same.
    stability_state: (StabilityState, Instant),
    /// The version of the view in which this replica had all records of the other active members,
    /// and its end position then.
    synced_position: Option<(u64, Position)>,
    /// The end position of the index when this replica first was a member again after others
    /// continued without its disk.
    returned_position: Option<Position>,
    /// When each absence in the view was first seen, by its version.
    absent_since: HashMap<u64, Instant>,
}

/// State that must be unchanged for a time before a vacancy is filled from other data centres or a
/// member is moved.
#[derive(Default, PartialEq, Eq)]
struct StabilityState {
    /// The version of the view.
    version: u64,
    /// Unreachable members.
    unreachable: BTreeSet<DiskId>,
    /// Names of the instances that are to be retired.
    retiring: BTreeSet<String>,
}

/// A running follower of another member.
struct FollowerHandle {
    progress: watch::Receiver<Progress>,
    _stop: DropGuard,
}

impl Membership {
    /// Creates the membership of `replica`. It does nothing until it is run.
    pub fn new(
        config: Config,
        replica: Arc<Replica>,
        kv: Arc<dyn KeyValue>,
        retirement: Arc<dyn Retirement>,
    ) -> Self {
        Self {
            config,
            replica,
            kv,
            retirement,
            followers: HashMap::new(),
            tasks: JoinSet::new(),
            reported_retired: None,
            retiring_since: None,
            recent_end_positions: VecDeque::new(),
            stability_state: (StabilityState::default(), Instant::now()),
            synced_position: None,
            returned_position: None,
            absent_since: HashMap::new(),
        }
    }

    /// Checks and changes the view as needed until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut changed = self.replica.mirror().subscribe();
        loop {
            self.update().await;
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Runs one check: updates the followers, proposes a change to the view if one is
    /// due, and reports the retirement status.
    async fn update(&mut self) {
        let mirror = self.replica.mirror().clone();
        let (view, revision) = read_view(&mirror).unwrap_or_default();
        self.replica.update_view(&view);
        self.update_followers(&view);
        // The view may be outdated until the mirror has been read from the platform.
        if mirror.age(Instant::now()).is_none() {
            return;
        }
        let retiring = self.retirement.retiring_instances(&mirror);
        let now = Instant::now();
        let must_leave = retiring.contains(&self.config.name);
        self.retiring_since = must_leave.then(|| self.retiring_since.unwrap_or(now));
        let progress = self.progress();
        // The others' progress matters only if this replica may have to leave.
        let has_surplus = view.active().count() > decide::target_member_count(&view);
        if !must_leave && !has_surplus {
            self.recent_end_positions.clear();
        }
        let others_caught_up =
            (must_leave || has_surplus) && self.have_others_caught_up(&view, now);
        let unchanged_since = self.unchanged_since(&view, &progress, &retiring, now);
        let is_level = self.is_level(&view, &progress);
        let is_copied = self.is_copied(&view, &progress);
        let outlasted = self.outlasted(&view, &mirror, now);
        let observation = Observation {
            view: &view,
            disk: self.replica.disk(),
            progress: &progress,
            retiring_since: self.retiring_since,
            retiring: &retiring,
            others_caught_up,
            is_copied,
            outlasted,
            is_level,
            unchanged_since,
        };
        let proposal = decide(&self.config, &observation, now);
        if let Some(next) = proposal {
            self.propose(next, revision).await;
        }
        if must_leave {
            let disk = self.replica.disk();
            let done = view.find(disk).is_none() && !view.is_absent(disk);
            self.report_status(done).await;
        }
    }

    /// Returns how far this replica has synced from each other member.
    fn progress(&self) -> HashMap<DiskId, Progress> {
        let followers = self.followers.iter();
        let progress = |((disk, _), handle): (&(DiskId, SocketAddr), &FollowerHandle)| {
            let progress: Progress = *handle.progress.borrow();
            (*disk, progress)
        };
        followers.map(progress).collect()
    }

    /// Returns since when the state of the view has been the same as now.
    fn unchanged_since(
        &mut self,
        view: &View,
        progress: &HashMap<DiskId, Progress>,
        retiring: &HashSet<String>,
        now: Instant,
    ) -> Instant {
        let unreachable = progress
            .iter()
            .filter(|(_, p)| p.unreachable_since.is_some());
        let stability_state = StabilityState {
            version: view.version,
            unreachable: unreachable.map(|(disk, _)| *disk).collect(),
            retiring: retiring.iter().cloned().collect(),
        };
        if self.stability_state.0 != stability_state {
            self.stability_state = (stability_state, now);
        }
        self.stability_state.1
    }

    /// Whether all other active members have the records that this replica applied
    /// more than [`MAX_LAG`] ago. Newer records needn't be waited for, because their writer sends
    /// them to all members.
    fn have_others_caught_up(&mut self, view: &View, now: Instant) -> bool {
        let end = self.replica.index().end_position();
        self.recent_end_positions.push_back((now, end));
        while self.recent_end_positions.len() > 1 && now - self.recent_end_positions[1].0 >= MAX_LAG
        {
            self.recent_end_positions.pop_front();
        }
        let (since, end) = self.recent_end_positions[0];
        // Until then the index lacks records that are on disk.
        if !self.replica.is_recovered() {
            self.recent_end_positions.clear();
            return false;
        }
        if now - since < MAX_LAG {
            return false;
        }
        let own = self.replica.disk();
        let mut others = view.active().filter(|m| m.disk != own);
        others.all(|m| self.replica.has_synced(m.disk, end))
    }

    /// Whether this replica's disk is absent from an earlier view, and all active members that are
    /// reachable have the records with which it returned.
    fn is_copied(&mut self, view: &View, progress: &HashMap<DiskId, Progress>) -> bool {
        let own = self.replica.disk();
        if !view.is_absent(own) || view.find(own).is_none() || !self.replica.is_recovered() {
            self.returned_position = None;
            return false;
        }
        // Requests of earlier views are refused from now on, so that no other records follow.
        let end = self.replica.index().end_position();
        let position = *self.returned_position.get_or_insert(end);
        let is_reachable = |m: &&Member| {
            let progress = progress.get(&m.disk);
            progress.is_some_and(|p| p.unreachable_since.is_none())
        };
        let mut others = view.active().filter(|m| m.disk != own).filter(is_reachable);
        others.all(|m| self.replica.has_synced(m.disk, position))
    }

    /// Returns the version up to which absences have lasted longer than any record is retained.
    fn outlasted(&mut self, view: &View, mirror: &Mirror, now: Instant) -> Option<u64> {
        let absences = view.absences.iter().map(|a| a.version);
        let versions: HashSet<u64> = absences.collect();
        self.absent_since.retain(|v, _| versions.contains(v));
        if versions.is_empty() {
            return None;
        }
        let retention = self.replica.index().longest_retention();
        let mut lasted = HashMap::new();
        for version in versions {
            let since = *self.absent_since.entry(version).or_insert(now);
            lasted.insert(version, now - since);
        }
        // The configuration is decoded only if it may matter.
        lasted.retain(|_, lasted| *lasted >= retention);
        if lasted.is_empty() {
            return None;
        }
        let configured = self.retirement.longest_retention(mirror);
        lasted.retain(|_, lasted| *lasted >= configured.unwrap_or_default());
        lasted.into_keys().max()
    }

    /// Whether all active members have each other's records of earlier views: this replica has
    /// those of the others, and they have what it had then.
    fn is_level(&mut self, view: &View, progress: &HashMap<DiskId, Progress>) -> bool {
        let own = self.replica.disk();
        let others: Vec<&Member> = view.active().filter(|m| m.disk != own).collect();
        let is_synced = |m: &&Member| {
            progress.get(&m.disk).is_some_and(|p| {
                p.unreachable_since.is_none() && p.synced_version >= Some(view.version)
            })
        };
        if !others.iter().all(is_synced) {
            self.synced_position = None;
            return false;
        }
        let known = self
            .synced_position
            .filter(|(version, _)| *version == view.version);
        let position = match known {
            Some((_, position)) => position,
            None => self.replica.index().end_position(),
        };
        self.synced_position = Some((view.version, position));
        others
            .iter()
            .all(|m| self.replica.has_synced(m.disk, position))
    }

    /// Starts and stops followers so that exactly the other members are followed.
    fn update_followers(&mut self, view: &View) {
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
            let handle = FollowerHandle {
                progress,
                _stop: stop.drop_guard(),
            };
            self.followers.insert(key, handle);
        }
        while self.tasks.try_join_next().is_some() {}
    }

    /// Tries to replace the view at revision `expected_revision` with `view`.
    async fn propose(&self, view: View, expected_revision: u64) {
        let value = match serde_json::to_vec(&view) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "view_not_written", %error, remedy = "report this");
                return;
            }
        };
        let swap = Swap {
            key: view::VIEW_KEY.to_owned(),
            expected_revision,
            value: Some(value.clone()),
            lease: None,
        };
        let members: Vec<_> = view.members.iter().map(format_member).collect();
        let members = members.join(",");
        match kv::swap_and_verify(&*self.kv, swap).await {
            Ok(Outcome::Written(revision)) => {
                tracing::info!(
                    event = "view_changed",
                    version = view.version,
                    revision,
                    copies = view.copies,
                    absent = view.absences.iter().map(|a| a.members.len()).sum::<usize>(),
                    members
                );
                let item = mirror::Item {
                    key: view::VIEW_KEY.to_owned(),
                    value: Some(value.into()),
                    revision,
                };
                self.replica.mirror().apply(vec![item], Instant::now());
                self.replica.update_view(&view);
            }
            Ok(Outcome::Conflict(held)) => {
                tracing::info!(
                    event = "view_conflict",
                    version = view.version,
                    expected = expected_revision
                );
                // The mirror gets the current value now; otherwise the next proposal could
                // conflict again.
                let items = held.map(mirror::Item::from).into_iter().collect();
                self.replica.mirror().apply(items, Instant::now());
            }
            Err(error) => {
                tracing::warn!(event = "view_not_changed", version = view.version, %error);
            }
        }
    }

    /// Reports to the operator whether this instance has left the view, unless that was
    /// reported already.
    async fn report_status(&mut self, done: bool) {
        if self.reported_retired == Some(done) {
            return;
        }
        let (key, value) = self.retirement.retire_status(&self.config.name, done);
        let written = write(&*self.kv, key, value).await;
        match written {
            Ok(()) => {
                self.reported_retired = Some(done);
                tracing::info!(event = "emptying", instance = self.config.name, done);
            }
            Err(error) => tracing::warn!(event = "emptying_not_told", done, %error),
        }
    }
}

/// Formats a member for the log; inactive members get a question mark.
fn format_member(member: &Member) -> String {
    let suffix = if member.active { "" } else { "?" };
    format!("{}{suffix}", member.name)
}

/// Overwrites a key, unless another writer changes it at the same time.
async fn write(kv: &dyn KeyValue, key: String, value: Vec<u8>) -> Result<(), kv::Error> {
    let expected_revision = kv.get(&key).await?.map_or(0, |e| e.revision);
    let swap = Swap {
        key,
        expected_revision,
        value: Some(value),
        lease: None,
    };
    match kv::swap_and_verify(kv, swap).await? {
        Outcome::Written(_) => Ok(()),
        Outcome::Conflict(_) => Err(kv::Error::Refused(
            "the key was changed concurrently".to_owned(),
        )),
    }
}

/// Returns the view in `mirror` with its revision.
pub fn read_view(mirror: &Mirror) -> Option<(View, u64)> {
    let (value, revision) = mirror.get(view::VIEW_KEY)?;
    match serde_json::from_slice(&value) {
        Ok(view) => Some((view, revision)),
        Err(error) => {
            tracing::error!(event = "view_not_read", revision, %error,
                remedy = "run the same version on all instances");
            None
        }
    }
}
