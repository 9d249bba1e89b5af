//! A call at its owner, across changes of owner.
//!
//! The request id makes a call idempotent, so when the connection breaks or the
//! slot moves, the relay sends the same call to whoever owns the slot then,
//! with the offset it has come to and a hash of what it has passed on: the
//! caller gets each byte once, or an error, never a mixture of two answers.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::retry::Backoff;
use gradedyke_http::{body, client, reply};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use crate::wire::{CALLS, Call, Frame, MODEL, Outcome, Reader};

/// How long an entry looks for the owner of a program before it gives up: a
/// lease, a takeover and some more.
pub const PATIENCE: Duration = Duration::from_secs(15);
/// First wait before the owner is looked for again.
const RETRY_FIRST: Duration = Duration::from_millis(10);
/// Longest such wait.
const RETRY_LAST: Duration = Duration::from_millis(250);
/// When to come back after an entry has given up.
const COME_BACK: Duration = Duration::from_secs(2);

/// The waits while an owner is looked for; [`PATIENCE`] ends them.
pub(super) fn patience() -> Backoff {
    Backoff::new(RETRY_FIRST, RETRY_LAST, u32::MAX)
}

/// The problem of a program whose owner is not found in time.
pub(super) fn no_owner() -> Problem {
    let message = "the program's owner is not reached; send the request again with the same id";
    Problem::new(Kind::Unavailable, message).retry_after(COME_BACK)
}

/// A part of an answer.
#[derive(Debug)]
pub enum Part {
    /// Text, and the offset after it.
    Text(String, u64),
    /// The end.
    End(Outcome),
}

struct Connection {
    incoming: Incoming,
    reader: Reader,
}

/// A call under way.
pub struct Relay {
    entry: Arc<Entry>,
    call: Call,
    seen: blake3::Hasher,
    connection: Option<Connection>,
    /// The model that answers, once known.
    pub model: String,
    sent: bool,
}

impl Relay {
    /// A relay of `call`, which is sent when the first part is asked for.
    pub fn new(entry: Arc<Entry>, call: Call) -> Self {
        Self {
            entry,
            call,
            seen: blake3::Hasher::new(),
            connection: None,
            model: String::new(),
            sent: false,
        }
    }

    /// The next part of the answer.
    ///
    /// # Errors
    ///
    /// The problem for the caller; there is no further part.
    pub async fn next(&mut self) -> Result<Part, Problem> {
        let until = Instant::now() + PATIENCE;
        let mut backoff = patience();
        loop {
            if let Some(frame) = self.frame().await {
                return self.part(frame);
            }
            if self.connect().await? {
                continue;
            }
            let wait = backoff.wait(rand::random());
            match wait {
                Some(wait) if Instant::now() + wait < until => tokio::time::sleep(wait).await,
                _ if self.sent => return Err(no_owner().may_have_run()),
                _ => return Err(no_owner()),
            }
        }
    }

    /// The next frame of the present connection, which is dropped when broken.
    async fn frame(&mut self) -> Option<Frame> {
        let frame = self.connection.as_mut()?.frame().await;
        if frame.is_none() {
            self.connection = None;
        }
        frame
    }

    fn part(&mut self, frame: Frame) -> Result<Part, Problem> {
        match frame {
            Frame::Text(at, text) => {
                if at != self.call.offset {
                    let message = "the owner sent a part out of place; report this";
                    return Err(Problem::new(Kind::Internal, message));
                }
                self.call.offset += text.len() as u64;
                self.seen.update(text.as_bytes());
                Ok(Part::Text(text, self.call.offset))
            }
            Frame::End(json) => {
                let outcome: Outcome = reply::parse(&json)?;
                Ok(Part::End(outcome))
            }
        }
    }

    /// Sends the call to the slot's present owner. Tells whether it was taken.
    ///
    /// # Errors
    ///
    /// The owner refused it for good.
    async fn connect(&mut self) -> Result<bool, Problem> {
        let Some(owner) = self.entry.owner(self.call.program.slot()) else {
            return Ok(false);
        };
        if self.seen.count() > 0 {
            self.call.seen = Some(self.seen.finalize().to_hex().to_string());
        }
        let bytes = serde_json::to_vec(&self.call).map_err(internal)?;
        let request = client::build(Method::POST, owner.peer, CALLS, body::full(bytes));
        let sending = self
            .entry
            .client
            .send(owner.peer, request.map_err(internal)?);
        let reply = match sending.await {
            Ok(reply) => reply,
            Err(error) => {
                self.sent |= !error.not_sent();
                tracing::debug!(event = "owner_not_reached", owner = %owner.id, %error);
                return Ok(false);
            }
        };
        if reply.status() != StatusCode::OK {
            return refusal(owner.peer, reply).await;
        }
        self.sent = true;
        let model = reply.headers().get(MODEL).and_then(|v| v.to_str().ok());
        if let Some(model) = model.filter(|m| !m.is_empty()) {
            model.clone_into(&mut self.model);
        }
        self.connection = Some(Connection {
            incoming: reply.into_body(),
            reader: Reader::new(),
        });
        Ok(true)
    }
}

fn internal(error: impl std::fmt::Display) -> Problem {
    let message = format!("the call cannot be relayed ({error}); report this");
    Problem::new(Kind::Internal, message)
}

/// Reads why an owner did not take a call. Tells that it may be tried again.
///
/// # Errors
///
/// It was refused for good.
async fn refusal(
    address: std::net::SocketAddr,
    reply: http::Response<Incoming>,
) -> Result<bool, Problem> {
    let bytes = client::collect(address, reply.into_body()).await;
    let problem = bytes.ok().and_then(|b| Problem::from_body(&b));
    match problem {
        Some(problem) if problem.kind != Kind::Moving => Err(problem),
        _ => Ok(false),
    }
}

impl Connection {
    /// The next frame, or `None` when the connection is broken.
    async fn frame(&mut self) -> Option<Frame> {
        loop {
            match self.reader.next() {
                Ok(Some(frame)) => return Some(frame),
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(event = "frame_malformed", %error);
                    return None;
                }
            }
            let frame = self.incoming.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.reader.feed(&data);
            }
        }
    }
}
