//! Decides how a replica should change the view.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::distribution::Distribution;
use crate::sync::Progress;
use crate::view::{Absence, DiskId, Member, View};

/// How long a member must be unreachable before a spare may replace it. Gives a
/// process time to restart.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a member must be unreachable before it is removed without a
/// replacement, where there are more active members than needed.
const SURPLUS_REMOVAL_TIMEOUT: Duration = Duration::from_secs(8);
/// How long members must be unreachable before the others continue without them even though
/// records may be only on their disks ([`View::absences`]). This happens if more members are
/// unreachable than tolerated, or if one is before the replacement of another has caught up. Gives
/// an instance time to come back with its disk. Longer than the longest known outage of a single
/// instance (12 s).
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a member that is to be retired waits for a spare to join, catch up and
/// become active in its place.
const SPARE_WAIT: Duration = Duration::from_millis(2_500);
/// How much longer than the maximum jitter a vacancy is reserved for replicas of the data centres
/// with the fewest members. Covers the time that these need to start and to learn of the vacancy.
/// They learn of it within 0.15 s of each other, and at a first start instances start within 0.3
/// s.
const PRIORITY_MARGIN: Duration = Duration::from_millis(600);
/// Maximum jitter before joining at a first start. Makes conflicting concurrent joins rare. Of 36
/// keepers that joined as soon as they could, 97 of 102 tries conflicted, each a call to the
/// platform.
const FIRST_START_MAX_JITTER: Duration = Duration::from_secs(1);
/// Maximum jitter before a spare joins.
const SPARE_MAX_JITTER: Duration = Duration::from_millis(300);
/// How long the state of the view must be unchanged before a member is moved to another
/// data centre. A move copies all records, so a short outage must not cause one.
const REBALANCE_DELAY: Duration = Duration::from_secs(5);

/// Settings of this replica's membership.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of its instance.
    pub name: String,
    /// The address on which it serves peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// All known data centres in which replicas may run.
    pub data_centres: Vec<String>,
    /// Whether the whole system starts for the first time, so that an empty disk
    /// doesn't mean that records were lost.
    pub first_start: bool,
    /// How many disks may be lost at the same time without losing records.
    pub tolerated_losses: usize,
    /// Delay before this replica joins where several may, as drawn by [`draw_join_delay`].
    pub join_delay: Duration,
}

fn max_jitter(first_start: bool) -> Duration {
    if first_start {
        FIRST_START_MAX_JITTER
    } else {
        SPARE_MAX_JITTER
    }
}

/// Draws a random delay before a replica joins, so that replicas rarely try to join
/// at the same time.
pub fn draw_join_delay(first_start: bool) -> Duration {
    max_jitter(first_start).mul_f64(rand::random())
}

/// Input of [`decide`].
#[derive(Clone, Debug)]
pub struct Observation<'a> {
    /// The current view.
    pub view: &'a View,
    /// The replica's own disk.
    pub disk: DiskId,
    /// How far it has synced from each other member.
    pub progress: &'a HashMap<DiskId, Progress>,
    /// When the request to retire its own instance was first seen, if there is one.
    pub retiring_since: Option<Instant>,
    /// Names of all instances that are to be retired.
    pub retiring: &'a HashSet<String>,
    /// Whether all other active members have all of its records, except the most recent.
    pub others_caught_up: bool,
    /// Whether all active members that are reachable have the records that this replica had when
    /// it learned of the view. Known only while its own disk is absent from an earlier view.
    pub is_copied: bool,
    /// Absences up to this version have lasted longer than any record is retained.
    pub outlasted: Option<u64>,
    /// Whether all active members have each other's records of earlier views.
    pub is_level: bool,
    /// Since when the view, the unreachable members and the instances to be retired
    /// have been the same.
    pub unchanged_since: Instant,
}

