//! What a keeper keeps: logs and promises, in a redb database.
//!
//! redb was chosen over files of our own because it already has what a log
//! needs here, atomic commits that survive a crash. Its single writer is no
//! loss: a commit costs a disk sync, so [`Store`] gathers all calls that wait
//! and commits them together. On an instance without a disk the same database
//! stands in memory.

use std::path::Path;
use std::sync::Arc;

use async_trait::async_trait;
use gradedyke_base::id::{self, Epoch, Slot};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition, WriteTransaction};
use tokio::sync::{mpsc, oneshot};

use crate::entry::{Append, Entry, Index, Outcome, Page, Seal, Sealed, Tail, Trim};
use crate::keeper::{Error, Keeper};

/// Entries by slot and index: the epoch in eight bytes, then the JSON text.
const LOG: TableDefinition<(u16, u64), &[u8]> = TableDefinition::new("log");
/// By slot: the promised epoch, then the epoch and index of the last entry.
const HEAD: TableDefinition<u16, (u64, u64, u64)> = TableDefinition::new("head");

/// What is told of the store itself.
const META: TableDefinition<&str, &str> = TableDefinition::new("meta");
/// Row of [`META`] with the store's identity.
const IDENTITY: &str = "identity";

/// Name of the database in the data folder.
const FILE: &str = "journal.redb";
/// Most bytes of entries in one page; a page holds one entry at least.
const PAGE_BYTES: usize = 4 << 20;
/// Most calls that are committed together.
const BATCH: usize = 256;
/// Calls that may wait for the next commit.
const QUEUE: usize = 1_024;
/// Bytes of the database that redb may keep in memory. Its own choice of a
/// gigabyte would be most of a small instance; logs are read only in recovery.
const CACHE: usize = 16 << 20;
/// Bytes of the epoch before an entry's text.
const EPOCH_BYTES: usize = 8;

/// A keeper's store. Clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    database: Arc<Database>,
    queue: mpsc::Sender<Job>,
    identity: Arc<str>,
}

/// A write that waits for the next commit.
#[derive(Debug)]
enum Job {
    Append(Vec<Append>, oneshot::Sender<Result<Vec<Outcome>, Error>>),
    Seal(Vec<Seal>, oneshot::Sender<Result<Vec<Sealed>, Error>>),
    Trim(Vec<Trim>, oneshot::Sender<Result<(), Error>>),
}

/// The answer to a job, held back until the commit.
enum Done {
    Append(Vec<Outcome>, oneshot::Sender<Result<Vec<Outcome>, Error>>),
    Seal(Vec<Sealed>, oneshot::Sender<Result<Vec<Sealed>, Error>>),
    Trim(oneshot::Sender<Result<(), Error>>),
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Store(error.to_string())
}

impl Store {
    /// Opens the store in `folder`, or makes a new one there.
    ///
    /// # Errors
    ///
    /// The folder cannot be used.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        std::fs::create_dir_all(folder).map_err(failed)?;
        let database = Database::builder()
            .set_cache_size(CACHE)
            .create(folder.join(FILE))
            .map_err(failed)?;
        Self::start(database)
    }

    /// A store in memory, for instances without a disk and for tests.
    ///
    /// # Errors
    ///
    /// The database cannot be made.
    pub fn memory() -> Result<Self, Error> {
        let database = Database::builder()
            .set_cache_size(CACHE)
            .create_with_backend(InMemoryBackend::new())
            .map_err(failed)?;
        Self::start(database)
    }

    /// Closes the store and waits until the database is let go of. Clones must
    /// have been dropped.
    pub async fn close(self) {
        let Self {
            database, queue, ..
        } = self;
        drop(queue);
        // The writer ends when its queue does, and drops its share then.
        while Arc::strong_count(&database) > 1 {
            tokio::task::yield_now().await;
        }
    }

    fn start(database: Database) -> Result<Self, Error> {
        let write = database.begin_write().map_err(failed)?;
        write.open_table(LOG).map_err(failed)?;
        write.open_table(HEAD).map_err(failed)?;
        let identity = identity(&write)?;
        write.commit().map_err(failed)?;
        let database = Arc::new(database);
        let (queue, jobs) = mpsc::channel(QUEUE);
        let writer = database.clone();
        // Ends when the last clone of the store drops its sender.
        std::thread::spawn(move || run(&writer, jobs));
        Ok(Self {
            database,
            queue,
            identity,
        })
    }

    /// The store's identity, given to it when it was made. A store that is made
    /// anew, as on an instance that lost its disk, has another one.
    pub fn identity(&self) -> &str {
        &self.identity
    }

    async fn submit<T>(
        &self,
        job: Job,
        answer: oneshot::Receiver<Result<T, Error>>,
    ) -> Result<T, Error> {
        let stopped = || Error::Store("the store has stopped".to_owned());
        self.queue.send(job).await.map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())?
    }
}

