//! Requests whose response is a stream of events, and turns of conversations.
//!
//! Before a turn is sent to a backend server, one exchange with the keepers reserves tokens in
//! the program's budget and reads the conversation so far. After the last event, a second
//! exchange stores the turn on a majority of disks, and only then does the stream to the caller
//! end. A caller that has received a complete response can therefore rely on the turn being
//! stored. Events are forwarded as they arrive.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_http::Body;
use gradedyke_turns::conversation::Transcript;
use gradedyke_turns::quorum::{self, BeginParams};
use gradedyke_turns::record::{Id, Reserved};
use http::Response;
use tokio::time::Instant;

use super::Entry;
use super::budget::{Reservation, retention_ms};
use super::call::Call;
use super::hold::Hold;
use super::refusal::Refusal;
use super::relay;
use super::upstream::StreamRequest;
use gradedyke_policy::mechanism::Mechanism;
use gradedyke_policy::throttle;

/// Timeout of one exchange with the keepers that begins a turn. Ten exchanges with a disk sync
/// each.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of all attempts together to begin a turn. Keepers that were all lost take this long to
/// start and read their disks, and a refusal would use up one of the few tries of a caller.
const TOTAL_BEGIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Begins the turn, sends it to a backend server and starts forwarding the response.
///
/// # Errors
///
/// The [`Refusal`] that is sent to the caller as an error response. Nothing has been sent to
/// the caller before.
pub async fn serve(entry: &Arc<Entry>, call: Arc<Call>) -> Result<Response<Body>, Refusal> {
    let parent = parent_id(&call);
    let (transcript, reservation, is_late) = begin_turn(entry, &call, parent.clone()).await?;
    let mut hold = Hold::new(&entry.quorum, parent, reservation.program(), Instant::now());
    let memory = entry.memory.lease();
    let conversation_bytes = transcript.as_ref().map_or(0, |t| t.body.len());
    if memory.grow(conversation_bytes).is_err() {
        reservation.settle(entry, 0);
        return Err(Refusal::NoMemory);
    }
    memory.pin();
    let upstream = StreamRequest::new(transcript, &call.body, is_late, memory);
    let response = match hold.during(upstream.open(entry, &call, None)).await {
        Ok(response) => response,
        Err(refusal) => {
            // No tokens have reached the caller.
            reservation.settle(entry, 0);
            return Err(refusal);
        }
    };
    Ok(relay::start(
        entry,
        call,
        reservation,
        upstream,
        response,
        hold,
    ))
}

/// Returns the ID of the stored turn that the call continues.
fn parent_id(call: &Call) -> Option<Id> {
    let parent = call.route.retention.and(call.meta.parent.as_ref());
    parent.map(|p| call.scoped_id(p))
}

/// Reserves tokens in the program's budget and reads the conversation so far, in one exchange
/// with the keepers. Also returns whether the program can no longer end in time.
async fn begin_turn(
    entry: &Arc<Entry>,
    call: &Call,
    parent: Option<Id>,
) -> Result<(Option<Transcript>, Reservation, bool), Refusal> {
    let started = Instant::now();
    if entry.crashes.refuses_call(call, started) {
        return Err(Refusal::EndsServers);
    }
    if !is_admitted(entry, call, started) {
        return Err(Refusal::Throttled);
    }
    entry.admit_request(call, started)?;
    let budget_request = budget_request(call);
    let reservation = Reservation::new(budget_request.as_ref().map(|(r, _)| r.clone()));
    let usage_report = call.charge.map(|c| entry.limiter.report(&c, started));
    let (usage, snapshot) = usage_report.unzip();
    let params = BeginParams {
        reservation: budget_request,
        parent,
        input_bytes: call.body.len(),
        is_first_turn: Call::is_program_start(&call.route, &call.meta),
        load: entry.fleet.load_report(started),
        usage,
        try_timeout: BEGIN_TIMEOUT,
        deadline: call.deadline.min(started + TOTAL_BEGIN_TIMEOUT),
        conversation_deadline: call.deadline,
    };
    let result = entry.quorum.begin(&params).await;
    if let Some((pressure, at)) = entry.quorum.pressure() {
        entry.throttle.record_pressure(pressure, at);
    }
    metrics::histogram!("gradedyke_begin_seconds").record(started.elapsed().as_secs_f64());
    match result {
        Ok(begun) => {
            entry
                .throttle
                .record_admitted(begun.elapsed, Instant::now());
            if let Some(load) = begun.load {
                entry.fleet.set_peer_load(&load, Instant::now());
            }
            if let (Some(snapshot), Some(total)) = (snapshot, begun.usage)
                && !(entry.record_usage(call, snapshot, total)
                    && entry.admits_progress(call, total, begun.program_attempts))
            {
                reservation.settle(entry, 0);
                return Err(Refusal::AllowanceExceeded);
            }
            let now = Instant::now();
            if let Err(refusal) = entry.admit_begun(call, begun.program_attempts, now) {
                reservation.settle(entry, 0);
                return Err(refusal);
            }
            entry.record_demand(call, begun.program_attempts);
            let is_late = entry.record_turn(call, begun.program_attempts, now);
            Ok((begun.transcript, reservation, is_late))
        }
        Err(error) => {
            tracing::info!(event = "turn_refused", request = %call.id,
                parent = call.meta.parent.as_ref().map_or("none", |p| p.as_str()),
                view = entry.quorum.view().version,
                waited_ms = started.elapsed().as_millis(), %error);
            // Keepers that are unreachable or starting are not overloaded.
            let is_overload = match error {
                quorum::Error::Busy => true,
                quorum::Error::NoQuorum { .. } => entry.quorum.is_majority_reachable(),
                _ => false,
            };
            if is_overload {
                entry.throttle.record_refused(Instant::now());
            }
            Err(match error {
                quorum::Error::TurnNotFound => Refusal::TurnNotFound,
                quorum::Error::RecordsAbsent => Refusal::RecordsAbsent,
                quorum::Error::BudgetExceeded { .. } => Refusal::BudgetExceeded,
                quorum::Error::ConversationTooLarge { .. } => Refusal::ConversationTooLarge,
                quorum::Error::TurnTooLarge(_) => Refusal::TooLarge,
                quorum::Error::Indeterminate
                | quorum::Error::Starting
                | quorum::Error::Busy
                | quorum::Error::NoQuorum { .. } => Refusal::NoKeepers,
            })
        }
    }
}

/// Whether the throttle admits the turn. A turn that continues a stored conversation is always
/// admitted. On routes that store no turns, the first turn of a program cannot be recognized,
/// so a hash of the program's ID decides, the same for all its turns.
fn is_admitted(entry: &Entry, call: &Call, now: Instant) -> bool {
    let stores_turns = call.route.retention.is_some();
    if !entry.mechanisms.is_enabled(Mechanism::Throttle)
        || stores_turns && call.meta.parent.is_some()
    {
        return true;
    }
    let fraction = match &call.meta.program {
        Some(program) if !stores_turns => throttle::hash_fraction(program),
        _ => rand::random(),
    };
    entry.throttle.admits(fraction, now)
}

/// Returns the tokens to reserve for the request and the total budget of its program; `None`
/// without a budget.
fn budget_request(call: &Call) -> Option<(Reserved, u64)> {
    let budget = call.meta.token_budget?;
    let program = call.scoped_id(call.meta.program.as_ref()?);
    let reserved = Reserved {
        program,
        request: call.scoped_id(&call.id),
        tokens: call.meta.size.map_or(0, |s| s.max_response_tokens),
        keep_ms: retention_ms(call),
    };
    Some((reserved, budget))
}
