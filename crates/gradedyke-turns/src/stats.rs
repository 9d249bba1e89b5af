//! Request statistics of a replica, logged about once a second while it is overloaded.
//!
//! The statistics cover the number of requests of each kind, how long requests waited to be
//! read, and how long responses took.

use std::time::Duration;

use tokio::time::Instant;

use crate::message::Request;

/// Minimum length of a window.
const MIN_WINDOW: Duration = Duration::from_secs(1);
/// Queue delay from which a replica is considered overloaded.
const OVERLOAD_QUEUE_DELAY: Duration = Duration::from_millis(50);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Begin an attempt.
    Begin,
    /// Store records.
    Keep,
    /// Anything else, mostly reads.
    Read,
}

impl RequestKind {
    /// Returns the kind of a request.
    pub fn of(request: &Request) -> Self {
        match request {
            Request::Begin(_) => RequestKind::Begin,
            Request::Keep { .. } | Request::KeepAll { .. } => RequestKind::Keep,
            _ => RequestKind::Read,
        }
    }

    /// Returns the label value used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestKind::Begin => "begin",
            RequestKind::Keep => "keep",
            RequestKind::Read => "read",
        }
    }
}

/// Statistics of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowStats {
    /// Requests to begin an attempt.
    pub begins: u32,
    /// Requests to store records.
    pub keeps: u32,
    /// All other requests.
    pub reads: u32,
    /// Requests that were rejected.
    pub rejected: u32,
    /// Longest time that a request waited to be read.
    pub max_queue_delay: Duration,
    /// Longest response time of requests to begin an attempt or store records, without the time
    /// waiting to be read.
    pub max_response_time: Duration,
}

/// Collects the statistics of the current window.
#[derive(Debug)]
pub struct RequestStats {
    window_start: Instant,
    window: WindowStats,
}

impl RequestStats {
    /// Starts the first window.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            window: WindowStats::default(),
        }
    }

    /// Counts a request that waited `queue_delay` to be read.
    pub fn record_request(&mut self, kind: RequestKind, queue_delay: Duration) {
        let count = match kind {
            RequestKind::Begin => &mut self.window.begins,
            RequestKind::Keep => &mut self.window.keeps,
            RequestKind::Read => &mut self.window.reads,
        };
        *count += 1;
        self.window.max_queue_delay = self.window.max_queue_delay.max(queue_delay);
    }

    /// Counts a request that was rejected.
    pub fn record_rejection(&mut self) {
        self.window.rejected += 1;
    }

    /// Records the response time of a request to begin an attempt or to store records.
    pub fn record_response_time(&mut self, elapsed: Duration) {
        self.window.max_response_time = self.window.max_response_time.max(elapsed);
    }

    /// Ends the current window if it is long enough, and starts a new one. Returns the ended
    /// window if the replica was overloaded in it.
    ///
    /// ```
    /// use gradedyke_turns::stats::{RequestKind, RequestStats};
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    ///
    /// let start = Instant::now();
    /// let mut stats = RequestStats::new(start);
    /// stats.record_request(RequestKind::Begin, Duration::from_millis(80));
    /// assert_eq!(stats.finish_window(start), None);
    /// let window = stats.finish_window(start + Duration::from_secs(1)).unwrap();
    /// assert_eq!(window.begins, 1);
    /// ```
    pub fn finish_window(&mut self, now: Instant) -> Option<WindowStats> {
        if now.saturating_duration_since(self.window_start) < MIN_WINDOW {
            return None;
        }
        self.window_start = now;
        let window = std::mem::take(&mut self.window);
        (window.rejected > 0 || window.max_queue_delay >= OVERLOAD_QUEUE_DELAY).then_some(window)
    }
}
