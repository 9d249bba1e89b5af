//! The policy that weighs load against cached prefixes.
//!
//! The cost of a candidate is the work that is already pending there plus the
//! uncached part of the prompt, both in units of one generated token. Prompt tokens
//! cost less because an engine processes many in parallel. A cached prefix is worth
//! some waiting, because computing it again also evicts others from the cache.

use std::sync::Arc;

use super::{Candidate, Plugin, Policy, Question};

/// Prompt tokens that cost as much as one generated token.
const PROMPT_PER_TOKEN: f64 = 16.0;
/// Tokens that an engine generates in parallel: its usual batch size.
const SIDE_BY_SIDE: f64 = 32.0;
/// Cost of a call to another data centre, in generated tokens. The network adds
/// much less than the time to generate one token.
const FAR: f64 = 0.1;

/// The policy `prefix`: takes the candidate with the lowest [`cost`].
#[derive(Debug, Default)]
pub struct Prefix;

/// Returns the cost of a candidate, in generated tokens.
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
        // Ties are broken at random, so that owners with the same load reports do
        // not all choose the same backend server.
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
