//! Runs one call, from waiting in its queue to publishing its outcome.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::tree::{DEFAULT_ROUTING_POLICY, Effective};
use tokio::time::Instant;

use super::answer::{Answer, End};
use super::holding::ServedSlot;
use super::session::{Session, Ticket};
use super::{Owner, accept, chat, slot_moving, tool};
use crate::program::record::{Intent, Record};
use crate::program::state;
use crate::routing::fleet::ServerKey;
use crate::routing::{CallInfo, Candidate};
use crate::wire::{Operation, Outcome};

/// State of a running call.
pub(super) struct Context {
    pub owner: Arc<Owner>,
    pub served_slot: Arc<ServedSlot>,
    pub session: Arc<Session>,
    pub key: state::ProgramKey,
    pub program: id::Program,
    pub request: id::Request,
    pub ticket: Ticket,
    pub answer: Arc<Answer>,
    pub settings: Effective,
    /// When this owner accepted or resumed the call; its deadline counts from here.
    pub accepted_at: Instant,
}

/// Why a call ends without an outcome in the journal.
pub(super) enum Abort {
    /// It certainly did not run; the caller may send it again.
    NotRun(Problem),
    /// The slot has moved to another owner.
    Moved,
}

impl From<Problem> for Abort {
    fn from(problem: Problem) -> Self {
        match problem.kind {
            Kind::Moving => Abort::Moved,
            _ => Abort::NotRun(problem),
        }
    }
}

/// An outcome and the tokens spent on it.
pub(super) struct Finished {
    pub outcome: Outcome,
    pub spent: u64,
}

/// Runs a new call.
pub(super) async fn run(context: Context, work: Operation) {
    let result = tokio::select! {
        biased;
        () = context.served_slot.stop.cancelled() => Err(Abort::Moved),
        result = execute(&context, &work) => result,
    };
    context.finish(&work, result).await;
}

async fn execute(context: &Context, work: &Operation) -> Result<Finished, Abort> {
    context.wait_turn().await?;
    match work {
        Operation::Chat { request, history } => chat::call(context, request, *history).await,
        Operation::Service {
            service,
            call,
            repeatable,
        } => tool::call(context, work, service, call, *repeatable).await,
    }
}

/// Resumes a call that an earlier owner had sent.
pub(super) async fn resume(context: Context, intent: Intent) {
    let result = tokio::select! {
        biased;
        () = context.served_slot.stop.cancelled() => Err(Abort::Moved),
        result = resume_work(&context, &intent) => result,
    };
    context.finish(&intent.work, result).await;
}

async fn resume_work(context: &Context, intent: &Intent) -> Result<Finished, Abort> {
    match context.wait_turn().await {
        // The earlier owner may have sent it, so it may have run.
        Err(Abort::NotRun(problem)) => {
            context.session.settle(intent.reserved, intent.reserved);
            return Ok(Finished {
                outcome: Outcome::Failed(problem.with_unknown_outcome()),
                spent: intent.reserved,
            });
        }
        other => other?,
    }
    match &intent.work {
        Operation::Chat { request, .. } => chat::resume(context, request, intent).await,
        Operation::Service {
            service,
            call,
            repeatable,
        } => tool::resume(context, service, call, *repeatable, intent).await,
    }
}

impl Context {
    /// Returns the deadline of the call.
    pub(super) fn deadline(&self) -> Instant {
        self.accepted_at + Duration::from_millis(self.settings.call_ms)
    }

    async fn wait_turn(&self) -> Result<(), Abort> {
        let turn = self.session.wait_turn(self.key, self.ticket);
        tokio::select! {
            () = turn => {}
            () = self.answer.cancel.cancelled() => return Err(Abort::NotRun(program_ended())),
            () = tokio::time::sleep_until(self.deadline()) => {
                let message = "the calls before this one took too long, it was not run; send it \
                               again when they have ended";
                let problem = Problem::new(Kind::Unavailable, message);
                return Err(Abort::NotRun(problem.with_retry_after(Duration::from_secs(1))));
            }
        }
        let ended = self.session.read(self.key, |p| p.ended.is_some());
        if ended.unwrap_or(true) {
            return Err(Abort::NotRun(program_ended()));
        }
        Ok(())
    }

    /// Chooses a backend server by the program's routing policy.
    pub(super) fn route(
        &self,
        call_info: &CallInfo,
        candidates: &[Candidate],
    ) -> Option<ServerKey> {
        let policies = &self.owner.policies;
        let configured = policies.get(self.settings.routing.as_str());
        let policy = configured.or_else(|| policies.get(DEFAULT_ROUTING_POLICY))?;
        let index = policy.choose(call_info, candidates)?;
        candidates.get(index).map(|candidate| candidate.key)
    }

