//! Recent usage of each client account, summed over all gateways.
//!
//! An account's allowance applies to all gateways together, while each gateway sees only its
//! own requests. With the requests that begin and end a turn, a gateway therefore reports to
//! the replicas what it admitted in the last window, for the accounts of these turns and for
//! those whose usage has risen. Each replica replies with the sum over all gateways, and the
//! gateway uses the greatest sum.
//!
//! A report covers the gateway's whole window, so a restarted replica is soon up to date, and
//! it also saves the reports on disk. A replica that lost its disk returns a sum that is too
//! low, which does not matter as long as another one returns the right sum.
//!
//! Two alternatives were rejected: a fixed share of the allowance for each gateway refuses
//! requests within the allowance when demand is uneven, and an owner for each account that
//! grants batches costs a call for each request and loses the usage when it changes.

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

/// Number of parts into which a window is divided. Usage expires part by part, so a sum may
/// still include usage that is up to two parts older than the window.
pub const BUCKETS_PER_WINDOW: u32 = 20;

/// Number of parts that are reported: those of a window and the one in progress.
const REPORTED_PARTS: usize = BUCKETS_PER_WINDOW as usize + 1;

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

/// The requests that one gateway admitted for an account in the last window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The account.
    pub account: AccountHash,
    /// Usage by part of the window, the latest first. Missing parts at the end are zero.
    pub parts: Vec<Total>,
}

/// A gateway's usage report to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random identifier of the gateway's process run.
    pub entry: u64,
    /// Length of a part, in milliseconds.
    pub part_ms: u32,
    /// The account whose total the replica returns.
    pub asked: AccountHash,
    /// The usage of accounts.
    pub rows: Vec<Row>,
}

/// Counts one account's usage through one gateway in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    /// Sequence number of the latest part.
    latest: u64,
    /// The latest part first.
    parts: std::collections::VecDeque<Total>,
}

impl Counter {
    /// Adds `amount` to the part with the sequence number `part`, which may be a past one.
    pub fn add(&mut self, part: u64, amount: Total) {
        self.advance_to(part);
        if let Some(total) = self.part_mut(part) {
            total.add(amount);
        }
    }

    /// Subtracts `amount` from a part, to which it was added before.
    pub fn subtract(&mut self, part: u64, amount: Total) {
        if let Some(total) = self.part_mut(part) {
            total.requests = total.requests.saturating_sub(amount.requests);
            total.planned = total.planned.saturating_sub(amount.planned);
        }
    }

    fn part_mut(&mut self, part: u64) -> Option<&mut Total> {
        let index = usize::try_from(self.latest.checked_sub(part)?).ok()?;
        self.parts.get_mut(index)
    }

    fn advance_to(&mut self, part: u64) {
        let new_parts = part.saturating_sub(self.latest).min(REPORTED_PARTS as u64);
        for _ in 0..new_parts {
            self.parts.push_front(Total::default());
        }
        if self.parts.is_empty() {
            self.parts.push_front(Total::default());
        }
        self.parts.truncate(REPORTED_PARTS);
        self.latest = self.latest.max(part);
    }

    /// Returns the parts of the window that ends in `part`, the latest first, without empty
    /// parts at the end.
    pub fn window_buckets(&mut self, part: u64) -> Vec<Total> {
        self.advance_to(part);
        let is_used = |total: &Total| *total != Total::default();
        let end = self.parts.iter().rposition(is_used).map_or(0, |i| i + 1);
        self.parts.iter().take(end).copied().collect()
    }
}

/// The latest usage of an account that a gateway reported.
#[derive(Clone, Debug)]
struct ReportedRow {
    received_at: Instant,
    parts: Vec<Total>,
}

/// The usage reported by all gateways.
#[derive(Debug, Default)]
pub struct Aggregator {
    /// Rows by account and gateway.
    rows: HashMap<AccountHash, HashMap<u64, ReportedRow>>,
    part_length: Duration,
}

