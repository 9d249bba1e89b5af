//! Sends a request to backend servers, one after the other, until one runs it.
//!
//! [`dispatch`] tries another server only while it is certain that none has run the
//! request. If the request may have run, the calling function decides whether to send it again.

use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use gradedyke_turns::crash::MAX_ENDED_SERVERS;
use gradedyke_turns::record::Id;

use super::Entry;
use super::call::Call;
use super::crash::BrokenRun;
use super::fingerprint::Fingerprints;
use super::refusal::Refusal;
use crate::dialect::{Head, Outbound};
use crate::fleet::{Choice, Key, Query};
use crate::link::{self, Connection};
use gradedyke_policy::health::Failure;
use gradedyke_policy::mechanism::Mechanism;

/// Codes of final responses (RFC 9110, section 15). A switch of protocols is never asked for.
const RESPONSE_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// A request is not sent when less time than this is left until its deadline.
pub const MIN_TIME_LEFT_TO_SEND: Duration = Duration::from_millis(5);

/// A backend server's response: its head was read, its body was not.
pub struct ServerResponse {
    /// The server that was chosen for the request.
    pub choice: Choice,
    /// The connection, which goes back to the pool after the body.
    pub connection: Connection,
    /// The response, with the body still to be read.
    pub response: Response<Incoming>,
    /// What the server says in the response headers.
    pub head: Head,
    /// Number of servers that counted for the content when the request was sent.
    pub prior: u8,
}

/// Why a request certainly did not run at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotRunReason {
    /// No connection could be opened.
    Unreachable,
    /// The server refused the request.
    Refused,
    /// Another server now has the address.
    Misdirected,
    /// Too little time was left before the deadline to send it.
    NoTime,
    /// The process stops, and the response may arrive too late.
    Stopping,
}

