//! Records runs that broke off, by the fingerprints of their requests.

use bytes::Bytes;

use super::call::Call;
use super::fingerprint::Fingerprints;
use crate::fleet::Choice;

/// Logs that the connection to a server broke while it ran a request. `sent` is the body that the
/// server received.
pub(super) fn log_interrupted_run(call: &Call, sent: &Bytes, choice: &Choice) {
    let fingerprints = Fingerprints::new(call, sent);
    tracing::info!(event = "run_interrupted", request = %call.id, server = %choice.id,
        incarnation = %choice.incarnation, content = %fingerprints.content,
        in_program = fingerprints.program.map(tracing::field::display));
    metrics::counter!("gradedyke_runs_interrupted_total").increment(1);
}
