//! Runs a model call: routes and sends it, streams the answer, and retries on
//! another engine on failure.
//!
//! A model call can be retried, since its only side effect is on the engine's
//! cache. Each attempt reserves its own maximum of tokens, because a lost attempt
//! may have spent its whole reservation.

use std::time::Duration;

use gradedyke_backend::Error;
use gradedyke_backend::chat::{self, Completion, Message, Usage};
use gradedyke_backend::engine::{Call, Pin};
use gradedyke_backend::prefix::Chain;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::retry::Backoff;
use gradedyke_base::settings::tree::Class;
use tokio::time::Instant;

use super::attempt::{self, Attempt};
use super::run::{Context, Finished, Stop, cancelled};
use super::session::Conversation;
use crate::program::record::Intent;
use crate::routing::Question;
use crate::routing::fleet::{Choice, Key, Link};
use crate::wire::{History, Outcome, Work};

/// First backoff before another attempt.
const RETRY_FIRST: Duration = Duration::from_millis(50);
/// Maximum backoff between attempts.
const RETRY_LAST: Duration = Duration::from_secs(2);
/// Maximum number of attempts after the first.
const RETRIES: u32 = 8;
/// Retry delay suggested to callers when no engine ran the call.
const COME_BACK: Duration = Duration::from_secs(2);
/// Assumed bytes per token, for the estimates used by routing.
const BYTES_PER_TOKEN: u64 = 4;
/// Priority of batch calls on engines; lower runs first and staff calls have 0.
const BATCH_PRIORITY: i32 = 10;

/// A call that is ready to be sent.
struct Ready {
    call: Call,
    tokens: Vec<u64>,
    reserved: u64,
    max_tokens: u64,
}

/// Runs a new model call.
pub(super) async fn call(
    context: &Context,
    request: &chat::Request,
    history: History,
) -> Result<Finished, Stop> {
    let max_tokens = request.limit().unwrap_or(context.effective.max_tokens);
    let conversation = context
        .session
        .converse(context.key, request, history, max_tokens)?;
    let ready = prepare(context, request, &conversation);
    let first = choose(context, &ready, &[], Instant::now());
    let mut new = request.clone();
    new.messages = conversation.new;
    let intent = Intent {
        work: Work::Chat {
            request: new,
            history: History::Append,
        },
        fingerprint: context.answer.fingerprint.clone(),
        backend: first.as_ref().map(|choice| choice.id.clone()),
        attempt: ready.call.attempt.clone(),
        reserved: ready.reserved,
    };
    if let Err(stop) = context.intend(intent).await {
        context.session.settle(ready.reserved, 0);
        return Err(stop);
    }
    attempts(context, ready, first, 0).await
}

/// Resumes a model call that an earlier owner had sent. Its tokens are already
/// reserved: [`Session::new`](super::session::Session::new) reserves them again
/// for every open call.
pub(super) async fn take_up(
    context: &Context,
    request: &chat::Request,
    intent: &Intent,
) -> Result<Finished, Stop> {
    let max_tokens = request.limit().unwrap_or(context.effective.max_tokens);
    let history = context.session.read(context.key, |p| p.history.clone());
    let mut whole: Vec<Message> = history.unwrap_or_default();
    whole.extend(request.messages.iter().cloned());
    let conversation = Conversation {
        new: request.messages.clone(),
        whole,
        reserved: intent.reserved,
        max_tokens,
    };
    let ready = prepare(context, request, &conversation);
    let engine = intent.backend.as_ref();
    let sent_to = engine.and_then(|id| context.owner.fleet.find(id));
    if let Some(choice) = sent_to {
        let resumed = attempt::resume(context, &choice, &intent.attempt, 1).await;
        if let Attempt::Whole(completion, usage) = resumed {
            return Ok(whole_answer(context, &ready, completion, usage, 0));
        }
        attempt::cancel(context, &choice, &intent.attempt);
    }
    if let Some(end) = lose(context, &ready, ready.reserved) {
        return Ok(end);
    }
    let first = choose(context, &ready, &[], Instant::now());
    let lost = ready.reserved;
    attempts(context, ready, first, lost).await
}

