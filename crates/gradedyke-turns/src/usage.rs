//! What each client account has had run lately, over all entries.
//!
//! An allowance holds over all entries together, and each sees a part of the use. So an
//! entry tells the keepers, with the exchanges that begin and end a turn, what it let
//! through in the last window for the accounts that these exchanges concern or whose use
//! has risen, and each keeper answers with the sum over all entries. A keeper that was
//! started anew knows the use again from what it wrote down and as soon as entries tell
//! theirs, because each tells all of its window; one that lost its disk is outvoted by
//! the others, since the greatest sum counts.
//!
//! Weighed against a share of the allowance for each entry (a fixed one refuses most of
//! what is within it, because demand is uneven: 62 in 100 programs of a calm day of 58
//! entries) and against one owner for each account that grants batches (a call more for
//! each request, and a new owner knows of no use).

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::record::Id;

/// An account's name in short, which travels with every turn.
pub type Account = u64;

/// The short name of an account.
pub fn account(name: &Id) -> Account {
    let mut hasher = DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Parts of a window: what is told is as coarse as one of them, so a sum is up to a
/// tenth too high where two meet, and never too low.
pub const PARTS: u32 = 20;

/// Parts that are told: those of a window, and the one that has just begun.
const TOLD: usize = PARTS as usize + 1;

/// Use of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Requests that were let through.
    pub requests: u32,
    /// Requests that the programs begun are expected to need.
    pub planned: u32,
}

impl Total {
    /// The greater of two, each by itself.
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

/// What one entry let through for an account in the last window, in parts; the latest
/// first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The account.
    pub account: Account,
    /// The parts; those that are left out at the end are empty.
    pub parts: Vec<Total>,
}

/// What one entry tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The entry, by the start of its process.
    pub entry: u64,
    /// Length of a part, in milliseconds.
    pub part_ms: u32,
    /// The account whose sum is asked for.
    pub asked: Account,
    /// Its use of accounts.
    pub rows: Vec<Row>,
}

/// Use of one account through one entry, part by part.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Number of the latest part since the start, and the parts, the latest first.
    latest: u64,
    parts: std::collections::VecDeque<Total>,
}

impl Tally {
    /// Counts `more` in the part with number `part`, which may be one that has passed.
    pub fn add(&mut self, part: u64, more: Total) {
        self.roll(part);
        if let Some(held) = self.at(part) {
            held.add(more);
        }
    }

    /// Takes back what was counted in a part.
    pub fn undo(&mut self, part: u64, back: Total) {
        if let Some(held) = self.at(part) {
            held.requests = held.requests.saturating_sub(back.requests);
            held.planned = held.planned.saturating_sub(back.planned);
        }
    }

    fn at(&mut self, part: u64) -> Option<&mut Total> {
        let back = usize::try_from(self.latest.checked_sub(part)?).ok()?;
        self.parts.get_mut(back)
    }

    fn roll(&mut self, part: u64) {
        let fresh = part.saturating_sub(self.latest).min(TOLD as u64);
        for _ in 0..fresh {
            self.parts.push_front(Total::default());
        }
        if self.parts.is_empty() {
            self.parts.push_front(Total::default());
        }
        self.parts.truncate(TOLD);
        self.latest = self.latest.max(part);
    }

    /// All parts of the window that ends in `part`, the latest first.
    pub fn told(&mut self, part: u64) -> Vec<Total> {
        self.roll(part);
        let full = |total: &Total| *total != Total::default();
        let end = self.parts.iter().rposition(full).map_or(0, |at| at + 1);
        self.parts.iter().take(end).copied().collect()
    }
}

/// What an entry told of an account, and when.
#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    parts: Vec<Total>,
}

/// What all entries told.
#[derive(Debug, Default)]
pub struct Board {
    rows: HashMap<Account, HashMap<u64, Told>>,
    part: Duration,
}

/// A row with its entry, as it is written down.
pub type Written = (u64, Row);

impl Board {
    /// Takes a report in.
    pub fn put(&mut self, report: Report, now: Instant) {
        self.part = Duration::from_millis(report.part_ms.into());
        for row in report.rows {
            self.place(report.entry, row, now);
        }
    }

    fn place(&mut self, entry: u64, row: Row, now: Instant) {
        let window = self.part * PARTS;
        let entries = self.rows.entry(row.account).or_default();
        entries.retain(|_, told| now.saturating_duration_since(told.at) <= window);
        let parts = row.parts;
        entries.insert(entry, Told { at: now, parts });
    }

    /// What all entries together let through for an account in the last window.
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
    /// // The window is 5 s long, and what is told is as coarse as a part.
    /// assert_eq!(board.total(7, now + Duration::from_millis(5_100)).requests, 4);
    /// assert_eq!(board.total(7, now + Duration::from_millis(5_300)).requests, 0);
    /// ```
    pub fn total(&self, account: Account, now: Instant) -> Total {
        let mut total = Total::default();
        for told in self.rows.get(&account).into_iter().flat_map(|e| e.values()) {
            for part in self.left(told, now) {
                total.add(*part);
            }
        }
        total
    }

    /// The parts of a row that are in the window still.
    fn left<'a>(&self, told: &'a Told, now: Instant) -> &'a [Total] {
        let left = TOLD.saturating_sub(self.passed(told.at, now));
        &told.parts[..left.min(told.parts.len())]
    }

    /// Parts that have passed between two moments.
    fn passed(&self, at: Instant, now: Instant) -> usize {
        let passed = now.saturating_duration_since(at).as_millis();
        let passed = passed.checked_div(self.part.as_millis());
        passed.map_or(0, |p| usize::try_from(p).unwrap_or(TOLD))
    }

    /// All that is in the window still, to be written down.
    pub fn written(&self, now: Instant) -> (u32, Vec<Written>) {
        let mut all = Vec::new();
        for (account, entries) in &self.rows {
            for (entry, told) in entries {
                let mut parts = vec![Total::default(); self.passed(told.at, now)];
                parts.extend_from_slice(self.left(told, now));
                parts.truncate(TOLD);
                let row = Row {
                    account: *account,
                    parts,
                };
                if row.parts.iter().any(|p| *p != Total::default()) {
                    all.push((*entry, row));
                }
            }
        }
        (
            u32::try_from(self.part.as_millis()).unwrap_or_default(),
            all,
        )
    }

    /// Takes in what was written down, as if it were told at `now`: the time that has
    /// passed since is not known, and to take it for none lets nothing through too much.
    pub fn restore(&mut self, (part_ms, rows): (u32, Vec<Written>), now: Instant) {
        self.part = Duration::from_millis(part_ms.into());
        for (entry, row) in rows {
            self.place(entry, row, now);
        }
    }
}
