//! The policy that weighs waiting against rebuilding.
//!
//! The cost of a candidate is the work that stands before the call there, plus
//! the part of its prompt that would have to be computed, in tokens of decode
//! work. Prompt tokens are computed many at a time and count for less, but a
//! cached prefix is worth keeping even at some wait, because rebuilding it also
//! pushes somebody else's out.

use std::sync::Arc;

use super::{Candidate, Plugin, Policy, Question};

/// Prompt tokens that cost as much as one generated token.
const PROMPT_PER_TOKEN: f64 = 16.0;
/// Pending tokens that an engine works off side by side: its usual batch.
const SIDE_BY_SIDE: f64 = 32.0;
/// Cost of leaving the data centre, in generated tokens: a millisecond or two
/// against tens of milliseconds for a token.
const FAR: f64 = 0.1;

/// Weighs load against cached prefixes.
#[derive(Debug, Default)]
pub struct Prefix;

/// The cost of a candidate, in generated tokens.
pub fn cost(question: &Question, candidate: &Candidate) -> f64 {
    let rebuild = question
        .prompt_tokens
        .saturating_sub(candidate.cached_tokens);
    let wait = candidate.pending_tokens as f64 / SIDE_BY_SIDE + f64::from(candidate.in_flight);
    let far = if candidate.near { 0.0 } else { FAR };
    wait + rebuild as f64 / PROMPT_PER_TOKEN + far
}

impl Policy for Prefix {
    fn choose(&self, question: &Question, candidates: &[Candidate]) -> Option<usize> {
        let by_cost = |a: &usize, b: &usize| {
            let a = cost(question, &candidates[*a]);
            let b = cost(question, &candidates[*b]);
            a.total_cmp(&b)
        };
        // Equal ones are taken at random, so that owners which decide on the
        // same report do not all go the same way.
        let best = (0..candidates.len()).min_by(by_cost)?;
        let lowest = cost(question, &candidates[best]);
        let equal = |i: &usize| cost(question, &candidates[*i]) <= lowest;
        let equals: Vec<usize> = (0..candidates.len()).filter(equal).collect();
        let pick = rand::random::<u32>() as usize % equals.len();
        Some(equals[pick])
    }
}

inventory::submit! {
    Plugin {
        name: "prefix",
        build: || Arc::new(Prefix),
    }
}
