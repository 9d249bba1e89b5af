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
    /// Number of different shared prefixes. Each program begins with one of them.
    #[serde(default = "default_prefixes")]
    pub prefixes: u32,
    /// Fraction of the programs that begin with the first prefix; the others are drawn evenly.
    /// 0 if all are.
    #[serde(default)]
    pub first_prefix_fraction: f64,
    /// Programs of a second kind, if there are any.
    #[serde(default)]
    pub second_kind: Option<Kind>,
    /// Whether each turn of a program goes to another entry, which does not know where the
    /// previous one ran.
    #[serde(default)]
    pub changes_entries: bool,
    /// Whether entries report to each other how many requests ended at each engine, from which
    /// they estimate their share of its cache.
    #[serde(default)]
    pub reports_ended: bool,
}

/// A second kind of program, which has prompt prefixes of its own and as many.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Fraction of the programs that are of this kind.
    pub fraction: f64,
    /// Mean number of turns of a program.
    pub turns: u32,
    /// Mean number of prompt tokens that a turn adds.
    pub new_tokens: u64,
}

/// Number of prefixes in the setups that do not specify it.
fn default_prefixes() -> u32 {
    6
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            turns: 5,
            shared_tokens: 512,
            new_tokens: 500,
            answer_tokens: 72,
            pause_ms: 150.0,
            prefixes: default_prefixes(),
            first_prefix_fraction: 0.0,
            second_kind: None,
            changes_entries: false,
            reports_ended: false,
        }
    }
}

impl Workload {
    /// Draws the kind of a program. Returns the parameters of its kind, and the number of the
    /// first of its prefixes.
    fn draw_kind(mut self, rng: &mut StdRng) -> (Self, u32) {
        let second = self.second_kind;
        let Some(kind) = second.filter(|kind| rng.random_bool(kind.fraction)) else {
            return (self, 0);
        };
        self.turns = kind.turns;
        self.new_tokens = kind.new_tokens;
        (self, self.prefixes)
    }

    /// Draws the number of a program's prefix among those of its kind.
    fn draw_prefix(&self, rng: &mut StdRng) -> u32 {
        let is_first = self.first_prefix_fraction > 0.0;
        if is_first && rng.random_bool(self.first_prefix_fraction) {
            return 0;
        }
        rng.next_u32() % self.prefixes.max(1)
    }
}

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
        let (workload, first_prefix) = workload.draw_kind(rng);
        let turn_count = rng.random_range(1..2 * workload.turns.max(1));
        let turn = |rng: &mut StdRng| {
            let new_tokens = random_around(workload.new_tokens as f64, rng) as u64;
            let answer = random_around(f64::from(workload.answer_tokens), rng) as u32;
            (new_tokens, answer.max(1))
        };
        let turns = (0..turn_count).map(|_| turn(rng)).collect();
        let prefix = first_prefix + workload.draw_prefix(rng);
        let shared = Part {
            id: id(&format!("kind{prefix}")),
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
