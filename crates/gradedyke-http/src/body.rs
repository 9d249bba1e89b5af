//! Request and reply bodies.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::poll_fn;
use gradedyke_base::problem::{Kind, Problem};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The error of a body.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// A boxed body of any type.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with the given contents.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The sending side of a body made by [`channel`].
pub type Sender = mpsc::Sender<Result<Bytes, Error>>;

/// Returns a body fed through a channel that holds at most `capacity` chunks.
///
/// The body ends when the sender is dropped. Sending an error aborts the
/// connection, so that the reader can tell that the body is incomplete. The
/// channel is closed when the body is no longer read.
pub fn channel(capacity: usize) -> (Sender, Body) {
    let (sender, mut receiver) = mpsc::channel::<Result<Bytes, Error>>(capacity);
    let chunks = poll_fn(move |cx| receiver.poll_recv(cx).map_ok(Frame::data));
    (sender, BodyExt::boxed_unsync(StreamBody::new(chunks)))
}

/// Reads a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// `too_large`, `too_slow`, or `bad_request` if the body ends early.
pub async fn collect<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, Problem>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Error>,
{
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let message = format!("the body has over {limit} bytes; send less");
            Err(Problem::new(Kind::TooLarge, message))
        }
        Ok(Err(e)) => {
            let message = format!("the body broke off ({e}); send it whole");
            Err(Problem::new(Kind::BadRequest, message))
        }
        Err(_) => {
            let message = format!(
                "the body took over {} ms; send it faster",
                timeout.as_millis()
            );
            Err(Problem::new(Kind::TooSlow, message))
        }
    }
}
