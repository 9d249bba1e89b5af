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
//! refused at its first turn if the programs under way are already expected to use up the
//! allowance ([`crate::plan`]). What a program needs beyond its plan is added to the planned
//! requests as it is used ([`Limiter::add_unplanned`]), and a program far beyond its plan only
//! gets what the others leave ([`Charge::is_within_leftover`]).

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::usage::{self, BUCKETS_PER_WINDOW, Counter, Report, Total};
use tokio::time::Instant;

use crate::MIN_RETRY_AFTER;
use crate::account::{Account, Allowance};
use crate::plan::Plan;

/// Maximum age of a sum by which a tool call is admitted without asking the keepers. In this time
/// an account that sends 7.5 times its usual load, half of it tool calls, adds 13% of its
/// allowance that no sum includes yet.
const MAX_USAGE_SUM_AGE: Duration = Duration::from_millis(250);
/// Share of the limit up to which a tool call is admitted without asking the keepers. The rest
/// is headroom for requests that a sum of age [`MAX_USAGE_SUM_AGE`] does not include.
const LOCAL_ADMISSION_RATIO: f64 = 0.8;
/// Number of entries assumed to admit tool calls of one account concurrently. Each may admit the
/// remaining requests divided by this number before it has to ask the keepers. Two entries that
/// were sent 30 calls each of an account with an allowance of 10 within a few milliseconds
/// admitted 16 without this, and 10 with it.
const ASSUMED_CONCURRENT_ENTRIES: u32 = 16;
/// Time since an account's last report after which the next report includes its usage even if
/// it is unchanged, so that a restarted keeper learns it.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the limit that the requests that ran, with the first ones of a beginning program, leave
/// free: requests run ahead of the plans if programs that begin together are faster than expected.
/// In a simulation with 5% instead, five times as many programs of a large account were refused in
/// the middle.
const HEADROOM_RATIO: f64 = 0.08;
/// Share of a window by which usage leaves a sum late: up to two buckets.
const LATE_EXPIRY_RATIO: f64 = 2.0 / BUCKETS_PER_WINDOW as f64;
/// Shortest duration of a program that is allowed for, as a share of the planned one.
const FAST_RATIO: f64 = 0.8;
/// Share of the limit that is not available to a program far beyond its plan, so that other
/// programs can begin. The rest lets a program that is long without looping go on.
const LEFTOVER_RESERVE_RATIO: f64 = 0.3;
/// Share of the limit up to which requests that ran leave room for any program. Plans are
/// estimates, and refusing a turn at less than half of the limit makes no room that others need.
const UNCONTESTED_RATIO: f64 = 0.5;

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
    /// The plan of the program if the request starts one, and an empty plan otherwise.
    plan: Plan,
    /// Length of the window.
    window: Duration,
    /// Number of the window's bucket to which it was charged.
    bucket: u64,
    /// When it was charged.
    charged_at: Instant,
}

impl Charge {
    /// Whether the request starts a program.
    pub fn starts_program(&self) -> bool {
        self.amount.planned > 0
    }

    /// Whether the request is within the allowance, given a sum that includes it. A program
    /// that alone needs more than the limit may start if no other program is under way: its
    /// requests are spread over more than one window.
    pub fn is_within(&self, sum: Total) -> bool {
        sum.requests <= self.limit && (!self.starts_program() || self.has_room_for_plan(sum))
    }

    /// Whether the program's plan fits beside the others', and whether its first requests fit
    /// beside those that ran, which leave the sum late. These include requests that are in no
    /// plan, for example of programs whose entry was restarted since.
    fn has_room_for_plan(&self, sum: Total) -> bool {
        let planned = self.amount.planned;
        if self.plan.duration.is_zero() {
            return sum.planned <= self.limit.max(planned);
        }
        let others = Total {
            requests: sum.requests.saturating_sub(self.amount.requests),
            planned: sum.planned.saturating_sub(planned),
        };
        if others.planned == 0 {
            return true;
        }
        let early = f64::from(planned) * self.made_within(self.window.mul_f64(LATE_EXPIRY_RATIO));
        let max_ran = (f64::from(self.limit) * (1.0 - HEADROOM_RATIO)).ceil();
        sum.planned <= self.limit && f64::from(others.requests) + early <= max_ran
    }

