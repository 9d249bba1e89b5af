//! Opens a stream at a backend server, and resumes it at another.

use bytes::{Bytes, BytesMut};
use gradedyke_turns::conversation::Transcript;
use gradedyke_turns::record::Id;
use tokio::time::Instant;

use super::Entry;
use super::attempt::{self, Attempts, MIN_TIME_LEFT_TO_SEND, ServerResponse};
use super::call::Call;
use super::refusal::Refusal;
use crate::fleet::{Choice, Query};
use crate::memory::Lease;

/// The stored conversation that a request continues.
struct Continued {
    /// Its size in bytes.
    bytes: usize,
    /// ID of the incarnation of the backend server that ran its last turn.
    server: Id,
}

/// The request for a stream, with the servers it was sent to.
pub(super) struct StreamRequest {
    continued: Option<Continued>,
    body: Bytes,
    attempts: Attempts,
    /// Memory of the conversation.
    _memory: Lease,
}

impl StreamRequest {
    /// Creates the request with this new `input`. `transcript` is the stored conversation that it
    /// continues, `is_late` whether its program can no longer end in time.
    /// `memory` is that of the conversation.
    pub(super) fn new(
        transcript: Option<Transcript>,
        input: &Bytes,
        is_late: bool,
        memory: Lease,
    ) -> Self {
        let continued = transcript.as_ref().map(|transcript| Continued {
            bytes: transcript.body.len(),
            server: transcript.server.clone(),
        });
        let body = match transcript {
            Some(transcript) => append(transcript.body, input),
            None => input.clone(),
        };
        Self {
            continued,
            body,
            attempts: Attempts::new(is_late),
            _memory: memory,
        }
    }

    /// Counts a run that broke off at a server, if the server ended. `run` is the server with the
    /// number of servers that counted for the content when the request was sent there.
    pub(super) async fn record_broken_run(&self, entry: &Entry, call: &Call, run: (&Choice, u8)) {
        attempt::record_broken_run(entry, call, &self.attempts, &self.body, run).await;
    }

    /// Clears the request, which has completed.
    pub(super) fn record_completed(&self, entry: &Entry, call: &Call) {
        if !entry.crashes.is_idle() {
            let fingerprints = self.attempts.fingerprints(call, &self.body);
            entry.crashes.record_completed(fingerprints, Instant::now());
        }
    }

    /// Sends the request to a server, which resumes the stream after the event
    /// `last_event_id` if that is given. A resumable request is sent to another server if the
    /// connection breaks, or the server is too slow, before the response head arrives.
    pub(super) async fn open(
        &self,
        entry: &Entry,
        call: &Call,
        last_event_id: Option<&[u8]>,
    ) -> Result<ServerResponse, Refusal> {
        let query = server_query(call, self.continued.as_ref());
        let mut may_have_run = false;
        loop {
            let (attempts, body) = (&self.attempts, &self.body);
            let result =
                attempt::dispatch(entry, call, attempts, &query, body, last_event_id).await;
            match result {
                Err(Refusal::Interrupted) if self.can_resume(call) => may_have_run = true,
                Err(refusal) if may_have_run && refusal.is_unexecuted() => {
                    tracing::info!(event = "not_repeated", request = %call.id,
                        why = refusal.name());
                    return Err(Refusal::Interrupted);
                }
                result => return result,
            }
        }
    }

    /// Whether another server may resume the stream.
    pub(super) fn can_resume(&self, call: &Call) -> bool {
        call.route.resumable
            && self.attempts.has_attempt_left(call)
            && call.time_left(Instant::now()) > MIN_TIME_LEFT_TO_SEND
    }
}

/// Appends the new input to the stored conversation. A large conversation comes with room for the
/// input and is not copied.
fn append(conversation: Bytes, input: &Bytes) -> Bytes {
    let mut body = conversation
        .try_into_mut()
        .unwrap_or_else(|shared| BytesMut::from(&shared[..]));
    body.extend_from_slice(input);
    body.freeze()
}

/// Estimates how many prompt tokens belong to the stored conversation, by its share of the
/// bytes. The server that ran the conversation's last turn has these tokens in its cache.
fn cached_tokens(call: &Call, continued: &Continued) -> u64 {
    let prompt = call.meta.size.map_or(0, |s| s.prompt_tokens);
    let (stored_bytes, new_bytes) = (continued.bytes as u64, call.body.len() as u64);
    (prompt * stored_bytes)
        .checked_div(stored_bytes + new_bytes)
        .unwrap_or(0)
}

/// Returns the session of a request whose turns are not stored, or else its program.
fn unstored_session(call: &Call) -> Option<&Id> {
    let session = call.meta.session.as_ref().or(call.meta.program.as_ref());
    session.filter(|_| call.route.retention.is_none())
}

/// Builds the query by which the fleet chooses a server for the request.
fn server_query<'a>(call: &'a Call, continued: Option<&'a Continued>) -> Query<'a> {
    Query {
        service: &call.service,
        request_id: &call.id,
        excluded: &[],
        cached_on: continued.map(|c| &c.server),
        prompt_tokens: call.meta.size.map_or(0, |s| s.prompt_tokens),
        cached_tokens: continued.map_or(0, |c| cached_tokens(call, c)),
        parts: &call.meta.parts,
        session: unstored_session(call),
        is_engine: true,
        cache_capacity_tokens: call.engine().map_or(0, |e| e.cache_capacity_tokens),
        is_repeatable: call.route.is_repeatable(),
        max_warm_up_rate_per_s: call.max_warm_up_rate_per_s(),
        allowed_regions: call.allowed_regions.as_deref(),
        now: call.arrived,
    }
}
