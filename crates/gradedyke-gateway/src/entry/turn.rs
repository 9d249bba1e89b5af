//! Requests whose answer is a stream of events, and turns of conversations.
//!
//! A turn takes one exchange with the keepers before it is sent, which reserves
//! its budget and brings what was said before, and one after its last event is
//! here and before the stream is ended towards the caller. So whatever a caller
//! has had whole is on a majority of disks. Events are passed on as they come.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gradedyke_http::Body;
use gradedyke_turns::conversation::Chain;
use gradedyke_turns::quorum::{self, Ask};
use gradedyke_turns::record::Reserved;
use http::Response;
use tokio::time::Instant;

use super::Entry;
use super::call::Call;
use super::ledger::{Ledger, keep_ms};
use super::refusal::Refusal;
use super::relay;
use super::source::Source;
use crate::mechanism::Mechanism;
use crate::throttle;

/// Longest time that keepers which are there have for the exchange before a turn
/// is sent: ten exchanges with a sync each; a caller does better elsewhere then.
const BEGIN: Duration = Duration::from_millis(300);
/// Longest wait for keepers that were lost a moment ago, all of them: what they
/// take to start and to read their disks. A refusal would only use up one of the
/// few tries that a caller has.
const RESTART: Duration = Duration::from_millis(1_000);

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
    let source = Source::new(chain, body);
    let answered = match source.open(entry, &call, None).await {
        Ok(answered) => answered,
        Err(refusal) => {
            // Nothing of the answer has reached the caller.
            ledger.settle(entry, 0);
            return Err(refusal);
        }
    };
    Ok(relay::start(entry, call, ledger, source, answered))
}

fn join(before: &Bytes, new: &Bytes) -> Bytes {
    let mut body = BytesMut::with_capacity(before.len() + new.len());
    body.extend_from_slice(before);
    body.extend_from_slice(new);
    body.freeze()
}

/// Reserves the budget and reads the conversation.
async fn begin(entry: &Arc<Entry>, call: &Call) -> Result<(Option<Chain>, Ledger), Refusal> {
    let started = Instant::now();
    if !admitted(entry, call, started) {
        return Err(Refusal::Overload);
    }
    let reserve = reserve(call);
    let ledger = Ledger::new(reserve.as_ref().map(|(r, _)| r.clone()));
    let parent = call.route.retention.and(call.meta.parent.as_ref());
    let parent = parent.map(|p| call.scope(p));
    let told = call.counted.map(|c| entry.register.report(&c, started));
    let (usage, mark) = told.unzip();
    let ask = Ask {
        reserve,
        parent,
        first: Call::begins(&call.route, &call.meta),
        load: entry.fleet.report(started),
        usage,
        time: BEGIN,
        until: call.until.min(started + RESTART),
    };
    let begun = entry.quorum.begin(&ask).await;
    if let Some((pressure, at)) = entry.quorum.pressure() {
        entry.throttle.told(pressure, at);
    }
    metrics::histogram!("gradedyke_begin_seconds").record(started.elapsed().as_secs_f64());
    match begun {
        Ok(begun) => {
            entry.throttle.let_in(begun.took, Instant::now());
            if let Some(load) = begun.load {
                entry.fleet.learn(&load, Instant::now());
            }
            if let (Some(mark), Some(sum)) = (mark, begun.usage)
                && !entry.learn(call, mark, sum)
            {
                ledger.settle(entry, 0);
                return Err(Refusal::Exceeded);
            }
            let begins = Call::begins(&call.route, &call.meta);
            entry.demand.turn(&call.route.name, begins, Instant::now());
            Ok((begun.chain, ledger))
        }
        Err(error) => {
            tracing::info!(event = "turn_refused", request = %call.id,
                parent = call.meta.parent.as_ref().map_or("none", |p| p.as_str()),
                view = entry.quorum.view().version,
                waited_ms = started.elapsed().as_millis(), %error);
            // Keepers that are gone, or that start, are no sign of too much to do.
            let overload = match error {
                quorum::Refusal::Busy => true,
                quorum::Refusal::NoQuorum { .. } => entry.quorum.reachable(),
                _ => false,
            };
            if overload {
                entry.throttle.refused(Instant::now());
            }
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

/// Whether the turn may go on while keepers have more to do than they can. One that
/// continues a program may; where no turns are kept, nothing tells which one begins a
/// program, so all turns of one are treated alike.
fn admitted(entry: &Entry, call: &Call, now: Instant) -> bool {
    let keeps = call.route.retention.is_some();
    if !entry.enabled.has(Mechanism::Throttle) || keeps && call.meta.parent.is_some() {
        return true;
    }
    let draw = match &call.meta.program {
        Some(program) if !keeps => throttle::draw(program),
        _ => rand::random(),
    };
    entry.throttle.admits(draw, now)
}

/// What an attempt reserves, with the whole budget.
fn reserve(call: &Call) -> Option<(Reserved, u64)> {
    let budget = call.meta.budget?;
    let program = call.scope(call.meta.program.as_ref()?);
    let reserved = Reserved {
        program,
        request: call.scope(&call.id),
        tokens: call.meta.usage.map_or(0, |u| u.answer),
        keep_ms: keep_ms(call),
    };
    Some((reserved, budget))
}
