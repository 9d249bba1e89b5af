//! Admission of new programs while the keepers are overloaded.
//!
//! A program succeeds only if each of its turns is admitted. If keepers refuse turns at random,
//! the longest programs therefore fail most often, and the work done for them is wasted. When
//! keepers refuse turns because of overload, an entry admits fewer new programs, and running
//! programs continue. The share of refused turns is the feedback signal: it falls as fewer
//! programs start, so no capacity has to be configured. `tests/overload.rs` simulates this
//! under several loads.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Counter;
use gradedyke_turns::pressure::Pressure;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use crate::MIN_RETRY_AFTER;

/// Half-life of the counts of admitted and refused turns. Two retry delays of refused callers, so
/// that a burst is noticed within its first second.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Admitted turns added to the actual count, so that a single refusal does not throttle.
const PRIOR_ADMITTED_TURNS: f64 = 2.0;
/// Share of refused turns above which fewer programs are admitted.
const TOLERATED_REFUSAL_RATIO: f64 = 0.1;
/// Share of refused turns at and above which only [`MIN_ADMISSION_RATIO`] of programs are
/// admitted.
const MAX_REFUSAL_RATIO: f64 = 0.5;
/// Duration of an exchange with the keepers above which they count as overloaded.
const SLOW_EXCHANGE_THRESHOLD: Duration = Duration::from_millis(150);
/// How long a pressure (share of refused turns) reported by keepers is used.
const PRESSURE_TTL: Duration = Duration::from_millis(1_000);
/// Share of programs that are always admitted, to detect when the keepers have recovered.
const MIN_ADMISSION_RATIO: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: Counter,
    refused: Counter,
    reported: Option<(Pressure, Instant)>,
}

impl Counts {
    /// Share of turns that are refused: as keepers reported recently, or otherwise as counted
    /// by this entry.
    fn refusal_ratio(&self, now: Instant) -> f64 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PRESSURE_TTL;
        if let Some((pressure, at)) = self.reported
            && is_recent(at)
        {
            return pressure.share();
        }
        let refused = self.refused.value_at(COUNT_HALF_LIFE, now);
        refused / (self.admitted.value_at(COUNT_HALF_LIFE, now) + PRIOR_ADMITTED_TURNS + refused)
    }
}

/// Hashes a program's ID to a number in `0.0..1.0`, the same at every entry.
///
/// ```
/// use gradedyke_policy::throttle;
/// use gradedyke_turns::record::Id;
///
/// let program = Id::parse("p").unwrap();
/// assert!((0.0..1.0).contains(&throttle::hash_fraction(&program)));
/// ```
pub fn hash_fraction(program: &Id) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    program.hash(&mut hasher);
    f64::from((hasher.finish() >> 32) as u32) / (f64::from(u32::MAX) + 1.0)
}

/// Decides which share of new programs an entry admits.
#[derive(Debug, Default)]
pub struct Throttle(Mutex<Counts>);

impl Throttle {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that keepers admitted a turn, and how long the exchange took. A slow exchange
    /// counts as a refusal, because it shows overload before keepers refuse turns and running
    /// programs fail.
    pub fn record_admitted(&self, elapsed: Duration, now: Instant) {
        if elapsed > SLOW_EXCHANGE_THRESHOLD {
            return self.record_refused(now);
        }
        self.lock().admitted.increment(COUNT_HALF_LIFE, now);
    }

    /// Records that keepers were reachable but refused a turn because of overload.
    pub fn record_refused(&self, now: Instant) {
        self.lock().refused.increment(COUNT_HALF_LIFE, now);
    }

    /// Records the pressure (share of refused turns) that keepers reported at `at`. Keepers see
    /// the turns of all entries; one entry alone may see too few for a useful ratio.
    pub fn record_pressure(&self, pressure: Pressure, at: Instant) {
        self.lock().reported = Some((pressure, at));
    }

    /// Share of new programs that are admitted, 0 to 1.
    ///
    /// ```
    /// use gradedyke_policy::throttle::Throttle;
    ///
    /// let now = tokio::time::Instant::now();
    /// let throttle = Throttle::default();
    /// assert_eq!(throttle.admission_ratio(now), 1.0);
    /// (0..20).for_each(|_| throttle.record_refused(now));
    /// assert!(throttle.admission_ratio(now) < 0.1);
    /// ```
    pub fn admission_ratio(&self, now: Instant) -> f64 {
        let refusal_ratio = self.lock().refusal_ratio(now);
        let ratio =
            (MAX_REFUSAL_RATIO - refusal_ratio) / (MAX_REFUSAL_RATIO - TOLERATED_REFUSAL_RATIO);
        ratio.clamp(MIN_ADMISSION_RATIO, 1.0)
    }

    /// Whether a program is admitted. `sample`, in `0.0..1.0`, is random or from
    /// [`hash_fraction`].
    pub fn admits(&self, sample: f64, now: Instant) -> bool {
        sample < self.admission_ratio(now)
    }

    /// How long a caller whose program was refused should wait before it retries: the
    /// fewer programs are admitted, the longer.
    ///
    /// ```
    /// use gradedyke_policy::throttle::Throttle;
    /// use std::time::Duration;
    ///
    /// let throttle = Throttle::default();
    /// let wait = throttle.retry_after(tokio::time::Instant::now());
    /// assert_eq!(wait, Duration::from_millis(250));
    /// ```
    pub fn retry_after(&self, now: Instant) -> Duration {
        MIN_RETRY_AFTER.div_f64(self.admission_ratio(now))
    }
}
