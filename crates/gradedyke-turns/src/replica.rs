//! The answering side: keeps records and tells conversations.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::try_join_all;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::archive::Archive;
use crate::body::Body;
use crate::conversation::{Chain, Part};
use crate::index::{self, Answer, Index, Position};
use crate::load::{Board, Busy, Report};
use crate::log::{self, Log, Place};
use crate::message::{Begin, Found, Keys, Reply, Request};
use crate::mirror::Mirror;
use crate::pressure::Pressure;
use crate::record::{Id, Key, Record};
use crate::usage::{self, Total};
use crate::view::{Disk, View};

/// Keys in one page.
const PAGE_KEYS: usize = 512;
/// Longest wait of a replica that asks for keys: as long as its connection may
/// stay silent without anybody learning that it is cut.
const KEYS_WAIT: Duration = Duration::from_millis(800);
/// Wait after an arrival for more that can be told with it: under load each
/// would be a call of its own from each other replica. A third of what these wait
/// before they ask for a record that they miss.
const GATHER: Duration = Duration::from_millis(50);
/// How often expired records are looked for.
const EXPIRE: Duration = Duration::from_secs(5);
/// File in the data folder that holds the disk's identity.
const IDENTITY: &str = "disk-id";

/// A replica.
pub struct Replica {
    disk: Disk,
    boot: u64,
    pub(crate) log: Log,
    index: Mutex<Index>,
    archive: Mutex<Archive>,
    /// Whether all that is on disk is in the index.
    pub(crate) recovered: watch::Sender<bool>,
    /// The position after the last arrival.
    arrived: watch::Sender<Position>,
    view: watch::Sender<View>,
    /// How far each other replica has followed.
    followed: Mutex<std::collections::HashMap<Disk, Position>>,
    board: Mutex<Board>,
    usage: Mutex<usage::Board>,
    /// Held by whoever fetches records from another replica.
    fetching: tokio::sync::Mutex<()>,
    mirror: Arc<Mirror>,
    pub(crate) stop: CancellationToken,
}

/// Reads the disk's identity, or gives it one when it is empty.
///
/// # Errors
///
/// [`log::Error::Folder`] when the folder cannot be used.
pub fn identity(folder: &Path) -> Result<Disk, log::Error> {
    let wrap = |e| log::Error::Folder(folder.to_owned(), e);
    std::fs::create_dir_all(folder).map_err(wrap)?;
    let path = folder.join(IDENTITY);
    if let Ok(text) = std::fs::read_to_string(&path)
        && let Ok(disk) = Disk::from_str_radix(text.trim(), 16)
    {
        return Ok(disk);
    }
    let disk: Disk = rand::random();
    // Written beside and renamed, so that a power loss leaves all or nothing.
    let temporary: PathBuf = folder.join(format!("{IDENTITY}.new"));
    std::fs::write(&temporary, format!("{disk:016x}\n")).map_err(wrap)?;
    let file = std::fs::File::open(&temporary).map_err(wrap)?;
    file.sync_all().map_err(wrap)?;
    std::fs::rename(&temporary, &path).map_err(wrap)?;
    log::sync_folder(folder).map_err(wrap)?;
    Ok(disk)
}

/// What a turn's record says; nothing for records of other kinds.
fn body(record: Record) -> Option<Body> {
    match record {
        Record::Turn(turn) => Some(Body {
            input: turn.input,
            output: turn.output,
        }),
        Record::Reserved(_) | Record::Settled(_) => None,
    }
}

impl Replica {
    /// Opens the replica in `folder`, made if it is not there. It serves from then
    /// on; [`Replica::recover`] takes in what is on disk.
    ///
    /// # Errors
    ///
    /// [`log::Error::Folder`] when the folder cannot be used.
    pub fn open(
        folder: &Path,
        mirror: Arc<Mirror>,
        stop: CancellationToken,
    ) -> Result<Arc<Self>, log::Error> {
        let disk = identity(folder)?;
        let index = Index::new(index::BODIES);
        let (log, tables) = Log::open(folder)?;
        tracing::info!(event = "disk_opened", segments = tables.len());
        let archive = Archive::new(tables);
        Ok(Arc::new(Self {
            disk,
            boot: rand::random(),
            log,
            arrived: watch::Sender::new(index.end()),
            index: Mutex::new(index),
            recovered: watch::Sender::new(archive.is_empty()),
            archive: Mutex::new(archive),
            view: watch::Sender::new(View::default()),
            followed: Mutex::default(),
            board: Mutex::default(),
            usage: Mutex::default(),
            fetching: tokio::sync::Mutex::default(),
            mirror,
            stop,
        }))
    }

    /// The identity of its disk.
    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// The mirror it tells news of.
    pub fn mirror(&self) -> &Arc<Mirror> {
        &self.mirror
    }

