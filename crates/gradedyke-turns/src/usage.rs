//! Recent usage of each client account, summed over all entries.
//!
//! An account's allowance applies to all entries together, while each entry sees only its own
//! requests. With requests that begin or store a turn, and with `Request::Usage`, an entry
//! therefore reports to the replicas what it admitted in the last window, for the account concerned
//! and for accounts whose usage has changed or is due. Each replica replies with the sum over all
//! entries, and the entry uses the greatest sum.
//!
//! A report covers the entry's whole window, so a restarted replica is soon up to date.
//! Replicas also save the reports on disk. A replica that lost its disk returns a sum that is too
//! low, which does not matter as long as another one returns the right sum.
//!
//! A fixed share of the allowance for each entry would refuse most requests that are within it,
//! because demand is uneven (62% of the programs of a calm day with 58 entries). An owner for each
//! account that grants batches would cost a call more for each request, and a new owner would know
//! of no usage.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::record::Id;

/// Hash of a client account's name, which is shorter to send.
pub type AccountHash = u64;

/// Returns the hash of an account's name.
pub fn account_hash(name: &Id) -> AccountHash {
    let mut hasher = DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Number of buckets into which a window is divided. Usage expires bucket by bucket, so a sum may
/// include usage that is older than the window by up to two buckets.
pub const BUCKETS_PER_WINDOW: u32 = 20;

/// Number of buckets that are reported: those of a window and the one in progress.
const REPORTED_BUCKETS: usize = BUCKETS_PER_WINDOW as usize + 1;

/// Usage of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of admitted requests.
    pub requests: u32,
    /// Number of requests that the started programs are expected to make.
    pub planned: u32,
}

impl Total {
    /// Returns the maximum of each field.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            planned: self.planned.max(other.planned),
        }
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.planned += other.planned;
    }
}

/// The requests that one entry admitted for an account in the last window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountHash,
    /// Usage by bucket of the window, the latest first. Missing buckets at the end are zero.
    #[serde(rename = "parts")]
    pub buckets: Vec<Total>,
}

/// An entry's usage report to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random ID of the entry's incarnation.
    pub entry: u64,
    /// Length of a bucket, in milliseconds.
    pub part_ms: u32,
    /// The account whose total the replica returns.
    pub asked: AccountHash,
    /// The usage of accounts.
    pub rows: Vec<AccountUsage>,
}

/// Counts one account's usage through one entry in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    /// Sequence number of the latest bucket.
    latest: u64,
    /// The latest bucket first.
    buckets: std::collections::VecDeque<Total>,
}

impl Counter {
    /// Adds `amount` to the bucket with the sequence number `bucket`, which may be a past one.
    pub fn add(&mut self, bucket: u64, amount: Total) {
        self.advance_to(bucket);
        if let Some(total) = self.bucket_mut(bucket) {
            total.add(amount);
        }
    }

    /// Subtracts `amount` from a bucket, to which it was added before.
    pub fn subtract(&mut self, bucket: u64, amount: Total) {
        if let Some(total) = self.bucket_mut(bucket) {
            total.requests = total.requests.saturating_sub(amount.requests);
            total.planned = total.planned.saturating_sub(amount.planned);
        }
    }

    fn bucket_mut(&mut self, bucket: u64) -> Option<&mut Total> {
        let index = usize::try_from(self.latest.checked_sub(bucket)?).ok()?;
        self.buckets.get_mut(index)
    }

    fn advance_to(&mut self, bucket: u64) {
        let new_buckets = bucket
            .saturating_sub(self.latest)
            .min(REPORTED_BUCKETS as u64);
        for _ in 0..new_buckets {
            self.buckets.push_front(Total::default());
        }
        if self.buckets.is_empty() {
            self.buckets.push_front(Total::default());
        }
        self.buckets.truncate(REPORTED_BUCKETS);
        self.latest = self.latest.max(bucket);
    }

    /// Returns the buckets of the window that ends in `bucket`, the latest first, without empty
    /// buckets at the end.
    pub fn window_buckets(&mut self, bucket: u64) -> Vec<Total> {
        self.advance_to(bucket);
        let is_used = |total: &Total| *total != Total::default();
        let end = self.buckets.iter().rposition(is_used).map_or(0, |i| i + 1);
        self.buckets.iter().take(end).copied().collect()
    }
}

