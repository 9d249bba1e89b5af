//! Admission of new programs while the servers of a service are full.
//!
//! A service is full while more requests are in flight than its servers have slots. Programs
//! under way are then always served, and new ones begin at the rate at which programs end at this
//! entry. Refused callers get a place in a schedule of returns: a request is admitted once there
//! is room for it and for all places before its own. Places are ordered by rank, then by whether
//! the program can still end in time, then by arrival. Each entry keeps the schedule of its own
//! callers.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::decay::Counter;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use crate::MIN_RETRY_AFTER;

/// Half-life of the count of ended turns. Some ten turns end at an entry in this time if it
/// serves a fiftieth of a service with 48 engines.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Ratio of requests in flight to slots at which programs begin as fast as others end. Above 1,
/// because no program is refused below the slots, so newcomers would pass callers that wait.
const TARGET_OCCUPANCY: f64 = 1.1;
/// Ratio of requests in flight to slots from which no program begins.
const MAX_OCCUPANCY: f64 = 1.3;
/// Ratio of requests in flight to slots below which programs that cannot end in time begin even if
/// others are expected back.
const MAX_OCCUPANCY_FOR_LATE: f64 = 0.95;
/// Greatest factor on the rate at which programs begin, used where slots are free again.
const MAX_RATE_FACTOR: f64 = 3.0;
/// Ratio of arriving to ending programs below which an overload counts as over. In the simulation
/// of `tests/capacity.rs`, 0.7 refused some callers 2 s after a burst, and 0.9 made more late.
const EASING_RATIO: f64 = 0.8;
/// How long programs are limited after the service was last full. Sums are about 100 ms old: all
/// entries together would admit several times too many if they stopped at the first free slot.
const FULL_HOLD: Duration = Duration::from_millis(500);
/// Programs per second that may begin at an entry where hardly any turn has ended yet. In the
/// simulation with 800 entries, 0.5 let begin more programs than end.
const MIN_PROGRAMS_PER_S: f64 = 0.1;
/// Fraction of the newcomers that may begin at an entry where fewer programs end, before the factor
/// for the occupancy. Otherwise an entry that is restarted during an overload ends no programs and
/// so begins hardly any until the overload is over.
const MIN_ADMITTED_RATIO: f64 = 0.25;
/// Lowest number of permits: callers that may not be refused again are admitted without one, and
/// a large deficit would refuse others long after there is room again.
const MIN_PERMITS: f64 = -1.0;
/// Part of a permit that may be missing when a caller returns, for rounding and a changed rate.
const PERMIT_TOLERANCE: f64 = 0.1;
/// Maximum number of places in the schedule of a service.
const MAX_PLACES: usize = 256;
/// How long a place is kept after the time at which its caller was told to return.
const RETURN_GRACE: Duration = Duration::from_millis(300);
/// Shortest delay that a caller is told. Bounds how often refused callers return.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(50);

/// Requests in flight at the usable servers of a service, and what these can run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests in flight, over all entries.
    pub in_flight: u32,
    /// Slots of the usable servers.
    pub slots: u32,
}

impl Occupancy {
    /// Whether more requests are in flight than there are slots.
    ///
    /// ```
    /// use gradedyke_policy::admission::Occupancy;
    ///
    /// assert!(!Occupancy { in_flight: 8, slots: 8 }.is_full());
    /// assert!(Occupancy { in_flight: 9, slots: 8 }.is_full());
    /// ```
    pub fn is_full(self) -> bool {
        self.slots > 0 && self.in_flight > self.slots
    }

    /// Whether there are free slots; for programs that cannot end in time, more than those that
    /// the next few ms take.
    fn has_room_for(self, is_late: bool) -> bool {
        let share = if is_late { MAX_OCCUPANCY_FOR_LATE } else { 1.0 };
        f64::from(self.in_flight) <= share * f64::from(self.slots)
    }

    /// Factor on the rate at which programs begin, so that the excess over the slots drains.
    fn rate_factor(self) -> f64 {
        let ratio = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        let factor = (MAX_OCCUPANCY - ratio) / (MAX_OCCUPANCY - TARGET_OCCUPANCY);
        factor.clamp(0.0, MAX_RATE_FACTOR)
    }
}

/// A request that begins a program.
#[derive(Clone, Copy, Debug)]
pub struct Beginning<'a> {
    /// The program; a caller without one gets no place in the schedule.
    pub program: Option<&'a Id>,
    /// Combined priority of account and route; 0 is the highest.
    pub rank: u8,
    /// How much later the program may begin and still end in time at the present pace; `None` if
    /// it cannot even if its requests never wait, `Duration::MAX` if it has no deadline.
    pub slack: Option<Duration>,
    /// The longest delay that the caller obeys.
    pub max_delay: Duration,
}

/// Result of [`Admission::decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The program begins.
    Admitted,
    /// The program does not begin now.
    Refused {
        /// Number of places before its own.
        position: usize,
        /// When the caller should return.
        retry_after: Duration,
    },
}