impl Observation<'_> {
    /// Whether a member has been unreachable for at least `duration`.
    fn is_unreachable_for(&self, member: &Member, duration: Duration, now: Instant) -> bool {
        let progress = self.progress.get(&member.disk);
        let unreachable_since = progress.and_then(|p| p.unreachable_since);
        unreachable_since.is_some_and(|at| now - at >= duration)
    }

    /// Whether a member is expected to remain in the view: its instance is not to be retired, and
    /// it has not been unreachable for [`REPLACE_TIMEOUT`].
    fn is_stable(&self, member: &Member, now: Instant) -> bool {
        !self.is_unreachable_for(member, REPLACE_TIMEOUT, now)
            && !self.retiring.contains(&member.name)
    }

    fn stable_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let members = self.view.members.iter();
        members.filter(move |m| self.is_stable(m, now))
    }

    /// Whether there are fewer stable members than needed.
    fn has_vacancy(&self, now: Instant) -> bool {
        self.stable_members(now).count() < target_member_count(self.view)
    }

    /// Whether there are more members than needed, all of them active and stable.
    fn has_surplus(&self, now: Instant) -> bool {
        let members = &self.view.members;
        let all_stable = members.iter().all(|m| m.active && self.is_stable(m, now));
        all_stable && members.len() > target_member_count(self.view)
    }

    /// Whether there are exactly as many members as needed, all of them active and
    /// stable.
    fn is_complete(&self, now: Instant) -> bool {
        let members = &self.view.members;
        let all_stable = members.iter().all(|m| m.active && self.is_stable(m, now));
        all_stable && members.len() == target_member_count(self.view)
    }
}

/// How many members are needed: the smallest number of which a majority remains
/// after the tolerated losses.
pub(super) fn target_member_count(view: &View) -> usize {
    2 * view.tolerate + 1
}

/// Returns the view that this replica should propose, if any.
pub fn decide(config: &Config, observation: &Observation<'_>, now: Instant) -> Option<View> {
    let view = observation.view;
    match (view.find(observation.disk), observation.retiring_since) {
        // Its records must be copied before its disk is removed.
        (None, Some(_)) => view
            .is_absent(observation.disk)
            .then(|| propose_join(config, observation)),
        (None, None) => {
            let replaces_own_disk = view.members.iter().any(|m| m.name == config.name);
            let joins = replaces_own_disk
                || view.is_absent(observation.disk)
                || should_fill_vacancy(config, observation, now)
                || should_rebalance(config, observation, now);
            if joins {
                return Some(propose_join(config, observation));
            }
            propose_lost_disk(config, observation)
        }
        (Some(_), Some(since)) => propose_leave(observation, since, now),
        (Some(me), None) if me.address != config.address => {
            Some(propose_address(config, observation))
        }
        (Some(me), None) if me.active => propose_removal_of_unreachable(observation, now)
            .or_else(|| propose_leave_if_surplus(config, observation, now))
            .or_else(|| propose_outlasted(observation))
            .or_else(|| propose_copies(observation)),
        (Some(_), None) => propose_activation(observation, now),
    }
}

/// Whether this replica should fill a vacancy. Replicas in the data centre with
/// the fewest members may do so after their jitter, others only after the
/// maximum jitter plus [`PRIORITY_MARGIN`] and their own jitter.
fn should_fill_vacancy(config: &Config, observation: &Observation<'_>, now: Instant) -> bool {
    if !observation.has_vacancy(now) {
        return false;
    }
    let distribution = Distribution::new(observation.stable_members(now), &config.data_centres);
    let has_priority = distribution.has_fewest(&config.data_centre);
    let priority_delay = if has_priority {
        Duration::ZERO
    } else {
        max_jitter(config.first_start) + PRIORITY_MARGIN
    };
    now - observation.unchanged_since >= priority_delay + config.join_delay
}

/// Whether this replica should join although there is no vacancy, so that a member in
/// a data centre with more members can leave.
fn should_rebalance(config: &Config, observation: &Observation<'_>, now: Instant) -> bool {
    if !observation.is_complete(now) {
        return false;
    }
    let distribution = Distribution::new(&observation.view.members, &config.data_centres);
    distribution.is_underrepresented(&config.data_centre)
        && now - observation.unchanged_since >= REBALANCE_DELAY + config.join_delay
}