fn prepare(context: &Context, request: &chat::Request, conversation: &Conversation) -> Ready {
    let account = &context.session.account;
    let chain = Chain::over(account, &request.model, &conversation.whole);
    let tokens = conversation.whole.iter().map(estimate).collect();
    let mut sent = request.clone();
    sent.messages.clone_from(&conversation.whole);
    sent.stream = true;
    sent.max_completion_tokens = None;
    sent.max_tokens = Some(conversation.max_tokens);
    sent.rest.remove("stream_options");
    let priority = match context.effective.class {
        Class::Staff => 0,
        Class::Batch => BATCH_PRIORITY,
    };
    Ready {
        call: Call {
            attempt: attempt_name(context, 0),
            request: sent,
            chain,
            priority,
        },
        tokens,
        reserved: conversation.reserved,
        max_tokens: conversation.max_tokens,
    }
}

/// Returns the id of an attempt. The epoch makes it unique across owners.
fn attempt_name(context: &Context, number: u32) -> String {
    let Context {
        program, request, ..
    } = context;
    format!(
        "{program}:{request}:{}:{number}",
        context.holding.log.epoch()
    )
}

/// Estimates the tokens of a message.
fn estimate(message: &Message) -> u64 {
    let bytes: usize = message.values().map(|v| v.to_string().len()).sum();
    bytes as u64 / BYTES_PER_TOKEN + 1
}

/// Chooses an engine and counts the call as in flight there.
fn choose(context: &Context, ready: &Ready, avoid: &[Key], now: Instant) -> Option<Choice> {
    let owner = &context.owner;
    let chain = ready.call.chain.keys();
    let model = ready.call.chain.model();
    let candidates = owner.fleet.engines(model, chain, &ready.tokens, avoid, now);
    let question = Question {
        prompt_tokens: ready.tokens.iter().sum(),
        answer_tokens: ready.max_tokens,
        now,
    };
    let key = context.route(&question, &candidates)?;
    owner
        .fleet
        .book(key, chain, &ready.tokens, ready.max_tokens)
}

/// Makes attempts until one completes, the deadline passes or no retry is left.
/// At the start of each iteration the tokens of the next attempt are reserved;
/// `lost` tokens were spent on lost attempts.
async fn attempts(
    context: &Context,
    mut ready: Ready,
    first: Option<Choice>,
    mut lost: u64,
) -> Result<Finished, Stop> {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_LAST, RETRIES);
    let mut choice = first;
    let mut avoid = Vec::new();
    let mut number = 0;
    loop {
        let failed = match choice {
            Some(chosen) => {
                avoid.push(chosen.key);
                match step(context, &ready, &chosen, &mut lost).await? {
                    Step::End(finished) => return Ok(finished),
                    Step::Again(error) => error,
                }
            }
            None => Error::NotSent("no backend server takes this model's calls now".to_owned()),
        };
        tracing::warn!(event = "attempt_failed", program = %context.program,
            request = %context.request, number, error = %failed);
        let Some(wait) = backoff.wait(rand::random()) else {
            return exhausted(context, &ready, &failed, lost).await;
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = context.answer.cancel.cancelled() => {
                return give_back(context, &ready, cancelled(), lost).await;
            }
            () = tokio::time::sleep_until(context.deadline()) => {
                return exhausted(context, &ready, &failed, lost).await;
            }
        }
        number += 1;
        ready.call.attempt = attempt_name(context, number);
        let now = Instant::now();
        choice = choose(context, &ready, &avoid, now).or_else(|| {
            // All have failed once and any may have recovered: start over.
            avoid.clear();
            choose(context, &ready, &avoid, now)
        });
    }
}

/// What to do after an attempt.
enum Step {
    /// End the call.
    End(Finished),
    /// Try again.
    Again(Error),
}

