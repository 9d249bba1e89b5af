//! Decides whether a process reads the platform's key-value store itself.
//!
//! Usually only the replicas that watch the store read it. The other processes follow them,
//! and read the store themselves while no replica sends fresh updates, or when their copy
//! is too old. Updates from another entry keep the copy fresh, but do not stop this process
//! from reading the store: they may originate from this process.
//!
//! The propagation limit is the time within which a change must take effect. A process
//! starts to read when replicas have not sent a fresh update for [`UPDATE_TIMEOUT_RATIO`]
//! of the propagation limit, or when its copy is older than [`MAX_AGE_RATIO`] of it.
//!
//! Replicas that answer with stale copies are trying to read the store themselves, and a listing by
//! each process would overload the store. So the need is low at first, and high only if they do not
//! recover. The processes then begin at random times, few at first, and the others get a fresh copy
//! from these: the number of listings does not grow with the deployment. Until then they read the
//! configuration alone.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::mirror::Need;

/// Time without a fresh update from a replica after which the store itself is read, as a
/// fraction of the propagation limit.
const UPDATE_TIMEOUT_RATIO: f64 = 0.35;
/// Age above which a copy is stale and another source is selected, as a fraction of the
/// propagation limit.
const STALE_AGE_RATIO: f64 = 0.65;
/// Age of a copy above which the store itself is read even while replicas answer, as a fraction of
/// the propagation limit.
const MAX_AGE_RATIO: f64 = 0.9;

/// Time for which replicas may answer with stale copies before the need is high.
const STALE_REPLICAS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Range of the random time that is added to it. Several times what a fresh copy takes to spread
/// from one process to the others.
const STALE_REPLICAS_SPREAD: Duration = Duration::from_millis(15_000);
/// Growth of the number of processes whose random time has passed, over the whole range, as the
/// exponent of e. Of 20,000 processes, one or two begin in the first tenth.
const SPREAD_EXPONENT: f64 = 10.0;

/// Grace period of an entry after its start, in which replicas, which may be starting
/// too, read the store.
pub const ENTRY_START_GRACE: Duration = Duration::from_secs(2);
/// Time after its start during which a replica waits for updates before it reads the store.
/// The primary watcher, and without a view the seeds, do not wait.
pub const KEEPER_START_GRACE: Duration = Duration::from_millis(400);

/// Age of the copy above which a standby reads the store itself.
const STANDBY_MAX_AGE: Duration = Duration::from_millis(1_100);
/// Shortest time for which a standby reads, so that a primary watcher that fails
/// intermittently does not make it start again and again.
const STANDBY_MIN_READ_TIME: Duration = Duration::from_secs(3);

/// Decides how urgently a process that follows replicas has to read the store itself.
#[derive(Debug)]
pub struct Policy {
    /// The time within which a change must take effect.
    propagation_limit: Duration,
    /// Time with a copy that is too old after which the need is high.
    stale_replicas_timeout: Duration,
    state: Mutex<State>,
}

/// Returns a time up to [`STALE_REPLICAS_SPREAD`] for a `random` number from 0 to 1. Most times are
/// near the end.
fn spread(random: f64) -> Duration {
    let growth = SPREAD_EXPONENT.exp_m1();
    STALE_REPLICAS_SPREAD.mul_f64((random * growth).ln_1p() / SPREAD_EXPONENT)
}

#[derive(Debug)]
struct State {
    /// When a replica last sent a fresh update; initially the end of the grace period.
    fresh_at: Instant,
    /// When a replica last sent any update; initially the end of the grace period.
    answered_at: Instant,
    /// Since when the copy has been too old; `None` if it is not.
    too_old_since: Option<Instant>,
}

impl Policy {
    /// Creates the policy of a process that starts at `now` and waits `grace` for the
    /// first update. A change must take effect within `propagation_limit`.
    pub fn new(now: Instant, grace: Duration, propagation_limit: Duration) -> Self {
        let state = State {
            fresh_at: now + grace,
            answered_at: now + grace,
            too_old_since: None,
        };
        Self {
            propagation_limit,
            stale_replicas_timeout: STALE_REPLICAS_TIMEOUT + spread(rand::random()),
            state: Mutex::new(state),
        }
    }

