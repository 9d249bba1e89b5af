//! The known copies of a view against a naive model, which keeps the set of members that have
//! each record.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use gradedyke_turns::membership::{Observation, decide};
use gradedyke_turns::view::{DiskId, Member, View};
use proptest::prelude::*;
use tokio::time::Instant;

use super::{PeerState, config, progress};

/// One step of a random schedule. Numbers select a member, modulo their count.
#[derive(Clone, Debug)]
enum Step {
    /// A record is acknowledged by a quorum of active members, which starts at this one.
    Store(usize),
    /// A member copies the records of all others.
    Sync(usize),
    /// All members copy the records of all others, and the view may note it.
    Level,
    /// A new instance joins, or one whose disk was lost.
    Join(Option<usize>),
    /// The oldest joining member becomes active, without those that are unreachable. These may
    /// have been so for long enough to be given up, and `copied` tells whether the others have
    /// copied the records of the one that joins.
    Activate {
        unreachable: Vec<usize>,
        for_long: bool,
        copied: bool,
    },
    /// A member is retired.
    Retire(usize),
    /// A member that was given up is back, with its disk or with an empty one.
    Return { absent: usize, is_lost: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Step::Store),
        2 => (0..6_usize).prop_map(Step::Sync),
        2 => Just(Step::Level),
        2 => proptest::option::of(0..6_usize).prop_map(Step::Join),
        4 => (proptest::collection::vec(0..6_usize, 0..3), any::<bool>(), any::<bool>()).prop_map(
            |(unreachable, for_long, copied)| Step::Activate { unreachable, for_long, copied }
        ),
        1 => (0..6_usize).prop_map(Step::Retire),
        2 => (0..6_usize, proptest::bool::weighted(0.3))
            .prop_map(|(absent, is_lost)| Step::Return { absent, is_lost }),
    ]
}

/// What a replica observes.
#[derive(Clone, Copy, Default)]
struct Flags {
    retire: bool,
    level: bool,
    copied: bool,
    /// Whether those that are left out may have the only copies of a record.
    gives_up: bool,
}

/// The view, and the records that are on each disk.
struct Model {
    view: View,
    disks: HashMap<DiskId, BTreeSet<u32>>,
    /// Disks that were lost, or whose replica was replaced or retired after the others had its
    /// records. Only if more disks are lost than tolerated might one of the latter be needed.
    lost: HashSet<DiskId>,
    record_count: u32,
    next_disk: DiskId,
    now: Instant,
}

impl Model {
    fn new() -> Self {
        let disks: [DiskId; 3] = [1, 2, 3];
        let member = |disk: &DiskId| super::member(&format!("m{disk}"), *disk, true);
        Self {
            view: View {
                version: 1,
                tolerate: 1,
                members: disks.iter().map(member).collect(),
                copies: 2,
                absences: Vec::new(),
            },
            disks: disks.map(|d| (d, BTreeSet::new())).into(),
            lost: HashSet::new(),
            record_count: 0,
            next_disk: 4,
            now: Instant::now() + Duration::from_secs(60),
        }
    }

    fn active(&self) -> Vec<DiskId> {
        self.view.active().map(|m| m.disk).collect()
    }

    fn sync(&mut self, disk: DiskId, from: &[DiskId]) {
        let records: BTreeSet<u32> = from.iter().flat_map(|d| self.disks[d].clone()).collect();
        self.disks.get_mut(&disk).unwrap().extend(records);
    }

    /// Lets the replica `me` decide and applies what it proposes.
    fn decide(&mut self, me: &Member, states: &[(DiskId, PeerState)], flags: Flags) {
        let Flags {
            retire,
            level,
            copied,
            gives_up,
        } = flags;
        let retiring = HashSet::from_iter(retire.then(|| me.name.clone()));
        let long_ago = self.now - Duration::from_secs(10);
        let observation = Observation {
            view: &self.view,
            disk: me.disk,
            progress: &progress(states, self.now),
            retiring_since: retire.then_some(long_ago),
            retiring: &retiring,
            others_caught_up: retire,
            is_copied: copied,
            outlasted: None,
            is_level: level,
            unchanged_since: long_ago,
        };
        let config = gradedyke_turns::membership::Config {
            name: me.name.clone(),
            address: me.address,
            ..config(false)
        };
        let Some(next) = decide(&config, &observation, self.now) else {
            return;
        };
        let former = self.view.members.iter().map(|m| m.disk);
        if !gives_up {
            self.lost.extend(former.filter(|d| next.find(*d).is_none()));
        }
        self.view = next;
    }

