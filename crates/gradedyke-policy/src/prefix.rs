//! Estimates which prompt prefixes a model engine has cached.
//!
//! Callers identify the parts of each prompt. An engine does not have to read a part again
//! that it has cached, provided that all preceding parts are cached too. The contents of
//! its cache are inferred from the prompts that were sent to it, assuming that the least
//! recently used parts are evicted first. Engines are not asked: their lists are late and have gaps,
//! and each call delays their work.

use std::collections::HashMap;

use gradedyke_turns::record::Id;

/// An identified part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// ID of the content. Of two parts with the same ID, the shorter is a prefix of the
    /// longer: the last part of a conversation keeps its ID while it grows.
    pub id: Id,
    /// Length in tokens.
    pub tokens: u64,
}

/// Largest number of parts tracked for one engine.
const MAX_PARTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    /// Whether all entries send prompts with this part.
    is_shared: bool,
    /// Value of the use counter when the part was last used.
    last_use: u64,
}

/// Estimated contents of the prompt cache of one engine.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Id, CachedPart>,
    /// Total length of the parts that are not shared, in tokens.
    own_tokens: u64,
    /// Total length of the shared parts in tokens.
    shared_tokens: u64,
    /// Counts uses of parts, to order them by their last use.
    use_counter: u64,
}

impl Cache {
    /// Number of tokens of a prompt that are not cached.
    ///
    /// ```
    /// use gradedyke_policy::prefix::{Cache, Part};
    /// use gradedyke_turns::record::Id;
    ///
    /// let part = |name, tokens| Part { id: Id::parse(name).unwrap(), tokens };
    /// let mut cache = Cache::default();
    /// cache.record_prompt(&[part("rules", 500), part("talk", 300)], 40, 10_000);
    /// // The conversation has grown by the response and by a new message.
    /// assert_eq!(cache.uncached_tokens(&[part("rules", 500), part("talk", 400)]), 60);
    /// assert_eq!(cache.uncached_tokens(&[part("other", 500), part("talk", 400)]), 900);
    /// ```
    pub fn uncached_tokens(&self, prompt: &[Part]) -> u64 {
        self.uncached_tokens_after(prompt, 0)
    }

    /// Number of tokens of a prompt that are not cached if its first `cached_parts` parts are
    /// known to be cached.
    ///
    /// ```
    /// use gradedyke_policy::prefix::{Cache, Part};
    /// use gradedyke_turns::record::Id;
    ///
    /// let part = |name, tokens| Part { id: Id::parse(name).unwrap(), tokens };
    /// let prompt = [part("rules", 500), part("talk", 300)];
    /// assert_eq!(Cache::default().uncached_tokens_after(&prompt, 1), 300);
    /// ```
    pub fn uncached_tokens_after(&self, prompt: &[Part], cached_parts: usize) -> u64 {
        let mut uncached = 0;
        for part in prompt.iter().skip(cached_parts) {
            // Only a prefix without gaps can be reused.
            let usable = match uncached {
                0 => self.parts.get(&part.id).map_or(0, |c| c.tokens),
                _ => 0,
            };
            uncached += part.tokens.saturating_sub(usable);
        }
        uncached
    }

    /// Records that the engine caches a prompt and a response of `response_tokens`, and
    /// evicts parts until the total is within `capacity` tokens.
    pub fn record_prompt(&mut self, prompt: &[Part], response_tokens: u64, capacity: u64) {
        self.record_shared_prompt(prompt, response_tokens, capacity, 1.0);
    }

    /// Like [`record_prompt`](Self::record_prompt), for `capacity` tokens that are only a share
    /// of the cache, because other entries use it too. All entries share one copy of the
    /// first part of a prompt if others follow, so it counts with the factor `shared_weight`.
    ///
    /// ```
    /// use gradedyke_policy::prefix::{Cache, Part};
    /// use gradedyke_turns::record::Id;
    ///
    /// let part = |name, tokens| Part { id: Id::parse(name).unwrap(), tokens };
    /// let prompt = [part("rules", 5_000), part("talk", 300)];
    /// let mut cache = Cache::default();
    /// // A tenth of a cache of 10,000 tokens.
    /// cache.record_shared_prompt(&prompt, 0, 1_000, 0.1);
    /// assert_eq!(cache.uncached_tokens(&prompt), 0);
    /// cache.record_prompt(&prompt, 0, 1_000);
    /// assert_eq!(cache.uncached_tokens(&prompt), 5_300);
    /// ```
    pub fn record_shared_prompt(
        &mut self,
        prompt: &[Part],
        response_tokens: u64,
        capacity: u64,
        shared_weight: f64,
    ) {
        let last = prompt.len().saturating_sub(1);
        for (index, part) in prompt.iter().enumerate() {
            let extra_tokens = if index == last { response_tokens } else { 0 };
            self.insert(part, extra_tokens, index == 0 && last > 0);
        }
        let exceeds_capacity = |cache: &Self| {
            let shared_tokens = (cache.shared_tokens as f64 * shared_weight) as u64;
            cache.own_tokens + shared_tokens > capacity
        };
        while exceeds_capacity(self) || self.parts.len() > MAX_PARTS {
            if !self.evict_least_recent() {
                return;
            }
        }
    }

    /// Records that a response of `response_tokens` was generated after a prompt.
    pub fn append_response(&mut self, prompt: &[Part], response_tokens: u64) {
        if let Some(last) = prompt.last() {
            self.insert(last, response_tokens, false);
        }
    }

    /// Whether a part is cached, at least its beginning.
    pub fn contains(&self, part: &Id) -> bool {
        self.parts.contains_key(part)
    }

    /// Total length of the parts of the same kind.
    fn total(&mut self, is_shared: bool) -> &mut u64 {
        match is_shared {
            true => &mut self.shared_tokens,
            false => &mut self.own_tokens,
        }
    }

    fn insert(&mut self, part: &Part, extra_tokens: u64, is_shared: bool) {
        self.use_counter += 1;
        let cached = self.parts.entry(part.id.clone()).or_insert(CachedPart {
            tokens: 0,
            is_shared,
            last_use: 0,
        });
        cached.last_use = self.use_counter;
        let tokens = cached.tokens.max(part.tokens + extra_tokens);
        let added = tokens - cached.tokens;
        cached.tokens = tokens;
        let is_shared = cached.is_shared;
        *self.total(is_shared) += added;
    }

    /// Evicts the least recently used part. Returns whether there was one.
    fn evict_least_recent(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.last_use);
        let Some(id) = oldest.map(|(id, _)| id.clone()) else {
            return false;
        };
        if let Some(cached) = self.parts.remove(&id) {
            *self.total(cached.is_shared) -= cached.tokens;
        }
        true
    }
}