    /// Share of its plan that the program makes within a time from its start, if it is fast.
    fn made_within(&self, time: Duration) -> f64 {
        let duration = self.plan.duration.min(self.window).mul_f64(FAST_RATIO);
        (time.as_secs_f64() / duration.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }

    /// Whether a turn beyond its program's plan is admitted, given a sum that includes it: only
    /// out of what the planned requests and the requests that ran leave. If `next_program` is
    /// given, what the next program is expected to need and a share of the limit are not
    /// available to it. Below `UNCONTESTED_RATIO` of the limit any turn is admitted.
    pub fn is_within_leftover(&self, sum: Total, next_program: Option<u32>) -> bool {
        let limit = f64::from(self.limit);
        let reserve = next_program.map_or(0.0, |needed| {
            f64::from(needed).max(limit * LEFTOVER_RESERVE_RATIO)
        });
        let ran = f64::from(sum.requests);
        let used = ran.max(f64::from(sum.planned) + 1.0);
        ran <= limit * UNCONTESTED_RATIO || used <= limit - reserve
    }

    /// Time until enough of `used`, a sum without this request, has left the window for the
    /// request to fit. Usage is assumed to leave evenly.
    fn wait(&self, used: Total) -> Duration {
        let share = |used: u32, added: u32, limit: u32| {
            let excess = used.saturating_add(added).saturating_sub(limit);
            f64::from(excess) / f64::from(used.max(1))
        };
        let requests = share(used.requests, self.amount.requests, self.limit);
        let planned = match self.starts_program() {
            true => share(
                used.planned,
                self.amount.planned,
                self.limit.max(self.amount.planned),
            ),
            false => 0.0,
        };
        self.window.mul_f64(requests.max(planned).min(1.0))
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
    /// Planned requests of later buckets, by bucket.
    future: BTreeMap<u64, u32>,
    /// Everything that this entry has admitted since it started; the counts wrap around.
    admitted: Total,
    known_sum: Option<KnownSum>,
    reported_at: Option<Instant>,
    /// Whether the usage has changed since the last report.
    changed: bool,
    /// Retry delay of the latest refused request.
    refused_wait: Duration,
}

impl AccountUsage {
    /// The estimated sum at `now`; `None` before the first sum was received.
    fn estimate(&self, now: Instant) -> Option<Estimate> {
        let known = self.known_sum?;
        let (before, after) = (known.admitted, self.admitted);
        let admitted_since = after.requests.wrapping_sub(before.requests).cast_signed();
        let planned_since = after.planned.wrapping_sub(before.planned).cast_signed();
        let sum = Total {
            requests: known.sum.requests.saturating_add_signed(admitted_since),
            planned: known.sum.planned.saturating_add_signed(planned_since),
        };
        Some(Estimate {
            sum,
            admitted_since: u32::try_from(admitted_since).unwrap_or(0),
            age: now.saturating_duration_since(known.received_at),
        })
    }

    /// Adds planned requests to a bucket that is not later than the present one.
    fn add_planned(&mut self, bucket: u64, planned: u32) {
        let amount = Total {
            requests: 0,
            planned,
        };
        self.counter.add(bucket, amount);
        self.admitted.planned = self.admitted.planned.wrapping_add(planned);
        self.changed = true;
    }

    /// Enters the planned requests that have become due by the bucket `present`.
    fn enter_due(&mut self, present: u64) {
        while let Some(due) = self.future.first_entry()
            && *due.key() <= present
        {
            let (bucket, planned) = due.remove_entry();
            self.add_planned(bucket, planned);
        }
    }

    /// Removes planned requests that were entered before or are due later.
    fn remove_planned(&mut self, bucket: u64, planned: u32) {
        if let Some(future) = self.future.get_mut(&bucket) {
            *future = future.saturating_sub(planned);
            return;
        }
        let amount = Total {
            requests: 0,
            planned,
        };
        self.counter.subtract(bucket, amount);
        self.admitted.planned = self.admitted.planned.wrapping_sub(planned);
    }
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
    /// is the number of requests that the program is expected to need within a window if the
    /// request starts one, and 0 otherwise. They count for a window from now.
    pub fn charge(&self, account: &Account, planned: u32, now: Instant) -> Option<Charge> {
        self.charge_plan(account, Plan::at_start(planned), now)
    }

    /// Charges a request to its account like [`Limiter::charge`], and enters the program's plan
    /// if the request starts one; the plan is empty otherwise.
    ///
    /// ```
    /// use gradedyke_policy::account::{Account, Allowance};
    /// use gradedyke_policy::allowance::Limiter;
    /// use gradedyke_policy::plan::Plan;
    /// use gradedyke_turns::record::Id;
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let limiter = Limiter::new(1, Duration::from_secs(5), now);
    /// let account = Account {
    ///     name: Id::parse("a").unwrap(),
    ///     priority: None,
    ///     allowance: Some(Allowance { requests_per_s: 8.0, burst: 2.0 }),
    ///     allowed_regions: None,
    /// };
    /// let plan = Plan { requests: 30, duration: Duration::from_secs(6) };
    /// let charge = limiter.charge_plan(&account, plan, now).unwrap();
    /// assert_eq!((charge.limit, charge.amount.planned), (42, 25));
    /// assert!(charge.is_within(charge.amount));
    /// ```
    pub fn charge_plan(&self, account: &Account, plan: Plan, now: Instant) -> Option<Charge> {
        let limit = limit(account.allowance.as_ref()?, self.window);
        let charge = Charge {
            account: usage::account_hash(&account.name),
            limit,
            amount: Total {
                requests: 1,
                planned: plan.requests_in(self.window),
            },
            plan,
            window: self.window,
            bucket: self.bucket_number(now),
            charged_at: now,
        };
        let mut accounts = self.lock();
        let account_usage = accounts.entry(charge.account).or_default();
        account_usage.enter_due(charge.bucket);
        let request = Total {
            requests: 1,
            planned: 0,
        };
        account_usage.counter.add(charge.bucket, request);
        account_usage.admitted.requests = account_usage.admitted.requests.wrapping_add(1);
        for share in plan.shares(charge.bucket, self.window) {
            if share.bucket > charge.bucket {
                *account_usage.future.entry(share.bucket).or_default() += share.requests;
            } else {
                account_usage.add_planned(share.bucket, share.requests);
            }
        }
        account_usage.changed = true;
        Some(charge)
    }

    /// Refunds a request that was charged but has not run, with its program's plan.
    pub fn refund(&self, charge: &Charge) {
        let mut accounts = self.lock();
        let Some(account_usage) = accounts.get_mut(&charge.account) else {
            return;
        };
        let request = Total {
            requests: 1,
            planned: 0,
        };
        account_usage.counter.subtract(charge.bucket, request);
        account_usage.admitted.requests = account_usage.admitted.requests.wrapping_sub(1);
        for share in charge.plan.shares(charge.bucket, self.window) {
            account_usage.remove_planned(share.bucket, share.requests);
        }
        account_usage.changed = true;
    }

    /// Whether the keepers may know of a charge.
    pub fn was_reported(&self, charge: &Charge) -> bool {
        let accounts = self.lock();
        let reported_at = accounts.get(&charge.account).and_then(|u| u.reported_at);
        reported_at.is_some_and(|at| at >= charge.charged_at)
    }

    /// Adds requests that a program makes beyond its plan to the planned requests, so that
    /// beginning programs leave room for them.
    pub fn add_unplanned(&self, charge: &Charge, requests: u32, now: Instant) {
        let bucket = self.bucket_number(now);
        let mut accounts = self.lock();
        let account_usage = accounts.entry(charge.account).or_default();
        account_usage.add_planned(bucket, requests);
    }

    /// What a plan needs within a window.
    pub fn requests_in_window(&self, plan: &Plan) -> u32 {
        plan.requests_in(self.window)
    }

    /// Records that a request was refused for its allowance and refunded, and returns the time
    /// after which its caller should retry: when enough of the last known sum has left the
    /// window.
    pub fn record_refused(&self, charge: &Charge, now: Instant) -> Duration {
        let mut accounts = self.lock();
        let account_usage = accounts.entry(charge.account).or_default();
        let estimate = account_usage.estimate(now);
        let wait = estimate.map_or(MIN_RETRY_AFTER, |e| charge.wait(e.sum));
        account_usage.refused_wait = wait;
        wait
    }

    /// The delay that [`Limiter::record_refused`] last returned for the account.
    pub fn last_refused_wait(&self, account: &Account) -> Duration {
        let accounts = self.lock();
        let account_usage = accounts.get(&usage::account_hash(&account.name));
        account_usage.map_or(MIN_RETRY_AFTER, |u| u.refused_wait)
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
            account_usage.enter_due(bucket);
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
