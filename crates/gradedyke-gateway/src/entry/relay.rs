//! A stream on its way from a server to the caller: passed on event by event, kept as
//! a turn when it is whole, and taken up at another server when it breaks off and may
//! be resumed.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gradedyke_http::body::{Failure, Sender};
use gradedyke_http::{Body, body};
use gradedyke_turns::record::{Record, Turn};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, Answered};
use super::call::Call;
use super::ledger::{Ledger, keep_ms};
use super::source::Source;
use crate::dialect::Answer;
use crate::estimate::Stream;
use crate::event::Splitter;
use crate::fleet::Choice;
use crate::health::Fault;
use crate::link::Link;

/// Events after which the pace of an answer is told: enough for two gaps, and a third
/// of an answer of usual length, so that a slow engine is known long before its
/// answers end.
const PACED: u32 = 3;
/// Events that may wait for a caller that reads slowly.
const EVENTS: usize = 64;
/// Longest time to keep a turn whose answer is whole.
const KEEP: Duration = Duration::from_millis(2_000);

/// Passes a stream on in a task of its own. Returns its head, and the body that the
/// task fills.
pub(super) fn start(
    entry: &Arc<Entry>,
    call: Arc<Call>,
    ledger: Ledger,
    source: Source,
    answered: Answered,
) -> Response<Body> {
    let headers = entry.dialect.inbound(answered.response.headers());
    let status = answered.response.status();
    let (sender, reply) = body::channel(EVENTS);
    let event_tokens = call.engine().map_or(1, |e| e.event_tokens);
    let relay = Relay {
        entry: entry.clone(),
        call,
        ledger,
        sender,
        source,
        last: None,
        choice: answered.choice,
        output: BytesMut::new(),
        tokens: 0,
        event_tokens,
        events: None,
        count: 0,
    };
    let incoming = answered.response.into_body();
    tokio::spawn(relay.run(status, incoming, answered.link, answered.answer));
    let mut response = Response::new(reply);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A stream on its way from a server to the caller.
struct Relay {
    entry: Arc<Entry>,
    call: Arc<Call>,
    ledger: Ledger,
    sender: Sender,
    source: Source,
    /// The name of the last event that was passed on.
    last: Option<Bytes>,
    choice: Choice,
    output: BytesMut,
    /// Tokens that were passed on, at most.
    tokens: u32,
    event_tokens: u32,
    /// When the first event of its server and the last one so far came.
    events: Option<(Instant, Instant)>,
    /// How many came of that server.
    count: u32,
}

/// How a stream ended.
enum End {
    Whole,
    /// The server broke off, or sent what is no stream.
    Broken(String),
    /// The server has sent nothing for far longer than expected.
    Silent,
    CallerLeft,
    TimedOut,
    /// The turn could not be kept.
    NotKept,
}

impl Relay {
    async fn run(
        mut self,
        status: StatusCode,
        mut incoming: Incoming,
        mut link: Link,
        mut answer: Answer,
    ) {
        let end = loop {
            let end = self.pump(status, &mut incoming).await;
            if !self.blame(&end) {
                break end;
            }
            let Some(next) = self.resume(status).await else {
                break end;
            };
            // The connection to the server that broke off is closed with this.
            (incoming, link, answer) = next;
        };
        let (name, cause) = match &end {
            End::Whole => ("whole", ""),
            End::Broken(cause) => ("broken", cause.as_str()),
            End::Silent => ("silent", ""),
            End::CallerLeft => ("caller_left", ""),
            End::TimedOut => ("timed_out", ""),
            End::NotKept => ("not_kept", ""),
        };
        let now = Instant::now();
        tracing::info!(event = "stream_ended", request = %self.call.id, end = name, cause,
            server = %self.choice.id, status = status.as_u16(), tokens = self.tokens,
            first_ms = self.first().map(|t| t.as_millis()),
            events_ms = self.spread().map(|t| t.as_millis()),
            ms = (now - self.call.arrived).as_millis());
        metrics::counter!("gradedyke_streams_total", "end" => name).increment(1);
        match end {
            End::Whole => {
                self.observe();
                if !status.is_success() {
                    // A server's own failure is no turn and gave no tokens.
                    self.ledger.settle(&self.entry, 0);
                }
                if !answer.last {
                    self.choice.pool.rest(link, answer.idle, now);
                }
                return;
            }
            End::Broken(_) | End::Silent | End::CallerLeft | End::TimedOut | End::NotKept => {}
        }
        self.ledger.settle(&self.entry, self.tokens);
        // An error instead of an end cuts the connection, so that the caller
        // does not take the part for the whole.
        let cut: Failure = format!("the stream ended early: {name}").into();
        let _ = self.sender.send(Err(cut)).await;
    }

    /// Tells the fleet of an end that is the server's fault. Returns whether it is.
    fn blame(&self, end: &End) -> bool {
        let (fault, cause) = match end {
            End::Broken(cause) => (Fault::Lost, cause.as_str()),
            End::Silent => (Fault::Slow, ""),
            End::Whole | End::CallerLeft | End::TimedOut | End::NotKept => return false,
        };
        let now = Instant::now();
        self.entry.fleet.failed(self.choice.key, fault, now);
        tracing::info!(event = "stream_broke", request = %self.call.id,
            server = %self.choice.id, fault = fault.name(), cause);
        true
    }

    /// Has another server go on with a stream that broke off, if it may be resumed.
    async fn resume(&mut self, status: StatusCode) -> Option<(Incoming, Link, Answer)> {
        if !status.is_success() || !self.source.again(&self.call) {
            return None;
        }
        let after = self.last.as_deref();
        let opened = tokio::select! {
            opened = self.source.open(&self.entry, &self.call, after) => opened,
            // Nobody waits for it any more.
            () = self.sender.closed() => return None,
        };
        let answered = match opened {
            Ok(answered) if answered.response.status() == status => answered,
            Ok(_) => return None,
            Err(refusal) => {
                tracing::info!(event = "not_resumed", request = %self.call.id,
                    why = refusal.name());
                return None;
            }
        };
        tracing::info!(event = "resumed", request = %self.call.id,
            before = %self.choice.id, server = %answered.choice.id,
            tokens = self.tokens);
        metrics::counter!("gradedyke_streams_resumed_total").increment(1);
        self.choice = answered.choice;
        (self.events, self.count) = (None, 0);
        let incoming = answered.response.into_body();
        Some((incoming, answered.link, answered.answer))
    }

    /// Until when the next event is waited for, and whether nothing till then means
    /// that the server is left. Without another server there is no use in that.
    fn patience(&self) -> (Instant, bool) {
        let now = Instant::now();
        let view = &self.choice.view;
        let expected = match self.events {
            Some(_) => view.times.gap_ms(view.running()),
            None => view.first_ms(),
        };
        let late = now + attempt::patience(&self.call, expected);
        let leave = late < self.call.until && self.source.again(&self.call);
        if leave {
            (late, true)
        } else {
            (self.call.until, false)
        }
    }

    async fn pump(&mut self, status: StatusCode, incoming: &mut Incoming) -> End {
        let mut events = Splitter::default();
        loop {
            let (until, leave) = self.patience();
            let frame = tokio::select! {
                // What has arrived counts, whatever became of the server since.
                biased;
                frame = tokio::time::timeout_at(until, incoming.frame()) => frame,
                () = self.sender.closed() => return End::CallerLeft,
                () = self.choice.gone.cancelled() => {
                    return End::Broken("its server started again".to_owned());
                }
            };
            let data = match frame {
                Err(_) if leave => return End::Silent,
                Err(_) => return End::TimedOut,
                Ok(Some(Err(error))) => return End::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => break,
            };
            if let Err(error) = events.push(&data) {
                return End::Broken(error.to_string());
            }
            while let Some(event) = events.next_event() {
                self.note(&event, Instant::now());
                let name = self.entry.dialect.event_id(&event);
                self.last = name.map(Bytes::copy_from_slice).or(self.last.take());
                if !self.pass(event).await {
                    return End::CallerLeft;
                }
            }
        }
        let rest = Bytes::copy_from_slice(events.rest());
        if !status.is_success() {
            // An error's body need not be made of events.
            return self.finish(rest).await;
        }
        if !rest.is_empty() {
            return End::Broken("it ended within an event".to_owned());
        }
        // The end is what tells the caller that the turn is whole.
        if !self.keep().await {
            return End::NotKept;
        }
        End::Whole
    }

    /// Passes the last bytes on.
    async fn finish(&self, rest: Bytes) -> End {
        if rest.is_empty() || self.pass(rest).await {
            return End::Whole;
        }
        End::CallerLeft
    }

    /// Time from the choice of the server to the first event.
    fn first(&self) -> Option<Duration> {
        self.events.map(|(first, _)| first - self.choice.since)
    }

    /// Time from the first event to the last.
    fn spread(&self) -> Option<Duration> {
        self.events.map(|(first, last)| last - first)
    }

    /// Tells the fleet how long the answer took.
    fn observe(&self) {
        let (Some(first), Some(rest)) = (self.first(), self.spread()) else {
            return;
        };
        let view = &self.choice.view;
        let stream = Stream {
            beside: view.in_flight,
            slots: view.slots,
            unread: view.unread_tokens,
            first_ms: first.as_secs_f64() * 1e3,
            rest_ms: rest.as_secs_f64() * 1e3,
            events: self.count.saturating_sub(1),
        };
        let (parts, made) = (&self.call.meta.parts, u64::from(self.tokens));
        let fleet = &self.entry.fleet;
        fleet.streamed(self.choice.key, parts, made, &stream);
    }

    /// Takes an event into the turn.
    fn note(&mut self, event: &Bytes, now: Instant) {
        let first = self.events.map_or(now, |(first, _)| first);
        self.events = Some((first, now));
        self.count += 1;
        if self.count == PACED {
            let (key, beside) = (self.choice.key, self.choice.view.in_flight);
            let gap = (now - first) / (PACED - 1);
            self.entry.fleet.paced(key, beside, gap, now);
        }
        if let Some(data) = self.entry.dialect.event_data(event) {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
        self.tokens += self.event_tokens;
        tracing::debug!(event = "event", request = %self.call.id, text = ?event);
    }

    async fn pass(&self, event: Bytes) -> bool {
        self.sender.send(Ok(event)).await.is_ok()
    }

    /// Keeps the turn on a majority of disks.
    async fn keep(&mut self) -> bool {
        let Some(_) = self.call.route.retention else {
            self.ledger.settle(&self.entry, self.tokens);
            return true;
        };
        let record = Record::Turn(Turn {
            request: self.call.scope(&self.call.id),
            parent: self.call.meta.parent.as_ref().map(|p| self.call.scope(p)),
            input: self.call.body.clone(),
            output: self.output.split().freeze(),
            server: self.choice.process.clone(),
            program: self.ledger.program(),
            tokens: self.tokens,
            keep_ms: keep_ms(&self.call),
        });
        let started = Instant::now();
        let until = self.call.until.min(started + KEEP);
        let register = &self.entry.register;
        let told = self.call.counted.map(|c| register.report(&c, started));
        let (usage, mark) = told.unzip();
        let kept = self.entry.quorum.keep(&record, usage.as_ref(), until).await;
        if let (Some(mark), Ok(Some(sum))) = (mark, &kept) {
            register.learn(mark, *sum, Instant::now());
        }
        metrics::histogram!("gradedyke_keep_seconds").record(started.elapsed().as_secs_f64());
        if let Err(error) = &kept {
            tracing::warn!(event = "turn_not_kept", request = %self.call.id, %error,
                waited_ms = started.elapsed().as_millis());
        }
        kept.is_ok()
    }
}
