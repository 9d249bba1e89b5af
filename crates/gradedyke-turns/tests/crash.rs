//! Counting of the backend servers that ended under a request.

use std::time::Duration;

use gradedyke_turns::crash::{
    Fingerprint, MAX_ENDED_SERVERS, MIN_REFUSAL_RETENTION, MIN_SUSPECT_RETENTION, Registry, Report,
    Run, Scope, ServerKey, State,
};
use gradedyke_turns::record::Id;
use proptest::prelude::*;
use tokio::time::Instant;

/// More requests than a registry holds.
const MANY_REQUESTS: u32 = 20_000;

fn fingerprint(scope: Scope, name: u32) -> Fingerprint {
    Fingerprint::new(scope, &[Some(&name.to_le_bytes())])
}

fn server(number: u32) -> ServerKey {
    ServerKey::from(&Id::parse(&format!("s{number}")).unwrap())
}

/// The report that a server ended under a request.
fn ended(fingerprint: Fingerprint, number: u32, prior: u8) -> Report {
    let run = Run {
        server: server(number),
        prior,
        state: State::Ended,
    };
    Report {
        fingerprint,
        runs: vec![run],
        keep_ms: 0,
        age_ms: 0,
    }
}

/// Guards against contents that are condemned by servers that end together, by the end of a server
/// that another content explains, or not at all.
#[test]
fn content_counts_by_what_was_known_when_it_was_sent() {
    // Runs of contents 0 and 1 as (content, server, prior), and the expected count of content 0.
    type Case = (&'static [(u32, u32, u8)], u8);
    let cases: [Case; 5] = [
        (&[(0, 1, 0), (0, 2, 0), (0, 3, 0)], 1),
        (&[(0, 1, 0), (0, 2, 1), (0, 3, 2)], 3),
        (&[(0, 1, 0), (1, 1, 1)], 0),
        (&[(0, 1, 0), (1, 1, 0)], 1),
        (&[(0, 1, 1), (1, 1, 0), (0, 2, 0)], 2),
    ];
    let now = Instant::now();
    for (runs, count) in cases {
        let registry = Registry::default();
        for (content, server, prior) in runs {
            let fingerprint = fingerprint(Scope::Content, *content);
            registry.merge(&[ended(fingerprint, *server, *prior)], now);
        }
        let counted = registry.count(fingerprint(Scope::Content, 0), now);
        assert_eq!(counted, count, "{runs:?}");
    }
}

/// Guards against requests that stay together: those that were at the same server when it ended.
#[test]
fn requests_of_a_server_that_ended_have_different_ranks() {
    let now = Instant::now();
    let registry = Registry::default();
    let requests: Vec<Fingerprint> = (0..20).map(|n| fingerprint(Scope::Program, n)).collect();
    for request in &requests {
        registry.merge(&[ended(*request, 1, 0)], now);
    }
    let mut ranks: Vec<usize> = requests.iter().filter_map(|f| registry.rank(*f)).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..20).collect::<Vec<_>>());
}

/// Guards against a registry that forgets what is refused, or grows without bound.
#[test]
fn full_registry_keeps_refused_requests() {
    let now = Instant::now();
    let registry = Registry::default();
    let refused = fingerprint(Scope::Program, 0);
    for number in 0..u32::from(MAX_ENDED_SERVERS) {
        registry.merge(&[ended(refused, number, 0)], now);
    }
    for name in 1..MANY_REQUESTS {
        registry.merge(&[ended(fingerprint(Scope::Program, name), name, 0)], now);
    }
    assert_eq!(registry.count(refused, now), MAX_ENDED_SERVERS);
    assert!(registry.entries(now).len() <= 8_192);
}

/// Guards against requests that are forgotten while their callers return, or never.
#[test]
fn requests_expire_after_the_last_return() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let registry = Registry::default();
    let (refused, suspect) = (
        fingerprint(Scope::Program, 0),
        fingerprint(Scope::Program, 1),
    );
    registry.merge(&[ended(suspect, 0, 0)], now);
    for number in 0..u32::from(MAX_ENDED_SERVERS) {
        registry.merge(&[ended(refused, number, 0)], now);
    }
    assert_eq!(
        registry.count(suspect, now + MIN_SUSPECT_RETENTION - second),
        1
    );
    assert_eq!(
        registry.count(suspect, now + MIN_SUSPECT_RETENTION + second),
        0
    );
    let returned = now + MIN_REFUSAL_RETENTION - second;
    assert!(registry.record_return(refused, returned).is_some());
    let later = returned + MIN_REFUSAL_RETENTION - second;
    assert_eq!(registry.count(refused, later), MAX_ENDED_SERVERS);
    registry.remove_expired(later + 2 * second);
    assert!(registry.is_empty());
}

proptest! {
    /// Guards against processes that disagree because reports reached them in another order, or
    /// more than once.
    #[test]
    fn reports_give_the_same_counts_in_any_order(
        runs in prop::collection::vec((0_u32..4, 0_u32..4, 0_u8..3, any::<bool>()), 1..12),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        use rand::seq::SliceRandom;
        let now = Instant::now();
        let mut reports: Vec<Report> = Vec::new();
        for (name, server, prior, is_cleared) in runs {
            for scope in [Scope::Program, Scope::Content] {
                let mut report = ended(fingerprint(scope, name), server, prior);
                if is_cleared {
                    report.runs[0].state = State::Cleared;
                }
                reports.push(report);
            }
        }
        let first = Registry::default();
        first.merge(&reports, now);
        reports.extend(reports.clone());
        reports.shuffle(&mut rand::rngs::StdRng::seed_from_u64(seed));
        let second = Registry::default();
        for report in &reports {
            second.merge(std::slice::from_ref(report), now);
        }
        for name in 0..4 {
            for scope in [Scope::Program, Scope::Content] {
                let request = fingerprint(scope, name);
                prop_assert_eq!(first.count(request, now), second.count(request, now));
            }
        }
    }
}
