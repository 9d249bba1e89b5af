//! Rejects new [`Request::Begin`](crate::message::Request::Begin) requests while the oldest one
//! in flight is too old, which limits their latency.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Age of the oldest request in flight above which new ones are rejected. A third of the sender's
/// timeout, so that requests that are begun are answered in time. With a bound on their number
/// alone (192, at 600 per second) each reply came after 320 ms, when nobody waited for it.
const MAX_OLDEST_REQUEST_AGE: Duration = Duration::from_millis(100);
/// Age of the oldest request in flight above which requests for a program's first turn are
/// rejected. Lower, because rejecting a first turn wastes no work, whereas rejecting a later one
/// wastes the program's earlier turns.
const MAX_OLDEST_REQUEST_AGE_FIRST_TURN: Duration = Duration::from_millis(50);
/// Requests that may be in flight whatever their age, so that one slow request does not block
/// others.
const AGE_LIMIT_EXEMPT_REQUESTS: usize = 32;

/// Returns whether a new request must be rejected when `active` requests are in flight and
/// the oldest of them is `age` old. `is_first_turn` tells whether the new one is for a program's
/// first turn.
///
/// Under overload a queue would grow until every response is too late for its caller.
///
/// ```
/// use gradedyke_turns::backlog;
/// use std::time::Duration;
///
/// let age = Duration::from_millis(70);
/// assert!(backlog::is_full(40, age, true));
/// assert!(!backlog::is_full(40, age, false));
/// assert!(!backlog::is_full(10, age, true));
/// ```
pub fn is_full(active: usize, age: Duration, is_first_turn: bool) -> bool {
    let max_age = if is_first_turn {
        MAX_OLDEST_REQUEST_AGE_FIRST_TURN
    } else {
        MAX_OLDEST_REQUEST_AGE
    };
    age > max_age && active >= AGE_LIMIT_EXEMPT_REQUESTS
}

/// Start times of the requests in flight, by sequence number.
#[derive(Debug, Default)]
struct InFlightRequests {
    next_number: u64,
    started_at: BTreeMap<u64, Instant>,
}

/// The requests that a replica has in flight.
#[derive(Debug, Default)]
pub struct Backlog(Mutex<InFlightRequests>);

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    backlog: &'a Backlog,
    number: u64,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.backlog.lock().started_at.remove(&self.number);
    }
}

impl Backlog {
    fn lock(&self) -> MutexGuard<'_, InFlightRequests> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request, or returns `None` if it must be rejected (see [`is_full`]).
    /// `is_first_turn` tells whether it is for a program's first turn.
    ///
    /// ```
    /// use gradedyke_turns::backlog::Backlog;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let backlog = Backlog::default();
    /// let begun: Vec<_> = (0..40).map(|_| backlog.try_begin(false, now)).collect();
    /// assert!(begun.iter().all(Option::is_some));
    /// let later = now + Duration::from_millis(70);
    /// assert!(backlog.try_begin(true, later).is_none());
    /// assert!(backlog.try_begin(false, later).is_some());
    /// drop(begun);
    /// assert!(backlog.try_begin(true, later).is_some());
    /// ```
    pub fn try_begin(&self, is_first_turn: bool, now: Instant) -> Option<InFlightGuard<'_>> {
        let mut requests = self.lock();
        let oldest = requests.started_at.values().next();
        let age = oldest.map(|at| now.saturating_duration_since(*at));
        if is_full(
            requests.started_at.len(),
            age.unwrap_or_default(),
            is_first_turn,
        ) {
            return None;
        }
        let number = requests.next_number;
        requests.next_number += 1;
        requests.started_at.insert(number, now);
        Some(InFlightGuard {
            backlog: self,
            number,
        })
    }
}
