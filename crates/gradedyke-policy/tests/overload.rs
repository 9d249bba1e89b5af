//! Simulates overloaded keepers in virtual time, with the entries' throttle and the keepers'
//! admission rule as in production and a queue in place of the keepers.
//!
//! There are two loads: a short burst far above the capacity, and an overload that lasts. A
//! program counts as completed only if all its turns were admitted.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use gradedyke_policy::throttle::Throttle;
use gradedyke_turns::backlog;
use gradedyke_turns::pressure::Meter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Exchanges per second that the keepers can handle.
const MAX_EXCHANGES_PER_S: f64 = 400.0;
/// Time after which an entry abandons an exchange, in milliseconds.
const EXCHANGE_TIMEOUT_MS: f64 = 300.0;
/// Time that a turn takes at the backend servers, in milliseconds.
const TURN_MS: f64 = 300.0;
/// Work of the keepers to refuse a turn, as a share of an exchange.
const REFUSAL_COST_RATIO: f64 = 0.1;
/// Number of entries in a small and in a large deployment.
const ENTRY_COUNTS: [usize; 2] = [50, 260];
/// Number of turns of a short and of a long program.
const PROGRAM_TURNS: [u32; 2] = [4, 11];
/// Number of long programs in every ten.
const LONG_PROGRAMS_PER_TEN: u32 = 2;
/// Exchanges with the keepers per turn: one to begin it and one to store it.
const EXCHANGES_PER_TURN: f64 = 2.0;
/// Attempts of a caller per turn, with all retries.
const MAX_ATTEMPTS: u32 = 6;
/// Load outside the burst, relative to the capacity of the keepers.
const NORMAL_LOAD_RATIO: f64 = 0.75;
/// Load during the burst, relative to the capacity.
const BURST_LOAD_RATIO: f64 = 3.0;
/// Load of the lasting overload, relative to the capacity.
const SUSTAINED_LOAD_RATIO: f64 = 1.6;
/// Time during which programs arrive, in milliseconds.
const ARRIVAL_DURATION_MS: f64 = 40_000.0;
/// Start and end of the burst, in milliseconds.
const BURST_INTERVAL_MS: std::ops::Range<f64> = 8_000.0..14_000.0;
/// Time from which on programs must no longer be affected by the burst, in milliseconds.
const RECOVERY_DEADLINE_MS: f64 = 24_000.0;

#[derive(Clone, Copy, Debug)]
struct Program {
    entry: usize,
    turns: u32,
    /// Turns that were stored.
    completed_turns: u32,
    /// Failed attempts of the current turn.
    attempts: u32,
    began_ms: f64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    StartProgram,
    /// Starts the next turn of the program with this index.
    StartTurn(usize),
    /// The response to the turn of the program with this index is complete.
    CompleteTurn(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct ProgramCounts {
    started: u32,
    completed: u32,
}

impl ProgramCounts {
    fn completion_ratio(self) -> f64 {
        f64::from(self.completed) / f64::from(self.started.max(1))
    }
}

/// Program counts by length (short, long), and of programs that began after the recovery
/// deadline.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    by_length: [ProgramCounts; 2],
    after_recovery: ProgramCounts,
}

impl Outcome {
    fn overall_completion_ratio(&self) -> f64 {
        let [short, long] = self.by_length;
        ProgramCounts {
            started: short.started + long.started,
            completed: short.completed + long.completed,
        }
        .completion_ratio()
    }
}

/// Whether keepers whose queue takes `queue_ms` refuse the turn; `first` for the first turn of
/// a program.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn is_full(first: bool, queue_ms: f64) -> bool {
    let active = (queue_ms / 1e3 * MAX_EXCHANGES_PER_S) as usize;
    let age = Duration::from_secs_f64(queue_ms / 1e3);
    backlog::is_full(active, age, first)
}

struct Simulation {
    rng: StdRng,
    start: Instant,
    /// Time in microseconds and index in `scheduled` of each pending event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: Vec<Event>,
    programs: Vec<Program>,
    throttles: Vec<Throttle>,
    /// Time at which the keepers have finished all work in their queue.
    busy_until_ms: f64,
    meter: Meter,
    /// Whether overload protection is on: keepers refuse turns while their queue is too long,
    /// and entries let fewer programs begin.
    protected: bool,
    load: fn(f64) -> f64,
    outcome: Outcome,
}

