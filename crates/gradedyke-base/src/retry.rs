//! When and how often to try again.
//!
//! Only what certainly did not run, or may be repeated, is tried again, and
//! never without a wait that grows and is spread at random: tries that come
//! back in step are a storm, and peers that have fallen behind are asked the more by
//! fixed waits, the further they are behind.

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
    /// use gradedyke_base::retry::Backoff;
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

    /// Waits without an end, for what is tried until its time is over.
    ///
    /// ```
    /// use gradedyke_base::retry::Backoff;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let mut backoff = Backoff::endless(second, second * 2);
    /// let waits: Vec<Duration> = (0..3).map(|_| backoff.step(1.0)).collect();
    /// assert_eq!(waits, [second, second * 2, second * 2]);
    /// ```
    pub fn endless(first: Duration, last: Duration) -> Self {
        Self::new(first, last, u32::MAX)
    }

    /// The next wait, spread by `random` from 0 to 1; `None` when all tries are
    /// used up.
    pub fn wait(&mut self, random: f64) -> Option<Duration> {
        self.left = self.left.checked_sub(1)?;
        Some(self.step(random))
    }

    /// The next wait, whatever number of tries is left.
    pub fn step(&mut self, random: f64) -> Duration {
        let wait = self.next;
        self.next = (self.next * 2).min(self.last);
        wait.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }
}
