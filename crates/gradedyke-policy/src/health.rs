//! Health of one backend server, from the outcomes of its requests.
//!
//! Two signals are kept. After a connection failure, a malformed response or a timeout,
//! the server is in *backoff*: it gets no requests while others are available.
//! Independently, the *failure rate* is the share of its recent requests, from all entries, that
//! were sent and then failed, were rejected or took far too long. Placement policies weigh it
//! against the cost of a failure.

use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

use crate::window::Window;

/// Backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper limit on the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// How long other entries are told that a server is unreachable.
const UNREACHABLE_REPORT_TTL: Duration = Duration::from_secs(2);
/// Number of successes added to the observed requests, so that a single failure does not
/// result in a failure rate of 1.
const PRIOR_SUCCESSES: f64 = 3.0;

/// A request failure that the server caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened, so the request has not run.
    Unreachable,
    /// The connection broke, or the response was malformed.
    ConnectionLost,
    /// No response before the request's deadline.
    TimedOut,
    /// No response, or no further event, within the time after which a server counts as slow.
    Slow,
    /// The server responded with an error status.
    ServerError,
    /// The server rejected the request without running it.
    Rejected,
}

impl Failure {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Failure::Unreachable => "unreachable",
            Failure::ConnectionLost => "lost",
            Failure::TimedOut => "silent",
            Failure::Slow => "slow",
            Failure::ServerError => "failed",
            Failure::Rejected => "shed",
        }
    }

    /// Whether the server is put into backoff.
    fn triggers_backoff(self) -> bool {
        matches!(
            self,
            Failure::Unreachable | Failure::ConnectionLost | Failure::TimedOut
        )
    }
}

/// Numbers of recent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that failed because of the server.
    pub failures: u32,
    /// All requests.
    pub requests: u32,
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            requests: self.requests + other.requests,
        }
    }
}

impl Counts {
    /// Estimated share of requests that fail, 0 to 1.
    ///
    /// ```
    /// use gradedyke_policy::health::Counts;
    ///
    /// let counts = Counts { failures: 2, requests: 47 };
    /// assert_eq!(counts.failure_rate(), 0.04);
    /// ```
    pub fn failure_rate(self) -> f64 {
        let requests = self.requests.max(self.failures);
        f64::from(self.failures) / (f64::from(requests) + PRIOR_SUCCESSES)
    }
}

/// Health of a server as reported by one or more entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// Recent requests.
    pub counts: Counts,
    /// Number of entries that recently failed to connect to the server.
    pub unreachable: u32,
}

/// Health of one server as this entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Number of consecutive failures that triggered a backoff.
    consecutive_backoffs: u32,
    backoff_until: Option<Instant>,
    recent: Window<Counts>,
    /// When the last attempt to connect failed, if none has succeeded since.
    unreachable_at: Option<Instant>,
}

impl Health {
    /// Records a failure. Returns the resulting backoff, if any.
    ///
    /// ```
    /// use gradedyke_policy::health::{Failure, Health, HealthReport};
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut health = Health::default();
    /// assert!(health.record_failure(Failure::ConnectionLost, now).is_some());
    /// assert!(health.is_backing_off(now));
    /// assert!(health.failure_rate(HealthReport::default(), now) > 0.0);
    /// ```
    pub fn record_failure(&mut self, failure: Failure, now: Instant) -> Option<Duration> {
        if failure == Failure::Unreachable {
            self.unreachable_at = Some(now);
        } else {
            let failed = Counts {
                failures: 1,
                requests: 1,
            };
            self.recent.add(failed, now);
        }
        if !failure.triggers_backoff() {
            return None;
        }
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_backoffs.min(10));
        let backoff = backoff.min(MAX_BACKOFF);
        self.consecutive_backoffs += 1;
        self.backoff_until = Some(now + backoff);
        Some(backoff)
    }

    /// Records a success, which ends any backoff.
    pub fn record_success(&mut self, now: Instant) {
        self.consecutive_backoffs = 0;
        self.backoff_until = None;
        self.unreachable_at = None;
        let succeeded = Counts {
            failures: 0,
            requests: 1,
        };
        self.recent.add(succeeded, now);
    }

    /// Whether the server is in backoff.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Estimated share of requests that fail at the server, 0 to 1, including the requests that
    /// other entries reported.
    pub fn failure_rate(&self, peers: HealthReport, now: Instant) -> f64 {
        (self.recent.sum(now) + peers.counts).failure_rate()
    }

    /// The report for other entries.
    pub fn report(&self, now: Instant) -> HealthReport {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNREACHABLE_REPORT_TTL;
        HealthReport {
            counts: self.recent.sum(now),
            unreachable: u32::from(self.unreachable_at.is_some_and(is_recent)),
        }
    }
}
