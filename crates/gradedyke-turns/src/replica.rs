//! A replica: stores records on disk and answers requests for them and for
//! conversations.
//!
//! - `conversation`: reads conversations, in pages if they are large.

mod conversation;

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::try_join_all;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::index::{self, Index, Lookup, Position};
use crate::load::{Aggregator, Report, ServerLoad};
use crate::log::{self, Location, Log};
use crate::message::{Begin, FULL_PAGE_BYTES, Keys, Reply, Request};
use crate::mirror::Mirror;
use crate::pending::PendingSegments;
use crate::pressure::Pressure;
use crate::record::{Id, Key, Record};
use crate::usage::{self, Total};
use crate::view::{DiskId, View};

/// Maximum number of keys in a page.
const MAX_PAGE_KEYS: usize = 512;
/// How long a request for keys waits for a new record before it is answered with an
/// empty page, which shows the follower that this replica is reachable.
const KEYS_WAIT_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a new record in which further ones are collected for the same page. Must be less
/// than `FETCH_DELAY` in `sync`. Under load each record would otherwise be a call of its own from
/// each other replica.
const PAGE_DELAY: Duration = Duration::from_millis(50);
/// Interval between removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// How late a removal may be. A process that was stopped for longer, or whose clock jumped, may not
/// have read requests that extend retention times.
const MAX_EXPIRY_DELAY: Duration = Duration::from_secs(1);
/// How long a turn that runs holds what it needs after each request that says so. Several times
/// [`HOLD_INTERVAL`], and longer than callers wait before their next attempt.
const HOLD_TIME: Duration = Duration::from_secs(15);
/// Interval at which entries say that a turn still runs. Less than the shortest time for which a
/// replica retains records after a restart.
pub const HOLD_INTERVAL: Duration = Duration::from_secs(4);
/// Name of the file in the data folder that holds the ID of the disk.
const DISK_ID_FILE: &str = "disk-id";

/// Stores records on one disk and serves them.
pub struct Replica {
    disk: DiskId,
    /// Random ID of this process's incarnation. Positions are valid only within it.
    incarnation: u64,
    pub(crate) log: Log,
    index: Mutex<Index>,
    pending_segments: Mutex<PendingSegments>,
    /// Whether all records on disk are in the index.
    pub(crate) recovered: watch::Sender<bool>,
    /// The position after the record that was last written to disk.
    written_end: watch::Sender<Position>,
    view: watch::Sender<View>,
    /// The position up to which each other replica has all records.
    follower_positions: Mutex<std::collections::HashMap<DiskId, Position>>,
    load_reports: Mutex<Aggregator>,
    usage_reports: Mutex<usage::Aggregator>,
    /// Held while records are fetched from another replica.
    fetch_lock: tokio::sync::Mutex<()>,
    mirror: Arc<Mirror>,
    pub(crate) stop: CancellationToken,
}

/// Reads the ID of the disk in `folder`. If there is none, a random one is
/// created and stored.
///
/// # Errors
///
/// [`log::Error::Folder`] if the folder cannot be used.
pub fn load_or_create_disk_id(folder: &Path) -> Result<DiskId, log::Error> {
    let folder_error = |e| log::Error::Folder(folder.to_owned(), e);
    std::fs::create_dir_all(folder).map_err(folder_error)?;
    let path = folder.join(DISK_ID_FILE);
    if let Ok(text) = std::fs::read_to_string(&path)
        && let Ok(disk) = DiskId::from_str_radix(text.trim(), 16)
    {
        return Ok(disk);
    }
    let disk: DiskId = rand::random();
    // Renamed into place, so that a power loss can't leave a partial file.
    let temporary: PathBuf = folder.join(format!("{DISK_ID_FILE}.new"));
    std::fs::write(&temporary, format!("{disk:016x}\n")).map_err(folder_error)?;
    let file = std::fs::File::open(&temporary).map_err(folder_error)?;
    file.sync_all().map_err(folder_error)?;
    std::fs::rename(&temporary, &path).map_err(folder_error)?;
    log::sync_folder(folder).map_err(folder_error)?;
    Ok(disk)
}

