//! The end of a process that was asked to stop.

use tokio::time::Instant;

/// When a process that was asked to stop ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When the process stops accepting connections. A request that arrives later was on its way
    /// when its connection was about to be closed.
    pub closes_at: Instant,
    /// When requests in progress are given up.
    pub ends_at: Instant,
}

impl Stop {
    /// Whether a request with this deadline, which is about to be sent to a server at `now`, may be
    /// cut off by the end of the process. Requests from before [`closes_at`](Self::closes_at) are
    /// sent: nearly all of them end in time, and a refusal would cost their callers a try.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradedyke_gateway::entry::stop::Stop;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let after = |s| now + Duration::from_secs(s);
    /// let stop = Stop { closes_at: after(2), ends_at: after(8) };
    /// assert!(!stop.may_cut(after(9), after(1)));
    /// assert!(!stop.may_cut(after(7), after(3)));
    /// assert!(stop.may_cut(after(9), after(3)));
    /// ```
    pub fn may_cut(&self, deadline: Instant, now: Instant) -> bool {
        now >= self.closes_at && deadline > self.ends_at
    }
}
