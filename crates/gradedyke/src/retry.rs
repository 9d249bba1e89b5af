//! When and how often to try again.
//!
//! Only what certainly did not run, or may be repeated, is tried again, and
//! never without a wait that grows and is spread at random: tries that come
//! back in step are a storm.

use std::time::Duration;

/// Waits that grow from a first to a last, each spread over half its length.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    next: Duration,
    last: Duration,
    left: u32,
}

impl Backoff {
    /// `tries` waits from `first` on, each twice the one before, up to `last`.
    ///
    /// ```
    /// use gradedyke::retry::Backoff;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut backoff = Backoff::new(second, second * 4, 2);
    /// assert!(backoff.wait(0.0).unwrap() <= second);
    /// assert!(backoff.wait(1.0).unwrap() <= second * 2);
    /// assert!(backoff.wait(0.5).is_none());
    /// ```
    pub fn new(first: Duration, last: Duration, tries: u32) -> Self {
        Self {
            next: first,
            last,
            left: tries,
        }
    }

    /// The next wait, spread by `random` from 0 to 1; `None` when all tries are
    /// used up.
    pub fn wait(&mut self, random: f64) -> Option<Duration> {
        self.left = self.left.checked_sub(1)?;
        let wait = self.next;
        self.next = (self.next * 2).min(self.last);
        Some(wait.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0))
    }
}