    /// Appends the intent to send this call to the journal.
    pub(super) async fn append_intent(&self, intent: Intent) -> Result<(), Abort> {
        let record = Record::Intended {
            program: self.program.clone(),
            request: self.request.clone(),
            intent,
        };
        self.append(record).await
    }

    /// Records in the journal that an intended call certainly did not run.
    pub(super) async fn withdraw(&self, problem: Problem) -> Abort {
        let record = Record::Withdrawn {
            program: self.program.clone(),
            request: self.request.clone(),
        };
        match self.append(record).await {
            Ok(()) => Abort::NotRun(problem),
            Err(abort) => abort,
        }
    }

    async fn append(&self, record: Record) -> Result<(), Abort> {
        self.served_slot.append(&record).await?;
        self.session.apply(&record);
        Ok(())
    }

    /// Appends the outcome to the journal, publishes it and lets the next call of
    /// the program run.
    async fn finish(self, work: &Operation, result: Result<Finished, Abort>) {
        let (end, ran) = match result {
            Ok(finished) => match self.append_outcome(finished).await {
                Ok(outcome) => (End::Outcome(outcome), true),
                Err(_) => (End::Moved, false),
            },
            Err(Abort::NotRun(problem)) => (accept::failed_end(problem), false),
            Err(Abort::Moved) => (End::Moved, false),
        };
        self.record_metrics(work, &end);
        let now = Instant::now();
        self.session.record_activity(now);
        self.session
            .finish(self.key, &self.request, self.ticket, end, ran);
    }

    /// Appends the outcome, or the error that replaces one which is too large to be stored.
    async fn append_outcome(&self, finished: Finished) -> Result<Outcome, Abort> {
        let Finished { outcome, spent } = finished;
        match self.append_answered(&outcome, spent).await {
            Ok(()) => Ok(outcome),
            Err(Abort::NotRun(problem)) if problem.kind == Kind::TooLarge => {
                tracing::warn!(event = "answer_too_large", program = %self.program,
                    request = %self.request, why = problem.message);
                let outcome = Outcome::Failed(answer_too_large());
                self.append_answered(&outcome, spent).await?;
                Ok(outcome)
            }
            Err(abort) => Err(abort),
        }
    }

    async fn append_answered(&self, outcome: &Outcome, spent: u64) -> Result<(), Abort> {
        let record = Record::Answered {
            program: self.program.clone(),
            request: self.request.clone(),
            outcome: outcome.clone(),
            spent,
        };
        self.append(record).await
    }

    fn record_metrics(&self, work: &Operation, end: &End) {
        let kind = match work {
            Operation::Chat { .. } => "chat",
            Operation::Service { .. } => "service",
        };
        let result = match end {
            End::Outcome(Outcome::Failed(problem)) => problem.kind.name(),
            End::Outcome(_) => "ok",
            End::Moved => "moved",
        };
        let account = self.session.account.to_string();
        let class = self.settings.class.name();
        let seconds = self.accepted_at.elapsed().as_secs_f64();
        metrics::histogram!("gradedyke_call_seconds",
            "account" => account.clone(), "class" => class, "kind" => kind)
        .record(seconds);
        metrics::counter!("gradedyke_calls_total",
            "account" => account, "class" => class, "kind" => kind, "result" => result)
        .increment(1);
        tracing::info!(event = "call_ended", account = %self.session.account, program = %self.program,
            request = %self.request, kind, result, ms = (seconds * 1e3) as u64);
    }
}

/// Returns the error for a call that ran and whose answer is too large to be stored.
fn answer_too_large() -> Problem {
    let message = "the call ran, and its answer is too large to be kept; it will not be sent \
                   again; ask the backend server for less, or read the result there";
    Problem::new(Kind::OutcomeUnknown, message)
}

/// Returns the error for a call that was cancelled before it was sent.
pub(super) fn program_ended() -> Problem {
    let message =
        "the program has ended or was cancelled, and the call was not run; open a new one";
    let mut problem = Problem::new(Kind::Ended, message);
    problem.not_run = true;
    problem
}

impl From<Abort> for Problem {
    fn from(abort: Abort) -> Self {
        match abort {
            Abort::NotRun(problem) => problem,
            Abort::Moved => slot_moving(),
        }
    }
}
