//! Runs engines, entries and programs over virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_gateway::fleet::{Choice, Fleet, Query, Server};
use gradedyke_policy::estimate::Timing;
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::placement;
use gradedyke_turns::load::{Aggregator, ServerLoad};
use gradedyke_turns::record::Id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use tokio::time::Instant;

use crate::engine::{Engine, Request, Spec};
use crate::program::{Program, Workload};
use crate::uneven::Uneven;

/// The parameters of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// Name of the setup in results.
    pub name: String,
    /// Number of engines.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Performance characteristics of each engine.
    pub figures: Spec,
    /// Parameters of the programs.
    pub programs: Workload,
    /// Load outside the burst, as a fraction of the engines' maximum throughput.
    pub load: f64,
    /// Load during the burst, as a fraction of the engines' maximum throughput.
    pub burst: f64,
    /// Differences between engines and between entries.
    #[serde(default)]
    pub uneven: Uneven,
}

/// Returns the setups in `testdata/placement/sweep.json`.
///
/// ```
/// assert!(gradedyke_model::simulation::setups().len() >= 5);
/// ```
pub fn setups() -> Vec<Setup> {
    let json = include_str!("../../../testdata/placement/sweep.json");
    serde_json::from_str(json).unwrap_or_else(|error| panic!("sweep.json: {error}"))
}

/// The placement policy of a run.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Registered name of the policy.
    pub name: String,
    /// Disabled mechanisms.
    pub disabled: Vec<Mechanism>,
}

/// Length of a run in milliseconds.
const RUN_LENGTH_MS: f64 = 16_000.0;
/// Start and end of the burst, in milliseconds since the start of the run.
const BURST_PERIOD_MS: (f64, f64) = (4_000.0, 8_000.0);
/// Round-trip time to the keepers at the start of a turn, in milliseconds. The reply contains
/// the load of the other entries.
const KEEPER_ROUND_TRIP_MS: f64 = 6.0;
/// Network latency from an entry to an engine, in milliseconds.
const ENGINE_LATENCY_MS: f64 = 1.0;
/// Tokens in one event of an answer's stream.
const TOKENS_PER_EVENT: u32 = 8;
/// Time between two counts of the requests in flight at the engines, in milliseconds.
const COUNT_INTERVAL_MS: f64 = 20.0;

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Durations of the turns in milliseconds, by the second of the run in which they started.
    pub turn_durations_ms: Vec<Vec<f64>>,
    /// Number of answers that were completed in each second.
    pub completed_answers: Vec<u32>,
    /// Number of turns other than the first one of a program.
    pub later_turns: u32,
    /// Number of later turns that ran on another engine than the previous turn.
    pub moved_turns: u32,
    /// Number of prompt tokens of all requests at the engines that were not cached.
    pub prefill_tokens: u64,
    /// Number of prompt tokens that an engine had to prefill at least: the new ones of each turn.
    pub new_tokens: u64,
    /// Times to the first event of programs' first turns in milliseconds, by the second of the
    /// run in which they started.
    pub first_turn_event_ms: Vec<Vec<f64>>,
    /// Mean number of requests in flight at each engine, for each second.
    pub in_flight: Vec<Vec<f64>>,
}

impl Outcome {
    /// Returns the mean time in milliseconds to the first event of the programs that started in
    /// the given seconds, or 0 if there are none.
    pub fn mean_first_turn_event_ms(&self, seconds: std::ops::Range<usize>) -> f64 {
        mean(&self.first_turn_event_ms, seconds)
    }

    /// Returns the number of prompt tokens that were prefilled although they had been before.
    pub fn repeated_tokens(&self) -> u64 {
        self.prefill_tokens.saturating_sub(self.new_tokens)
    }

    /// Returns the mean duration in milliseconds of the turns that started in the given seconds,
    /// or 0 if there are none.
    pub fn mean_turn_ms(&self, seconds: std::ops::Range<usize>) -> f64 {
        mean(&self.turn_durations_ms, seconds)
    }

