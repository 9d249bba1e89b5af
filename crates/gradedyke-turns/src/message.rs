//! What processes ask of a replica.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::conversation::Chain;
use crate::index::{Attempt, Position};
use crate::load::{Busy, Report};
use crate::mirror::{Cursor, News};
use crate::pressure::Pressure;
use crate::record::{Id, Key, Record, Reserved};
use crate::usage::{self, Total};
use crate::view::{Disk, View};

/// Asks to begin an attempt at a turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Begin {
    /// Version of the view it is sent under.
    pub view: u64,
    /// What to reserve, if the program has a budget.
    pub reserve: Option<Reserved>,
    /// The turn that is continued.
    pub parent: Option<Id>,
    /// Whether this replica is the nearest: then the whole conversation is
    /// wanted, not only whether it is here, and what others have in progress.
    pub nearest: bool,
    /// What the asker has in progress.
    pub load: Report,
    /// What it let through for client accounts, if the turn is one's.
    pub usage: Option<usage::Report>,
    /// Whether it is a program's first turn, as far as that is known.
    pub first: bool,
    /// How long the asker waits for the answer, in milliseconds.
    pub patience_ms: u32,
}

/// A request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks whether the replica is there.
    Hello,
    /// Asks how old the copy of the platform's service is.
    Age,
    /// Asks an entry to pass a request on to a keeper.
    Via {
        /// The keeper's address.
        to: SocketAddr,
        /// The request, encoded.
        body: Bytes,
    },
    /// Begins an attempt.
    Begin(Begin),
    /// Keeps a record.
    Keep {
        /// Version of the view it is sent under.
        view: u64,
        /// The record.
        record: Record,
        /// What the asker let through for client accounts.
        usage: Option<usage::Report>,
    },
    /// Tells what the asker let through for client accounts, and asks for a sum.
    Usage(usage::Report),
    /// Reads a conversation.
    Chain(Id),
    /// Reads which records arrived.
    Keys {
        /// Who asks.
        disk: Disk,
        /// The start of the replica that `from` belongs to.
        boot: u64,
        /// From where on; all before is with the asker.
        from: Position,
    },
    /// Reads records.
    Records(Vec<Key>),
    /// Reads what changed in the mirror of the platform's service.
    Follow {
        /// How far the asker has followed.
        cursor: Cursor,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u32,
        /// Where the asker passes requests of others on, if it does.
        address: Option<SocketAddr>,
    },
    /// Keeps records, all of them or the request has failed.
    KeepAll {
        /// Version of the view it is sent under.
        view: u64,
        /// The records.
        records: Vec<Record>,
    },
}

/// What is known of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// The turn is not here.
    Missing,
    /// It is here.
    Here,
    /// It is here, and this is it.
    Whole(Chain),
}

/// A page of keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Keys {
    /// The start of the replica; positions of another are void.
    pub boot: u64,
    /// Where to go on.
    pub next: Position,
    /// Whether these were all.
    pub all: bool,
    /// The keys.
    pub keys: Vec<Key>,
    /// Version of the view the replica is in.
    pub view: u64,
}

/// A reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The replica is there.
    Hello,
    /// Milliseconds since the service confirmed the copy; none if never.
    Age(Option<u64>),
    /// What the keeper replied, encoded.
    Via(Bytes),
    /// The attempt's reservation is kept.
    Began {
        /// All attempts of the program, this one too.
        attempts: Vec<Attempt>,
        /// The conversation, where one is continued.
        parent: Option<Found>,
        /// What other entries have in progress, if this replica is the nearest.
        load: Option<Vec<Busy>>,
        /// What the client account has had run, if that was asked.
        usage: Option<Total>,
        /// How the replica keeps up.
        pressure: Pressure,
    },
    /// The record is kept.
    Kept {
        /// What the client account has had run, if that was asked.
        usage: Option<Total>,
    },
    /// What the client account has had run.
    Usage(Total),
    /// The conversation.
    Chain(Option<Chain>),
    /// Which records arrived.
    Keys(Keys),
    /// The records that are here.
    Records(Vec<Record>),
    /// What changed.
    News(News),
    /// The asker's view is old; this is the replica's.
    Stale(View),
    /// The replica cannot serve this.
    Failed(String),
    /// The replica reads its disk still.
    Starting,
    /// The replica has more to do than it can do in time; nothing was done.
    Busy(Pressure),
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

/// Decodes a message; `None` for one that another version wrote.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
