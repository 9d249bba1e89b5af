//! Detects that the process was paused, and may know less than others do.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time without a sign of life after which the process counts as paused. It gives one four times
/// a second.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Longest time after a pause for which requests wait for recent data: the time that it takes to
/// select a process to follow and to read the changes from it.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

/// Signs of life of the process.
#[derive(Debug)]
pub struct Monitor(Mutex<State>);

#[derive(Debug)]
struct State {
    alive_at: Instant,
    /// End of the last pause.
    resumed_at: Instant,
}

impl State {
    /// Returns the length of a pause that has ended at `now`, if there was one.
    fn record(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.alive_at);
        self.alive_at = self.alive_at.max(now);
        let is_pause = gap > PAUSE_THRESHOLD;
        if is_pause {
            self.resumed_at = now;
        }
        is_pause.then_some(gap)
    }
}

impl Monitor {
    /// Creates the monitor of a process that starts at `now`. The start counts as the end of a
    /// pause, because what a process learns first may come from the disk of another one.
    pub fn new(now: Instant) -> Self {
        Self(Mutex::new(State {
            alive_at: now,
            resumed_at: now,
        }))
    }

    /// Records a sign of life. Has to be called about four times a second.
    pub fn record(&self, now: Instant) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pause) = state.record(now) {
            tracing::info!(event = "process_resumed", paused_ms = pause.as_millis());
        }
    }

    /// Returns until when a request that is read at `now` should wait for recent data, because a
    /// pause has just ended; `None` if none has.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_gateway::entry::pause::Monitor;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let after = |ms| now + Duration::from_millis(ms);
    /// let monitor = Monitor::new(now);
    /// assert_eq!(monitor.catches_up_until(after(500)), None);
    /// assert_eq!(monitor.catches_up_until(after(5_000)), Some(after(5_300)));
    /// monitor.record(after(5_010));
    /// assert_eq!(monitor.catches_up_until(after(5_200)), Some(after(5_300)));
    /// assert_eq!(monitor.catches_up_until(after(5_400)), None);
    /// ```
    pub fn catches_up_until(&self, now: Instant) -> Option<Instant> {
        self.record(now);
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let until = state.resumed_at + CATCH_UP_TIMEOUT;
        (now < until).then_some(until)
    }
}
