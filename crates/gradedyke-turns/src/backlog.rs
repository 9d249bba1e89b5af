//! What a replica has begun and not answered yet.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Age of the oldest request above which nothing more is begun: a third of what its asker
/// waits, so that what is begun is done in time. A bound on their number alone (192, at 600
/// a second) had every answer come after 320 ms, when nobody waited for it.
const STANDING: Duration = Duration::from_millis(100);
/// The same for what begins a program: nothing is lost yet by its refusal, while the loss
/// of a later turn loses all that its program has had run.
const STANDING_FIRST: Duration = Duration::from_millis(50);
/// Requests that may be in progress whatever their age: a sync's worth, so that one slow
/// read does not turn others away.
const FEW: usize = 32;

/// Whether nothing more may be begun beside `active` requests whose oldest has been in
/// progress for `age`; whether it would be a program's `first`. It answers a load beyond
/// what a replica can do, whose queue would make every answer too late.
///
/// ```
/// use gradedyke_turns::backlog;
/// use std::time::Duration;
///
/// let age = Duration::from_millis(70);
/// assert!(backlog::full(40, age, true));
/// assert!(!backlog::full(40, age, false));
/// assert!(!backlog::full(10, age, true));
/// ```
pub fn full(active: usize, age: Duration, first: bool) -> bool {
    let most = if first { STANDING_FIRST } else { STANDING };
    age > most && active >= FEW
}

#[derive(Debug, Default)]
struct Requests {
    next: u64,
    since: BTreeMap<u64, Instant>,
}

/// Requests in progress, by when they began.
#[derive(Debug, Default)]
pub struct Backlog(Mutex<Requests>);

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub struct Active<'a> {
    backlog: &'a Backlog,
    number: u64,
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.backlog.lock().since.remove(&self.number);
    }
}

impl Backlog {
    fn lock(&self) -> MutexGuard<'_, Requests> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a request, unless those in progress stand for too long; whether it is a
    /// program's `first`.
    ///
    /// ```
    /// use gradedyke_turns::backlog::Backlog;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let backlog = Backlog::default();
    /// let begun: Vec<_> = (0..40).map(|_| backlog.begin(false, now)).collect();
    /// assert!(begun.iter().all(Option::is_some));
    /// let later = now + Duration::from_millis(70);
    /// assert!(backlog.begin(true, later).is_none());
    /// assert!(backlog.begin(false, later).is_some());
    /// drop(begun);
    /// assert!(backlog.begin(true, later).is_some());
    /// ```
    pub fn begin(&self, first: bool, now: Instant) -> Option<Active<'_>> {
        let mut requests = self.lock();
        let oldest = requests.since.values().next();
        let age = oldest.map(|at| now.saturating_duration_since(*at));
        if full(requests.since.len(), age.unwrap_or_default(), first) {
            return None;
        }
        let number = requests.next;
        requests.next += 1;
        requests.since.insert(number, now);
        Some(Active {
            backlog: self,
            number,
        })
    }
}
