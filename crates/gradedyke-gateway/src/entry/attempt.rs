//! Sending a request to backend servers, one after the other, until one runs it.
//!
//! Another server is tried only while it is certain that none has run the
//! request. Whether to try again after that is the caller of [`dispatch`]'s to
//! decide.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use gradedyke_turns::record::Id;

use super::Entry;
use super::call::Call;
use super::refusal::Refusal;
use crate::dialect::{Answer, Outbound};
use crate::fleet::{Choice, Key, Question};
use crate::health::Fault;
use crate::link::{self, Link};
use crate::mechanism::Mechanism;

/// Least time left with which a request is sent: below it a server could not
/// even take it in.
pub const LEAST: Duration = Duration::from_millis(5);

/// The head of an answer that belongs to the request.
pub struct Answered {
    /// The server.
    pub choice: Choice,
    /// The connection, to be rested after the body.
    pub link: Link,
    /// The head, and the body to be read.
    pub response: Response<Incoming>,
    /// What the head says.
    pub answer: Answer,
}

/// Why a request certainly did not run at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unrun {
    /// No connection.
    Unreachable,
    /// The server says so.
    Refused,
    /// Another server has the address.
    Misdirected,
    /// No time was left to send it.
    NoTime,
}

/// How one sending ended.
enum Outcome {
    Answered(Box<Answered>),
    NotRun(Unrun),
    /// It may have run.
    Unknown,
    /// Its time is over; it may have run.
    TimedOut,
}

/// Servers that may be out of reach before the caller is told to come back,
/// besides those the route allows to be sent to.
const UNREACHED: u32 = 3;

/// The servers that a request has been at. Attempts side by side share one.
#[derive(Debug, Default)]
pub struct Trail(Mutex<Steps>);

#[derive(Debug, Default)]
struct Steps {
    tried: Vec<Key>,
    /// Servers that got the request, or are just being sent it.
    sent: u32,
    unreached: u32,
}

impl Steps {
    fn open(&self, call: &Call) -> bool {
        self.sent < call.route.attempts && self.unreached < UNREACHED
    }
}

impl Trail {
    fn lock(&self) -> MutexGuard<'_, Steps> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether another server may be tried.
    pub fn open(&self, call: &Call) -> bool {
        self.lock().open(call)
    }

    /// Counts the next sending, if there may be one.
    fn claim(&self, call: &Call) -> bool {
        let mut steps = self.lock();
        let open = steps.open(call);
        steps.sent += u32::from(open);
        open
    }

    /// Takes a claimed sending back: the server was not reached.
    fn unreached(&self) {
        let mut steps = self.lock();
        steps.sent -= 1;
        steps.unreached += 1;
    }
}

/// Sends the request to one server after the other until one takes it.
/// `question` is what the fleet is asked each time; a stream goes on behind the event
/// `after`.
///
/// # Errors
///
/// [`Refusal::Broken`] or [`Refusal::TimedOut`] when it may have run; otherwise
/// it has not.
pub async fn dispatch(
    entry: &Entry,
    call: &Call,
    trail: &Trail,
    question: &Question<'_>,
    body: &Bytes,
    after: Option<&[u8]>,
) -> Result<Answered, Refusal> {
    while trail.claim(call) {
        let choice = choose(entry, call, trail, question).ok_or(Refusal::NoServer)?;
        if hopeless(call, &choice) {
            return Err(Refusal::Full);
        }
        match send(entry, call, trail, choice, body.clone(), after).await {
            Outcome::Answered(answered) => return Ok(*answered),
            Outcome::NotRun(Unrun::NoTime) => return Err(Refusal::TooLate),
            Outcome::NotRun(Unrun::Unreachable) => trail.unreached(),
            Outcome::NotRun(Unrun::Refused | Unrun::Misdirected) => {}
            Outcome::Unknown => return Err(Refusal::Broken),
            Outcome::TimedOut => return Err(Refusal::TimedOut),
        }
    }
    Err(Refusal::Full)
}

