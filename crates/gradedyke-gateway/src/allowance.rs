//! Whether a request is within the allowance of its client account.
//!
//! The load that this answers: accounts that ask for several times what they may have,
//! through all entries at once, beside others that are near their allowance by chance.
//! Nothing beyond the allowance is to run in any window, and nothing within it is to be
//! refused.
//!
//! Each entry counts what it lets through and hears the sum over all entries from the
//! keepers ([`gradedyke_turns::usage`]). A turn hears it with the exchange that begins
//! it, so it is let through by a sum that counts it. A call of a tool has no such
//! exchange. It is let through by what is known where that is young and leaves room
//! (`NEAR`), and asks for the sum where it is not, so that what is counted late cannot
//! add up to more than the room that is left.
//!
//! What an account asks beyond its allowance would be refused at any step of its
//! programs, and a program with one refused step is lost whole. So programs are refused
//! at their first turn, when those begun in the window are expected to need the whole
//! allowance already.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_turns::usage::{self, PARTS, Report, Row, Tally, Total};
use tokio::time::Instant;

use crate::account::{Account, Allowance};

/// Age of a sum up to which a call is let through by it. The end of a turn brings one,
/// and calls follow within a tenth of a second. In this time an account that asks for 7.5
/// times what it should, of which half are calls, adds 13 in 100 of its allowance unseen.
const FRESH: Duration = Duration::from_millis(250);
/// Share of the allowance up to which a call is let through without asking: what is
/// counted late, by [`FRESH`], has room above it.
const NEAR: f64 = 0.8;
/// Entries that may let calls of one account through at the same moment, each unseen by
/// the others: each does so for this part of the room that is left, and asks then. Two
/// entries that were sent 30 calls of an account with an allowance of 10 within a few
/// milliseconds let 16 through without this, and 10 with it.
const BESIDE: u32 = 16;
/// How often the use of an account is told though it has not risen: a keeper that was
/// started anew knows it again after this.
const RETELL: Duration = Duration::from_secs(1);

/// Requests that an account may have let through in a window.
///
/// ```
/// use std::time::Duration;
/// use gradedyke_gateway::account::Allowance;
/// use gradedyke_gateway::allowance::limit;
///
/// let allowance = Allowance { per_second: 10.0, burst: 5.0 };
/// assert_eq!(limit(&allowance, Duration::from_secs(5)), 55);
/// ```
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn limit(allowance: &Allowance, window: Duration) -> u32 {
    let limit = allowance.per_second * window.as_secs_f64() + allowance.burst;
    limit.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// A request that was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counted {
    /// Its account.
    pub account: usage::Account,
    /// What the account may have in a window.
    pub limit: u32,
    /// What it adds to the use of the account.
    pub amount: Total,
    part: u64,
}

impl Counted {
    /// Whether it begins a program.
    pub fn begins(&self) -> bool {
        self.amount.planned > 0
    }

    /// Whether it is within the allowance by a sum that counts it. A program that needs
    /// more than the allowance by itself may begin where no other has: its requests are
    /// spread over longer than a window.
    pub fn within(&self, sum: Total) -> bool {
        let most = self.limit.max(self.amount.planned);
        let planned = !self.begins() || sum.planned <= most;
        planned && sum.requests <= self.limit
    }

    /// Whether it leaves so much room that what is not known yet has some too.
    fn roomy(&self, estimate: &Estimate) -> bool {
        let requests = estimate.sum.requests;
        let room = self.limit.saturating_sub(requests);
        let unseen = estimate.unseen <= (room / BESIDE).max(1);
        unseen && f64::from(requests) <= f64::from(self.limit) * NEAR
    }
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is within the allowance.
    Within,
    /// It is beyond the allowance.
    Beyond,
    /// Keepers have to be asked.
    Unknown,
}

/// A sum, and when it was told.
#[derive(Clone, Copy, Debug)]
struct Known {
    at: Instant,
    sum: Total,
    /// What this entry had let through, ever, when it asked.
    own: Total,
}

/// The sum over all entries, as far as one of them knows it.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    sum: Total,
    /// Requests that this entry let through since it was told the sum.
    unseen: u32,
    /// How long ago that was.
    age: Duration,
}

/// An account's use, as one entry knows it.
#[derive(Debug, Default)]
struct Use {
    tally: Tally,
    /// What this entry let through, ever.
    own: Total,
    known: Option<Known>,
    told: Option<Instant>,
    raised: bool,
}

impl Use {
    /// The sum at `now`; `None` before any was told.
    fn estimate(&self, now: Instant) -> Option<Estimate> {
        let known = self.known?;
        let unseen = rise(known.own.requests, self.own.requests);
        let sum = Total {
            requests: known.sum.requests + unseen,
            planned: known.sum.planned + rise(known.own.planned, self.own.planned),
        };
        Some(Estimate {
            sum,
            unseen,
            age: now.saturating_duration_since(known.at),
        })
    }
}

