//! Estimates how many requests a program will make, from recently admitted requests.
//!
//! A program's first turn tells the time that the program is expected to take
//! ([`Demand::plan`]). The requests per second of that time are learned for each route. The
//! seconds of a program count as its time passes, like its requests, so that the rate isn't too
//! low while the first programs after a restart are still under way.
//!
//! Programs that began at this entry are followed by their ID while they are expected to run.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Counter;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use crate::plan::Plan;

/// Half-life of the counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(20);
/// Minimum decayed count of the route's programs, and of the turns of all routes, for an
/// estimate.
const MIN_OBSERVATIONS: f64 = 4.0;
/// Requests per second of a program's time before any were observed: in one deployment programs
/// of 10 and of 25 requests made 4.5 to 6.
const PRIOR_REQUESTS_PER_S: f64 = 5.5;
/// Turns among [`PRIOR_REQUESTS_PER_S`]: programs of 4 and of 11 turns there made 2 to 2.4.
const PRIOR_TURNS_PER_S: f64 = 2.2;
/// Observed seconds that the prior counts as: one or two programs of that deployment. With 8 s,
/// entries that see few programs expected 30 requests instead of 25 for many seconds.
const PRIOR_S: f64 = 3.0;
/// A program's actual duration as a share of the time that its caller allows. Callers allow a
/// multiple of the time on idle servers (1.3 to 1.4 in known deployments) plus an objective.
/// Taking a program for slower than it is spreads its requests too thinly over windows.
const DURATION_RATIO: f64 = 0.75;
/// Number of programs under way that are followed. The seconds of further ones count when they
/// begin.
const MAX_RUNNING: usize = 512;
/// How many times its expected time a program is followed, to learn what late ones need and to
/// recognise those that loop.
const FOLLOWED_RATIO: f64 = 4.0;
/// How many times the expected turns a program may have before it counts as far beyond its
/// plan: a program whose every turn is tried twice isn't.
const OVERRUN_FACTOR: f64 = 2.0;

/// A program under way that began at this entry.
#[derive(Debug)]
struct Running {
    route: String,
    since: Instant,
    /// Time that its caller allowed it, in seconds.
    expected_s: f64,
}

impl Running {
    /// Seconds of the program's time that have passed at `now`, in proportion to its requests,
    /// and decayed like these.
    fn elapsed_s(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        let active = elapsed.min(self.expected_s * DURATION_RATIO);
        let mean_age = elapsed - active / 2.0;
        let decay = 0.5_f64.powf(mean_age / COUNT_HALF_LIFE.as_secs_f64());
        active / DURATION_RATIO * decay
    }

    /// Whether the program is followed no longer.
    fn is_over(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        elapsed >= self.expected_s * FOLLOWED_RATIO
    }
}

#[derive(Debug, Default)]
struct RouteCounts {
    /// Programs that started.
    started: Counter,
    turns: Counter,
    /// Programs that started with a known time.
    timed: Counter,
    /// Time allowed to these programs, in seconds.
    timed_s: Counter,
    /// Turns of programs with a known time on this route since the first of them began here.
    timed_turns: Counter,
    /// Turns and tool calls of programs that are followed.
    followed_turns: Counter,
    followed_calls: Counter,
    /// Seconds of programs that are over.
    ended_s: Counter,
}

impl RouteCounts {
    /// Mean time of a program, in seconds; `None` if there are too few observations.
    fn mean_s(&self, now: Instant) -> Option<f64> {
        let timed = self.timed.value_at(COUNT_HALF_LIFE, now);
        let is_known = timed >= MIN_OBSERVATIONS;
        is_known.then(|| self.timed_s.value_at(COUNT_HALF_LIFE, now) / timed)
    }

    /// Requests for each turn, including the turn. Only programs that are followed count,
    /// because a tool call doesn't tell its program's route.
    fn requests_per_turn(&self, now: Instant) -> f64 {
        let prior_turns = PRIOR_TURNS_PER_S * PRIOR_S;
        let prior_calls = (PRIOR_REQUESTS_PER_S - PRIOR_TURNS_PER_S) * PRIOR_S;
        let turns = self.followed_turns.value_at(COUNT_HALF_LIFE, now);
        let calls = self.followed_calls.value_at(COUNT_HALF_LIFE, now);
        1.0 + (prior_calls + calls) / (prior_turns + turns)
    }
}

#[derive(Debug, Default)]
struct Counts {
    routes: HashMap<String, RouteCounts>,
    /// The programs that are followed, by the hash of their ID.
    running: HashMap<u64, Running>,
    /// Turns of all routes.
    turns: Counter,
    /// Tool calls of all programs.
    tool_calls: Counter,
}

