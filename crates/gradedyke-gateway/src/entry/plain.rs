//! Requests whose answer is read whole before it is passed on.
//!
//! Reading it first costs a millisecond for the sizes in use and means that a
//! caller never gets a part of an answer, and that one which breaks off can be
//! fetched again where repeating does no harm.

use bytes::Bytes;
use gradedyke_http::{Body, body};
use http::Response;
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, Answered, Outcome};
use super::call::Call;
use super::refusal::Refusal;
use crate::config::Kind;
use crate::fleet::Question;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Servers that may refuse a request without running it before the caller is
/// told to come back, besides those the route allows to be sent to.
const UNSENT: u32 = 3;

/// Serves the request.
pub async fn serve(entry: &Entry, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut tried = Vec::new();
    let mut may_have_run = false;
    let mut sent = 0;
    let mut unsent = 0;
    while sent < call.route.attempts && unsent < UNSENT {
        let question = Question {
            service: &call.service,
            request: &call.id,
            tried: &tried,
            holder: None,
            prompt_tokens: 0,
            held_tokens: 0,
            object: call.meta.object.as_ref().filter(|_| call.route.sticky),
            engine: false,
            now: Instant::now(),
        };
        let Some(choice) = attempt::choose(entry, call, &question, sent + 1) else {
            return Err(ended(may_have_run, Refusal::NoServer));
        };
        tried.push(choice.key);
        match attempt::send(entry, call, choice, call.body.clone()).await {
            Outcome::Answered(answered) => match read(entry, call, *answered).await {
                Some(response) => return Ok(response),
                None => {
                    may_have_run = true;
                    sent += 1;
                }
            },
            Outcome::NotRun("unreachable") => unsent += 1,
            Outcome::NotRun(_) => sent += 1,
            Outcome::Unknown(_) => {
                may_have_run = true;
                sent += 1;
            }
            Outcome::TimedOut => return Err(Refusal::TimedOut),
        }
        if may_have_run && call.route.kind != Kind::Idempotent {
            return Err(Refusal::Broken);
        }
    }
    Err(ended(may_have_run, Refusal::Full))
}

fn ended(may_have_run: bool, otherwise: Refusal) -> Refusal {
    if may_have_run {
        Refusal::Broken
    } else {
        otherwise
    }
}

/// Reads the answer's body; `None` when it breaks off.
async fn read(entry: &Entry, call: &Call, answered: Answered) -> Option<Response<Body>> {
    let Answered {
        choice,
        link,
        response,
        answer,
    } = answered;
    let (head, incoming) = response.into_parts();
    let whole = Limited::new(incoming, ANSWER_BYTES).collect();
    let bytes: Bytes = match tokio::time::timeout_at(call.until, whole).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => {
            tracing::info!(event = "answer_broke_off", request = %call.id,
                server = %choice.id, %error);
            entry
                .fleet
                .failed(choice.key, "answer broke off", Instant::now());
            return None;
        }
        Err(_) => return None,
    };
    if !answer.last {
        choice.pool.rest(link, answer.idle, Instant::now());
    }
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = entry.dialect.inbound(&head.headers);
    Some(reply)
}
