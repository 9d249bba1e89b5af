//! The engine's batch, cache and pins, and what a step does to them.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{Config, Run};

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) attempts: BTreeMap<String, Attempt>,
    pub(super) waiting: Vec<String>,
    pub(super) running: Vec<String>,
    pub(super) cache: BTreeMap<String, Cached>,
    pub(super) cached_tokens: u64,
    pub(super) pins: BTreeSet<(String, String)>,
    pub(super) events: Vec<(Instant, Value)>,
    pub(super) event_number: u64,
    pub(super) loads: Vec<(Instant, Value)>,
    pub(super) fencing: u64,
    pub(super) orders: Vec<Value>,
    pub(super) clock: u64,
    pub(super) leaving: bool,
    pub(super) reports: u64,
    /// Calls stand still when they have generated so many tokens.
    pub(super) hold_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Cached {
    tokens: u64,
    pub(super) used: u64,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) run: Run,
    pub(super) model: String,
    pub(super) priority: i64,
    pub(super) order: u64,
    pub(super) prefill_left: u64,
    pub(super) words: Vec<String>,
    pub(super) keys: Vec<(String, u64)>,
    pub(super) progress: watch::Sender<usize>,
    pub(super) ended: bool,
}

/// Past load reports that are kept.
const LOADS: usize = 4_096;

impl State {
    pub(super) fn admit(&mut self, batch: usize) {
        let free = batch.saturating_sub(self.running.len());
        if free == 0 || self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let rank = |name: &String| self.attempts.get(name).map(|a| (a.priority, a.order));
        waiting.sort_by_cached_key(rank);
        self.waiting = waiting.split_off(free.min(waiting.len()));
        for name in waiting {
            self.begin(&name);
            self.running.push(name);
        }
    }

    /// Whether no running call can go on.
    pub(super) fn held(&self) -> bool {
        let limit = self.hold_at.unwrap_or(u64::MAX);
        let running = self.running.iter().filter_map(|n| self.attempts.get(n));
        running
            .into_iter()
            .all(|a| a.run.completion_tokens >= limit)
    }

    /// Looks the prompt up in the cache and puts it there.
    pub(super) fn begin(&mut self, name: &str) {
        let Some(attempt) = self.attempts.get(name) else {
            return;
        };
        let keys = attempt.keys.clone();
        let known = keys.iter().take_while(|(k, _)| self.cache.contains_key(k));
        let cached = known.map(|(_, tokens)| tokens).sum();
        for (key, tokens) in &keys {
            self.store(key, *tokens);
        }
        if let Some(attempt) = self.attempts.get_mut(name) {
            attempt.run.cached_tokens = cached;
            attempt.prefill_left = attempt.run.prompt_tokens - cached;
        }
    }

    pub(super) fn store(&mut self, key: &str, tokens: u64) {
        self.clock += 1;
        let used = self.clock;
        let before = self.cache.insert(key.to_owned(), Cached { tokens, used });
        self.cached_tokens += tokens;
        self.cached_tokens -= before.map_or(0, |b| b.tokens);
        if before.is_none() {
            self.event(key, true);
        }
    }

    pub(super) fn event(&mut self, key: &str, cached: bool) {
        self.event_number += 1;
        let event = json!({ "number": self.event_number, "key": key, "cached": cached });
        self.events.push((Instant::now(), event));
    }

    pub(super) fn evict(&mut self, capacity: u64) {
        while self.cached_tokens > capacity {
            let pinned: BTreeSet<&String> = self.pins.iter().map(|(_, key)| key).collect();
            let free = self.cache.iter().filter(|(key, _)| !pinned.contains(key));
            let Some(oldest) = free.min_by_key(|(_, c)| c.used) else {
                return;
            };
            let key = oldest.0.clone();
            self.cached_tokens -= self.cache.remove(&key).map_or(0, |c| c.tokens);
            self.event(&key, false);
        }
    }

    pub(super) fn step(&mut self, config: &Config) {
        let running = std::mem::take(&mut self.running);
        let limit = self.hold_at.unwrap_or(u64::MAX);
        for name in running {
            let Some(attempt) = self.attempts.get_mut(&name) else {
                continue;
            };
            let held = attempt.run.completion_tokens >= limit;
            if held || attempt.advance(config.prefill_tokens) {
                self.running.push(name);
            }
        }
        self.evict(config.cache_tokens);
        let pending = self.running.iter().chain(&self.waiting);
        let pending = pending.filter_map(|name| self.attempts.get(name));
        let pending: u64 = pending.map(Attempt::pending).sum();
        let load = json!({
            "running": self.running.len(), "waiting": self.waiting.len(), "pending_tokens": pending,
        });
        self.loads.push((Instant::now(), load));
        if self.loads.len() > LOADS {
            self.loads.drain(..LOADS / 2);
        }
    }

    pub(super) fn end(&mut self, name: &str) {
        self.waiting.retain(|n| n != name);
        self.running.retain(|n| n != name);
        if let Some(attempt) = self.attempts.get_mut(name) {
            attempt.ended = true;
            attempt.progress.send_modify(|p| *p += 1);
        }
    }
}

impl Attempt {
    /// One step; tells whether there is more to do.
    pub(super) fn advance(&mut self, prefill: u64) -> bool {
        if self.ended {
            return false;
        }
        if self.prefill_left > 0 {
            self.prefill_left = self.prefill_left.saturating_sub(prefill);
            return true;
        }
        let done = usize::try_from(self.run.completion_tokens).unwrap_or(usize::MAX);
        if let Some(word) = self.words.get(done) {
            self.run.text.push_str(word);
            self.run.completion_tokens += 1;
        }
        self.ended = done + 1 >= self.words.len();
        self.run.whole = self.ended;
        self.progress.send_modify(|p| *p += 1);
        !self.ended
    }

    pub(super) fn pending(&self) -> u64 {
        self.prefill_left + self.words.len() as u64 - self.run.completion_tokens
    }
}
