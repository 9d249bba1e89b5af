//! Default placement policy: minimizes the total delay, in milliseconds, of the
//! request and of the requests that share its server.
//!
//! An engine interleaves reading a prompt with generating tokens for its running
//! requests, so each prompt token that is not cached delays all of them. The cost therefore
//! includes the delay of the other requests. This keeps a conversation on the engine that caches
//! it unless the queue there costs more than reading the prompt elsewhere.

use std::sync::Arc;

use super::spread::{self, Cost};
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

/// Slowness up to which a server is treated as normal. The average of a server's last responses,
/// whose lengths differ, varies that much by chance. Without it there were 2,842 new connections to
/// servers in a day instead of 2,190.
const SLOWNESS_TOLERANCE_RATIO: f64 = 1.5;

/// Cost of the delay that a request causes to later ones at an engine whose slots fill up, as a
/// fraction of its response time for each time its slots are occupied beyond
/// [`CROWDED_FROM_RATIO`]. Without it, fast engines get requests until their queues make them as
/// slow as the slow ones. In the model, 0 gave 8% longer turns in a burst; a cost of 1 for queued
/// requests alone moved a quarter of the conversations.
const CROWDING_COST_RATIO: f64 = 0.8;
/// Share of occupied slots from which an engine counts as crowded. Load figures are out of date,
/// so requests may queue before all slots seem occupied.
const CROWDED_FROM_RATIO: f64 = 0.5;

/// Cost of a failed tool call that cannot be repeated: its program fails.
const NON_REPEATABLE_FAILURE_MS: f64 = 5_000.0;
/// Cost of a failed turn: the caller has to send it again. The caller does so after 0.1 to 0.4 s,
/// and a third failure ends its program.
const TURN_FAILURE_MS: f64 = 1_500.0;
/// Cost of a failed request that can be retried on another server.
const REPEATABLE_FAILURE_MS: f64 = 200.0;

/// Maximum number of considered engines with the least of the prompt cached. Load reports are
/// slightly out of date, so if all entries considered all engines, they would send new prompts to
/// the same few idle engines at once. In a model of 128 engines and 259 entries, turns of a burst
/// at 0.9 of the capacity took 330 ms with a sample of 8 and 413 ms with all.
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
        let (response_ms, others_delay_ms) = match candidate.pace {
            Some(_) => Self::batch_ms(candidate),
            None => (times.unloaded_response_ms, 0.0),
        };
        response_ms
            + others_delay_ms
            + wait_ms
            + term(Mechanism::Reading, read_ms)
            + term(Mechanism::ReadingForOthers, others_ms)
    }

    /// Time of the response in a batch with the running requests, and the delay that the request
    /// causes to later ones because slots and queue are fuller, in milliseconds.
    fn batch_ms(candidate: &Candidate) -> (f64, f64) {
        let response_ms = candidate.times.response_ms(candidate.concurrent());
        let slots = f64::from(candidate.slots.max(1));
        let occupied_ratio = (f64::from(candidate.in_flight) + 1.0) / slots;
        let crowding = (occupied_ratio - CROWDED_FROM_RATIO).max(0.0);
        (response_ms, CROWDING_COST_RATIO * crowding * response_ms)
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
        // If the server's pace is known, its times include it.
        let excess = match candidate.pace {
            Some(_) => 0.0,
            None => (candidate.slowness / SLOWNESS_TOLERANCE_RATIO).max(1.0) - 1.0,
        };
        let factor = 1.0
            + self
                .mechanisms
                .value_if_enabled(Mechanism::Slowness, excess);
        let failure_ms = self
            .mechanisms
            .value_if_enabled(Mechanism::Risk, Self::expected_failure_ms(candidate));
        failure_ms + self.delay_ms(candidate) * factor + distance_ms - saving_ms
    }

    /// The costs of a candidate for [`spread::choose`]. A typical request has `typical_uncached`
    /// uncached prompt tokens at each engine.
    fn cost(self, candidate: &Candidate, typical_uncached: u64) -> Cost {
        let typical = Candidate {
            uncached_tokens: typical_uncached,
            ..*candidate
        };
        let busier = Candidate {
            in_flight: candidate.in_flight + 1,
            ..typical
        };
        let typical_ms = self.total_ms(&typical);
        Cost {
            own_ms: self.total_ms(candidate),
            typical_ms,
            slope_ms: self.total_ms(&busier) - typical_ms,
            hash: candidate.hash,
        }
    }

    /// Chooses among servers whose paces are told apart. The other entries' requests that aren't
    /// seen yet are assumed to find as much of their prompts cached as this one does at best.
    fn choose_by_pace(self, candidates: &[Candidate]) -> Option<usize> {
        let unseen = candidates.iter().filter_map(|c| c.pace).map(|p| p.unseen);
        let typical_uncached = candidates.iter().map(|c| c.uncached_tokens).min()?;
        let costs = candidates.iter().map(|c| self.cost(c, typical_uncached));
        let costs: Vec<Cost> = costs.collect();
        spread::choose(&costs, unseen.sum())
    }
}

impl Policy for CostPolicy {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        if !candidates.is_empty() && candidates.iter().all(|c| c.pace.is_some()) {
            return self.choose_by_pace(candidates);
        }
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
