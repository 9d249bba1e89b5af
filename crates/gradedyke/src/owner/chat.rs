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

use super::attempt::{self, AttemptResult};
use super::run::{Abort, Context, Finished, program_ended};
use super::session::Conversation;
use crate::program::record::Intent;
use crate::routing::CallInfo;
use crate::routing::fleet::{BackendClient, Choice, ServerKey};
use crate::wire::{History, Operation, Outcome};

/// First backoff before another attempt.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between attempts.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of attempts after the first.
const MAX_RETRIES: u32 = 8;
/// Retry delay suggested to callers when no engine ran the call.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Assumed bytes per token, for the estimates used by routing.
const BYTES_PER_TOKEN: u64 = 4;
/// Priority of batch calls on engines; lower runs first and staff calls have 0.
const BATCH_PRIORITY: i32 = 10;

/// A call that is ready to be sent.
struct PreparedCall {
    call: Call,
    /// Estimated tokens of each message.
    tokens: Vec<u64>,
    /// Tokens reserved for one attempt.
    reserved: u64,
    max_tokens: u64,
}

/// Runs a new model call.
pub(super) async fn call(
    context: &Context,
    request: &chat::Request,
    history: History,
) -> Result<Finished, Abort> {
    let max_tokens = request.token_limit().unwrap_or(context.settings.max_tokens);
    let conversation =
        context
            .session
            .prepare_conversation(context.key, request, history, max_tokens)?;
    let prepared = prepare(context, request, &conversation);
    let first = choose(context, &prepared, &[], Instant::now());
    let mut new_request = request.clone();
    new_request.messages = conversation.new_messages;
    let intent = Intent {
        work: Operation::Chat {
            request: new_request,
            history: History::Append,
        },
        fingerprint: context.answer.fingerprint.clone(),
        backend: first.as_ref().map(|choice| choice.id.clone()),
        attempt: prepared.call.attempt_id.clone(),
        reserved: prepared.reserved,
    };
    if let Err(abort) = context.append_intent(intent).await {
        context.session.settle(prepared.reserved, 0);
        return Err(abort);
    }
    run_attempts(context, prepared, first, 0).await
}

/// Resumes a model call that an earlier owner had sent. Its tokens are already
/// reserved: [`Session::new`](super::session::Session::new) reserves them again
/// for every open call.
pub(super) async fn resume(
    context: &Context,
    request: &chat::Request,
    intent: &Intent,
) -> Result<Finished, Abort> {
    let max_tokens = request.token_limit().unwrap_or(context.settings.max_tokens);
    let history = context.session.read(context.key, |p| p.history.clone());
    let mut messages: Vec<Message> = history.unwrap_or_default();
    messages.extend(request.messages.iter().cloned());
    let conversation = Conversation {
        new_messages: request.messages.clone(),
        messages,
        reserved: intent.reserved,
        max_tokens,
    };
    let prepared = prepare(context, request, &conversation);
    let engine = intent.backend.as_ref();
    let sent_to = engine.and_then(|id| context.owner.fleet.find(id));
    if let Some(choice) = sent_to {
        let resumed = attempt::resume(context, &choice, &intent.attempt, 1).await;
        if let AttemptResult::Complete(completion, usage) = resumed {
            return Ok(complete_call(context, &prepared, completion, usage, 0));
        }
        attempt::cancel(context, &choice, &intent.attempt);
    }
    if let Some(end) = charge_lost_attempt(context, &prepared, prepared.reserved) {
        return Ok(end);
    }
    let first = choose(context, &prepared, &[], Instant::now());
    let lost_tokens = prepared.reserved;
    run_attempts(context, prepared, first, lost_tokens).await
}

