//! Applies the ownership of shared prompt parts to the choice of an engine.

use gradedyke_policy::owners::{self, Demand, Orders};
use gradedyke_policy::placement::Candidate;
use gradedyke_policy::prefix::Part;

use super::registry::Registry;
use super::sample::MAX_UNSAMPLED_SERVERS;
use super::{Key, Query};

/// Largest number of owners that are added to a sample of engines; some may have no room.
const MAX_PRESELECTED_OWNERS: usize = 2 * MAX_COMPARED_OWNERS;
/// Number of owners that are compared for a request. The load reported by other entries is
/// slightly out of date, so if all entries compared all owners, they would choose the same few
/// idle ones at once.
const MAX_COMPARED_OWNERS: usize = 4;

/// Whether a chosen engine owns the first part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Number of compared engines that own the first part of the prompt.
    pub owners: u32,
    /// Whether the chosen engine is one of them.
    pub is_owner: bool,
    /// Whether it is the one that the request's session prefers.
    pub is_session_owner: bool,
}

impl Ownership {
    /// Counts the choice in the metrics.
    pub(super) fn count(self) {
        let owner = match (self.is_session_owner, self.is_owner) {
            (true, _) => "session",
            (false, true) => "part",
            (false, false) => "none",
        };
        metrics::counter!("gradedyke_prefix_owner_choices_total", "owner" => owner).increment(1);
    }
}

/// The demand for shared prompt parts at a service, and the order of its engines for each.
#[derive(Debug, Default)]
pub(super) struct PrefixOwners {
    pub(super) orders: Orders<Key>,
    demand: Demand,
    is_in_effect: bool,
}

impl PrefixOwners {
    /// Records the prompt of a request, unless it is a further attempt. Returns whether
    /// shared parts have owners.
    pub(super) fn record(&mut self, query: &Query<'_>) -> bool {
        if query.excluded.is_empty() {
            self.demand.record(query.parts);
        }
        let is_in_effect = self.demand.fills_caches(query.cache_capacity_tokens);
        if is_in_effect != self.is_in_effect {
            self.is_in_effect = is_in_effect;
            self.log_change(query);
        }
        if let Some(first) = query.parts.first()
            && is_in_effect
            && self.orders.len() > MAX_UNSAMPLED_SERVERS
        {
            self.orders.prepare(&first.id, &self.demand);
        }
        is_in_effect
    }

    fn log_change(&self, query: &Query<'_>) {
        let (parts, tokens) = self.demand.shared_size();
        tracing::info!(
            event = "prefix_owners",
            service = query.service,
            in_effect = self.is_in_effect,
            parts,
            tokens,
            capacity = query.cache_capacity_tokens,
            engines = self.orders.len()
        );
        metrics::gauge!("gradedyke_prefix_owners_in_effect", "service" => query.service.to_owned())
            .set(if self.is_in_effect { 1.0 } else { 0.0 });
    }

    /// The owners of a prompt's first part, with their scores.
    fn first_part_owners(&self, query: &Query<'_>) -> &[(f64, Key)] {
        let Some(first) = query.parts.first() else {
            return &[];
        };
        let order = self.orders.of(&first.id);
        let capacity = query.cache_capacity_tokens;
        let count = self.demand.owner_count(&first.id, order.len(), capacity);
        order.get(..count.unwrap_or_default()).unwrap_or_default()
    }
}

/// An engine among those that are compared.
struct Engine {
    hash: u64,
    /// Its score for the first part of the prompt.
    score: f64,
    /// Whether it owns that part.
    is_owner: bool,
}

impl Registry {
    /// Owners of a prompt's first part to be compared, if the engines are sampled: some that
    /// differ with the request, and the one that the session prefers.
    pub(super) fn preselected_owners(&self, query: &Query<'_>) -> Vec<Key> {
        let Some(service) = self.owners.get(query.service).filter(|o| o.is_in_effect) else {
            return Vec::new();
        };
        let owners = service.first_part_owners(query);
        let seed = owners::hash(query.request_id);
        let start = usize::try_from(seed % owners.len().max(1) as u64).unwrap_or_default();
        let sample = owners.iter().cycle().skip(start);
        let sample = sample.take(MAX_PRESELECTED_OWNERS.min(owners.len()));
        let mut keys: Vec<Key> = sample.map(|(_, key)| *key).collect();
        keys.extend(session_owner(query, owners));
        keys
    }

