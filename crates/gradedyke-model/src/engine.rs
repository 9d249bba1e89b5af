//! A simulated model engine with continuous batching.
//!
//! It runs requests in steps. Each step generates one token for every request whose prompt is
//! completely prefilled, and prefills a chunk of the other prompts.

use std::collections::VecDeque;

use gradedyke_policy::prefix::{Cache, Part};
use serde::Deserialize;

/// Performance characteristics of an engine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Capacity of the prefix cache in tokens.
    pub memory_tokens: u64,
    /// Duration of a step without prefill, in milliseconds.
    pub step_ms: f64,
    /// Prefill rate in tokens per millisecond.
    pub read_per_ms: f64,
    /// Maximum number of prompt tokens prefilled in a step.
    pub chunk_tokens: u64,
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the program that sends it.
    pub program: usize,
    /// The prompt.
    pub parts: Vec<Part>,
    /// Number of tokens to generate.
    pub answer_tokens: u32,
}

#[derive(Clone, Debug)]
struct ActiveRequest {
    program: usize,
    remaining_prefill: u64,
    remaining_answer: u32,
    has_started: bool,
}

/// The result of one step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Duration in milliseconds.
    pub duration_ms: f64,
    /// Programs whose answer got its first token.
    pub started: Vec<usize>,
    /// Programs whose answer is complete.
    pub finished: Vec<usize>,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    /// Factor by which its steps take longer than specified.
    pub step_factor: f64,
    running: Vec<ActiveRequest>,
    queue: VecDeque<Request>,
    cache: Cache,
    /// Number of prompt tokens of all admitted requests that were not cached.
    pub prefill_tokens: u64,
    /// Whether a step is in progress.
    pub is_stepping: bool,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(spec: Spec) -> Self {
        Self {
            spec,
            step_factor: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: Cache::default(),
            prefill_tokens: 0,
            is_stepping: false,
        }
    }

    /// Number of requests that are running or queued.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Queues a request until a slot is free.
    pub fn enqueue(&mut self, request: Request) {
        self.queue.push_back(request);
    }

    /// Moves queued requests to the free slots.
    fn admit(&mut self) {
        while self.running.len() < self.spec.slots as usize {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            // At least one prompt token is prefilled, even if the whole prompt is cached.
            let uncached = self.cache.uncached_tokens(&request.parts).max(1);
            let (answer, capacity) = (u64::from(request.answer_tokens), self.spec.memory_tokens);
            self.cache.record_prompt(&request.parts, answer, capacity);
            self.prefill_tokens += uncached;
            self.running.push(ActiveRequest {
                program: request.program,
                remaining_prefill: uncached,
                remaining_answer: request.answer_tokens.max(1),
                has_started: false,
            });
        }
    }

    /// Runs one step. Returns `None` if the engine has no requests.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut step = Step::default();
        let mut chunk_left = self.spec.chunk_tokens;
        for request in &mut self.running {
            if request.remaining_prefill > 0 {
                let prefilled = request.remaining_prefill.min(chunk_left);
                request.remaining_prefill -= prefilled;
                chunk_left -= prefilled;
                continue;
            }
            request.remaining_answer -= 1;
            if !request.has_started {
                request.has_started = true;
                step.started.push(request.program);
            }
            if request.remaining_answer == 0 {
                step.finished.push(request.program);
            }
        }
        self.running.retain(|r| r.remaining_answer > 0);
        let prefilled = (self.spec.chunk_tokens - chunk_left) as f64;
        let normal_ms = self.spec.step_ms + prefilled / self.spec.read_per_ms;
        step.duration_ms = self.step_factor * normal_ms;
        Some(step)
    }
}