    fn apply(&mut self, step: &Step) {
        let active = self.active();
        let pick = |n: usize| active[n % active.len()];
        match *step {
            Step::Store(_) if self.view.members.len() < self.view.required_copies() => {}
            Step::Store(first) => {
                self.record_count += 1;
                let quorum = self.view.quorum_size();
                for n in 0..quorum {
                    let disk = pick(first + n);
                    self.disks.get_mut(&disk).unwrap().insert(self.record_count);
                }
                // A member that joins may be needed for enough copies.
                let joining = self.view.members.iter().filter(|m| !m.active);
                for member in joining.take(self.view.required_copies().saturating_sub(quorum)) {
                    let records = self.disks.get_mut(&member.disk).unwrap();
                    records.insert(self.record_count);
                }
            }
            Step::Sync(member) => self.sync(pick(member), &active),
            Step::Level => {
                for disk in &active {
                    self.sync(*disk, &active);
                }
                let first = self.view.active().next().unwrap().clone();
                let flags = Flags {
                    level: true,
                    ..Flags::default()
                };
                self.decide(&first, &[], flags);
            }
            Step::Join(replaced) => {
                let disk = self.next_disk;
                let lost = replaced.filter(|_| active.len() > 2).map(pick);
                let lost = lost.and_then(|d| self.view.find(d)).cloned();
                let replaced_disk = lost.as_ref().map(|m| m.disk);
                let name = lost.map_or_else(|| format!("m{disk}"), |m| m.name);
                let me = super::member(&name, disk, false);
                let unreachable = PeerState::Unreachable(5_000);
                // A lost member makes room for another one.
                let states = [(active[0], unreachable)];
                self.next_disk += 1;
                self.disks.insert(disk, BTreeSet::new());
                self.lost.extend(replaced_disk);
                self.decide(&me, &states, Flags::default());
            }
            Step::Activate {
                ref unreachable,
                for_long,
                copied,
            } => {
                let Some(me) = self.view.members.iter().find(|m| !m.active).cloned() else {
                    return;
                };
                let lost: Vec<DiskId> = unreachable.iter().map(|n| pick(*n)).collect();
                let is_reachable = |d: &DiskId| !lost.contains(d);
                let reachable: Vec<DiskId> = active.iter().copied().filter(is_reachable).collect();
                self.sync(me.disk, &reachable);
                if copied {
                    for disk in &reachable {
                        self.sync(*disk, &[me.disk]);
                    }
                }
                let unreachable_ms = if for_long { 25_000 } else { 5_000 };
                let version = self.view.version;
                // `progress` counts unreachable members from version 5 on.
                let state = |disk: &DiskId| match lost.contains(disk) {
                    true => PeerState::Unreachable(unreachable_ms),
                    false => PeerState::Synced(version),
                };
                let states: Vec<_> = active.iter().map(|d| (*d, state(d))).collect();
                let gives_up = reachable.len() < self.view.sync_quorum();
                let flags = Flags {
                    copied,
                    gives_up,
                    ..Flags::default()
                };
                self.decide(&me, &states, flags);
            }
            Step::Retire(member) => {
                let me = self.view.find(pick(member)).unwrap().clone();
                // The others have all of its records.
                for disk in &active {
                    self.sync(*disk, &[me.disk]);
                }
                let flags = Flags {
                    retire: true,
                    ..Flags::default()
                };
                self.decide(&me, &[], flags);
            }
            Step::Return { absent, is_lost } => {
                let absent_members = self.view.absences.iter().flat_map(|a| &a.members);
                let absent_members: Vec<Member> = absent_members.cloned().collect();
                let Some(former) = absent_members.get(absent % absent_members.len().max(1)) else {
                    return;
                };
                if self.lost.contains(&former.disk) || self.view.find(former.disk).is_some() {
                    return;
                }
                let disk = if is_lost {
                    self.lost.insert(former.disk);
                    self.next_disk += 1;
                    self.disks.insert(self.next_disk - 1, BTreeSet::new());
                    self.next_disk - 1
                } else {
                    former.disk
                };
                let me = super::member(&former.name, disk, false);
                self.decide(&me, &[], Flags::default());
            }
        }
    }

    /// Whether a record is left on any disk, of a member or not.
    fn is_left(&self, record: u32) -> bool {
        let mut disks = self.disks.iter();
        disks.any(|(d, r)| r.contains(&record) && !self.lost.contains(d))
    }

    fn holder_count(&self, record: u32) -> usize {
        let active = self.active().into_iter();
        active.filter(|d| self.disks[d].contains(&record)).count()
    }

    /// Whether the replies of any quorum together have each record that is left. Only then may they
    /// tell that a turn doesn't exist, or what a program used.
    fn is_complete(&self) -> bool {
        let (active, quorum) = (self.active().len(), self.view.quorum_size());
        let mut left = (1..=self.record_count).filter(|r| self.is_left(*r));
        left.all(|r| self.holder_count(r) + quorum > active)
    }

    /// Whether the members from which a newcomer must sync have each record, whichever they are.
    fn is_safe(&self) -> bool {
        let (active, needed) = (self.active().len(), self.view.sync_quorum());
        // Known copies are those of each record: without any `needed` members, fewer are left
        // than have it.
        let mut left = (1..=self.record_count).filter(|r| self.is_left(*r));
        left.all(|r| self.holder_count(r) + needed > active)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A newcomer that synced from too few members would lack a record once the others are lost.
    #[test]
    fn sync_quorum_has_every_record(steps in proptest::collection::vec(step(), 1..40)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            // Without known copies more members were lost than is tolerated.
            if model.view.known_copies() > 0 && model.view.absences.is_empty() {
                prop_assert!(model.is_safe(), "after {step:?}: {:?}", model.view);
            }
        }
    }

    /// Members that continued without others, which had the only copies of a record, said that
    /// there was no such turn.
    #[test]
    fn record_that_is_left_is_never_denied(steps in proptest::collection::vec(step(), 1..40)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            if model.view.absences.is_empty() {
                prop_assert!(model.is_complete(), "after {step:?}: {:?}\n{:?}", model.view, model.disks);
            }
        }
    }
}