/// The latest usage of an account that an entry reported.
#[derive(Clone, Debug)]
struct ReportedRow {
    received_at: Instant,
    buckets: Vec<Total>,
}

/// The usage reported by all entries.
#[derive(Debug, Default)]
pub struct Aggregator {
    /// Rows by account and entry.
    rows: HashMap<AccountHash, HashMap<u64, ReportedRow>>,
    bucket_len: Duration,
}

/// A row with its entry, as saved on disk.
pub type SavedRow = (u64, AccountUsage);

impl Aggregator {
    /// Stores the rows of a report.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        self.bucket_len = Duration::from_millis(report.part_ms.into());
        for row in report.rows {
            self.insert_row(report.entry, row, now);
        }
    }

    fn insert_row(&mut self, entry: u64, row: AccountUsage, now: Instant) {
        let window = self.bucket_len * BUCKETS_PER_WINDOW;
        let entries = self.rows.entry(row.account).or_default();
        entries.retain(|_, row| now.saturating_duration_since(row.received_at) <= window);
        let buckets = row.buckets;
        entries.insert(
            entry,
            ReportedRow {
                received_at: now,
                buckets,
            },
        );
    }

    /// Returns an account's usage in the last window over all entries.
    ///
    /// ```
    /// use gradedyke_turns::usage::{Aggregator, Report, AccountUsage, Total};
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let bucket = |requests| Total { requests, planned: 0 };
    /// let mut aggregator = Aggregator::default();
    /// for entry in [1, 2] {
    ///     let rows = vec![AccountUsage { account: 7, buckets: vec![bucket(2), bucket(3)] }];
    ///     aggregator.record_report(Report { entry, part_ms: 250, asked: 7, rows }, now);
    /// }
    /// assert_eq!(aggregator.total(7, now).requests, 10);
    /// // The window is 5 s long, and usage expires by buckets of 250 ms.
    /// assert_eq!(aggregator.total(7, now + Duration::from_millis(5_100)).requests, 4);
    /// assert_eq!(aggregator.total(7, now + Duration::from_millis(5_300)).requests, 0);
    /// ```
    pub fn total(&self, account: AccountHash, now: Instant) -> Total {
        let mut total = Total::default();
        for row in self
            .rows
            .get(&account)
            .into_iter()
            .flat_map(|by_entry| by_entry.values())
        {
            for bucket in self.buckets_in_window(row, now) {
                total.add(*bucket);
            }
        }
        total
    }

    /// Returns the buckets of a row that are still in the window.
    fn buckets_in_window<'a>(&self, row: &'a ReportedRow, now: Instant) -> &'a [Total] {
        let remaining = REPORTED_BUCKETS.saturating_sub(self.elapsed_buckets(row.received_at, now));
        &row.buckets[..remaining.min(row.buckets.len())]
    }

    /// Returns the number of whole buckets between two times.
    fn elapsed_buckets(&self, since: Instant, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(since).as_millis();
        let buckets = elapsed.checked_div(self.bucket_len.as_millis());
        buckets.map_or(0, |count| {
            usize::try_from(count).unwrap_or(REPORTED_BUCKETS)
        })
    }

    /// Returns the length of a bucket in milliseconds and all usage that is still in the
    /// window, to be saved on disk.
    pub fn export(&self, now: Instant) -> (u32, Vec<SavedRow>) {
        let mut all = Vec::new();
        for (account, entries) in &self.rows {
            for (entry, reported) in entries {
                let mut buckets =
                    vec![Total::default(); self.elapsed_buckets(reported.received_at, now)];
                buckets.extend_from_slice(self.buckets_in_window(reported, now));
                buckets.truncate(REPORTED_BUCKETS);
                let row = AccountUsage {
                    account: *account,
                    buckets,
                };
                if row.buckets.iter().any(|bucket| *bucket != Total::default()) {
                    all.push((*entry, row));
                }
            }
        }
        (
            u32::try_from(self.bucket_len.as_millis()).unwrap_or_default(),
            all,
        )
    }

    /// Restores saved usage as if it had been reported at `now`. The time since it was saved
    /// is unknown. Counting it as just reported may refuse requests, but never admits more than
    /// the allowance.
    pub fn restore(&mut self, (part_ms, rows): (u32, Vec<SavedRow>), now: Instant) {
        self.bucket_len = Duration::from_millis(part_ms.into());
        for (entry, row) in rows {
            self.insert_row(entry, row, now);
        }
    }
}
