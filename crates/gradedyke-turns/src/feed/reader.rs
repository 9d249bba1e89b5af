//! Whether a process reads the platform's service itself.
//!
//! Few do: the keepers that watch it. All others hear from these, and read it themselves
//! while no keeper brings them fresh news, or when their copy is too old whichever way it
//! comes. What another entry tells keeps a copy young, but never ends the reading: it may
//! come from the reader itself.
//!
//! A process therefore knows each change after at most the greater of two times and one
//! look: [`ALONE`] where keepers are gone, and [`TOO_OLD`] where they have nothing new. Both
//! are shares of the time in which a change must be in force: the service is read no earlier
//! than that asks for, because many read it together then.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::mirror::Need;

/// Time without fresh news from a keeper after which the service itself is read, as a share
/// of the time in which a change must be in force.
const ALONE: f64 = 0.35;
/// Age of a copy above which another source is asked, as the same share.
const STALE: f64 = 0.65;
/// Age of a copy above which the service itself is read, whoever brings news, as the same
/// share. The rest is for a look and a call.
const TOO_OLD: f64 = 0.9;

/// Time that the feed of an entry has at the start of its process, when all others
/// may be starting too: what a keeper takes to start and to read the service.
pub const ENTRY_START: Duration = Duration::from_secs(2);
/// The same of a keeper, for which the seeds read the service: those start within
/// 0.3 s of it.
pub const KEEPER_START: Duration = Duration::from_millis(400);

/// Age of the copy above which a watcher that stands by reads the service itself.
const LATE: Duration = Duration::from_millis(1_100);
/// How long it goes on then, so that a first watcher that comes and goes does not have
/// it begin again and again.
const HOLD: Duration = Duration::from_secs(3);

/// The decision of a process that hears from keepers.
#[derive(Debug)]
pub struct Reader {
    /// The time in which a change must be in force.
    in_force: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// When a keeper last brought fresh news, or may be expected to have done so.
    supplied: Instant,
    /// When a keeper last told anything, the same.
    heard: Instant,
}

impl Reader {
    /// The decision of a process that starts at `now`, and to which a keeper may take
    /// `start` to bring the first news. A change must be in force after `in_force`.
    pub fn new(now: Instant, start: Duration, in_force: Duration) -> Self {
        let state = State {
            supplied: now + start,
            heard: now + start,
        };
        Self {
            in_force,
            state: Mutex::new(state),
        }
    }

    /// Whether a copy of this age is young enough to follow.
    pub fn fresh(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.in_force.mul_f64(STALE))
    }

    /// Notes that a keeper told what it knows, and whether that was fresh.
    pub fn heard(&self, fresh: bool, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.heard = now;
        if fresh {
            state.supplied = now;
        }
    }

    /// How much the service has to be read at `now`, when the copy has this `age`; none
    /// before it was ever confirmed. Keepers that have old news are trying to read the
    /// service themselves, so the need is low while they are there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_turns::feed::{ENTRY_START, Reader};
    /// use gradedyke_turns::mirror::Need;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let after = |ms| now + Duration::from_millis(ms);
    /// let (young, old) = (Some(Duration::from_millis(100)), Some(Duration::from_secs(2)));
    /// let reader = Reader::new(now, ENTRY_START, Duration::from_secs(2));
    /// assert_eq!(reader.need(None, now), Need::None);
    /// // No keeper brings news, whoever else does.
    /// assert_eq!(reader.need(young, after(2_800)), Need::Low);
    /// assert_eq!(reader.need(old, after(2_800)), Need::High);
    /// // What they bring is old.
    /// reader.heard(false, after(3_000));
    /// assert_eq!(reader.need(old, after(3_100)), Need::Low);
    /// reader.heard(true, after(3_200));
    /// assert_eq!(reader.need(young, after(3_300)), Need::None);
    /// ```
    pub fn need(&self, age: Option<Duration>, now: Instant) -> Need {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let alone = self.in_force.mul_f64(ALONE);
        let too_old = self.in_force.mul_f64(TOO_OLD);
        let long = |since| now.saturating_duration_since(since) > alone;
        let old = age.map_or(long(state.heard), |age| age > too_old);
        match (old, long(state.supplied), long(state.heard)) {
            (true, _, true) => Need::High,
            (true, ..) | (_, true, _) => Need::Low,
            _ => Need::None,
        }
    }
}

/// Whether a watcher that stands by reads the platform's service itself.
#[derive(Debug, Default)]
pub struct Standby(Mutex<Option<Instant>>);

impl Standby {
    /// Whether it has to do so at `now`, when its copy has this `age` and the first watcher
    /// is `down` or not.
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
    pub fn need(&self, age: Option<Duration>, down: bool, now: Instant) -> Need {
        let mut since = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if down || age.is_none_or(|a| a > LATE) {
            *since = Some(now);
        }
        let holds = since.is_some_and(|s| now.saturating_duration_since(s) < HOLD);
        if holds { Need::High } else { Need::None }
    }
}
