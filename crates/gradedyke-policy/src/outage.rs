//! Retry delays of requests that are refused because the platform's key-value store does not
//! confirm keys and configuration.
//!
//! A caller that comes back before the end of the outage has used up one of its tries; one that
//! waits longer than necessary has less time left for its request. The delay is chosen by the
//! probability that the outage ends within it, given how long it has lasted and how long former
//! ones lasted, and by the share of its time that the caller would have left.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::MIN_RETRY_AFTER;

/// Shortest outage that is recorded. While the store answers, the local data is at most 0.9 s
/// old, and 1.3 s old where calls wait longest for changes.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// Range of the random factor applied to a delay. It begins at 1, since a caller that returns
/// earlier than expected may use up its last try.
pub const JITTER: Range<f64> = 1.0..1.25;
/// Number of former outages that are remembered. The causes of outages change over time, so
/// only the latest ones tell how long the next will last.
const MAX_FORMER_OUTAGES: usize = 16;
/// Inaccuracy of a length. It counts from the last call that the store answered, so that the
/// real start is up to one call interval (0.6 s) later.
const LENGTH_TOLERANCE: Duration = Duration::from_millis(300);
/// Weight of the assumption about outages of unknown length, in observed outages.
const PRIOR_WEIGHT: f64 = 1.0;
/// Part of its remaining time for which a caller waits at most. A longer delay only adds
/// callers that do not wait for it.
const MAX_WAIT_RATIO: f64 = 1.0 / 3.0;
/// Longest delay, for callers with much time: the longest of any other refusal.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Interval between the delays that are compared.
const WAIT_STEP: Duration = Duration::from_millis(50);
/// Interval between the ages of an outage at which the best delays are compared.
const AGE_STEP: Duration = Duration::from_millis(250);

/// The outages of the store that a process has observed. It is lost with the process; without
/// it, delays follow from how long the present outage has lasted.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the last call that the store answered was sent.
    confirmed_at: Option<Instant>,
    /// Lengths of former outages, the latest last.
    lengths: VecDeque<Duration>,
}

/// A delay with the inputs that determined it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Time after which the caller should return.
    pub wait: Duration,
    /// How long the outage has lasted.
    pub lasted: Duration,
    /// Number of former outages that lasted longer.
    pub longer_outages: usize,
}

impl History {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the last call which the store answered was sent at `confirmed_at`. To be
    /// called at intervals shorter than [`MIN_OUTAGE`]. Returns the length of the outage that
    /// has ended, if one has.
    ///
    /// ```
    /// use gradedyke_policy::outage::History;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let (now, length) = (Instant::now(), Duration::from_secs(4));
    /// let history = History::default();
    /// assert_eq!(history.record_confirmation(now), None);
    /// assert_eq!(history.record_confirmation(now + length), Some(length));
    /// ```
    pub fn record_confirmation(&self, confirmed_at: Instant) -> Option<Duration> {
        let mut state = self.lock();
        let previous = state.confirmed_at.replace(confirmed_at)?;
        let length = confirmed_at.saturating_duration_since(previous);
        if length < MIN_OUTAGE {
            return None;
        }
        if state.lengths.len() >= MAX_FORMER_OUTAGES {
            state.lengths.pop_front();
        }
        state.lengths.push_back(length);
        Some(length)
    }

    /// Returns the delay for a caller with `time_left` at `now`. The last call that the store
    /// answered was sent at `confirmed_at`, and requests are refused from `refused_from` after
    /// that.
    ///
    /// The delay is the one with the greatest product of two factors: the probability that the
    /// outage ends within it, and the share of the caller's time that remains after it. It does
    /// not fall while the outage lasts: with delays that end at the same expected time, callers
    /// would return in a burst. With delays that do not fall, they return at most as often as
    /// they were refused. So the delay is the longest that was best since refusals began. It
    /// depends on the age of the outage and not on earlier callers, which differ between entries.
    ///
    /// ```
    /// use gradedyke_policy::outage::History;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let (now, second) = (Instant::now(), Duration::from_secs(1));
    /// let history = History::default();
    /// // Nothing is known about the length: as long as the caller waits.
    /// assert_eq!(history.delay(now, now + second * 5, second * 3, second * 5).wait, second);
    /// // A former outage ended after 5.2 s.
    /// history.record_confirmation(now);
    /// history.record_confirmation(now + second.mul_f64(5.2));
    /// let wait = history.delay(now, now + second * 5, second * 3, second * 5).wait;
    /// assert_eq!(wait, second / 2);
    /// ```
    pub fn delay(
        &self,
        confirmed_at: Instant,
        now: Instant,
        time_left: Duration,
        refused_from: Duration,
    ) -> Delay {
        let lasted = now.saturating_duration_since(confirmed_at);
        let state = self.lock();
        let wait = longest_wait(&state.lengths, refused_from, lasted, time_left);
        Delay {
            wait,
            lasted,
            longer_outages: state.lengths.iter().filter(|l| **l > lasted).count(),
        }
    }
}

/// Returns the greatest of the best delays since refusals began, at `refused_from` after the
/// start of the outage.
fn longest_wait(
    lengths: &VecDeque<Duration>,
    refused_from: Duration,
    lasted: Duration,
    time_left: Duration,
) -> Duration {
    let max_wait = time_left.mul_f64(MAX_WAIT_RATIO).min(MAX_WAIT);
    if max_wait <= MIN_RETRY_AFTER {
        return MIN_RETRY_AFTER;
    }
    let mut age = refused_from.min(lasted);
    let mut longest = Duration::ZERO;
    while age <= lasted && longest < max_wait {
        longest = longest.max(best_wait(lengths, age, time_left, max_wait));
        age += AGE_STEP;
    }
    longest
}

/// Returns the delay with the greatest value, from [`MIN_RETRY_AFTER`] to `max_wait`.
fn best_wait(
    lengths: &VecDeque<Duration>,
    lasted: Duration,
    time_left: Duration,
    max_wait: Duration,
) -> Duration {
    let value = |wait: Duration| {
        let time_ratio = 1.0 - wait.div_duration_f64(time_left);
        end_probability(lengths, lasted, wait) * time_ratio
    };
    let mut best = (max_wait, value(max_wait));
    let mut wait = MIN_RETRY_AFTER;
    while wait < max_wait {
        let value = value(wait);
        if value > best.1 {
            best = (wait, value);
        }
        wait += WAIT_STEP;
    }
    best.0
}

/// Returns the probability that an outage which has lasted for `lasted` ends within `wait`.
fn end_probability(lengths: &VecDeque<Duration>, lasted: Duration, wait: Duration) -> f64 {
    let still_lasting = survival(lengths, lasted);
    1.0 - survival(lengths, lasted + wait) / still_lasting
}

/// Returns how many of the former outages lasted longer than `time`, plus the prior. The prior
/// is that half of the outages which have lasted for some time last at least twice as long.
fn survival(lengths: &VecDeque<Duration>, time: Duration) -> f64 {
    let prior = MIN_OUTAGE.div_duration_f64(time.max(MIN_OUTAGE));
    let lasting = lengths.iter().map(|length| longer_fraction(*length, time));
    PRIOR_WEIGHT * prior + lasting.sum::<f64>()
}

/// Returns the probability that an outage of the recorded `length` lasted longer than `time`.
fn longer_fraction(length: Duration, time: Duration) -> f64 {
    let margin = (length + LENGTH_TOLERANCE).saturating_sub(time);
    margin.div_duration_f64(LENGTH_TOLERANCE * 2).min(1.0)
}
