//! The key-value service: compare-and-swap, leases and watches.
//!
//! A call can fail before or after its write has taken effect. After
//! [`Error::Unavailable`] nothing was written. After [`Error::OutcomeUnknown`] the write may
//! have taken effect; [`swap_and_verify`] finds out by reading the key.

use std::time::Duration;

use async_trait::async_trait;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A revision of the whole store, which increases with each write.
pub type Revision = u64;

/// The identifier of a lease. The keys attached to a lease are deleted when it
/// expires or is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the key's last write.
    pub revision: Revision,
}

/// All keys with a prefix, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The entries in key order.
    pub entries: Vec<Entry>,
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// Keys that could not be read; of these, only the entries that are listed are known.
    pub unread: Vec<KeyRange>,
}

impl Listing {
    /// Whether a key is among those that could not be read.
    pub fn is_unread(&self, key: &str) -> bool {
        self.unread.iter().any(|range| range.contains(key))
    }
}

/// A range of keys in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The key before the first one.
    pub after: String,
    /// The last key; `None` if the range has no end.
    pub until: Option<String>,
}

impl KeyRange {
    /// Whether the range contains `key`.
    ///
    /// ```
    /// use gradedyke_platform::kv::KeyRange;
    ///
    /// let range = KeyRange { after: "a".to_owned(), until: Some("c".to_owned()) };
    /// assert!(!range.contains("a"));
    /// assert!(range.contains("b"));
    /// assert!(!range.contains("d"));
    /// ```
    pub fn contains(&self, key: &str) -> bool {
        key > self.after.as_str() && self.until.as_deref().is_none_or(|until| key <= until)
    }
}

/// A compare-and-swap: a write that succeeds only if the key has the
/// expected revision.
#[derive(Clone, Debug)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 if the key must not exist.
    pub expected_revision: Revision,
    /// The new value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// The lease to which the key is attached, if any.
    pub lease: Option<Lease>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write succeeded at this revision.
    Written(Revision),
    /// The key had a different revision; this is its current entry, if it exists.
    Conflict(Option<Entry>),
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, possibly because its lease ended.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// The error of a call to the service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service is not available; nothing was written.
    #[error("the key-value service cannot be reached ({0}); it is retried, check its address")]
    Unavailable(String),
    /// The service did not answer. A write may have taken effect; read the key to
    /// find out.
    #[error("the key-value service did not answer ({0}); read the key back")]
    OutcomeUnknown(String),
    /// The lease has expired or was revoked.
    #[error("the lease has lapsed; take a new one and act on nothing done under the old")]
    LeaseExpired,
    /// The value is larger than [`MAX_VALUE_BYTES`]; this is its size in bytes.
    #[error("the value has {0} bytes, over a megabyte; split it")]
    TooLarge(usize),
    /// The start revision of the watch has been compacted.
    #[error("the watch starts too far back; list the keys again and watch from there")]
    Compacted,
    /// The service answered a read, but the answer cannot be read.
    #[error("a reply of the key-value service cannot be read ({0}); check what it serves")]
    Unreadable(String),
    /// The service answered with an error.
    #[error("the key-value service refused the call ({0}); see its log")]
    Refused(String),
}

impl Error {
    /// Whether the service answered, and the same call would probably fail again.
    pub fn is_persistent(&self) -> bool {
        matches!(self, Error::Refused(_) | Error::Unreadable(_))
    }
}

/// The key-value service.
#[async_trait]
pub trait KeyValue: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read: nothing has changed.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads all keys with the given prefix.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read: nothing has changed.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Writes or deletes a key if it has the expected revision.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::OutcomeUnknown`] the write may have taken effect.
    async fn swap(&self, swap: Swap) -> Result<Outcome, Error>;

    /// Creates a lease that expires after `ttl`, rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::OutcomeUnknown`] a lease may have been created, which
    /// then expires by itself.
    async fn grant_lease(&self, ttl: Duration) -> Result<Lease, Error>;

    /// Renews a lease for its full time-to-live.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::LeaseExpired`] if the lease has expired.
    async fn renew_lease(&self, lease: Lease) -> Result<(), Error>;

    /// Revokes a lease and so deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; after [`Error::OutcomeUnknown`] the lease may have been revoked.
    async fn revoke_lease(&self, lease: Lease) -> Result<(), Error>;

    /// Watches the keys with the given prefix for changes from revision `from` on. If
    /// the service is long-polled, the first poll returns existing changes at once.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Compacted`] if changes since `from` are no longer
    /// available.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Box<dyn Watch>, Error>;
}

/// An open watch, which is closed when it is dropped.
#[async_trait]
pub trait Watch: Send {
    /// Waits for the next changes and returns them in the order of their revisions. An
    /// empty list shows only that the service is still available.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the watch has ended. Start a new one after the last revision
    /// seen or, after [`Error::Compacted`], list the keys first.
    async fn next(&mut self) -> Result<Vec<Event>, Error>;

    /// Limits how long a call waits for changes before it returns none. A watch that does not
    /// consist of calls ignores it.
    fn set_max_wait(&mut self, _wait: Duration) {}
}

/// Calls [`KeyValue::swap`] and, if its outcome is unknown, reads the key to find out
/// whether the write has taken effect.
///
/// The value must be unique to this write, so that reading it proves that this write
/// has taken effect. Any other value is reported as a conflict, even if this write
/// took effect and was then overwritten.
///
/// # Errors
///
/// Any [`Error`]; [`Error::OutcomeUnknown`] if reading the key failed too.
pub async fn swap_and_verify(kv: &dyn KeyValue, swap: Swap) -> Result<Outcome, Error> {
    let key = swap.key.clone();
    let value = swap.value.clone();
    let cause = match kv.swap(swap).await {
        Err(Error::OutcomeUnknown(cause)) => cause,
        result => return result,
    };
    let found = kv
        .get(&key)
        .await
        .map_err(|_| Error::OutcomeUnknown(cause))?;
    Ok(match (found, value) {
        (Some(entry), Some(value)) if entry.value == value => Outcome::Written(entry.revision),
        (None, None) => Outcome::Written(0),
        (found, _) => Outcome::Conflict(found),
    })
}
