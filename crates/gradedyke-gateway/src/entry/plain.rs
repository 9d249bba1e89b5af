//! Requests whose response is read completely before it is passed on.
//!
//! The caller never receives a partial response, and an idempotent request can be sent
//! again if the response breaks off. If the response is slow, an idempotent request is
//! also sent to a second server (hedging), because the first one may hang.

use std::sync::Arc;

use bytes::Bytes;
use gradedyke_http::body::Error;
use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, Attempts, ServerResponse};
use super::call::Call;
use super::refusal::Refusal;
use crate::config::Kind;
use crate::fleet::Query;
use crate::memory::{Collector, Exhausted, Held, Lease, Metered};
use gradedyke_policy::health::Failure;
use gradedyke_policy::mechanism::Mechanism;

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

type ServeResult = Result<Response<gradedyke_http::Body>, Refusal>;

/// Sends the request to backend servers and returns the response of one of them.
///
/// # Errors
///
/// The [`Refusal`] that is sent to the caller as an error response.
pub async fn serve(entry: &Arc<Entry>, call: Arc<Call>) -> ServeResult {
    let attempts = Arc::new(Attempts::default());
    let slow_at = call.slow_at(Instant::now());
    let can_hedge =
        call.route.kind == Kind::Idempotent && entry.mechanisms.is_enabled(Mechanism::SentBeside);
    let mut first = Box::pin(send_until_answered(
        entry.clone(),
        call.clone(),
        attempts.clone(),
    ));
    if !can_hedge || slow_at >= call.deadline {
        return first.await;
    }
    if let Ok(result) = tokio::time::timeout_at(slow_at, &mut first).await {
        return result;
    }
    if !attempts.has_attempt_left(&call) || is_suspect(entry, &call, &attempts) {
        return first.await;
    }
    tracing::info!(event = "sent_beside", request = %call.id,
        waited_ms = call.arrived.elapsed().as_millis());
    let mut second = Box::pin(send_until_answered(entry.clone(), call, attempts));
    tokio::select! {
        result = &mut first => first_success(result, second).await,
        result = &mut second => first_success(result, first).await,
    }
}

/// Whether a server ended while it ran the request before. It is then sent to one server at a time.
fn is_suspect(entry: &Entry, call: &Call, attempts: &Attempts) -> bool {
    if entry.crashes.is_idle() {
        return false;
    }
    let fingerprints = attempts.fingerprints(call, &call.body);
    entry.crashes.ended(fingerprints, Instant::now()) > 0
}

/// Returns `result` if it is a response, and otherwise that of `other`. If both are refusals, one
/// that doesn't claim that the request has not run comes first. An attempt that is no longer needed
/// continues in the background, since its server is already working on it.
async fn first_success(
    result: ServeResult,
    other: impl Future<Output = ServeResult> + Send + 'static,
) -> ServeResult {
    let Err(refusal) = result else {
        tokio::spawn(other);
        return result;
    };
    let other = other.await;
    match other {
        Err(other) if !other.is_unexecuted() => Err(other),
        Err(_) => Err(refusal),
        Ok(_) => other,
    }
}

/// Sends the request to servers until one has sent a complete response. A request that is not
/// idempotent is not sent again once it may have run.
async fn send_until_answered(
    entry: Arc<Entry>,
    call: Arc<Call>,
    attempts: Arc<Attempts>,
) -> ServeResult {
    let query = Query {
        service: &call.service,
        request_id: &call.id,
        excluded: &[],
        cached_on: None,
        prompt_tokens: 0,
        cached_tokens: 0,
        parts: &[],
        session: None,
        is_engine: false,
        cache_capacity_tokens: 0,
        is_repeatable: call.route.kind == Kind::Idempotent,
        max_warm_up_rate_per_s: call.max_warm_up_rate_per_s(),
        allowed_regions: call.allowed_regions.as_deref(),
        now: call.arrived,
    };
    let mut may_have_run = false;
    while attempts.has_attempt_left(&call) {
        match attempt::dispatch(&entry, &call, &attempts, &query, &call.body, None).await {
            Ok(received) => {
                let response = read_response(&entry, &call, &attempts, received).await;
                if let Some(response) = response {
                    return Ok(response);
                }
            }
            Err(Refusal::Interrupted) => {}
            Err(refusal) if may_have_run => {
                tracing::info!(event = "not_repeated", request = %call.id, why = refusal.name());
                return Err(Refusal::Interrupted);
            }
            Err(refusal) => return Err(refusal),
        }
        may_have_run = true;
        if call.route.kind != Kind::Idempotent {
            break;
        }
    }
    Err(Refusal::Interrupted)
}

/// Reads a response body of at most [`MAX_RESPONSE_BYTES`] into memory of `lease`. One whose length
/// is known is read once there is room for it.
async fn read_body(incoming: Incoming, lease: &Lease) -> Result<Collector, Error> {
    let Some(length) = incoming.size_hint().exact() else {
        return collect(Metered::new(incoming, lease)).await;
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_RESPONSE_BYTES {
        return Err(format!("the answer has over {MAX_RESPONSE_BYTES} bytes").into());
    }
    lease.reserve(length).await?;
    collect(incoming).await
}

async fn collect<B>(body: B) -> Result<Collector, Error>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Error>,
{
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut collector = Collector::default();
    while let Some(frame) = body.frame().await {
        collector.push(frame?.into_data().unwrap_or_default());
    }
    Ok(collector)
}

/// Reads the response body and builds the response to the caller; `None` if the body is
/// incomplete at the deadline or cannot be read.
async fn read_response(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    received: ServerResponse,
) -> Option<Response<gradedyke_http::Body>> {
    let ServerResponse {
        choice,
        connection,
        response,
        head,
        prior,
    } = received;
    let (parts, incoming) = response.into_parts();
    let lease = entry.memory.lease();
    let read_body = read_body(incoming, &lease);
    let result = tokio::select! {
        result = tokio::time::timeout_at(call.deadline, read_body) => result,
        () = lease.evicted() => Ok(Err(Exhausted.into())),
    };
    let body = match result {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            tracing::info!(event = "answer_broke_off", request = %call.id,
                server = %choice.id, %error);
            if lease.is_evicted() {
                return None;
            }
            entry
                .fleet
                .record_failure(choice.key, Failure::ConnectionLost, Instant::now());
            let run = (&choice, prior);
            attempt::record_broken_run(entry, call, attempts, &call.body, run).await;
            return None;
        }
        Err(_) => return None,
    };
    lease.pin();
    if !head.close {
        choice
            .pool
            .put_back(connection, head.idle_timeout, Instant::now());
    }
    if !entry.crashes.is_idle() {
        let fingerprints = attempts.fingerprints(call, &call.body);
        entry.crashes.record_completed(fingerprints, Instant::now());
    }
    tracing::info!(event = "answered", request = %call.id, server = %choice.id,
        status = parts.status.as_u16(), bytes = body.len(),
        config = call.provenance.version, config_age_ms = call.provenance.age_ms(),
        config_source = call.provenance.source_text(),
        ms = call.arrived.elapsed().as_millis());
    let held = Held::new(body.finish(), lease);
    let mut reply = Response::new(held.map_err(|never| match never {}).boxed_unsync());
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = entry.dialect.response_headers(&parts.headers);
    Some(reply)
}