/// Reads the identity of a store, or gives it one.
fn identity(write: &WriteTransaction) -> Result<Arc<str>, Error> {
    let mut meta = write.open_table(META).map_err(failed)?;
    let known = meta.get(IDENTITY).map_err(failed)?;
    if let Some(known) = known.map(|row| Arc::from(row.value())) {
        return Ok(known);
    }
    let fresh = id::Request::fresh();
    meta.insert(IDENTITY, fresh.as_str()).map_err(failed)?;
    Ok(fresh.as_str().into())
}

/// Commits jobs in batches until the store is dropped.
fn run(database: &Database, mut jobs: mpsc::Receiver<Job>) {
    while let Some(first) = jobs.blocking_recv() {
        let mut batch = vec![first];
        while batch.len() < BATCH {
            let Ok(job) = jobs.try_recv() else { break };
            batch.push(job);
        }
        commit(database, batch);
    }
}

fn commit(database: &Database, batch: Vec<Job>) {
    let result = apply(database, batch);
    match result {
        Ok(done) => done.into_iter().for_each(Done::report),
        // The senders went with the batch; the callers see the store's failure
        // and repeat their calls, which is harmless.
        Err(error) => tracing::error!(event = "journal_commit_failed", %error),
    }
}

fn apply(database: &Database, batch: Vec<Job>) -> Result<Vec<Done>, Error> {
    let write = database.begin_write().map_err(failed)?;
    let mut done = Vec::with_capacity(batch.len());
    {
        let mut tables = Tables {
            log: write.open_table(LOG).map_err(failed)?,
            head: write.open_table(HEAD).map_err(failed)?,
        };
        for job in batch {
            done.push(tables.job(job)?);
        }
    }
    write.commit().map_err(failed)?;
    Ok(done)
}

impl Done {
    fn report(self) {
        // A caller that gave up does not want the answer.
        match self {
            Done::Append(outcomes, to) => drop(to.send(Ok(outcomes))),
            Done::Seal(sealed, to) => drop(to.send(Ok(sealed))),
            Done::Trim(to) => drop(to.send(Ok(()))),
        }
    }
}

/// A slot's promise and the end of its log.
#[derive(Clone, Copy, Default)]
struct Head {
    promised: Epoch,
    tail: Tail,
}

struct Tables<'a> {
    log: Table<'a, (u16, u64), &'static [u8]>,
    head: Table<'a, u16, (u64, u64, u64)>,
}

