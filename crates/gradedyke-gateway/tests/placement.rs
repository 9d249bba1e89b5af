//! Where policies send a request, by what is known of two engines.

use gradedyke_gateway::estimate::Times;
use gradedyke_gateway::mechanism::Enabled;
use gradedyke_gateway::placement::{Candidate, policies};

/// An engine with nothing in progress and the whole of a prompt to read.
fn engine(in_flight: u32, unread_tokens: u64) -> Candidate {
    Candidate {
        in_flight,
        slots: 16,
        near: true,
        unread_tokens,
        engine: true,
        warm: false,
        times: Times {
            answer_ms: 280.0,
            first_ms: 20.0,
            gap_ms: 30.0,
            gap_beside_ms: 1.5,
            events: 8.0,
            read_ms: 1.0 / 60.0,
        },
        slowness: 1.0,
        repeatable: false,
        risk: 0.0,
        draw: 0,
    }
}

/// The name of the engine that the policy in use chooses.
fn chosen(holder: Candidate, other: Candidate) -> &'static str {
    let policy = policies(Enabled::default()).remove("cost").unwrap();
    let place = policy.choose(&[holder, other]).unwrap();
    ["holder", "other"][place]
}

#[test]
fn a_conversation_stays_unless_the_queue_costs_more_than_reading_it_for_all() {
    // Requests at the engine that holds it, those at another one, tokens of the
    // conversation, and where the next turn goes.
    let cases = [
        (0, 0, 2_000, "holder"),
        (2, 0, 2_000, "holder"),
        (12, 8, 2_000, "holder"),
        // Both have a queue: moving only makes everybody slower.
        (20, 12, 2_000, "holder"),
        (24, 16, 2_000, "holder"),
        // The other one is idle, and the queue is long.
        (28, 0, 2_000, "other"),
        (40, 14, 600, "other"),
    ];
    for (at_holder, at_other, conversation, expected) in cases {
        let holder = engine(at_holder, 200);
        let other = engine(at_other, conversation + 200);
        let got = chosen(holder, other);
        assert_eq!(got, expected, "{at_holder} {at_other} {conversation}");
    }
}

#[test]
fn a_new_conversation_goes_where_least_is_in_progress() {
    for (one, two, expected) in [(3, 2, "other"), (2, 3, "holder"), (20, 15, "other")] {
        assert_eq!(chosen(engine(one, 1_000), engine(two, 1_000)), expected);
    }
}

#[test]
fn an_engine_that_is_slow_is_left_and_one_that_seems_so_by_chance_is_not() {
    for (slowness, expected) in [(1.2, "holder"), (5.0, "other")] {
        let slow = Candidate {
            slowness,
            ..engine(2, 200)
        };
        let got = chosen(slow, engine(2, 2_000));
        assert_eq!(got, expected, "{slowness}");
    }
}

#[test]
fn of_many_engines_an_idle_one_gets_a_part_of_what_is_new_and_a_holder_all_that_it_holds() {
    let policy = policies(Enabled::default()).remove("cost").unwrap();
    let (mut idle, mut held) = (0, 0);
    for request in 0..200_u64 {
        let draw = |place: u64| (request * 1_000 + place).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let place = |place: u64| Candidate {
            draw: draw(place),
            ..engine(if place == 7 { 0 } else { 2 }, 2_000)
        };
        let mut engines: Vec<Candidate> = (0..100).map(place).collect();
        idle += u32::from(policy.choose(&engines) == Some(7));
        engines[9].unread_tokens = 200;
        held += u32::from(policy.choose(&engines) == Some(9));
    }
    // Eight of a hundred are weighed; all requests would come to the idle one.
    assert!((4..40).contains(&idle), "{idle}");
    assert_eq!(held, 200);
}
