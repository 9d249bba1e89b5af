//! The fleet as routing sees it.

use std::sync::Arc;
use std::time::Duration;

use gradedyke::routing::Candidate;
use gradedyke::routing::fleet::Fleet;
use gradedyke_backend::engine::{CacheEvent, Load};
use gradedyke_backend::prefix::Chain;
use gradedyke_base::id;
use gradedyke_base::settings::tree::Tree;
use serde_json::json;
use tokio::time::Instant;

const MODEL: &str = "m";

/// A tree of an engine in each of the named data centres.
fn tree(data_centres: &[&str]) -> Tree {
    let engines = data_centres.iter().enumerate().map(|(number, name)| {
        let engine = json!({
            "kind": "engine", "address": "127.0.0.1:1", "data_centre": name, "models": [MODEL],
        });
        (format!("e{number}"), engine)
    });
    let backends: serde_json::Map<_, _> = engines.collect();
    serde_json::from_value(json!({ "backends": backends })).unwrap()
}

/// A fleet of engines in the named data centres, seen from `north`.
fn fleet(data_centres: &[&str]) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::new("north"));
    fleet.update(&tree(data_centres));
    fleet
}

fn chain() -> Chain {
    let message = serde_json::from_value(json!({ "role": "user", "content": "hi" })).unwrap();
    let account = id::Account::parse("kestrel").unwrap();
    Chain::over(&account, MODEL, &[message])
}

fn candidates(fleet: &Fleet, now: Instant) -> Vec<Candidate> {
    fleet.engines(MODEL, chain().keys(), &[10], &[], now)
}

#[tokio::test]
async fn a_booking_ends_with_its_call_however_that_ends() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let before = candidates(&fleet, now)[0];
    let booked = fleet.book(before.key, chain().keys(), &[10], 64).unwrap();
    let during = candidates(&fleet, now)[0];
    assert_eq!((during.in_flight, during.pending_tokens), (1, 64));
    assert_eq!(during.cached_tokens, 10);
    drop(booked);
    let after = candidates(&fleet, now)[0];
    assert_eq!((after.in_flight, after.pending_tokens), (0, 0));
}

#[tokio::test]
async fn a_failed_server_rests_while_others_can_do_its_work() {
    let fleet = fleet(&["north", "south"]);
    let now = Instant::now();
    let keys: Vec<_> = candidates(&fleet, now).iter().map(|c| c.key).collect();
    fleet.failed(keys[0], now);
    assert_eq!(candidates(&fleet, now).len(), 1);
    // When all rest, none of them does.
    fleet.failed(keys[1], now);
    assert_eq!(candidates(&fleet, now).len(), 2);
    // A rest ends by itself, or with a call that goes well.
    fleet.succeeded(keys[1]);
    assert_eq!(candidates(&fleet, now).len(), 1);
    let later = now + Duration::from_secs(60);
    assert_eq!(candidates(&fleet, later).len(), 2);
}

#[tokio::test]
async fn servers_of_an_evacuated_data_centre_are_no_candidates() {
    let fleet = fleet(&["north", "south"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let booked = fleet.book(key, chain().keys(), &[10], 64);
    // Which are evacuated, and how many servers are left.
    let steps: [(&[&str], usize); 4] = [
        (&["north"], 1),
        (&["north", "south"], 0),
        (&["south"], 1),
        (&[], 2),
    ];
    for (evacuated, left) in steps {
        let mut tree = tree(&["north", "south"]);
        tree.evacuated = evacuated.iter().map(|d| (*d).to_owned()).collect();
        fleet.update(&tree);
        assert_eq!(candidates(&fleet, now).len(), left, "{evacuated:?}");
    }
    // What is in progress and known there stays.
    assert_eq!(candidates(&fleet, now)[0].in_flight, 1);
    drop(booked);
}

#[tokio::test]
async fn leaving_servers_are_no_candidates_whichever_sign_comes() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let load = |leaving| Load {
        leaving,
        ..Load::default()
    };
    // Each case: what the engine says, what the list says, and whether it is a
    // candidate.
    let cases = [
        (false, false, true),
        (true, false, false),
        (false, true, false),
        (true, true, false),
        (false, false, true),
    ];
    for (says, listed, expected) in cases {
        fleet.report(key, load(says));
        let list = listed.then(|| "e0".to_owned());
        fleet.leaving(&list.into_iter().collect());
        let there = !candidates(&fleet, now).is_empty();
        assert_eq!(there, expected, "says {says}, listed {listed}");
    }
}

#[tokio::test]
async fn a_gap_in_the_cache_events_makes_the_cache_doubtful() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let event = |number, cached| CacheEvent {
        number,
        key: chain().keys()[0],
        cached,
    };
    let cached = || candidates(&fleet, now)[0].cached_tokens;
    drop(fleet.book(key, chain().keys(), &[10], 1));
    fleet.cache_events(key, &[event(1, true)]);
    assert_eq!(cached(), 10);
    fleet.cache_events(key, &[event(3, true)]);
    assert_eq!(cached(), 0, "event 2 may have been its eviction");
    drop(fleet.book(key, chain().keys(), &[10], 1));
    fleet.cache_events(key, &[event(4, false)]);
    assert_eq!(cached(), 0);
}
