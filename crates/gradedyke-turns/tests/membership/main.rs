//! Table-driven tests of the membership decisions of a replica.

mod copies;
mod distribution;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use gradedyke_turns::membership::{Config, Observation, decide};
use gradedyke_turns::sync::Progress;
use gradedyke_turns::view::{Absence, DiskId, Member, View};
use tokio::time::Instant;

const OWN_DISK: DiskId = 9;

fn config(first_start: bool) -> Config {
    Config {
        name: "me".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "here".to_owned(),
        data_centres: Vec::new(),
        first_start,
        tolerated_losses: 1,
        join_delay: Duration::ZERO,
    }
}

fn member(name: &str, disk: DiskId, active: bool) -> Member {
    Member {
        name: name.to_owned(),
        disk,
        address: format!("127.0.0.1:{disk}").parse().unwrap(),
        data_centre: "here".to_owned(),
        active,
    }
}

fn view(members: &[(&str, DiskId, bool)]) -> View {
    View {
        version: 5,
        tolerate: 1,
        members: members.iter().map(|(n, d, a)| member(n, *d, *a)).collect(),
        copies: 0,
        absences: Vec::new(),
    }
}

/// State of another replica, as observed by this one.
#[derive(Clone, Copy)]
enum PeerState {
    /// All its records were synced at this version of the view.
    Synced(u64),
    /// Its records have never all been synced.
    Behind,
    /// Unreachable for this many milliseconds.
    Unreachable(u64),
}

fn progress(states: &[(DiskId, PeerState)], now: Instant) -> HashMap<DiskId, Progress> {
    let progress = |state| match state {
        PeerState::Synced(version) => Progress {
            synced_version: Some(version),
            unreachable_since: None,
        },
        PeerState::Behind => Progress::default(),
        PeerState::Unreachable(ms) => Progress {
            synced_version: Some(5),
            unreachable_since: Some(now - Duration::from_millis(ms)),
        },
    };
    states.iter().map(|(d, s)| (*d, progress(*s))).collect()
}

/// Returns the names of the members of the proposed view, with a question mark after
/// inactive ones.
fn propose(
    first_start: bool,
    members: &[(&str, DiskId, bool)],
    states: &[(DiskId, PeerState)],
    leave_since_ms: Option<u64>,
    retiring: &[&str],
    others_caught_up: bool,
) -> Option<String> {
    let now = Instant::now() + Duration::from_secs(60);
    let view = view(members);
    let observation = Observation {
        view: &view,
        disk: OWN_DISK,
        progress: &progress(states, now),
        retiring_since: leave_since_ms.map(|ms| now - Duration::from_millis(ms)),
        retiring: &retiring
            .iter()
            .map(|n| (*n).to_owned())
            .collect::<HashSet<_>>(),
        others_caught_up,
        is_copied: false,
        outlasted: None,
        is_level: false,
        unchanged_since: now,
    };
    let next = decide(&config(first_start), &observation, now)?;
    assert_eq!(next.version, view.version + 1);
    Some(format_members(&next))
}

/// Returns the names of the members, with a question mark after inactive ones.
fn format_members(view: &View) -> String {
    let format_member = |m: &Member| format!("{}{}", m.name, if m.active { "" } else { "?" });
    let members: Vec<_> = view.members.iter().map(format_member).collect();
    members.join(" ")
}

