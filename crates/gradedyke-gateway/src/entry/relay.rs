//! Forwards a stream of events from a backend server to the caller. A complete stream is
//! stored as a turn; one that breaks off is resumed at another server if the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gradedyke_http::body::Sender;
use gradedyke_http::{Body, body};
use gradedyke_turns::message;
use gradedyke_turns::record::{MAX_TURN_BYTES, Record, Turn};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, ServerResponse};
use super::budget::{Reservation, retention_ms};
use super::call::Call;
use super::hold::Hold;
use super::upstream::StreamRequest;
use crate::dialect::Head;
use crate::event::Splitter;
use crate::fleet::Choice;
use crate::link::Connection;
use crate::memory::Lease;
use gradedyke_policy::estimate::Timing;
use gradedyke_policy::health;

/// Number of events after which the average time between events is reported to the fleet, so that
/// a slow server is detected before its response ends. Enough for two gaps, and a third of a
/// response of usual length.
const GAP_SAMPLE_EVENTS: u32 = 3;
/// Largest body of an error response, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Number of events buffered for a caller that reads slowly.
const EVENT_BUFFER_LEN: usize = 64;
/// Timeout for storing a turn after its last event.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Spawns a task that forwards the stream. Returns the response whose body the task fills.
pub(super) fn start(
    entry: &Arc<Entry>,
    call: Arc<Call>,
    reservation: Reservation,
    upstream: StreamRequest,
    received: ServerResponse,
    mut hold: Hold,
) -> Response<Body> {
    let headers = entry.dialect.response_headers(received.response.headers());
    let status = received.response.status();
    let memory = Arc::new(entry.memory.lease());
    let (sender, body) = body::channel(EVENT_BUFFER_LEN);
    let sent = memory.clone();
    let body = body.map_frame(move |frame| {
        sent.shrink(frame.data_ref().map_or(0, Bytes::len));
        frame
    });
    let max_event_tokens = call.engine().map_or(1, |e| e.max_event_tokens);
    let relay = Relay {
        entry: entry.clone(),
        max_tokens: max_tokens(&call, max_event_tokens),
        call,
        reservation,
        sender,
        upstream,
        last_event_id: None,
        choice: received.choice,
        prior: received.prior,
        output: BytesMut::new(),
        tokens: 0,
        max_event_tokens,
        event_times: None,
        event_count: 0,
        memory,
    };
    let incoming = received.response.into_body();
    let (connection, head) = (received.connection, received.head);
    tokio::spawn(async move {
        hold.during(relay.run(status, incoming, connection, head))
            .await;
    });
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the largest number of tokens that may be forwarded of a call's response: what is
/// reserved for it in its program's budget, in whole events. `None` without a budget.
fn max_tokens(call: &Call, max_event_tokens: u32) -> Option<u64> {
    let budget = call.meta.token_budget?;
    let reserved = call.meta.size.map(|s| u64::from(s.max_response_tokens));
    let tokens = reserved.unwrap_or(budget);
    Some(
        tokens
            .checked_next_multiple_of(max_event_tokens.into())
            .unwrap_or(tokens),
    )
}

/// State of a stream that is being forwarded.
struct Relay {
    entry: Arc<Entry>,
    call: Arc<Call>,
    reservation: Reservation,
    sender: Sender,
    upstream: StreamRequest,
    /// Identifier of the last event that was forwarded.
    last_event_id: Option<Bytes>,
    choice: Choice,
    /// Number of servers that counted for the content when the request was sent there.
    prior: u8,
    /// Data of all events, to be stored with the turn.
    output: BytesMut,
    /// Upper bound on the number of tokens forwarded.
    tokens: u32,
    /// Largest number of tokens in one event.
    max_event_tokens: u32,
    /// Largest number of tokens that may be forwarded; `None` without a budget.
    max_tokens: Option<u64>,
    /// Arrival of the first and the latest event from the current server.
    event_times: Option<(Instant, Instant)>,
    /// Number of events from the current server.
    event_count: u32,
    /// Memory of what was received and not sent yet, and of the output.
    memory: Arc<Lease>,
}

/// How a stream ended.
enum End {
    Complete,
    /// The connection to the server broke, or the server sent an invalid stream.
    Interrupted(String),
    /// The server has sent nothing for far longer than expected.
    Stalled,
    /// The server has sent more tokens than the request allows.
    TooManyTokens,
    CallerDisconnected,
    TimedOut,
    /// The turn could not be stored.
    NotStored,
    /// There is no memory for what the server sends.
    NoMemory,
}

impl Relay {
    async fn run(
        mut self,
        status: StatusCode,
        mut incoming: Incoming,
        mut connection: Connection,
        mut head: Head,
    ) {
        let end = loop {
            let end = self.forward_events(status, &mut incoming).await;
            if !self.report_server_failure(&end) {
                break end;
            }
            let (entry, run) = (&self.entry, (&self.choice, self.prior));
            self.upstream
                .record_broken_run(entry, &self.call, run)
                .await;
            let Some(next) = self.resume(status).await else {
                break end;
            };
            // Dropping the old connection closes it.
            (incoming, connection, head) = next;
        };
        let (name, cause) = match &end {
            End::Complete => ("whole", ""),
            End::Interrupted(cause) => ("broken", cause.as_str()),
            End::Stalled => ("silent", ""),
            End::TooManyTokens => ("too_many_tokens", ""),
            End::CallerDisconnected => ("caller_left", ""),
            End::TimedOut => ("timed_out", ""),
            End::NotStored => ("not_kept", ""),
            End::NoMemory => ("no_memory", ""),
        };
        let now = Instant::now();
        tracing::info!(event = "stream_ended", request = %self.call.id, end = name, cause,
            server = %self.choice.id, status = status.as_u16(), tokens = self.tokens,
            config = self.call.provenance.version,
            config_age_ms = self.call.provenance.age_ms(),
            config_source = self.call.provenance.source_text(),
            first_ms = self.time_to_first_event().map(|t| t.as_millis()),
            events_ms = self.streaming_time().map(|t| t.as_millis()),
            ms = (now - self.call.arrived).as_millis());
        metrics::counter!("gradedyke_streams_total", "end" => name).increment(1);
        match end {
            End::Complete => {
                self.upstream.record_completed(&self.entry, &self.call);
                self.report_timings();
                if status.is_success() {
                    self.entry.record_turn_end(&self.call, now);
                }
                if !status.is_success() {
                    // An error response generated no tokens.
                    self.reservation.settle(&self.entry, 0);
                }
                if !head.close {
                    self.choice
                        .pool
                        .put_back(connection, head.idle_timeout, now);
                }
                return;
            }
            End::Interrupted(_)
            | End::Stalled
            | End::TooManyTokens
            | End::CallerDisconnected
            | End::TimedOut
            | End::NotStored
            | End::NoMemory => {}
        }
        self.reservation.settle(&self.entry, self.tokens);
        // The error aborts the connection, so that the caller can tell that the response is
        // incomplete.
        let failure: body::Error = format!("the stream ended early: {name}").into();
        let _ = self.sender.send(Err(failure)).await;
    }

    /// Reports a failure to the fleet if the server caused the end of the stream. Returns whether
    /// it did and another server may go on.
    fn report_server_failure(&self, end: &End) -> bool {
        let (failure, cause) = match end {
            End::Interrupted(cause) => (health::Failure::ConnectionLost, cause.as_str()),
            End::Stalled => (health::Failure::Slow, ""),
            End::TooManyTokens => {
                let (fleet, failure) = (&self.entry.fleet, health::Failure::ConnectionLost);
                fleet.record_failure(self.choice.key, failure, Instant::now());
                return false;
            }
            End::Complete
            | End::CallerDisconnected
            | End::TimedOut
            | End::NotStored
            | End::NoMemory => return false,
        };
        let now = Instant::now();
        self.entry
            .fleet
            .record_failure(self.choice.key, failure, now);
        tracing::info!(event = "stream_broke", request = %self.call.id,
            server = %self.choice.id, fault = failure.name(), cause);
        true
    }

    /// Resumes the stream at another server, if the route allows it and one accepts.
    async fn resume(&mut self, status: StatusCode) -> Option<(Incoming, Connection, Head)> {
        if !status.is_success() || !self.upstream.can_resume(&self.call) {
            return None;
        }
        let last_event_id = self.last_event_id.as_deref();
        let result = tokio::select! {
            result = self.upstream.open(&self.entry, &self.call, last_event_id) => result,
            // The caller has disconnected.
            () = self.sender.closed() => return None,
        };
        let received = match result {
            Ok(received) if received.response.status() == status => received,
            Ok(_) => return None,
            Err(refusal) => {
                tracing::info!(event = "not_resumed", request = %self.call.id,
                    why = refusal.name());
                return None;
            }
        };
        tracing::info!(event = "resumed", request = %self.call.id,
            before = %self.choice.id, server = %received.choice.id,
            tokens = self.tokens);
        metrics::counter!("gradedyke_streams_resumed_total").increment(1);
        self.choice = received.choice;
        self.prior = received.prior;
        (self.event_times, self.event_count) = (None, 0);
        let incoming = received.response.into_body();
        Some((incoming, received.connection, received.head))
    }

    /// Returns the deadline for the next event, and whether the stream is resumed at another
    /// server after it. If it cannot be resumed, this is the call's deadline.
    fn next_event_deadline(&self) -> (Instant, bool) {
        let now = Instant::now();
        let candidate = &self.choice.candidate;
        let expected = match self.event_times {
            Some(_) => candidate.times.event_gap_ms(candidate.concurrent()),
            None => candidate.first_event_ms(),
        };
        let stalled_at = now + attempt::event_timeout(&self.call, expected);
        let switch_server = stalled_at < self.call.deadline && self.upstream.can_resume(&self.call);
        if switch_server {
            (stalled_at, true)
        } else {
            (self.call.deadline, false)
        }
    }

    async fn forward_events(&mut self, status: StatusCode, incoming: &mut Incoming) -> End {
        let mut events = Splitter::default();
        let mut error_bytes = 0;
        loop {
            let (deadline, switch_server) = self.next_event_deadline();
            let frame = tokio::select! {
                // Events that have arrived are forwarded even if the server is gone by now.
                biased;
                frame = tokio::time::timeout_at(deadline, incoming.frame()) => frame,
                () = self.sender.closed() => return End::CallerDisconnected,
                () = self.memory.evicted() => return End::NoMemory,
                () = self.choice.process_ended.cancelled() => {
                    return End::Interrupted("the server process was restarted or has ended".to_owned());
                }
            };
            let data = match frame {
                Err(_) if switch_server => return End::Stalled,
                Err(_) => return End::TimedOut,
                Ok(Some(Err(error))) => return End::Interrupted(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => break,
            };
            if self.memory.grow(data.len()).is_err() {
                return End::NoMemory;
            }
            if !status.is_success() {
                error_bytes += data.len();
                if error_bytes > MAX_ERROR_BYTES {
                    let cause = format!("error response exceeds {MAX_ERROR_BYTES} bytes");
                    return End::Interrupted(cause);
                }
            }
            if let Err(error) = events.push(&data) {
                return End::Interrupted(error.to_string());
            }
            while let Some(event) = events.next_event() {
                if status.is_success() && !self.may_forward_event() {
                    return End::TooManyTokens;
                }
                self.record_event(&event, Instant::now());
                if !self.store_output(&event) {
                    return End::NoMemory;
                }
                let event_id = self.entry.dialect.event_id(&event);
                self.last_event_id = event_id
                    .map(Bytes::copy_from_slice)
                    .or(self.last_event_id.take());
                if self.is_too_large() {
                    tracing::warn!(event = "turn_too_large", request = %self.call.id,
                        input = self.call.body.len(), output = self.output.len());
                    return End::NotStored;
                }
                if !self.send_event(event).await {
                    return End::CallerDisconnected;
                }
            }
        }
        let remainder = Bytes::copy_from_slice(events.remainder());
        if !status.is_success() {
            // The body of an error response need not consist of events.
            return self.send_remainder(remainder).await;
        }
        if !remainder.is_empty() {
            return End::Interrupted("the stream ended within an event".to_owned());
        }
        // The end of the stream tells the caller that the turn is stored.
        if !self.store_turn().await {
            return End::NotStored;
        }
        End::Complete
    }

    /// Whether another event is within what the request allows.
    fn may_forward_event(&self) -> bool {
        let tokens = u64::from(self.tokens) + u64::from(self.max_event_tokens);
        self.max_tokens.is_none_or(|max| tokens <= max)
    }

    /// Whether the turn is to be stored and has become too large for it.
    fn is_too_large(&self) -> bool {
        let bytes = self.call.body.len() + self.output.len();
        self.call.route.retention.is_some() && bytes > MAX_TURN_BYTES
    }

    /// Sends the remaining bytes of an error response.
    async fn send_remainder(&self, remainder: Bytes) -> End {
        if remainder.is_empty() || self.send_event(remainder).await {
            return End::Complete;
        }
        End::CallerDisconnected
    }

    /// Returns the time from when the server was chosen to its first event.
    fn time_to_first_event(&self) -> Option<Duration> {
        self.event_times
            .map(|(first, _)| first - self.choice.chosen_at)
    }

    /// Returns the time from the first event of the server to its latest.
    fn streaming_time(&self) -> Option<Duration> {
        self.event_times.map(|(first, last)| last - first)
    }

    /// Reports the timings of the complete response to the fleet.
    fn report_timings(&self) {
        let (Some(first), Some(rest)) = (self.time_to_first_event(), self.streaming_time()) else {
            return;
        };
        let candidate = &self.choice.candidate;
        let timing = Timing {
            concurrent: candidate.in_flight,
            slots: candidate.slots,
            uncached_tokens: candidate.uncached_tokens,
            first_event_ms: first.as_secs_f64() * 1e3,
            remaining_ms: rest.as_secs_f64() * 1e3,
            events: self.event_count.saturating_sub(1),
            pace_ratio: candidate.pace.map_or(1.0, |pace| pace.ratio),
        };
        let (parts, generated) = (&self.call.meta.parts, u64::from(self.tokens));
        let fleet = &self.entry.fleet;
        fleet.record_stream(self.choice.key, parts, generated, &timing);
    }

    /// Adds an event to the tokens and to the timing statistics.
    fn record_event(&mut self, event: &Bytes, now: Instant) {
        let first = self.event_times.map_or(now, |(first, _)| first);
        self.event_times = Some((first, now));
        self.event_count += 1;
        if self.event_count == GAP_SAMPLE_EVENTS {
            let (key, concurrent) = (self.choice.key, self.choice.candidate.in_flight);
            let gap = (now - first) / (GAP_SAMPLE_EVENTS - 1);
            self.entry.fleet.record_event_gap(key, concurrent, gap, now);
        }
        self.tokens = self.tokens.saturating_add(self.max_event_tokens);
        tracing::debug!(event = "event", request = %self.call.id, text = ?event);
    }

    /// Adds the data of an event to the output, if the turn is to be stored. Returns false if there
    /// is no memory for it.
    fn store_output(&mut self, event: &Bytes) -> bool {
        let data = self.entry.dialect.event_data(event);
        let Some(data) = data.filter(|_| self.call.route.retention.is_some()) else {
            return true;
        };
        self.output.extend_from_slice(data);
        self.output.extend_from_slice(b"\n");
        self.memory.grow(data.len() + 1).is_ok()
    }

    async fn send_event(&self, event: Bytes) -> bool {
        self.sender.send(Ok(event)).await.is_ok()
    }

    /// Stores the turn on a majority of disks, if the route stores turns. Returns whether that
    /// succeeded.
    async fn store_turn(&mut self) -> bool {
        let Some(_) = self.call.route.retention else {
            self.reservation.settle(&self.entry, self.tokens);
            return true;
        };
        let record = Record::Turn(Turn {
            request: self.call.scoped_id(&self.call.id),
            parent: self
                .call
                .meta
                .parent
                .as_ref()
                .map(|p| self.call.scoped_id(p)),
            input: self.call.body.clone(),
            output: self.output.split().freeze(),
            server: self.choice.incarnation.clone(),
            program: self.reservation.program(),
            tokens: self.tokens,
            keep_ms: retention_ms(&self.call),
        });
        let started = Instant::now();
        let timeout = STORE_TIMEOUT + message::transfer_time(record.body_bytes());
        let deadline = self.call.deadline.min(started + timeout);
        let limiter = &self.entry.limiter;
        let usage_report = self.call.charge.map(|c| limiter.report(&c, started));
        let (usage, snapshot) = usage_report.unzip();
        let result = self
            .entry
            .quorum
            .store(&record, usage.as_ref(), deadline)
            .await;
        if let (Some(snapshot), Ok(Some(total))) = (snapshot, &result) {
            limiter.record_sum(snapshot, *total, Instant::now());
        }
        metrics::histogram!("gradedyke_keep_seconds").record(started.elapsed().as_secs_f64());
        if let Err(error) = &result {
            tracing::warn!(event = "turn_not_kept", request = %self.call.id, %error,
                waited_ms = started.elapsed().as_millis());
        }
        result.is_ok()
    }
}
