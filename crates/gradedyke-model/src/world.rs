//! Engines, entries and programs over time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_gateway::estimate::Timing;
use gradedyke_gateway::fleet::{Choice, Fleet, Query, Server};
use gradedyke_gateway::mechanism::{Mechanism, Mechanisms};
use gradedyke_gateway::placement;
use gradedyke_turns::load::{Aggregator, ServerLoad};
use gradedyke_turns::record::Id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use tokio::time::Instant;

use crate::engine::{Engine, Figures, Request};
use crate::program::{Program, Shape};

/// What is run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Its name in results.
    pub name: String,
    /// How many engines there are.
    pub engines: usize,
    /// How many entries there are.
    pub entries: usize,
    /// What an engine can do.
    pub figures: Figures,
    /// What programs ask for.
    pub programs: Shape,
    /// Load outside the burst, as a share of what the engines can do at best.
    pub load: f64,
    /// Load in the burst.
    pub burst: f64,
}

/// The setups of the table in `testdata/placement`.
///
/// ```
/// assert!(gradedyke_model::world::setups().len() >= 5);
/// ```
pub fn setups() -> Vec<Setup> {
    let table = include_str!("../../../testdata/placement/sweep.json");
    serde_json::from_str(table).unwrap_or_else(|error| panic!("sweep.json: {error}"))
}

/// The policy that is tried.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its registered name.
    pub name: String,
    /// The mechanisms that are off.
    pub off: Vec<Mechanism>,
}

/// Length of a run in milliseconds, and when its burst begins and ends.
const LENGTH_MS: f64 = 16_000.0;
const BURST_MS: (f64, f64) = (4_000.0, 8_000.0);
/// Time of the exchange with the keepers that begins a turn, and brings the load of
/// the other entries: what it takes on the users' platform.
const EXCHANGE_MS: f64 = 6.0;
/// The way from an entry to an engine.
const WAY_MS: f64 = 1.0;
/// Tokens in one event of an answer.
const EVENT_TOKENS: u32 = 8;

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times of the turns that began in each second, in milliseconds.
    pub turns_ms: Vec<Vec<f64>>,
    /// Answers that ended in each second.
    pub ended: Vec<u32>,
    /// Turns after the first of a program.
    pub later: u32,
    /// Those of them that left their program's engine.
    pub moved: u32,
    /// Tokens of prompts that engines read.
    pub read_tokens: u64,
}

