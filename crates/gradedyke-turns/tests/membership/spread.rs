//! How members come to stand over data centres, in tables.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use gradedyke_turns::membership::{Config, Sight, decide, turn};
use gradedyke_turns::view::{Disk, Member, View};
use tokio::time::Instant;

use crate::{Look, ME, config, member, progress, view};

/// A member by name, disk and data centre, and whether it counts.
type Stand = (&'static str, Disk, &'static str, bool);

/// What a replica in one of the data centres a, b and c sees.
struct Place<'a> {
    what: &'a str,
    here: &'a str,
    members: &'a [Stand],
    looks: &'a [(Disk, Look)],
    /// For how long it has been so, in milliseconds.
    unchanged_ms: u64,
    leaving: &'a [&'a str],
}

impl Place<'_> {
    /// The members' names in the view that it proposes.
    fn decided(&self) -> Option<String> {
        let now = Instant::now() + Duration::from_secs(60);
        let mut view = view(&[]);
        let members = self.members.iter();
        let members = members.map(|(name, disk, data_centre, active)| Member {
            data_centre: (*data_centre).to_owned(),
            ..member(name, *disk, *active)
        });
        view.members = members.collect();
        let mut config = config(false);
        config.data_centre = self.here.to_owned();
        config.data_centres = ["a", "b", "c"].map(str::to_owned).to_vec();
        let sight = Sight {
            view: &view,
            disk: ME,
            progress: &progress(self.looks, now),
            leave: None,
            leaving: &self.leaving.iter().map(|n| (*n).to_owned()).collect(),
            followed: true,
            unchanged: now - Duration::from_millis(self.unchanged_ms),
        };
        let next = decide(&config, &sight, now)?;
        let names: Vec<&str> = next.members.iter().map(|m| m.name.as_str()).collect();
        Some(names.join(" "))
    }
}

const LEVEL: [(Disk, Look); 3] = [
    (1, Look::Level(5)),
    (2, Look::Level(5)),
    (3, Look::Level(5)),
];

#[test]
fn members_are_spread_over_data_centres() {
    let two = [("a1", 1, "a", true), ("b1", 2, "b", true)];
    let even = [two[0], two[1], ("c1", 3, "c", true)];
    let uneven = [two[0], two[1], ("a2", 3, "a", true)];
    let same = [two[0], ("a2", 2, "a", true), ("a3", 3, "a", true)];
    let lost = [(3, Look::Lost(5_000))];
    let of = |what, here, members, looks, unchanged_ms| Place {
        what,
        here,
        members,
        looks,
        unchanged_ms,
        leaving: &[],
    };
    let emptied = Place {
        leaving: &["b1"],
        ..of("the place of one to be emptied", "b", &even, &LEVEL, 0)
    };
    let cases = [
        (
            of("the data centre without any", "c", &two, &[], 0),
            Some("a1 b1 me"),
        ),
        (of("one that has one already", "a", &two, &[], 100), None),
        (
            of("nobody of the other came", "a", &two, &[], 1_000),
            Some("a1 b1 me"),
        ),
        (
            of("the lost one's data centre", "c", &even, &lost, 0),
            Some("a1 b1 c1 me"),
        ),
        (
            of("another than the lost one's", "b", &even, &lost, 0),
            None,
        ),
        (
            of("that has no spare", "b", &even, &lost, 1_000),
            Some("a1 b1 c1 me"),
        ),
        (emptied, Some("a1 b1 c1 me")),
        (of("even as can be", "c", &even, &LEVEL, 60_000), None),
        (
            of("two more there, for a moment", "c", &same, &LEVEL, 2_000),
            None,
        ),
        (
            of("two more there, for long", "c", &same, &LEVEL, 6_000),
            Some("a1 a2 a3 me"),
        ),
        (
            of("the same, while one is gone", "b", &same, &lost, 500),
            Some("a1 a2 a3 me"),
        ),
        (
            of("two more there than here", "c", &uneven, &LEVEL, 6_000),
            Some("a1 b1 a2 me"),
        ),
        (
            of("one more there is no reason", "b", &uneven, &LEVEL, 60_000),
            None,
        ),
    ];
    for (place, expected) in cases {
        assert_eq!(place.decided().as_deref(), expected, "{}", place.what);
    }
}

#[test]
fn one_of_too_many_members_leaves_where_most_are() {
    let three = [
        ("a1", 1, "a", true),
        ("b1", 2, "b", true),
        ("c1", 3, "c", true),
    ];
    let four = [three[0], three[1], three[2], ("me", ME, "a", true)];
    let joining = [three[0], three[1], ("c1", 3, "c", false), four[3]];
    let elsewhere = [
        three[0],
        ("me", ME, "b", true),
        three[2],
        ("a2", 4, "a", true),
    ];
    let needed = [three[0], ("me", ME, "b", true), ("a2", 3, "a", true)];
    let of = |what, here, members, looks| Place {
        what,
        here,
        members,
        looks,
        unchanged_ms: 0,
        leaving: &[],
    };
    let emptied = Place {
        leaving: &["b1"],
        ..of("one is to be emptied", "a", &four, &LEVEL)
    };
    let gone = [(2, Look::Lost(5_000))];
    let away = [(2, Look::Lost(100))];
    let cases = [
        (
            of("the last where most are", "a", &four, &LEVEL),
            Some("a1 b1 c1"),
        ),
        (of("one is gone", "a", &four, &gone), None),
        (
            of("one is away for a moment", "a", &four, &away),
            Some("a1 b1 c1"),
        ),
        (emptied, None),
        (
            of(
                "one does not count yet",
                "a",
                &joining,
                &[(3, Look::Behind)],
            ),
            None,
        ),
        (of("no more than needed", "b", &needed, &LEVEL), None),
        (
            of("others are where most are", "b", &elsewhere, &LEVEL),
            None,
        ),
    ];
    for (place, expected) in cases {
        assert_eq!(place.decided().as_deref(), expected, "{}", place.what);
    }
}

#[test]
fn a_replica_elsewhere_never_goes_before_one_where_members_are_few() {
    let one = [member("a1", 1, true)];
    let view = View {
        version: 1,
        tolerate: 1,
        members: one.to_vec(),
    };
    let now = Instant::now() + Duration::from_secs(60);
    // Milliseconds after which it enters.
    let enters = |here: &str, first_start: bool, turn: Duration| {
        let config = Config {
            data_centre: here.to_owned(),
            data_centres: vec!["here".to_owned(), "there".to_owned()],
            turn,
            ..config(first_start)
        };
        (0..60_000).step_by(10).find(|ms| {
            let sight = Sight {
                view: &view,
                disk: ME,
                progress: &HashMap::new(),
                leave: None,
                leaving: &HashSet::new(),
                followed: false,
                unchanged: now - Duration::from_millis(*ms),
            };
            decide(&config, &sight, now).is_some()
        })
    };
    for first_start in [true, false] {
        let turns = (0..200).map(|_| turn(first_start));
        let longest = turns.max().unwrap();
        let few = enters("there", first_start, longest).unwrap();
        let many = enters("here", first_start, Duration::ZERO).unwrap();
        // What it takes until the others hear of it.
        assert!(few + 150 < many, "first start {first_start}: {few} {many}");
    }
}
