//! A model engine: runs requests in steps, each of which makes a token for every
//! request whose prompt is read, and reads a piece of the others'.

use std::collections::VecDeque;

use gradedyke_gateway::prefix::{Cache, Part};
use serde::Deserialize;

/// What an engine can do.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figures {
    /// Requests it runs at a time.
    pub slots: u32,
    /// Tokens its memory holds.
    pub memory_tokens: u64,
    /// Time of a step that reads nothing, in milliseconds.
    pub step_ms: f64,
    /// Tokens of prompts that it reads in a millisecond.
    pub read_per_ms: f64,
    /// Most tokens that it reads in a step.
    pub chunk_tokens: u64,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Request {
    /// The place of its program.
    pub program: usize,
    /// Its prompt.
    pub parts: Vec<Part>,
    /// Tokens of its answer.
    pub answer: u32,
}

#[derive(Clone, Debug)]
struct Run {
    program: usize,
    unread: u64,
    left: u32,
    begun: bool,
}

/// What one step did.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// How long it took, in milliseconds.
    pub ms: f64,
    /// Programs whose answer began.
    pub began: Vec<usize>,
    /// Programs whose answer ended.
    pub ended: Vec<usize>,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    figures: Figures,
    running: Vec<Run>,
    waiting: VecDeque<Request>,
    cache: Cache,
    /// Tokens of prompts that it has read.
    pub read_tokens: u64,
    /// Whether a step is under way.
    pub stepping: bool,
}

impl Engine {
    /// An engine with nothing to do and an empty memory.
    pub fn new(figures: Figures) -> Self {
        Self {
            figures,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: Cache::default(),
            read_tokens: 0,
            stepping: false,
        }
    }

    /// Takes a request in; it waits for a place.
    pub fn send(&mut self, request: Request) {
        self.waiting.push_back(request);
    }

    fn admit(&mut self) {
        while self.running.len() < self.figures.slots as usize {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            // The last token of a prompt is always read.
            let unread = self.cache.uncached_tokens(&request.parts).max(1);
            let (answer, memory) = (u64::from(request.answer), self.figures.memory_tokens);
            self.cache.record_prompt(&request.parts, answer, memory);
            self.read_tokens += unread;
            self.running.push(Run {
                program: request.program,
                unread,
                left: request.answer.max(1),
                begun: false,
            });
        }
    }

    /// Runs one step; `None` when there is nothing to run.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut step = Step::default();
        let mut chunk = self.figures.chunk_tokens;
        for run in &mut self.running {
            if run.unread > 0 {
                let piece = run.unread.min(chunk);
                run.unread -= piece;
                chunk -= piece;
                continue;
            }
            run.left -= 1;
            if !run.begun {
                run.begun = true;
                step.began.push(run.program);
            }
            if run.left == 0 {
                step.ended.push(run.program);
            }
        }
        self.running.retain(|r| r.left > 0);
        let read = (self.figures.chunk_tokens - chunk) as f64;
        step.ms = self.figures.step_ms + read / self.figures.read_per_ms;
        Some(step)
    }
}
