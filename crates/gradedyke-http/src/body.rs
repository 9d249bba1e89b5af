//! Bodies of requests and replies.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::poll_fn;
use gradedyke_base::problem::{Kind, Problem};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// What a body fails with.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// A body of any origin.
pub type Body = UnsyncBoxBody<Bytes, Failure>;

/// An empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// The sending side of a body made by [`channel`].
pub type Sender = mpsc::Sender<Result<Bytes, Failure>>;

/// A body fed through a channel of at most `capacity` chunks.
///
/// The body ends when the sender is dropped. An error sent through it cuts the
/// connection, so that the reader does not take a part for the whole. The
/// sender sees the reader's going by its channel being closed.
pub fn channel(capacity: usize) -> (Sender, Body) {
    let (sender, mut receiver) = mpsc::channel::<Result<Bytes, Failure>>(capacity);
    let chunks = poll_fn(move |cx| receiver.poll_recv(cx).map_ok(Frame::data));
    (sender, BodyExt::boxed_unsync(StreamBody::new(chunks)))
}

/// Reads a whole body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// `too_large`, `too_slow`, or `bad_request` when the sender went away.
pub async fn collect<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, Problem>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Failure>,
{
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, whole).await {
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
            let message = format!("the body took over {} ms; send it faster", time.as_millis());
            Err(Problem::new(Kind::TooSlow, message))
        }
    }
}
