//! The policy that weighs load against cached prefixes.
//!
//! The cost of a candidate is the work that is already pending there plus the
//! uncached part of the prompt, both in units of one generated token. Prompt tokens
//! cost less because an engine processes many in parallel. A cached prefix is worth
//! some waiting, because computing it again also evicts others from the cache.

use std::sync::Arc;

use super::{CallInfo, Candidate, Plugin, Policy};

/// Prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_GENERATED_TOKEN: f64 = 16.0;
/// Tokens that an engine generates in parallel: its usual batch size.
const BATCH_TOKENS: f64 = 32.0;
/// Cost of a call to another data centre, in generated tokens. The network adds
/// much less than the time to generate one token.
const REMOTE_COST_TOKENS: f64 = 0.1;

/// The policy `prefix`: takes the candidate with the lowest [`cost`].
#[derive(Debug, Default)]
pub struct Prefix;

/// Returns the cost of a candidate, in generated tokens.
pub fn cost(call_info: &CallInfo, candidate: &Candidate) -> f64 {
    let uncached_tokens = call_info
        .prompt_tokens
        .saturating_sub(candidate.cached_tokens);
    let pending = candidate.pending_tokens as f64 / BATCH_TOKENS + f64::from(candidate.in_flight);
    let distance = if candidate.is_local {
        0.0
    } else {
        REMOTE_COST_TOKENS
    };
    pending + uncached_tokens as f64 / PROMPT_TOKENS_PER_GENERATED_TOKEN + distance
}

impl Policy for Prefix {
    fn choose(&self, call_info: &CallInfo, candidates: &[Candidate]) -> Option<usize> {
        let by_cost = |a: &usize, b: &usize| {
            let a = cost(call_info, &candidates[*a]);
            let b = cost(call_info, &candidates[*b]);
            a.total_cmp(&b)
        };
        // Ties are broken at random, so that owners with the same load reports do
        // not all choose the same backend server.
        let best = (0..candidates.len()).min_by(by_cost)?;
        let lowest = cost(call_info, &candidates[best]);
        let is_tie = |i: &usize| cost(call_info, &candidates[*i]) <= lowest;
        let ties: Vec<usize> = (0..candidates.len()).filter(is_tie).collect();
        let index = rand::random::<u32>() as usize % ties.len();
        Some(ties[index])
    }
}

inventory::submit! {
    Plugin {
        name: "prefix",
        build: || Arc::new(Prefix),
    }
}
