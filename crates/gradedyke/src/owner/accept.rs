//! Accepts calls from entries and streams the answers back.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::tree::Effective;
use gradedyke_http::body::{self, Sender};
use gradedyke_http::{Body, Handler, reply};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::{Answer, End};
use super::holding::ServedSlot;
use super::run::{self, Context};
use super::session::{Session, Submission};
use super::{Owner, slot_moving};
use crate::program::state::ProgramKey;
use crate::wire::{Call, Frame, MAX_FRAME_BYTES, MODEL_HEADER, Operation, Outcome};

/// Timeout for receiving the body of a call from an entry.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Chunks buffered for a slow entry; the text itself is kept in the answer.
const CHANNEL_CAPACITY: usize = 2;

/// HTTP handler of calls from entries.
pub struct CallHandler {
    owner: Arc<Owner>,
}

impl CallHandler {
    /// Creates a handler that passes calls to `owner`.
    pub fn new(owner: Arc<Owner>) -> Self {
        Self { owner }
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let bytes = body::collect(request.into_body(), MAX_FRAME_BYTES, BODY_TIMEOUT).await?;
        let call: Call = reply::parse(&bytes)?;
        let answer = self.owner.accept(&call, Instant::now())?;
        let offset = check_offset(&answer, &call)?;
        let (sender, body) = body::channel(CHANNEL_CAPACITY);
        let mut reply = Response::new(body);
        if let Ok(model) = HeaderValue::from_str(&answer.model) {
            reply.headers_mut().insert(MODEL_HEADER, model);
        }
        tokio::spawn(stream(answer, offset, call.outcome_only, sender));
        Ok(reply)
    }
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match self.handle_call(request).await {
            Ok(reply) => reply,
            Err(problem) => reply::problem(&problem),
        }
    }
}

impl Owner {
    /// Accepts a call and returns its answer. A repeat of a known request returns
    /// the existing answer, which may be in progress or complete.
    ///
    /// # Errors
    ///
    /// The error for the caller; the call did not run.
    pub fn accept(self: &Arc<Self>, call: &Call, now: Instant) -> Result<Arc<Answer>, Problem> {
        let served_slot = self.served_slot(call.program.slot())?;
        let session = served_slot.find(&call.account, &call.program)?;
        let key = session
            .find(&call.program)
            .ok_or_else(super::holding::program_not_found)?;
        session.record_activity(now);
        let Some(work) = &call.work else {
            return session
                .find_answer(key, &call.request)
                .ok_or_else(request_not_found);
        };
        let fingerprint = fingerprint(work)?;
        // Nothing may fail between enqueueing a call and spawning its task, so
        // the settings of a new call are looked up first.
        let settings = match session.find_answer(key, &call.request) {
            Some(_) => Effective::default(),
            None => self.check_new_call(&served_slot, &session, key, work)?,
        };
        let new_answer = || {
            let model = work.model().to_owned();
            Answer::new(fingerprint.clone(), model, served_slot.stop.child_token())
        };
        let submission =
            session.submit(key, &call.request, call.sequence, &fingerprint, new_answer)?;
        match submission {
            Submission::Known(answer) => Ok(answer),
            Submission::New(answer, ticket) => {
                if served_slot.is_closing() {
                    // The slot began to close after `check_new_call`. This second
                    // check is needed because a handover that starts before the
                    // call is queued does not see the call.
                    session.finish(key, &call.request, ticket, End::Moved, false);
                    return Err(slot_moving());
                }
                let context = Context {
                    owner: self.clone(),
                    served_slot,
                    session,
                    key,
                    program: call.program.clone(),
                    request: call.request.clone(),
                    ticket,
                    answer: answer.clone(),
                    settings,
                    accepted_at: now,
                };
                self.tasks.spawn(run::run(context, work.clone()));
                Ok(answer)
            }
        }
    }

    /// Returns the effective settings of a program's agent program.
    pub(super) fn effective_settings(
        &self,
        session: &Session,
        key: ProgramKey,
    ) -> Result<Effective, Problem> {
        let agent = session.read(key, |p| p.agent.clone()).unwrap_or_default();
        let tree = self.active_settings.get();
        tree.tree.agent(&session.account, &agent).ok_or_else(|| {
            let message = format!("agent program {agent} is not in the settings any more");
            let message = format!("{message}; ask your operator to restore it");
            Problem::new(Kind::Forbidden, message)
        })
    }

