//! Relays a call to the owner of its program and reconnects when the owner
//! changes.
//!
//! Calls are idempotent by request id. When the connection breaks or the slot
//! moves, the relay sends the same call to the slot's new owner, with the number
//! of bytes relayed so far and their hash. The caller gets each byte once or an
//! error, but never parts of two different answers.

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
use crate::wire::{CALLS_PATH, Call, Frame, MODEL_HEADER, Outcome, Reader};

/// How long an entry tries to reach the owner of a program. Leaves time for the
/// lease of a failed owner to expire and for another instance to take over.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(15);
/// First delay before another attempt to reach the owner.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest delay between attempts to reach the owner.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay sent to the caller when the owner cannot be reached.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the backoff between attempts to reach an owner. The number
/// of attempts is not limited here: they end after [`OWNER_TIMEOUT`].
pub(super) fn owner_backoff() -> Backoff {
    Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, u32::MAX)
}

/// The error for a program whose owner cannot be reached in time.
pub(super) fn owner_unavailable() -> Problem {
    let message = "the program's owner is not reached; send the request again with the same id";
    Problem::new(Kind::Unavailable, message).with_retry_after(RETRY_AFTER)
}

/// A part of an answer.
#[derive(Debug)]
pub enum Part {
    /// Text, and the offset in bytes of its end in the whole answer.
    Text(String, u64),
    /// The outcome, after which nothing follows.
    End(Outcome),
}

/// An open response stream from an owner.
struct Connection {
    incoming: Incoming,
    reader: Reader,
}

/// A call that is being relayed.
pub struct Relay {
    entry: Arc<Entry>,
    call: Call,
    /// Hash of the text relayed so far.
    text_hash: blake3::Hasher,
    connection: Option<Connection>,
    /// The model that answers; empty until the owner has named it.
    pub model: String,
    /// Whether an owner may have received the call.
    maybe_sent: bool,
}

impl Relay {
    /// Creates a relay of `call`. The call is sent by the first [`Self::next`].
    pub fn new(entry: Arc<Entry>, call: Call) -> Self {
        Self {
            entry,
            call,
            text_hash: blake3::Hasher::new(),
            connection: None,
            model: String::new(),
            maybe_sent: false,
        }
    }

    /// Returns the next part of the answer, connecting to an owner as needed.
    ///
    /// # Errors
    ///
    /// The problem to report to the caller. No part follows it.
    pub async fn next(&mut self) -> Result<Part, Problem> {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        let mut backoff = owner_backoff();
        loop {
            if let Some(frame) = self.next_frame().await {
                return self.accept_frame(frame);
            }
            if self.send_call().await? {
                continue;
            }
            let delay = backoff.next_retry_delay(rand::random());
            match delay {
                Some(delay) if Instant::now() + delay < deadline => tokio::time::sleep(delay).await,
                _ if self.maybe_sent => return Err(owner_unavailable().with_unknown_outcome()),
                _ => return Err(owner_unavailable()),
            }
        }
    }

    /// Returns the next frame of the current connection. Drops the connection
    /// when it is broken.
    async fn next_frame(&mut self) -> Option<Frame> {
        let frame = self.connection.as_mut()?.next_frame().await;
        if frame.is_none() {
            self.connection = None;
        }
        frame
    }

    /// Turns a frame into a part, checking that its text follows on the text
    /// relayed so far.
    fn accept_frame(&mut self, frame: Frame) -> Result<Part, Problem> {
        match frame {
            Frame::Text(offset, text) => {
                if offset != self.call.offset {
                    let message = "the owner sent a part out of place; report this";
                    return Err(Problem::new(Kind::Internal, message));
                }
                self.call.offset += text.len() as u64;
                self.text_hash.update(text.as_bytes());
                Ok(Part::Text(text, self.call.offset))
            }
            Frame::End(json) => {
                let outcome: Outcome = reply::parse(&json)?;
                Ok(Part::End(outcome))
            }
        }
    }

    /// Sends the call to the slot's current owner. Returns `false` if it was
    /// not accepted and may be sent again.
    ///
    /// # Errors
    ///
    /// The owner rejected the call permanently.
    async fn send_call(&mut self) -> Result<bool, Problem> {
        let Some(owner) = self.entry.find_owner(self.call.program.slot()) else {
            return Ok(false);
        };
        if self.text_hash.count() > 0 {
            self.call.text_hash = Some(self.text_hash.finalize().to_hex().to_string());
        }
        let bytes = serde_json::to_vec(&self.call).map_err(internal_error)?;
        let request =
            client::build_request(Method::POST, owner.peer, CALLS_PATH, body::full(bytes));
        let sending = self
            .entry
            .client
            .send(owner.peer, request.map_err(internal_error)?);
        let reply = match sending.await {
            Ok(reply) => reply,
            Err(error) => {
                self.maybe_sent |= !error.is_not_sent();
                tracing::debug!(event = "owner_not_reached", owner = %owner.id, %error);
                return Ok(false);
            }
        };
        if reply.status() != StatusCode::OK {
            return read_rejection(owner.peer, reply).await;
        }
        self.maybe_sent = true;
        let model = reply
            .headers()
            .get(MODEL_HEADER)
            .and_then(|v| v.to_str().ok());
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

fn internal_error(error: impl std::fmt::Display) -> Problem {
    let message = format!("the call cannot be relayed ({error}); report this");
    Problem::new(Kind::Internal, message)
}

/// Reads an owner's rejection of a call. Returns `false` if the call may be sent
/// again.
///
/// # Errors
///
/// The call was rejected permanently.
async fn read_rejection(
    address: std::net::SocketAddr,
    reply: http::Response<Incoming>,
) -> Result<bool, Problem> {
    let bytes = client::read_body(address, reply.into_body()).await;
    let problem = bytes.ok().and_then(|b| Problem::parse_body(&b));
    match problem {
        Some(problem) if problem.kind != Kind::Moving => Err(problem),
        _ => Ok(false),
    }
}

impl Connection {
    /// Reads the next frame. Returns `None` when the connection is broken.
    async fn next_frame(&mut self) -> Option<Frame> {
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