    /// Whether a copy of this age is fresh enough to follow.
    pub fn is_fresh(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.propagation_limit.mul_f64(STALE_AGE_RATIO))
    }

    /// Records an update from a replica, and whether its copy was fresh.
    pub fn record_update(&self, is_fresh: bool, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.answered_at = now;
        if is_fresh {
            state.fresh_at = now;
        }
    }

    /// Whether replicas have not sent a fresh update for so long that other processes are asked.
    pub fn is_without_fresh_replica(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        now.saturating_duration_since(state.fresh_at) > self.update_timeout()
    }

    fn update_timeout(&self) -> Duration {
        self.propagation_limit.mul_f64(UPDATE_TIMEOUT_RATIO)
    }

    /// How urgently this process has to read the store at `now`. `age` is the time since it
    /// received the last confirmation of its copy, `None` if the store never confirmed it, and
    /// `complete_as_of` is when the confirmed call was sent. The two differ by the time that the
    /// confirmation took on its way, or lay unread while the process was suspended.
    ///
    /// Replicas with stale copies are trying to read the store themselves, so the need is low while
    /// they answer, unless they fail for long.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_turns::feed::{ENTRY_START_GRACE, Policy};
    /// use gradedyke_turns::mirror::Need;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let after = |ms| now + Duration::from_millis(ms);
    /// let (fresh, stale) = (Some(Duration::from_millis(100)), Some(Duration::from_secs(2)));
    /// let policy = Policy::new(now, ENTRY_START_GRACE, Duration::from_secs(2));
    /// assert_eq!(policy.need(None, None, now), Need::None);
    /// // No replica sends updates.
    /// assert_eq!(policy.need(fresh, Some(after(2_600)), after(2_800)), Need::Low);
    /// assert_eq!(policy.need(stale, Some(now), after(2_800)), Need::High);
    /// // Replicas send stale updates.
    /// policy.record_update(false, after(3_000));
    /// assert_eq!(policy.need(stale, Some(after(1_000)), after(3_100)), Need::Low);
    /// policy.record_update(true, after(3_200));
    /// assert_eq!(policy.need(fresh, Some(after(3_100)), after(3_300)), Need::None);
    /// // The confirmation took 2 s to arrive.
    /// assert_eq!(policy.need(fresh, Some(after(1_200)), after(3_300)), Need::Low);
    /// ```
    pub fn need(
        &self,
        age: Option<Duration>,
        complete_as_of: Option<Instant>,
        now: Instant,
    ) -> Need {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let timeout = self.update_timeout();
        let max_age = self.propagation_limit.mul_f64(MAX_AGE_RATIO);
        let timed_out = |since| now.saturating_duration_since(since) > timeout;
        let is_outdated = complete_as_of
            .is_some_and(|at| now.saturating_duration_since(at) > self.propagation_limit);
        let too_old = is_outdated || age.map_or(timed_out(state.answered_at), |age| age > max_age);
        if !too_old {
            state.too_old_since = None;
        } else if now.saturating_duration_since(*state.too_old_since.get_or_insert(now))
            > self.stale_replicas_timeout
        {
            return Need::High;
        }
        match (
            too_old,
            timed_out(state.fresh_at),
            timed_out(state.answered_at),
        ) {
            (true, _, true) => Need::High,
            (true, ..) | (_, true, _) => Need::Low,
            _ => Need::None,
        }
    }
}

/// Decides whether a standby reads the platform's key-value store itself, in place of the primary
/// watcher.
#[derive(Debug, Default)]
pub struct Standby(Mutex<Option<Instant>>);

impl Standby {
    /// How urgently the standby has to read the store at `now`. `age` is the age of its
    /// copy, and `is_primary_down` says whether the primary watcher is down.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_turns::mirror::Need;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let standby = gradedyke_turns::feed::Standby::default();
    /// let fresh = Some(Duration::from_millis(500));
    /// let after = |s| now + Duration::from_secs(s);
    /// assert_eq!(standby.need(fresh, false, now), Need::None);
    /// assert_eq!(standby.need(fresh, true, now), Need::High);
    /// assert_eq!(standby.need(fresh, false, after(1)), Need::High);
    /// assert_eq!(standby.need(fresh, false, after(4)), Need::None);
    /// ```
    pub fn need(&self, age: Option<Duration>, is_primary_down: bool, now: Instant) -> Need {
        let mut triggered_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if is_primary_down || age.is_none_or(|a| a > STANDBY_MAX_AGE) {
            *triggered_at = Some(now);
        }
        let is_active = triggered_at
            .is_some_and(|at| now.saturating_duration_since(at) < STANDBY_MIN_READ_TIME);
        if is_active { Need::High } else { Need::None }
    }
}
