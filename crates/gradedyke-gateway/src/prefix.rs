//! What a model engine is believed to hold of prompts.
//!
//! Callers name the parts of each prompt, and an engine does not read a part again
//! that it holds, if it holds all parts before it too. Nobody tells what it holds;
//! it follows from what was sent there. Memory is limited, and the parts that were
//! longest unused give way first, so the same is done here. Asking the engines was
//! given up: their lists are late, have gaps, hold up their work and are priced.
//!
//! With this, in place of knowing only where the turns of kept conversations ran,
//! engines read 5 to 19 in 100 fewer prompt tokens (eight whole days of a deployment
//! of which four in five programs keep no turns; each day played once with and once
//! without).

use std::collections::HashMap;

use gradedyke_turns::record::Id;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name. Prompts with the same name begin with the same tokens there: the
    /// last part of a conversation grows from turn to turn and keeps its name.
    pub id: Id,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Parts remembered of one engine; more than the memory of any in use holds.
const PARTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    /// The number of the use that was last.
    used: u64,
}

/// The parts that one engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Id, Held>,
    tokens: u64,
    uses: u64,
}

impl Cache {
    /// Tokens of a prompt that have to be read.
    ///
    /// ```
    /// use gradedyke_gateway::prefix::{Cache, Part};
    /// use gradedyke_turns::record::Id;
    ///
    /// let part = |name, tokens| Part { id: Id::parse(name).unwrap(), tokens };
    /// let mut cache = Cache::default();
    /// cache.keep(&[part("rules", 500), part("talk", 300)], 40, 10_000);
    /// // The talk has grown by what was answered and by what is asked now.
    /// assert_eq!(cache.unread(&[part("rules", 500), part("talk", 400)]), 60);
    /// assert_eq!(cache.unread(&[part("other", 500), part("talk", 400)]), 900);
    /// ```
    pub fn unread(&self, prompt: &[Part]) -> u64 {
        let mut unread = 0;
        for part in prompt {
            let held = self.parts.get(&part.id).map_or(0, |h| h.tokens);
            // Behind a gap nothing counts as held.
            let usable = if unread == 0 { held } else { 0 };
            unread += part.tokens.saturating_sub(usable);
        }
        unread
    }

    /// Takes in that the engine reads a prompt and then makes `answer` tokens,
    /// within `room` tokens of memory.
    pub fn keep(&mut self, prompt: &[Part], answer: u64, room: u64) {
        let last = prompt.len().saturating_sub(1);
        for (place, part) in prompt.iter().enumerate() {
            let more = if place == last { answer } else { 0 };
            self.hold(part, more);
        }
        while self.tokens > room || self.parts.len() > PARTS {
            if !self.drop_oldest() {
                return;
            }
        }
    }

    /// Takes in that `answer` tokens were made after a prompt.
    pub fn grow(&mut self, prompt: &[Part], answer: u64) {
        if let Some(last) = prompt.last() {
            self.hold(last, answer);
        }
    }

    fn hold(&mut self, part: &Part, more: u64) {
        self.uses += 1;
        let held = self
            .parts
            .entry(part.id.clone())
            .or_insert(Held { tokens: 0, used: 0 });
        held.used = self.uses;
        let tokens = held.tokens.max(part.tokens + more);
        self.tokens += tokens - held.tokens;
        held.tokens = tokens;
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(_, held)| held.used);
        let Some(id) = oldest.map(|(id, _)| id.clone()) else {
            return false;
        };
        if let Some(held) = self.parts.remove(&id) {
            self.tokens -= held.tokens;
        }
        true
    }
}
