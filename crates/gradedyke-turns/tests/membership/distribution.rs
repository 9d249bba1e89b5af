//! Table-driven tests of how members are distributed over data centres.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use gradedyke_turns::membership::{Config, Observation, decide, draw_join_delay};
use gradedyke_turns::view::{DiskId, Member, View};
use tokio::time::Instant;

use crate::{OWN_DISK, PeerState, config, member, progress, view};

/// Time for other replicas to learn of a view change, in milliseconds.
const PROPAGATION_MS: u64 = 150;

/// A member's name, disk and data centre, and whether it is active.
type MemberRow = (&'static str, DiskId, &'static str, bool);

/// What a replica in one of the data centres a, b and c observes.
struct Case<'a> {
    name: &'a str,
    data_centre: &'a str,
    members: &'a [MemberRow],
    states: &'a [(DiskId, PeerState)],
    /// How long the situation has been unchanged, in milliseconds.
    unchanged_ms: u64,
    retiring: &'a [&'a str],
}

impl Case<'_> {
    /// Returns the names of the members of the proposed view.
    fn propose(&self) -> Option<String> {
        let now = Instant::now() + Duration::from_secs(60);
        let mut view = view(&[]);
        let members = self.members.iter();
        let members = members.map(|(name, disk, data_centre, active)| Member {
            data_centre: (*data_centre).to_owned(),
            ..member(name, *disk, *active)
        });
        view.members = members.collect();
        let mut config = config(false);
        config.data_centre = self.data_centre.to_owned();
        config.data_centres = ["a", "b", "c"].map(str::to_owned).to_vec();
        let observation = Observation {
            view: &view,
            disk: OWN_DISK,
            progress: &progress(self.states, now),
            retiring_since: None,
            retiring: &self.retiring.iter().map(|n| (*n).to_owned()).collect(),
            others_caught_up: true,
            is_copied: false,
            outlasted: None,
            is_level: false,
            unchanged_since: now - Duration::from_millis(self.unchanged_ms),
        };
        let next = decide(&config, &observation, now)?;
        let names: Vec<&str> = next.members.iter().map(|m| m.name.as_str()).collect();
        Some(names.join(" "))
    }
}

const ALL_SYNCED: [(DiskId, PeerState); 3] = [
    (1, PeerState::Synced(5)),
    (2, PeerState::Synced(5)),
    (3, PeerState::Synced(5)),
];

#[test]
fn vacancies_are_filled_evenly_across_data_centres() {
    let two = [("a1", 1, "a", true), ("b1", 2, "b", true)];
    let even = [two[0], two[1], ("c1", 3, "c", true)];
    let uneven = [two[0], two[1], ("a2", 3, "a", true)];
    let all_in_a = [two[0], ("a2", 2, "a", true), ("a3", 3, "a", true)];
    let unreachable = [(3, PeerState::Unreachable(5_000))];
    let case = |name, data_centre, members, states, unchanged_ms| Case {
        name,
        data_centre,
        members,
        states,
        unchanged_ms,
        retiring: &[],
    };
    let retiring = Case {
        retiring: &["b1"],
        ..case(
            "a member of this data centre is to be retired",
            "b",
            &even,
            &ALL_SYNCED,
            0,
        )
    };
    let cases = [
        (
            case("vacancy, data centre without members", "c", &two, &[], 0),
            Some("a1 b1 me"),
        ),
        (
            case(
                "vacancy, data centre with a member already",
                "a",
                &two,
                &[],
                100,
            ),
            None,
        ),
        (
            case(
                "vacancy not filled by the other data centre in time",
                "a",
                &two,
                &[],
                1_000,
            ),
            Some("a1 b1 me"),
        ),
        (
            case(
                "data centre of the unreachable member",
                "c",
                &even,
                &unreachable,
                0,
            ),
            Some("a1 b1 c1 me"),
        ),
        (
            case(
                "not the data centre of the unreachable member",
                "b",
                &even,
                &unreachable,
                0,
            ),
            None,
        ),
        (
            case(
                "no spare joined from the data centre of the unreachable member",
                "b",
                &even,
                &unreachable,
                1_000,
            ),
            Some("a1 b1 c1 me"),
        ),
        (retiring, Some("a1 b1 c1 me")),
        (
            case("evenly distributed", "c", &even, &ALL_SYNCED, 60_000),
            None,
        ),
        (
            case(
                "three more members elsewhere, only briefly",
                "c",
                &all_in_a,
                &ALL_SYNCED,
                2_000,
            ),
            None,
        ),
        (
            case(
                "three more members elsewhere, for long",
                "c",
                &all_in_a,
                &ALL_SYNCED,
                6_000,
            ),
            Some("a1 a2 a3 me"),
        ),
        (
            case(
                "three members elsewhere, one unreachable",
                "b",
                &all_in_a,
                &unreachable,
                500,
            ),
            Some("a1 a2 a3 me"),
        ),
        (
            case(
                "two more members elsewhere",
                "c",
                &uneven,
                &ALL_SYNCED,
                6_000,
            ),
            Some("a1 b1 a2 me"),
        ),
        (
            case(
                "one more member elsewhere",
                "b",
                &uneven,
                &ALL_SYNCED,
                60_000,
            ),
            None,
        ),
    ];
    for (case, expected) in cases {
        assert_eq!(case.propose().as_deref(), expected, "{}", case.name);
    }
}

