//! A keeper's storage: logs and promised epochs, in a redb database.
//!
//! redb provides atomic commits that survive a crash. Since each commit needs a
//! disk sync, [`Store`] commits all pending calls together. On an instance
//! without a disk the database is kept in memory.

use std::path::Path;
use std::sync::Arc;

use async_trait::async_trait;
use gradedyke_base::id::{self, Epoch, Slot};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, Table, TableDefinition, WriteTransaction};
use tokio::sync::{mpsc, oneshot};

use crate::entry::{Append, Entry, Index, Outcome, Page, Seal, Sealed, Tail, Trim};
use crate::keeper::{Error, Keeper};

/// Entries by slot and index: the epoch in eight bytes (little-endian), then the
/// JSON text.
const LOG_TABLE: TableDefinition<(u16, u64), &[u8]> = TableDefinition::new("log");
/// By slot: the promised epoch, then the epoch and index of the last entry.
const HEAD_TABLE: TableDefinition<u16, (u64, u64, u64)> = TableDefinition::new("head");

/// Properties of the store itself, by name.
const META_TABLE: TableDefinition<&str, &str> = TableDefinition::new("meta");
/// Key in [`META_TABLE`] of the store's identity.
const IDENTITY_KEY: &str = "identity";

/// File name of the database in the data folder.
const DATABASE_FILE: &str = "journal.redb";
/// Maximum size of the entries in one page. A page always has at least one
/// entry, whatever its size.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Maximum number of calls in one commit.
const MAX_BATCH_JOBS: usize = 256;
/// Maximum number of calls queued for the next commit.
const QUEUE_CAPACITY: usize = 1_024;
/// Size of redb's cache. redb's default of a gigabyte is too large for a small
/// instance, and logs are read only during recovery.
const CACHE_BYTES: usize = 16 << 20;
/// Size of the epoch in front of an entry's JSON text.
const EPOCH_BYTES: usize = 8;

/// A keeper's store. Clones share the same database.
#[derive(Clone, Debug)]
pub struct Store {
    database: Arc<Database>,
    queue: mpsc::Sender<Job>,
    identity: Arc<str>,
}

/// A write that is queued for the next commit.
#[derive(Debug)]
enum Job {
    Append(Vec<Append>, oneshot::Sender<Result<Vec<Outcome>, Error>>),
    Seal(Vec<Seal>, oneshot::Sender<Result<Vec<Sealed>, Error>>),
    Trim(Vec<Trim>, oneshot::Sender<Result<(), Error>>),
}

/// The reply to a job, sent after the commit.
enum JobReply {
    Append(Vec<Outcome>, oneshot::Sender<Result<Vec<Outcome>, Error>>),
    Seal(Vec<Sealed>, oneshot::Sender<Result<Vec<Sealed>, Error>>),
    Trim(oneshot::Sender<Result<(), Error>>),
}

fn store_error(error: impl std::fmt::Display) -> Error {
    Error::Store(error.to_string())
}

impl Store {
    /// Opens the store in `folder`, or creates one there.
    ///
    /// # Errors
    ///
    /// The folder or the database cannot be created or opened.
    pub fn open(folder: &Path) -> Result<Self, Error> {
        std::fs::create_dir_all(folder).map_err(store_error)?;
        let database = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create(folder.join(DATABASE_FILE))
            .map_err(store_error)?;
        Self::start(database)
    }

    /// Creates a store in memory, for instances without a disk and for tests.
    ///
    /// # Errors
    ///
    /// The database cannot be created.
    pub fn in_memory() -> Result<Self, Error> {
        let database = Database::builder()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(InMemoryBackend::new())
            .map_err(store_error)?;
        Self::start(database)
    }

    /// Closes the store and waits until the database is released. All clones
    /// must have been dropped.
    pub async fn close(self) {
        let Self {
            database, queue, ..
        } = self;
        drop(queue);
        // The writer thread drops its reference once the queue is closed.
        while Arc::strong_count(&database) > 1 {
            tokio::task::yield_now().await;
        }
    }

