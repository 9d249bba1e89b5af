//! Checks requests against the allowance of their client account.

use std::time::Duration;

use gradedyke_base::retry::Backoff;
use gradedyke_turns::usage::Total;
use tokio::time::Instant;

use super::Entry;
use super::call::Call;
use super::refusal::Refusal;
use crate::config::Route;
use crate::dialect::Meta;
use gradedyke_policy::account::Account;
use gradedyke_policy::allowance::{Charge, Decision, Snapshot};
use gradedyke_policy::mechanism::Mechanism;

/// Timeout of one usage query to the keepers.
const USAGE_QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of all usage queries of one request together.
const USAGE_CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff before the first retry of a usage query.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
/// Longest backoff between retries of a usage query.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

impl Entry {
    /// Charges a request to its account, if that is limited. The first turn of a program is
    /// also charged with the requests that the program is expected to need.
    ///
    /// # Errors
    ///
    /// [`Refusal::AllowanceExceeded`] if the request is known to exceed the allowance.
    pub(super) fn charge_request(
        &self,
        account: Option<&Account>,
        route: &Route,
        meta: &Meta,
        now: Instant,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(account) = account else {
            return Ok(None);
        };
        let is_program_start = Call::is_program_start(route, meta)
            && self.mechanisms.is_enabled(Mechanism::WholePrograms);
        let planned = is_program_start.then(|| self.demand.expected_requests(&route.name, now));
        let charge = self.limiter.charge(account, planned.unwrap_or(0), now);
        let Some(charge) = charge else {
            return Ok(None);
        };
        if self.limiter.check(&charge, now) == Decision::Exceeded {
            self.limiter.refund(&charge);
            return Err(Refusal::AllowanceExceeded);
        }
        Ok(Some(charge))
    }

    /// Records the account's `total` usage, as the keepers returned it for the report that
    /// `snapshot` belongs to. Returns whether the request is within its allowance.
    pub(super) fn record_usage(&self, call: &Call, snapshot: Snapshot, total: Total) -> bool {
        self.limiter.record_sum(snapshot, total, Instant::now());
        let charge = snapshot.charge;
        let within = charge.is_within(total);
        if !within {
            tracing::info!(event = "beyond_allowance", request = %call.id,
                account = call.account.as_ref().map_or("none", |a| a.name.as_str()),
                begins = charge.starts_program(), requests = total.requests, planned = total.planned,
                limit = charge.limit);
        }
        within
    }

    /// Checks whether a request is within its allowance, asking the keepers if the local
    /// estimate is not sufficient. Not used for turns, whose usage is reported when they begin.
    ///
    /// # Errors
    ///
    /// [`Refusal::AllowanceExceeded`], or [`Refusal::NoKeepers`] if the keepers cannot be reached and the
    /// local estimate leaves no room.
    pub(super) async fn check_allowance(&self, call: &Call) -> Result<(), Refusal> {
        let now = Instant::now();
        if call.meta.program.is_some() {
            self.demand.record_tool_call(now);
        }
        let Some(charge) = &call.charge else {
            return Ok(());
        };
        match self.limiter.check(charge, now) {
            Decision::Within => return Ok(()),
            Decision::Exceeded => return Err(Refusal::AllowanceExceeded),
            Decision::Unknown => {}
        }
        let deadline = call.deadline.min(now + USAGE_CHECK_TIMEOUT);
        let mut backoff = Backoff::unlimited(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            metrics::counter!("gradedyke_usage_asked_total").increment(1);
            let (report, snapshot) = self.limiter.report(charge, Instant::now());
            let query_deadline = deadline.min(Instant::now() + USAGE_QUERY_TIMEOUT);
            if let Ok(Some(total)) = self.quorum.report_usage(&report, query_deadline).await {
                let within = self.record_usage(call, snapshot, total);
                return within.then_some(()).ok_or(Refusal::AllowanceExceeded);
            }
            let now = Instant::now();
            if self.limiter.admits_offline(charge, now) {
                tracing::info!(event = "let_through_unasked", request = %call.id);
                return Ok(());
            }
            if now + MIN_BACKOFF >= deadline {
                return Err(Refusal::NoKeepers);
            }
            tokio::time::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}
