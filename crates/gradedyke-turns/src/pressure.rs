//! How a replica keeps up with what it is asked to begin.
//!
//! It alone sees enough to tell: of hundreds of entries each has one or two turns a
//! second. So it tells every entry with each answer, and entries let fewer programs begin.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::decay::Count;

/// Time in which what was asked counts half: a burst is told in its first second, and its
/// end as soon.
const HALF: Duration = Duration::from_millis(500);
/// Attempts asked for in that time below which nothing is told: too few to tell a share.
const FEW: f64 = 8.0;
/// Thousandths in a whole.
const WHOLE: f64 = 1_000.0;

/// Share of attempts that a replica turned away lately, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pressure(u16);

impl Pressure {
    /// The share, 0 to 1.
    ///
    /// ```
    /// use gradedyke_turns::pressure::Pressure;
    ///
    /// assert_eq!(Pressure::default().share(), 0.0);
    /// assert_eq!(Pressure::of(0.25).share(), 0.25);
    /// ```
    pub fn share(self) -> f64 {
        f64::from(self.0) / WHOLE
    }

    /// The pressure of a replica that turns this share away, 0 to 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * WHOLE).round() as u16)
    }
}

/// What a replica was asked to begin, and turned away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauge {
    asked: Count,
    refused: Count,
}

impl Gauge {
    /// Counts an attempt, and whether it was `refused`.
    ///
    /// ```
    /// use gradedyke_turns::pressure::Gauge;
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut gauge = Gauge::default();
    /// (0..20).for_each(|number| gauge.count(number % 2 == 0, now));
    /// assert!((gauge.pressure(now).share() - 0.5).abs() < 0.01);
    /// ```
    pub fn count(&mut self, refused: bool, now: Instant) {
        self.asked.add(HALF, now);
        if refused {
            self.refused.add(HALF, now);
        }
    }

    /// The pressure now.
    pub fn pressure(&self, now: Instant) -> Pressure {
        let asked = self.asked.at(HALF, now);
        if asked < FEW {
            return Pressure::default();
        }
        Pressure::of(self.refused.at(HALF, now) / asked)
    }
}
