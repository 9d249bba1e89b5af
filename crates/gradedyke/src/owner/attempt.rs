//! One attempt at a model call: sends it, reads the response stream and resumes
//! an interrupted stream.

use std::time::Duration;

use gradedyke_backend::Error;
use gradedyke_backend::chat::{Chunk, Completion, Usage};
use gradedyke_backend::engine::{Call, ChunkStream};
use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::run::Context;
use crate::routing::fleet::{BackendClient, Choice};

/// Maximum number of times an interrupted stream is resumed on the same engine.
const MAX_RESUMES: u32 = 2;
/// First backoff before a failed cancellation is retried.
const MIN_CANCEL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between cancellation retries.
const MAX_CANCEL_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of retries of a cancellation.
const MAX_CANCEL_RETRIES: u32 = 8;

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The answer is complete.
    Complete(Completion, Option<Usage>),
    /// It certainly did not run.
    NotRun(Error),
    /// The engine rejected the call as invalid.
    Invalid(Error),
    /// It may have run, but its answer is lost.
    Lost(Error),
    /// Its text differs from text that readers have already received.
    Diverged,
}

/// Runs one attempt. The caller, the end of the program or the deadline can
/// cancel it.
pub(super) async fn run(context: &Context, call: &Call, choice: &Choice) -> AttemptResult {
    let BackendClient::Engine(engine) = &choice.client else {
        return AttemptResult::NotRun(Error::NotSent("not an engine".to_owned()));
    };
    let fleet = &context.owner.fleet;
    let response = async {
        let chunks = match engine.chat(call).await {
            Ok(chunks) => chunks,
            Err(error) => return classify(error),
        };
        context.answer.restart();
        match read_stream(context, chunks, 0).await {
            Ok(result) => result,
            Err(_) => resume(context, choice, &call.attempt_id, MAX_RESUMES).await,
        }
    };
    let result = tokio::select! {
        result = response => result,
        () = context.answer.cancel.cancelled() => {
            AttemptResult::Lost(Error::Interrupted("cancelled".to_owned()))
        }
        () = tokio::time::sleep_until(context.deadline()) => {
            AttemptResult::Lost(Error::Interrupted("the deadline passed".to_owned()))
        }
    };
    match &result {
        AttemptResult::Complete(..) => fleet.record_success(choice.key),
        AttemptResult::NotRun(_) | AttemptResult::Lost(_) => {
            fleet.record_failure(choice.key, Instant::now())
        }
        AttemptResult::Invalid(_) | AttemptResult::Diverged => {}
    }
    result
}

fn classify(error: Error) -> AttemptResult {
    match error {
        Error::Invalid { .. } => AttemptResult::Invalid(error),
        Error::Interrupted(_) => AttemptResult::Lost(error),
        _ => AttemptResult::NotRun(error),
    }
}

/// Resumes an interrupted stream on the engine that runs the attempt, with up to
/// `tries` tries.
pub(super) async fn resume(
    context: &Context,
    choice: &Choice,
    attempt_id: &str,
    tries: u32,
) -> AttemptResult {
    let BackendClient::Engine(engine) = &choice.client else {
        return AttemptResult::NotRun(Error::NotSent("not an engine".to_owned()));
    };
    let mut error = Error::Interrupted("the stream was cut".to_owned());
    for _ in 0..tries {
        let offset = context.answer.len();
        let resumed = match engine.resume(attempt_id, offset as u64).await {
            Ok(chunks) => read_stream(context, chunks, offset).await,
            Err(e) => Err(e),
        };
        match resumed {
            Ok(result) => return result,
            Err(e) => error = e,
        }
    }
    AttemptResult::Lost(error)
}

/// Reads a stream to its end and writes the text into the answer, starting at
/// byte offset `position`.
async fn read_stream(
    context: &Context,
    mut chunks: Box<dyn ChunkStream>,
    mut position: usize,
) -> Result<AttemptResult, Error> {
    let mut completion = Completion::default();
    let mut usage = None;
    while let Some(chunk) = chunks.next().await? {
        let Chunk {
            choices,
            usage: reported,
        } = chunk;
        usage = reported.or(usage);
        for choice in choices {
            let text = choice.delta.content.unwrap_or_default();
            if !text.is_empty() && context.answer.is_empty() {
                record_first_token(context);
            }
            if !context.answer.write_at(position, &text) {
                return Ok(AttemptResult::Diverged);
            }
            position += text.len();
            for part in choice.delta.tool_calls.unwrap_or_default() {
                completion.merge_tool_call(part);
            }
            if let Some(reason) = choice.finish_reason {
                completion.finish_reason = reason;
            }
        }
    }
    completion.content = context.answer.text();
    if position < completion.content.len() {
        return Ok(AttemptResult::Diverged);
    }
    Ok(AttemptResult::Complete(completion, usage))
}

fn record_first_token(context: &Context) {
    let account = context.session.account.to_string();
    let class = context.settings.class.name();
    metrics::histogram!("gradedyke_first_token_seconds", "account" => account, "class" => class)
        .record(context.accepted_at.elapsed().as_secs_f64());
}

/// Cancels a lost attempt in the background, so that it stops using tokens.
pub(super) fn cancel(context: &Context, choice: &Choice, attempt_id: &str) {
    let BackendClient::Engine(engine) = choice.client.clone() else {
        return;
    };
    let attempt_id = attempt_id.to_owned();
    let stop = context.owner.stop.clone();
    tokio::spawn(async move {
        let mut backoff = Backoff::new(MIN_CANCEL_BACKOFF, MAX_CANCEL_BACKOFF, MAX_CANCEL_RETRIES);
        while engine.cancel(&attempt_id).await.is_err() {
            let Some(wait) = backoff.next_retry_delay(rand::random()) else {
                return;
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = stop.cancelled() => return,
            }
        }
    });
}
