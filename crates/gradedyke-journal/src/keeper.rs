//! The trait through which owners call a keeper.

use async_trait::async_trait;
use gradedyke_base::id::Slot;

use crate::entry::{Append, Index, Outcome, Page, Seal, Sealed, Trim};

/// The error of a call to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The keeper could not be reached or did not answer. The call may have
    /// taken effect; it is safe to retry.
    #[error("the keeper cannot be reached ({0}); check that it is running")]
    Unreachable(String),
    /// A request or a reply is too large to be sent. The keeper is reachable, and repeating the
    /// call does not help.
    #[error("a message to or from the keeper is too large ({0}); send or read less at once")]
    TooLarge(String),
    /// The keeper's store failed.
    #[error("the keeper's store failed ({0}); check the data folder and the disk")]
    Store(String),
}

/// A replica of the journal. All calls are idempotent.
#[async_trait]
pub trait Keeper: Send + Sync {
    /// Appends entries to several logs and returns once they are stored.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the entries may have been stored.
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error>;

    /// Promises to reject lower epochs.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the promise may have been made.
    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error>;

    /// Reads one page of a log, starting at index `from`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error>;

    /// Deletes entries that are no longer needed. A trim with an epoch lower
    /// than the promised one is ignored.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; entries may have been deleted.
    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error>;
}
