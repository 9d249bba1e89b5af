//! Whether a request's client account may have it run now.

use std::time::Duration;

use gradedyke_base::retry::Backoff;
use gradedyke_turns::usage::Total;
use tokio::time::Instant;

use super::Entry;
use super::call::Call;
use super::refusal::Refusal;
use crate::account::Account;
use crate::allowance::{Counted, Mark, Verdict};
use crate::config::Route;
use crate::dialect::Meta;
use crate::mechanism::Mechanism;

/// Longest time that keepers which are there have to tell a sum: thirty times the 3 ms
/// that an exchange which begins a turn takes on average.
const ASK: Duration = Duration::from_millis(100);
/// Longest wait for keepers that were lost a moment ago, as for those that begin a turn.
const RESTART: Duration = Duration::from_millis(1_000);
/// Wait before they are asked again, the first time and at most.
const AGAIN: Duration = Duration::from_millis(40);
const LONGEST: Duration = Duration::from_millis(400);

impl Entry {
    /// Counts a request, if its account is limited.
    ///
    /// # Errors
    ///
    /// [`Refusal::Exceeded`] where it is known to be beyond the allowance.
    pub(super) fn count(
        &self,
        account: Option<&Account>,
        route: &Route,
        meta: &Meta,
        now: Instant,
    ) -> Result<Option<Counted>, Refusal> {
        let Some(account) = account else {
            return Ok(None);
        };
        let begins = Call::begins(route, meta) && self.enabled.has(Mechanism::WholePrograms);
        let planned = begins.then(|| self.demand.requests(&route.name, now));
        let counted = self.register.count(account, planned.unwrap_or(0), now);
        let Some(counted) = counted else {
            return Ok(None);
        };
        if self.register.verdict(&counted, now) == Verdict::Beyond {
            self.register.undo(&counted);
            return Err(Refusal::Exceeded);
        }
        Ok(Some(counted))
    }

    /// Takes in the sum that answers a report on the request, and counts it. Returns whether
    /// the request is within its allowance.
    pub(super) fn learn(&self, call: &Call, mark: Mark, sum: Total) -> bool {
        self.register.learn(mark, sum, Instant::now());
        let counted = mark.counted;
        let within = counted.within(sum);
        if !within {
            tracing::info!(event = "beyond_allowance", request = %call.id,
                account = call.account.as_ref().map_or("none", |a| a.name.as_str()),
                begins = counted.begins(), requests = sum.requests, planned = sum.planned,
                limit = counted.limit);
        }
        within
    }

    /// Waits until it is known whether a request that has no exchange with keepers of its
    /// own is within its allowance.
    ///
    /// # Errors
    ///
    /// [`Refusal::Exceeded`], or [`Refusal::NoKeepers`] where nobody can tell.
    pub(super) async fn allow(&self, call: &Call) -> Result<(), Refusal> {
        let now = Instant::now();
        if call.meta.program.is_some() {
            self.demand.call(now);
        }
        let Some(counted) = &call.counted else {
            return Ok(());
        };
        match self.register.verdict(counted, now) {
            Verdict::Within => return Ok(()),
            Verdict::Beyond => return Err(Refusal::Exceeded),
            Verdict::Unknown => {}
        }
        let end = call.until.min(now + RESTART);
        let mut backoff = Backoff::endless(AGAIN, LONGEST);
        loop {
            metrics::counter!("gradedyke_usage_asked_total").increment(1);
            let (report, mark) = self.register.report(counted, Instant::now());
            let until = end.min(Instant::now() + ASK);
            if let Ok(Some(sum)) = self.quorum.used(&report, until).await {
                let within = self.learn(call, mark, sum);
                return within.then_some(()).ok_or(Refusal::Exceeded);
            }
            let now = Instant::now();
            if self.register.unasked(counted, now) {
                tracing::info!(event = "let_through_unasked", request = %call.id);
                return Ok(());
            }
            if now + AGAIN >= end {
                return Err(Refusal::NoKeepers);
            }
            tokio::time::sleep(backoff.step(rand::random())).await;
        }
    }
}
