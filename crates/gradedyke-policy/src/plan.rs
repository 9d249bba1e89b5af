//! What a program that begins is expected to need, window by window.
//!
//! The keepers add up what programs plan in the buckets of the last window, like the requests that
//! ran ([`gradedyke_turns::usage`]). A program enters what it needs within a window when it
//! begins, and again for each further window that it is expected to run. Where programs make
//! their requests evenly, the requests of any window are then a mean of such sums, so they keep
//! within the limit if each sum does.

use std::time::Duration;

use gradedyke_turns::usage::BUCKETS_PER_WINDOW;

/// Longest time that is planned ahead, in windows. It bounds the memory for a program whose
/// caller announces a very long one.
const MAX_PLANNED_WINDOWS: u32 = 12;

/// The requests that a program is expected to make, evenly over its duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Number of requests of the whole program.
    pub requests: u32,
    /// Time from the first to the last of them; zero plans all of them at the start.
    pub duration: Duration,
}

/// Planned requests of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of the bucket.
    pub bucket: u64,
    /// Number of requests.
    pub requests: u32,
}

impl Plan {
    /// Creates a plan whose requests are all made at the start.
    pub fn at_start(requests: u32) -> Self {
        Self {
            requests,
            duration: Duration::ZERO,
        }
    }

    /// Requests before the end of the window with this number, counted from the start.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn requests_before(&self, windows: u32, window: Duration) -> u32 {
        let end_s = window.as_secs_f64() * f64::from(windows);
        let duration_s = self.duration.as_secs_f64();
        if windows == 0 || end_s >= duration_s {
            return self.requests * windows.min(1);
        }
        let requests = (f64::from(self.requests) * end_s / duration_s).round() as u32;
        // The first window holds at least the first turn, by which a charge is known to begin a
        // program.
        requests.max(self.requests.min(1))
    }

    /// What the program needs within a window.
    ///
    /// ```
    /// use gradedyke_policy::plan::Plan;
    /// use std::time::Duration;
    ///
    /// let plan = Plan { requests: 30, duration: Duration::from_secs(6) };
    /// assert_eq!(plan.requests_in(Duration::from_secs(5)), 25);
    /// assert_eq!(plan.requests_in(Duration::from_secs(8)), 30);
    /// // A slow program needs at least its first turn.
    /// let plan = Plan { requests: 3, duration: Duration::from_secs(45) };
    /// assert_eq!(plan.requests_in(Duration::from_secs(5)), 1);
    /// ```
    pub fn requests_in(&self, window: Duration) -> u32 {
        self.requests_before(1, window)
    }

    /// The buckets in which a program that begins in the bucket `start` is entered, without those
    /// in which it needs nothing. All but the first are later and due when their time has come.
    ///
    /// ```
    /// use gradedyke_policy::plan::Plan;
    /// use std::time::Duration;
    ///
    /// let plan = Plan { requests: 30, duration: Duration::from_secs(6) };
    /// let shares = plan.shares(7, Duration::from_secs(5));
    /// assert!(shares.map(|s| (s.bucket, s.requests)).eq([(7, 25), (27, 5)]));
    /// // Windows without requests don't end the plan of a slow program.
    /// let plan = Plan { requests: 3, duration: Duration::from_secs(30) };
    /// let shares = plan.shares(0, Duration::from_secs(5));
    /// assert!(shares.map(|s| (s.bucket, s.requests)).eq([(0, 1), (40, 1), (80, 1)]));
    /// ```
    pub fn shares(&self, start: u64, window: Duration) -> impl Iterator<Item = Share> + use<> {
        let plan = *self;
        let shares = (0..MAX_PLANNED_WINDOWS).map(move |number| Share {
            bucket: start + u64::from(number * BUCKETS_PER_WINDOW),
            requests: plan.requests_before(number + 1, window)
                - plan.requests_before(number, window),
        });
        shares.filter(|share| share.requests > 0)
    }
}