impl Counts {
    fn route_mut(&mut self, route: &str) -> &mut RouteCounts {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteCounts::default());
        }
        self.routes.entry(route.to_owned()).or_default()
    }

    /// Removes the programs that are over.
    fn retire(&mut self, now: Instant) {
        let routes = &mut self.routes;
        self.running.retain(|_, program| {
            let is_over = program.is_over(now);
            if is_over && let Some(route) = routes.get_mut(&program.route) {
                route
                    .ended_s
                    .add(program.elapsed_s(now), COUNT_HALF_LIFE, now);
            }
            !is_over
        });
    }

    /// Seconds of programs' time on a route that have passed.
    fn elapsed_s(&self, route: &str, now: Instant) -> f64 {
        let running = self.running.values().filter(|p| p.route == route);
        let running: f64 = running.map(|p| p.elapsed_s(now)).sum();
        let ended = self.routes.get(route).map(|r| r.ended_s);
        running + ended.map_or(0.0, |e| e.value_at(COUNT_HALF_LIFE, now))
    }

    /// Turns per second of a program's time on a route.
    fn turns_per_s(&self, route: &str, now: Instant) -> f64 {
        let turns = self.routes.get(route).map(|r| r.timed_turns);
        let turns = turns.map_or(0.0, |t| t.value_at(COUNT_HALF_LIFE, now));
        (PRIOR_TURNS_PER_S * PRIOR_S + turns) / (PRIOR_S + self.elapsed_s(route, now))
    }
}

fn program_hash(program: &Id) -> u64 {
    let mut hasher = DefaultHasher::new();
    program.as_str().hash(&mut hasher);
    hasher.finish()
}

/// A turn's place in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Within what the program was expected to need, with one turn to spare, or nothing is known
    /// of it.
    AsPlanned,
    /// Beyond that, as after many repetitions.
    Beyond,
    /// Beyond `OVERRUN_FACTOR` times that: the program probably loops.
    FarBeyond,
}

/// Recent turns and tool calls, from which the requests of a program are estimated.
#[derive(Debug, Default)]
pub struct Demand(Mutex<Counts>);

impl Demand {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a turn. `is_program_start` says whether it is the first of its program, `is_timed`
    /// whether its caller states the program's time. Other turns don't count for the rate, since
    /// the seconds of their programs aren't known.
    pub fn record_turn(
        &self,
        route: &str,
        program: Option<&Id>,
        is_program_start: bool,
        is_timed: bool,
        now: Instant,
    ) {
        let mut counts = self.lock();
        counts.turns.increment(COUNT_HALF_LIFE, now);
        let is_followed = program.is_some_and(|p| counts.running.contains_key(&program_hash(p)));
        let route = counts.route_mut(route);
        route.turns.increment(COUNT_HALF_LIFE, now);
        if is_program_start {
            route.started.increment(COUNT_HALF_LIFE, now);
        }
        if is_timed && route.timed.value_at(COUNT_HALF_LIFE, now) > 0.0 {
            route.timed_turns.increment(COUNT_HALF_LIFE, now);
        }
        if is_followed {
            route.followed_turns.increment(COUNT_HALF_LIFE, now);
        }
    }

    /// Records that a program began whose caller allows it the time `expected`. Its first turn
    /// is recorded afterwards.
    pub fn record_start(&self, route: &str, program: &Id, expected: Duration, now: Instant) {
        let mut counts = self.lock();
        counts.retire(now);
        let key = program_hash(program);
        if counts.running.contains_key(&key) {
            return;
        }
        let expected_s = expected.as_secs_f64();
        let is_followed = counts.running.len() < MAX_RUNNING;
        if is_followed {
            let running = Running {
                route: route.to_owned(),
                since: now,
                expected_s,
            };
            counts.running.insert(key, running);
        }
        let route = counts.route_mut(route);
        if !is_followed {
            // The program's turns are counted, so without its seconds the rate would be too high.
            route.ended_s.add(expected_s, COUNT_HALF_LIFE, now);
        }
        route.timed.increment(COUNT_HALF_LIFE, now);
        route.timed_s.add(expected_s, COUNT_HALF_LIFE, now);
    }

    /// Records that a program was refused a request. It is expected to end or to begin anew, and
    /// the rest of its time doesn't count.
    pub fn record_refused(&self, program: &Id, now: Instant) {
        let mut counts = self.lock();
        let Some(running) = counts.running.remove(&program_hash(program)) else {
            return;
        };
        let elapsed_s = running.elapsed_s(now);
        let route = counts.route_mut(&running.route);
        route.ended_s.add(elapsed_s, COUNT_HALF_LIFE, now);
    }

    /// Whether the program began at this entry and is expected to be under way.
    pub fn is_running(&self, program: &Id, now: Instant) -> bool {
        let counts = self.lock();
        let running = counts.running.get(&program_hash(program));
        running.is_some_and(|program| !program.is_over(now))
    }

