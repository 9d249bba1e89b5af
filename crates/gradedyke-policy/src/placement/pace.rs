//! How fast a server is relative to its service, and whether the servers of a service differ so
//! much that their times are told apart.

use std::time::Duration;

use tokio::time::Instant;

use super::wait_ms;
use crate::estimate::{LatencyRatioSum, Times};

/// Ratio of the slower servers' times to those of the faster ones from which the servers of a
/// service are told apart. Smaller differences are within the tolerance that applies to all
/// services.
const MIN_SPREAD_RATIO: f64 = 1.5;
/// One in this many servers is left out at each end when the slower and the faster ones are
/// compared, so that a few defective servers do not make a service uneven. A group of fast or
/// slow servers counts if it is larger than an eighth of the service.
const TRIMMED_ONE_IN: usize = 8;
/// Number of observations from which a server is compared. Each one counts as much as the prior
/// then.
const MIN_OBSERVATIONS: u32 = 8;
/// How often the servers of a service are compared. The shortest window of latencies covers three
/// times as long, so their sums change little in this time.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a difference is assumed to persist after it was last observed, so that a service near
/// the limit doesn't alternate.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Share of the servers that have to be observed to find that they differ, or that they no longer
/// do. While the fast ones can run all requests, the slow ones get hardly any.
const MIN_OBSERVED_RATIO: f64 = 0.75;
/// Typical age of the load of other entries when a reply with it arrives: an entry reports with
/// each turn that it begins.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// A server's pace, as a policy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How long the server takes relative to its service; 1 is normal.
    pub ratio: f64,
    /// Number of the other entries' requests at the server that were replaced by new ones since
    /// its load was reported. Nobody knows yet where these were sent.
    pub unseen: f64,
}

impl Pace {
    /// The pace of a server that takes `ratio` times as long as its service. `times` are its own
    /// and `peer_requests` the other entries' requests in flight at it, which were received
    /// `received_ago`.
    ///
    /// ```
    /// use gradedyke_policy::estimate::ServiceEstimate;
    /// use gradedyke_policy::placement::pace::Pace;
    /// use std::time::Duration;
    ///
    /// let times = ServiceEstimate::default().times(true);
    /// let fresh = Pace::new(1.0, 6, 8, &times, Duration::ZERO);
    /// assert!(fresh.unseen > 1.0 && fresh.unseen < 6.0);
    /// let outdated = Pace::new(1.0, 6, 8, &times, Duration::from_secs(1));
    /// assert_eq!(outdated.unseen, 6.0);
    /// ```
    pub fn new(
        ratio: f64,
        peer_requests: u32,
        slots: u32,
        times: &Times,
        received_ago: Duration,
    ) -> Self {
        let age_ms = (REPORT_AGE + received_ago).as_secs_f64() * 1e3;
        let concurrent = peer_requests.min(slots);
        let stay_ms = wait_ms(peer_requests, slots, times) + times.response_ms(concurrent);
        let replaced_ratio = (age_ms / stay_ms.max(1.0)).min(1.0);
        Self {
            ratio,
            unseen: f64::from(peer_requests) * replaced_ratio,
        }
    }
}

/// Whether the servers of a service differ in pace, checked from time to time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    checked: Option<Instant>,
    /// When a difference was last observed, or could not be ruled out.
    last_seen: Option<Instant>,
    is_uneven: bool,
}

impl Monitor {
    /// Whether the servers are to be compared again.
    pub fn is_due(&self, now: Instant) -> bool {
        let age = self.checked.map(|at| now.saturating_duration_since(at));
        age.is_none_or(|age| age >= CHECK_INTERVAL)
    }

    /// Compares the recent latencies of the servers. Returns the ratio of the slower servers'
    /// times to those of the faster ones if any were observed.
    ///
    /// ```
    /// use gradedyke_policy::estimate::LatencyRatioSum;
    /// use gradedyke_policy::placement::pace::Monitor;
    ///
    /// let now = tokio::time::Instant::now();
    /// let sum = |ratio_hundredths| LatencyRatioSum { responses: 100, ratio_hundredths };
    /// let mut monitor = Monitor::default();
    /// monitor.check((0..16).map(|n| sum(if n == 0 { 90_000 } else { 10_000 })), now);
    /// assert!(!monitor.is_uneven());
    /// monitor.check((0..16).map(|n| sum(if n < 4 { 5_000 } else { 12_000 })), now);
    /// assert!(monitor.is_uneven());
    /// ```
    pub fn check(
        &mut self,
        latencies: impl Iterator<Item = LatencyRatioSum>,
        now: Instant,
    ) -> Option<f64> {
        self.checked = Some(now);
        let mut servers = 0;
        let counted = latencies.inspect(|_| servers += 1);
        let observed = counted.filter(|sum| sum.responses >= MIN_OBSERVATIONS);
        let mut ratios: Vec<f64> = observed.map(LatencyRatioSum::slowness).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        let is_representative = ratios.len() as f64 >= MIN_OBSERVED_RATIO * f64::from(servers);
        let ratio = spread_ratio(&ratios);
        let differs = is_representative && ratio.is_some_and(|ratio| ratio >= MIN_SPREAD_RATIO);
        if differs || (self.is_uneven && !is_representative) {
            self.last_seen = Some(now);
        }
        let age = self.last_seen.map(|at| now.saturating_duration_since(at));
        self.is_uneven = age.is_some_and(|age| age < HOLD_TIME);
        ratio
    }

    /// Whether the servers' times are told apart, as of the last check.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }
}

/// Ratio between the slower and the faster ones of the sorted `ratios`; `None` for so few that
/// only the extremes could be compared.
fn spread_ratio(ratios: &[f64]) -> Option<f64> {
    let trimmed = ratios.len() / TRIMMED_ONE_IN;
    if trimmed == 0 {
        return None;
    }
    let fast = ratios.get(trimmed)?;
    let slow = ratios.get(ratios.len() - 1 - trimmed)?;
    Some(slow / fast)
}