/// Makes one attempt and decides whether the call ends or is retried.
async fn step(
    context: &Context,
    ready: &Ready,
    chosen: &Choice,
    lost: &mut u64,
) -> Result<Step, Stop> {
    let made = attempt::make(context, &ready.call, chosen).await;
    match made {
        Attempt::Whole(completion, usage) => {
            keep_prefix(context, ready, chosen).await;
            let finished = whole_answer(context, ready, completion, usage, *lost);
            Ok(Step::End(finished))
        }
        Attempt::Invalid(error) => {
            let problem = Problem::new(Kind::BadRequest, error.to_string());
            give_back(context, ready, problem, *lost)
                .await
                .map(Step::End)
        }
        Attempt::NotRun(error) => Ok(Step::Again(error)),
        Attempt::Lost(error) => {
            attempt::cancel(context, chosen, &ready.call.attempt);
            *lost += ready.reserved;
            let end = lose(context, ready, *lost);
            Ok(end.map_or(Step::Again(error), Step::End))
        }
        Attempt::Differs => {
            attempt::cancel(context, chosen, &ready.call.attempt);
            *lost += ready.reserved;
            context.session.settle(ready.reserved, ready.reserved);
            let message = "the engine failed in the middle of the answer and another one answers \
                           differently; issue the call anew";
            let problem = Problem::new(Kind::BackendFailed, message);
            Ok(Step::End(failure(problem, *lost)))
        }
    }
}

/// Charges the whole reservation of a lost attempt and reserves the tokens of
/// the next one. Returns the end of the call if it can't be retried.
fn lose(context: &Context, ready: &Ready, lost: u64) -> Option<Finished> {
    context.session.settle(ready.reserved, ready.reserved);
    if context.answer.cancel.is_cancelled() {
        let message = "the program was ended or cancelled while this call ran; open a new one";
        return Some(failure(Problem::new(Kind::Ended, message), lost));
    }
    if Instant::now() >= context.deadline() {
        let message = "the call took longer than its time; ask for less, or have call_ms raised";
        return Some(failure(Problem::new(Kind::DeadlineExceeded, message), lost));
    }
    match context.session.reserve(ready.reserved) {
        Ok(()) => None,
        Err(problem) => Some(failure(problem.may_have_run(), lost)),
    }
}

/// Settles a call whose answer is complete.
fn whole_answer(
    context: &Context,
    ready: &Ready,
    mut completion: Completion,
    usage: Option<Usage>,
    lost: u64,
) -> Finished {
    ready.call.chain.model().clone_into(&mut completion.model);
    // Without a token count from the engine, the whole reservation is charged.
    completion.usage = usage.unwrap_or(Usage {
        prompt_tokens: ready.reserved - ready.max_tokens,
        completion_tokens: ready.max_tokens,
        total_tokens: ready.reserved,
        prompt_tokens_details: None,
    });
    let spent = completion.usage.total_tokens;
    context.session.settle(ready.reserved, spent);
    Finished {
        outcome: Outcome::Chat(completion),
        spent: spent + lost,
    }
}

fn failure(problem: Problem, spent: u64) -> Finished {
    Finished {
        outcome: Outcome::Failed(problem),
        spent,
    }
}

/// Ends a call that has no attempt in flight and releases its reservation. If an
/// earlier attempt was lost, the call fails; otherwise it is withdrawn as not run.
async fn give_back(
    context: &Context,
    ready: &Ready,
    problem: Problem,
    lost: u64,
) -> Result<Finished, Stop> {
    context.session.settle(ready.reserved, 0);
    if lost > 0 {
        return Ok(failure(problem.may_have_run(), lost));
    }
    Err(context.withdraw(problem).await)
}

/// Ends a call that has used up its retries or its time.
async fn exhausted(
    context: &Context,
    ready: &Ready,
    error: &Error,
    lost: u64,
) -> Result<Finished, Stop> {
    let message = format!("no backend server ran the call ({error}); send it again later");
    let kind = match lost {
        0 => Kind::Unavailable,
        _ => Kind::BackendFailed,
    };
    let problem = Problem::new(kind, message).retry_after(COME_BACK);
    give_back(context, ready, problem, lost).await
}

/// Pins the prompt's prefix in the engine's cache until the program ends.
async fn keep_prefix(context: &Context, ready: &Ready, choice: &Choice) {
    let Link::Engine(engine) = &choice.link else {
        return;
    };
    let ended = context.session.read(context.key, |p| p.ended.is_some());
    if ended.unwrap_or(true) || context.answer.cancel.is_cancelled() {
        return;
    }
    let pin = Pin {
        holder: context.program.clone(),
        keys: ready.call.chain.keys().to_vec(),
    };
    context.session.hold(context.key, choice.key);
    if let Err(error) = engine.pin(&pin).await {
        tracing::debug!(event = "pin_failed", program = %context.program, %error);
    }
}
