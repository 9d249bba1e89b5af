//! A slot that this process serves at one epoch.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use gradedyke_base::id::{self, Slot};
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_journal::Log;
use gradedyke_journal::log::Error;
use serde_json::value::to_raw_value;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::session::Session;
use super::{lock, moving};
use crate::program::record::Record;
use crate::program::state::{Tree, Trees};

/// A slot served at one epoch.
pub struct Holding {
    /// The slot.
    pub slot: Slot,
    /// Its log.
    pub log: Arc<Log>,
    /// Ends everything in this holding when the slot is lost.
    pub stop: CancellationToken,
    /// Set while the slot is about to be handed over: nothing new begins.
    closing: AtomicBool,
    /// The entry before which the log was trimmed.
    trimmed: AtomicU64,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
    /// Held while a program is opened, so that it is opened once.
    pub opening: tokio::sync::Mutex<()>,
}

impl Holding {
    /// A holding with the trees recovered from its log.
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
            trimmed: AtomicU64::new(0),
            sessions: Mutex::new(trees.into_iter().map(session).collect()),
            opening: tokio::sync::Mutex::default(),
        }
    }

    /// Keeps a record in the journal.
    ///
    /// # Errors
    ///
    /// `moving` when the slot has gone to another owner.
    pub async fn keep(&self, record: &Record) -> Result<(), Problem> {
        let data = to_raw_value(record).map_err(|e| {
            let message = format!("a record cannot be written ({e}); report this");
            Problem::new(Kind::Internal, message)
        })?;
        match self.log.append(data).await {
            Ok(_) => Ok(()),
            Err(Error::Fenced(newer)) => {
                tracing::info!(event = "slot_fenced", slot = %self.slot, epoch = %self.log.epoch(), %newer);
                self.stop.cancel();
                Err(moving())
            }
            Err(_) => Err(moving()),
        }
    }

    /// The session of a program's tree.
    pub fn session(&self, program: &id::Program) -> Option<Arc<Session>> {
        lock(&self.sessions).get(program.root()).cloned()
    }

    /// The session of a program's tree if it is `account`'s.
    ///
    /// # Errors
    ///
    /// `not_found`, the same for a program that is not there and for one of
    /// another client account.
    pub fn find(
        &self,
        account: &id::Account,
        program: &id::Program,
    ) -> Result<Arc<Session>, Problem> {
        let session = self.session(program);
        let own = session.filter(|s| s.account == *account && s.find(program).is_some());
        own.ok_or_else(unknown)
    }

    /// Adds the session of a new tree.
    pub fn insert(&self, program: &id::Program, tree: Tree, now: Instant) -> Arc<Session> {
        let session = Arc::new(Session::new(tree, now));
        let root = program.root().to_owned();
        lock(&self.sessions).insert(root, session.clone());
        session
    }

    /// Forgets a tree.
    pub fn remove(&self, program: &id::Program) {
        lock(&self.sessions).remove(program.root());
    }

    /// All sessions.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.sessions).values().cloned().collect()
    }

    /// Whether nothing new may begin.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Lets nothing new begin, or lets it again.
    pub fn close(&self, closing: bool) {
        self.closing.store(closing, Ordering::SeqCst);
    }

    /// Whether no call is in progress.
    pub fn idle(&self) -> bool {
        self.sessions().iter().all(|s| s.idle())
    }

    /// The index to trim the log before, when nothing in it is needed any more.
    /// The last entry stays, so that a keeper that lags finds where to go on.
    pub fn trimmable(&self) -> Option<u64> {
        let last = self.log.last();
        let empty = lock(&self.sessions).is_empty();
        let before = self.trimmed.load(Ordering::Relaxed);
        (empty && last > before + 1).then(|| {
            self.trimmed.store(last, Ordering::Relaxed);
            last
        })
    }
}

/// The problem of a program that is not there for this client account.
pub fn unknown() -> Problem {
    let message = "no such program of yours; open one with POST /v1/programs, or correct the id";
    Problem::new(Kind::NotFound, message)
}
