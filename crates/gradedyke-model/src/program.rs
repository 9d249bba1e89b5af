//! The simulated agent programs. A program makes one turn after the other, with pauses
//! between them, and each turn adds to its conversation.

use gradedyke_policy::prefix::Part;
use gradedyke_turns::record::Id;
use rand::rngs::StdRng;
use rand::{Rng, RngExt};
use serde::Deserialize;

/// Parameters of the programs of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Mean number of turns of a program.
    pub turns: u32,
    /// Length of the prompt prefix that all programs of a kind share, in tokens.
    pub shared_tokens: u64,
    /// Mean number of prompt tokens that a turn adds.
    pub new_tokens: u64,
    /// Mean length of an answer in tokens.
    pub answer_tokens: u32,
    /// Mean pause between two turns, in milliseconds.
    pub pause_ms: f64,
}

/// Number of kinds of programs. Each kind has its own prompt prefix.
const PROGRAM_KINDS: u32 = 6;

/// A simulated program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Index of the entry that gets all its turns.
    pub entry: usize,
    /// When it started, in milliseconds since the start of the run.
    pub started_ms: f64,
    /// Prompt tokens that each remaining turn adds, and the tokens of its answer.
    pub turns: Vec<(u64, u32)>,
    /// Its prompt: the shared prefix, followed by the conversation.
    pub parts: Vec<Part>,
}

/// Returns a random number between 0.5 and 1.5 times `mean`.
fn random_around(mean: f64, rng: &mut StdRng) -> f64 {
    mean * rng.random_range(0.5..1.5)
}

fn id(text: &str) -> Id {
    Id::parse(text).unwrap_or_else(|| unreachable!("a short word is a valid ID"))
}

impl Program {
    /// Generates a program that starts at `now_ms`. Its number makes its prompt distinct.
    pub fn generate(
        workload: &Workload,
        number: usize,
        entry: usize,
        now_ms: f64,
        rng: &mut StdRng,
    ) -> Self {
        let turn_count = rng.random_range(1..2 * workload.turns.max(1));
        let turn = |rng: &mut StdRng| {
            let new_tokens = random_around(workload.new_tokens as f64, rng) as u64;
            let answer = random_around(f64::from(workload.answer_tokens), rng) as u32;
            (new_tokens, answer.max(1))
        };
        let turns = (0..turn_count).map(|_| turn(rng)).collect();
        let kind = rng.next_u32() % PROGRAM_KINDS;
        let shared = Part {
            id: id(&format!("kind{kind}")),
            tokens: workload.shared_tokens,
        };
        let own = Part {
            id: id(&format!("program{number}")),
            tokens: 0,
        };
        Self {
            entry,
            started_ms: now_ms,
            turns,
            parts: vec![shared, own],
        }
    }

    /// Starts the next turn: extends the prompt and returns the length of the answer in tokens.
    pub fn start_turn(&mut self) -> u32 {
        let (new_tokens, answer_tokens) = self.turns.pop().unwrap_or((1, 1));
        self.parts[1].tokens += new_tokens;
        answer_tokens
    }

    /// Appends the answer to the conversation at the end of a turn.
    pub fn append_answer(&mut self, answer_tokens: u32) {
        self.parts[1].tokens += u64::from(answer_tokens);
    }

    /// Length of the whole prompt in tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|p| p.tokens).sum()
    }
}