impl Outcome {
    /// Mean time of the turns that began in these seconds, in milliseconds.
    pub fn mean_ms(&self, seconds: std::ops::Range<usize>) -> f64 {
        let turns = self.turns_ms.get(seconds).into_iter().flatten().flatten();
        let (count, sum) = turns.fold((0, 0.0), |(n, sum), ms| (n + 1, sum + ms));
        if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Share of later turns that left their program's engine.
    pub fn moved_share(&self) -> f64 {
        f64::from(self.moved) / f64::from(self.later.max(1))
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A program begins.
    Begin,
    /// A program's next turn comes to its entry.
    Turn(usize),
    /// The exchange is over.
    Place(usize, Vec<ServerLoad>),
    /// The request is at the engine.
    Arrive(usize),
    /// A step of an engine ends.
    Step(usize),
}

/// A turn under way.
struct Turn {
    choice: Choice,
    engine: usize,
    answer: u32,
    asked_ms: f64,
    first_ms: f64,
}

struct Entry {
    fleet: Arc<Fleet>,
    number: u64,
}

struct World {
    setup: Setup,
    start: Instant,
    now_ms: f64,
    /// What happens next: microseconds of the run, and an event's number.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events by the number with which they wait.
    waiting: HashMap<u64, Event>,
    count: u64,
    random: StdRng,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    aggregator: Aggregator,
    programs: Vec<Program>,
    turns: Vec<Option<Turn>>,
    /// The engine of each program's last turn.
    last: Vec<Option<usize>>,
    asked: Vec<f64>,
    outcome: Outcome,
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn name(engine: usize) -> Id {
    Id::parse(&format!("engine-{engine}")).unwrap_or_else(|| unreachable!("it is a name"))
}

fn entry(setup: &Setup, policy: &Policy, number: u64, start: Instant) -> Entry {
    let enabled = Mechanisms::all_except(&policy.off);
    let chosen = placement::policies(enabled).remove(policy.name.as_str());
    let chosen = chosen.unwrap_or_else(|| panic!("no policy {}", policy.name));
    let fleet = Fleet::new("here", None, chosen, enabled);
    for engine in 0..setup.engines {
        let server = Server {
            id: name(engine),
            service: "engines".to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            data_centre: "here".to_owned(),
            slots: setup.figures.slots,
            started_ms: None,
            is_draining: false,
            remaining_warm_up: Duration::ZERO,
        };
        fleet.upsert(server, start);
    }
    Entry { fleet, number }
}

/// Runs a setup under a policy.
///
/// ```
/// use gradedyke_model::engine::Figures;
/// use gradedyke_model::program::Shape;
/// use gradedyke_model::world::{Policy, Setup, run};
///
/// let setup = Setup {
///     name: "small".to_owned(),
///     engines: 2,
///     entries: 2,
///     figures: Figures {
///         slots: 8, memory_tokens: 50_000, step_ms: 4.0, read_per_ms: 50.0, chunk_tokens: 512,
///     },
///     programs: Shape {
///         turns: 3, shared_tokens: 500, new_tokens: 300, answer_tokens: 60, pause_ms: 100.0,
///     },
///     load: 0.2,
///     burst: 0.4,
/// };
/// let policy = Policy { name: "cost".to_owned(), off: Vec::new() };
/// let outcome = run(&setup, &policy, 1);
/// assert!(outcome.mean_ms(0..4) > 240.0);
/// ```
///
/// # Panics
///
/// Where no policy has the name.
pub fn run(setup: &Setup, policy: &Policy, seed: u64) -> Outcome {
    let start = Instant::now();
    let entries = (0..setup.entries as u64).map(|n| entry(setup, policy, n, start));
    let seconds = (LENGTH_MS / 1e3) as usize;
    let mut world = World {
        setup: setup.clone(),
        start,
        now_ms: 0.0,
        events: BinaryHeap::new(),
        waiting: HashMap::new(),
        count: 0,
        random: StdRng::seed_from_u64(seed),
        engines: vec![Engine::new(setup.figures); setup.engines],
        entries: entries.collect(),
        aggregator: Aggregator::default(),
        programs: Vec::new(),
        turns: Vec::new(),
        last: Vec::new(),
        asked: Vec::new(),
        outcome: Outcome {
            turns_ms: vec![Vec::new(); seconds],
            ended: vec![0; seconds],
            ..Outcome::default()
        },
    };
    world.after(0.0, Event::Begin);
    while let Some(event) = world.next() {
        world.handle(event);
    }
    world.outcome.read_tokens = world.engines.iter().map(|e| e.read_tokens).sum();
    world.outcome
}

impl World {
    fn now(&self) -> Instant {
        self.start + ms(self.now_ms)
    }

    fn after(&mut self, ms: f64, event: Event) {
        let at = ((self.now_ms + ms) * 1e3) as u64;
        self.count += 1;
        self.events.push(Reverse((at, self.count)));
        self.waiting.insert(self.count, event);
    }

    fn next(&mut self) -> Option<Event> {
        let Reverse((at, key)) = self.events.pop()?;
        self.now_ms = at as f64 / 1e3;
        (self.now_ms < LENGTH_MS).then_some(())?;
        self.waiting.remove(&key)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin => self.begin(),
            Event::Turn(program) => self.turn(program),
            Event::Place(program, load) => self.place(program, &load),
            Event::Arrive(program) => self.arrive(program),
            Event::Step(engine) => self.step(engine),
        }
    }

    /// Programs that begin in a millisecond now.
    fn rate(&self) -> f64 {
        let (shape, figures) = (&self.setup.programs, &self.setup.figures);
        // Reading is done one prompt at a time, answers side by side.
        let read = shape.new_tokens as f64 / figures.read_per_ms;
        let made = f64::from(shape.answer_tokens) * figures.step_ms;
        let turn_ms = read + made / f64::from(figures.slots);
        let burst = (BURST_MS.0..BURST_MS.1).contains(&self.now_ms);
        let load = if burst {
            self.setup.burst
        } else {
            self.setup.load
        };
        load * self.setup.engines as f64 / turn_ms / f64::from(shape.turns)
    }

    fn begin(&mut self) {
        let entry = self.random.random_range(0..self.entries.len());
        let number = self.programs.len();
        let shape = self.setup.programs;
        let program = Program::draw(&shape, number, entry, self.now_ms, &mut self.random);
        self.programs.push(program);
        self.turns.push(None);
        self.last.push(None);
        self.asked.push(0.0);
        self.turn(number);
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let pause = -uniform.ln() / self.rate();
        self.after(pause, Event::Begin);
    }

    fn turn(&mut self, program: usize) {
        self.asked[program] = self.now_ms;
        let now = self.now();
        let entry = &self.entries[self.programs[program].entry];
        let mut report = entry.fleet.load_report(now);
        report.entry = entry.number;
        self.aggregator.record_report(report, now);
        let load = self.aggregator.total_excluding(entry.number, now);
        self.after(EXCHANGE_MS, Event::Place(program, load));
    }

    fn place(&mut self, program: usize, load: &[ServerLoad]) {
        let now = self.now();
        let answer = self.programs[program].ask();
        let state = &self.programs[program];
        let fleet = self.entries[state.entry].fleet.clone();
        fleet.set_peer_load(load, now);
        let request = Id::parse(&format!("{program}-{}", state.turns.len()));
        let request = request.unwrap_or_else(|| unreachable!("it is a name"));
        let chosen = fleet.choose(&Query {
            service: "engines",
            request_id: &request,
            excluded: &[],
            cached_on: None,
            prompt_tokens: state.prompt_tokens(),
            cached_tokens: 0,
            parts: &state.parts,
            is_engine: true,
            cache_capacity_tokens: self.setup.figures.memory_tokens,
            is_repeatable: false,
            max_warm_up_rate_per_s: None,
            allowed_regions: None,
            now,
        });
        let choice = chosen.unwrap_or_else(|| unreachable!("all engines are listed"));
        let number = choice.id.as_str().trim_start_matches("engine-").parse();
        let engine: usize = number.unwrap_or_else(|_| unreachable!("it is a number"));
        if let Some(last) = self.last[program].replace(engine) {
            self.outcome.later += 1;
            self.outcome.moved += u32::from(last != engine);
        }
        self.turns[program] = Some(Turn {
            choice,
            engine,
            answer,
            asked_ms: self.asked[program],
            first_ms: 0.0,
        });
        self.after(WAY_MS, Event::Arrive(program));
    }

    fn arrive(&mut self, program: usize) {
        let Some(turn) = &self.turns[program] else {
            return;
        };
        let engine = turn.engine;
        self.engines[engine].send(Request {
            program,
            parts: self.programs[program].parts.clone(),
            answer: turn.answer,
        });
        if !self.engines[engine].stepping {
            self.step(engine);
        }
    }

    fn step(&mut self, engine: usize) {
        let step = self.engines[engine].step();
        self.engines[engine].stepping = step.is_some();
        let Some(step) = step else {
            return;
        };
        let end = self.now_ms + step.ms;
        for program in step.began {
            if let Some(turn) = &mut self.turns[program] {
                turn.first_ms = end;
            }
        }
        for program in step.ended {
            self.end(program, end);
        }
        self.after(step.ms, Event::Step(engine));
    }

    fn end(&mut self, program: usize, end_ms: f64) {
        let Some(turn) = self.turns[program].take() else {
            return;
        };
        let (choice, candidate) = (&turn.choice, &turn.choice.candidate);
        let since = (choice.chosen_at - self.start).as_secs_f64() * 1e3;
        let timing = Timing {
            concurrent: candidate.in_flight,
            slots: candidate.slots,
            uncached_tokens: candidate.uncached_tokens,
            first_event_ms: turn.first_ms - since,
            remaining_ms: end_ms - turn.first_ms,
            events: turn.answer / EVENT_TOKENS,
        };
        let state = &mut self.programs[program];
        let fleet = self.entries[state.entry].fleet.clone();
        let gap = timing.remaining_ms / f64::from(timing.events.max(1));
        let gap = Duration::from_secs_f64(gap.max(0.0) / 1e3);
        fleet.record_event_gap(
            choice.key,
            candidate.in_flight,
            gap,
            self.start + ms(end_ms),
        );
        fleet.record_stream(choice.key, &state.parts, u64::from(turn.answer), &timing);
        state.answered(turn.answer);
        let second = |ms: f64| (ms / 1e3) as usize;
        if let Some(ended) = self.outcome.ended.get_mut(second(end_ms)) {
            *ended += 1;
        }
        self.outcome.turns_ms[second(turn.asked_ms)].push(end_ms - turn.asked_ms);
        if self.programs[program].turns.is_empty() {
            return;
        }
        let pause = self.setup.programs.pause_ms * self.random.random_range(0.5..1.5);
        let pause = pause + end_ms - self.now_ms;
        self.after(pause, Event::Turn(program));
    }
}