#[test]
fn replica_joins_inactive_and_activates_after_syncing() {
    use PeerState::{Behind, Synced, Unreachable};
    let full = [("a", 1, true), ("b", 2, true), ("c", 3, true)];
    let joining = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", OWN_DISK, false),
    ];
    let pair = [("a", 1, true), ("b", 2, true), ("me", OWN_DISK, false)];
    let alone = [("a", 1, true), ("me", OWN_DISK, false)];
    let cases: &[(&str, bool, &[_], &[_], Option<&str>)] = &[
        ("first replica of a first start", true, &[], &[], Some("me")),
        (
            "second replica of a first start",
            true,
            &full[..1],
            &[],
            Some("a me"),
        ),
        (
            "first start, but enough active members to have stored records",
            true,
            &full[..2],
            &[],
            Some("a b me?"),
        ),
        (
            "empty disk, not a first start",
            false,
            &full[..1],
            &[],
            Some("a me?"),
        ),
        ("spare without a vacancy", false, &full, &[], None),
        (
            "spare, one member briefly unreachable",
            false,
            &full,
            &[(2, Unreachable(500))],
            None,
        ),
        (
            "spare, one member unreachable",
            false,
            &full,
            &[(2, Unreachable(5_000))],
            Some("a b c me?"),
        ),
        (
            "spare, vacancy already filled",
            false,
            &[
                ("a", 1, true),
                ("b", 2, true),
                ("c", 3, true),
                ("d", 4, false),
            ],
            &[(2, Unreachable(5_000))],
            None,
        ),
        (
            "same instance with a new disk",
            false,
            &[("a", 1, true), ("b", 2, true), ("me", 4, true)],
            &[],
            Some("a b me?"),
        ),
        (
            "synced from all",
            false,
            &joining,
            &[(1, Synced(5)), (2, Synced(5)), (3, Synced(5))],
            Some("a b c me"),
        ),
        (
            "one synced only under an old view",
            false,
            &joining,
            &[(1, Synced(5)), (2, Synced(4)), (3, Synced(5))],
            None,
        ),
        (
            "one not synced",
            false,
            &joining,
            &[(1, Synced(5)), (2, Behind), (3, Synced(5))],
            None,
        ),
        (
            "one briefly unreachable",
            false,
            &joining,
            &[(1, Synced(5)), (2, Synced(5)), (3, Unreachable(500))],
            None,
        ),
        (
            "one unreachable",
            false,
            &joining,
            &[(1, Synced(5)), (2, Synced(5)), (3, Unreachable(5_000))],
            Some("a b me"),
        ),
        (
            "two of three unreachable: they may have the only copies of a record",
            false,
            &joining,
            &[
                (1, Synced(5)),
                (2, Unreachable(5_000)),
                (3, Unreachable(5_000)),
            ],
            None,
        ),
        (
            "one of two unreachable: a record may be only on it and on a lost disk",
            false,
            &pair,
            &[(1, Synced(5)), (2, Unreachable(5_000))],
            None,
        ),
        (
            "one of two unreachable past the give-up timeout",
            false,
            &pair,
            &[(1, Synced(5)), (2, Unreachable(25_000))],
            Some("a me"),
        ),
        (
            "the only active member unreachable: it has the only copies",
            false,
            &alone,
            &[(1, Unreachable(25_000))],
            None,
        ),
        (
            "synced from the only active member",
            false,
            &alone,
            &[(1, Synced(5))],
            Some("a me"),
        ),
        (
            "no active member, so no records were stored",
            false,
            &[("a", 1, false), ("me", OWN_DISK, false)],
            &[(1, Unreachable(500))],
            Some("a? me"),
        ),
        (
            "both of two unreachable",
            false,
            &pair,
            &[(1, Unreachable(5_000)), (2, Unreachable(5_000))],
            None,
        ),
    ];
    for (name, first_start, members, states, expected) in cases {
        let next = propose(*first_start, members, states, None, &[], false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn replica_leaves_when_others_are_caught_up_and_sufficient() {
    let four = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", OWN_DISK, true),
    ];
    let three = [("a", 1, true), ("b", 2, true), ("me", OWN_DISK, true)];
    let two = [("a", 1, true), ("me", OWN_DISK, true)];
    // Members, whether the others are caught up, milliseconds since the request to retire.
    let cases: &[(&str, &[_], bool, u64, Option<&str>)] = &[
        ("enough others", &four, true, 0, Some("a b c")),
        ("waiting for a spare", &three, true, 100, None),
        ("no spare joined in time", &three, true, 5_000, Some("a b")),
        ("one not caught up", &four, false, 5_000, None),
        ("too few would remain", &two, true, 5_000, None),
        ("already left", &three[..2], true, 5_000, None),
    ];
    for (name, members, others_caught_up, since, expected) in cases {
        let next = propose(
            false,
            members,
            &[],
            Some(*since),
            &["me"],
            *others_caught_up,
        );
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
    // A spare joins to replace a member that is to be retired.
    let next = propose(false, &four[..3], &[], None, &["b"], false);
    assert_eq!(next.as_deref(), Some("a b c me?"));
}

#[test]
fn long_unreachable_member_is_removed_if_enough_remain() {
    use PeerState::{Synced, Unreachable};
    let four = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", OWN_DISK, true),
    ];
    let three = [("a", 1, true), ("b", 2, true), ("me", OWN_DISK, true)];
    let cases: &[(&str, &[_], &[_], Option<&str>)] = &[
        (
            "all reachable",
            &four,
            &[(1, Synced(5)), (2, Synced(5)), (3, Synced(5))],
            None,
        ),
        (
            "briefly unreachable",
            &four,
            &[(3, Unreachable(3_000))],
            None,
        ),
        (
            "unreachable for long",
            &four,
            &[(3, Unreachable(20_000))],
            Some("a b me"),
        ),
        ("no surplus", &three, &[(2, Unreachable(20_000))], None),
    ];
    for (name, members, states, expected) in cases {
        let next = propose(false, members, states, None, &[], false);
        assert_eq!(next.as_deref(), *expected, "{name}");
    }
}

#[test]
fn quorum_depends_on_active_members_and_required_copies_do_not() {
    // Members and the expected quorum.
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
        assert_eq!(view(members).quorum_size(), *expected, "{members:?}");
        assert_eq!(view(members).required_copies(), 2, "{members:?}");
    }
}

