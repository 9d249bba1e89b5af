//! Exponentially decaying counters.

use std::time::Duration;

use tokio::time::Instant;

/// A counter whose value halves with each half-life that passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counter {
    value: f64,
    /// When `value` was last updated.
    as_of: Option<Instant>,
}

impl Counter {
    /// Returns the value at `now`, for a half-life of `half_life`.
    ///
    /// ```
    /// use gradedyke_turns::decay::Counter;
    /// use std::time::Duration;
    ///
    /// let (now, half_life) = (tokio::time::Instant::now(), Duration::from_secs(2));
    /// let mut counter = Counter::default();
    /// counter.increment(half_life, now);
    /// assert_eq!(counter.value_at(half_life, now + half_life), 0.5);
    /// ```
    pub fn value_at(&self, half_life: Duration, now: Instant) -> f64 {
        let Some(as_of) = self.as_of else { return 0.0 };
        let half_lives =
            now.saturating_duration_since(as_of).as_secs_f64() / half_life.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }

    /// Adds one to the value at `now`.
    pub fn increment(&mut self, half_life: Duration, now: Instant) {
        self.add(1.0, half_life, now);
    }

    /// Adds `value` to the value at `now`.
    pub fn add(&mut self, value: f64, half_life: Duration, now: Instant) {
        self.value = self.value_at(half_life, now) + value;
        self.as_of = Some(now);
    }
}
