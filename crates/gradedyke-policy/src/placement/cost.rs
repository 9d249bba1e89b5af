//! Default placement policy: minimizes the total delay, in milliseconds, of the
//! request and of the requests that share its server.
//!
//! An engine interleaves reading a prompt with generating tokens for its running
//! requests, so each prompt token that is not cached delays all of them. The cost therefore
//! includes the delay of the other requests. This keeps a conversation on the engine that caches
//! it unless the queue there costs more than reading the prompt elsewhere.

use std::sync::Arc;

use super::{Candidate, Policy, PolicyRegistration};
use crate::mechanism::{Mechanism, Mechanisms};

/// Chooses the server with the lowest estimated cost: delay, expected failures and distance.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostPolicy {
    /// The terms that are included.
    pub mechanisms: Mechanisms,
}

/// Cost of a server in another data centre, as equivalent delay.
const REMOTE_DATA_CENTRE_COST_MS: f64 = 6.0;
/// Cost saved by reusing an idle connection.
const IDLE_CONNECTION_SAVING_MS: f64 = 15.0;

/// Slowness up to which a server is treated as normal.
const SLOWNESS_TOLERANCE_RATIO: f64 = 1.5;

/// Cost of a failed tool call that cannot be repeated: its program fails.
const NON_REPEATABLE_FAILURE_MS: f64 = 5_000.0;
/// Cost of a failed turn: the caller has to send it again.
const TURN_FAILURE_MS: f64 = 1_500.0;
/// Cost of a failed request that can be retried on another server.
const REPEATABLE_FAILURE_MS: f64 = 200.0;

/// Maximum number of considered engines with the least of the prompt cached. Load reports are
/// slightly out of date, so if all entries considered all engines, they would send new prompts
/// to the same few idle engines at once.
const MAX_SAMPLED_ENGINES: usize = 8;
/// Maximum number of engines that are sampled from the local data centre alone, before the rest
/// is sampled from all.
const MAX_SAMPLED_LOCAL_ENGINES: usize = 4;

impl CostPolicy {
    /// Indices of the candidates to compare: all engines that cache more of the prompt than the
    /// one that caches least, and a sample of the others that differs from request to request.
    fn considered(self, candidates: &[Candidate]) -> Vec<usize> {
        let indices = 0..candidates.len();
        let engines = candidates.iter().all(|c| c.is_engine);
        if !engines || !self.mechanisms.is_enabled(Mechanism::Sample) {
            return indices.collect();
        }
        let max_uncached = candidates.iter().map(|c| c.uncached_tokens).max();
        let caches_more_than_least =
            |index: &usize| Some(candidates[*index].uncached_tokens) < max_uncached;
        let (mut considered, mut others): (Vec<usize>, Vec<usize>) =
            indices.partition(caches_more_than_least);
        others.sort_unstable_by_key(|index| candidates[*index].hash);
        let local = others.iter().filter(|index| candidates[**index].is_local);
        let local: Vec<usize> = local.copied().take(MAX_SAMPLED_LOCAL_ENGINES).collect();
        others.retain(|index| !local.contains(index));
        others.truncate(MAX_SAMPLED_ENGINES - local.len());
        considered.extend(local);
        considered.extend(others);
        considered
    }

    /// Expected cost of failures, in milliseconds.
    fn expected_failure_ms(candidate: &Candidate) -> f64 {
        let failure_ms = match (candidate.is_engine, candidate.is_repeatable) {
            (true, _) => TURN_FAILURE_MS,
            (false, false) => NON_REPEATABLE_FAILURE_MS,
            (false, true) => REPEATABLE_FAILURE_MS,
        };
        candidate.failure_rate * failure_ms
    }

    /// Delay in milliseconds for this request and the requests that run concurrently with it.
    fn delay_ms(self, candidate: &Candidate) -> f64 {
        let term = |mechanism, value| self.mechanisms.value_if_enabled(mechanism, value);
        let times = &candidate.times;
        let wait_ms = term(Mechanism::Waiting, candidate.wait_ms());
        // Zero for a plain service.
        let read_ms = candidate.uncached_tokens as f64 * times.read_ms_per_token;
        let others_ms = f64::from(candidate.concurrent()) * read_ms;
        times.unloaded_response_ms
            + wait_ms
            + term(Mechanism::Reading, read_ms)
            + term(Mechanism::ReadingForOthers, others_ms)
    }

    /// Total cost of sending the request to a candidate, in milliseconds.
    fn total_ms(self, candidate: &Candidate) -> f64 {
        let term_if = |mechanism, condition: bool, value: f64| {
            let value = if condition { value } else { 0.0 };
            self.mechanisms.value_if_enabled(mechanism, value)
        };
        let distance_ms = term_if(
            Mechanism::Distance,
            !candidate.is_local,
            REMOTE_DATA_CENTRE_COST_MS,
        );
        let saving_ms = term_if(
            Mechanism::Warm,
            candidate.has_idle_connection,
            IDLE_CONNECTION_SAVING_MS,
        );
        let excess = (candidate.slowness / SLOWNESS_TOLERANCE_RATIO).max(1.0) - 1.0;
        let factor = 1.0
            + self
                .mechanisms
                .value_if_enabled(Mechanism::Slowness, excess);
        let failure_ms = self
            .mechanisms
            .value_if_enabled(Mechanism::Risk, Self::expected_failure_ms(candidate));
        failure_ms + self.delay_ms(candidate) * factor + distance_ms - saving_ms
    }
}

impl Policy for CostPolicy {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let key = |c: &Candidate| (self.total_ms(c), c.hash);
        let indices = self.considered(candidates).into_iter();
        indices.min_by(|a, b| {
            let (a, b) = (key(&candidates[*a]), key(&candidates[*b]));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        })
    }
}

inventory::submit! {
    PolicyRegistration {
        name: "cost",
        build: |mechanisms| Arc::new(CostPolicy { mechanisms }),
    }
}
