//! One attempt at a model call: sends it, reads the response stream and resumes
//! an interrupted stream.

use std::time::Duration;

use gradedyke_backend::Error;
use gradedyke_backend::chat::{Chunk, Completion, Usage};
use gradedyke_backend::engine::{Call, Chunks};
use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::run::Context;
use crate::routing::fleet::{Choice, Link};

/// Maximum number of times an interrupted stream is resumed on the same engine.
const RESUMES: u32 = 2;
/// First backoff before a failed cancellation is retried.
const CANCEL_FIRST: Duration = Duration::from_millis(50);
/// Maximum backoff between cancellation retries.
const CANCEL_LAST: Duration = Duration::from_secs(2);
/// Maximum number of retries of a cancellation.
const CANCELS: u32 = 8;

/// How an attempt ended.
pub(super) enum Attempt {
    /// The answer is complete.
    Whole(Completion, Option<Usage>),
    /// It certainly did not run.
    NotRun(Error),
    /// The engine rejected the call as invalid.
    Invalid(Error),
    /// It may have run, but its answer is lost.
    Lost(Error),
    /// Its text differs from text that readers have already received.
    Differs,
}

/// Runs one attempt. The caller, the end of the program or the deadline can
/// cancel it.
pub(super) async fn make(context: &Context, call: &Call, choice: &Choice) -> Attempt {
    let Link::Engine(engine) = &choice.link else {
        return Attempt::NotRun(Error::NotSent("not an engine".to_owned()));
    };
    let fleet = &context.owner.fleet;
    let exchange = async {
        let chunks = match engine.chat(call).await {
            Ok(chunks) => chunks,
            Err(error) => return classify(error),
        };
        context.answer.restart();
        match read(context, chunks, 0).await {
            Ok(attempt) => attempt,
            Err(_) => resume(context, choice, &call.attempt, RESUMES).await,
        }
    };
    let attempt = tokio::select! {
        attempt = exchange => attempt,
        () = context.answer.cancel.cancelled() => {
            Attempt::Lost(Error::Broken("cancelled".to_owned()))
        }
        () = tokio::time::sleep_until(context.deadline()) => {
            Attempt::Lost(Error::Broken("the deadline passed".to_owned()))
        }
    };
    match &attempt {
        Attempt::Whole(..) => fleet.succeeded(choice.key),
        Attempt::NotRun(_) | Attempt::Lost(_) => fleet.failed(choice.key, Instant::now()),
        Attempt::Invalid(_) | Attempt::Differs => {}
    }
    attempt
}

fn classify(error: Error) -> Attempt {
    match error {
        Error::Invalid { .. } => Attempt::Invalid(error),
        Error::Broken(_) => Attempt::Lost(error),
        _ => Attempt::NotRun(error),
    }
}

/// Resumes an interrupted stream on the engine that runs the attempt, with up to
/// `tries` tries.
pub(super) async fn resume(
    context: &Context,
    choice: &Choice,
    attempt: &str,
    tries: u32,
) -> Attempt {
    let Link::Engine(engine) = &choice.link else {
        return Attempt::NotRun(Error::NotSent("not an engine".to_owned()));
    };
    let mut error = Error::Broken("the stream was cut".to_owned());
    for _ in 0..tries {
        let offset = context.answer.len();
        let resumed = match engine.resume(attempt, offset as u64).await {
            Ok(chunks) => read(context, chunks, offset).await,
            Err(e) => Err(e),
        };
        match resumed {
            Ok(attempt) => return attempt,
            Err(e) => error = e,
        }
    }
    Attempt::Lost(error)
}

/// Reads a stream to its end and writes the text into the answer, starting at
/// byte offset `position`.
async fn read(
    context: &Context,
    mut chunks: Box<dyn Chunks>,
    mut position: usize,
) -> Result<Attempt, Error> {
    let mut completion = Completion::default();
    let mut usage = None;
    while let Some(chunk) = chunks.next().await? {
        let Chunk {
            choices,
            usage: counted,
        } = chunk;
        usage = counted.or(usage);
        for choice in choices {
            let text = choice.delta.content.unwrap_or_default();
            if !text.is_empty() && context.answer.is_empty() {
                first_token(context);
            }
            if !context.answer.write(position, &text) {
                return Ok(Attempt::Differs);
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
        return Ok(Attempt::Differs);
    }
    Ok(Attempt::Whole(completion, usage))
}

fn first_token(context: &Context) {
    let account = context.session.account.to_string();
    let class = context.effective.class.name();
    metrics::histogram!("gradedyke_first_token_seconds", "account" => account, "class" => class)
        .record(context.came.elapsed().as_secs_f64());
}

/// Cancels a lost attempt in the background, so that it stops using tokens.
pub(super) fn cancel(context: &Context, choice: &Choice, attempt: &str) {
    let Link::Engine(engine) = choice.link.clone() else {
        return;
    };
    let attempt = attempt.to_owned();
    let stop = context.owner.stop.clone();
    tokio::spawn(async move {
        let mut backoff = Backoff::new(CANCEL_FIRST, CANCEL_LAST, CANCELS);
        while engine.cancel(&attempt).await.is_err() {
            let Some(wait) = backoff.wait(rand::random()) else {
                return;
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = stop.cancelled() => return,
            }
        }
    });
}
