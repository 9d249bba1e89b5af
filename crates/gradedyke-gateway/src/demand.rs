//! How many requests a program needs, learned from those that were let through.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Count;
use tokio::time::Instant;

/// Time in which what was seen counts half: several times what a program takes, and
/// short enough to follow work that changes with the hour.
const HALF: Duration = Duration::from_secs(20);
/// Programs that must have been seen before a number is told. An entry sees one or two
/// a second.
const SEEN: f64 = 4.0;

#[derive(Debug, Default)]
struct Route {
    begun: Count,
    turns: Count,
}

#[derive(Debug, Default)]
struct Seen {
    routes: HashMap<String, Route>,
    turns: Count,
    calls: Count,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Demand(Mutex<Seen>);

impl Demand {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a turn; whether it `begins` a program.
    pub fn turn(&self, route: &str, begins: bool, now: Instant) {
        let mut seen = self.lock();
        seen.turns.add(HALF, now);
        if !seen.routes.contains_key(route) {
            seen.routes.insert(route.to_owned(), Route::default());
        }
        let Some(route) = seen.routes.get_mut(route) else {
            return;
        };
        route.turns.add(HALF, now);
        if begins {
            route.begun.add(HALF, now);
        }
    }

    /// Notes a call of a program's tool.
    pub fn call(&self, now: Instant) {
        self.lock().calls.add(HALF, now);
    }

    /// Requests that a program of a route is expected to need, its calls too; 1 where too
    /// little has been seen.
    ///
    /// ```
    /// use gradedyke_gateway::demand::Demand;
    ///
    /// let now = tokio::time::Instant::now();
    /// let demand = Demand::default();
    /// for turn in 0..40 {
    ///     demand.turn("draft", turn % 4 == 0, now);
    ///     demand.call(now);
    /// }
    /// assert_eq!(demand.requests("draft", now), 8);
    /// assert_eq!(demand.requests("other", now), 1);
    /// ```
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn requests(&self, route: &str, now: Instant) -> u32 {
        let seen = self.lock();
        let Some(route) = seen.routes.get(route) else {
            return 1;
        };
        let begun = route.begun.at(HALF, now);
        let turns = seen.turns.at(HALF, now);
        if begun < SEEN || turns < SEEN {
            return 1;
        }
        let calls = seen.calls.at(HALF, now) / turns;
        let requests = route.turns.at(HALF, now) / begun * (1.0 + calls);
        requests.round().clamp(1.0, f64::from(u32::MAX)) as u32
    }
}