#[test]
fn surplus_member_leaves_the_largest_data_centre() {
    let three = [
        ("a1", 1, "a", true),
        ("b1", 2, "b", true),
        ("c1", 3, "c", true),
    ];
    let four = [three[0], three[1], three[2], ("me", OWN_DISK, "a", true)];
    let joining = [three[0], three[1], ("c1", 3, "c", false), four[3]];
    let a_is_larger = [
        three[0],
        ("me", OWN_DISK, "b", true),
        three[2],
        ("a2", 4, "a", true),
    ];
    let complete = [three[0], ("me", OWN_DISK, "b", true), ("a2", 3, "a", true)];
    let case = |name, data_centre, members, states| Case {
        name,
        data_centre,
        members,
        states,
        unchanged_ms: 0,
        retiring: &[],
    };
    let retiring = Case {
        retiring: &["b1"],
        ..case("a member is to be retired", "a", &four, &ALL_SYNCED)
    };
    let unreachable = [(2, PeerState::Unreachable(5_000))];
    let briefly_unreachable = [(2, PeerState::Unreachable(100))];
    let cases = [
        (
            case(
                "last member of the largest data centre",
                "a",
                &four,
                &ALL_SYNCED,
            ),
            Some("a1 b1 c1"),
        ),
        (case("one unreachable", "a", &four, &unreachable), None),
        (
            case("one briefly unreachable", "a", &four, &briefly_unreachable),
            Some("a1 b1 c1"),
        ),
        (retiring, None),
        (
            case(
                "one not active yet",
                "a",
                &joining,
                &[(3, PeerState::Behind)],
            ),
            None,
        ),
        (case("no surplus", "b", &complete, &ALL_SYNCED), None),
        (
            case(
                "another data centre is larger",
                "b",
                &a_is_larger,
                &ALL_SYNCED,
            ),
            None,
        ),
    ];
    for (case, expected) in cases {
        assert_eq!(case.propose().as_deref(), expected, "{}", case.name);
    }
}

#[test]
fn replicas_of_the_smallest_data_centre_join_first() {
    let one = [member("a1", 1, true)];
    let view = View {
        version: 1,
        tolerate: 1,
        members: one.to_vec(),
        copies: 0,
        absences: Vec::new(),
    };
    let now = Instant::now() + Duration::from_secs(60);
    // Returns after how many milliseconds a replica joins.
    let join_delay_ms = |data_centre: &str, first_start: bool, join_delay: Duration| {
        let config = Config {
            data_centre: data_centre.to_owned(),
            data_centres: vec!["here".to_owned(), "there".to_owned()],
            join_delay,
            ..config(first_start)
        };
        (0..60_000).step_by(10).find(|ms| {
            let observation = Observation {
                view: &view,
                disk: OWN_DISK,
                progress: &HashMap::new(),
                retiring_since: None,
                retiring: &HashSet::new(),
                others_caught_up: false,
                is_copied: false,
                outlasted: None,
                is_level: false,
                unchanged_since: now - Duration::from_millis(*ms),
            };
            decide(&config, &observation, now).is_some()
        })
    };
    for first_start in [true, false] {
        let jitters = (0..200).map(|_| draw_join_delay(first_start));
        let longest = jitters.max().unwrap();
        let prioritized = join_delay_ms("there", first_start, longest).unwrap();
        let others = join_delay_ms("here", first_start, Duration::ZERO).unwrap();
        assert!(
            prioritized + PROPAGATION_MS < others,
            "first start {first_start}: {prioritized} ms, others {others} ms"
        );
    }
}
