//! Counts that forget.

use std::time::Duration;

use tokio::time::Instant;

/// A count in which what was seen a half-life ago counts half.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    value: f64,
    at: Option<Instant>,
}

impl Count {
    /// The count now.
    ///
    /// ```
    /// use gradedyke_turns::decay::Count;
    /// use std::time::Duration;
    ///
    /// let (now, half) = (tokio::time::Instant::now(), Duration::from_secs(2));
    /// let mut count = Count::default();
    /// count.add(half, now);
    /// assert_eq!(count.at(half, now + half), 0.5);
    /// ```
    pub fn at(&self, half: Duration, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let halves = now.saturating_duration_since(at).as_secs_f64() / half.as_secs_f64();
        self.value * 0.5_f64.powf(halves)
    }

    /// Counts one more.
    pub fn add(&mut self, half: Duration, now: Instant) {
        self.value = self.at(half, now) + 1.0;
        self.at = Some(now);
    }
}