    /// Lowers the uncached tokens of the `candidates`, which are the servers `keys`, where they
    /// own the first part of the prompt. Returns the ownership of each.
    pub(super) fn apply_owners(
        &self,
        query: &Query<'_>,
        keys: &[Key],
        candidates: &mut [Candidate],
    ) -> Vec<Ownership> {
        let (Some(service), [first, .., last]) = (self.owners.get(query.service), query.parts)
        else {
            return Vec::new();
        };
        let new_engine = |key: &Key| Engine {
            hash: self.servers[*key].owner_hash,
            score: 0.0,
            is_owner: false,
        };
        let mut engines: Vec<Engine> = keys.iter().map(new_engine).collect();
        service.assign(query, first, &mut engines, candidates);
        let mut owners: Vec<usize> = (0..engines.len())
            .filter(|i| engines[*i].is_owner)
            .collect();
        let owner_count = u32::try_from(owners.len()).unwrap_or(u32::MAX);
        draw_owners(query, first, &mut owners, &engines, candidates);
        let is_cached = |key: &Key| self.servers[*key].cache.contains(&last.id);
        let has_preferred =
            query.session.is_some() && query.cached_on.is_none() && !keys.iter().any(is_cached);
        let preferred = owners.first().copied().filter(|_| has_preferred);
        let engines = engines.iter().enumerate().zip(candidates);
        let ownership = engines.map(|((index, engine), candidate)| {
            if owners.contains(&index) {
                // All entries expect the conversation at the engine that its session prefers.
                let cached_parts = match preferred == Some(index) {
                    true => query.parts.len(),
                    false => 1,
                };
                let cache = &self.servers[keys[index]].cache;
                let uncached = cache.uncached_tokens_after(query.parts, cached_parts);
                candidate.uncached_tokens = candidate.uncached_tokens.min(uncached);
            }
            Ownership {
                owners: owner_count,
                is_owner: engine.is_owner,
                is_session_owner: preferred == Some(index),
            }
        });
        ownership.collect()
    }
}

impl PrefixOwners {
    /// Marks the engines that own the first part of a prompt.
    fn assign(
        &self,
        query: &Query<'_>,
        first: &Part,
        engines: &mut [Engine],
        candidates: &[Candidate],
    ) {
        let Some(part_hash) = self.demand.part_hash(&first.id) else {
            return;
        };
        for engine in engines.iter_mut() {
            engine.score = owners::score(part_hash, engine.hash, 1.0);
        }
        let max_score = if self.orders.len() > MAX_UNSAMPLED_SERVERS {
            let owners = self.first_part_owners(query);
            owners.last().map(|(score, _)| *score)
        } else {
            let engines = engines.iter().zip(candidates);
            let scores = engines.map(|(e, c)| (e.score, has_room(c, first)));
            let mut scores: Vec<(f64, bool)> = scores.collect();
            let capacity = query.cache_capacity_tokens;
            let count = self.demand.owner_count(&first.id, scores.len(), capacity);
            owners::max_owner_score(&mut scores, count.unwrap_or_default())
        };
        let Some(max_score) = max_score else {
            return;
        };
        for engine in engines {
            engine.is_owner = engine.score <= max_score;
        }
    }
}

/// Whether a request that needs `part` starts no later at an owner than at an idle engine that
/// has to prefill the part.
fn has_room(owner: &Candidate, part: &Part) -> bool {
    let has_free_slot = owner.in_flight < owner.slots;
    has_free_slot || owner.wait_ms() <= part.tokens as f64 * owner.times.read_ms_per_token
}

/// Score of an engine in the order of a session or request, given by its hash. It follows from
/// the engine's score for the first part, which is at hand for all engines in the cached order.
fn draw_score(seed: u64, first_score: f64) -> f64 {
    owners::score(seed, first_score.to_bits(), 1.0)
}

/// The engine that the request's session prefers among the owners of the first part.
fn session_owner(query: &Query<'_>, owners: &[(f64, Key)]) -> Option<Key> {
    let session = owners::hash(query.session?);
    let scores = owners
        .iter()
        .map(|(s, key)| (draw_score(session, *s), *key));
    let first = scores.min_by(|a, b| a.0.total_cmp(&b.0));
    first.map(|(_, key)| key)
}

/// Orders `owners` by the session of a request, or else by the request, those with room first,
/// and keeps [`MAX_COMPARED_OWNERS`] of them, unless all engines are owners.
fn draw_owners(
    query: &Query<'_>,
    first: &Part,
    owners: &mut Vec<usize>,
    engines: &[Engine],
    candidates: &[Candidate],
) {
    let seed = owners::hash(query.session.unwrap_or(query.request_id));
    owners.sort_by_cached_key(|index| {
        let is_full = !has_room(&candidates[*index], first);
        let score = draw_score(seed, engines[*index].score);
        // Positive numbers have the order of their bits.
        (is_full, score.to_bits())
    });
    if owners.len() < candidates.len() {
        owners.truncate(MAX_COMPARED_OWNERS);
    }
}
