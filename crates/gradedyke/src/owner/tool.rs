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
use super::run::{Context, Finished, Stop};
use crate::program::record::Intent;
use crate::routing::Question;
use crate::routing::fleet::{Choice, Key, Link};
use crate::wire::{Outcome, Work};

/// First backoff before another attempt or outcome query.
const RETRY_FIRST: Duration = Duration::from_millis(50);
/// Maximum backoff between attempts or outcome queries.
const RETRY_LAST: Duration = Duration::from_secs(1);
/// Maximum number of attempts after the first.
const RETRIES: u32 = 5;
/// Maximum number of outcome queries after the first.
const QUESTIONS: u32 = 5;
/// Retry delay suggested to callers when no backend server ran the call.
const COME_BACK: Duration = Duration::from_secs(2);

/// Runs a new call.
pub(super) async fn call(
    context: &Context,
    work: &Work,
    name: &str,
    call: &service::Call,
    repeatable: bool,
) -> Result<Finished, Stop> {
    let first = choose(context, name, &[]);
    let intent = Intent {
        work: work.clone(),
        fingerprint: context.answer.fingerprint.clone(),
        backend: first.as_ref().map(|choice| choice.id.clone()),
        attempt: idempotency_key(&context.program, &context.request),
        reserved: 0,
    };
    context.intend(intent).await?;
    attempts(context, name, call, repeatable, first, false).await
}

/// Resumes a call that an earlier owner had sent or was about to send.
pub(super) async fn take_up(
    context: &Context,
    name: &str,
    call: &service::Call,
    repeatable: bool,
    intent: &Intent,
) -> Result<Finished, Stop> {
    if repeatable {
        let first = choose(context, name, &[]);
        return attempts(context, name, call, repeatable, first, true).await;
    }
    let backend = intent.backend.as_ref();
    let choice = backend.and_then(|id| context.owner.fleet.find(id));
    Ok(ask(context, choice.as_ref(), "its owner was replaced").await)
}

fn choose(context: &Context, name: &str, avoid: &[Key]) -> Option<Choice> {
    let owner = &context.owner;
    let now = Instant::now();
    let candidates = owner.fleet.services(name, avoid, now);
    let question = Question {
        prompt_tokens: 0,
        answer_tokens: 0,
        now,
    };
    let key = context.route(&question, &candidates)?;
    owner.fleet.book(key, &[], &[], 0)
}

/// Makes attempts until one is answered or no retry is left. `sent` tells
/// whether the call may have run already.
async fn attempts(
    context: &Context,
    name: &str,
    call: &service::Call,
    repeatable: bool,
    first: Option<Choice>,
    mut sent: bool,
) -> Result<Finished, Stop> {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LAST, RETRIES);
    let mut choice = first;
    let mut avoid = Vec::new();
    loop {
        let failed = match &choice {
            Some(chosen) => {
                let result = one(context, chosen, call).await;
                avoid.push(chosen.key);
                match result {
                    Ok(reply) => {
                        context.owner.fleet.succeeded(chosen.key);
                        return Ok(finished(Outcome::Service(reply)));
                    }
                    Err(error) => {
                        context.owner.fleet.failed(chosen.key, Instant::now());
                        error
                    }
                }
            }
            None => Error::NotSent(format!("no backend server offers {name} now")),
        };
        if !failed.not_run() {
            sent = true;
            if !repeatable {
                return Ok(ask(context, choice.as_ref(), &failed.to_string()).await);
            }
        }
        tracing::warn!(event = "attempt_failed", program = %context.program,
            request = %context.request, error = %failed);
        let stop = context.answer.cancel.is_cancelled() || Instant::now() >= context.deadline();
        let Some(wait) = backoff.wait(rand::random()).filter(|_| !stop) else {
            return exhausted(context, &failed, sent).await;
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

async fn one(
    context: &Context,
    choice: &Choice,
    call: &service::Call,
) -> Result<service::Reply, Error> {
    let Link::Service(service) = &choice.link else {
        return Err(Error::NotSent("not a plain service".to_owned()));
    };
    let left = context.deadline().saturating_duration_since(Instant::now());
    let key = idempotency_key(&context.program, &context.request);
    let exchange = service.call(&key, call, left);
    tokio::select! {
        result = exchange => result,
        () = context.answer.cancel.cancelled() => Err(Error::Broken("cancelled".to_owned())),
    }
}

/// Determines the outcome of a call whose answer is lost.
async fn ask(context: &Context, choice: Option<&Choice>, cause: &str) -> Finished {
    let key = idempotency_key(&context.program, &context.request);
    let reply = match choice.map(|c| &c.link) {
        Some(Link::Service(service)) => told(&**service, &key).await,
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
async fn told(service: &dyn Service, key: &str) -> Option<service::Reply> {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LAST, QUESTIONS);
    loop {
        match service.outcome(key).await {
            Ok(Some(reply)) => return Some(reply),
            Err(Error::Invalid { .. }) => return None,
            Ok(None) | Err(_) => {}
        }
        tokio::time::sleep(backoff.wait(rand::random())?).await;
    }
}

fn finished(outcome: Outcome) -> Finished {
    Finished { outcome, spent: 0 }
}

async fn exhausted(context: &Context, error: &Error, sent: bool) -> Result<Finished, Stop> {
    let message = format!("no backend server ran the call ({error}); send it again later");
    if sent {
        let problem = Problem::new(Kind::BackendFailed, message).retry_after(COME_BACK);
        return Ok(finished(Outcome::Failed(problem)));
    }
    let problem = Problem::new(Kind::Unavailable, message).retry_after(COME_BACK);
    Err(context.withdraw(problem).await)
}
