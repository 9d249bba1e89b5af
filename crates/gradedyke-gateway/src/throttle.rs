//! Whether a program may begin while keepers have more to do than they can.
//!
//! A program ends whole only if each of its turns is let in, so keepers that turn turns
//! away as they come lose the longest programs first, and with them all that these have
//! had run. An entry therefore lets fewer programs begin when turns are refused for want
//! of keepers that are there, and those under way go on. It needs to know no rate: the
//! share of turns that are refused tells how many programs are too many, and falls as
//! fewer begin. With the keepers' bound on the age of what they begin: see
//! `tests/overload.rs` for the loads that it answers and what programs get under them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Count;
use gradedyke_turns::pressure::Pressure;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use crate::entry::refusal::SOON;

/// Time in which refusals and turns let in count half: two waits of callers that were told
/// to come back, so that a burst is met in its first second.
const HALF: Duration = Duration::from_millis(500);
/// Turns let in that count besides those that were, so that one refusal alone closes
/// nothing.
const PRIOR: f64 = 2.0;
/// Share of turns that may be refused before fewer programs begin: callers send a refused
/// turn again up to twice, so at one in ten a turn is lost once in a thousand.
const BEARABLE: f64 = 0.1;
/// Share of turns refused from which on no program begins but those that try it out.
const HOPELESS: f64 = 0.5;
/// Time of an exchange above which keepers count as having too much to do: half of what a
/// turn gives them.
const LATE: Duration = Duration::from_millis(150);
/// How long what keepers told counts: two waits of a caller that was told to come back.
const TOLD: Duration = Duration::from_millis(1_000);
/// Least share of programs that may begin, to see whether keepers have caught up.
const TRIES: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    let_in: Count,
    refused: Count,
    told: Option<(Pressure, Instant)>,
}

impl Counts {
    /// Share of turns that are refused: as keepers told lately, and otherwise as seen here.
    fn lost(&self, now: Instant) -> f64 {
        let lately = |at: Instant| now.saturating_duration_since(at) < TOLD;
        if let Some((pressure, at)) = self.told
            && lately(at)
        {
            return pressure.share();
        }
        let refused = self.refused.at(HALF, now);
        refused / (self.let_in.at(HALF, now) + PRIOR + refused)
    }
}

/// A number from 0 to 1 that follows from a program's name, the same at every entry.
///
/// ```
/// use gradedyke_gateway::throttle;
/// use gradedyke_turns::record::Id;
///
/// let program = Id::parse("p").unwrap();
/// assert!((0.0..1.0).contains(&throttle::draw(&program)));
/// ```
pub fn draw(program: &Id) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    program.hash(&mut hasher);
    f64::from((hasher.finish() >> 32) as u32) / (f64::from(u32::MAX) + 1.0)
}

/// What this entry has seen of its keepers.
#[derive(Debug, Default)]
pub struct Throttle(Mutex<Counts>);

impl Throttle {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that keepers let a turn in, and took that long. Late answers are the first
    /// sign of too much to do: refusals come when it is too late for those under way.
    pub fn let_in(&self, took: Duration, now: Instant) {
        if took > LATE {
            return self.refused(now);
        }
        self.lock().let_in.add(HALF, now);
    }

    /// Notes that keepers which are there had too much to do for a turn.
    pub fn refused(&self, now: Instant) {
        self.lock().refused.add(HALF, now);
    }

    /// Takes in how keepers keep up, as told at `at`. They see the turns of all entries,
    /// of which this one has too few to tell.
    pub fn told(&self, pressure: Pressure, at: Instant) {
        self.lock().told = Some((pressure, at));
    }

    /// Share of programs that may begin, 0 to 1.
    ///
    /// ```
    /// use gradedyke_gateway::throttle::Throttle;
    ///
    /// let now = tokio::time::Instant::now();
    /// let throttle = Throttle::default();
    /// assert_eq!(throttle.share(now), 1.0);
    /// (0..20).for_each(|_| throttle.refused(now));
    /// assert!(throttle.share(now) < 0.1);
    /// ```
    pub fn share(&self, now: Instant) -> f64 {
        let lost = self.lock().lost(now);
        let share = (HOPELESS - lost) / (HOPELESS - BEARABLE);
        share.clamp(TRIES, 1.0)
    }

    /// Whether a program may begin. `draw`, 0 to 1, is drawn for it.
    pub fn admits(&self, draw: f64, now: Instant) -> bool {
        draw < self.share(now)
    }

    /// In how long a caller that was refused for want of keepers may expect to be let in:
    /// the longer, the fewer programs may begin.
    ///
    /// ```
    /// use gradedyke_gateway::throttle::Throttle;
    /// use std::time::Duration;
    ///
    /// let throttle = Throttle::default();
    /// let wait = throttle.wait(tokio::time::Instant::now());
    /// assert_eq!(wait, Duration::from_millis(250));
    /// ```
    pub fn wait(&self, now: Instant) -> Duration {
        SOON.div_f64(self.share(now))
    }
}
