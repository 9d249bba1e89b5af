//! When a replica changes the view, in tables.

use std::collections::HashMap;
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
        first_start,
        tolerate: 1,
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
    leave: bool,
    followed: bool,
) -> Option<String> {
    let now = Instant::now() + Duration::from_secs(60);
    let view = view(members);
    let sight = Sight {
        view: &view,
        disk: ME,
        progress: &progress(looks, now),
        leave,
        followed,
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
        ("a fourth", false, &full, &[], Some("a b c me?")),
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
            "one of two gone",
            false,
            &pair,
            &[(1, Level(5)), (2, Lost(5_000))],
            Some("a me"),
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
        let next = decided(*first_start, members, looks, false, false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn a_replica_leaves_when_the_others_have_everything_and_are_enough() {
    let three = [("a", 1, true), ("b", 2, true), ("me", ME, true)];
    let two = [("a", 1, true), ("me", ME, true)];
    let cases: &[(&str, &[_], bool, Option<&str>)] = &[
        ("all followed", &three, true, Some("a b")),
        ("one has not followed", &three, false, None),
        ("too few would be left", &two, true, None),
        ("gone already", &three[..2], true, None),
    ];
    for (name, members, followed, expected) in cases {
        let next = decided(false, members, &[], true, *followed);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
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
        let next = decided(false, members, looks, false, false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn nothing_is_kept_by_fewer_than_would_survive() {
    let cases: &[(&[_], usize)] = &[
        (&[], 2),
        (&[("a", 1, true)], 2),
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
    }
}
