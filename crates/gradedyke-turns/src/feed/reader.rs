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

/// Time without fresh news from a keeper after which the service itself is read: a wait
/// for news, and a change of the source.
const ALONE: Duration = Duration::from_millis(700);
/// Age of a copy above which the service itself is read, whoever brings news. It is 1.3 s
/// at most on the usual way: watches of the service answer every 0.7 s, and news come
/// two hops of 0.3 s.
const TOO_OLD: Duration = Duration::from_millis(1_600);

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
/// How long a process goes on reading, so that a source that comes and goes does not have
/// it begin again and again.
const HOLD: Duration = Duration::from_secs(3);

/// The decision of a process that hears from keepers. Where entries that heard from each
/// other did not read, all of them were up to 2.8 s behind when no keeper was there, and are
/// 0.5 s behind with this (eight and 58 entries in virtual time, a change every 0.25 s). It
/// costs each entry 4 calls a second under such changes and 1.4 otherwise, while keepers are
/// gone and for 3 s after.
#[derive(Debug)]
pub struct Reader(Mutex<State>);

#[derive(Debug)]
struct State {
    /// When a keeper last brought fresh news, or may be expected to have done so.
    supplied: Instant,
    hold: Hold,
}

impl Reader {
    /// The decision of a process that starts at `now`, and to which a keeper may take
    /// `start` to bring the first news.
    pub fn new(now: Instant, start: Duration) -> Self {
        Self(Mutex::new(State {
            supplied: now + start,
            hold: Hold::default(),
        }))
    }

    /// Notes that a keeper brought fresh news.
    pub fn supplied(&self, now: Instant) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .supplied = now;
    }

    /// Whether the service is read at `now`, when the copy has this `age`; none before it
    /// was ever confirmed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_turns::feed::{ENTRY_START, Reader};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let after = |ms| now + Duration::from_millis(ms);
    /// let young = Some(Duration::from_millis(100));
    /// let reader = Reader::new(now, ENTRY_START);
    /// assert!(!reader.reads(None, now));
    /// // No keeper brings news, whoever else does.
    /// assert!(reader.reads(young, after(2_800)));
    /// // It goes on for a while when one does.
    /// reader.supplied(after(3_000));
    /// assert!(reader.reads(young, after(3_100)));
    /// reader.supplied(after(6_000));
    /// assert!(!reader.reads(young, after(6_100)));
    /// // What keepers bring is too old.
    /// assert!(reader.reads(Some(Duration::from_secs(2)), after(6_200)));
    /// ```
    pub fn reads(&self, age: Option<Duration>, now: Instant) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let alone = now.saturating_duration_since(state.supplied) > ALONE;
        let old = age.is_some_and(|a| a > TOO_OLD);
        state.hold.reads(alone || old, now)
    }
}

/// Whether a watcher that stands by reads the platform's service itself. With two that
/// always do, and a start at which all keepers do, a calm day of 48 s of a deployment with 26
/// instances took 290 calls; with both changed 125 and 123 (two runs).
#[derive(Debug, Default)]
pub struct Standby(Mutex<Hold>);

impl Standby {
    /// Whether it does so at `now`, when its copy has this `age` and the first watcher
    /// is `down` or not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let standby = gradedyke_turns::feed::Standby::default();
    /// let fresh = Some(Duration::from_millis(500));
    /// assert!(!standby.reads(fresh, false, now));
    /// assert!(standby.reads(fresh, true, now));
    /// assert!(standby.reads(fresh, false, now + Duration::from_secs(1)));
    /// assert!(!standby.reads(fresh, false, now + Duration::from_secs(4)));
    /// ```
    pub fn reads(&self, age: Option<Duration>, down: bool, now: Instant) -> bool {
        let mut hold = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        hold.reads(down || age.is_none_or(|a| a > LATE), now)
    }
}

/// Goes on reading for a while.
#[derive(Debug, Default)]
struct Hold(Option<Instant>);

impl Hold {
    /// Whether the service is read at `now`, when it `must` be or need not.
    fn reads(&mut self, must: bool, now: Instant) -> bool {
        if must {
            self.0 = Some(now);
        }
        self.0
            .is_some_and(|s| now.saturating_duration_since(s) < HOLD)
    }
}