    /// Returns the mean number of requests in flight at each engine in the given seconds.
    pub fn mean_in_flight(&self, seconds: std::ops::Range<usize>) -> Vec<f64> {
        let rows = &self.in_flight[seconds];
        let mean = |engine: usize| {
            let sum: f64 = rows.iter().map(|row| row[engine]).sum();
            sum / rows.len() as f64
        };
        (0..rows[0].len()).map(mean).collect()
    }

    /// Returns the fraction of later turns that ran on another engine than the previous turn.
    pub fn moved_ratio(&self) -> f64 {
        f64::from(self.moved_turns) / f64::from(self.later_turns.max(1))
    }
}

/// Returns the mean of the values of the given seconds, or 0 if there are none.
fn mean(values: &[Vec<f64>], seconds: std::ops::Range<usize>) -> f64 {
    let values = values.get(seconds).into_iter().flatten().flatten();
    let (count, sum) = values.fold((0, 0.0), |(n, sum), value| (n + 1, sum + value));
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A program starts.
    ProgramStart,
    /// A program sends its next turn to its entry.
    TurnStart(usize),
    /// An entry gets the keepers' reply for a program's turn, with the load of other entries.
    KeeperReply(usize, Vec<ServerLoad>),
    /// A program's request arrives at the engine.
    Arrival(usize),
    /// A step of an engine ends.
    StepEnd(usize),
    /// The requests in flight at the engines are counted.
    Count,
}

/// A turn in progress.
struct ActiveTurn {
    choice: Choice,
    engine: usize,
    answer_tokens: u32,
    started_ms: f64,
    first_token_ms: f64,
    /// Whether it is the first turn of its program.
    is_first: bool,
}

struct Entry {
    fleet: Arc<Fleet>,
    number: u64,
}

struct Simulation {
    setup: Setup,
    start: Instant,
    now_ms: f64,
    /// Times of the scheduled events in microseconds since the start of the run, with their
    /// numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled events by number.
    events: HashMap<u64, Event>,
    event_count: u64,
    rng: StdRng,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    aggregator: Aggregator,
    programs: Vec<Program>,
    /// The current turn of each program.
    turns: Vec<Option<ActiveTurn>>,
    /// The engine of each program's last turn.
    last_engines: Vec<Option<usize>>,
    /// When each program's last turn started, in milliseconds since the start of the run.
    turn_started_ms: Vec<f64>,
    outcome: Outcome,
}

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn engine_id(engine: usize) -> Id {
    Id::parse(&format!("engine-{engine}")).unwrap_or_else(|| unreachable!("it is a valid ID"))
}

