//! Backpressure: the share of attempts that a replica rejected recently.
//!
//! A single entry sees too few attempts to measure this. Replicas therefore report it with
//! each reply, and entries admit fewer new programs while it is high.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::decay::Counter;

/// Half-life of the counts.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Decayed number of attempts below which no pressure is reported.
const MIN_ATTEMPTS: f64 = 8.0;
/// Encoding of the share 1; a share is encoded in thousandths.
const THOUSANDTHS_PER_ONE: f64 = 1_000.0;

/// Share of attempts that a replica rejected recently, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pressure(u16);

impl Pressure {
    /// Returns the share, from 0 to 1.
    ///
    /// ```
    /// use gradedyke_turns::pressure::Pressure;
    ///
    /// assert_eq!(Pressure::default().share(), 0.0);
    /// assert_eq!(Pressure::from_share(0.25).share(), 0.25);
    /// ```
    pub fn share(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS_PER_ONE
    }

    /// Creates a pressure from a share, clamped to the range from 0 to 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_share(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * THOUSANDTHS_PER_ONE).round() as u16)
    }
}

/// Measures the pressure on a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    attempts: Counter,
    rejected: Counter,
}

impl Meter {
    /// Counts an attempt and whether it was `rejected`.
    ///
    /// ```
    /// use gradedyke_turns::pressure::Meter;
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut meter = Meter::default();
    /// (0..20).for_each(|number| meter.record_attempt(number % 2 == 0, now));
    /// assert!((meter.pressure(now).share() - 0.5).abs() < 0.01);
    /// ```
    pub fn record_attempt(&mut self, rejected: bool, now: Instant) {
        self.attempts.increment(COUNT_HALF_LIFE, now);
        if rejected {
            self.rejected.increment(COUNT_HALF_LIFE, now);
        }
    }

    /// Returns the pressure at `now`.
    pub fn pressure(&self, now: Instant) -> Pressure {
        let attempts = self.attempts.value_at(COUNT_HALF_LIFE, now);
        if attempts < MIN_ATTEMPTS {
            return Pressure::default();
        }
        Pressure::from_share(self.rejected.value_at(COUNT_HALF_LIFE, now) / attempts)
    }
}
