//! From where a process received the value of a key.

use std::fmt;
use std::net::SocketAddr;

use gradedyke_platform::kv::Revision;
use tokio::time::Instant;

/// Where a process got data of the platform's key-value store.
///
/// ```
/// use gradedyke_turns::mirror::Source;
///
/// assert_eq!(Source::Store.to_string(), "store");
/// let peer = Source::Peer("127.0.0.1:7000".parse().unwrap());
/// assert_eq!(peer.to_string(), "127.0.0.1:7000");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the process's own disk, where an earlier incarnation saved it.
    Disk,
    /// From the store itself.
    Store,
    /// From the process at this address.
    Peer(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Disk => formatter.write_str("disk"),
            Source::Store => formatter.write_str("store"),
            Source::Peer(address) => address.fmt(formatter),
        }
    }
}

/// How a process received a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The revision of the value.
    pub revision: Revision,
    /// Where it came from.
    pub source: Source,
    /// When it was received.
    pub received_at: Instant,
}
