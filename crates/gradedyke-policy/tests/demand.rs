//! The learned needs of programs where not every program can be followed.

use std::time::Duration;

use gradedyke_policy::demand::Demand;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

const EXPECTED: Duration = Duration::from_secs(2);

/// Records a program of four turns.
fn record_program(demand: &Demand, name: &str, is_timed: bool, now: Instant) {
    let program = Id::parse(name).unwrap();
    if is_timed {
        demand.record_start("draft", &program, EXPECTED, now);
    }
    for turn in 0..4 {
        demand.record_turn("draft", Some(&program), turn == 0, is_timed, now);
    }
}

/// Guards against plans that are too large where more programs run than are followed.
#[test]
fn programs_that_are_not_followed_do_not_raise_the_rate() {
    let (demand, now) = (Demand::default(), Instant::now());
    for number in 0..2_000 {
        record_program(&demand, &format!("p{number}"), true, now);
    }
    let plan = demand.plan("draft", EXPECTED, now + EXPECTED);
    assert_eq!(plan.requests, 4);
}

/// Guards against plans that are too large where only some callers state a program's time.
#[test]
fn programs_without_a_known_time_do_not_raise_the_rate() {
    let (demand, now) = (Demand::default(), Instant::now());
    record_program(&demand, "timed", true, now);
    let before = demand.plan("draft", EXPECTED, now + EXPECTED);
    for number in 0..20 {
        record_program(&demand, &format!("p{number}"), false, now);
    }
    let after = demand.plan("draft", EXPECTED, now + EXPECTED);
    assert_eq!(after, before);
}
