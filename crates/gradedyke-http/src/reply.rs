//! Replies: JSON documents and errors.

use bytes::Bytes;
use gradedyke_base::problem::{Kind, Problem};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{self, Body};

/// Milliseconds in a second, for `retry-after`, which counts seconds.
const MS_PER_SECOND: u64 = 1_000;

/// A JSON reply.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_of(status, "application/json", bytes),
        Err(e) => problem(&Problem::new(
            Kind::Internal,
            format!("the reply could not be written ({e}); report this"),
        )),
    }
}

/// A reply of known bytes.
pub fn bytes_of(status: StatusCode, kind: &'static str, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

/// An error reply, with `retry-after` where the problem says when.
pub fn problem(problem: &Problem) -> Response<Body> {
    let status =
        StatusCode::from_u16(problem.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = bytes_of(status, "application/json", problem.body());
    if let Some(ms) = problem.retry_after_ms {
        let seconds = ms.div_ceil(MS_PER_SECOND);
        reply
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// The reply for a path that is not served.
pub fn no_route(path: &str) -> Response<Body> {
    let message = format!("{path} is not served here; see docs/API.md for the paths");
    problem(&Problem::new(Kind::NoRoute, message))
}

/// Reads JSON from the bytes of a request.
///
/// # Errors
///
/// `bad_request` that names the place of the fault.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(bytes).map_err(|e| {
        let message = format!("the body is not the JSON expected here: {e}; correct it");
        Problem::new(Kind::BadRequest, message)
    })
}