impl Replica {
    /// Opens the replica in `folder`, which is created if missing. The replica can
    /// serve at once; [`Replica::recover`] loads the records on disk.
    ///
    /// # Errors
    ///
    /// [`log::Error::Folder`] if the folder cannot be used.
    pub fn open(
        folder: &Path,
        mirror: Arc<Mirror>,
        stop: CancellationToken,
    ) -> Result<Arc<Self>, log::Error> {
        let disk = load_or_create_disk_id(folder)?;
        let index = Index::new(index::MAX_CACHED_BODY_BYTES);
        let (log, tables) = Log::open(folder)?;
        tracing::info!(event = "disk_opened", segments = tables.len());
        let pending_segments = PendingSegments::new(tables);
        Ok(Arc::new(Self {
            disk,
            incarnation: rand::random(),
            log,
            written_end: watch::Sender::new(index.end_position()),
            index: Mutex::new(index),
            recovered: watch::Sender::new(pending_segments.is_empty()),
            pending_segments: Mutex::new(pending_segments),
            view: watch::Sender::new(View::default()),
            follower_positions: Mutex::default(),
            load_reports: Mutex::default(),
            usage_reports: Mutex::default(),
            fetch_lock: tokio::sync::Mutex::default(),
            mirror,
            stop,
        }))
    }

    /// Returns the ID of its disk.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Returns the mirror of the platform's key-value store.
    pub fn mirror(&self) -> &Arc<Mirror> {
        &self.mirror
    }

