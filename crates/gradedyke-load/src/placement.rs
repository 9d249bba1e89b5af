//! Simulates all placement policies, and one policy with each of its mechanisms disabled, with
//! the setups of `gradedyke-model`.

use gradedyke_model::simulation::{Outcome, Policy, Setup, run, setups};
use gradedyke_policy::mechanism::Mechanism;
use gradedyke_policy::placement;
use serde_json::{Value, json};

/// The policy that is also simulated without each of [`TESTED_MECHANISMS`].
const FULL_POLICY: &str = "cost";
/// The mechanisms that are disabled one by one.
const TESTED_MECHANISMS: [Mechanism; 6] = [
    Mechanism::Waiting,
    Mechanism::Reading,
    Mechanism::ReadingForOthers,
    Mechanism::Prefixes,
    Mechanism::SharedLoad,
    Mechanism::LearnedTimes,
];
/// Number of runs of each setup and policy, with seeds from 1.
const SEED_COUNT: u64 = 3;
/// The seconds of a run to report: before the burst, in its second half, and after it.
const REPORTED_SECONDS: [std::ops::Range<usize>; 3] = [2..4, 6..8, 10..12];

/// Returns all policies, and [`FULL_POLICY`] without each of [`TESTED_MECHANISMS`].
fn policies() -> Vec<Policy> {
    let complete = placement::policies(Default::default()).into_keys();
    let complete = complete.map(|name| Policy {
        name: name.to_owned(),
        disabled: Vec::new(),
    });
    let reduced = TESTED_MECHANISMS.map(|mechanism| Policy {
        name: FULL_POLICY.to_owned(),
        disabled: vec![mechanism],
    });
    complete.chain(reduced).collect()
}

/// Returns the mean of a value over runs, rounded to three decimals.
fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> f64 {
    let mean = outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64;
    (mean * 1e3).round() / 1e3
}

/// Simulates a setup with a policy, and returns the means over all seeds.
fn measure_one(setup: &Setup, policy: &Policy, seeds: u64) -> Value {
    let runs: Vec<Outcome> = (1..=seeds).map(|s| run(setup, policy, s)).collect();
    let [before, burst, after] =
        REPORTED_SECONDS.map(|seconds| mean(&runs, |o| o.mean_turn_ms(seconds.clone())));
    let completed = |o: &Outcome| {
        o.completed_answers[6..8]
            .iter()
            .map(|n| f64::from(*n))
            .sum()
    };
    json!({
        "setup": setup.name, "policy": policy.name, "off": format!("{:?}", policy.disabled),
        "turn_ms_before": before, "turn_ms_burst": burst, "turn_ms_after": after,
        "answers_in_burst": mean(&runs, completed),
        "moved_share": mean(&runs, Outcome::moved_ratio),
        "read_tokens": mean(&runs, |o| o.prefill_tokens as f64),
    })
}

/// Runs the experiment, with only one seed if `short`.
pub fn measure(short: bool) -> Value {
    let seeds = if short { 1 } else { SEED_COUNT };
    let policies = policies();
    let rows = setups().into_iter().flat_map(|setup| {
        let results = policies.iter().map(|p| measure_one(&setup, p, seeds));
        results.collect::<Vec<Value>>()
    });
    Value::Array(rows.collect())
}