impl Tables<'_> {
    fn job(&mut self, job: Job) -> Result<Done, Error> {
        Ok(match job {
            Job::Append(appends, to) => {
                let outcomes = appends.iter().map(|a| self.append(a));
                Done::Append(outcomes.collect::<Result<_, _>>()?, to)
            }
            Job::Seal(seals, to) => {
                let sealed = seals.iter().map(|s| self.seal(*s));
                Done::Seal(sealed.collect::<Result<_, _>>()?, to)
            }
            Job::Trim(trims, to) => {
                trims.iter().try_for_each(|t| self.trim(*t))?;
                Done::Trim(to)
            }
        })
    }

    fn head(&self, slot: Slot) -> Result<Head, Error> {
        let stored = self.head.get(slot.0).map_err(failed)?;
        let Some(stored) = stored else {
            return Ok(Head::default());
        };
        let (promised, epoch, index) = stored.value();
        Ok(Head {
            promised: Epoch(promised),
            tail: Tail {
                epoch: Epoch(epoch),
                index,
            },
        })
    }

    fn set_head(&mut self, slot: Slot, head: Head) -> Result<(), Error> {
        let value = (head.promised.0, head.tail.epoch.0, head.tail.index);
        self.head.insert(slot.0, value).map_err(failed)?;
        Ok(())
    }

    /// The epoch of the entry at `index`, zero before the first.
    fn epoch_at(&self, slot: Slot, index: Index, head: Head) -> Result<Option<Epoch>, Error> {
        if index == 0 {
            return Ok(Some(Epoch(0)));
        }
        if index == head.tail.index {
            return Ok(Some(head.tail.epoch));
        }
        let stored = self.log.get((slot.0, index)).map_err(failed)?;
        Ok(stored.map(|bytes| epoch_of(bytes.value())))
    }

    fn append(&mut self, append: &Append) -> Result<Outcome, Error> {
        let slot = append.slot;
        let mut head = self.head(slot)?;
        if append.epoch < head.promised {
            return Ok(Outcome::Fenced(head.promised));
        }
        let Some(first) = append.entries.first() else {
            return Ok(Outcome::Kept(head.tail.index));
        };
        if append.restart {
            self.remove(slot, 0, Index::MAX)?;
            head.tail = Tail::default();
        } else if let Some(gap) = self.gap(append, first.index, head)? {
            return Ok(Outcome::Gap(gap));
        }
        for entry in &append.entries {
            if entry.index <= head.tail.index {
                match self.epoch_at(slot, entry.index, head)? {
                    Some(epoch) if epoch != entry.epoch => {
                        // The log went another way from here; no majority kept that.
                        self.remove(slot, entry.index, Index::MAX)?;
                    }
                    // It is here already, or was trimmed.
                    _ => continue,
                }
            }
            self.put(slot, entry)?;
            head.tail = Tail {
                epoch: entry.epoch,
                index: entry.index,
            };
        }
        head.promised = append.epoch;
        self.set_head(slot, head)?;
        Ok(Outcome::Kept(head.tail.index))
    }

    /// Where the log lacks what should come before `first`.
    fn gap(&self, append: &Append, first: Index, head: Head) -> Result<Option<Index>, Error> {
        if first > head.tail.index + 1 {
            return Ok(Some(head.tail.index + 1));
        }
        let before = first - 1;
        match self.epoch_at(append.slot, before, head)? {
            Some(epoch) if epoch != append.previous => Ok(Some(before)),
            // Trimmed entries were kept by a majority and are the same.
            _ => Ok(None),
        }
    }

    fn seal(&mut self, seal: Seal) -> Result<Sealed, Error> {
        let mut head = self.head(seal.slot)?;
        if seal.epoch < head.promised {
            return Ok(Sealed::Fenced(head.promised));
        }
        if seal.epoch > head.promised {
            head.promised = seal.epoch;
            self.set_head(seal.slot, head)?;
        }
        Ok(Sealed::At(head.tail))
    }

    fn trim(&mut self, trim: Trim) -> Result<(), Error> {
        let head = self.head(trim.slot)?;
        if trim.epoch < head.promised || trim.before == 0 {
            return Ok(());
        }
        self.remove(trim.slot, 0, trim.before - 1)
    }

    fn put(&mut self, slot: Slot, entry: &Entry) -> Result<(), Error> {
        let text = entry.data.get().as_bytes();
        let mut bytes = Vec::with_capacity(EPOCH_BYTES + text.len());
        bytes.extend_from_slice(&entry.epoch.0.to_le_bytes());
        bytes.extend_from_slice(text);
        let key = (slot.0, entry.index);
        self.log.insert(key, bytes.as_slice()).map_err(failed)?;
        Ok(())
    }

    fn remove(&mut self, slot: Slot, from: Index, through: Index) -> Result<(), Error> {
        let range = (slot.0, from)..=(slot.0, through);
        self.log.retain_in(range, |_, _| false).map_err(failed)
    }
}

fn epoch_of(bytes: &[u8]) -> Epoch {
    let mut epoch = [0; EPOCH_BYTES];
    epoch.copy_from_slice(&bytes[..EPOCH_BYTES]);
    Epoch(u64::from_le_bytes(epoch))
}

fn page(database: &Database, slot: Slot, from: Index) -> Result<Page, Error> {
    let read = database.begin_read().map_err(failed)?;
    let log = read.open_table(LOG).map_err(failed)?;
    let mut page = Page::default();
    let mut size = 0;
    let range = (slot.0, from)..=(slot.0, Index::MAX);
    for row in log.range(range).map_err(failed)? {
        let (key, value) = row.map_err(failed)?;
        let bytes = value.value();
        if size + bytes.len() > PAGE_BYTES && !page.entries.is_empty() {
            page.more = true;
            break;
        }
        size += bytes.len();
        page.entries.push(Entry {
            index: key.value().1,
            epoch: epoch_of(bytes),
            data: serde_json::from_slice(&bytes[EPOCH_BYTES..]).map_err(failed)?,
        });
    }
    Ok(page)
}

#[async_trait]
impl Keeper for Store {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        let (to, answer) = oneshot::channel();
        self.submit(Job::Append(appends, to), answer).await
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        let (to, answer) = oneshot::channel();
        self.submit(Job::Seal(seals, to), answer).await
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        let database = self.database.clone();
        let read = tokio::task::spawn_blocking(move || page(&database, slot, from));
        read.await.map_err(failed)?
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        let (to, answer) = oneshot::channel();
        self.submit(Job::Trim(trims, to), answer).await
    }
}
