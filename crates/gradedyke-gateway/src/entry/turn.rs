//! Requests whose answer is a stream of events, and turns of conversations.
//!
//! A turn takes one exchange with the keepers before it is sent, which reserves
//! its budget and brings what was said before, and one after its last event is
//! here and before the stream is ended towards the caller. So whatever a caller
//! has had whole is on a majority of disks. Events are passed on as they come.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gradedyke_http::body::{Failure, Sender};
use gradedyke_http::{Body, body};
use gradedyke_turns::conversation::Chain;
use gradedyke_turns::quorum::{self, Ask};
use gradedyke_turns::record::{Record, Reserved, Settled, Turn};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, Answered, LEAST, Trail};
use super::call::Call;
use super::refusal::Refusal;
use crate::estimate::Stream;
use crate::event::Splitter;
use crate::fleet::{Choice, Question};
use crate::health::Fault;
use crate::link::Link;

/// Events after which the pace of an answer is told: enough for two gaps, and a third
/// of an answer of usual length, so that a slow engine is known long before its
/// answers end.
const PACED: u32 = 3;
/// Events that may wait for a caller that reads slowly.
const EVENTS: usize = 64;
/// Longest time that keepers which are there have for the exchange before a turn
/// is sent: ten exchanges with a sync each; a caller does better elsewhere then.
const BEGIN: Duration = Duration::from_millis(300);
/// Longest wait for keepers that were lost a moment ago, all of them: what they
/// take to start and to read their disks. A refusal would only use up one of the
/// few tries that a caller has.
const RESTART: Duration = Duration::from_millis(1_000);
/// Longest time to keep a turn whose answer is whole.
const KEEP: Duration = Duration::from_millis(2_000);
/// Longest time to settle what an attempt used, after its caller has gone.
const SETTLE: Duration = Duration::from_secs(5);
/// How long a budget's attempts are kept on routes that keep no turns.
const BUDGET: Duration = Duration::from_secs(60);

/// Serves the request.
///
/// # Errors
///
/// The [`Refusal`] to answer with, before anything of an answer.
pub async fn serve(entry: &Arc<Entry>, call: Arc<Call>) -> Result<Response<Body>, Refusal> {
    let (chain, ledger) = begin(entry, &call).await?;
    let body = match &chain {
        Some(chain) => join(&chain.body, &call.body),
        None => call.body.clone(),
    };
    let trail = Trail::default();
    let source = Source { chain, body, trail };
    let answered = match source.open(entry, &call, None).await {
        Ok(answered) => answered,
        Err(refusal) => {
            // Nothing of the answer has reached the caller.
            ledger.settle(entry, 0);
            return Err(refusal);
        }
    };
    let status = answered.response.status();
    let headers = entry.dialect.inbound(answered.response.headers());
    let (sender, reply) = body::channel(EVENTS);
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
        event_tokens: 0,
        events: None,
        count: 0,
    };
    let (incoming, link, answer) = (
        answered.response.into_body(),
        answered.link,
        answered.answer,
    );
    tokio::spawn(relay.run(status, incoming, link, answer));
    let mut response = Response::new(reply);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Where a stream comes from: what is sent for it, and the servers it was at.
struct Source {
    chain: Option<Chain>,
    body: Bytes,
    trail: Trail,
}

impl Source {
    /// Has a server run the request, or go on with it behind the event `after`. One
    /// that may be resumed is sent to another server when the first one breaks off.
    async fn open(
        &self,
        entry: &Entry,
        call: &Call,
        after: Option<&[u8]>,
    ) -> Result<Answered, Refusal> {
        let question = question(call, self.chain.as_ref());
        loop {
            let (trail, body) = (&self.trail, &self.body);
            let opened = attempt::dispatch(entry, call, trail, &question, body, after).await;
            match opened {
                Err(Refusal::Broken) if self.again(call) => {}
                opened => return opened,
            }
        }
    }

    /// Whether another server may go on with the stream.
    fn again(&self, call: &Call) -> bool {
        call.route.resumable && self.trail.open(call) && call.left(Instant::now()) > LEAST
    }
}

fn join(before: &Bytes, new: &Bytes) -> Bytes {
    let mut body = BytesMut::with_capacity(before.len() + new.len());
    body.extend_from_slice(before);
    body.extend_from_slice(new);
    body.freeze()
}

/// What the keepers are to be told of an attempt's use.
#[derive(Clone, Debug)]
struct Ledger {
    reserved: Option<Reserved>,
}

impl Ledger {
    /// Tells what was used, in the background.
    fn settle(&self, entry: &Arc<Entry>, tokens: u32) {
        let Some(reserved) = self.reserved.clone() else {
            return;
        };
        let entry = entry.clone();
        tokio::spawn(async move {
            let record = Record::Settled(Settled {
                program: reserved.program,
                request: reserved.request.clone(),
                tokens,
                keep_ms: reserved.keep_ms,
            });
            let until = Instant::now() + SETTLE;
            if let Err(error) = entry.quorum.keep(&record, until).await {
                // It stays reserved, which only makes the budget smaller.
                tracing::warn!(event = "not_settled", request = %reserved.request, %error);
            }
        });
    }
}

fn keep_ms(call: &Call) -> u32 {
    let keep = call.route.retention.unwrap_or(BUDGET);
    u32::try_from(keep.as_millis()).unwrap_or(u32::MAX)
}