/// Returns the view that is proposed by the member on [`OWN_DISK`], or by a replica that is no
/// member if there is none.
fn propose_view(view: &View, states: &[(DiskId, PeerState)], is_level: bool) -> Option<View> {
    let now = Instant::now() + Duration::from_secs(60);
    let observation = Observation {
        view,
        disk: OWN_DISK,
        progress: &progress(states, now),
        retiring_since: None,
        retiring: &HashSet::new(),
        others_caught_up: false,
        is_copied: false,
        outlasted: None,
        is_level,
        unchanged_since: now,
    };
    decide(&config(false), &observation, now)
}

/// After a retirement a replica that replaced one of the two members left waited 20 s for the lost
/// one, and nothing was served meanwhile.
#[test]
fn lost_member_is_not_waited_for_if_the_others_have_all_records() {
    use PeerState::{Behind, Synced, Unreachable};
    let pair = [("a", 1, true), ("b", 2, true), ("me", OWN_DISK, false)];
    // The copies that the view is known to have, the states of the members, and the number of active
    // members and the copies of the next view.
    type Case = (&'static str, usize, [PeerState; 2], Option<(usize, usize)>);
    let cases: &[Case] = &[
        (
            "each record is on both",
            2,
            [Synced(5), Unreachable(5_000)],
            Some((2, 1)),
        ),
        (
            "the lost one may have the only copy",
            1,
            [Synced(5), Unreachable(5_000)],
            None,
        ),
        ("unknown", 0, [Synced(5), Unreachable(5_000)], None),
        ("lost only briefly", 2, [Synced(5), Unreachable(500)], None),
        (
            "the other one is not synced",
            2,
            [Behind, Unreachable(5_000)],
            None,
        ),
        ("synced from both", 1, [Synced(5), Synced(5)], Some((3, 2))),
    ];
    for (name, copies, [a, b], expected) in cases {
        let view = View {
            copies: *copies,
            ..view(&pair)
        };
        let next = propose_view(&view, &[(1, *a), (2, *b)], false);
        let next = next.map(|next| (next.active().count(), next.copies));
        assert_eq!(next, *expected, "{name}");
    }
}

#[test]
fn first_active_member_notes_that_all_have_each_record() {
    let me = ("me", OWN_DISK, true);
    let (a, b) = (("a", 1, true), ("b", 2, true));
    let joining = ("c", 3, false);
    // Members, known copies, whether they have each other's records, and the copies noted.
    let cases: &[(&str, &[_], usize, bool, Option<usize>)] = &[
        ("two left", &[me, a, joining], 1, true, Some(2)),
        (
            "two left, of an earlier version",
            &[me, a],
            0,
            true,
            Some(2),
        ),
        ("noted already", &[me, a], 2, true, None),
        ("not level", &[me, a], 1, false, None),
        ("the other one does it", &[a, me], 1, true, None),
        ("as many members as needed", &[me, a, b], 1, true, None),
    ];
    for (name, members, copies, is_level, expected) in cases {
        let view = View {
            copies: *copies,
            ..view(members)
        };
        let next = propose_view(&view, &[], *is_level);
        let noted = next.as_ref().map(|next| next.copies);
        assert_eq!(noted, *expected, "{name}");
        // The members stay, so requests of this version stay valid.
        assert!(next.is_none_or(|next| next.version == view.version));
    }
}

/// The version, the disks and the required number of each absence of a view.
type Absences = Vec<(u64, Vec<DiskId>, usize)>;

fn absences(view: &View) -> Absences {
    let absences = view.absences.iter();
    let disks = |a: &Absence| a.members.iter().map(|m| m.disk).collect();
    absences
        .map(|a| (a.version, disks(a), a.required))
        .collect()
}

/// A replica that gave others up continued as if no record were missing.
#[test]
fn members_that_are_given_up_are_listed() {
    use PeerState::{Synced, Unreachable};
    let joining = [
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", OWN_DISK, false),
    ];
    // Milliseconds for which b and c are unreachable, and the absences of the next view.
    type Case = (&'static str, [Option<u64>; 2], Option<Absences>);
    let cases: &[Case] = &[
        ("one, as tolerated", [Some(5_000), None], Some(vec![])),
        ("two, for a short time", [Some(5_000), Some(5_000)], None),
        (
            "two, one of them for a short time",
            [Some(25_000), Some(5_000)],
            None,
        ),
        (
            "two, for long",
            [Some(25_000), Some(25_000)],
            Some(vec![(6, vec![2, 3], 1)]),
        ),
    ];
    for (name, [b, c], expected) in cases {
        let state = |ms: &Option<u64>| ms.map_or(Synced(5), Unreachable);
        let states = [(1, Synced(5)), (2, state(b)), (3, state(c))];
        let next = propose_view(&view(&joining), &states, false);
        assert_eq!(next.as_ref().map(absences), *expected, "{name}");
    }
}

/// A replica whose disk was given up was a spare like any other when it came back, and its records
/// were not copied if there was no vacancy, or if it was to be retired.
#[test]
fn replica_that_was_given_up_returns_with_its_records() {
    let away = |disks: &[DiskId], required| Absence {
        version: 4,
        members: disks.iter().map(|d| member("me", *d, true)).collect(),
        required,
    };
    type Members = &'static [(&'static str, DiskId, bool)];
    let full: Members = &[("a", 1, true), ("b", 2, true), ("c", 3, true)];
    let back: Members = &[
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("me", OWN_DISK, false),
    ];
    let active: Members = &[("a", 1, true), ("me", OWN_DISK, true)];
    struct Case {
        name: &'static str,
        members: Members,
        absence: Absence,
        is_copied: bool,
        retiring: bool,
        outlasted: Option<u64>,
        expected: Option<(&'static str, Absences)>,
    }
    let case = |name, members, absence, expected| Case {
        name,
        members,
        absence,
        is_copied: false,
        retiring: false,
        outlasted: None,
        expected,
    };
    let own = || away(&[OWN_DISK], 1);
    let listed = || vec![(4, vec![OWN_DISK], 1)];
    let cases = [
        case(
            "joins without a vacancy",
            full,
            own(),
            Some(("a b c me?", listed())),
        ),
        Case {
            retiring: true,
            ..case(
                "joins to be retired",
                full,
                own(),
                Some(("a b c me?", listed())),
            )
        },
        case("the others lack its records", back, own(), None),
        Case {
            is_copied: true,
            ..case(
                "the others have its records",
                back,
                own(),
                Some(("a b c me", vec![])),
            )
        },
        Case {
            is_copied: true,
            ..case(
                "another one is needed as well",
                back,
                away(&[OWN_DISK, 7], 2),
                Some(("a b c me", vec![(4, vec![7], 1)])),
            )
        },
        case(
            "lost its disk",
            full,
            away(&[7], 1),
            Some(("a b c", vec![])),
        ),
        Case {
            outlasted: Some(3),
            ..case("not outlasted yet", active, away(&[7], 1), None)
        },
        Case {
            outlasted: Some(4),
            ..case("outlasted", active, away(&[7], 1), Some(("a me", vec![])))
        },
    ];
    let now = Instant::now() + Duration::from_secs(60);
    let states = [1, 2, 3].map(|disk| (disk, PeerState::Synced(5)));
    for case in cases {
        let view = View {
            absences: vec![case.absence],
            ..view(case.members)
        };
        let observation = Observation {
            view: &view,
            disk: OWN_DISK,
            progress: &progress(&states, now),
            retiring_since: case.retiring.then_some(now),
            retiring: &HashSet::new(),
            others_caught_up: false,
            is_copied: case.is_copied,
            outlasted: case.outlasted,
            is_level: false,
            unchanged_since: now,
        };
        let next = decide(&config(false), &observation, now);
        let next = next.map(|n| (format_members(&n), absences(&n)));
        let expected = case.expected.map(|(m, a)| (m.to_owned(), a));
        assert_eq!(next, expected, "{}", case.name);
    }
}

#[test]
fn members_that_are_left_out_may_have_had_a_copy() {
    let full = view(&[
        ("a", 1, true),
        ("b", 2, true),
        ("c", 3, true),
        ("d", 4, false),
    ]);
    let full = View { copies: 2, ..full };
    let without = |disks: &[DiskId]| {
        let members = full.members.iter().filter(|m| !disks.contains(&m.disk));
        full.with_members(members.cloned().collect())
    };
    assert_eq!((without(&[4]).copies, without(&[4]).sync_quorum()), (2, 2));
    assert_eq!((without(&[1]).copies, without(&[1]).sync_quorum()), (1, 2));
    assert_eq!(
        (without(&[1, 2]).copies, without(&[1, 2]).sync_quorum()),
        (0, 1)
    );
    // The view of a process of an earlier version.
    let text = serde_json::json!({ "version": 3, "tolerate": 1, "members": [] });
    let old: View = serde_json::from_value(text).unwrap();
    assert_eq!(old.copies, 0);
}