    fn start(database: Database) -> Result<Self, Error> {
        let write = database.begin_write().map_err(store_error)?;
        write.open_table(LOG_TABLE).map_err(store_error)?;
        write.open_table(HEAD_TABLE).map_err(store_error)?;
        let identity = load_or_create_identity(&write)?;
        write.commit().map_err(store_error)?;
        let database = Arc::new(database);
        let (queue, jobs) = mpsc::channel(QUEUE_CAPACITY);
        let writer_database = database.clone();
        // Ends when the last clone of the store drops its sender.
        std::thread::spawn(move || run_writer(&writer_database, jobs));
        Ok(Self {
            database,
            queue,
            identity,
        })
    }

    /// The store's identity, assigned when it was created. A store that is
    /// created again, as on an instance that lost its disk, gets a different one.
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

/// Reads the store's identity, or assigns one to a new store.
fn load_or_create_identity(write: &WriteTransaction) -> Result<Arc<str>, Error> {
    let mut meta = write.open_table(META_TABLE).map_err(store_error)?;
    let existing = meta.get(IDENTITY_KEY).map_err(store_error)?;
    if let Some(existing) = existing.map(|row| Arc::from(row.value())) {
        return Ok(existing);
    }
    let fresh = id::Request::generate();
    meta.insert(IDENTITY_KEY, fresh.as_str())
        .map_err(store_error)?;
    Ok(fresh.as_str().into())
}

/// Commits jobs in batches until the store is dropped.
fn run_writer(database: &Database, mut jobs: mpsc::Receiver<Job>) {
    while let Some(first) = jobs.blocking_recv() {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_JOBS {
            let Ok(job) = jobs.try_recv() else { break };
            batch.push(job);
        }
        commit_batch(database, batch);
    }
}

fn commit_batch(database: &Database, batch: Vec<Job>) {
    let result = apply_batch(database, batch);
    match result {
        Ok(replies) => replies.into_iter().for_each(JobReply::send),
        // Dropping the reply channels makes each call fail; callers can safely
        // retry.
        Err(error) => tracing::error!(event = "journal_commit_failed", %error),
    }
}

/// Runs all jobs in one transaction and returns their replies.
fn apply_batch(database: &Database, batch: Vec<Job>) -> Result<Vec<JobReply>, Error> {
    let write = database.begin_write().map_err(store_error)?;
    let mut replies = Vec::with_capacity(batch.len());
    {
        let mut tables = Tables {
            log: write.open_table(LOG_TABLE).map_err(store_error)?,
            head: write.open_table(HEAD_TABLE).map_err(store_error)?,
        };
        for job in batch {
            replies.push(tables.run(job)?);
        }
    }
    write.commit().map_err(store_error)?;
    Ok(replies)
}

impl JobReply {
    fn send(self) {
        // Sending fails if the caller has stopped waiting.
        match self {
            JobReply::Append(outcomes, reply) => drop(reply.send(Ok(outcomes))),
            JobReply::Seal(sealed, reply) => drop(reply.send(Ok(sealed))),
            JobReply::Trim(reply) => drop(reply.send(Ok(()))),
        }
    }
}

/// A slot's promised epoch and the end of its log.
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
    fn run(&mut self, job: Job) -> Result<JobReply, Error> {
        Ok(match job {
            Job::Append(appends, reply) => {
                let outcomes = appends.iter().map(|a| self.append(a));
                JobReply::Append(outcomes.collect::<Result<_, _>>()?, reply)
            }
            Job::Seal(seals, reply) => {
                let sealed = seals.iter().map(|s| self.seal(*s));
                JobReply::Seal(sealed.collect::<Result<_, _>>()?, reply)
            }
            Job::Trim(trims, reply) => {
                trims.iter().try_for_each(|t| self.trim(*t))?;
                JobReply::Trim(reply)
            }
        })
    }

    fn head(&self, slot: Slot) -> Result<Head, Error> {
        let stored = self.head.get(slot.0).map_err(store_error)?;
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
        self.head.insert(slot.0, value).map_err(store_error)?;
        Ok(())
    }

