//! A slot that this process serves at one epoch, with its log and sessions.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use gradedyke_base::id::{self, Slot};
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_journal::Log;
use gradedyke_journal::log::{Error, MAX_ENTRY_BYTES};
use serde_json::value::to_raw_value;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::session::Session;
use super::{lock, slot_moving};
use crate::program::record::Record;
use crate::program::state::{Tree, Trees};

/// A slot that this process owns at one epoch.
pub struct ServedSlot {
    /// The slot.
    pub slot: Slot,
    /// Its journal log.
    pub log: Arc<Log>,
    /// Cancelled when the slot moves to another owner or the process stops; ends
    /// all calls in the slot.
    pub stop: CancellationToken,
    /// Set before the slot is handed over: no new program or call is accepted.
    closing: AtomicBool,
    /// Index of the entry before which the log was last trimmed.
    trimmed_before: AtomicU64,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
    /// Held while a program is opened, so that concurrent requests open it once.
    pub open_lock: tokio::sync::Mutex<()>,
}

impl ServedSlot {
    /// Creates a served slot with the trees recovered from its log.
    pub fn new(
        slot: Slot,
        log: Arc<Log>,
        trees: Trees,
        stop: CancellationToken,
        now: Instant,
    ) -> Self {
        let session = |(root, tree)| (root, Arc::new(Session::new(tree, now)));
        Self {
            slot,
            log,
            stop,
            closing: AtomicBool::new(false),
            trimmed_before: AtomicU64::new(0),
            sessions: Mutex::new(trees.into_iter().map(session).collect()),
            open_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Appends a record to the journal.
    ///
    /// # Errors
    ///
    /// `moving` when the slot has moved to another owner or its log was closed; `too_large`
    /// when the record is larger than an entry of the journal.
    pub async fn append(&self, record: &Record) -> Result<(), Problem> {
        let data = to_raw_value(record).map_err(|e| {
            let message = format!("a record cannot be written ({e}); report this");
            Problem::new(Kind::Internal, message)
        })?;
        match self.log.append(data).await {
            Ok(_) => Ok(()),
            Err(Error::Fenced(newer)) => {
                tracing::info!(event = "slot_fenced", slot = %self.slot, epoch = %self.log.epoch(), %newer);
                self.stop.cancel();
                Err(slot_moving())
            }
            Err(Error::TooLarge(bytes)) => {
                let message = format!(
                    "a record of {bytes} bytes is too large to be stored, at most \
                     {MAX_ENTRY_BYTES} are; send less in one call"
                );
                Err(Problem::new(Kind::TooLarge, message))
            }
            Err(_) => Err(slot_moving()),
        }
    }

    /// Returns the session of a program's tree.
    pub fn session(&self, program: &id::Program) -> Option<Arc<Session>> {
        lock(&self.sessions).get(program.root()).cloned()
    }

    /// Returns the session of a program's tree if the program belongs to `account`.
    ///
    /// # Errors
    ///
    /// `not_found`, with the same text for a program that does not exist and for a
    /// program of another client account.
    pub fn find(
        &self,
        account: &id::Account,
        program: &id::Program,
    ) -> Result<Arc<Session>, Problem> {
        let session = self.session(program);
        let owned = session.filter(|s| s.account == *account && s.find(program).is_some());
        owned.ok_or_else(program_not_found)
    }

    /// Adds a new tree and returns its session.
    pub fn insert(&self, program: &id::Program, tree: Tree, now: Instant) -> Arc<Session> {
        let session = Arc::new(Session::new(tree, now));
        let root = program.root().to_owned();
        lock(&self.sessions).insert(root, session.clone());
        session
    }

    /// Removes the session of a tree.
    pub fn remove(&self, program: &id::Program) {
        lock(&self.sessions).remove(program.root());
    }

    /// Returns all sessions.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.sessions).values().cloned().collect()
    }

    /// Returns whether no new program or call is accepted.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Sets whether new programs and calls are refused.
    pub fn set_closing(&self, closing: bool) {
        self.closing.store(closing, Ordering::SeqCst);
    }

    /// Returns whether no call is queued or running.
    pub fn is_idle(&self) -> bool {
        self.sessions().iter().all(|s| s.is_idle())
    }

    /// Returns the index before which the log can be trimmed, and remembers it.
    /// `None` while there are sessions or nothing new to trim. The last entry
    /// stays, so that a lagging keeper finds where to continue.
    pub fn take_trim_index(&self) -> Option<u64> {
        let last = self.log.last_index();
        let empty = lock(&self.sessions).is_empty();
        let before = self.trimmed_before.load(Ordering::Relaxed);
        (empty && last > before + 1).then(|| {
            self.trimmed_before.store(last, Ordering::Relaxed);
            last
        })
    }
}

/// Returns the error for a program that does not exist or that belongs to another
/// client account.
pub fn program_not_found() -> Problem {
    let message = "no such program of yours; open one with POST /v1/programs, or correct the id";
    Problem::new(Kind::NotFound, message)
}