/// Order of the places: rank, whether the program ends late, number of the arrival.
type Order = (u8, bool, u64);

#[derive(Clone, Debug)]
struct Place {
    program: Option<Id>,
    order: Order,
    expires: Instant,
    /// Whether a newcomer of the same rank was admitted while the caller was away.
    was_passed: bool,
}

#[derive(Debug, Default)]
struct Schedule {
    /// Turns that ended at this entry.
    ended: Counter,
    /// Newcomers that arrived while programs were limited.
    arrived: Counter,
    /// Programs that may begin now.
    permits: f64,
    updated: Option<Instant>,
    last_full: Option<Instant>,
    places: Vec<Place>,
    arrivals: u64,
}

/// Rate of the counted events per second.
fn per_s(counter: &Counter, now: Instant) -> f64 {
    let count = counter.value_at(COUNT_HALF_LIFE, now);
    count * std::f64::consts::LN_2 / COUNT_HALF_LIFE.as_secs_f64()
}

impl Schedule {
    /// Programs per second that end at this entry.
    fn programs_per_s(&self, turns_per_program: f64, now: Instant) -> f64 {
        let turns_per_s = per_s(&self.ended, now);
        (turns_per_s / turns_per_program.max(1.0)).max(MIN_PROGRAMS_PER_S)
    }

    /// Whether clearly fewer programs arrive than the `rate` at which others end. Those that can
    /// still end in time then begin at once, so that callers do not wait out the end of a burst.
    fn is_easing(&self, occupancy: Occupancy, rate: f64, now: Instant) -> bool {
        per_s(&self.arrived, now) < EASING_RATIO * rate && occupancy.rate_factor() > 0.0
    }

    /// Adds the permits that accrued at `rate` since the last decision, at most one more than
    /// there are places.
    fn accrue(&mut self, rate: f64, now: Instant) {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // Threads may decide in another order than they read the time.
        self.updated = self.updated.max(Some(now));
        let max_permits = self.places.len() as f64 + 1.0;
        self.permits = (self.permits + rate * elapsed.as_secs_f64()).min(max_permits);
    }

    fn remove_place(&mut self, program: Option<&Id>) -> Option<Place> {
        let program = program?;
        let mut places = self.places.iter();
        let index = places.position(|p| p.program.as_ref() == Some(program))?;
        Some(self.places.swap_remove(index))
    }

    /// Adds a place. Where there are too many, the last in order is dropped, so that callers of
    /// low rank don't deny those of a higher one a place.
    fn add_place(&mut self, place: Place) {
        self.places.push(place);
        if self.places.len() <= MAX_PLACES {
            return;
        }
        let places = self.places.iter().enumerate();
        let last = places.max_by_key(|(_, place)| place.order);
        if let Some(index) = last.map(|(index, _)| index) {
            self.places.swap_remove(index);
        }
    }

    fn places_before(&self, order: Order) -> usize {
        self.places.iter().filter(|p| p.order < order).count()
    }

    /// Notes that a newcomer was admitted while others were away. Those of its rank are not
    /// refused again if they can still end in time.
    fn mark_passed(&mut self, rank: u8) {
        let places = self.places.iter_mut();
        places
            .filter(|p| p.order.0 == rank)
            .for_each(|p| p.was_passed = true);
    }

    /// Whether programs are limited now.
    fn is_limited(&mut self, occupancy: Occupancy, now: Instant) -> bool {
        if occupancy.is_full() {
            self.last_full = self.last_full.max(Some(now));
        }
        let since = self.last_full.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|since| since < FULL_HOLD)
    }

    /// Time until there is room for a request with this many places before it.
    fn wait(&self, before: usize, rate: f64) -> Duration {
        let missing = (before as f64 + 1.0 - self.permits).max(0.0);
        Duration::from_secs_f64(missing / rate)
    }

    fn decide(
        &mut self,
        occupancy: Occupancy,
        rate: f64,
        beginning: &Beginning<'_>,
        now: Instant,
    ) -> Decision {
        self.places.retain(|p| p.expires > now);
        let min_rate = MIN_ADMITTED_RATIO * per_s(&self.arrived, now);
        self.accrue(rate.max(min_rate) * occupancy.rate_factor(), now);
        let place = self.remove_place(beginning.program);
        let is_newcomer = place.is_none();
        if !self.is_limited(occupancy, now) {
            if is_newcomer {
                self.mark_passed(beginning.rank);
            }
            return Decision::Admitted;
        }
        self.arrivals += 1;
        let is_late = beginning.slack.is_none();
        let order = match &place {
            // A returning caller keeps its arrival number, and its class if the program has
            // become late since.
            Some(place) => (beginning.rank, place.order.1 && is_late, place.order.2),
            None => (beginning.rank, is_late, self.arrivals),
        };
        let was_passed = place.is_some_and(|p| p.was_passed);
        let before = match occupancy.has_room_for(is_late) {
            // Free slots are not kept for callers that are away.
            true => 0,
            false => self.places_before(order),
        };
        if is_newcomer {
            self.arrived.increment(COUNT_HALF_LIFE, now);
        }
        let can_begin = was_passed || self.is_easing(occupancy, rate, now);
        if can_begin && !is_late || self.permits + PERMIT_TOLERANCE >= before as f64 + 1.0 {
            self.permits = (self.permits - 1.0).max(MIN_PERMITS);
            if is_newcomer {
                self.mark_passed(beginning.rank);
            }
            return Decision::Admitted;
        }
        let place = Place {
            program: beginning.program.cloned(),
            order,
            expires: now,
            was_passed,
        };
        self.refuse(place, rate, beginning, now)
    }

    /// Gives the caller a place. A program that would be late by the time of its place goes behind
    /// those that can end in time.
    fn refuse(
        &mut self,
        mut place: Place,
        rate: f64,
        beginning: &Beginning<'_>,
        now: Instant,
    ) -> Decision {
        let mut position = self.places_before(place.order);
        let wait = self.wait(position, rate);
        if beginning.slack.is_none_or(|slack| wait > slack) {
            place.order.1 = true;
            position = self.places_before(place.order);
        }
        let retry_after = match place.order.1 {
            // Newcomers may go first, so no time can be told.
            true => MIN_RETRY_AFTER,
            false => wait,
        };
        let retry_after = retry_after.min(beginning.max_delay).max(MIN_RETURN_DELAY);
        place.expires = now + retry_after + RETURN_GRACE;
        if place.program.is_some() {
            self.add_place(place);
        }
        Decision::Refused {
            position,
            retry_after,
        }
    }
}