    pub(crate) fn index(&self) -> MutexGuard<'_, Index> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn archive(&self) -> MutexGuard<'_, Archive> {
        self.archive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether all that is on disk has been taken in.
    pub fn recovered(&self) -> bool {
        *self.recovered.borrow()
    }

    /// The view as this replica knows it.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Takes in a view, unless a later one is known.
    pub fn learn(&self, view: &View) {
        self.view.send_if_modified(|known| {
            let later = view.version > known.version;
            if later {
                known.clone_from(view);
            }
            later
        });
    }

    /// Waits for the turn to fetch records. Others have much the same to tell, so
    /// that at the same time each record would be fetched from all of them.
    pub(crate) async fn fetching(&self) -> tokio::sync::MutexGuard<'_, ()> {
        self.fetching.lock().await
    }

    /// Whether another replica has followed all that arrived up to `position`.
    pub(crate) fn followed(&self, disk: Disk, position: Position) -> bool {
        let followed = self.followed.lock();
        let followed = followed.unwrap_or_else(PoisonError::into_inner);
        followed.get(&disk).is_some_and(|p| *p >= position)
    }

    /// Keeps a record: it is visible at once, and on disk at the return.
    ///
    /// # Errors
    ///
    /// [`log::Error::Write`]; the replica stops, because it no longer knows
    /// what its disk holds.
    pub async fn keep(&self, record: &Record) -> Result<(), log::Error> {
        let key = record.key();
        let end = {
            let mut index = self.index();
            index.apply(record, self.log.segment(), Instant::now());
            index.end()
        };
        // A record that was here already may not be synced yet, so it is
        // written once more.
        let place = self.log.append(record).await.inspect_err(|error| {
            tracing::error!(event = "replica_stops", %error);
            self.stop.cancel();
        })?;
        self.index().place(&key, place);
        self.arrived.send_replace(end);
        Ok(())
    }

    fn stale(&self, version: u64) -> Option<Reply> {
        let view = self.view.borrow();
        (version < view.version).then(|| Reply::Stale(view.clone()))
    }

    async fn begin(&self, begin: Begin) -> Reply {
        if let Some(stale) = self.stale(begin.view) {
            return stale;
        }
        let usage = begin.usage.map(|u| self.used(u));
        let program = begin.reserve.as_ref().map(|r| &r.program);
        if let Err(error) = self.recall(program, begin.parent.as_ref()).await {
            return Reply::Failed(error.to_string());
        }
        let mut attempts = Vec::new();
        if let Some(reserved) = begin.reserve {
            let program = reserved.program.clone();
            if let Err(error) = self.keep(&Record::Reserved(reserved)).await {
                return Reply::Failed(error.to_string());
            }
            attempts = self.index().attempts(&program);
        }
        let parent = match &begin.parent {
            Some(id) => Some(self.find(id, begin.nearest).await),
            None => None,
        };
        let load = self.load(begin.load, begin.nearest);
        Reply::Began {
            attempts,
            parent,
            load,
            usage,
            // Whoever lets requests in knows it.
            pressure: Pressure::default(),
        }
    }

    pub(crate) fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn usage(&self) -> MutexGuard<'_, usage::Board> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a report of use in, and tells the sum that it asks for.
    fn used(&self, report: usage::Report) -> Total {
        let now = Instant::now();
        let asked = report.asked;
        let mut usage = self.usage();
        usage.put(report, now);
        usage.total(asked, now)
    }

    /// Takes a report in, and tells what others have in progress if `asked`.
    fn load(&self, report: Report, asked: bool) -> Option<Vec<Busy>> {
        let now = Instant::now();
        let entry = report.entry;
        let mut board = self.board();
        board.put(report, now);
        asked.then(|| board.others(entry, now))
    }

    async fn find(&self, id: &Id, whole: bool) -> Found {
        if !self.index().has_chain(id) {
            return Found::Missing;
        }
        if !whole {
            return Found::Here;
        }
        let chain = self.chain(id).await;
        chain.map_or(Found::Here, Found::Whole)
    }

    async fn tell_chain(&self, id: &Id) -> Reply {
        match self.recall(None, Some(id)).await {
            Ok(()) => Reply::Chain(self.chain(id).await),
            Err(error) => Reply::Failed(error.to_string()),
        }
    }

    /// The conversation up to and with a turn, if all of it is here.
    async fn chain(&self, id: &Id) -> Option<Chain> {
        let conversation = self.index().conversation(id)?;
        let stored = conversation.stored();
        if stored.is_empty() {
            return conversation.chain(&[]);
        }
        let records = self.read_back(stored).await?;
        let bodies: Vec<Body> = records.into_iter().filter_map(body).collect();
        let chain = conversation.chain(&bodies);
        let parts = conversation.parts.iter();
        let read = parts.filter(|(_, part)| matches!(part, Part::Stored(_)));
        let mut index = self.index();
        for ((request, _), body) in read.zip(bodies) {
            index.restore(request, body);
        }
        chain
    }

