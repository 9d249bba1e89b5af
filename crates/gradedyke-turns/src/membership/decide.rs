//! What a replica does about the view, from what it sees.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::spread::Spread;
use crate::sync::Progress;
use crate::view::{Disk, Member, View};

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
/// How long a vacant place is left to replicas of data centres that have fewer
/// members, after the last of them had its turn. They hear of it within 0.15 s of each
/// other, and at a first start instances start within 0.3 s.
const PRECEDENCE: Duration = Duration::from_millis(600);
/// Longest time by which replicas that start for the first time enter one after the
/// other. With 36 of them that entered as soon as they could, 97 of 102 tries came too
/// late, each a call to the platform; traffic begins 10 s after a first start.
const FIRST_TURN: Duration = Duration::from_secs(1);
/// The same of spares, which somebody waits for.
const TURN: Duration = Duration::from_millis(300);
/// How long nothing may have changed before a member is moved to another data
/// centre: the time in which a restarted instance is back and level again. A
/// move copies all records once, which is not worth it for a short loss.
const SETTLED: Duration = Duration::from_secs(5);

/// How this replica takes part.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its instance's name.
    pub name: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// All data centres in which there may be replicas, as far as known.
    pub data_centres: Vec<String>,
    /// Whether the whole system starts for the first time, so that an empty
    /// disk has lost nothing.
    pub first_start: bool,
    /// Disks that may be lost at a time.
    pub tolerate: usize,
    /// How long it lets others go first where all may enter, as [`turn`] draws it.
    pub turn: Duration,
}

/// The longest that a replica lets others go first.
fn longest_turn(first_start: bool) -> Duration {
    if first_start { FIRST_TURN } else { TURN }
}

/// Draws how long a replica lets others go first.
pub fn turn(first_start: bool) -> Duration {
    longest_turn(first_start).mul_f64(rand::random())
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
    /// Since when the view, those out of reach and those to be emptied are the
    /// same.
    pub unchanged: Instant,
}

impl Sight<'_> {
    /// Whether a member has been out of reach for `time`.
    fn lost(&self, member: &Member, time: Duration, now: Instant) -> bool {
        let progress = self.progress.get(&member.disk);
        let lost = progress.and_then(|p| p.lost);
        lost.is_some_and(|at| now - at >= time)
    }

    /// Whether a member is there and to stay.
    fn stays(&self, member: &Member, now: Instant) -> bool {
        !self.lost(member, GONE, now) && !self.leaving.contains(&member.name)
    }

    /// Members that are there and to stay.
    fn staying(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let members = self.view.members.iter();
        members.filter(move |m| self.stays(m, now))
    }

    /// Whether fewer take part than are needed to bear the losses tolerated.
    fn vacant(&self, now: Instant) -> bool {
        self.staying(now).count() < wanted(self.view)
    }

    /// Whether more count than are needed, and nobody is about to come or go.
    fn surplus(&self, now: Instant) -> bool {
        let members = &self.view.members;
        let calm = members.iter().all(|m| m.active && self.stays(m, now));
        calm && members.len() > wanted(self.view)
    }

    /// Whether exactly those take part that are needed.
    fn complete(&self, now: Instant) -> bool {
        let members = &self.view.members;
        let calm = members.iter().all(|m| m.active && self.stays(m, now));
        calm && members.len() == wanted(self.view)
    }
}

/// How many take part: the fewest whose majority survives the losses tolerated.
pub(super) fn wanted(view: &View) -> usize {
    2 * view.tolerate + 1
}

/// The view that a replica should propose, if any.
pub fn decide(config: &Config, sight: &Sight<'_>, now: Instant) -> Option<View> {
    let view = sight.view;
    match (view.find(sight.disk), sight.leave) {
        (None, Some(_)) => None,
        (None, None) => {
            let again = view.members.iter().any(|m| m.name == config.name);
            let enters = again || fills(config, sight, now) || evens(config, sight, now);
            enters.then(|| enter(config, sight))
        }
        (Some(_), Some(since)) => leave(sight, since, now),
        (Some(me), None) if me.address != config.address => Some(moved(config, sight)),
        (Some(me), None) if me.active => {
            drop_lost(sight, now).or_else(|| make_way(config, sight, now))
        }
        (Some(_), None) => activate(sight, now),
    }
}

/// Whether this replica is to take a vacant place: when it is its turn if its data
/// centre has the fewest members, and otherwise when nobody of such a one came.
fn fills(config: &Config, sight: &Sight<'_>, now: Instant) -> bool {
    if !sight.vacant(now) {
        return false;
    }
    let spread = Spread::new(sight.staying(now), &config.data_centres);
    let fewest = spread.is_fewest(&config.data_centre);
    let others = if fewest {
        Duration::ZERO
    } else {
        longest_turn(config.first_start) + PRECEDENCE
    };
    now - sight.unchanged >= others + config.turn
}

/// Whether this replica is to enter although no place is vacant, so that one in a
/// data centre with more members can go.
fn evens(config: &Config, sight: &Sight<'_>, now: Instant) -> bool {
    if !sight.complete(now) {
        return false;
    }
    let spread = Spread::new(&sight.view.members, &config.data_centres);
    spread.lacks(&config.data_centre) && now - sight.unchanged >= SETTLED + config.turn
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
    Some(without(view, sight.disk))
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
fn drop_lost(sight: &Sight<'_>, now: Instant) -> Option<View> {
    let view = sight.view;
    if view.active().count() <= wanted(view) {
        return None;
    }
    let gone = view.active().find(|m| sight.lost(m, SURPLUS, now))?.disk;
    Some(without(view, gone))
}

/// Leaves where more count than are needed and the others have everything: the
/// last of those in the data centre with the most members. Somebody entered for
/// one that was out of reach and came back, or to even the members out.
fn make_way(config: &Config, sight: &Sight<'_>, now: Instant) -> Option<View> {
    if !sight.followed || !sight.surplus(now) {
        return None;
    }
    let view = sight.view;
    let spread = Spread::new(&view.members, &config.data_centres);
    let crowded = view.members.iter();
    let mut crowded = crowded.filter(|m| spread.is_most(&m.data_centre));
    let last = crowded.next_back().map(|m| m.disk);
    (last == Some(sight.disk)).then(|| without(view, sight.disk))
}

/// The view after this one, without the replica on `disk`.
fn without(view: &View, disk: Disk) -> View {
    let mut members = view.members.clone();
    members.retain(|m| m.disk != disk);
    view.next(members)
}
