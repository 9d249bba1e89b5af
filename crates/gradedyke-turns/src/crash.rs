//! Requests under which backend servers ended.
//!
//! A request may crash each server that runs it. Its caller sends it again under another ID, at
//! any entry, so neither the ID nor one entry's memory tells how many servers it has cost.
//! Requests are therefore recognized by a [`Fingerprint`] of their content, and each process holds
//! a [`Registry`] of the servers that ended under them. Entries report to all replicas, and
//! [follow] the registries of the replicas.
//!
//! A server ends under all that it runs, and most of it is innocent:
//!
//! - A request that completes is cleared of all that was counted before ([`State::Cleared`]).
//! - For a request of one program each server counts. Requests that ran at the same server when it
//!   ended are sent to different servers from then on ([`Registry::rank`]), so that few of them
//!   are at the next server that ends.
//! - For a content that several programs send, runs that were sent before the first of their ends
//!   was known count once. Servers that are lost together, for example with a data centre, would
//!   otherwise condemn any content that is common. Runs count only for the contents that had cost
//!   the most when they were sent to the server ([`Run::prior`]).
//!
//! Reports can be merged in any order and any number of times: a run is known or not, its state
//! and prior only rise.

mod exchange;
mod fingerprint;
mod registry;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use exchange::{Cursor, Exchange, Update, answer, fetch, follow, send};
pub use fingerprint::{Fingerprint, Scope};
pub use registry::{Entry, Registry};

use crate::record::Id;

/// Number of ended servers from which a request is not sent to servers any more.
pub const MAX_ENDED_SERVERS: u8 = 3;

/// Hash of the ID of a backend server's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey(u64);

impl From<&Id> for ServerKey {
    fn from(incarnation: &Id) -> Self {
        let hash = blake3::hash(incarnation.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// Whether the end of a server counts for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The server ended while it ran the request.
    Ended,
    /// The request has completed since, at another server, or an operator cleared it.
    Cleared,
}

/// The run of a request at a server that ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The server.
    pub server: ServerKey,
    /// Number of servers that counted for the content when it was sent there; 0 in the scope of a
    /// program.
    pub prior: u8,
    /// Whether it counts.
    pub state: State,
}

/// The runs of a request at servers that ended, as one process reports it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The runs.
    pub runs: Vec<Run>,
    /// How long its caller may return after the last end, in milliseconds.
    pub keep_ms: u32,
    /// Time since the last end or return, in milliseconds.
    pub age_ms: u32,
}

/// Time for which a request is remembered that has cost fewer than [`MAX_ENDED_SERVERS`] servers,
/// if its caller may not return later. Longer than callers wait for a response.
pub const MIN_SUSPECT_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a request is refused after its last end or return, if its caller may not return
/// later. Programs of the same kind may be started again by hand within minutes.
pub const MIN_REFUSAL_RETENTION: Duration = Duration::from_secs(600);
