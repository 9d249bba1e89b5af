//! The owner's side of the journal: appending entries to a majority of keepers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id::{self, Epoch, Slot};
use serde_json::value::RawValue;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Index, Tail, Trim};
use crate::keeper::{self, Keeper};
use crate::peer::{KeeperQueue, Quorum};

/// Delay before the first retry of an append that no majority stored.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay between retries; the delay doubles with each one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum size of an entry's payload in bytes. A call carries several entries, and a page that is
/// read has at least one.
pub const MAX_ENTRY_BYTES: usize = 32 << 20;

/// The error of an append or a recovery.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An owner with a higher epoch has taken over the slot; this owner must
    /// stop serving it.
    #[error("a newer owner (epoch {0}) has taken over the slot; stop serving it")]
    Fenced(Epoch),
    /// The log was closed while the append was pending; the entry may have
    /// been stored.
    #[error("the log was closed; send the request to the slot's new owner")]
    Closed,
    /// The entry has this size, which is over [`MAX_ENTRY_BYTES`]; no keeper got it, and the log
    /// is unchanged.
    #[error("an entry of {0} bytes is too large for the journal; store less in one entry")]
    TooLarge(usize),
    /// Fewer than a majority of keepers answered.
    #[error("no majority of the slot's keepers answered; check that they are running")]
    NoMajority,
    /// A call to a keeper failed.
    #[error("a keeper failed: {0}")]
    Keeper(#[from] keeper::Error),
}

/// Looks up keepers by name.
pub trait Directory: Send + Sync {
    /// Returns a client of a keeper, or `None` if its address is unknown.
    fn keeper(&self, keeper: &id::Keeper) -> Option<Arc<dyn Keeper>>;
}

/// The connections from one owner to its keepers, shared by all of the owner's
/// logs. One task for each keeper sends appends in batches.
pub struct Journal {
    directory: Arc<dyn Directory>,
    queues: Mutex<HashMap<id::Keeper, KeeperQueue>>,
    stop: CancellationToken,
}

impl Journal {
    /// Creates a journal that looks keepers up in `directory`. Its tasks end
    /// when `stop` is cancelled.
    pub fn new(directory: Arc<dyn Directory>, stop: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            directory,
            queues: Mutex::default(),
            stop,
        })
    }

    /// Returns a client of a keeper, or `None` if its address is unknown.
    pub fn keeper(&self, keeper: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        self.directory.keeper(keeper)
    }

    /// Returns the queue to a keeper and starts its task on first use.
    pub(crate) fn queue(self: &Arc<Self>, keeper: &id::Keeper) -> KeeperQueue {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || KeeperQueue::start(keeper.clone(), self.directory.clone(), &self.stop);
        queues.entry(keeper.clone()).or_insert_with(start).clone()
    }
}

/// The smallest number of keepers that is a majority of `keeper_count`.
pub fn majority(keeper_count: usize) -> usize {
    keeper_count / 2 + 1
}

/// The log of one slot, open for appending at one epoch.
pub struct Log {
    slot: Slot,
    epoch: Epoch,
    keepers: Arc<[id::Keeper]>,
    queues: Vec<KeeperQueue>,
    tail: Mutex<Tail>,
    stop: CancellationToken,
}

impl Log {
    /// Opens the log of `slot` at the recovered `tail`. Cancelling `stop`
    /// closes the log.
    pub fn new(
        journal: &Arc<Journal>,
        slot: Slot,
        epoch: Epoch,
        keepers: Arc<[id::Keeper]>,
        tail: Tail,
        stop: CancellationToken,
    ) -> Arc<Self> {
        let queues = keepers.iter().map(|k| journal.queue(k)).collect();
        Arc::new(Self {
            slot,
            epoch,
            keepers,
            queues,
            tail: Mutex::new(tail),
            stop,
        })
    }

    /// The epoch at which this log appends entries.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The names of the keepers that store this log.
    pub fn keepers(&self) -> &[id::Keeper] {
        &self.keepers
    }

    /// Appends an entry and returns its index once a majority has stored it.
    ///
    /// The entry gets its index immediately and is retried in a separate task,
    /// so a caller that drops the future leaves no gap in the log.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`], [`Error::Fenced`] or [`Error::Closed`]; other failures are retried.
    pub async fn append(self: &Arc<Self>, data: Box<RawValue>) -> Result<Index, Error> {
        // An entry that no call can carry would be retried without end, and the entries after it
        // would wait for it.
        let bytes = data.get().len();
        if bytes > MAX_ENTRY_BYTES {
            return Err(Error::TooLarge(bytes));
        }
        let (append, answer) = self.enqueue(data.into());
        let index = append.entries[0].index;
        let log = self.clone();
        let persisting = tokio::spawn(async move { log.persist(append, answer).await });
        persisting.await.map_err(|_| Error::Closed)??;
        Ok(index)
    }

    /// Assigns the next index to an entry and queues the entry under one lock,
    /// so that each keeper receives entries in index order.
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

    /// Queues an append for every keeper.
    fn send(&self, append: &Append) -> oneshot::Receiver<Result<(), Error>> {
        let (quorum, answer) = Quorum::new(self.queues.len(), majority(self.queues.len()));
        for queue in &self.queues {
            queue.push(append.clone(), self.keepers.clone(), quorum.clone());
        }
        answer
    }

    /// Waits until a majority has stored an append, and retries until then.
    async fn persist(
        &self,
        append: Append,
        mut answer: oneshot::Receiver<Result<(), Error>>,
    ) -> Result<(), Error> {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let result = tokio::select! {
                result = &mut answer => result.unwrap_or(Err(Error::NoMajority)),
                () = self.stop.cancelled() => return Err(Error::Closed),
            };
            match result {
                Err(Error::NoMajority | Error::Keeper(_)) => {}
                final_result => return final_result,
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.stop.cancelled() => return Err(Error::Closed),
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            answer = self.send(&append);
        }
    }

    /// The index of the last entry, including entries not yet stored by a
    /// majority.
    pub fn last_index(&self) -> Index {
        self.tail
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .index
    }

    /// Asks every keeper to delete the entries before `before`. The caller must
    /// have superseded them by later entries that a majority has stored.
    pub async fn trim(&self, journal: &Journal, before: Index) {
        let trim = Trim {
            slot: self.slot,
            epoch: self.epoch,
            before,
        };
        for name in self.keepers.iter() {
            let Some(keeper) = journal.keeper(name) else {
                continue;
            };
            // The next trim also deletes what this one could not.
            if let Err(error) = keeper.trim(vec![trim]).await {
                tracing::debug!(event = "trim_failed", keeper = %name, %error);
            }
        }
    }
}
