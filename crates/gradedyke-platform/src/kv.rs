//! The key-value service: compare-and-swap, leases and watches.
//!
//! The service can be down, slow, or lose an answer after the write has taken
//! effect. The error kinds keep these apart, because what a writer may conclude
//! differs: after [`Error::Unavailable`] nothing was written; after
//! [`Error::Unknown`] nobody knows until the key is read back, which
//! [`settle`] does.

use std::time::Duration;

use async_trait::async_trait;

/// Largest value the service holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// A revision of the whole store. Every write has a higher one.
pub type Revision = u64;

/// A lease; keys written under it go when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
}

/// All keys under a prefix, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The keys in order.
    pub entries: Vec<Entry>,
    /// The store's revision at the time.
    pub revision: Revision,
}

/// A write that takes place only if the key was last written at `expected`.
#[derive(Clone, Debug)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// The revision the key must have; 0 for a key that must not be there.
    pub expected: Revision,
    /// The new value, or `None` to delete the key.
    pub value: Option<Vec<u8>>,
    /// The lease the key goes with.
    pub lease: Option<Lease>,
}

/// How a swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// It took place at this revision.
    Done(Revision),
    /// Somebody else wrote first; this is what the key holds.
    Conflict(Option<Entry>),
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A key was written.
    Put(Entry),
    /// A key was deleted, or went with its lease.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// What a call to the service fails with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service could not be reached, so nothing was written.
    #[error("the key-value service cannot be reached ({0}); it is retried, check its address")]
    Unavailable(String),
    /// No answer came. A write may have taken effect: read the key back.
    #[error("the key-value service did not answer ({0}); read the key back")]
    Unknown(String),
    /// The lease has lapsed.
    #[error("the lease has lapsed; take a new one and act on nothing done under the old")]
    LeaseGone,
    /// The value is over [`MAX_VALUE`].
    #[error("the value has {0} bytes, over a megabyte; split it")]
    TooLarge(usize),
    /// The watch's start has been compacted away.
    #[error("the watch starts too far back; list the keys again and watch from there")]
    Compacted,
    /// The service answered with an error.
    #[error("the key-value service refused the call ({0}); see its log")]
    Refused(String),
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

    /// Reads all keys under `prefix`.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read: nothing has changed.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Writes if nobody else has.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the write may have taken effect.
    async fn swap(&self, swap: Swap) -> Result<Swapped, Error>;

    /// Takes a lease of `length`, rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when a lease may have been made; it lapses by itself.
    async fn grant(&self, length: Duration) -> Result<Lease, Error>;

    /// Renews a lease for its full length.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseGone`] when it has lapsed.
    async fn renew(&self, lease: Lease) -> Result<(), Error>;

    /// Gives a lease up; keys under it go at once.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when it may have gone.
    async fn revoke(&self, lease: Lease) -> Result<(), Error>;

    /// Watches the keys under `prefix` for changes from revision `from` on. Where the service
    /// answers each wait for changes, the first answer tells at once what has changed.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] when that is too far back.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Box<dyn Watch>, Error>;
}

/// A watch under way. Dropping it ends it.
#[async_trait]
pub trait Watch: Send {
    /// Waits for the next changes, in the order of their revisions. There may be none: then
    /// the service has said only that it is there.
    ///
    /// # Errors
    ///
    /// The watch is broken; watch again from after the last revision seen.
    async fn next(&mut self) -> Result<Vec<Event>, Error>;
}

/// Writes as [`KeyValue::swap`] does, and settles a lost answer by reading the
/// key back.
///
/// The value must carry a mark that no other writer writes, so that finding it
/// proves that the lost write was this one. Finding another value is reported
/// as a conflict, also where ours was there for a moment in between: the caller
/// has to look at the newer value in either case.
///
/// # Errors
///
/// Any [`Error`]; [`Error::Unknown`] when reading back failed too.
pub async fn settle(kv: &dyn KeyValue, swap: Swap) -> Result<Swapped, Error> {
    let key = swap.key.clone();
    let value = swap.value.clone();
    let lost = match kv.swap(swap).await {
        Err(Error::Unknown(cause)) => cause,
        settled => return settled,
    };
    let found = kv.get(&key).await.map_err(|_| Error::Unknown(lost))?;
    Ok(match (found, value) {
        (Some(entry), Some(value)) if entry.value == value => Swapped::Done(entry.revision),
        (None, None) => Swapped::Done(0),
        (found, _) => Swapped::Conflict(found),
    })
}
