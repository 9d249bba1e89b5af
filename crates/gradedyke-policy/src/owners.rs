//! Assigns shared parts of prompts to some of the engines.
//!
//! If every engine caches every shared part, little of its memory is left to conversations. The
//! owners of a part are the first engines in an order that each entry computes identically from
//! the IDs (rendezvous hashing), so entries agree without messages. The number of owners
//! follows from the part's share of the demand.

use std::collections::HashMap;

use gradedyke_turns::record::Id;

use crate::prefix::Part;

/// Returns a hash of an ID that is the same in all builds.
///
/// ```
/// use gradedyke_policy::owners;
/// use gradedyke_turns::record::Id;
///
/// let id = Id::parse("engine-1").unwrap();
/// assert_eq!(owners::hash(&id), 0x387163d818ada505);
/// ```
pub fn hash(id: &Id) -> u64 {
    let digest = blake3::hash(id.as_str().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Mixes the bits of `value` (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the rank value of an engine for a part or session, each given by its [`hash`]. The
/// engine with the lowest score comes first. An engine is first with a probability
/// proportional to its `weight`, and a changed weight moves only this engine in the order.
///
/// ```
/// use gradedyke_policy::owners::score;
///
/// let is_first = |part: &u64| score(*part, 1, 3.0) < score(*part, 2, 1.0);
/// let count = (0..1_000).filter(is_first).count();
/// assert!((700..800).contains(&count));
/// ```
pub fn score(part: u64, engine: u64, weight: f64) -> f64 {
    /// Number of bits that an `f64` holds exactly.
    const BITS: u32 = 53;
    let bits = mix(part ^ mix(engine)) >> (u64::BITS - BITS);
    let uniform = (bits as f64 + 0.5) / (1_u64 << BITS) as f64;
    // Has the order of the usual `-ln(uniform) / weight`, without a logarithm for equal weights.
    if weight == 1.0 {
        1.0 - uniform
    } else {
        1.0 - uniform.powf(weight.recip())
    }
}

/// Fraction of the engines' caches that owned parts may fill. The rest is left to
/// conversations.
const OWNED_CACHE_FRACTION: f64 = 0.25;
/// Number of owners relative to the number of engines that the part's requests keep busy, so
/// that a burst, or slower engines, leave a choice.
const OWNERS_PER_BUSY_ENGINE: f64 = 2.0;
/// Smallest number of owners, so that the loss of one leaves another.
const MIN_OWNERS: f64 = 2.0;
/// Factor by which earlier demand shrinks with each request: the last 200 requests count. With
/// 16 parts in equal demand, the estimated share then varies by about a third.
const DECAY_FACTOR: f64 = 0.995;
/// Number of requests by which the demand for each part is raised when shares are estimated, so
/// that entries that have seen few requests differ less.
const PRIOR_REQUESTS: f64 = 8.0;
/// Demand below which a part is no longer in use: it was in none of the last 500 requests or
/// more.
const MIN_WEIGHT: f64 = 0.08;
/// Largest number of tracked parts.
const MAX_PARTS: usize = 64;

#[derive(Clone, Debug)]
struct PartDemand {
    id: Id,
    hash: u64,
    tokens: u64,
    /// Decaying number of requests.
    weight: f64,
}

/// The recent demand for shared parts of prompts, as one entry sees it.
///
/// ```
/// use gradedyke_policy::owners::Demand;
/// use gradedyke_policy::prefix::Part;
/// use gradedyke_turns::record::Id;
///
/// let part = |name: &str, tokens| Part { id: Id::parse(name).unwrap(), tokens };
/// let mut demand = Demand::default();
/// for n in 0..400 {
///     let rules = part(&format!("rules{}", n % 8), 10_000);
///     demand.record(&[rules, part("talk", 500)]);
/// }
/// assert!(demand.fills_caches(200_000));
/// let count = demand.owner_count(&part("rules0", 0).id, 40, 200_000).unwrap();
/// assert!((20..=30).contains(&count), "{count}");
/// // Parts that fit in every cache have no owners.
/// assert!(!demand.fills_caches(1_000_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Demand {
    parts: Vec<PartDemand>,
    /// Decaying number of requests.
    requests: f64,
}

impl Demand {
    /// Records a request. The first part of its prompt may be shared if others follow. Later
    /// parts count as the conversation's own: a prompt may list its former turns one by one.
    pub fn record(&mut self, prompt: &[Part]) {
        let [first, _, ..] = prompt else {
            return;
        };
        self.requests = self.requests * DECAY_FACTOR + 1.0;
        for demand in &mut self.parts {
            demand.weight *= DECAY_FACTOR;
        }
        self.parts.retain(|d| d.weight >= MIN_WEIGHT);
        self.record_part(first);
    }

    fn record_part(&mut self, part: &Part) {
        if let Some(demand) = self.parts.iter_mut().find(|d| d.id == part.id) {
            demand.weight += 1.0;
            demand.tokens = demand.tokens.max(part.tokens);
            return;
        }
        if self.parts.len() >= MAX_PARTS {
            self.forget_least();
        }
        self.parts.push(PartDemand {
            id: part.id.clone(),
            hash: hash(&part.id),
            tokens: part.tokens,
            weight: 1.0,
        });
    }

    fn forget_least(&mut self) {
        let weights = self.parts.iter().map(|d| d.weight).enumerate();
        if let Some((index, _)) = weights.min_by(|a, b| a.1.total_cmp(&b.1)) {
            self.parts.swap_remove(index);
        }
    }

    /// Number of shared parts in use, and their total length in tokens.
    pub fn shared_size(&self) -> (usize, u64) {
        // Callers state the lengths, so the sum could overflow.
        let tokens = self.parts.iter().map(|d| d.tokens);
        let total = tokens.fold(0, u64::saturating_add);
        (self.parts.len(), total)
    }

    /// Whether the shared parts in use are too large for every engine to cache all of them
    /// besides conversations. Only then do parts have owners.
    pub fn fills_caches(&self, capacity_tokens: u64) -> bool {
        let (_, tokens) = self.shared_size();
        capacity_tokens > 0 && tokens as f64 >= capacity_tokens as f64 * OWNED_CACHE_FRACTION
    }

    /// The [`hash`] of a shared part in use.
    pub fn part_hash(&self, part: &Id) -> Option<u64> {
        self.find(part).map(|d| d.hash)
    }

    fn find(&self, part: &Id) -> Option<&PartDemand> {
        self.parts.iter().find(|d| d.id == *part)
    }

    /// Number of owners of a part among `engines` engines, each with a cache of
    /// `capacity_tokens`; `None` if the part is not a shared one in use.
    ///
    /// All parts together get `OWNED_CACHE_FRACTION` of the caches in proportion to their
    /// demand, but each at least the engines that its requests need.
    pub fn owner_count(&self, part: &Id, engines: usize, capacity_tokens: u64) -> Option<usize> {
        let demand = self.find(part)?;
        let engines = engines as f64;
        let owned_tokens = engines * capacity_tokens as f64 * OWNED_CACHE_FRACTION;
        let weight = |d: &PartDemand| d.weight + PRIOR_REQUESTS;
        let demanded_tokens: f64 = self.parts.iter().map(|d| weight(d) * d.tokens as f64).sum();
        let by_memory = owned_tokens * weight(demand) / demanded_tokens.max(1.0);
        let busy_engines = engines * demand.weight / (self.requests + PRIOR_REQUESTS);
        let by_demand = busy_engines * OWNERS_PER_BUSY_ENGINE;
        let count = by_memory.max(by_demand).max(MIN_OWNERS);
        Some(count.min(engines).ceil() as usize)
    }
}

/// Number of owners, relative to the usual number, up to which further engines replace those
/// without room. With more, the requests of a burst would spread the part over all engines.
const MAX_REPLACEMENT_RATIO: usize = 2;

/// Returns the score up to which engines own a part: that of the `count`-th engine with room.
/// `engines` holds the score of each engine and whether it has room, and is reordered by
/// this function. `None` if there are no engines.
///
/// ```
/// use gradedyke_policy::owners::max_owner_score;
///
/// let mut engines = [(0.4, true), (0.1, false), (0.2, true), (0.3, true)];
/// assert_eq!(max_owner_score(&mut engines, 2), Some(0.3));
/// ```
pub fn max_owner_score(engines: &mut [(f64, bool)], count: usize) -> Option<f64> {
    if count == 0 || engines.is_empty() {
        return None;
    }
    let by_score = |a: &(f64, bool), b: &(f64, bool)| a.0.total_cmp(&b.0);
    if engines.iter().all(|(_, has_room)| *has_room) {
        let last = count.min(engines.len()) - 1;
        let (_, (score, _), _) = engines.select_nth_unstable_by(last, by_score);
        return Some(*score);
    }
    engines.sort_unstable_by(by_score);
    let limit = engines.len().min(count * MAX_REPLACEMENT_RATIO);
    let mut with_room = 0;
    let last_owner = engines[..limit].iter().find(|(_, has_room)| {
        with_room += usize::from(*has_room);
        with_room == count
    });
    let last_owner = last_owner.or(engines[..limit].last());
    last_owner.map(|(score, _)| *score)
}

/// The order of all engines of a service for each part. Orders are kept up to date as engines
/// come and go, so that a choice among thousands of engines need not compute them.
#[derive(Clone, Debug)]
pub struct Orders<K> {
    /// The engines with their hashes.
    engines: HashMap<K, u64>,
    by_part: HashMap<Id, Order<K>>,
}

#[derive(Clone, Debug)]
struct Order<K> {
    part_hash: u64,
    /// Engines with their scores, lowest score first.
    engines: Vec<(f64, K)>,
}

impl<K> Default for Orders<K> {
    fn default() -> Self {
        Self {
            engines: HashMap::new(),
            by_part: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> Orders<K> {
    /// Adds a new engine with the [`hash`] of its incarnation.
    pub fn insert(&mut self, engine: K, engine_hash: u64) {
        self.engines.insert(engine, engine_hash);
        for order in self.by_part.values_mut() {
            let score = score(order.part_hash, engine_hash, 1.0);
            let index = order.engines.partition_point(|(s, _)| *s < score);
            order.engines.insert(index, (score, engine));
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, engine: K) {
        let Some(engine_hash) = self.engines.remove(&engine) else {
            return;
        };
        for order in self.by_part.values_mut() {
            let score = score(order.part_hash, engine_hash, 1.0);
            let first = order.engines.partition_point(|(s, _)| *s < score);
            let offset = order.engines[first..]
                .iter()
                .position(|(_, e)| *e == engine);
            if let Some(offset) = offset {
                order.engines.remove(first + offset);
            }
        }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Computes the order for a part if it is not known, and discards those of parts that
    /// are not in `demand`.
    pub fn prepare(&mut self, part: &Id, demand: &Demand) {
        let Some(part_hash) = demand.part_hash(part) else {
            return;
        };
        if self.by_part.contains_key(part) {
            return;
        }
        self.by_part.retain(|id, _| demand.part_hash(id).is_some());
        let engines = self.engines.iter();
        let mut engines: Vec<(f64, K)> = engines
            .map(|(engine, hash)| (score(part_hash, *hash, 1.0), *engine))
            .collect();
        engines.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let order = Order { part_hash, engines };
        self.by_part.insert(part.clone(), order);
    }

    /// The engines with their scores for a part, lowest first; empty if the order was not
    /// [prepared](Self::prepare).
    ///
    /// ```
    /// use gradedyke_policy::owners::{Demand, Orders};
    /// use gradedyke_policy::prefix::Part;
    /// use gradedyke_turns::record::Id;
    ///
    /// let part = |name: &str| Part { id: Id::parse(name).unwrap(), tokens: 500 };
    /// let mut demand = Demand::default();
    /// demand.record(&[part("rules"), part("talk")]);
    /// let mut orders = Orders::default();
    /// orders.insert(1, 77);
    /// orders.prepare(&part("rules").id, &demand);
    /// orders.insert(2, 88);
    /// assert_eq!(orders.of(&part("rules").id).len(), 2);
    /// ```
    pub fn of(&self, part: &Id) -> &[(f64, K)] {
        self.by_part.get(part).map_or(&[], |order| &order.engines)
    }
}
