//! What is learned of one backend server from requests that failed there.
//!
//! Two things are kept apart. A server that cannot be reached, or that lost a
//! request just now, *rests*: it gets nothing while others do. And the share of
//! its requests that were lost, failed, turned away or left waiting far too long,
//! over the last seconds and at all entries together, is its *risk*, which a
//! policy weighs against what a failure costs. Given up: a fixed time without
//! requests after each failure, which a success cut short, so that programs went
//! on to lose calls at servers that lose one answer in thirty; and a risk that
//! each failure raises by the same, which drove programs away from engines that
//! held their prompts, made these slow by reading, and so raised it further.

use std::ops::Add;
use std::time::Duration;

use tokio::time::Instant;

use crate::window::Window;

/// How long a server that failed gets no work while others do, the first time.
const REST_FIRST: Duration = Duration::from_millis(500);
/// The longest such rest.
const REST_LAST: Duration = Duration::from_secs(4);
/// How long it is told to other entries that a server cannot be reached: one that
/// comes back is seen by its next request.
const UNREACHED: Duration = Duration::from_secs(2);
/// Requests that count as good besides those that were counted, so that a single
/// failure is not taken for a server that always fails.
const PRIOR: f64 = 3.0;

/// How a request failed by the server's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection; the request has not run.
    Unreachable,
    /// The connection broke, or what came was no answer.
    Lost,
    /// No answer within the request's whole time.
    Silent,
    /// No answer yet after far more than the usual time.
    Slow,
    /// The server answered that it failed.
    Failed,
    /// The server turned the request away.
    Shed,
}

impl Fault {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Unreachable => "unreachable",
            Fault::Lost => "lost",
            Fault::Silent => "silent",
            Fault::Slow => "slow",
            Fault::Failed => "failed",
            Fault::Shed => "shed",
        }
    }

    /// Whether the server gets nothing for a while.
    fn rests(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::Lost | Fault::Silent)
    }
}

/// Requests of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that failed by the server's fault.
    pub failures: u32,
    /// All.
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
    /// Estimated share that fails, 0 to 1.
    ///
    /// ```
    /// use gradedyke_gateway::health::Counts;
    ///
    /// let counts = Counts { failures: 2, requests: 47 };
    /// assert_eq!(counts.risk(), 0.04);
    /// ```
    pub fn risk(self) -> f64 {
        let requests = self.requests.max(self.failures);
        f64::from(self.failures) / (f64::from(requests) + PRIOR)
    }
}

/// What one or several entries tell of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Their requests of late.
    pub counts: Counts,
    /// Entries that could not reach it lately.
    pub unreached: u32,
}

/// The health of one server as this entry sees it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Rests in a row.
    rests: u32,
    until: Option<Instant>,
    window: Window<Counts>,
    unreached: Option<Instant>,
}

impl Health {
    /// Takes a failure in. Returns how long the server rests for it.
    ///
    /// ```
    /// use gradedyke_gateway::health::{Fault, Health, Told};
    ///
    /// let now = tokio::time::Instant::now();
    /// let mut health = Health::default();
    /// assert!(health.fault(Fault::Lost, now).is_some());
    /// assert!(health.resting(now));
    /// assert!(health.risk(Told::default(), now) > 0.0);
    /// ```
    pub fn fault(&mut self, fault: Fault, now: Instant) -> Option<Duration> {
        if fault == Fault::Unreachable {
            self.unreached = Some(now);
        } else {
            let failed = Counts {
                failures: 1,
                requests: 1,
            };
            self.window.add(failed, now);
        }
        if !fault.rests() {
            return None;
        }
        let rest = REST_FIRST * 2_u32.saturating_pow(self.rests.min(10));
        let rest = rest.min(REST_LAST);
        self.rests += 1;
        self.until = Some(now + rest);
        Some(rest)
    }

    /// Takes a success in.
    pub fn answered(&mut self, now: Instant) {
        self.rests = 0;
        self.until = None;
        self.unreached = None;
        let good = Counts {
            failures: 0,
            requests: 1,
        };
        self.window.add(good, now);
    }

    /// Whether the server gets nothing while others do.
    pub fn resting(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }

    /// Estimated share of requests that fail there, 0 to 1, with what other
    /// entries told.
    pub fn risk(&self, others: Told, now: Instant) -> f64 {
        (self.window.sum(now) + others.counts).risk()
    }

    /// What other entries are to be told.
    pub fn told(&self, now: Instant) -> Told {
        let lately = |at: Instant| now.saturating_duration_since(at) < UNREACHED;
        Told {
            counts: self.window.sum(now),
            unreached: u32::from(self.unreached.is_some_and(lately)),
        }
    }
}