impl Simulation {
    fn new(load: fn(f64) -> f64, entries: usize, protected: bool, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            queue: BinaryHeap::new(),
            scheduled: Vec::new(),
            programs: Vec::new(),
            throttles: (0..entries).map(|_| Throttle::default()).collect(),
            busy_until_ms: 0.0,
            meter: Meter::default(),
            protected,
            load,
            outcome: Outcome::default(),
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn schedule(&mut self, ms: f64, event: Event) {
        self.scheduled.push(event);
        let index = self.scheduled.len() as u64 - 1;
        self.queue.push(Reverse(((ms * 1e3) as u64, index)));
    }

    #[allow(clippy::cast_precision_loss)]
    fn run(mut self) -> Outcome {
        self.schedule(0.0, Event::StartProgram);
        while let Some(Reverse((us, index))) = self.queue.pop() {
            let ms = us as f64 / 1e3;
            match self.scheduled[usize::try_from(index).unwrap()] {
                Event::StartProgram => self.start_program(ms),
                Event::StartTurn(program) => self.start_turn(program, ms),
                Event::CompleteTurn(program) => self.complete_turn(program, ms),
            }
        }
        self.outcome
    }

    fn start_program(&mut self, ms: f64) {
        if ms >= ARRIVAL_DURATION_MS {
            return;
        }
        let load = (self.load)(ms);
        let mean_turns = (f64::from(PROGRAM_TURNS[0] * (10 - LONG_PROGRAMS_PER_TEN))
            + f64::from(PROGRAM_TURNS[1] * LONG_PROGRAMS_PER_TEN))
            / 10.0;
        let programs_per_ms = load * MAX_EXCHANGES_PER_S / (mean_turns * EXCHANGES_PER_TURN) / 1e3;
        let interval_ms = -self.rng.random_range(f64::EPSILON..1.0).ln() / programs_per_ms;
        self.schedule(ms + interval_ms, Event::StartProgram);
        let kind = usize::from(self.rng.random_range(0..10) < LONG_PROGRAMS_PER_TEN);
        let entry = self.rng.random_range(0..self.throttles.len());
        self.outcome.by_length[kind].started += 1;
        if ms >= RECOVERY_DEADLINE_MS {
            self.outcome.after_recovery.started += 1;
        }
        self.programs.push(Program {
            entry,
            turns: PROGRAM_TURNS[kind],
            completed_turns: 0,
            attempts: 0,
            began_ms: ms,
        });
        self.start_turn(self.programs.len() - 1, ms);
    }

    fn instant(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1e3)
    }

    /// Adds work that costs this share of an exchange to the keepers' queue. Returns the time
    /// until it is done, in milliseconds.
    fn add_work(&mut self, cost: f64, ms: f64) -> f64 {
        self.busy_until_ms = self.busy_until_ms.max(ms) + cost * 1e3 / MAX_EXCHANGES_PER_S;
        self.busy_until_ms - ms
    }

    /// Sends the keepers a request to begin a turn. Returns the time until it has begun or, as
    /// the error, until it is refused or abandoned, in milliseconds.
    fn begin_turn(&mut self, first: bool, ms: f64) -> Result<f64, f64> {
        let queue_ms = (self.busy_until_ms - ms).max(0.0);
        let now = self.instant(ms);
        let refused = self.protected && is_full(first, queue_ms);
        self.meter.record_attempt(refused, now);
        if refused {
            return Err(queue_ms + self.add_work(REFUSAL_COST_RATIO, ms));
        }
        let took_ms = self.add_work(1.0, ms);
        // The keepers still do the work, but nobody waits for the result.
        if took_ms > EXCHANGE_TIMEOUT_MS {
            return Err(EXCHANGE_TIMEOUT_MS);
        }
        Ok(took_ms)
    }

    fn start_turn(&mut self, index: usize, ms: f64) {
        let program = self.programs[index];
        let now = self.instant(ms);
        let fraction = self.rng.random_range(0.0..1.0);
        let first = program.completed_turns == 0;
        let throttle = &self.throttles[program.entry];
        if self.protected && first && !throttle.admits(fraction, now) {
            return self.retry_turn(index, ms);
        }
        let result = self.begin_turn(first, ms);
        let pressure = self.meter.pressure(now);
        let throttle = &self.throttles[program.entry];
        let (Ok(took_ms) | Err(took_ms)) = result;
        let later = self.instant(ms + took_ms);
        throttle.record_pressure(pressure, later);
        match result {
            Ok(_) => {
                throttle.record_admitted(Duration::from_secs_f64(took_ms / 1e3), later);
                self.schedule(ms + took_ms + TURN_MS, Event::CompleteTurn(index));
            }
            Err(_) => {
                throttle.record_refused(later);
                self.retry_turn(index, ms + took_ms);
            }
        }
    }

