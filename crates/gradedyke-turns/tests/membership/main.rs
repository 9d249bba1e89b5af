//! When a replica changes the view, in tables.

mod spread;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use gradedyke_turns::membership::{Config, Sight, decide};
use gradedyke_turns::sync::Progress;
use gradedyke_turns::view::{Disk, Member, View};
use tokio::time::Instant;

const ME: Disk = 9;

fn config(first_start: bool) -> Config {
    Config {
        name: "me".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".to_owned(),
        data_centres: Vec::new(),
        first_start,
        tolerate: 1,
        turn: Duration::ZERO,
    }
}

fn member(name: &str, disk: Disk, active: bool) -> Member {
    Member {
        name: name.to_owned(),
        disk,
        address: format!("127.0.0.1:{disk}").parse().unwrap(),
        data_centre: "here".to_owned(),
        active,
    }
}

fn view(members: &[(&str, Disk, bool)]) -> View {
    View {
        version: 5,
        tolerate: 1,
        members: members.iter().map(|(n, d, a)| member(n, *d, *a)).collect(),
    }
}

/// How another replica looks from here.
#[derive(Clone, Copy)]
enum Look {
    /// All that it had at this version of the view has been taken in.
    Level(u64),
    /// Not yet.
    Behind,
    /// Out of reach for so many milliseconds.
    Lost(u64),
}

fn progress(looks: &[(Disk, Look)], now: Instant) -> HashMap<Disk, Progress> {
    let progress = |look| match look {
        Look::Level(version) => Progress {
            level: Some(version),
            lost: None,
        },
        Look::Behind => Progress::default(),
        Look::Lost(ms) => Progress {
            level: Some(5),
            lost: Some(now - Duration::from_millis(ms)),
        },
    };
    looks.iter().map(|(d, l)| (*d, progress(*l))).collect()
}

/// What is decided: each member's name, with a question mark for one that does
/// not count.
fn decided(
    first_start: bool,
    members: &[(&str, Disk, bool)],
    looks: &[(Disk, Look)],
    leave: Option<u64>,
    leaving: &[&str],
    followed: bool,
) -> Option<String> {
    let now = Instant::now() + Duration::from_secs(60);
    let view = view(members);
    let sight = Sight {
        view: &view,
        disk: ME,
        progress: &progress(looks, now),
        leave: leave.map(|ms| now - Duration::from_millis(ms)),
        leaving: &leaving
            .iter()
            .map(|n| (*n).to_owned())
            .collect::<HashSet<_>>(),
        followed,
        unchanged: now,
    };
    let next = decide(&config(first_start), &sight, now)?;
    assert_eq!(next.version, view.version + 1);
    let mark = |m: &Member| format!("{}{}", m.name, if m.active { "" } else { "?" });
    Some(next.members.iter().map(mark).collect::<Vec<_>>().join(" "))
}

