//! Requests to a replica and its replies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::conversation::{Page, Transcript};
use crate::crash;
use crate::index::{Attempt, Position};
use crate::load::{Report, ServerLoad};
use crate::mirror::{Cursor, Update};
use crate::pressure::Pressure;
use crate::record::{Id, Key, Record, Reserved};
use crate::usage::{self, Total};
use crate::view::{DiskId, View};

/// Size in bytes from which a page of records, or of a conversation, is full. A page has at least
/// one record or turn, whatever its size. A link of 130 Mbit/s carries such a page in 65 ms.
pub const FULL_PAGE_BYTES: usize = 1 << 20;

/// Rate at which a large message is transferred at least, in bytes per second: half the rate of
/// the slowest known link, of 130 Mbit/s.
const MIN_TRANSFER_RATE: f64 = 8e6;

/// Returns how long the transfer of `bytes` bytes may take.
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_RATE)
}

/// Asks to begin an attempt at a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begin {
    /// Version of the sender's view.
    pub view: u64,
    /// The tokens to reserve, if the program has a budget.
    pub reserve: Option<Reserved>,
    /// The turn that is continued.
    pub parent: Option<Id>,
    /// Whether this replica is the nearest one. It then also returns the whole conversation and the
    /// load of the backend servers from other entries.
    pub nearest: bool,
    /// The sender's load report.
    pub load: Report,
    /// The requests that the sender admitted for client accounts, if the turn belongs to one.
    pub usage: Option<usage::Report>,
    /// Whether it is a program's first turn, as far as the sender knows.
    pub first: bool,
    /// How long the sender waits for the reply, in milliseconds.
    pub patience_ms: u32,
}

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Checks that the replica is reachable.
    Hello,
    /// Asks how old the receiver's mirror is.
    Age,
    /// Asks an entry to forward a request to a replica.
    Via {
        /// The replica's address.
        to: SocketAddr,
        /// The request, encoded.
        body: Bytes,
    },
    /// Begins an attempt.
    Begin(Begin),
    /// Stores a record.
    Keep {
        /// Version of the sender's view.
        view: u64,
        /// The record.
        record: Record,
        /// The requests that the sender admitted for client accounts.
        usage: Option<usage::Report>,
    },
    /// Reports the requests that the sender admitted for client accounts, and asks for the
    /// total of one account.
    Usage(usage::Report),
    /// Reads a conversation, or its first page if it has several.
    Chain(Id),
    /// Reads the keys of stored records.
    Keys {
        /// ID of the sender's disk.
        disk: DiskId,
        /// Random ID of the replica's incarnation that `from` belongs to.
        boot: u64,
        /// The position to start from; the sender has all records before it.
        from: Position,
    },
    /// Reads records.
    Records(Vec<Key>),
    /// Reads changes of the receiver's mirror.
    Follow {
        /// The sender's position.
        cursor: Cursor,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u32,
        /// The address where the sender forwards requests of other entries, if it does.
        address: Option<SocketAddr>,
    },
    /// Stores several records. The request fails unless all are stored.
    KeepAll {
        /// Version of the sender's view.
        view: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Reads a page of a conversation.
    ChainPage {
        /// The last turn of the conversation.
        turn: Id,
        /// Number of turns of the conversation before the page.
        from: u32,
    },
    /// Reports and asks for requests under which backend servers ended.
    Crashes(crash::Exchange),
    /// Reports that a turn still runs, so that what it needs is retained.
    Hold {
        /// The turn that it continues.
        parent: Option<Id>,
        /// Its program, if that has a budget.
        program: Option<Id>,
    },
}

/// Whether a replica has a turn, with the conversation if requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// The replica does not have the turn.
    Missing,
    /// The replica has the turn; the conversation is not included.
    Here,
    /// The replica has the turn; the conversation is included.
    Whole(Transcript),
    /// The replica has the turn; the conversation has about this many bytes and must be read in
    /// pages.
    Large(u64),
}

/// A page of record keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Keys {
    /// Random ID of the replica's incarnation. Positions from another one are invalid.
    pub boot: u64,
    /// The position to continue from.
    pub next: Position,
    /// Whether these are the last keys and the replica has indexed all its records.
    pub all: bool,
    /// The keys.
    pub keys: Vec<Key>,
    /// Version of the replica's view.
    pub view: u64,
}

/// A reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The replica is reachable.
    Hello,
    /// Milliseconds since the platform's key-value store last confirmed the sender's mirror;
    /// `None` if it never did.
    Age(Option<u64>),
    /// The reply to the forwarded request, encoded.
    Via(Bytes),
    /// The attempt has begun and its reservation, if any, is stored.
    Began {
        /// All attempts of the program, including this one.
        attempts: Vec<Attempt>,
        /// The conversation, if the turn continues one.
        parent: Option<Found>,
        /// The requests that other entries have in progress, if this replica is the nearest.
        load: Option<Vec<ServerLoad>>,
        /// The client account's usage, if the request asked for it.
        usage: Option<Total>,
        /// The share of attempts that the replica rejected recently.
        pressure: Pressure,
    },
    /// The record is stored.
    Kept {
        /// The client account's usage, if the request asked for it.
        usage: Option<Total>,
    },
    /// The client account's usage.
    Usage(Total),
    /// The conversation; `None` if the replica does not have it.
    Chain(Option<Transcript>),
    /// Keys of stored records.
    Keys(Keys),
    /// The first of the requested records that the replica has, up to a full page; empty if it
    /// has none of them.
    Records(Vec<Record>),
    /// Changes of the sender's mirror.
    News(Update),
    /// The sender's view is outdated; this is the replica's view.
    Stale(View),
    /// The request failed, with the reason.
    Failed(String),
    /// The replica is still reading its disk, or does not know a view with this disk.
    Starting,
    /// The replica is overloaded and did not process the request; with the share of attempts
    /// that it rejected recently.
    Busy(Pressure),
    /// A page of the conversation; `None` if the replica does not have it.
    ChainPage(Option<Page>),
    /// Requests under which backend servers ended.
    Crashes(crash::Update),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    match postcard::to_stdvec(message) {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            tracing::error!(event = "message_not_encoded", %error, remedy = "report this");
            Bytes::new()
        }
    }
}

/// Decodes a message; `None` if it is not valid, for example one of another version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