    /// Records a tool call of a program.
    pub fn record_tool_call(&self, program: &Id, now: Instant) {
        let mut counts = self.lock();
        counts.tool_calls.increment(COUNT_HALF_LIFE, now);
        let Counts {
            running, routes, ..
        } = &mut *counts;
        let followed = running.get(&program_hash(program));
        if let Some(route) = followed.and_then(|p| routes.get_mut(&p.route)) {
            route.followed_calls.increment(COUNT_HALF_LIFE, now);
        }
    }

    /// The requests that a beginning program is expected to make and when, if its caller allows
    /// it the time `expected`.
    ///
    /// ```
    /// use gradedyke_policy::demand::Demand;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// // Without observations, 5.5 requests per second of the program's time.
    /// let plan = Demand::default().plan("draft", Duration::from_secs(2), now);
    /// assert_eq!(plan.requests, 11);
    /// assert_eq!(plan.duration, Duration::from_millis(1_500));
    /// ```
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn plan(&self, route: &str, expected: Duration, now: Instant) -> Plan {
        let mut counts = self.lock();
        counts.retire(now);
        let turns = counts.turns_per_s(route, now) * expected.as_secs_f64();
        let requests = turns * counts.route_mut(route).requests_per_turn(now);
        Plan {
            requests: requests.round().clamp(1.0, f64::from(u32::MAX)) as u32,
            duration: expected.mul_f64(DURATION_RATIO),
        }
    }

    /// The plan of a typical program of the route; `None` if there are too few observations.
    pub fn typical_plan(&self, route: &str, now: Instant) -> Option<Plan> {
        let mean_s = self.lock().routes.get(route)?.mean_s(now)?;
        let mean = Duration::try_from_secs_f64(mean_s).ok()?;
        Some(self.plan(route, mean, now))
    }

    /// Where a program stands that has had `turns`, all of its conversations and repetitions
    /// included. For a program that began at another entry, the route's mean time is used.
    ///
    /// ```
    /// use gradedyke_policy::demand::{Demand, Progress};
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let program = gradedyke_turns::record::Id::parse("p").unwrap();
    /// let demand = Demand::default();
    /// demand.record_start("draft", &program, Duration::from_secs(2), now);
    /// // 2.2 turns per second are expected.
    /// assert_eq!(demand.progress("draft", &program, 6, now), Progress::AsPlanned);
    /// assert_eq!(demand.progress("draft", &program, 7, now), Progress::Beyond);
    /// assert_eq!(demand.progress("draft", &program, 9, now), Progress::FarBeyond);
    /// ```
    pub fn progress(&self, route: &str, program: &Id, turns: usize, now: Instant) -> Progress {
        let counts = self.lock();
        let followed = counts.running.get(&program_hash(program));
        let mean_s = || counts.routes.get(route)?.mean_s(now);
        let Some(expected_s) = followed.map(|p| p.expected_s).or_else(mean_s) else {
            return Progress::AsPlanned;
        };
        let expected_turns = counts.turns_per_s(route, now) * expected_s;
        #[allow(clippy::cast_precision_loss)]
        let turns = turns as f64;
        if turns > expected_turns * OVERRUN_FACTOR {
            Progress::FarBeyond
        } else if turns > expected_turns.ceil() + 1.0 {
            Progress::Beyond
        } else {
            Progress::AsPlanned
        }
    }

    /// Requests of a route's program for each of its turns, including the turn.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn requests_per_turn(&self, route: &str, now: Instant) -> u32 {
        let requests = self.lock().route_mut(route).requests_per_turn(now);
        requests.round().clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// Expected number of requests of a program on a route, including its tool calls; 1 if
    /// there are too few observations. Used where a program's time is not known.
    ///
    /// ```
    /// use gradedyke_policy::demand::Demand;
    ///
    /// let now = tokio::time::Instant::now();
    /// let demand = Demand::default();
    /// let program = gradedyke_turns::record::Id::parse("p").unwrap();
    /// for turn in 0..40 {
    ///     demand.record_turn("draft", Some(&program), turn % 4 == 0, false, now);
    ///     demand.record_tool_call(&program, now);
    /// }
    /// assert_eq!(demand.expected_requests("draft", now), 8);
    /// assert_eq!(demand.expected_requests("other", now), 1);
    /// ```
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn expected_requests(&self, route: &str, now: Instant) -> u32 {
        let counts = self.lock();
        let Some(route) = counts.routes.get(route) else {
            return 1;
        };
        let started = route.started.value_at(COUNT_HALF_LIFE, now);
        let turns = counts.turns.value_at(COUNT_HALF_LIFE, now);
        if started < MIN_OBSERVATIONS || turns < MIN_OBSERVATIONS {
            return 1;
        }
        let tool_calls_per_turn = counts.tool_calls.value_at(COUNT_HALF_LIFE, now) / turns;
        let requests =
            route.turns.value_at(COUNT_HALF_LIFE, now) / started * (1.0 + tool_calls_per_turn);
        requests.round().clamp(1.0, f64::from(u32::MAX)) as u32
    }
}
