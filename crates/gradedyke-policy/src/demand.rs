//! Estimates how many requests a program will make, from recently admitted requests.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Counter;
use tokio::time::Instant;

/// Half-life of the counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(20);
/// Minimum decayed count of the route's programs, and of the turns of all routes, for an
/// estimate.
const MIN_OBSERVATIONS: f64 = 4.0;

#[derive(Debug, Default)]
struct RouteCounts {
    /// Programs that started.
    started: Counter,
    turns: Counter,
}

#[derive(Debug, Default)]
struct Counts {
    routes: HashMap<String, RouteCounts>,
    /// Turns of all routes.
    turns: Counter,
    /// Tool calls of all programs.
    tool_calls: Counter,
}

/// Recent turns and tool calls, from which the requests of a program are estimated.
#[derive(Debug, Default)]
pub struct Demand(Mutex<Counts>);

impl Demand {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a turn. `is_program_start` says whether it is the first of its program.
    pub fn record_turn(&self, route: &str, is_program_start: bool, now: Instant) {
        let mut counts = self.lock();
        counts.turns.increment(COUNT_HALF_LIFE, now);
        if !counts.routes.contains_key(route) {
            counts
                .routes
                .insert(route.to_owned(), RouteCounts::default());
        }
        let Some(route) = counts.routes.get_mut(route) else {
            return;
        };
        route.turns.increment(COUNT_HALF_LIFE, now);
        if is_program_start {
            route.started.increment(COUNT_HALF_LIFE, now);
        }
    }

    /// Records a tool call of a program.
    pub fn record_tool_call(&self, now: Instant) {
        self.lock().tool_calls.increment(COUNT_HALF_LIFE, now);
    }

    /// Expected number of requests of a program on a route, including its tool calls; 1 if
    /// there are too few observations.
    ///
    /// ```
    /// use gradedyke_policy::demand::Demand;
    ///
    /// let now = tokio::time::Instant::now();
    /// let demand = Demand::default();
    /// for turn in 0..40 {
    ///     demand.record_turn("draft", turn % 4 == 0, now);
    ///     demand.record_tool_call(now);
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