fn prepare(
    context: &Context,
    request: &chat::Request,
    conversation: &Conversation,
) -> PreparedCall {
    let account = &context.session.account;
    let chain = Chain::from_messages(account, &request.model, &conversation.messages);
    let tokens = conversation.messages.iter().map(estimate_tokens).collect();
    let mut sent = request.clone();
    sent.messages.clone_from(&conversation.messages);
    sent.stream = true;
    sent.max_completion_tokens = None;
    sent.max_tokens = Some(conversation.max_tokens);
    sent.other_fields.remove("stream_options");
    let priority = match context.settings.class {
        Class::Staff => 0,
        Class::Batch => BATCH_PRIORITY,
    };
    PreparedCall {
        call: Call {
            attempt_id: attempt_id(context, 0),
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
fn attempt_id(context: &Context, number: u32) -> String {
    let Context {
        program, request, ..
    } = context;
    format!(
        "{program}:{request}:{}:{number}",
        context.served_slot.log.epoch()
    )
}

/// Estimates the tokens of a message.
fn estimate_tokens(message: &Message) -> u64 {
    let bytes: usize = message.values().map(|v| v.to_string().len()).sum();
    bytes as u64 / BYTES_PER_TOKEN + 1
}

/// Chooses an engine and counts the call as in flight there.
fn choose(
    context: &Context,
    prepared: &PreparedCall,
    avoid: &[ServerKey],
    now: Instant,
) -> Option<Choice> {
    let owner = &context.owner;
    let chain = prepared.call.chain.keys();
    let model = prepared.call.chain.model();
    let candidates = owner
        .fleet
        .engines(model, chain, &prepared.tokens, avoid, now);
    let call_info = CallInfo {
        prompt_tokens: prepared.tokens.iter().sum(),
        answer_tokens: prepared.max_tokens,
        now,
    };
    let key = context.route(&call_info, &candidates)?;
    owner
        .fleet
        .start_call(key, chain, &prepared.tokens, prepared.max_tokens)
}

/// Makes attempts until one completes, the deadline passes or no retry is left.
/// The tokens of the first attempt must be reserved already; `lost_tokens` tokens
/// have been charged for lost attempts.
async fn run_attempts(
    context: &Context,
    mut prepared: PreparedCall,
    first: Option<Choice>,
    mut lost_tokens: u64,
) -> Result<Finished, Abort> {
    let mut backoff = Backoff::new(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF, MAX_RETRIES);
    let mut choice = first;
    let mut avoid = Vec::new();
    let mut number = 0;
    loop {
        let failed = match choice {
            Some(chosen) => {
                avoid.push(chosen.key);
                match run_attempt(context, &prepared, &chosen, &mut lost_tokens).await? {
                    NextStep::Finish(finished) => return Ok(finished),
                    NextStep::Retry(error) => error,
                }
            }
            None => Error::NotSent("no backend server takes this model's calls now".to_owned()),
        };
        tracing::warn!(event = "attempt_failed", program = %context.program,
            request = %context.request, number, error = %failed);
        let Some(wait) = backoff.next_retry_delay(rand::random()) else {
            return fail_unavailable(context, &prepared, &failed, lost_tokens).await;
        };
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = context.answer.cancel.cancelled() => {
                return release_reservation(context, &prepared, program_ended(), lost_tokens).await;
            }
            () = tokio::time::sleep_until(context.deadline()) => {
                return fail_unavailable(context, &prepared, &failed, lost_tokens).await;
            }
        }
        number += 1;
        prepared.call.attempt_id = attempt_id(context, number);
        let now = Instant::now();
        choice = choose(context, &prepared, &avoid, now).or_else(|| {
            // All have failed once and any may have recovered: start over.
            avoid.clear();
            choose(context, &prepared, &avoid, now)
        });
    }
}

/// What to do after an attempt.
enum NextStep {
    /// End the call.
    Finish(Finished),
    /// Try again.
    Retry(Error),
}

/// Makes one attempt and decides whether the call ends or is retried.
async fn run_attempt(
    context: &Context,
    prepared: &PreparedCall,
    chosen: &Choice,
    lost_tokens: &mut u64,
) -> Result<NextStep, Abort> {
    let result = attempt::run(context, &prepared.call, chosen).await;
    match result {
        AttemptResult::Complete(completion, usage) => {
            pin_prefix(context, prepared, chosen).await;
            let finished = complete_call(context, prepared, completion, usage, *lost_tokens);
            Ok(NextStep::Finish(finished))
        }
        AttemptResult::Invalid(error) => {
            let problem = Problem::new(Kind::BadRequest, error.to_string());
            release_reservation(context, prepared, problem, *lost_tokens)
                .await
                .map(NextStep::Finish)
        }
        AttemptResult::NotRun(error) => Ok(NextStep::Retry(error)),
        AttemptResult::Lost(error) => {
            attempt::cancel(context, chosen, &prepared.call.attempt_id);
            *lost_tokens += prepared.reserved;
            let end = charge_lost_attempt(context, prepared, *lost_tokens);
            Ok(end.map_or(NextStep::Retry(error), NextStep::Finish))
        }
        AttemptResult::Diverged => {
            attempt::cancel(context, chosen, &prepared.call.attempt_id);
            *lost_tokens += prepared.reserved;
            context.session.settle(prepared.reserved, prepared.reserved);
            let message = "the engine failed in the middle of the answer and another one answers \
                           differently; issue the call anew";
            let problem = Problem::new(Kind::BackendFailed, message);
            Ok(NextStep::Finish(failure(problem, *lost_tokens)))
        }
    }
}

/// Charges the whole reservation of a lost attempt and reserves the tokens of
/// the next one. Returns the end of the call if it can't be retried.
fn charge_lost_attempt(
    context: &Context,
    prepared: &PreparedCall,
    lost_tokens: u64,
) -> Option<Finished> {
    context.session.settle(prepared.reserved, prepared.reserved);
    if context.answer.cancel.is_cancelled() {
        let message = "the program was ended or cancelled while this call ran; open a new one";
        return Some(failure(Problem::new(Kind::Ended, message), lost_tokens));
    }
    if Instant::now() >= context.deadline() {
        let message = "the call took longer than its time; ask for less, or have call_ms raised";
        return Some(failure(
            Problem::new(Kind::DeadlineExceeded, message),
            lost_tokens,
        ));
    }
    match context.session.reserve(prepared.reserved) {
        Ok(()) => None,
        Err(problem) => Some(failure(problem.with_unknown_outcome(), lost_tokens)),
    }
}

/// Settles a call whose answer is complete.
fn complete_call(
    context: &Context,
    prepared: &PreparedCall,
    mut completion: Completion,
    usage: Option<Usage>,
    lost_tokens: u64,
) -> Finished {
    prepared
        .call
        .chain
        .model()
        .clone_into(&mut completion.model);
    // Without a token count from the engine, the whole reservation is charged.
    completion.usage = usage.unwrap_or(Usage {
        prompt_tokens: prepared.reserved - prepared.max_tokens,
        completion_tokens: prepared.max_tokens,
        total_tokens: prepared.reserved,
        prompt_tokens_details: None,
    });
    let spent = completion.usage.total_tokens;
    context.session.settle(prepared.reserved, spent);
    Finished {
        outcome: Outcome::Chat(completion),
        spent: spent + lost_tokens,
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
async fn release_reservation(
    context: &Context,
    prepared: &PreparedCall,
    problem: Problem,
    lost_tokens: u64,
) -> Result<Finished, Abort> {
    context.session.settle(prepared.reserved, 0);
    if lost_tokens > 0 {
        return Ok(failure(problem.with_unknown_outcome(), lost_tokens));
    }
    Err(context.withdraw(problem).await)
}

/// Ends a call that has used up its retries or its time.
async fn fail_unavailable(
    context: &Context,
    prepared: &PreparedCall,
    error: &Error,
    lost_tokens: u64,
) -> Result<Finished, Abort> {
    let message = format!("no backend server ran the call ({error}); send it again later");
    let kind = match lost_tokens {
        0 => Kind::Unavailable,
        _ => Kind::BackendFailed,
    };
    let problem = Problem::new(kind, message).with_retry_after(RETRY_AFTER);
    release_reservation(context, prepared, problem, lost_tokens).await
}

/// Pins the prompt's prefix in the engine's cache until the program ends.
async fn pin_prefix(context: &Context, prepared: &PreparedCall, choice: &Choice) {
    let BackendClient::Engine(engine) = &choice.client else {
        return;
    };
    let ended = context.session.read(context.key, |p| p.ended.is_some());
    if ended.unwrap_or(true) || context.answer.cancel.is_cancelled() {
        return;
    }
    let pin = Pin {
        holder: context.program.clone(),
        keys: prepared.call.chain.keys().to_vec(),
    };
    context.session.add_pinned(context.key, choice.key);
    if let Err(error) = engine.pin(&pin).await {
        tracing::debug!(event = "pin_failed", program = %context.program, %error);
    }
}
