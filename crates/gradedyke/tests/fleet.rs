//! Tests of the fleet's candidates for routing.

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

/// The model that all engines serve.
const MODEL: &str = "m";

/// Returns settings with one engine in each of the named data centres.
fn settings_tree(data_centres: &[&str]) -> Tree {
    let engines = data_centres.iter().enumerate().map(|(number, name)| {
        let engine = json!({
            "kind": "engine", "address": "127.0.0.1:1", "data_centre": name, "models": [MODEL],
        });
        (format!("e{number}"), engine)
    });
    let backends: serde_json::Map<_, _> = engines.collect();
    serde_json::from_value(json!({ "backends": backends })).unwrap()
}

/// Returns a fleet with one engine in each of the named data centres, for an
/// instance in `north`.
fn fleet(data_centres: &[&str]) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::new("north"));
    fleet.update(&settings_tree(data_centres));
    fleet
}

/// Returns the prefix chain of a one-message conversation.
fn chain() -> Chain {
    let message = serde_json::from_value(json!({ "role": "user", "content": "hi" })).unwrap();
    let account = id::Account::parse("kestrel").unwrap();
    Chain::from_messages(&account, MODEL, &[message])
}

/// Returns the routing candidates for that conversation.
fn candidates(fleet: &Fleet, now: Instant) -> Vec<Candidate> {
    fleet.engines(MODEL, chain().keys(), &[10], &[], now)
}

#[tokio::test]
async fn dropping_a_booking_removes_its_load() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let before = candidates(&fleet, now)[0];
    let guard = fleet
        .start_call(before.key, chain().keys(), &[10], 64)
        .unwrap();
    let during = candidates(&fleet, now)[0];
    assert_eq!((during.in_flight, during.pending_tokens), (1, 64));
    assert_eq!(during.cached_tokens, 10);
    drop(guard);
    let after = candidates(&fleet, now)[0];
    assert_eq!((after.in_flight, after.pending_tokens), (0, 0));
}

#[tokio::test]
async fn a_failed_server_is_avoided_while_others_are_available() {
    let fleet = fleet(&["north", "south"]);
    let now = Instant::now();
    let keys: Vec<_> = candidates(&fleet, now).iter().map(|c| c.key).collect();
    fleet.record_failure(keys[0], now);
    assert_eq!(candidates(&fleet, now).len(), 1);
    // When all servers have failed, all are candidates.
    fleet.record_failure(keys[1], now);
    assert_eq!(candidates(&fleet, now).len(), 2);
    // A server becomes a candidate again after a successful call or after some
    // time.
    fleet.record_success(keys[1]);
    assert_eq!(candidates(&fleet, now).len(), 1);
    let later = now + Duration::from_secs(60);
    assert_eq!(candidates(&fleet, later).len(), 2);
}

#[tokio::test]
async fn servers_of_an_evacuated_data_centre_are_not_candidates() {
    let fleet = fleet(&["north", "south"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let guard = fleet.start_call(key, chain().keys(), &[10], 64);
    // Each step: the evacuated data centres, and the number of candidates.
    let steps: [(&[&str], usize); 4] = [
        (&["north"], 1),
        (&["north", "south"], 0),
        (&["south"], 1),
        (&[], 2),
    ];
    for (evacuated, expected) in steps {
        let mut tree = settings_tree(&["north", "south"]);
        tree.evacuated = evacuated.iter().map(|d| (*d).to_owned()).collect();
        fleet.update(&tree);
        assert_eq!(candidates(&fleet, now).len(), expected, "{evacuated:?}");
    }
    // The server that was evacuated in between has kept its calls in progress.
    assert_eq!(candidates(&fleet, now)[0].in_flight, 1);
    drop(guard);
}

#[tokio::test]
async fn draining_servers_are_not_candidates() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let load = |leaving| Load {
        leaving,
        ..Load::default()
    };
    // Each case: whether the engine reports that it is draining, whether the
    // instance list does, and whether the engine is a candidate.
    let cases = [
        (false, false, true),
        (true, false, false),
        (false, true, false),
        (true, true, false),
        (false, false, true),
    ];
    for (reported, listed, expected) in cases {
        fleet.set_load(key, load(reported));
        let list = listed.then(|| "e0".to_owned());
        fleet.set_leaving(&list.into_iter().collect());
        let is_candidate = !candidates(&fleet, now).is_empty();
        assert_eq!(
            is_candidate, expected,
            "reported {reported}, listed {listed}"
        );
    }
}

#[tokio::test]
async fn a_gap_in_the_cache_events_clears_the_cached_prefixes() {
    let fleet = fleet(&["north"]);
    let now = Instant::now();
    let key = candidates(&fleet, now)[0].key;
    let event = |number, cached| CacheEvent {
        number,
        key: chain().keys()[0],
        cached,
    };
    let cached = || candidates(&fleet, now)[0].cached_tokens;
    drop(fleet.start_call(key, chain().keys(), &[10], 1));
    fleet.apply_cache_events(key, &[event(1, true)]);
    assert_eq!(cached(), 10);
    fleet.apply_cache_events(key, &[event(3, true)]);
    assert_eq!(cached(), 0, "event 2 may have been the eviction");
    drop(fleet.start_call(key, chain().keys(), &[10], 1));
    fleet.apply_cache_events(key, &[event(4, false)]);
    assert_eq!(cached(), 0);
}
