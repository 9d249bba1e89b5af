//! State of the engine: batch, prefix cache and pins; execution of a step.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{Config, Record};

#[derive(Debug, Default)]
pub(super) struct State {
    /// All attempts ever received, by ID.
    pub(super) attempts: BTreeMap<String, Attempt>,
    /// IDs of the attempts that wait for a place in the batch.
    pub(super) waiting: Vec<String>,
    /// IDs of the attempts in the batch.
    pub(super) running: Vec<String>,
    pub(super) cache: BTreeMap<String, CachedPrefix>,
    pub(super) cached_tokens: u64,
    /// Pinned prefixes, as (holder, prefix key) pairs.
    pub(super) pins: BTreeSet<(String, String)>,
    /// Cache events with their times.
    pub(super) events: Vec<(Instant, Value)>,
    pub(super) event_number: u64,
    /// Past load reports with their times.
    pub(super) load_reports: Vec<(Instant, Value)>,
    /// Highest fencing number of the accepted orders.
    pub(super) highest_fencing: u64,
    pub(super) orders: Vec<Value>,
    /// Logical clock: orders the arrivals of attempts and the uses of cached prefixes.
    pub(super) clock: u64,
    pub(super) leaving: bool,
    pub(super) load_report_count: u64,
    /// Number of generated tokens at which calls stall.
    pub(super) stall_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct CachedPrefix {
    tokens: u64,
    /// Value of the logical clock at the last use.
    pub(super) last_used: u64,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) run: Record,
    pub(super) model: String,
    pub(super) priority: i64,
    /// Value of the logical clock at arrival.
    pub(super) arrival: u64,
    /// Prompt tokens that are still to be computed.
    pub(super) prefill_left: u64,
    /// The complete answer, one word per token.
    pub(super) words: Vec<String>,
    /// Keys of the prompt's prefixes, each with the number of tokens that it adds.
    pub(super) keys: Vec<(String, u64)>,
    /// Changes whenever there is new text or the attempt ends.
    pub(super) progress: watch::Sender<usize>,
    pub(super) ended: bool,
}

/// Maximum number of past load reports that are kept.
const MAX_LOAD_REPORTS: usize = 4_096;

impl State {
    /// Moves waiting attempts into the batch as far as there is room: lowest priority value
    /// first, then in order of arrival.
    pub(super) fn admit(&mut self, batch_size: usize) {
        let free_places = batch_size.saturating_sub(self.running.len());
        if free_places == 0 || self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let admission_order = |id: &String| self.attempts.get(id).map(|a| (a.priority, a.arrival));
        waiting.sort_by_cached_key(admission_order);
        self.waiting = waiting.split_off(free_places.min(waiting.len()));
        for id in waiting {
            self.start_prefill(&id);
            self.running.push(id);
        }
    }

    /// Whether no running attempt can make progress.
    pub(super) fn is_idle(&self) -> bool {
        let limit = self.stall_at.unwrap_or(u64::MAX);
        let running = self.running.iter().filter_map(|id| self.attempts.get(id));
        running
            .into_iter()
            .all(|a| a.run.completion_tokens >= limit)
    }

    /// Looks up the longest cached prefix of the prompt, and adds all prefixes of the prompt to
    /// the cache.
    pub(super) fn start_prefill(&mut self, id: &str) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let keys = attempt.keys.clone();
        let cached_keys = keys.iter().take_while(|(k, _)| self.cache.contains_key(k));
        let cached_tokens = cached_keys.map(|(_, tokens)| tokens).sum();
        for (key, tokens) in &keys {
            self.cache_prefix(key, *tokens);
        }
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.run.cached_tokens = cached_tokens;
            attempt.prefill_left = attempt.run.prompt_tokens - cached_tokens;
        }
    }

    /// Adds a prefix to the cache, or marks it as used.
    pub(super) fn cache_prefix(&mut self, key: &str, tokens: u64) {
        self.clock += 1;
        let last_used = self.clock;
        let previous = self
            .cache
            .insert(key.to_owned(), CachedPrefix { tokens, last_used });
        self.cached_tokens += tokens;
        self.cached_tokens -= previous.map_or(0, |p| p.tokens);
        if previous.is_none() {
            self.add_event(key, true);
        }
    }

    /// Adds a cache event: the prefix was added (`cached`) or evicted.
    pub(super) fn add_event(&mut self, key: &str, cached: bool) {
        self.event_number += 1;
        let event = json!({ "number": self.event_number, "key": key, "cached": cached });
        self.events.push((Instant::now(), event));
    }

    /// Evicts the least recently used prefixes that are not pinned, until the cache fits.
    pub(super) fn evict(&mut self, capacity: u64) {
        while self.cached_tokens > capacity {
            let pinned: BTreeSet<&String> = self.pins.iter().map(|(_, key)| key).collect();
            let evictable = self.cache.iter().filter(|(key, _)| !pinned.contains(key));
            let Some(least_recent) = evictable.min_by_key(|(_, c)| c.last_used) else {
                return;
            };
            let key = least_recent.0.clone();
            self.cached_tokens -= self.cache.remove(&key).map_or(0, |c| c.tokens);
            self.add_event(&key, false);
        }
    }

    /// Advances every running attempt by one step and records a load report.
    pub(super) fn step(&mut self, config: &Config) {
        let running = std::mem::take(&mut self.running);
        let limit = self.stall_at.unwrap_or(u64::MAX);
        for id in running {
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            let is_stalled = attempt.run.completion_tokens >= limit;
            if is_stalled || attempt.advance(config.prefill_tokens) {
                self.running.push(id);
            }
        }
        self.evict(config.cache_tokens);
        let attempts = self.running.iter().chain(&self.waiting);
        let attempts = attempts.filter_map(|id| self.attempts.get(id));
        let pending_tokens: u64 = attempts.map(Attempt::pending_tokens).sum();
        let load = json!({
            "running": self.running.len(), "waiting": self.waiting.len(), "pending_tokens": pending_tokens,
        });
        self.load_reports.push((Instant::now(), load));
        if self.load_reports.len() > MAX_LOAD_REPORTS {
            self.load_reports.drain(..MAX_LOAD_REPORTS / 2);
        }
    }

    /// Ends an attempt before its answer is complete.
    pub(super) fn cancel(&mut self, id: &str) {
        self.waiting.retain(|other| other != id);
        self.running.retain(|other| other != id);
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.ended = true;
            attempt.progress.send_modify(|p| *p += 1);
        }
    }
}

impl Attempt {
    /// Runs one step; returns whether there is more to do.
    pub(super) fn advance(&mut self, prefill_tokens: u64) -> bool {
        if self.ended {
            return false;
        }
        if self.prefill_left > 0 {
            self.prefill_left = self.prefill_left.saturating_sub(prefill_tokens);
            return true;
        }
        let generated = usize::try_from(self.run.completion_tokens).unwrap_or(usize::MAX);
        if let Some(word) = self.words.get(generated) {
            self.run.text.push_str(word);
            self.run.completion_tokens += 1;
        }
        self.ended = generated + 1 >= self.words.len();
        self.run.is_complete = self.ended;
        self.progress.send_modify(|p| *p += 1);
        !self.ended
    }

    /// Number of prompt and answer tokens that are still to be computed.
    pub(super) fn pending_tokens(&self) -> u64 {
        self.prefill_left + self.words.len() as u64 - self.run.completion_tokens
    }
}
