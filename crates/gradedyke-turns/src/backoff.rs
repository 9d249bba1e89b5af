//! Waits between tries that double.
//!
//! Who asks again after a fixed wait asks replicas that have fallen behind the more, the
//! further they are behind; with waits that double, what is repeated falls below what is
//! new. They differ by chance, so that those who failed together do not come back together.

use std::time::Duration;

use rand::RngExt;

/// How far waits differ, as shares of what they would be.
const SPREAD: std::ops::Range<f64> = 0.75..1.25;

/// The waits between the tries of one thing.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Waits from `first` on, up to about `longest`.
    ///
    /// ```
    /// use gradedyke_turns::backoff::Backoff;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let mut backoff = Backoff::new(ms(40), ms(100));
    /// assert!(backoff.wait() <= ms(50));
    /// assert!(backoff.wait() >= ms(60));
    /// assert!(backoff.wait() <= ms(125));
    /// ```
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The wait before the next try.
    pub fn wait(&mut self) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.longest);
        wait.mul_f64(rand::rng().random_range(SPREAD))
    }

    /// Begins anew: a try has succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