/// Decides which programs begin while a service is full.
#[derive(Debug, Default)]
pub struct Admission(Mutex<HashMap<String, Schedule>>);

impl Admission {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Schedule>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a turn of any program ended at a server of the service.
    pub fn record_turn_end(&self, service: &str, now: Instant) {
        let mut schedules = self.lock();
        if let Some(schedule) = schedules.get_mut(service) {
            return schedule.ended.increment(COUNT_HALF_LIFE, now);
        }
        let schedule = schedules.entry(service.to_owned()).or_default();
        schedule.ended.increment(COUNT_HALF_LIFE, now);
    }

    /// Number of callers that have a place in the schedule of the service.
    pub fn waiting(&self, service: &str) -> usize {
        self.lock().get(service).map_or(0, |s| s.places.len())
    }

    /// Decides whether a program begins at a service with this occupancy, whose programs have
    /// `turns_per_program` turns on average.
    ///
    /// ```
    /// use gradedyke_policy::admission::{Admission, Beginning, Decision, Occupancy};
    /// use gradedyke_turns::record::Id;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let admission = Admission::default();
    /// let program = Id::parse("p").unwrap();
    /// let beginning = Beginning {
    ///     program: Some(&program),
    ///     rank: 0,
    ///     slack: Some(Duration::from_secs(60)),
    ///     max_delay: Duration::from_secs(30),
    /// };
    /// let full = Occupancy { in_flight: 84, slots: 80 };
    /// let decision = admission.decide("model", full, 4.0, &beginning, now);
    /// let Decision::Refused { position: 0, retry_after } = decision else { panic!() };
    /// // The caller returns in time.
    /// let decision = admission.decide("model", full, 4.0, &beginning, now + retry_after);
    /// assert_eq!(decision, Decision::Admitted);
    /// ```
    pub fn decide(
        &self,
        service: &str,
        occupancy: Occupancy,
        turns_per_program: f64,
        beginning: &Beginning<'_>,
        now: Instant,
    ) -> Decision {
        let mut schedules = self.lock();
        let Some(schedule) = schedules.get_mut(service) else {
            if !occupancy.is_full() {
                return Decision::Admitted;
            }
            let schedule = schedules.entry(service.to_owned()).or_default();
            let rate = schedule.programs_per_s(turns_per_program, now);
            return schedule.decide(occupancy, rate, beginning, now);
        };
        let rate = schedule.programs_per_s(turns_per_program, now);
        schedule.decide(occupancy, rate, beginning, now)
    }
}

/// Whether a request is served that may begin a program or continue one, because neither its
/// conversation nor its program's attempts are known. `sample` is the hash of its program
/// ([`hash_fraction`](crate::throttle::hash_fraction)), so that a program is admitted whole or
/// not at all.
///
/// ```
/// use gradedyke_policy::admission::{Occupancy, admits_unknown};
///
/// assert!(admits_unknown(Occupancy { in_flight: 8, slots: 8 }, 0.99));
/// assert!(!admits_unknown(Occupancy { in_flight: 12, slots: 8 }, 0.99));
/// assert!(admits_unknown(Occupancy { in_flight: 12, slots: 8 }, 0.5));
/// ```
pub fn admits_unknown(occupancy: Occupancy, sample: f64) -> bool {
    !occupancy.is_full() || sample < f64::from(occupancy.slots) / f64::from(occupancy.in_flight)
}
