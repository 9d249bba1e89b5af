//! Whether a process reads the platform's service itself.
//!
//! Few do: the keepers that watch it. All others hear from these, and read it themselves
//! while no keeper brings them fresh news, or when their copy is too old whichever way it
//! comes. What another entry tells keeps a copy young, but never ends the reading: it may
//! come from the reader itself.
//!
//! A process therefore knows each change after at most the greater of two times and one
//! look: [`ALONE`] where keepers are gone, and [`TOO_OLD`] where they have nothing new. The
//! least time in which a change must be in force is 2 s.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::mirror::Need;

/// Time without fresh news from a keeper after which the service itself is read: a wait
/// for news, and a change of the source.
const ALONE: Duration = Duration::from_millis(700);
/// Age of a copy above which the service itself is read, whoever brings news. On the usual
/// way it is 1.6 s at most: watches of the service answer every 0.7 s, and news come three
/// hops of 0.3 s where a keeper hears from the watcher that stands by. With 1.6 s in place
/// of 1.8 s a quarter of 57 entries read the service every few seconds on a calm day.
const TOO_OLD: Duration = Duration::from_millis(1_800);

/// Time that the feed of an entry has at the start of its process, when all others
/// may be starting too: what a keeper takes to start and to read the service.
pub const ENTRY_START: Duration = Duration::from_secs(2);
/// The same of a keeper, for which the seeds read the service: those start within
/// 0.3 s of it.
pub const KEEPER_START: Duration = Duration::from_millis(400);

/// Age of the copy above which a watcher that stands by reads the service itself. The
/// first hears from it every 0.72 s, and is heard itself every 0.3 s; entries look for
/// another source at 1.3 s.
const LATE: Duration = Duration::from_millis(1_100);
/// How long it goes on then, so that a first watcher that comes and goes does not have
/// it begin again and again.
const HOLD: Duration = Duration::from_secs(3);

/// The decision of a process that hears from keepers. Where entries that heard from each
/// other did not read, all of them were up to 2.8 s behind when no keeper was there, and are
/// 0.5 s behind with this (eight and 58 entries in virtual time, a change every 0.25 s). It
/// costs each entry 4 calls a second under such changes and 1.6 otherwise, while keepers are
/// gone.
#[derive(Debug)]
pub struct Reader(Mutex<State>);

#[derive(Debug)]
struct State {
    /// When a keeper last brought fresh news, or may be expected to have done so.
    supplied: Instant,
    /// When a keeper last told anything, the same.
    heard: Instant,
}

impl Reader {
    /// The decision of a process that starts at `now`, and to which a keeper may take
    /// `start` to bring the first news.
    pub fn new(now: Instant, start: Duration) -> Self {
        Self(Mutex::new(State {
            supplied: now + start,
            heard: now + start,
        }))
    }

    /// Notes that a keeper told what it knows, and whether that was fresh.
    pub fn heard(&self, fresh: bool, now: Instant) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
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
    /// let reader = Reader::new(now, ENTRY_START);
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
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let long = |since| now.saturating_duration_since(since) > ALONE;
        let old = age.map_or(long(state.heard), |age| age > TOO_OLD);
        match (old, long(state.supplied), long(state.heard)) {
            (true, _, true) => Need::High,
            (true, ..) | (_, true, _) => Need::Low,
            _ => Need::None,
        }
    }
}

/// Whether a watcher that stands by reads the platform's service itself. With two that
/// always do, and a start at which all keepers do, a calm day of 48 s of a deployment with 26
/// instances took 290 calls; with both changed 125 and 123 (two runs).
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