/// How many times its time left a request may be expected to wait for a place before
/// it is refused at once: what is expected is an estimate, and the caller that is told
/// so comes back when there is a place.
const HOPELESS: f64 = 2.0;

/// Whether a request would certainly wait for a place until its time is over, even at
/// the server that was chosen for it.
fn hopeless(call: &Call, choice: &Choice) -> bool {
    let left = call.left(Instant::now()).as_secs_f64() * 1e3;
    choice.view.wait_ms() > HOPELESS * left
}

/// Sends the request to a chosen server and waits for the head of the answer.
async fn send(
    entry: &Entry,
    call: &Call,
    trail: &Trail,
    choice: Choice,
    body: Bytes,
    after: Option<&[u8]>,
) -> Outcome {
    let now = Instant::now();
    let left = call.left(now);
    if left < LEAST {
        return Outcome::NotRun(Unrun::NoTime);
    }
    let outbound = Outbound {
        server: &choice.id,
        left,
        urgency: urgency(entry, call),
        account: call.account.as_deref(),
        after,
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = entry.dialect.outbound(&call.headers, &outbound);
    let repeatable = call.route.repeatable();
    let sending = choice.pool.send(request, repeatable, now);
    let sending = choice.gone.run_until_cancelled(sending);
    let sent = watched(entry, call, trail, &choice, sending).await;
    let (response, link) = match sent {
        Waited::Came(Some(Ok(sent))) => sent,
        Waited::Came(Some(Err(error))) => return failed(entry, call, &choice, &error),
        Waited::Came(None) => {
            // The process that had it has ended, and no answer comes any more.
            tracing::info!(event = "server_ended", request = %call.id, server = %choice.id);
            return Outcome::Unknown;
        }
        Waited::GivenUp => return Outcome::Unknown,
        Waited::TimedOut => {
            entry
                .fleet
                .failed(choice.key, Fault::Silent, Instant::now());
            return Outcome::TimedOut;
        }
    };
    judge(entry, call, choice, link, response, now)
}

/// The rank that an engine is told.
fn urgency(entry: &Entry, call: &Call) -> Option<u8> {
    let ranked = call.engine().is_some() && entry.enabled.has(Mechanism::Urgency);
    let account = call.account.as_ref().and_then(|a| a.rank);
    ranked.then(|| call.config.rank(account, &call.route))
}

/// What came of waiting for the head of an answer.
enum Waited<T> {
    Came(T),
    /// It is far later than expected, and another server may be tried.
    GivenUp,
    TimedOut,
}

/// Waits for the head of an answer until the call's time is over. A server that takes
/// far longer than expected is taken for one that may not answer at all, long before
/// that shows. A stream that may go on elsewhere is given up then.
async fn watched<T>(
    entry: &Entry,
    call: &Call,
    trail: &Trail,
    choice: &Choice,
    sending: impl Future<Output = T>,
) -> Waited<T> {
    tokio::pin!(sending);
    let now = Instant::now();
    let late = match call.engine() {
        Some(_) => now + patience(call, choice.view.first_ms()),
        None => call.late(now),
    };
    if late < call.until {
        if let Ok(sent) = tokio::time::timeout_at(late, &mut sending).await {
            return Waited::Came(sent);
        }
        entry.fleet.failed(choice.key, Fault::Slow, Instant::now());
        if call.route.resumable && trail.open(call) {
            tracing::info!(event = "given_up", request = %call.id, server = %choice.id,
                expected_ms = choice.view.first_ms(),
                waited_ms = now.elapsed().as_millis());
            return Waited::GivenUp;
        }
    }
    match tokio::time::timeout_at(call.until, sending).await {
        Ok(sent) => Waited::Came(sent),
        Err(_) => Waited::TimedOut,
    }
}

/// How many times what was expected an engine may take. In bursts one first event in a
/// hundred takes 4.3 times as long, nearly all of them within 1.5 times the objective,
/// the least that is waited: of 5,792 turns of a day with two bursts and no other
/// trouble one was given up.
const PATIENCE: f64 = 4.0;

/// How long an engine's next event is waited for before it is taken for one that may
/// not send any, if it was expected in `expected_ms`. Engines are not left for less
/// than the route's objective, because their programs' prompts are read again then.
pub fn patience(call: &Call, expected_ms: f64) -> Duration {
    let learned = Duration::from_secs_f64(expected_ms * PATIENCE / 1e3);
    learned.max(call.patience())
}

fn failed(entry: &Entry, call: &Call, choice: &Choice, error: &link::Error) -> Outcome {
    let now = Instant::now();
    tracing::info!(event = "attempt_failed", request = %call.id, server = %choice.id, %error);
    match error {
        link::Error::NotSent(..) => {
            entry.fleet.failed(choice.key, Fault::Unreachable, now);
            Outcome::NotRun(Unrun::Unreachable)
        }
        link::Error::Broken(..) => {
            entry.fleet.failed(choice.key, Fault::Lost, now);
            Outcome::Unknown
        }
    }
}

fn judge(
    entry: &Entry,
    call: &Call,
    choice: Choice,
    link: Link,
    response: Response<Incoming>,
    sent: Instant,
) -> Outcome {
    let answer = entry.dialect.answer(response.status(), response.headers());
    if answer.misdirected {
        entry.fleet.misdirected(choice.key);
        return Outcome::NotRun(Unrun::Misdirected);
    }
    // A surplus answer to an earlier request stands where ours is due. Ours
    // would come after it, but a connection that is out of step is not trusted.
    if answer.request.as_ref() != Some(&call.id) {
        tracing::info!(event = "answer_of_another", request = %call.id, server = %choice.id);
        return Outcome::Unknown;
    }
    if answer.not_run {
        entry.fleet.failed(choice.key, Fault::Shed, Instant::now());
        choice.pool.rest(link, answer.idle, Instant::now());
        return Outcome::NotRun(Unrun::Refused);
    }
    let now = Instant::now();
    if response.status().is_server_error() {
        entry.fleet.failed(choice.key, Fault::Failed, now);
    } else {
        let whole = call.engine().is_none().then(|| now - sent);
        entry.fleet.answered(choice.key, whole, now);
    }
    Outcome::Answered(Box::new(Answered {
        choice,
        link,
        response,
        answer,
    }))
}

/// Chooses a server for the request, with a line that says what decided.
fn choose(entry: &Entry, call: &Call, trail: &Trail, question: &Question<'_>) -> Option<Choice> {
    let now = Instant::now();
    let mut steps = trail.lock();
    let asked = Question {
        tried: &steps.tried,
        now,
        ..question.clone()
    };
    let choice = entry.fleet.choose(&asked);
    steps.tried.extend(choice.as_ref().map(|c| c.key));
    let age = entry.mirror.age(now);
    let program = call.meta.program.as_ref();
    tracing::info!(event = "placed", request = %call.id,
        program = program.map_or("none", Id::as_str), attempt = steps.tried.len(),
        waited_ms = now.saturating_duration_since(call.arrived).as_millis(),
        server = choice.as_ref().map_or("none", |c| c.id.as_str()),
        holder = question.holder.map_or("none", Id::as_str),
        prompt = question.prompt_tokens,
        unread = choice.as_ref().map(|c| c.view.unread_tokens),
        in_flight = choice.as_ref().map(|c| c.view.in_flight),
        expected_ms = choice.as_ref().map(|c| c.view.first_ms()),
        answer_ms = choice.as_ref().map(|c| c.view.times.answer_ms),
        gap_ms = choice.as_ref().map(|c| c.view.times.gap_ms),
        read_ms = choice.as_ref().map(|c| c.view.times.read_ms),
        slowness = choice.as_ref().map(|c| c.view.slowness),
        route = call.route.name, config = call.config.version,
        directory_age_ms = age.map(|a| a.as_millis()),
        left_ms = call.left(now).as_millis());
    choice
}
