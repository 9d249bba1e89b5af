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
use super::attempt::{self, Answered, Trail};
use super::call::Call;
use super::refusal::Refusal;
use crate::config::Kind;
use crate::fleet::Question;
use crate::health::Fault;

/// Largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Serves the request.
///
/// # Errors
///
/// The [`Refusal`] to answer with.
pub async fn serve(entry: &Entry, call: &Call) -> Result<Response<Body>, Refusal> {
    let question = Question {
        service: &call.service,
        request: &call.id,
        tried: &[],
        holder: None,
        prompt_tokens: 0,
        held_tokens: 0,
        object: call.meta.object.as_ref().filter(|_| call.route.sticky),
        engine: false,
        room: 0,
        repeatable: call.route.kind == Kind::Idempotent,
        now: call.arrived,
    };
    let mut trail = Trail::default();
    let mut may_have_run = false;
    while trail.open(call) {
        match attempt::dispatch(entry, call, &mut trail, &question, &call.body).await {
            Ok(answered) => {
                if let Some(response) = read(entry, call, answered).await {
                    return Ok(response);
                }
            }
            Err(Refusal::Broken) => {}
            Err(refusal) if may_have_run => {
                tracing::info!(event = "not_repeated", request = %call.id, why = refusal.name());
                return Err(Refusal::Broken);
            }
            Err(refusal) => return Err(refusal),
        }
        may_have_run = true;
        if call.route.kind != Kind::Idempotent {
            break;
        }
    }
    Err(Refusal::Broken)
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
            entry.fleet.failed(choice.key, Fault::Lost, Instant::now());
            return None;
        }
        Err(_) => return None,
    };
    if !answer.last {
        choice.pool.rest(link, answer.idle, Instant::now());
    }
    tracing::info!(event = "answered", request = %call.id, server = %choice.id,
        status = head.status.as_u16(), bytes = bytes.len(),
        ms = call.arrived.elapsed().as_millis());
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = entry.dialect.inbound(&head.headers);
    Some(reply)
}
