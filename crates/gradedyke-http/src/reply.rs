//! JSON and error replies.

use bytes::Bytes;
use gradedyke_base::problem::{Kind, Problem};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{self, Body};

/// Milliseconds in a second; the header `retry-after` is in seconds.
const MS_PER_SECOND: u64 = 1_000;

/// Returns a JSON reply.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_bytes(status, "application/json", bytes),
        Err(e) => problem(&Problem::new(
            Kind::Internal,
            format!("the reply could not be written ({e}); report this"),
        )),
    }
}

/// Returns a reply with the given contents and content type.
pub fn with_bytes(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Returns an error reply, with the header `retry-after` if the problem has a delay.
pub fn problem(problem: &Problem) -> Response<Body> {
    let status =
        StatusCode::from_u16(problem.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = with_bytes(status, "application/json", problem.body());
    if let Some(ms) = problem.retry_after_ms {
        let seconds = ms.div_ceil(MS_PER_SECOND);
        reply
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// Returns the reply for an unknown path.
pub fn no_route(path: &str) -> Response<Body> {
    let message = format!("{path} is not served here; see docs/API.md for the paths");
    problem(&Problem::new(Kind::NoRoute, message))
}

/// Parses the JSON body of a request.
///
/// # Errors
///
/// `bad_request` with the position of the syntax or type error.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(bytes).map_err(|e| {
        let message = format!("the body is not the JSON expected here: {e}; correct it");
        Problem::new(Kind::BadRequest, message)
    })
}
