//! Rate limits of client accounts, enforced over all entries together.
//!
//! Each entry counts the requests that it admits and reports them to the keepers, which
//! answer with the sum over all entries ([`gradedyke_turns::usage`]). An entry contacts the
//! keepers before each turn anyway, so the sum used to admit a turn includes that turn. For a
//! tool call it uses the last known sum if that is recent and well below the limit, and otherwise
//! asks the keepers first. This bounds the excess over the limit that is caused by requests that
//! the sum does not include yet.
//!
//! If one request of a program is refused, the whole program fails. A new program is therefore
//! refused at its first turn if the programs started in the window are already expected to use
//! up the allowance.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::usage::{self, BUCKETS_PER_WINDOW, Counter, Report, Total};
use tokio::time::Instant;

use crate::account::{Account, Allowance};

/// Maximum age of a sum by which a tool call is admitted without asking the keepers.
const MAX_USAGE_SUM_AGE: Duration = Duration::from_millis(250);
/// Share of the limit up to which a tool call is admitted without asking the keepers. The rest
/// is headroom for requests that a sum of age [`MAX_USAGE_SUM_AGE`] does not include.
const LOCAL_ADMISSION_RATIO: f64 = 0.8;
/// Number of entries assumed to admit tool calls of one account concurrently. Each may admit the
/// remaining requests divided by this number before it has to ask the keepers.
const ASSUMED_CONCURRENT_ENTRIES: u32 = 16;
/// Time since an account's last report after which the next report includes its usage even if
/// it is unchanged, so that a restarted keeper learns it.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of requests of an account that are admitted in a window.
///
/// ```
/// use std::time::Duration;
/// use gradedyke_policy::account::Allowance;
/// use gradedyke_policy::allowance::limit;
///
/// let allowance = Allowance { requests_per_s: 10.0, burst: 5.0 };
/// assert_eq!(limit(&allowance, Duration::from_secs(5)), 55);
/// ```
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn limit(allowance: &Allowance, window: Duration) -> u32 {
    let limit = allowance.requests_per_s * window.as_secs_f64() + allowance.burst;
    limit.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// A request that was charged to the allowance of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The request's account.
    pub account: usage::AccountHash,
    /// Maximum number of requests of the account in a window.
    pub limit: u32,
    /// How much the request adds to the usage of the account.
    pub amount: Total,
    /// Number of the window's bucket to which it was charged.
    bucket: u64,
}

impl Charge {
    /// Whether the request starts a program.
    pub fn starts_program(&self) -> bool {
        self.amount.planned > 0
    }

    /// Whether the request is within the allowance, given a sum that includes it. A program
    /// that alone needs more than the limit may start if no other program has started in the
    /// window: its requests are spread over more than one window.
    pub fn is_within(&self, sum: Total) -> bool {
        let max_planned = self.limit.max(self.amount.planned);
        let planned_fits = !self.starts_program() || sum.planned <= max_planned;
        planned_fits && sum.requests <= self.limit
    }

    /// Whether enough of the limit remains for requests that the estimate does not include.
    fn has_headroom(&self, estimate: &Estimate) -> bool {
        let requests = estimate.sum.requests;
        let remaining = self.limit.saturating_sub(requests);
        let within_share =
            estimate.admitted_since <= (remaining / ASSUMED_CONCURRENT_ENTRIES).max(1);
        within_share && f64::from(requests) <= f64::from(self.limit) * LOCAL_ADMISSION_RATIO
    }
}

/// Result of [`Limiter::check`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is within the allowance.
    Within,
    /// The request exceeds the allowance.
    Exceeded,
    /// The keepers have to be asked for the current sum.
    Unknown,
}

/// A sum over all entries, as received from the keepers.
#[derive(Clone, Copy, Debug)]
struct KnownSum {
    received_at: Instant,
    sum: Total,
    /// [`AccountUsage::admitted`] when the report that the sum answers was built.
    admitted: Total,
}

/// An estimate of the sum over all entries: the last known sum, plus what this entry has
/// admitted since.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    sum: Total,
    /// Requests that this entry has admitted since it built the report to which the known sum is
    /// the reply.
    admitted_since: u32,
    /// Time since the sum was received.
    age: Duration,
}

/// An account's usage, as one entry knows it.
#[derive(Debug, Default)]
struct AccountUsage {
    counter: Counter,
    /// Everything that this entry has admitted since it started; the counts wrap around.
    admitted: Total,
    known_sum: Option<KnownSum>,
    reported_at: Option<Instant>,
    /// Whether the usage has changed since the last report.
    changed: bool,
}

impl AccountUsage {
    /// The estimated sum at `now`; `None` before the first sum was received.
    fn estimate(&self, now: Instant) -> Option<Estimate> {
        let known = self.known_sum?;
        let admitted_since = increase(known.admitted.requests, self.admitted.requests);
        let sum = Total {
            requests: known.sum.requests + admitted_since,
            planned: known.sum.planned + increase(known.admitted.planned, self.admitted.planned),
        };
        Some(Estimate {
            sum,
            admitted_since,
            age: now.saturating_duration_since(known.received_at),
        })
    }
}

/// The increase of a count that wraps around; 0 if it decreased because requests were refunded.
fn increase(before: u32, after: u32) -> u32 {
    i32::try_from(after.wrapping_sub(before)).map_or(0, i32::unsigned_abs)
}

/// State of the limiter when a report was built; passed to [`Limiter::record_sum`] with the
/// reply.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// The request for which the report was made.
    pub charge: Charge,
    /// [`AccountUsage::admitted`] of the request's account when the report was built.
    admitted: Total,
}

