//! Exponential backoff with jitter.
//!
//! Callers retry only requests that certainly did not run or that are idempotent.
//! Jitter keeps clients from retrying at the same moment, and growing delays reduce
//! the load on overloaded peers.

use std::time::Duration;

/// Delays that double up to a maximum; jitter shortens each by up to half.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    delay: Duration,
    max_delay: Duration,
    retries_left: u32,
}

impl Backoff {
    /// Creates a sequence of at most `max_retries` delays that starts at `initial_delay`
    /// and doubles up to `max_delay`.
    ///
    /// ```
    /// use gradedyke_base::retry::Backoff;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut backoff = Backoff::new(second, second * 4, 2);
    /// assert!(backoff.next_retry_delay(0.0).unwrap() <= second);
    /// assert!(backoff.next_retry_delay(1.0).unwrap() <= second * 2);
    /// assert!(backoff.next_retry_delay(0.5).is_none());
    /// ```
    pub fn new(initial_delay: Duration, max_delay: Duration, max_retries: u32) -> Self {
        Self {
            delay: initial_delay,
            max_delay,
            retries_left: max_retries,
        }
    }

    /// Creates a sequence without a limit on retries, for calls bounded by a deadline.
    ///
    /// ```
    /// use gradedyke_base::retry::Backoff;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut backoff = Backoff::unlimited(second, second * 2);
    /// let delays: Vec<Duration> = (0..3).map(|_| backoff.next_delay(1.0)).collect();
    /// assert_eq!(delays, [second, second * 2, second * 2]);
    /// ```
    pub fn unlimited(initial_delay: Duration, max_delay: Duration) -> Self {
        Self::new(initial_delay, max_delay, u32::MAX)
    }

    /// Returns the next delay, or `None` if no retries are left. `random` is a number
    /// from 0 to 1 that determines the jitter.
    pub fn next_retry_delay(&mut self, random: f64) -> Option<Duration> {
        self.retries_left = self.retries_left.checked_sub(1)?;
        Some(self.next_delay(random))
    }

    /// Returns the next delay, regardless of the number of retries left.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let delay = self.delay;
        self.delay = (self.delay * 2).min(self.max_delay);
        delay.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }
}