    pub(crate) fn index(&self) -> MutexGuard<'_, Index> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn pending_segments(&self) -> MutexGuard<'_, PendingSegments> {
        self.pending_segments
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this replica has a turn and all turns that it continues.
    pub fn has_conversation(&self, turn: &Id) -> bool {
        self.index().has_turn_and_ancestors(turn)
    }

    /// Whether all records on disk have been loaded.
    pub fn is_recovered(&self) -> bool {
        *self.recovered.borrow()
    }

    /// Returns a receiver of the latest view known to this replica.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Updates the view, unless a later one is known.
    pub fn update_view(&self, view: &View) {
        self.view.send_if_modified(|known| {
            let is_newer = view.version > known.version;
            if is_newer {
                known.clone_from(view);
            }
            is_newer
        });
    }

    /// Acquires the lock for fetching from other replicas. They have mostly the same records, so
    /// concurrent fetches would transfer each record several times.
    pub(crate) async fn lock_fetch(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.fetch_lock.lock().await
    }

    /// Whether the replica on `disk` has all records before `position`.
    pub(crate) fn has_synced(&self, disk: DiskId, position: Position) -> bool {
        let positions = self.follower_positions.lock();
        let positions = positions.unwrap_or_else(PoisonError::into_inner);
        positions.get(&disk).is_some_and(|p| *p >= position)
    }

    /// Stores a record. It is visible at once, and on disk when this returns.
    ///
    /// # Errors
    ///
    /// [`log::Error::TooLarge`] if no replica can store the record; [`log::Error::Write`] if the
    /// write failed. After the latter the replica stops, because the state of its disk is unknown.
    pub async fn store(&self, record: &Record) -> Result<(), log::Error> {
        if !record.is_storable() {
            return Err(log::Error::TooLarge(record.body_bytes()));
        }
        let key = record.key();
        let end = {
            let mut index = self.index();
            index.apply(record, self.log.active_segment(), Instant::now());
            index.end_position()
        };
        // Written even if the index has the record, which may not be on disk yet.
        let location = self.log.append(record).await.inspect_err(|error| {
            tracing::error!(event = "replica_stops", %error);
            self.stop.cancel();
        })?;
        self.index().set_location(&key, location);
        self.written_end.send_replace(end);
        Ok(())
    }

    /// Returns the reply that rejects a request of the view `version`, or `None` if this replica is
    /// a member of that view as far as it knows, and the view is not outdated.
    fn reject_request(&self, version: u64) -> Option<Reply> {
        let view = self.view.borrow();
        if version < view.version {
            return Some(Reply::Stale(view.clone()));
        }
        // A replica that lost its disk answers at the address of the member that it was. Nobody
        // sends requests of a view without members, which has the version 0.
        let is_member = version == 0 || view.find(self.disk).is_some();
        (!is_member).then_some(Reply::Starting)
    }

    /// Reserves tokens for an attempt and looks up the turn that it continues.
    async fn begin(&self, begin: Begin) -> Reply {
        if let Some(rejection) = self.reject_request(begin.view) {
            return rejection;
        }
        let usage = begin.usage.map(|u| self.apply_usage_report(u));
        let program = begin.reserve.as_ref().map(|r| &r.program);
        if let Err(error) = self.load_for_request(program, begin.parent.as_ref()).await {
            return Reply::Failed(error.to_string());
        }
        self.hold(begin.parent.as_ref(), program);
        let mut attempts = Vec::new();
        if let Some(reserved) = begin.reserve {
            let program = reserved.program.clone();
            if let Err(error) = self.store(&Record::Reserved(reserved)).await {
                return Reply::Failed(error.to_string());
            }
            attempts = self.index().attempts(&program);
        }
        let parent = match &begin.parent {
            Some(id) => Some(self.find_turn(id, begin.nearest).await),
            None => None,
        };
        let load = self.apply_load_report(begin.load, begin.nearest);
        Reply::Began {
            attempts,
            parent,
            load,
            usage,
            // Set by the caller.
            pressure: Pressure::default(),
        }
    }

    /// Retains what a running turn needs: the turn that it continues, and its program's attempts.
    fn hold(&self, parent: Option<&Id>, program: Option<&Id>) {
        let until = Instant::now() + HOLD_TIME;
        self.index().hold(parent, program, until);
    }

    pub(crate) fn load_reports(&self) -> MutexGuard<'_, Aggregator> {
        self.load_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn usage_reports(&self) -> MutexGuard<'_, usage::Aggregator> {
        self.usage_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds usage that an entry reported, and returns the total of the client
    /// account that it asks for.
    fn apply_usage_report(&self, report: usage::Report) -> Total {
        let now = Instant::now();
        let asked = report.asked;
        let mut reports = self.usage_reports();
        reports.record_report(report, now);
        reports.total(asked, now)
    }

    /// Updates the load that an entry reported. Returns the load of the other
    /// entries if `wants_others`.
    fn apply_load_report(&self, report: Report, wants_others: bool) -> Option<Vec<ServerLoad>> {
        let now = Instant::now();
        let entry = report.entry;
        let mut aggregator = self.load_reports();
        aggregator.record_report(report, now);
        wants_others.then(|| aggregator.total_excluding(entry, now))
    }

    /// Reads records from disk on a blocking thread.
    ///
    /// # Errors
    ///
    /// [`log::Error::Read`] if a record is missing or damaged.
    pub(crate) async fn read(&self, locations: Vec<Location>) -> Result<Vec<Record>, log::Error> {
        let log = self.log.clone();
        let result = tokio::task::spawn_blocking(move || log.read(&locations)).await;
        // The task is cancelled only when the runtime shuts down.
        result.unwrap_or_else(|error| Err(log::Error::Read(std::io::Error::other(error))))
    }

    /// Reads records from disk; logs a failure and returns `None`.
    async fn try_read(&self, locations: Vec<Location>) -> Option<Vec<Record>> {
        let result = self.read(locations).await;
        let result = result.inspect_err(|error| {
            tracing::warn!(event = "record_not_read", %error);
        });
        result.ok()
    }

    /// Returns the records of the first of those `keys` that this replica has, up to a full page;
    /// `None` if the disk fails.
    async fn records(&self, keys: &[Key]) -> Option<Vec<Record>> {
        let mut records = Vec::new();
        let mut stored = Vec::new();
        for lookup in self.look_up_page(keys) {
            match lookup {
                Lookup::InMemory(record) => records.push(record),
                Lookup::OnDisk(location) => stored.push(location),
            }
        }
        if !stored.is_empty() {
            records.extend(self.try_read(stored).await?);
        }
        Some(records)
    }

    /// Looks up the first of `keys` that this replica has, up to a full page.
    fn look_up_page(&self, keys: &[Key]) -> Vec<Lookup> {
        let mut index = self.index();
        let now = Instant::now();
        let mut page = Vec::new();
        let mut bytes = 0;
        for lookup in keys.iter().filter_map(|k| index.record(k, now)) {
            bytes += lookup.byte_len();
            page.push(lookup);
            if bytes >= FULL_PAGE_BYTES {
                break;
            }
        }
        page
    }

    async fn store_in_view(
        &self,
        view: u64,
        record: &Record,
        usage_report: Option<usage::Report>,
    ) -> Reply {
        if let Some(rejection) = self.reject_request(view) {
            return rejection;
        }
        let usage = usage_report.map(|u| self.apply_usage_report(u));
        match self.store(record).await {
            Ok(()) => Reply::Kept { usage },
            Err(error) => Reply::Failed(error.to_string()),
        }
    }

    /// Stores records concurrently, so that they share a disk sync.
    async fn store_all(&self, view: u64, records: &[Record]) -> Reply {
        if let Some(rejection) = self.reject_request(view) {
            return rejection;
        }
        match try_join_all(records.iter().map(|r| self.store(r))).await {
            Ok(_) => Reply::Kept { usage: None },
            Err(error) => Reply::Failed(error.to_string()),
        }
    }

    /// Waits a limited time for records from position `from` on, and returns a page of
    /// their keys. Also notes that the replica on `disk` has all records before `from`.
    async fn wait_for_keys(&self, disk: DiskId, boot: u64, from: Position) -> Reply {
        let from = if boot == self.incarnation { from } else { 0 };
        {
            let positions = self.follower_positions.lock();
            let mut positions = positions.unwrap_or_else(PoisonError::into_inner);
            positions.insert(disk, from);
        }
        let mut written_end = self.written_end.subscribe();
        let new_record = written_end.wait_for(|end| *end > from);
        let has_new_records = tokio::time::timeout(KEYS_WAIT_TIMEOUT, new_record)
            .await
            .is_ok();
        if has_new_records && self.index().end_position() - from < MAX_PAGE_KEYS as u64 {
            tokio::time::sleep(PAGE_DELAY).await;
        }
        let index = self.index();
        let (keys, next) = index.keys_since(from, MAX_PAGE_KEYS);
        Reply::Keys(Keys {
            boot: self.incarnation,
            next,
            all: next == index.end_position() && self.is_recovered(),
            keys,
            view: self.view.borrow().version,
        })
    }

    /// Removes expired records at an interval until the replica stops.
    pub async fn run_expiry(self: Arc<Self>) {
        // Until recovery is done, a segment with live records may seem empty.
        let mut recovered = self.recovered.subscribe();
        tokio::select! {
            _ = recovered.wait_for(|recovered| *recovered) => {}
            () = self.stop.cancelled() => return,
        }
        let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut resumes_at = Instant::now();
        loop {
            let due = tokio::select! {
                due = interval.tick() => due,
                () = self.stop.cancelled() => return,
            };
            let now = Instant::now();
            if now - due > MAX_EXPIRY_DELAY {
                tracing::warn!(event = "expiry_paused", late_ms = (now - due).as_millis());
                resumes_at = now + HOLD_TIME;
            }
            if now < resumes_at {
                continue;
            }
            let empty_segments = self.index().expire(Instant::now());
            for segment in empty_segments {
                if self.log.remove_segment(segment) {
                    self.index().forget_segment(segment);
                }
            }
            let (turns, programs) = self.index().turn_and_program_counts();
            metrics::gauge!("gradedyke_turns_kept").set(turns as f64);
            metrics::gauge!("gradedyke_programs_kept").set(programs as f64);
            let bytes = self.index().cached_body_bytes();
            metrics::gauge!("gradedyke_turn_bytes_in_memory").set(bytes as f64);
        }
    }

    /// Handles a request. The caller must handle `Age`, `Follow` and `Crashes` itself; here they
    /// only get [`Reply::Hello`].
    pub(crate) async fn handle(&self, request: Request) -> Reply {
        match request {
            Request::Hello | Request::Age | Request::Follow { .. } | Request::Crashes(_) => {
                Reply::Hello
            }
            Request::Via { .. } => Reply::Failed("a replica does not forward requests".to_owned()),
            Request::Begin(begin) => self.begin(begin).await,
            Request::Keep {
                view,
                record,
                usage,
            } => self.store_in_view(view, &record, usage).await,
            Request::KeepAll { view, records } => self.store_all(view, &records).await,
            Request::Usage(report) => Reply::Usage(self.apply_usage_report(report)),
            Request::Hold { parent, program } => {
                self.hold(parent.as_ref(), program.as_ref());
                Reply::Kept { usage: None }
            }
            Request::Chain(id) => self.chain_reply(&id).await,
            Request::ChainPage { turn, from } => self.chain_page_reply(&turn, from).await,
            Request::Keys { disk, boot, from } => self.wait_for_keys(disk, boot, from).await,
            Request::Records(keys) => match self.records(&keys).await {
                Some(records) => Reply::Records(records),
                None => Reply::Failed(
                    "records cannot be read from disk; see the log of this replica".to_owned(),
                ),
            },
        }
    }
}
