//! A keeper as its clients see it.

use async_trait::async_trait;
use gradedyke_base::id::Slot;

use crate::entry::{Append, Index, Outcome, Page, Seal, Sealed, Trim};

/// What a call to a keeper fails with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It cannot be reached or did not answer; the call may have taken effect,
    /// and repeating it is harmless.
    #[error("the keeper does not answer ({0}); it is retried, see whether it runs")]
    Unreachable(String),
    /// Its store failed.
    #[error("the keeper's store failed ({0}); check its data folder and disk")]
    Store(String),
}

/// A keeper. All calls are idempotent.
#[async_trait]
pub trait Keeper: Send + Sync {
    /// Appends entries to several logs, and answers when they are kept.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the entries may have been kept.
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error>;

    /// Promises to refuse lower epochs.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the promise may have been made.
    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error>;

    /// Reads a part of a log from `from` on.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error>;

    /// Drops entries that are no longer needed. A fenced trim does nothing.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; entries may have been dropped.
    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error>;
}