/// A row with its gateway, as saved on disk.
pub type SavedRow = (u64, Row);

impl Aggregator {
    /// Stores the rows of a report.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        self.part_length = Duration::from_millis(report.part_ms.into());
        for row in report.rows {
            self.insert_row(report.entry, row, now);
        }
    }

    fn insert_row(&mut self, gateway: u64, row: Row, now: Instant) {
        let window = self.part_length * BUCKETS_PER_WINDOW;
        let gateways = self.rows.entry(row.account).or_default();
        gateways.retain(|_, row| now.saturating_duration_since(row.received_at) <= window);
        let parts = row.parts;
        gateways.insert(
            gateway,
            ReportedRow {
                received_at: now,
                parts,
            },
        );
    }

    /// Returns an account's usage in the last window over all gateways.
    ///
    /// ```
    /// use gradedyke_turns::usage::{Board, Report, Row, Total};
    /// use std::time::Duration;
    ///
    /// let now = tokio::time::Instant::now();
    /// let part = |requests| Total { requests, planned: 0 };
    /// let mut board = Board::default();
    /// for entry in [1, 2] {
    ///     let rows = vec![Row { account: 7, parts: vec![part(2), part(3)] }];
    ///     board.put(Report { entry, part_ms: 250, asked: 7, rows }, now);
    /// }
    /// assert_eq!(board.total(7, now).requests, 10);
    /// // The window is 5 s long, and usage expires by parts of 250 ms.
    /// assert_eq!(board.total(7, now + Duration::from_millis(5_100)).requests, 4);
    /// assert_eq!(board.total(7, now + Duration::from_millis(5_300)).requests, 0);
    /// ```
    pub fn total(&self, account: AccountHash, now: Instant) -> Total {
        let mut total = Total::default();
        for row in self.rows.get(&account).into_iter().flat_map(|g| g.values()) {
            for part in self.parts_in_window(row, now) {
                total.add(*part);
            }
        }
        total
    }

    /// Returns the parts of a row that are still in the window.
    fn parts_in_window<'a>(&self, row: &'a ReportedRow, now: Instant) -> &'a [Total] {
        let remaining = REPORTED_PARTS.saturating_sub(self.elapsed_parts(row.received_at, now));
        &row.parts[..remaining.min(row.parts.len())]
    }

    /// Returns the number of whole parts between two times.
    fn elapsed_parts(&self, since: Instant, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(since).as_millis();
        let parts = elapsed.checked_div(self.part_length.as_millis());
        parts.map_or(0, |p| usize::try_from(p).unwrap_or(REPORTED_PARTS))
    }

    /// Returns the length of a part in milliseconds and all usage that is still in the
    /// window, to be saved on disk.
    pub fn export(&self, now: Instant) -> (u32, Vec<SavedRow>) {
        let mut all = Vec::new();
        for (account, gateways) in &self.rows {
            for (gateway, reported) in gateways {
                let mut parts =
                    vec![Total::default(); self.elapsed_parts(reported.received_at, now)];
                parts.extend_from_slice(self.parts_in_window(reported, now));
                parts.truncate(REPORTED_PARTS);
                let row = Row {
                    account: *account,
                    parts,
                };
                if row.parts.iter().any(|p| *p != Total::default()) {
                    all.push((*gateway, row));
                }
            }
        }
        (
            u32::try_from(self.part_length.as_millis()).unwrap_or_default(),
            all,
        )
    }

    /// Restores saved usage as if it had been reported at `now`. The time since it was saved
    /// is not known; assuming none never admits more than the allowance.
    pub fn restore(&mut self, (part_ms, rows): (u32, Vec<SavedRow>), now: Instant) {
        self.part_length = Duration::from_millis(part_ms.into());
        for (gateway, row) in rows {
            self.insert_row(gateway, row, now);
        }
    }
}
