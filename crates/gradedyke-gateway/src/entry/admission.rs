//! Checks requests against the allowance of their client account.

use std::sync::Arc;
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
use gradedyke_policy::demand::Progress;
use gradedyke_policy::mechanism::Mechanism;
use gradedyke_policy::plan::Plan;

/// Timeout of one usage query to the keepers. Thirty times the 3 ms that an exchange which begins
/// a turn takes on average.
const USAGE_QUERY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of all usage queries of one request together.
const USAGE_CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff before the first retry of a usage query.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
/// Longest backoff between retries of a usage query.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Timeout of the report that a charge was refunded. Later reports contain the refund, too.
const REFUND_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Retry delay of a refusal for an allowance where [`Mechanism::ProgramPlan`] is disabled.
const UNPLANNED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Entry {
    /// Returns what a program that begins with this request is expected to need; an empty plan
    /// if the request begins none. The repetition of a first turn that has run begins none.
    fn plan_program(&self, account: &Account, route: &Route, meta: &Meta, now: Instant) -> Plan {
        let is_program_start = Call::is_program_start(route, meta)
            && self.mechanisms.is_enabled(Mechanism::WholePrograms);
        if !is_program_start {
            return Plan::default();
        }
        let is_enabled = self.mechanisms.is_enabled(Mechanism::ProgramPlan);
        let Some(expected) = meta.program_deadline.filter(|_| is_enabled) else {
            return Plan::at_start(self.demand.expected_requests(&route.name, now));
        };
        let program = meta.program.as_ref().map(|p| account.scoped_id(p));
        if program.is_some_and(|program| self.demand.is_running(&program, now)) {
            return Plan::default();
        }
        self.demand.plan(&route.name, expected, now)
    }

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
        let plan = self.plan_program(account, route, meta, now);
        let Some(charge) = self.limiter.charge_plan(account, plan, now) else {
            return Ok(None);
        };
        if self.limiter.check(&charge, now) == Decision::Exceeded {
            self.limiter.refund(&charge);
            let wait = self.limiter.record_refused(&charge, now);
            tracing::info!(
                event = "beyond_known_allowance",
                request = meta.request_id.as_ref().map_or("none", |id| id.as_str()),
                account = account.name.as_str(),
                begins = charge.starts_program(),
                own_planned = charge.amount.planned,
                limit = charge.limit,
                wait_ms = wait.as_millis()
            );
            count_refusal(account, &charge);
            return Err(Refusal::AllowanceExceeded);
        }
        Ok(Some(charge))
    }

    /// Returns the retry delay of a request that was refused for its allowance before it was
    /// routed; zero for any other refusal.
    pub(super) fn unrouted_wait(&self, refusal: Refusal, meta: &Meta) -> Duration {
        if refusal != Refusal::AllowanceExceeded {
            return Duration::ZERO;
        }
        let config = self.config.load();
        let accounts = config.as_ref().and_then(|c| c.accounts.as_ref());
        let account = meta.key.and_then(|key| accounts?.find(key));
        match account {
            Some(account) if self.mechanisms.is_enabled(Mechanism::ProgramPlan) => {
                self.limiter.last_refused_wait(account)
            }
            _ => UNPLANNED_RETRY_AFTER,
        }
    }

    /// Refunds a call that was refused and has not run. If the program isn't expected to go on and
    /// the keepers know of the call, they are told in the background: until then they count the
    /// program's plan, and other entries refuse programs that would fit. Keepers that are
    /// overloaded get no additional report.
    pub(super) fn refund(self: &Arc<Self>, call: &Call, refusal: Refusal) {
        let Some(charge) = call.charge else {
            return;
        };
        self.limiter.refund(&charge);
        if !self.mechanisms.is_enabled(Mechanism::ProgramPlan) {
            return;
        }
        let is_over = charge.starts_program() || refusal == Refusal::AllowanceExceeded;
        let program = call.meta.program.as_ref().map(|p| call.scoped_id(p));
        if let (true, Some(program)) = (is_over, program) {
            self.demand.record_refused(&program, Instant::now());
        }
        let is_overload = matches!(refusal, Refusal::NoKeepers | Refusal::Throttled);
        if is_over && !is_overload && self.limiter.was_reported(&charge) {
            tokio::spawn(report_refund(self.clone(), charge));
        }
    }

    /// Returns the retry delay of a call that was refused for its allowance and refunded.
    pub(super) fn refused_wait(&self, call: &Call) -> Duration {
        let Some(charge) = call.charge else {
            return UNPLANNED_RETRY_AFTER;
        };
        if let Some(account) = &call.account {
            count_refusal(account, &charge);
        }
        if !self.mechanisms.is_enabled(Mechanism::ProgramPlan) {
            return UNPLANNED_RETRY_AFTER;
        }
        self.limiter.record_refused(&charge, Instant::now())
    }

    /// Whether a turn is admitted although its program has had more turns than expected. What
    /// it needs beyond its plan is added to what its account's programs plan.
    pub(super) fn admits_progress(&self, call: &Call, total: Total, attempts: usize) -> bool {
        let (Some(charge), Some(program)) = (&call.charge, &call.meta.program) else {
            return true;
        };
        if charge.starts_program() || !self.mechanisms.is_enabled(Mechanism::ProgramPlan) {
            return true;
        }
        let now = Instant::now();
        let (route, program) = (&call.route.name, call.scoped_id(program));
        let progress = self.demand.progress(route, &program, attempts, now);
        if progress == Progress::AsPlanned {
            return true;
        }
        let next_program = (progress == Progress::FarBeyond).then(|| {
            let plan = self.demand.typical_plan(route, now);
            plan.map_or(0, |plan| self.limiter.requests_in_window(&plan))
        });
        let is_admitted = charge.is_within_leftover(total, next_program);
        tracing::info!(event = "program_beyond_plan", request = %call.id,
            account = call.account.as_ref().map_or("none", |a| a.name.as_str()),
            attempts, requests = total.requests, planned = total.planned, limit = charge.limit,
            next_program, admitted = is_admitted);
        if is_admitted {
            let requests = self.demand.requests_per_turn(route, now);
            self.limiter.add_unplanned(charge, requests, now);
        }
        is_admitted
    }

    /// Records an admitted turn, from which the needs of later programs are estimated. Turns of
    /// programs far beyond their plan are left out, so that a program that loops doesn't raise
    /// the estimate.
    pub(super) fn record_demand(&self, call: &Call, attempts: usize) {
        let now = Instant::now();
        let route = &call.route.name;
        let is_program_start = Call::is_program_start(&call.route, &call.meta);
        let program = call.meta.program.as_ref().map(|p| call.scoped_id(p));
        if let (true, Some(program), Some(expected)) =
            (is_program_start, &program, call.meta.program_deadline)
        {
            self.demand.record_start(route, program, expected, now);
        }
        let is_plan_enabled = self.mechanisms.is_enabled(Mechanism::ProgramPlan);
        let is_far_beyond = program.as_ref().is_some_and(|program| {
            self.demand.progress(route, program, attempts, now) == Progress::FarBeyond
        });
        if !is_plan_enabled || !is_far_beyond {
            let is_timed = call.meta.program_deadline.is_some();
            self.demand
                .record_turn(route, program.as_ref(), is_program_start, is_timed, now);
        }
    }

    /// Records the account's `total` usage, as the keepers returned it for the report that
    /// `snapshot` belongs to. Returns whether the request is within its allowance.
    pub(super) fn record_usage(&self, call: &Call, snapshot: Snapshot, total: Total) -> bool {
        self.limiter.record_sum(snapshot, total, Instant::now());
        let charge = snapshot.charge;
        let within = charge.is_within(total);
        if let Some(account) = &call.account {
            let account = account.name.as_str().to_owned();
            metrics::gauge!("gradedyke_allowance_requests", "account" => account.clone())
                .set(total.requests);
            metrics::gauge!("gradedyke_allowance_planned", "account" => account).set(total.planned);
        }
        if within && charge.starts_program() {
            tracing::info!(event = "program_planned", request = %call.id,
                account = call.account.as_ref().map_or("none", |a| a.name.as_str()),
                requests = total.requests, planned = total.planned,
                own_planned = charge.amount.planned, limit = charge.limit);
        }
        if !within {
            tracing::info!(event = "beyond_allowance", request = %call.id,
                account = call.account.as_ref().map_or("none", |a| a.name.as_str()),
                begins = charge.starts_program(), requests = total.requests, planned = total.planned,
                own_planned = charge.amount.planned, limit = charge.limit);
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
        if let Some(program) = &call.meta.program {
            self.demand.record_tool_call(&call.scoped_id(program), now);
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

/// Counts a request that was refused for its allowance.
fn count_refusal(account: &Account, charge: &Charge) {
    let begins = if charge.starts_program() { "yes" } else { "no" };
    let account = account.name.as_str().to_owned();
    metrics::counter!("gradedyke_allowance_refused_total", "account" => account, "begins" => begins)
        .increment(1);
}

/// Reports the usage of an account after a refund.
async fn report_refund(entry: Arc<Entry>, charge: Charge) {
    let now = Instant::now();
    let (report, snapshot) = entry.limiter.report(&charge, now);
    let deadline = now + REFUND_REPORT_TIMEOUT;
    if let Ok(Some(total)) = entry.quorum.report_usage(&report, deadline).await {
        entry.limiter.record_sum(snapshot, total, Instant::now());
    }
}