/// Proposes to add this replica to the view. At a first start it is active at once as long as
/// there are too few active members to have stored any record.
fn propose_join(config: &Config, observation: &Observation<'_>) -> View {
    let mut view = observation.view.clone();
    view.tolerate = config.tolerated_losses;
    let no_records_yet = view.active().count() <= config.tolerated_losses;
    let mut members = view.members.clone();
    // If this instance is already a member with another disk, that disk was lost.
    members.retain(|m| m.name != config.name);
    members.push(Member {
        name: config.name.clone(),
        disk: observation.disk,
        address: config.address,
        data_centre: config.data_centre.clone(),
        active: config.first_start && no_records_yet,
    });
    let mut next = view.with_members(members);
    next.mark_lost(&config.name, observation.disk);
    if config.first_start && no_records_yet {
        next.copies = next.active().count();
    }
    next
}

/// Proposes to note that the disk with which this instance was left out is lost, so that nobody
/// waits for its records.
fn propose_lost_disk(config: &Config, observation: &Observation<'_>) -> Option<View> {
    let view = observation.view;
    if !view.has_lost_disk(&config.name, observation.disk) {
        return None;
    }
    let mut next = view.with_members(view.members.clone());
    next.mark_lost(&config.name, observation.disk);
    Some(next)
}

/// Proposes to wait no longer for disks that have been absent for longer than any record is
/// retained.
fn propose_outlasted(observation: &Observation<'_>) -> Option<View> {
    let view = observation.view;
    let outlasted = observation.outlasted?;
    if view.absences.iter().all(|a| a.version > outlasted) {
        return None;
    }
    let mut next = view.with_members(view.members.clone());
    next.absences.retain(|a| a.version > outlasted);
    tracing::warn!(
        event = "absences_ended",
        view = view.version,
        remedy = "records of disks that did not come back have expired"
    );
    Some(next)
}

/// Proposes the present address of this replica.
fn propose_address(config: &Config, observation: &Observation<'_>) -> View {
    let mut members = observation.view.members.clone();
    for member in &mut members {
        if member.disk == observation.disk {
            member.address = config.address;
        }
    }
    observation.view.with_members(members)
}

/// Proposes to remove this replica from the view once the other active members have all of its
/// records and are enough to store new ones. Waits a limited time for a spare.
fn propose_leave(observation: &Observation<'_>, since: Instant, now: Instant) -> Option<View> {
    let view = observation.view;
    let others = view.active().filter(|m| m.disk != observation.disk).count();
    let waited_for_spare = others >= target_member_count(view) || now - since >= SPARE_WAIT;
    if !observation.others_caught_up || others <= view.tolerate || !waited_for_spare {
        return None;
    }
    let mut next = without_member(view, observation.disk);
    next.mark_copied(observation.disk);
    Some(next)
}

/// Proposes to make this replica active and to remove members that are unreachable.
fn propose_activation(observation: &Observation<'_>, now: Instant) -> Option<View> {
    let view = observation.view;
    let mut unreachable = Vec::new();
    let mut synced = 0;
    for member in view.active() {
        let progress = observation.progress.get(&member.disk).copied();
        let progress = progress.unwrap_or_default();
        if progress
            .unreachable_since
            .is_some_and(|at| now - at >= REPLACE_TIMEOUT)
        {
            unreachable.push(member.disk);
        } else if progress.unreachable_since.is_none()
            && progress.synced_version >= Some(view.version)
        {
            synced += 1;
        } else {
            return None;
        }
    }
    // If too few members were synced, a record may exist only on a lost member.
    let has_all_records = synced >= view.sync_quorum();
    if !has_all_records && !should_give_up_unreachable(observation, synced, now) {
        return None;
    }
    // A quorum need not include this replica, so its records must be on the others as well.
    let is_absent = view.is_absent(observation.disk);
    if is_absent && !observation.is_copied {
        return None;
    }
    let (removed, mut members): (Vec<Member>, Vec<Member>) = view
        .members
        .iter()
        .cloned()
        .partition(|m| unreachable.contains(&m.disk));
    for member in &mut members {
        member.active |= member.disk == observation.disk;
    }
    let mut next = view.with_members(members);
    if is_absent {
        next.mark_copied(observation.disk);
    }
    if !has_all_records {
        next.absences.push(Absence {
            version: next.version,
            members: removed,
            required: view.sync_quorum() - synced,
        });
    }
    // This replica has each record of earlier versions, and a quorum has those of this one.
    let earlier = view.known_copies().saturating_sub(unreachable.len()) + 1;
    let present = view.quorum_size().saturating_sub(unreachable.len());
    next.copies = if has_all_records {
        earlier.min(present)
    } else {
        0
    };
    Some(next)
}

