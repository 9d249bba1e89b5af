//! A call to a plain service.
//!
//! A call that may not be repeated is sent at most once, whatever happens: its
//! intent is in the journal before it goes out, and from then on nobody sends
//! it again unless the connect itself failed. Where its answer is lost, the
//! service is asked what became of it; a service that cannot tell leaves the
//! outcome unknown, and the caller is told so.

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

/// First wait before another attempt.
const RETRY_FIRST: Duration = Duration::from_millis(50);
/// Longest such wait.
const RETRY_LAST: Duration = Duration::from_secs(1);
/// Attempts after the first.
const RETRIES: u32 = 5;
/// Times that a service is asked what became of a call.
const QUESTIONS: u32 = 5;
/// When to come back where no backend server can be reached.
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

/// Goes on with a call that an earlier owner had sent, or was about to.
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

/// Makes attempts until one is answered or none is left. `sent` tells whether
/// the call may have run already.
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

/// Asks what became of a call whose answer is lost.
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

/// The outcome, if the service tells it. That a call has not arrived is no
/// outcome: it may still be on its way.
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