    /// Reads records from the disk, without holding others up meanwhile.
    ///
    /// # Errors
    ///
    /// [`log::Error::Read`] when one is not there whole.
    pub(crate) async fn read(&self, places: Vec<Place>) -> Result<Vec<Record>, log::Error> {
        let log = self.log.clone();
        let read = tokio::task::spawn_blocking(move || log.read(&places)).await;
        // Without a result the process is stopping.
        read.unwrap_or_else(|error| Err(log::Error::Read(std::io::Error::other(error))))
    }

    async fn read_back(&self, places: Vec<Place>) -> Option<Vec<Record>> {
        let read = self.read(places).await;
        let read = read.inspect_err(|error| {
            tracing::warn!(event = "record_not_read", %error);
        });
        read.ok()
    }

    /// The records of keys, as far as they are here.
    async fn records(&self, keys: &[Key]) -> Option<Vec<Record>> {
        let mut records = Vec::new();
        let mut stored = Vec::new();
        {
            let mut index = self.index();
            let now = Instant::now();
            for answer in keys.iter().filter_map(|k| index.record(k, now)) {
                match answer {
                    Answer::Held(record) => records.push(record),
                    Answer::Stored(place) => stored.push(place),
                }
            }
        }
        if !stored.is_empty() {
            records.extend(self.read_back(stored).await?);
        }
        Some(records)
    }

    async fn keep_under(&self, view: u64, record: &Record, used: Option<usage::Report>) -> Reply {
        if let Some(stale) = self.stale(view) {
            return stale;
        }
        let usage = used.map(|u| self.used(u));
        match self.keep(record).await {
            Ok(()) => Reply::Kept { usage },
            Err(error) => Reply::Failed(error.to_string()),
        }
    }

    /// Keeps records side by side, so that they share a sync.
    async fn keep_all(&self, view: u64, records: &[Record]) -> Reply {
        if let Some(stale) = self.stale(view) {
            return stale;
        }
        match try_join_all(records.iter().map(|r| self.keep(r))).await {
            Ok(_) => Reply::Kept { usage: None },
            Err(error) => Reply::Failed(error.to_string()),
        }
    }

    async fn keys(&self, disk: Disk, boot: u64, from: Position) -> Reply {
        let from = if boot == self.boot { from } else { 0 };
        {
            let followed = self.followed.lock();
            let mut followed = followed.unwrap_or_else(PoisonError::into_inner);
            followed.insert(disk, from);
        }
        let mut arrived = self.arrived.subscribe();
        let more = arrived.wait_for(|end| *end > from);
        // Without an arrival the page is empty, which tells that all is well.
        let came = tokio::time::timeout(KEYS_WAIT, more).await.is_ok();
        if came && self.index().end() - from < PAGE_KEYS as u64 {
            tokio::time::sleep(GATHER).await;
        }
        let index = self.index();
        let (keys, next) = index.arrived(from, PAGE_KEYS);
        Reply::Keys(Keys {
            boot: self.boot,
            next,
            all: next == index.end() && self.recovered(),
            keys,
            view: self.view.borrow().version,
        })
    }

    /// Forgets what has expired, again and again until `stop`.
    pub async fn expire(self: Arc<Self>) {
        // A segment that has not been read looks as if it held nothing.
        let mut recovered = self.recovered.subscribe();
        tokio::select! {
            _ = recovered.wait_for(|recovered| *recovered) => {}
            () = self.stop.cancelled() => return,
        }
        let mut ticks = tokio::time::interval(EXPIRE);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.stop.cancelled() => return,
            }
            let empty = self.index().expire(Instant::now());
            for segment in empty {
                if self.log.remove(segment) {
                    self.index().removed(segment);
                }
            }
            let (turns, programs) = self.index().sizes();
            metrics::gauge!("gradedyke_turns_kept").set(turns as f64);
            metrics::gauge!("gradedyke_programs_kept").set(programs as f64);
            let bytes = self.index().body_bytes();
            metrics::gauge!("gradedyke_turn_bytes_in_memory").set(bytes as f64);
        }
    }

    pub(crate) async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Hello | Request::Age | Request::Follow { .. } => Reply::Hello,
            Request::Via { .. } => Reply::Failed("a keeper passes nothing on".to_owned()),
            Request::Begin(begin) => self.begin(begin).await,
            Request::Keep {
                view,
                record,
                usage,
            } => self.keep_under(view, &record, usage).await,
            Request::KeepAll { view, records } => self.keep_all(view, &records).await,
            Request::Usage(report) => Reply::Usage(self.used(report)),
            Request::Chain(id) => self.tell_chain(&id).await,
            Request::Keys { disk, boot, from } => self.keys(disk, boot, from).await,
            Request::Records(keys) => match self.records(&keys).await {
                Some(records) => Reply::Records(records),
                None => {
                    Reply::Failed("the disk does not give records back; see its log".to_owned())
                }
            },
        }
    }
}