    /// Checks that a new call is allowed, and returns its effective settings.
    fn check_new_call(
        &self,
        served_slot: &ServedSlot,
        session: &Session,
        key: ProgramKey,
        work: &Operation,
    ) -> Result<Effective, Problem> {
        if served_slot.is_closing() {
            return Err(slot_moving());
        }
        let ended = session.read(key, |p| p.ended.is_some()).unwrap_or(true);
        if ended {
            return Err(run::program_ended());
        }
        let settings = self.effective_settings(session, key)?;
        let turns = session.read(key, |p| p.answers.len()).unwrap_or(0);
        if turns >= settings.max_turns as usize {
            let message = format!(
                "the program has issued {turns} calls, its limit; end it and open a new one"
            );
            return Err(Problem::new(Kind::Overloaded, message));
        }
        match work {
            Operation::Chat { request, .. } => {
                request.validate()?;
                check_allowed("model", &request.model, &settings.models)?;
            }
            Operation::Service { service, .. } => {
                check_allowed("service", service, &settings.services)?
            }
        }
        Ok(settings)
    }
}

fn check_allowed(what: &str, name: &str, names: &[String]) -> Result<(), Problem> {
    if names.iter().any(|allowed| allowed == name) {
        return Ok(());
    }
    let message = format!(
        "{what} {name} is not open to this agent program; it may use: {}",
        names.join(", ")
    );
    Err(Problem::new(Kind::NotFound, message))
}

fn request_not_found() -> Problem {
    let message = "no such request in this program; issue the call first";
    Problem::new(Kind::NotFound, message)
}

/// Hash of a call, to detect a request id that is reused for another call. It
/// doesn't depend on whether the answer is streamed.
fn fingerprint(work: &Operation) -> Result<String, Problem> {
    let mut work = work.clone();
    if let Operation::Chat { request, .. } = &mut work {
        request.stream = false;
        request.other_fields.remove("stream_options");
    }
    let bytes = serde_json::to_vec(&work).map_err(|e| {
        let message = format!("the call cannot be written ({e}); report this");
        Problem::new(Kind::Internal, message)
    })?;
    Ok(blake3::hash(&bytes).to_hex()[..32].to_owned())
}

/// Checks that the text the caller already has is a prefix of this answer, and
/// returns the offset to continue from.
fn check_offset(answer: &Answer, call: &Call) -> Result<usize, Problem> {
    let offset = usize::try_from(call.offset).unwrap_or(usize::MAX);
    let (true, Some(seen)) = (offset > 0, &call.text_hash) else {
        return Ok(offset);
    };
    match answer.prefix_hash(offset) {
        Some(hash) if hash != *seen => {
            let message = "the answer had to be started anew and differs from what you have; \
                           fetch it whole with the same request id";
            Err(Problem::new(Kind::BackendFailed, message))
        }
        // A new owner may not have generated that much text yet; `stream` waits
        // until the answer reaches the offset.
        _ => Ok(offset),
    }
}

/// Streams an answer to an entry, starting at byte `offset` of the text. With
/// `outcome_only`, only the end is sent.
async fn stream(answer: Arc<Answer>, offset: usize, outcome_only: bool, sender: Sender) {
    let mut changes = answer.subscribe();
    let mut offset = offset;
    loop {
        changes.borrow_and_update();
        let end = if outcome_only {
            answer.end()
        } else {
            match send_update(&answer, &mut offset, &sender).await {
                Ok(end) => end,
                Err(ReaderClosed) => return,
            }
        };
        match end {
            Some(End::Outcome(outcome)) => {
                let _ = send_frame(&sender, &Frame::end(&outcome)).await;
                return;
            }
            Some(End::Moved) => {
                let _ = sender.send(Err("the program's owner changed".into())).await;
                return;
            }
            None => {}
        }
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = sender.closed() => return,
        }
    }
}

/// The reader closed the connection.
struct ReaderClosed;

/// Sends the text after `offset` and advances it. Returns the end of the answer
/// if there is one.
async fn send_update(
    answer: &Answer,
    offset: &mut usize,
    sender: &Sender,
) -> Result<Option<End>, ReaderClosed> {
    let Some(update) = answer.read_from(*offset) else {
        // The reader has more text than this answer, which is being resumed
        // here. Wait for more text, unless the answer has ended.
        return Ok(answer.end());
    };
    if !update.text.is_empty() {
        let start = *offset as u64;
        *offset += update.text.len();
        send_frame(sender, &Frame::Text(start, update.text)).await?;
    }
    Ok(update.end)
}

async fn send_frame(sender: &Sender, frame: &Frame) -> Result<(), ReaderClosed> {
    let bytes = frame.encode().unwrap_or_else(|error| {
        tracing::error!(event = "frame_not_sent", %error);
        Bytes::new()
    });
    sender.send(Ok(bytes)).await.map_err(|_| ReaderClosed)
}

/// Returns the end of a call that failed with `problem`.
pub(super) fn failed_end(problem: Problem) -> End {
    End::Outcome(Outcome::Failed(problem))
}

/// Returns the idempotency key that is sent to backend servers, the same for
/// every attempt at a request.
pub(super) fn idempotency_key(program: &id::Program, request: &id::Request) -> String {
    format!("{program}:{request}")
}
