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
    /// The newest member becomes active, without those that are unreachable.
    Activate { unreachable: Option<usize> },
    /// A member is retired.
    Retire(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize).prop_map(Step::Store),
        2 => (0..6_usize).prop_map(Step::Sync),
        2 => Just(Step::Level),
        2 => proptest::option::of(0..6_usize).prop_map(Step::Join),
        3 => proptest::option::of(0..6_usize).prop_map(|unreachable| Step::Activate { unreachable }),
        1 => (0..6_usize).prop_map(Step::Retire),
    ]
}

/// The view, and the records that are on each disk.
struct Model {
    view: View,
    disks: HashMap<DiskId, BTreeSet<u32>>,
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
            },
            disks: disks.map(|d| (d, BTreeSet::new())).into(),
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
    fn decide(&mut self, me: &Member, states: &[(DiskId, PeerState)], retire: bool, level: bool) {
        let retiring = HashSet::from_iter(retire.then(|| me.name.clone()));
        let long_ago = self.now - Duration::from_secs(10);
        let observation = Observation {
            view: &self.view,
            disk: me.disk,
            progress: &progress(states, self.now),
            retiring_since: retire.then_some(long_ago),
            retiring: &retiring,
            others_caught_up: retire,
            is_level: level,
            unchanged_since: long_ago,
        };
        let config = gradedyke_turns::membership::Config {
            name: me.name.clone(),
            address: me.address,
            ..config(false)
        };
        if let Some(next) = decide(&config, &observation, self.now) {
            self.view = next;
        }
    }

    fn apply(&mut self, step: &Step) {
        let active = self.active();
        let pick = |n: usize| active[n % active.len()];
        match *step {
            Step::Store(first) => {
                self.record_count += 1;
                let quorum = self.view.quorum_size();
                for n in 0..quorum {
                    let disk = pick(first + n);
                    self.disks.get_mut(&disk).unwrap().insert(self.record_count);
                }
            }
            Step::Sync(member) => self.sync(pick(member), &active),
            Step::Level => {
                for disk in &active {
                    self.sync(*disk, &active);
                }
                let first = self.view.active().next().unwrap().clone();
                self.decide(&first, &[], false, true);
            }
            Step::Join(replaced) => {
                let disk = self.next_disk;
                let lost = replaced.filter(|_| active.len() > 2).map(pick);
                let lost = lost.and_then(|d| self.view.find(d)).cloned();
                let name = lost.map_or_else(|| format!("m{disk}"), |m| m.name);
                let me = super::member(&name, disk, false);
                let unreachable = PeerState::Unreachable(5_000);
                // A lost member makes room for another one.
                let states = [(active[0], unreachable)];
                self.next_disk += 1;
                self.disks.insert(disk, BTreeSet::new());
                self.decide(&me, &states, false, false);
            }
            Step::Activate { unreachable } => {
                let Some(me) = self.view.members.iter().find(|m| !m.active).cloned() else {
                    return;
                };
                let lost = unreachable.map(pick);
                let reachable: Vec<DiskId> = active
                    .iter()
                    .copied()
                    .filter(|d| Some(*d) != lost)
                    .collect();
                self.sync(me.disk, &reachable);
                let version = self.view.version;
                // `progress` counts unreachable members from version 5 on.
                let state = |disk: &DiskId| match Some(*disk) == lost {
                    true => PeerState::Unreachable(5_000),
                    false => PeerState::Synced(version),
                };
                let states: Vec<_> = active.iter().map(|d| (*d, state(d))).collect();
                self.decide(&me, &states, false, false);
            }
            Step::Retire(member) => {
                let me = self.view.find(pick(member)).unwrap().clone();
                // The others have all of its records.
                for disk in &active {
                    self.sync(*disk, &[me.disk]);
                }
                self.decide(&me, &[], true, false);
            }
        }
    }

    /// Whether the members from which a newcomer must sync have each record, whichever they are.
    fn is_safe(&self) -> bool {
        let active = self.active();
        let needed = self.view.sync_quorum();
        // Known copies are those of each record: without any `needed` members, fewer are left
        // than have it.
        (1..=self.record_count).all(|record| {
            let holders = active
                .iter()
                .filter(|d| self.disks[d].contains(&record))
                .count();
            holders + needed > active.len()
        })
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
            if model.view.known_copies() > 0 {
                prop_assert!(model.is_safe(), "after {step:?}: {:?}", model.view);
            }
        }
    }
}