/// Counts the requests that one entry admits, by account.
#[derive(Debug)]
pub struct Limiter {
    entry_id: u64,
    window: Duration,
    first_bucket_start: Instant,
    accounts: Mutex<HashMap<usage::AccountHash, AccountUsage>>,
}

impl Limiter {
    /// Creates an empty limiter. `entry_id` identifies this process in reports, and limits
    /// apply to every time span of length `window`.
    pub fn new(entry_id: u64, window: Duration, now: Instant) -> Self {
        Self {
            entry_id,
            window,
            first_bucket_start: now,
            accounts: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usage::AccountHash, AccountUsage>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bucket_duration(&self) -> Duration {
        self.window / BUCKETS_PER_WINDOW
    }

    /// The number of the bucket that contains `now`.
    fn bucket_number(&self, now: Instant) -> u64 {
        let elapsed_ms = now
            .saturating_duration_since(self.first_bucket_start)
            .as_millis();
        let bucket = elapsed_ms.checked_div(self.bucket_duration().as_millis());
        bucket
            .and_then(|b| u64::try_from(b).ok())
            .unwrap_or_default()
    }

    /// Charges a request to its account; returns `None` if the account has no limit. `planned`
    /// is the number of requests that the program is expected to need if the request starts
    /// one, and 0 otherwise.
    pub fn charge(&self, account: &Account, planned: u32, now: Instant) -> Option<Charge> {
        let limit = limit(account.allowance.as_ref()?, self.window);
        let charge = Charge {
            account: usage::account_hash(&account.name),
            limit,
            amount: Total {
                requests: 1,
                planned,
            },
            bucket: self.bucket_number(now),
        };
        let mut accounts = self.lock();
        let account_usage = accounts.entry(charge.account).or_default();
        account_usage.counter.add(charge.bucket, charge.amount);
        account_usage.admitted.requests = account_usage.admitted.requests.wrapping_add(1);
        account_usage.admitted.planned = account_usage.admitted.planned.wrapping_add(planned);
        account_usage.changed = true;
        Some(charge)
    }

    /// Refunds a request that was charged but has not run.
    pub fn refund(&self, charge: &Charge) {
        let mut accounts = self.lock();
        let Some(account_usage) = accounts.get_mut(&charge.account) else {
            return;
        };
        let amount = charge.amount;
        account_usage.counter.subtract(charge.bucket, amount);
        account_usage.admitted.requests = account_usage
            .admitted
            .requests
            .wrapping_sub(amount.requests);
        account_usage.admitted.planned =
            account_usage.admitted.planned.wrapping_sub(amount.planned);
        account_usage.changed = true;
    }

    /// Decides on a request without asking the keepers, where possible.
    pub fn check(&self, charge: &Charge, now: Instant) -> Decision {
        let accounts = self.lock();
        let estimate = accounts.get(&charge.account).and_then(|u| u.estimate(now));
        match estimate {
            Some(estimate) if estimate.age <= MAX_USAGE_SUM_AGE => {
                match charge.is_within(estimate.sum) {
                    false => Decision::Exceeded,
                    true if charge.has_headroom(&estimate) => Decision::Within,
                    true => Decision::Unknown,
                }
            }
            _ => Decision::Unknown,
        }
    }

    /// Whether a request is admitted while no keeper can be reached: only if a sum was
    /// received within the last window and leaves enough headroom. Meanwhile the other entries
    /// admit only tool calls of running programs, because no program can start without the
    /// keepers.
    pub fn admits_offline(&self, charge: &Charge, now: Instant) -> bool {
        let accounts = self.lock();
        let estimate = accounts.get(&charge.account).and_then(|u| u.estimate(now));
        estimate
            .is_some_and(|estimate| estimate.age <= self.window && charge.has_headroom(&estimate))
    }

    /// Builds the usage report that is sent to the keepers with a request: the usage of
    /// its account, and of all accounts whose usage has changed or is due to be reported
    /// again.
    pub fn report(&self, charge: &Charge, now: Instant) -> (Report, Snapshot) {
        let bucket = self.bucket_number(now);
        let mut accounts = self.lock();
        let mut rows = Vec::new();
        for (account, account_usage) in accounts.iter_mut() {
            let overdue = account_usage
                .reported_at
                .is_none_or(|t| now.saturating_duration_since(t) >= USAGE_REPORT_INTERVAL);
            if !account_usage.changed && !overdue && *account != charge.account {
                continue;
            }
            let buckets = account_usage.counter.window_buckets(bucket);
            if buckets.is_empty() && !account_usage.changed {
                continue;
            }
            (account_usage.changed, account_usage.reported_at) = (false, Some(now));
            rows.push(usage::AccountUsage {
                account: *account,
                buckets,
            });
        }
        let admitted = accounts.get(&charge.account).map(|u| u.admitted);
        let snapshot = Snapshot {
            charge: *charge,
            admitted: admitted.unwrap_or_default(),
        };
        let report = Report {
            entry: self.entry_id,
            part_ms: u32::try_from(self.bucket_duration().as_millis()).unwrap_or(u32::MAX),
            asked: charge.account,
            rows,
        };
        (report, snapshot)
    }

    /// Records the sum with which the keepers answered a report.
    pub fn record_sum(&self, snapshot: Snapshot, sum: Total, now: Instant) {
        let mut accounts = self.lock();
        let account_usage = accounts.entry(snapshot.charge.account).or_default();
        account_usage.known_sum = Some(KnownSum {
            received_at: now,
            sum,
            admitted: snapshot.admitted,
        });
    }
}