/// Creates an entry that knows all engines.
fn new_entry(setup: &Setup, policy: &Policy, number: u64, start: Instant) -> Entry {
    let enabled = Mechanisms::all_except(&policy.disabled);
    let placement = placement::policies(enabled).remove(policy.name.as_str());
    let placement = placement.unwrap_or_else(|| panic!("unknown policy: {}", policy.name));
    let fleet = Fleet::new("here", None, placement, enabled);
    for engine in 0..setup.engines {
        let server = Server {
            id: engine_id(engine),
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

/// Simulates a setup with a policy.
///
/// ```
/// use gradedyke_model::engine::Spec;
/// use gradedyke_model::program::Workload;
/// use gradedyke_model::simulation::{Policy, Setup, run};
///
/// let setup = Setup {
///     name: "small".to_owned(),
///     engines: 2,
///     entries: 2,
///     figures: Spec {
///         slots: 8, memory_tokens: 50_000, step_ms: 4.0, read_per_ms: 50.0, chunk_tokens: 512,
///     },
///     programs: Workload {
///         turns: 3, shared_tokens: 500, new_tokens: 300, answer_tokens: 60, pause_ms: 100.0,
///         ..Workload::default()
///     },
///     load: 0.2,
///     burst: 0.4,
///     uneven: Default::default(),
/// };
/// let policy = Policy { name: "cost".to_owned(), disabled: Vec::new() };
/// let outcome = run(&setup, &policy, 1);
/// assert!(outcome.mean_turn_ms(0..4) > 240.0);
/// ```
///
/// # Panics
///
/// If no policy is registered under the name.
pub fn run(setup: &Setup, policy: &Policy, seed: u64) -> Outcome {
    let start = Instant::now();
    let entries = (0..setup.entries as u64).map(|n| new_entry(setup, policy, n, start));
    let seconds = (RUN_LENGTH_MS / 1e3) as usize;
    let mut simulation = Simulation {
        setup: setup.clone(),
        start,
        now_ms: 0.0,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        event_count: 0,
        rng: StdRng::seed_from_u64(seed),
        engines: vec![Engine::new(setup.figures); setup.engines],
        entries: entries.collect(),
        aggregator: Aggregator::default(),
        programs: Vec::new(),
        turns: Vec::new(),
        last_engines: Vec::new(),
        turn_started_ms: Vec::new(),
        outcome: Outcome {
            turn_durations_ms: vec![Vec::new(); seconds],
            first_turn_event_ms: vec![Vec::new(); seconds],
            completed_answers: vec![0; seconds],
            in_flight: vec![vec![0.0; setup.engines]; seconds],
            ..Outcome::default()
        },
    };
    simulation.schedule(0.0, Event::ProgramStart);
    simulation.schedule(0.0, Event::Count);
    while let Some(event) = simulation.next_event() {
        simulation.handle(event);
    }
    simulation.outcome.prefill_tokens = simulation.engines.iter().map(|e| e.prefill_tokens).sum();
    simulation.outcome
}

impl Simulation {
    /// Returns the current virtual time.
    fn now(&self) -> Instant {
        self.start + duration(self.now_ms)
    }

    /// Schedules an event after a delay in milliseconds.
    fn schedule(&mut self, delay_ms: f64, event: Event) {
        let time_us = ((self.now_ms + delay_ms) * 1e3) as u64;
        self.event_count += 1;
        self.queue.push(Reverse((time_us, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// Removes the next event and advances the time to it. Returns `None` at the end of the run.
    fn next_event(&mut self) -> Option<Event> {
        let Reverse((time_us, number)) = self.queue.pop()?;
        self.now_ms = time_us as f64 / 1e3;
        (self.now_ms < RUN_LENGTH_MS).then_some(())?;
        self.events.remove(&number)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ProgramStart => self.start_program(),
            Event::TurnStart(program) => self.start_turn(program),
            Event::KeeperReply(program, load) => self.send_request(program, &load),
            Event::Arrival(program) => self.receive_request(program),
            Event::StepEnd(engine) => self.run_step(engine),
            Event::Count => self.count_in_flight(),
        }
    }

    /// Returns the current rate at which programs start, in programs per millisecond.
    fn program_rate_per_ms(&self) -> f64 {
        let (workload, spec) = (&self.setup.programs, &self.setup.figures);
        // Prompts are prefilled one after the other; answers are generated in a batch.
        let prefill_ms = workload.new_tokens as f64 / spec.read_per_ms;
        let answer_ms = f64::from(workload.answer_tokens) * spec.step_ms;
        let turn_ms = prefill_ms + answer_ms / f64::from(spec.slots);
        let in_burst = (BURST_PERIOD_MS.0..BURST_PERIOD_MS.1).contains(&self.now_ms);
        let load = if in_burst {
            self.setup.burst
        } else {
            self.setup.load
        };
        load * self.engine_capacity() / turn_ms / f64::from(workload.turns)
    }

    /// Returns the throughput of all engines at the start of the run, as a multiple of that of an
    /// engine with the specified speed.
    fn engine_capacity(&self) -> f64 {
        let (count, uneven) = (self.setup.engines, &self.setup.uneven);
        let speeds = (0..count).map(|engine| 1.0 / uneven.step_factor(engine, count, 0.0));
        speeds.sum()
    }

    /// Adds the requests in flight at each engine to the mean of the current second.
    fn count_in_flight(&mut self) {
        let second = (self.now_ms / 1e3) as usize;
        for (mean, engine) in self.outcome.in_flight[second].iter_mut().zip(&self.engines) {
            *mean += engine.in_flight() as f64 * COUNT_INTERVAL_MS / 1e3;
        }
        self.schedule(COUNT_INTERVAL_MS, Event::Count);
    }

    /// Draws the entry of a new program.
    fn draw_entry(&mut self) -> usize {
        let count = self.entries.len();
        if self.setup.uneven.moving_load == 0.0 {
            return self.rng.random_range(0..count);
        }
        let first_half_share = self.setup.uneven.first_half_share(self.now_ms);
        if self.rng.random_range(0.0..1.0) < first_half_share {
            self.rng.random_range(0..count / 2)
        } else {
            self.rng.random_range(count / 2..count)
        }
    }

    /// Starts a program with its first turn, and schedules the start of the next program.
    fn start_program(&mut self) {
        let entry = self.draw_entry();
        let number = self.programs.len();
        let workload = self.setup.programs;
        let program = Program::generate(&workload, number, entry, self.now_ms, &mut self.rng);
        self.programs.push(program);
        self.turns.push(None);
        self.last_engines.push(None);
        self.turn_started_ms.push(0.0);
        self.start_turn(number);
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let delay_ms = -uniform.ln() / self.program_rate_per_ms();
        self.schedule(delay_ms, Event::ProgramStart);
    }

    /// Sends the load of the program's entry to the keepers, and schedules their reply.
    fn start_turn(&mut self, program: usize) {
        self.turn_started_ms[program] = self.now_ms;
        let now = self.now();
        if self.setup.programs.changes_entries {
            self.programs[program].entry = self.rng.random_range(0..self.entries.len());
        }
        let entry = &self.entries[self.programs[program].entry];
        let mut report = entry.fleet.load_report(now);
        report.entry = entry.number;
        self.aggregator.record_report(report, now);
        let load = self.aggregator.total_excluding(entry.number, now);
        self.schedule(KEEPER_ROUND_TRIP_MS, Event::KeeperReply(program, load));
    }

    /// Chooses an engine for a program's turn and sends the request to it.
    fn send_request(&mut self, program: usize, load: &[ServerLoad]) {
        let now = self.now();
        let former_tokens = self.programs[program].prompt_tokens();
        let answer_tokens = self.programs[program].start_turn();
        self.outcome.new_tokens += self.programs[program].prompt_tokens() - former_tokens;
        let state = &self.programs[program];
        let fleet = self.entries[state.entry].fleet.clone();
        fleet.set_peer_load(load, now);
        let request = Id::parse(&format!("{program}-{}", state.turns.len()));
        let request = request.unwrap_or_else(|| unreachable!("it is a valid ID"));
        let changes_entries = self.setup.programs.changes_entries;
        let choice = fleet.choose(&Query {
            service: "engines",
            request_id: &request,
            excluded: &[],
            cached_on: None,
            prompt_tokens: state.prompt_tokens(),
            cached_tokens: 0,
            parts: &state.parts,
            session: state
                .parts
                .last()
                .map(|p| &p.id)
                .filter(|_| changes_entries),
            is_engine: true,
            cache_capacity_tokens: self.setup.figures.memory_tokens,
            is_repeatable: false,
            max_warm_up_rate_per_s: None,
            allowed_regions: None,
            now,
        });
        let choice = choice.unwrap_or_else(|| unreachable!("all engines are listed"));
        let engine = choice.id.as_str().trim_start_matches("engine-").parse();
        let engine: usize = engine.unwrap_or_else(|_| unreachable!("engine IDs end with a number"));
        let last_engine = self.last_engines[program].replace(engine);
        if let Some(last) = last_engine {
            self.outcome.later_turns += 1;
            self.outcome.moved_turns += u32::from(last != engine);
        }
        self.turns[program] = Some(ActiveTurn {
            choice,
            engine,
            answer_tokens,
            started_ms: self.turn_started_ms[program],
            first_token_ms: 0.0,
            is_first: last_engine.is_none(),
        });
        self.schedule(ENGINE_LATENCY_MS, Event::Arrival(program));
    }

    /// Queues a program's request at the engine, which starts a step if it is idle.
    fn receive_request(&mut self, program: usize) {
        let Some(turn) = &self.turns[program] else {
            return;
        };
        let engine = turn.engine;
        self.engines[engine].enqueue(Request {
            program,
            parts: self.programs[program].parts.clone(),
            answer_tokens: turn.answer_tokens,
        });
        if !self.engines[engine].is_stepping {
            self.run_step(engine);
        }
    }

    /// Runs a step of an engine, if it has requests, and schedules the step's end.
    fn run_step(&mut self, engine: usize) {
        let (count, now_ms) = (self.setup.engines, self.now_ms);
        let step_factor = self.setup.uneven.step_factor(engine, count, now_ms);
        self.engines[engine].step_factor = step_factor;
        let step = self.engines[engine].step();
        self.engines[engine].is_stepping = step.is_some();
        let Some(step) = step else {
            return;
        };
        let end_ms = self.now_ms + step.duration_ms;
        for program in step.started {
            if let Some(turn) = &mut self.turns[program] {
                turn.first_token_ms = end_ms;
            }
        }
        for program in step.finished {
            self.end_turn(program, end_ms);
        }
        self.schedule(step.duration_ms, Event::StepEnd(engine));
    }

    /// Reports a completed answer to the program's entry, and schedules the program's next turn.
    fn end_turn(&mut self, program: usize, end_ms: f64) {
        let Some(turn) = self.turns[program].take() else {
            return;
        };
        let (choice, candidate) = (&turn.choice, &turn.choice.candidate);
        let chosen_ms = (choice.chosen_at - self.start).as_secs_f64() * 1e3;
        let timing = Timing {
            concurrent: candidate.in_flight,
            slots: candidate.slots,
            uncached_tokens: candidate.uncached_tokens,
            first_event_ms: turn.first_token_ms - chosen_ms,
            remaining_ms: end_ms - turn.first_token_ms,
            events: turn.answer_tokens / TOKENS_PER_EVENT,
            pace_ratio: candidate.pace.map_or(1.0, |pace| pace.ratio),
        };
        let state = &mut self.programs[program];
        let fleet = self.entries[state.entry].fleet.clone();
        let gap = timing.remaining_ms / f64::from(timing.events.max(1));
        let gap = Duration::from_secs_f64(gap.max(0.0) / 1e3);
        fleet.record_event_gap(
            choice.key,
            candidate.in_flight,
            gap,
            self.start + duration(end_ms),
        );
        if self.setup.programs.reports_ended {
            fleet.record_success(choice.key, None, self.start + duration(end_ms));
        }
        fleet.record_stream(
            choice.key,
            &state.parts,
            u64::from(turn.answer_tokens),
            &timing,
        );
        state.append_answer(turn.answer_tokens);
        let second = |ms: f64| (ms / 1e3) as usize;
        if let Some(count) = self.outcome.completed_answers.get_mut(second(end_ms)) {
            *count += 1;
        }
        if turn.is_first {
            let first_event_ms = turn.first_token_ms - turn.started_ms;
            self.outcome.first_turn_event_ms[second(turn.started_ms)].push(first_event_ms);
        }
        self.outcome.turn_durations_ms[second(turn.started_ms)].push(end_ms - turn.started_ms);
        if self.programs[program].turns.is_empty() {
            return;
        }
        let delay_ms = self.setup.programs.pause_ms * self.rng.random_range(0.5..1.5);
        let delay_ms = delay_ms + end_ms - self.now_ms;
        self.schedule(delay_ms, Event::TurnStart(program));
    }
}
