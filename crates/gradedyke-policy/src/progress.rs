//! What programs still need, learned for each route from the turns that were served.
//!
//! The number of turns that a program has had is known from the keepers' replies. How many more
//! it will have follows from how many programs of the route reached each turn, and the time of a
//! turn from those that ran while the service had room: what a program needs if its requests do
//! not wait.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Counter;
use tokio::time::Instant;

/// Half-life of the counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(20);
/// Number of turns that are told apart; later ones count as the last.
const MAX_TURNS: usize = 64;
/// Weight of a new turn in the mean time of a turn.
const TURN_TIME_WEIGHT: f64 = 1.0 / 16.0;
/// Programs that must have begun on a route for an estimate.
const MIN_PROGRAMS: f64 = 2.0;
/// Turns per program without observations, counted as [`MIN_PROGRAMS`] programs.
const PRIOR_TURNS: f64 = 4.0;

#[derive(Debug, Default)]
struct Route {
    /// Programs that reached each turn, the first turn first.
    reached: Vec<Counter>,
    /// Mean time of the turns that ran while the service had room.
    mean_turn_s: Option<f64>,
    /// Mean time of all turns.
    present_turn_s: Option<f64>,
}

/// Updates a mean of turn times.
fn update_mean(mean: &mut Option<f64>, time_s: f64) {
    let known = mean.unwrap_or(time_s);
    *mean = Some(known + (time_s - known) * TURN_TIME_WEIGHT);
}

impl Route {
    fn reached(&self, turn: usize, now: Instant) -> f64 {
        let index = turn.clamp(1, MAX_TURNS) - 1;
        let counter = self.reached.get(index);
        counter.map_or(0.0, |c| c.value_at(COUNT_HALF_LIFE, now))
    }

    /// Turns that a program still has, with the one that it begins: those that at least half of
    /// the programs reach that come as far. A mean would follow the few programs that loop.
    fn remaining_turns(&self, turn: usize, now: Instant) -> u32 {
        let half = self.reached(turn, now) / 2.0;
        let later = (turn + 1..=self.reached.len()).take_while(|t| self.reached(*t, now) >= half);
        u32::try_from(later.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }
}

/// What programs of each route need.
#[derive(Debug, Default)]
pub struct Progress {
    routes: Mutex<HashMap<String, Route>>,
    has_deadlines: AtomicBool,
}

impl Progress {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Route>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, route: &str, change: impl FnOnce(&mut Route)) {
        let mut routes = self.lock();
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), Route::default());
        }
        if let Some(route) = routes.get_mut(route) {
            change(route);
        }
    }

    /// Records that a request carried its program's deadline.
    pub fn record_deadline(&self) {
        self.has_deadlines.store(true, Ordering::Relaxed);
    }

    /// Whether any request has carried its program's deadline.
    pub fn has_deadlines(&self) -> bool {
        self.has_deadlines.load(Ordering::Relaxed)
    }

    /// Records that a program began its turn number `turn`, counted from 1.
    pub fn record_turn(&self, route: &str, turn: usize, now: Instant) {
        let index = turn.clamp(1, MAX_TURNS) - 1;
        self.update(route, |route| {
            if route.reached.len() <= index {
                route.reached.resize(index + 1, Counter::default());
            }
            route.reached[index].increment(COUNT_HALF_LIFE, now);
        });
    }

    /// Records the time of a turn, which ended while the service was full or not.
    pub fn record_turn_time(&self, route: &str, time: Duration, is_full: bool) {
        let time_s = time.as_secs_f64();
        self.update(route, |route| {
            update_mean(&mut route.present_turn_s, time_s);
            if !is_full {
                update_mean(&mut route.mean_turn_s, time_s);
            }
        });
    }

    /// Mean number of turns of a program.
    pub fn turns_per_program(&self, route: &str, now: Instant) -> f64 {
        let routes = self.lock();
        let Some(route) = routes.get(route) else {
            return PRIOR_TURNS;
        };
        let turns = route.reached.iter();
        let turns: f64 = turns.map(|c| c.value_at(COUNT_HALF_LIFE, now)).sum();
        let programs = route.reached(1, now) + MIN_PROGRAMS;
        (turns + PRIOR_TURNS * MIN_PROGRAMS) / programs
    }

    /// Time that a program needs from the beginning of its turn number `turn` if its requests do
    /// not wait; `None` if too little is known.
    ///
    /// ```
    /// use gradedyke_policy::progress::Progress;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let progress = Progress::default();
    /// for turn in (0..40).map(|n| n % 4 + 1) {
    ///     progress.record_turn("draft", turn, now);
    ///     progress.record_turn_time("draft", Duration::from_millis(250), false);
    /// }
    /// assert_eq!(progress.remaining("draft", 1, now), Some(Duration::from_secs(1)));
    /// assert_eq!(progress.remaining("draft", 4, now), Some(Duration::from_millis(250)));
    /// assert_eq!(progress.remaining("other", 1, now), None);
    /// ```
    pub fn remaining(&self, route: &str, turn: usize, now: Instant) -> Option<Duration> {
        let routes = self.lock();
        let route = routes.get(route)?;
        if route.reached(1, now) < MIN_PROGRAMS {
            return None;
        }
        let turn_time = Duration::from_secs_f64(route.mean_turn_s?);
        Some(turn_time * route.remaining_turns(turn.max(1), now))
    }

    /// How much later a program may begin its turn number `turn` and still end within
    /// `time_left`; `None` if it cannot. A program of which too little is known can as long as it
    /// has time left.
    pub fn slack(
        &self,
        route: &str,
        turn: usize,
        time_left: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let needed = self.remaining(route, turn, now).unwrap_or_default();
        time_left
            .checked_sub(needed)
            .filter(|_| !time_left.is_zero())
    }

    /// How much later a program may begin and still end within `time_left` at the present pace;
    /// zero if it can only if its requests do not wait, and `None` if it cannot.
    pub fn beginning_slack(
        &self,
        route: &str,
        time_left: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let slack = self.slack(route, 1, time_left, now)?;
        let routes = self.lock();
        let Some((route, turn_s)) = routes.get(route).and_then(|r| Some((r, r.present_turn_s?)))
        else {
            return Some(slack);
        };
        let needed = Duration::from_secs_f64(turn_s) * route.remaining_turns(1, now);
        Some(slack.min(time_left.saturating_sub(needed)))
    }
}