    /// Stores the turn by another exchange, which has no timeout here, and starts the next one.
    fn complete_turn(&mut self, index: usize, ms: f64) {
        let stored_ms = ms + self.add_work(1.0, ms);
        let program = &mut self.programs[index];
        program.completed_turns += 1;
        program.attempts = 0;
        if program.completed_turns < program.turns {
            return self.schedule(stored_ms, Event::StartTurn(index));
        }
        let program = *program;
        let kind = usize::from(program.turns == PROGRAM_TURNS[1]);
        self.outcome.by_length[kind].completed += 1;
        if program.began_ms >= RECOVERY_DEADLINE_MS {
            self.outcome.after_recovery.completed += 1;
        }
    }

    /// Schedules the next attempt of a refused turn, unless none is left.
    fn retry_turn(&mut self, index: usize, ms: f64) {
        let now = self.instant(ms);
        let program = &mut self.programs[index];
        program.attempts += 1;
        if program.attempts >= MAX_ATTEMPTS {
            return;
        }
        let wait = if self.protected {
            self.throttles[program.entry].retry_after(now)
        } else {
            Duration::from_millis(250)
        };
        let jitter = self.rng.random_range(0.75..1.25);
        let wait_ms = wait.as_secs_f64() * 1e3 * jitter;
        self.schedule(ms + wait_ms, Event::StartTurn(index));
    }
}

const SEEDS: std::ops::Range<u64> = 1..6;

/// Load at time `ms` with a burst, relative to the capacity.
fn burst_load(ms: f64) -> f64 {
    if BURST_INTERVAL_MS.contains(&ms) {
        BURST_LOAD_RATIO
    } else {
        NORMAL_LOAD_RATIO
    }
}

/// Constant load above the capacity.
fn sustained_load(_: f64) -> f64 {
    SUSTAINED_LOAD_RATIO
}

/// Simulates a load with and without overload protection, for each deployment size and seed.
/// Returns a description, the outcome with and the outcome without protection.
fn simulate_all(load: fn(f64) -> f64) -> impl Iterator<Item = (String, Outcome, Outcome)> {
    let sizes = ENTRY_COUNTS.into_iter();
    let runs = sizes.flat_map(|entries| SEEDS.map(move |seed| (entries, seed)));
    runs.map(move |(entries, seed)| {
        let simulate = |protected| Simulation::new(load, entries, protected, seed).run();
        let (with, without) = (simulate(true), simulate(false));
        let description = format!("{entries} entries, seed {seed}: {with:?}, without {without:?}");
        println!("{description}");
        (description, with, without)
    })
}

#[test]
fn programs_complete_again_after_a_burst() {
    for (description, with, _) in simulate_all(burst_load) {
        assert!(
            with.after_recovery.completion_ratio() >= 0.99,
            "{description}"
        );
    }
}

#[test]
fn long_programs_complete_nearly_as_often_as_all() {
    for (description, with, _) in simulate_all(burst_load).chain(simulate_all(sustained_load)) {
        let [_, long] = with.by_length;
        assert!(
            long.completion_ratio() >= 0.8 * with.overall_completion_ratio(),
            "{description}"
        );
    }
}

/// Without protection the keepers work on requests that nobody waits for any more.
#[test]
fn overload_protection_completes_more_programs() {
    for (description, with, without) in simulate_all(burst_load).chain(simulate_all(sustained_load))
    {
        assert!(
            with.overall_completion_ratio() > without.overall_completion_ratio() + 0.1,
            "{description}"
        );
    }
}

#[test]
fn sustained_overload_leaves_most_of_the_capacity_usable() {
    for (description, with, _) in simulate_all(sustained_load) {
        assert!(
            with.overall_completion_ratio() >= 0.8 / SUSTAINED_LOAD_RATIO,
            "{description}"
        );
    }
}