#[test]
fn a_replica_enters_and_counts_only_after_it_has_everything() {
    use Look::{Behind, Level, Lost};
    let full = [("a", 1, true), ("b", 2, true), ("c", 3, true)];
    let joining = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", ME, false),
    ];
    let pair = [("a", 1, true), ("b", 2, true), ("me", ME, false)];
    let alone = [("a", 1, true), ("me", ME, false)];
    let cases: &[(&str, bool, &[_], &[_], Option<&str>)] = &[
        ("the first of all", true, &[], &[], Some("me")),
        (
            "the second of a first start",
            true,
            &full[..1],
            &[],
            Some("a me"),
        ),
        (
            "a first start that others have served already",
            true,
            &full[..2],
            &[],
            Some("a b me?"),
        ),
        ("an empty disk later", false, &full[..1], &[], Some("a me?")),
        ("a spare while none is needed", false, &full, &[], None),
        (
            "a spare when one has been lost for a moment",
            false,
            &full,
            &[(2, Lost(500))],
            None,
        ),
        (
            "a spare when one is gone",
            false,
            &full,
            &[(2, Lost(5_000))],
            Some("a b c me?"),
        ),
        (
            "a spare when another has taken the place",
            false,
            &[
                ("a", 1, true),
                ("b", 2, true),
                ("c", 3, true),
                ("d", 4, false),
            ],
            &[(2, Lost(5_000))],
            None,
        ),
        (
            "the same instance with another disk",
            false,
            &[("a", 1, true), ("b", 2, true), ("me", 4, true)],
            &[],
            Some("a b me?"),
        ),
        (
            "all level",
            false,
            &joining,
            &[(1, Level(5)), (2, Level(5)), (3, Level(5))],
            Some("a b c me"),
        ),
        (
            "one level only under an old view",
            false,
            &joining,
            &[(1, Level(5)), (2, Level(4)), (3, Level(5))],
            None,
        ),
        (
            "one behind",
            false,
            &joining,
            &[(1, Level(5)), (2, Behind), (3, Level(5))],
            None,
        ),
        (
            "one lost just now",
            false,
            &joining,
            &[(1, Level(5)), (2, Level(5)), (3, Lost(500))],
            None,
        ),
        (
            "one gone",
            false,
            &joining,
            &[(1, Level(5)), (2, Level(5)), (3, Lost(5_000))],
            Some("a b me"),
        ),
        (
            "two gone: a record may be on just these",
            false,
            &joining,
            &[(1, Level(5)), (2, Lost(5_000)), (3, Lost(5_000))],
            None,
        ),
        (
            "one of two gone: a record may be on that one and a lost disk",
            false,
            &pair,
            &[(1, Level(5)), (2, Lost(5_000))],
            None,
        ),
        (
            "one of two gone for so long that it is given up",
            false,
            &pair,
            &[(1, Level(5)), (2, Lost(25_000))],
            Some("a me"),
        ),
        (
            "the only one gone: it alone has everything",
            false,
            &alone,
            &[(1, Lost(25_000))],
            None,
        ),
        (
            "level with the only one",
            false,
            &alone,
            &[(1, Level(5))],
            Some("a me"),
        ),
        (
            "nobody counts, so nothing was kept",
            false,
            &[("a", 1, false), ("me", ME, false)],
            &[(1, Lost(500))],
            Some("a? me"),
        ),
        (
            "both of two gone",
            false,
            &pair,
            &[(1, Lost(5_000)), (2, Lost(5_000))],
            None,
        ),
    ];
    for (name, first_start, members, looks, expected) in cases {
        let next = decided(*first_start, members, looks, None, &[], false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn a_replica_leaves_when_the_others_have_everything_and_are_enough() {
    let four = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", ME, true),
    ];
    let three = [("a", 1, true), ("b", 2, true), ("me", ME, true)];
    let two = [("a", 1, true), ("me", ME, true)];
    // Members, whether the others have everything, since when it is asked.
    let cases: &[(&str, &[_], bool, u64, Option<&str>)] = &[
        ("enough others", &four, true, 0, Some("a b c")),
        ("a spare may come", &three, true, 100, None),
        ("no spare came", &three, true, 5_000, Some("a b")),
        ("one has not followed", &four, false, 5_000, None),
        ("too few would be left", &two, true, 5_000, None),
        ("gone already", &three[..2], true, 5_000, None),
    ];
    for (name, members, followed, since, expected) in cases {
        let next = decided(false, members, &[], Some(*since), &["me"], *followed);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
    // A spare takes the place of one that is to be emptied.
    let next = decided(false, &four[..3], &[], None, &["b"], false);
    assert_eq!(next.as_deref(), Some("a b c me?"));
}

#[test]
fn one_that_is_lost_for_long_is_dropped_where_enough_remain() {
    use Look::{Level, Lost};
    let four = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", ME, true),
    ];
    let three = [("a", 1, true), ("b", 2, true), ("me", ME, true)];
    let cases: &[(&str, &[_], &[_], Option<&str>)] = &[
        (
            "all there",
            &four,
            &[(1, Level(5)), (2, Level(5)), (3, Level(5))],
            None,
        ),
        ("lost for a while", &four, &[(3, Lost(3_000))], None),
        ("lost for long", &four, &[(3, Lost(20_000))], Some("a b me")),
        ("no more than needed", &three, &[(2, Lost(20_000))], None),
    ];
    for (name, members, looks, expected) in cases {
        let next = decided(false, members, looks, None, &[], false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn nothing_is_kept_by_fewer_than_would_survive() {
    // Members, those that must be reached of the ones that count, and copies.
    let cases: &[(&[_], usize)] = &[
        (&[], 1),
        (&[("a", 1, true)], 1),
        (&[("a", 1, true), ("b", 2, false)], 1),
        (&[("a", 1, true), ("b", 2, true)], 2),
        (&[("a", 1, true), ("b", 2, true), ("c", 3, false)], 2),
        (&[("a", 1, true), ("b", 2, true), ("c", 3, true)], 2),
        (
            &[
                ("a", 1, true),
                ("b", 2, true),
                ("c", 3, true),
                ("d", 4, true),
            ],
            3,
        ),
    ];
    for (members, expected) in cases {
        assert_eq!(view(members).quorum(), *expected, "{members:?}");
        assert_eq!(view(members).copies(), 2, "{members:?}");
    }
}