/// Result of sending the request to one server.
enum Outcome {
    Answered(Box<ServerResponse>),
    NotRun(NotRunReason),
    /// No valid response arrived; the request may have run.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Number of unreachable servers after which the request is refused. They do not count
/// against the attempts that the route allows.
const MAX_UNREACHABLE_SERVERS: u32 = 3;

/// The servers that a request was sent to. Shared by attempts that run in parallel.
#[derive(Debug, Default)]
pub struct Attempts {
    state: Mutex<State>,
    /// Whether the program can no longer end in time.
    is_late: bool,
    /// The fingerprints of the request, once they are needed.
    fingerprints: OnceLock<Fingerprints>,
}

#[derive(Debug, Default)]
struct State {
    tried: Vec<Key>,
    /// Number of servers that the request was or is being sent to.
    sent_count: u32,
    unreachable_count: u32,
    /// Number of servers that the request is being sent to, until their response heads.
    in_flight: u8,
}

impl State {
    fn has_attempt_left(&self, call: &Call) -> bool {
        self.sent_count < call.route.max_attempts
            && self.unreachable_count < MAX_UNREACHABLE_SERVERS
    }
}

impl Attempts {
    /// Creates the state of a request that was sent to no server yet. `is_late` says whether its
    /// program can no longer end in time.
    pub fn new(is_late: bool) -> Self {
        Self {
            is_late,
            ..Self::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The fingerprints of `call`, of which servers receive the body `sent`.
    pub(super) fn fingerprints(&self, call: &Call, sent: &Bytes) -> &Fingerprints {
        self.fingerprints
            .get_or_init(|| Fingerprints::new(call, sent))
    }

    /// Whether another server may be tried.
    pub fn has_attempt_left(&self, call: &Call) -> bool {
        self.lock().has_attempt_left(call)
    }

    /// Reserves an attempt if one is left. Returns whether it did. `ended` is the number of servers
    /// that ended under the request: the attempts in flight may end as many more.
    fn reserve(&self, call: &Call, ended: u8) -> bool {
        let mut state = self.lock();
        let may_end = ended.saturating_add(state.in_flight);
        let is_allowed = state.has_attempt_left(call) && may_end < MAX_ENDED_SERVERS;
        state.sent_count += u32::from(is_allowed);
        state.in_flight += u8::from(is_allowed);
        is_allowed
    }

    /// Counts a reserved attempt as one at an unreachable server.
    fn mark_unreachable(&self) {
        let mut state = self.lock();
        state.sent_count -= 1;
        state.unreachable_count += 1;
    }
}

/// Guard of a reserved attempt, which is in flight until the guard is dropped.
struct InFlight<'a>(&'a Attempts);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Sends the request to one server after the other until one responds. The fleet
/// selects each server by `query`. If `last_event_id` is given, the server resumes the
/// stream after that event.
///
/// # Errors
///
/// [`Refusal::Interrupted`] or [`Refusal::TimedOut`] if the request may have run. After any other
/// refusal it has not run.
pub async fn dispatch(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    query: &Query<'_>,
    body: &Bytes,
    last_event_id: Option<&[u8]>,
) -> Result<ServerResponse, Refusal> {
    while attempts.has_attempt_left(call) {
        let suspect = suspect(entry, call, attempts, body)?;
        if !attempts.reserve(call, suspect.ended) {
            break;
        }
        let _in_flight = InFlight(attempts);
        let choice = choose_server(entry, call, attempts, query, suspect.rank);
        let choice = choice.ok_or(Refusal::NoServer)?;
        if will_miss_deadline(call, &choice) {
            return Err(Refusal::NoCapacity);
        }
        let outbound = (body, last_event_id);
        match send(entry, call, attempts, choice, outbound, suspect.prior).await {
            Outcome::Answered(response) => return Ok(*response),
            Outcome::NotRun(NotRunReason::NoTime) => return Err(Refusal::TooLate),
            Outcome::NotRun(NotRunReason::Stopping) => return Err(Refusal::Stopping),
            Outcome::NotRun(NotRunReason::Unreachable) => attempts.mark_unreachable(),
            Outcome::NotRun(NotRunReason::Refused | NotRunReason::Misdirected) => {}
            Outcome::Unknown => return Err(Refusal::Interrupted),
            Outcome::TimedOut => return Err(Refusal::TimedOut),
        }
    }
    Err(Refusal::NoCapacity)
}

/// What is known of a request that is about to be sent.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    /// Number of servers that count for it.
    ended: u8,
    /// Number of servers that count for its content.
    prior: u8,
    /// Its position among the requests that ran at the same server when it ended; `None` if no
    /// server counts for it.
    rank: Option<usize>,
}

/// Checks whether servers ended while they ran the request before.
///
/// # Errors
///
/// [`Refusal::EndsServers`] if it must not be sent again.
fn suspect(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    body: &Bytes,
) -> Result<Suspect, Refusal> {
    if entry.crashes.is_idle() {
        return Ok(Suspect::default());
    }
    let now = Instant::now();
    let fingerprints = attempts.fingerprints(call, body);
    if entry.crashes.refuses(call, fingerprints, now) {
        return Err(Refusal::EndsServers);
    }
    Ok(Suspect {
        ended: entry.crashes.ended(fingerprints, now),
        prior: entry.crashes.prior(fingerprints, now),
        rank: entry.crashes.rank(fingerprints),
    })
}

/// A request is refused at once if its expected wait for a slot is longer than the time left
/// until its deadline multiplied by this factor.
const MAX_WAIT_RATIO: f64 = 2.0;

/// Whether the expected wait for a slot at the chosen server exceeds the time left multiplied by
/// [`MAX_WAIT_RATIO`].
fn will_miss_deadline(call: &Call, choice: &Choice) -> bool {
    let left_ms = call.time_left(Instant::now()).as_secs_f64() * 1e3;
    choice.candidate.wait_ms() > MAX_WAIT_RATIO * left_ms
}

/// Sends the request with this body to the chosen server, which resumes the stream after the event
/// if one is given, and waits for the head of the response.
async fn send(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    choice: Choice,
    (body, last_event_id): (&Bytes, Option<&[u8]>),
    prior: u8,
) -> Outcome {
    let now = Instant::now();
    let time_left = call.time_left(now);
    if time_left < MIN_TIME_LEFT_TO_SEND {
        return Outcome::NotRun(NotRunReason::NoTime);
    }
    if entry
        .stop
        .get()
        .is_some_and(|stop| stop.may_cut(call.deadline, now))
    {
        return Outcome::NotRun(NotRunReason::Stopping);
    }
    let outbound = Outbound {
        server: &choice.id,
        time_left,
        priority: engine_priority(entry, call, attempts.is_late),
        account: call.account.as_deref(),
        last_event_id,
    };
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = entry.dialect.request_headers(&call.headers, &outbound);
    let is_repeatable = call.route.is_repeatable();
    let exchange = choice.pool.send(request, is_repeatable, now);
    let exchange = choice.process_ended.run_until_cancelled(exchange);
    let result = wait_for_head(entry, call, attempts, &choice, exchange).await;
    let (response, connection) = match result {
        HeadWait::Done(Some(Ok(received))) => received,
        HeadWait::Done(Some(Err(error))) => {
            let outcome = record_failure(entry, call, &choice, &error);
            if matches!(outcome, Outcome::Unknown) {
                record_broken_run(entry, call, attempts, body, (&choice, prior)).await;
            }
            return outcome;
        }
        HeadWait::Done(None) => {
            // The server process has ended, so no response will arrive.
            tracing::info!(event = "server_ended", request = %call.id, server = %choice.id);
            record_broken_run(entry, call, attempts, body, (&choice, prior)).await;
            return Outcome::Unknown;
        }
        HeadWait::Abandoned => {
            record_broken_run(entry, call, attempts, body, (&choice, prior)).await;
            return Outcome::Unknown;
        }
        HeadWait::TimedOut => {
            entry
                .fleet
                .record_failure(choice.key, Failure::TimedOut, Instant::now());
            return Outcome::TimedOut;
        }
    };
    match classify_response(entry, call, choice, connection, response, now) {
        Outcome::Answered(response) => {
            Outcome::Answered(Box::new(ServerResponse { prior, ..*response }))
        }
        outcome => outcome,
    }
}

/// Counts a run that broke off at a server, if the server ended. `choice` comes with the number of
/// servers that counted for the content when it was sent there.
pub(super) async fn record_broken_run(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    body: &Bytes,
    (choice, prior): (&Choice, u8),
) {
    let run = BrokenRun {
        call,
        fingerprints: *attempts.fingerprints(call, body),
        choice,
        prior,
    };
    entry.crashes.record_broken_run(&entry.fleet, run).await;
}

/// Returns the priority that is sent to an engine; 0 is the highest. `None` if the service runs no
/// models or the mechanism is switched off.
fn engine_priority(entry: &Entry, call: &Call, is_late: bool) -> Option<u8> {
    if call.engine().is_none() || !entry.mechanisms.is_enabled(Mechanism::Urgency) {
        return None;
    }
    let priority = call.priority();
    // One scale for all requests, also those without a deadline, so that no rank passes another.
    let by_slack =
        entry.mechanisms.is_enabled(Mechanism::SlackUrgency) && entry.progress.has_deadlines();
    Some(match by_slack {
        true => call.config.urgency(priority, is_late),
        false => priority,
    })
}

/// Result of waiting for the head of a response.
enum HeadWait<T> {
    Done(T),
    /// The response is far later than expected, and another server may be tried.
    Abandoned,
    TimedOut,
}

/// Waits for the head of the response until the call's deadline. A server that takes far
/// longer than expected is reported to the fleet as slow. The attempt is then abandoned if
/// the stream can be resumed at another server.
async fn wait_for_head<T>(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    choice: &Choice,
    exchange: impl Future<Output = T>,
) -> HeadWait<T> {
    tokio::pin!(exchange);
    let now = Instant::now();
    let slow_at = match call.engine() {
        Some(_) => now + event_timeout(call, choice.candidate.first_event_ms()),
        None => call.slow_at(now),
    };
    if slow_at < call.deadline {
        if let Ok(output) = tokio::time::timeout_at(slow_at, &mut exchange).await {
            return HeadWait::Done(output);
        }
        entry
            .fleet
            .record_failure(choice.key, Failure::Slow, Instant::now());
        if call.route.resumable && attempts.has_attempt_left(call) {
            tracing::info!(event = "given_up", request = %call.id, server = %choice.id,
                expected_ms = choice.candidate.first_event_ms(),
                waited_ms = now.elapsed().as_millis());
            return HeadWait::Abandoned;
        }
    }
    match tokio::time::timeout_at(call.deadline, exchange).await {
        Ok(output) => HeadWait::Done(output),
        Err(_) => HeadWait::TimedOut,
    }
}

/// An engine is considered stalled after the expected time times this factor. In bursts 1% of the
/// first events take 4.3 times the expected time, nearly all of them less than
/// [`Call::slow_threshold`].
const EVENT_TIMEOUT_RATIO: f64 = 4.0;

/// Returns how long to wait for an engine's next event, which is expected within `expected_ms`
/// milliseconds. It is at least [`Call::slow_threshold`], because another server would have to
/// process the whole prompt again.
pub fn event_timeout(call: &Call, expected_ms: f64) -> Duration {
    let timeout = Duration::from_secs_f64(expected_ms * EVENT_TIMEOUT_RATIO / 1e3);
    timeout.max(call.slow_threshold())
}

/// Reports a failed exchange to the fleet.
fn record_failure(entry: &Entry, call: &Call, choice: &Choice, error: &link::Error) -> Outcome {
    let now = Instant::now();
    tracing::info!(event = "attempt_failed", request = %call.id, server = %choice.id, %error);
    match error {
        link::Error::NotSent(..) => {
            entry
                .fleet
                .record_failure(choice.key, Failure::Unreachable, now);
            Outcome::NotRun(NotRunReason::Unreachable)
        }
        link::Error::Interrupted(..) => {
            entry
                .fleet
                .record_failure(choice.key, Failure::ConnectionLost, now);
            Outcome::Unknown
        }
    }
}

/// Checks that the response belongs to the request and that the server ran it, and reports
/// the result to the fleet.
fn classify_response(
    entry: &Entry,
    call: &Call,
    choice: Choice,
    connection: Connection,
    response: Response<Incoming>,
    sent_at: Instant,
) -> Outcome {
    // Other codes are no response to a request.
    if !RESPONSE_STATUSES.contains(&response.status().as_u16()) {
        tracing::info!(event = "answer_invalid", request = %call.id, server = %choice.id,
            status = response.status().as_u16());
        let now = Instant::now();
        entry
            .fleet
            .record_failure(choice.key, Failure::ConnectionLost, now);
        return Outcome::Unknown;
    }
    let head = entry
        .dialect
        .response_head(response.status(), response.headers());
    // A response to another request, whatever its status, tells nothing about this one, which the
    // server may be running. Requests and responses on this connection no longer match, so the
    // connection is closed.
    if head.request_id.as_ref() != Some(&call.id) {
        tracing::info!(event = "answer_of_another", request = %call.id, server = %choice.id,
            status = response.status().as_u16(),
            answered = head.request_id.as_ref().map_or("none", Id::as_str));
        return Outcome::Unknown;
    }
    if head.misdirected {
        entry.fleet.mark_replaced(choice.key);
        return Outcome::NotRun(NotRunReason::Misdirected);
    }
    if head.not_run {
        entry
            .fleet
            .record_failure(choice.key, Failure::Rejected, Instant::now());
        choice
            .pool
            .put_back(connection, head.idle_timeout, Instant::now());
        return Outcome::NotRun(NotRunReason::Refused);
    }
    let now = Instant::now();
    if response.status().is_server_error() {
        entry
            .fleet
            .record_failure(choice.key, Failure::ServerError, now);
    } else {
        let response_time = call.engine().is_none().then(|| now - sent_at);
        entry.fleet.record_success(choice.key, response_time, now);
    }
    Outcome::Answered(Box::new(ServerResponse {
        choice,
        connection,
        response,
        head,
        prior: 0,
    }))
}

/// Chooses a server for the request and logs the inputs of the decision.
fn choose_server(
    entry: &Entry,
    call: &Call,
    attempts: &Attempts,
    query: &Query<'_>,
    rank: Option<usize>,
) -> Option<Choice> {
    let now = Instant::now();
    let mut state = attempts.lock();
    let attempt_query = Query {
        excluded: &state.tried,
        now,
        ..query.clone()
    };
    let choice = entry.fleet.choose_spread(&attempt_query, rank);
    state.tried.extend(choice.as_ref().map(|c| c.key));
    let age = entry.mirror.age(now);
    let program = call.meta.program.as_ref();
    let ownership = choice.as_ref().and_then(|c| c.owners);
    tracing::info!(event = "placed", request = %call.id,
        program = program.map_or("none", Id::as_str), attempt = state.tried.len(),
        waited_ms = now.saturating_duration_since(call.arrived).as_millis(),
        server = choice.as_ref().map_or("none", |c| c.id.as_str()),
        holder = query.cached_on.map_or("none", Id::as_str),
        prompt = query.prompt_tokens,
        unread = choice.as_ref().map(|c| c.candidate.uncached_tokens),
        owners = ownership.map(|o| o.owners), owner = ownership.map(|o| o.is_owner),
        session_owner = ownership.map(|o| o.is_session_owner),
        in_flight = choice.as_ref().map(|c| c.candidate.in_flight),
        expected_ms = choice.as_ref().map(|c| c.candidate.first_event_ms()),
        answer_ms = choice.as_ref().map(|c| c.candidate.times.unloaded_response_ms),
        gap_ms = choice.as_ref().map(|c| c.candidate.times.unloaded_event_gap_ms),
        read_ms = choice.as_ref().map(|c| c.candidate.times.read_ms_per_token),
        slowness = choice.as_ref().map(|c| c.candidate.slowness),
        pace = choice.as_ref().and_then(|c| c.candidate.pace).map(|p| p.ratio),
        unseen = choice.as_ref().and_then(|c| c.candidate.pace).map(|p| p.unseen),
        route = call.route.name, config = call.config.version,
        directory_age_ms = age.map(|a| a.as_millis()),
        left_ms = call.time_left(now).as_millis());
    choice
}