/// Reserves the budget and reads the conversation.
async fn begin(entry: &Arc<Entry>, call: &Call) -> Result<(Option<Chain>, Ledger), Refusal> {
    let reserve = reserve(call);
    let ledger = Ledger {
        reserved: reserve.as_ref().map(|(r, _)| r.clone()),
    };
    let parent = call.route.retention.and(call.meta.parent.clone());
    let ask = Ask {
        reserve,
        parent,
        load: entry.fleet.report(Instant::now()),
        time: BEGIN,
        until: call.until.min(Instant::now() + RESTART),
    };
    let started = Instant::now();
    let begun = entry.quorum.begin(&ask).await;
    metrics::histogram!("gradedyke_begin_seconds").record(started.elapsed().as_secs_f64());
    match begun {
        Ok(begun) => {
            if let Some(load) = begun.load {
                entry.fleet.learn(&load, Instant::now());
            }
            Ok((begun.chain, ledger))
        }
        Err(error) => {
            tracing::info!(event = "turn_refused", request = %call.id,
                parent = call.meta.parent.as_ref().map_or("none", |p| p.as_str()),
                view = entry.quorum.view().version,
                waited_ms = started.elapsed().as_millis(), %error);
            ledger.settle(entry, 0);
            Err(match error {
                quorum::Refusal::NoTurn => Refusal::NoTurn,
                quorum::Refusal::Spent { .. } => Refusal::Spent,
                quorum::Refusal::Unsure
                | quorum::Refusal::Starting
                | quorum::Refusal::Busy
                | quorum::Refusal::NoQuorum { .. } => Refusal::NoKeepers,
            })
        }
    }
}

/// What an attempt reserves, with the whole budget.
fn reserve(call: &Call) -> Option<(Reserved, u64)> {
    let budget = call.meta.budget?;
    let program = call.meta.program.clone()?;
    let reserved = Reserved {
        program,
        request: call.id.clone(),
        tokens: call.meta.usage.map_or(0, |u| u.answer),
        keep_ms: keep_ms(call),
    };
    Some((reserved, budget))
}

/// Tokens of the prompt that were said before: its share in bytes.
fn held_tokens(call: &Call, chain: &Chain) -> u64 {
    let prompt = call.meta.usage.map_or(0, |u| u.prompt);
    let (before, new) = (chain.body.len() as u64, call.body.len() as u64);
    (prompt * before).checked_div(before + new).unwrap_or(0)
}

/// What the fleet is asked for a server for the request.
fn question<'a>(call: &'a Call, chain: Option<&'a Chain>) -> Question<'a> {
    Question {
        service: &call.service,
        request: &call.id,
        tried: &[],
        holder: chain.map(|c| &c.server),
        prompt_tokens: call.meta.usage.map_or(0, |u| u.prompt),
        held_tokens: chain.map_or(0, |c| held_tokens(call, c)),
        parts: &call.meta.parts,
        object: call.meta.object.as_ref(),
        engine: true,
        room: call.engine().map_or(0, |e| e.cache_tokens),
        repeatable: call.route.repeatable(),
        now: call.arrived,
    }
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
        mut answer: crate::dialect::Answer,
    ) {
        self.event_tokens = self.call.engine().map_or(1, |e| e.event_tokens);
        let end = loop {
            let end = self.pump(status, &mut incoming).await;
            if !matches!(end, End::Broken(_) | End::Silent) {
                break end;
            }
            let Some(next) = self.resume(&end, status).await else {
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
            End::Broken(_) => self.entry.fleet.failed(self.choice.key, Fault::Lost, now),
            End::Silent | End::CallerLeft | End::TimedOut | End::NotKept => {}
        }
        self.ledger.settle(&self.entry, self.tokens);
        // An error instead of an end cuts the connection, so that the caller
        // does not take the part for the whole.
        let cut: Failure = format!("the stream ended early: {name}").into();
        let _ = self.sender.send(Err(cut)).await;
    }

    /// Has another server go on with a stream that broke off, if it may be resumed.
    async fn resume(
        &mut self,
        end: &End,
        status: StatusCode,
    ) -> Option<(Incoming, Link, crate::dialect::Answer)> {
        if !status.is_success() || !self.source.again(&self.call) {
            return None;
        }
        if let End::Broken(cause) = end {
            self.entry
                .fleet
                .failed(self.choice.key, Fault::Lost, Instant::now());
            tracing::info!(event = "stream_broke", request = %self.call.id,
                server = %self.choice.id, cause);
        }
        let after = self.last.as_deref();
        let opened = self.source.open(&self.entry, &self.call, after).await;
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
            Some(_) => view.times.gap_ms + f64::from(view.in_flight) * view.times.beside_ms,
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
                frame = tokio::time::timeout_at(until, incoming.frame()) => frame,
                () = self.sender.closed() => return End::CallerLeft,
            };
            let data = match frame {
                Err(_) if leave => {
                    self.entry
                        .fleet
                        .failed(self.choice.key, Fault::Slow, Instant::now());
                    return End::Silent;
                }
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
            request: self.call.id.clone(),
            parent: self.call.meta.parent.clone(),
            input: self.call.body.clone(),
            output: self.output.split().freeze(),
            server: self.choice.id.clone(),
            program: self.ledger.reserved.as_ref().map(|r| r.program.clone()),
            tokens: self.tokens,
            keep_ms: keep_ms(&self.call),
        });
        let started = Instant::now();
        let until = self.call.until.min(started + KEEP);
        let kept = self.entry.quorum.keep(&record, until).await;
        metrics::histogram!("gradedyke_keep_seconds").record(started.elapsed().as_secs_f64());
        if let Err(error) = &kept {
            tracing::warn!(event = "turn_not_kept", request = %self.call.id, %error,
                waited_ms = started.elapsed().as_millis());
        }
        kept.is_ok()
    }
}
