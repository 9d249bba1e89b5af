//! Runs a call to a plain service.
//!
//! A call that is not repeatable is sent at most once: its intent is in the
//! journal before it is sent, and after that it is sent again only if it
//! certainly did not run. If its answer is lost, the service is queried for the
//! outcome; if that fails, the caller gets the error `outcome_unknown`.

use std::time::Duration;

use gradedyke_backend::{Error, Service, service};
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::accept::idempotency_key;
use super::run::{Abort, Context, Finished};
use crate::program::record::Intent;
use crate::routing::CallInfo;
use crate::routing::fleet::{BackendClient, Choice, ServerKey};
use crate::wire::{Operation, Outcome};

/// First backoff before another attempt or outcome query.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between attempts or outcome queries.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of attempts after the first.
const MAX_RETRIES: u32 = 5;
/// Maximum number of retries of an outcome query.
const MAX_OUTCOME_RETRIES: u32 = 5;
/// Retry delay suggested to callers when no backend server ran the call.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a new call.
pub(super) async fn call(
    context: &Context,
    work: &Operation,
    name: &str,
    call: &service::Call,
    repeatable: bool,
) -> Result<Finished, Abort> {
    let first = choose(context, name, &[]);
    let intent = Intent {
        work: work.clone(),
        fingerprint: context.answer.fingerprint.clone(),
        backend: first.as_ref().map(|choice| choice.id.clone()),
        attempt: idempotency_key(&context.program, &context.request),
        reserved: 0,
    };
    context.append_intent(intent).await?;
    run_attempts(context, name, call, repeatable, first, false).await
}

/// Resumes a call that an earlier owner had sent or was about to send.
pub(super) async fn resume(
    context: &Context,
    name: &str,
    call: &service::Call,
    repeatable: bool,
    intent: &Intent,
) -> Result<Finished, Abort> {
    if repeatable {
        let first = choose(context, name, &[]);
        return run_attempts(context, name, call, repeatable, first, true).await;
    }
    let backend = intent.backend.as_ref();
    let choice = backend.and_then(|id| context.owner.fleet.find(id));
    Ok(determine_outcome(context, choice.as_ref(), "its owner was replaced").await)
}

fn choose(context: &Context, name: &str, avoid: &[ServerKey]) -> Option<Choice> {
    let owner = &context.owner;
    let now = Instant::now();
    let candidates = owner.fleet.services(name, avoid, now);
    let call_info = CallInfo {
        prompt_tokens: 0,
        answer_tokens: 0,
        now,
    };
    let key = context.route(&call_info, &candidates)?;
    owner.fleet.start_call(key, &[], &[], 0)
}

/// Makes attempts until one is answered or no retry is left. `may_have_run`
/// tells whether an earlier attempt may have run.
async fn run_attempts(
    context: &Context,
    name: &str,
    call: &service::Call,
    repeatable: bool,
    first: Option<Choice>,
    mut may_have_run: bool,
) -> Result<Finished, Abort> {
    let mut backoff = Backoff::new(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF, MAX_RETRIES);
    let mut choice = first;
    let mut avoid = Vec::new();
    loop {
        let failed = match &choice {
            Some(chosen) => {
                let result = run_attempt(context, chosen, call).await;
                avoid.push(chosen.key);
                match result {
                    Ok(reply) => {
                        context.owner.fleet.record_success(chosen.key);
                        return Ok(finished(Outcome::Service(reply)));
                    }
                    Err(error) => {
                        context
                            .owner
                            .fleet
                            .record_failure(chosen.key, Instant::now());
                        error
                    }
                }
            }
            None => Error::NotSent(format!("no backend server offers {name} now")),
        };
        if !failed.is_not_run() {
            may_have_run = true;
            if !repeatable {
                return Ok(determine_outcome(context, choice.as_ref(), &failed.to_string()).await);
            }
        }
        tracing::warn!(event = "attempt_failed", program = %context.program,
            request = %context.request, error = %failed);
        let give_up = context.answer.cancel.is_cancelled() || Instant::now() >= context.deadline();
        let Some(wait) = backoff
            .next_retry_delay(rand::random())
            .filter(|_| !give_up)
        else {
            return fail_unavailable(context, &failed, may_have_run).await;
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = context.answer.cancel.cancelled() => {}
        }
        choice = choose(context, name, &avoid).or_else(|| {
            avoid.clear();
            choose(context, name, &avoid)
        });
    }
}

async fn run_attempt(
    context: &Context,
    choice: &Choice,
    call: &service::Call,
) -> Result<service::Reply, Error> {
    let BackendClient::Service(service) = &choice.client else {
        return Err(Error::NotSent("not a plain service".to_owned()));
    };
    let time_left = context.deadline().saturating_duration_since(Instant::now());
    let key = idempotency_key(&context.program, &context.request);
    let response = service.call(&key, call, time_left);
    tokio::select! {
        result = response => result,
        () = context.answer.cancel.cancelled() => Err(Error::Interrupted("cancelled".to_owned())),
    }
}

/// Determines the outcome of a call whose answer is lost.
async fn determine_outcome(context: &Context, choice: Option<&Choice>, cause: &str) -> Finished {
    let key = idempotency_key(&context.program, &context.request);
    let reply = match choice.map(|c| &c.client) {
        Some(BackendClient::Service(service)) => query_outcome(&**service, &key).await,
        _ => None,
    };
    if let Some(reply) = reply {
        tracing::info!(event = "outcome_told", program = %context.program, request = %context.request);
        return finished(Outcome::Service(reply));
    }
    tracing::warn!(event = "outcome_unknown", program = %context.program, request = %context.request);
    let message = format!(
        "the call was sent and its answer lost ({cause}); whether it ran is not known, and it \
         will not be sent again; look in the service itself before you issue a new one"
    );
    finished(Outcome::Failed(Problem::new(Kind::OutcomeUnknown, message)))
}

/// Queries the service for the outcome of a call, with retries. If the service
/// has not seen the call, it is queried again: the call may still be in transit.
async fn query_outcome(service: &dyn Service, key: &str) -> Option<service::Reply> {
    let mut backoff = Backoff::new(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF, MAX_OUTCOME_RETRIES);
    loop {
        match service.outcome(key).await {
            Ok(Some(reply)) => return Some(reply),
            Err(Error::Invalid { .. }) => return None,
            Ok(None) | Err(_) => {}
        }
        tokio::time::sleep(backoff.next_retry_delay(rand::random())?).await;
    }
}

fn finished(outcome: Outcome) -> Finished {
    Finished { outcome, spent: 0 }
}

async fn fail_unavailable(
    context: &Context,
    error: &Error,
    may_have_run: bool,
) -> Result<Finished, Abort> {
    let message = format!("no backend server ran the call ({error}); send it again later");
    if may_have_run {
        let problem = Problem::new(Kind::BackendFailed, message).with_retry_after(RETRY_AFTER);
        return Ok(finished(Outcome::Failed(problem)));
    }
    let problem = Problem::new(Kind::Unavailable, message).with_retry_after(RETRY_AFTER);
    Err(context.withdraw(problem).await)
}