/// Proposes to note that each record is on all active members, where fewer of them are left than
/// needed. If one of them is lost as well, a replica that joins then need not wait for it. The
/// version stays, because members and requests are not affected. The first active member does
/// this, so that not all of them call the platform's store.
fn propose_copies(observation: &Observation<'_>) -> Option<View> {
    let view = observation.view;
    let active = view.active().count();
    let is_first = view.active().next().map(|m| m.disk) == Some(observation.disk);
    let is_useful = active < target_member_count(view) && view.known_copies() < view.quorum_size();
    (is_first && is_useful && observation.is_level).then(|| View {
        copies: active,
        ..view.clone()
    })
}

/// Whether all unreachable active members have been so for long enough to continue
/// without them. At least one member must have been synced from.
fn should_give_up_unreachable(observation: &Observation<'_>, synced: usize, now: Instant) -> bool {
    let is_reachable = |m: &&Member| {
        observation
            .progress
            .get(&m.disk)
            .is_some_and(|p| p.unreachable_since.is_none())
    };
    let mut unreachable = observation.view.active().filter(|m| !is_reachable(m));
    let timed_out = unreachable.all(|m| observation.is_unreachable_for(m, GIVE_UP_TIMEOUT, now));
    if timed_out && synced > 0 {
        tracing::error!(
            event = "replicas_given_up",
            view = observation.view.version,
            level = synced,
            remedy = "start the instances that are down, with their disks; turns that only they \
                have are refused until then"
        );
    }
    timed_out && synced > 0
}

/// Proposes to remove a member that has been unreachable for long, if there are more active
/// members than needed.
fn propose_removal_of_unreachable(observation: &Observation<'_>, now: Instant) -> Option<View> {
    let view = observation.view;
    if view.active().count() <= target_member_count(view) {
        return None;
    }
    let unreachable = view
        .active()
        .find(|m| observation.is_unreachable_for(m, SURPLUS_REMOVAL_TIMEOUT, now))?
        .disk;
    Some(without_member(view, unreachable))
}

/// Proposes to remove this replica if there are more members than needed, the others have
/// all of its records, and it joined last among the members of the data centre with the
/// most members. A surplus arises when a replaced member returns, and from rebalancing.
fn propose_leave_if_surplus(
    config: &Config,
    observation: &Observation<'_>,
    now: Instant,
) -> Option<View> {
    if !observation.others_caught_up || !observation.has_surplus(now) {
        return None;
    }
    let view = observation.view;
    let distribution = Distribution::new(&view.members, &config.data_centres);
    let candidates = view.members.iter();
    let mut candidates = candidates.filter(|m| distribution.has_most(&m.data_centre));
    let last = candidates.next_back().map(|m| m.disk);
    (last == Some(observation.disk)).then(|| without_member(view, observation.disk))
}

/// Returns the next view, without the member on `disk`.
fn without_member(view: &View, disk: DiskId) -> View {
    let mut members = view.members.clone();
    members.retain(|m| m.disk != disk);
    view.with_members(members)
}