    /// The epoch of the entry at `index`, or zero for index 0. `None` if the
    /// entry is not stored.
    fn epoch_at(&self, slot: Slot, index: Index, head: Head) -> Result<Option<Epoch>, Error> {
        if index == 0 {
            return Ok(Some(Epoch(0)));
        }
        if index == head.tail.index {
            return Ok(Some(head.tail.epoch));
        }
        let stored = self.log.get((slot.0, index)).map_err(store_error)?;
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
        } else if let Some(gap) = self.find_gap(append, first.index, head)? {
            return Ok(Outcome::Gap(gap));
        }
        for entry in &append.entries {
            if entry.index <= head.tail.index {
                match self.epoch_at(slot, entry.index, head)? {
                    Some(epoch) if epoch != entry.epoch => {
                        // The log diverges here. No majority has stored these
                        // entries, so they can be deleted.
                        self.remove(slot, entry.index, Index::MAX)?;
                    }
                    // The entry is already stored, or was trimmed.
                    _ => continue,
                }
            }
            self.insert(slot, entry)?;
            head.tail = Tail {
                epoch: entry.epoch,
                index: entry.index,
            };
        }
        head.promised = append.epoch;
        self.set_head(slot, head)?;
        Ok(Outcome::Kept(head.tail.index))
    }

    /// Returns the index from which entries before `first` are missing or
    /// differ, if any.
    fn find_gap(&self, append: &Append, first: Index, head: Head) -> Result<Option<Index>, Error> {
        if first > head.tail.index + 1 {
            return Ok(Some(head.tail.index + 1));
        }
        let before = first - 1;
        match self.epoch_at(append.slot, before, head)? {
            Some(epoch) if epoch != append.previous => Ok(Some(before)),
            // A trimmed entry was stored by a majority and cannot differ.
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

    fn insert(&mut self, slot: Slot, entry: &Entry) -> Result<(), Error> {
        let text = entry.data.get().as_bytes();
        let mut bytes = Vec::with_capacity(EPOCH_BYTES + text.len());
        bytes.extend_from_slice(&entry.epoch.0.to_le_bytes());
        bytes.extend_from_slice(text);
        let key = (slot.0, entry.index);
        self.log
            .insert(key, bytes.as_slice())
            .map_err(store_error)?;
        Ok(())
    }

    /// Deletes the entries from `from` up to and including `through`.
    fn remove(&mut self, slot: Slot, from: Index, through: Index) -> Result<(), Error> {
        let range = (slot.0, from)..=(slot.0, through);
        self.log.retain_in(range, |_, _| false).map_err(store_error)
    }
}

/// The epoch of a stored entry.
fn epoch_of(bytes: &[u8]) -> Epoch {
    let mut epoch = [0; EPOCH_BYTES];
    epoch.copy_from_slice(&bytes[..EPOCH_BYTES]);
    Epoch(u64::from_le_bytes(epoch))
}

/// Reads one page of a log, starting at index `from`.
fn read_page(database: &Database, slot: Slot, from: Index) -> Result<Page, Error> {
    let read = database.begin_read().map_err(store_error)?;
    let log = read.open_table(LOG_TABLE).map_err(store_error)?;
    let mut page = Page::default();
    let mut size = 0;
    let range = (slot.0, from)..=(slot.0, Index::MAX);
    for row in log.range(range).map_err(store_error)? {
        let (key, value) = row.map_err(store_error)?;
        let bytes = value.value();
        if size + bytes.len() > MAX_PAGE_BYTES && !page.entries.is_empty() {
            page.more = true;
            break;
        }
        size += bytes.len();
        page.entries.push(Entry {
            index: key.value().1,
            epoch: epoch_of(bytes),
            data: serde_json::from_slice(&bytes[EPOCH_BYTES..]).map_err(store_error)?,
        });
    }
    Ok(page)
}

#[async_trait]
impl Keeper for Store {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(Job::Append(appends, reply), answer).await
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(Job::Seal(seals, reply), answer).await
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        let database = self.database.clone();
        let read = tokio::task::spawn_blocking(move || read_page(&database, slot, from));
        read.await.map_err(store_error)?
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        let (reply, answer) = oneshot::channel();
        self.submit(Job::Trim(trims, reply), answer).await
    }
}
