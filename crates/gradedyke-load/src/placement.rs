//! Policies for placement, and each of their mechanisms switched off, over the
//! setups of the model's table.

use gradedyke_gateway::mechanism::Mechanism;
use gradedyke_gateway::placement;
use gradedyke_model::world::{Outcome, Policy, Setup, run, setups};
use serde_json::{Value, json};

/// The policy whose mechanisms are switched off one by one.
const WHOLE: &str = "cost";
/// Mechanisms that the model can tell something of.
const MECHANISMS: [Mechanism; 6] = [
    Mechanism::Waiting,
    Mechanism::Reading,
    Mechanism::ReadingForOthers,
    Mechanism::Prefixes,
    Mechanism::SharedLoad,
    Mechanism::LearnedTimes,
];
/// Runs of each, with seeds from 1 on.
const SEEDS: u64 = 3;
/// Seconds before the burst, in its second half, and after it.
const SPANS: [std::ops::Range<usize>; 3] = [2..4, 6..8, 10..12];

fn policies() -> Vec<Policy> {
    let named = placement::policies(Default::default()).into_keys();
    let named = named.map(|name| Policy {
        name: name.to_owned(),
        off: Vec::new(),
    });
    let without = MECHANISMS.map(|mechanism| Policy {
        name: WHOLE.to_owned(),
        off: vec![mechanism],
    });
    named.chain(without).collect()
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    let mean = outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    (mean * 1e3).round() / 1e3
}

fn result(setup: &Setup, policy: &Policy, seeds: u64) -> Value {
    let runs: Vec<Outcome> = (1..=seeds).map(|s| run(setup, policy, s)).collect();
    let [before, burst, after] = SPANS.map(|span| mean(&runs, |o| o.mean_ms(span.clone())));
    let ended = |o: &Outcome| o.ended[6..8].iter().map(|n| f64::from(*n)).sum();
    json!({
        "setup": setup.name, "policy": policy.name, "off": format!("{:?}", policy.off),
        "turn_ms_before": before, "turn_ms_burst": burst, "turn_ms_after": after,
        "answers_in_burst": mean(&runs, ended),
        "moved_share": mean(&runs, Outcome::moved_share),
        "read_tokens": mean(&runs, |o| o.read_tokens as f64),
    })
}

/// Runs all of it; `short` with one seed.
pub fn measure(short: bool) -> Value {
    let seeds = if short { 1 } else { SEEDS };
    let policies = policies();
    let all = setups().into_iter().flat_map(|setup| {
        let results = policies.iter().map(|p| result(&setup, p, seeds));
        results.collect::<Vec<Value>>()
    });
    Value::Array(all.collect())
}