/// How far a count that wraps around has risen; nothing where it fell, because more was
/// taken back than came.
fn rise(before: u32, after: u32) -> u32 {
    i32::try_from(after.wrapping_sub(before)).map_or(0, i32::unsigned_abs)
}

/// What a report was made for, to take in its answer: see [`Register::learn`].
#[derive(Clone, Copy, Debug)]
pub struct Mark {
    /// The request.
    pub counted: Counted,
    /// What this entry had let through for its account, ever.
    own: Total,
}

/// What one entry lets through.
#[derive(Debug)]
pub struct Register {
    entry: u64,
    window: Duration,
    start: Instant,
    accounts: Mutex<HashMap<usage::Account, Use>>,
}

impl Register {
    /// An empty register of an entry whose accounts are limited in each `window`.
    pub fn new(entry: u64, window: Duration, now: Instant) -> Self {
        Self {
            entry,
            window,
            start: now,
            accounts: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usage::Account, Use>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn part(&self) -> Duration {
        self.window / PARTS
    }

    /// The number of the part in which `now` is.
    fn number(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.start).as_millis();
        let part = since.checked_div(self.part().as_millis());
        part.and_then(|p| u64::try_from(p).ok()).unwrap_or_default()
    }

    /// Counts a request of an account, if that is limited. One that begins a program is
    /// given the requests that it is expected to need as `planned`, others 0.
    pub fn count(&self, account: &Account, planned: u32, now: Instant) -> Option<Counted> {
        let limit = limit(account.allowance.as_ref()?, self.window);
        let counted = Counted {
            account: usage::account(&account.name),
            limit,
            amount: Total {
                requests: 1,
                planned,
            },
            part: self.number(now),
        };
        let mut accounts = self.lock();
        let used = accounts.entry(counted.account).or_default();
        used.tally.add(counted.part, counted.amount);
        used.own.requests = used.own.requests.wrapping_add(1);
        used.own.planned = used.own.planned.wrapping_add(planned);
        used.raised = true;
        Some(counted)
    }

    /// Takes a request back that has not run.
    pub fn undo(&self, counted: &Counted) {
        let mut accounts = self.lock();
        let Some(used) = accounts.get_mut(&counted.account) else {
            return;
        };
        let back = counted.amount;
        used.tally.undo(counted.part, back);
        used.own.requests = used.own.requests.wrapping_sub(back.requests);
        used.own.planned = used.own.planned.wrapping_sub(back.planned);
        used.raised = true;
    }

    /// What is known of a request without asking.
    pub fn verdict(&self, counted: &Counted, now: Instant) -> Verdict {
        let accounts = self.lock();
        let estimate = accounts.get(&counted.account).and_then(|u| u.estimate(now));
        match estimate {
            Some(known) if known.age <= FRESH => match counted.within(known.sum) {
                false => Verdict::Beyond,
                true if counted.roomy(&known) => Verdict::Within,
                true => Verdict::Unknown,
            },
            _ => Verdict::Unknown,
        }
    }

    /// Whether a request is let through where nobody can be asked: by the last sum that
    /// was told in this window, if that leaves room. Nothing begins meanwhile, because
    /// that takes the same keepers, so what others let through unseen are the calls of
    /// the programs that are under way.
    pub fn unasked(&self, counted: &Counted, now: Instant) -> bool {
        let accounts = self.lock();
        let estimate = accounts.get(&counted.account).and_then(|u| u.estimate(now));
        estimate.is_some_and(|known| known.age <= self.window && counted.roomy(&known))
    }

    /// What this entry tells keepers with a request: the use of its account, and of all
    /// others whose use has risen or was not told for long.
    pub fn report(&self, counted: &Counted, now: Instant) -> (Report, Mark) {
        let number = self.number(now);
        let mut accounts = self.lock();
        let mut rows = Vec::new();
        for (account, used) in accounts.iter_mut() {
            let old = used
                .told
                .is_none_or(|t| now.saturating_duration_since(t) >= RETELL);
            if !used.raised && !old && *account != counted.account {
                continue;
            }
            let parts = used.tally.told(number);
            if parts.is_empty() && !used.raised {
                continue;
            }
            (used.raised, used.told) = (false, Some(now));
            rows.push(Row {
                account: *account,
                parts,
            });
        }
        let own = accounts.get(&counted.account).map(|u| u.own);
        let mark = Mark {
            counted: *counted,
            own: own.unwrap_or_default(),
        };
        let report = Report {
            entry: self.entry,
            part_ms: u32::try_from(self.part().as_millis()).unwrap_or(u32::MAX),
            asked: counted.account,
            rows,
        };
        (report, mark)
    }

    /// Takes in the sum that answers a report.
    pub fn learn(&self, mark: Mark, sum: Total, now: Instant) {
        let mut accounts = self.lock();
        let used = accounts.entry(mark.counted.account).or_default();
        used.known = Some(Known {
            at: now,
            sum,
            own: mark.own,
        });
    }
}
