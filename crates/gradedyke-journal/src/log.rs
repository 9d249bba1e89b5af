//! The owner's side of the journal: appending with a majority.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id::{self, Epoch, Slot};
use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Index, Tail, Trim};
use crate::keeper::{self, Keeper};
use crate::peer::{Peer, Round};

/// First wait before an append without a majority is tried again.
const RETRY_FIRST: Duration = Duration::from_millis(20);
/// Longest such wait.
const RETRY_LAST: Duration = Duration::from_secs(1);

/// What an append fails with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A higher epoch owns the slot; this owner must stop serving it.
    #[error("the slot has a newer owner (epoch {0}); stop serving it")]
    Fenced(Epoch),
    /// The log was closed while the append waited; it may have been kept.
    #[error("the log was closed; ask the slot's new owner")]
    Closed,
    /// No majority of keepers answered.
    #[error("no majority of the slot's keepers answers; see whether they run")]
    NoMajority,
    /// What a keeper answered makes no sense.
    #[error("a keeper failed: {0}")]
    Keeper(#[from] keeper::Error),
}

/// Finds keepers by name.
pub trait Directory: Send + Sync {
    /// How a keeper is reached, if its address is known.
    fn keeper(&self, keeper: &id::Keeper) -> Option<Arc<dyn Keeper>>;
}

/// All logs of one owner: one task for each keeper gathers their appends.
pub struct Journal {
    directory: Arc<dyn Directory>,
    peers: Mutex<HashMap<id::Keeper, Peer>>,
    stop: CancellationToken,
}

impl Journal {
    /// A journal whose keepers are found in `directory`. Its tasks end with
    /// `stop`.
    pub fn new(directory: Arc<dyn Directory>, stop: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            directory,
            peers: Mutex::default(),
            stop,
        })
    }

    /// How a keeper is reached, if its address is known.
    pub fn keeper(&self, keeper: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        self.directory.keeper(keeper)
    }

    pub(crate) fn peer(self: &Arc<Self>, keeper: &id::Keeper) -> Peer {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || Peer::start(keeper.clone(), self.directory.clone(), &self.stop);
        peers.entry(keeper.clone()).or_insert_with(start).clone()
    }
}

/// How many of `keepers` are a majority.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}

/// The log of one slot, open for appending at one epoch.
pub struct Log {
    slot: Slot,
    epoch: Epoch,
    keepers: Arc<[id::Keeper]>,
    peers: Vec<Peer>,
    tail: Mutex<Tail>,
    stop: CancellationToken,
}

impl Log {
    /// Opens the log of `slot` after its recovery ended at `tail`. It is closed
    /// by `stop`.
    pub fn new(
        journal: &Arc<Journal>,
        slot: Slot,
        epoch: Epoch,
        keepers: Arc<[id::Keeper]>,
        tail: Tail,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let peers = keepers.iter().map(|k| journal.peer(k)).collect();
        Arc::new(Self {
            slot,
            epoch,
            keepers,
            peers,
            tail: Mutex::new(tail),
            stop,
        })
    }

    /// The epoch this log is open at.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The keepers of this log.
    pub fn keepers(&self) -> &[id::Keeper] {
        &self.keepers
    }

    /// Appends an entry and returns its index once a majority keeps it.
    ///
    /// The entry takes its place at once, and its tries go on in a task of
    /// their own: a caller that stops waiting leaves no hole behind.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] or [`Error::Closed`]; there is no other end.
    pub async fn append(self: &Arc<Self>, data: Box<RawValue>) -> Result<Index, Error> {
        let (append, answer) = self.enqueue(data.into());
        let index = append.entries[0].index;
        let log = self.clone();
        let tries = tokio::spawn(async move { log.persist(append, answer).await });
        tries.await.map_err(|_| Error::Closed)??;
        Ok(index)
    }

    /// Gives the entry its index and queues it, both under one lock, so that
    /// each keeper gets entries in the order of their indices.
    fn enqueue(&self, data: Arc<RawValue>) -> (Append, oneshot::Receiver<Result<(), Error>>) {
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = tail.epoch;
        *tail = Tail {
            epoch: self.epoch,
            index: tail.index + 1,
        };
        let entry = Entry {
            index: tail.index,
            epoch: self.epoch,
            data,
        };
        let append = Append {
            slot: self.slot,
            epoch: self.epoch,
            previous,
            restart: false,
            entries: vec![entry],
        };
        let answer = self.send(&append);
        (append, answer)
    }

    /// Queues an append to every keeper.
    fn send(&self, append: &Append) -> oneshot::Receiver<Result<(), Error>> {
        let (round, answer) = Round::new(self.peers.len(), majority(self.peers.len()));
        for peer in &self.peers {
            peer.push(append.clone(), self.keepers.clone(), round.clone());
        }
        answer
    }

    async fn persist(
        &self,
        append: Append,
        mut answer: oneshot::Receiver<Result<(), Error>>,
    ) -> Result<(), Error> {
        let mut wait = RETRY_FIRST;
        loop {
            let result = tokio::select! {
                result = &mut answer => result.unwrap_or(Err(Error::NoMajority)),
                () = self.stop.cancelled() => return Err(Error::Closed),
            };
            match result {
                Err(Error::NoMajority | Error::Keeper(_)) => {}
                settled => return settled,
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.stop.cancelled() => return Err(Error::Closed),
            }
            wait = (wait * 2).min(RETRY_LAST);
            answer = self.send(&append);
        }
    }

    /// The index of the last entry that was given a place.
    pub fn last(&self) -> Index {
        self.tail
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .index
    }

    /// Asks every keeper to drop the entries before `before`, which the caller
    /// has made useless by later entries that a majority keeps.
    pub async fn trim(&self, journal: &Journal, before: Index) {
        let trim = Trim {
            slot: self.slot,
            epoch: self.epoch,
            before,
        };
        for instance in self.keepers.iter() {
            let Some(keeper) = journal.keeper(instance) else {
                continue;
            };
            // What is not dropped now is dropped by the next trim.
            if let Err(error) = keeper.trim(vec![trim]).await {
                tracing::debug!(event = "trim_failed", keeper = %instance, %error);
            }
        }
    }
}
