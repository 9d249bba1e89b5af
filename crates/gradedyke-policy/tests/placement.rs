//! Checks which engine the default placement policy chooses.

use gradedyke_policy::estimate::Times;
use gradedyke_policy::mechanism::Mechanisms;
use gradedyke_policy::placement::{Candidate, policies};

/// An engine with the given number of requests in flight and prompt tokens to read.
fn engine(in_flight: u32, uncached_tokens: u64) -> Candidate {
    Candidate {
        in_flight,
        slots: 16,
        is_local: true,
        uncached_tokens,
        is_engine: true,
        has_idle_connection: false,
        times: Times {
            unloaded_response_ms: 280.0,
            first_event_ms: 20.0,
            unloaded_event_gap_ms: 30.0,
            gap_per_concurrent_ms: 1.5,
            events: 8.0,
            read_ms_per_token: 1.0 / 60.0,
        },
        slowness: 1.0,
        pace: None,
        is_repeatable: false,
        failure_rate: 0.0,
        hash: 0,
    }
}

/// Names the engine that the default policy chooses.
fn chosen(first: Candidate, second: Candidate) -> &'static str {
    let policy = policies(Mechanisms::default()).remove("cost").unwrap();
    let index = policy.choose(&[first, second]).unwrap();
    ["first", "second"][index]
}

#[test]
fn conversation_moves_only_if_queue_costs_more_than_rereading_the_prompt() {
    // In-flight requests at the engine that caches the conversation, in-flight requests
    // at the other engine, conversation tokens, expected choice.
    let cases = [
        (0, 0, 2_000, "first"),
        (2, 0, 2_000, "first"),
        (12, 8, 2_000, "first"),
        // Both engines have a queue, so moving only adds work.
        (20, 12, 2_000, "first"),
        (24, 16, 2_000, "first"),
        // The caching engine has a long queue and the other engine has free slots.
        (28, 0, 2_000, "second"),
        (40, 14, 600, "second"),
    ];
    for (at_caching, at_other, conversation, expected) in cases {
        let caching = engine(at_caching, 200);
        let other = engine(at_other, conversation + 200);
        let got = chosen(caching, other);
        assert_eq!(got, expected, "{at_caching} {at_other} {conversation}");
    }
}

#[test]
fn new_conversation_goes_to_the_least_loaded_engine() {
    for (one, two, expected) in [(3, 2, "second"), (2, 3, "first"), (20, 15, "second")] {
        assert_eq!(chosen(engine(one, 1_000), engine(two, 1_000)), expected);
    }
}

#[test]
fn slow_engine_is_avoided_but_small_deviations_are_ignored() {
    for (slowness, expected) in [(1.2, "first"), (5.0, "second")] {
        let slow = Candidate {
            slowness,
            ..engine(2, 200)
        };
        let got = chosen(slow, engine(2, 2_000));
        assert_eq!(got, expected, "{slowness}");
    }
}

#[test]
fn idle_engine_gets_a_share_of_new_prompts_and_conversation_stays_where_it_is_cached() {
    let policy = policies(Mechanisms::default()).remove("cost").unwrap();
    let (mut idle_chosen, mut cached_chosen) = (0, 0);
    for request in 0..200_u64 {
        let hash = |index: u64| (request * 1_000 + index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let candidate = |index: u64| Candidate {
            hash: hash(index),
            ..engine(if index == 7 { 0 } else { 2 }, 2_000)
        };
        let mut engines: Vec<Candidate> = (0..100).map(candidate).collect();
        idle_chosen += u32::from(policy.choose(&engines) == Some(7));
        engines[9].uncached_tokens = 200;
        cached_chosen += u32::from(policy.choose(&engines) == Some(9));
    }
    // Without sampling, all 200 requests would go to the idle engine.
    assert!((4..40).contains(&idle_chosen), "{idle_chosen}");
    assert_eq!(cached_chosen, 200);
}
