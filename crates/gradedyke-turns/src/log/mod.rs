//! Records on a disk: files that are only appended to, in segments.
//!
//! One thread writes. It takes all records that wait, writes them, syncs once
//! and answers them all, so that a sync's cost is shared. A record stands
//! behind its length and checksum. A power loss leaves what was synced, and any
//! part of what was not; reading stops at the first record that is not whole,
//! and the rest is cut off before anything is appended. redb was not taken
//! here: its commits write several pages for each of our small records.
//!
//! Beside each segment that is no longer written stands a [`Table`] of where its
//! records are, so that a start reads no more than the tables and the last
//! segment, however long the history is. A table that is missing or torn is made
//! anew from its segment.

mod outline;
mod table;
mod writer;

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{mpsc, oneshot, watch};

pub use self::outline::Outline;
pub use self::table::Table;
use self::writer::{Saver, Wait, Writer};
use crate::record::Record;

/// A segment's number; later ones are greater.
pub type Segment = u32;

/// Where a record is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its segment.
    pub segment: Segment,
    /// Where it begins there, in bytes; a segment ends long before four gigabytes.
    pub at: u32,
    /// Its bytes, with length and checksum.
    pub bytes: u32,
}

/// Bytes after which a new segment is begun. The last segment is read whole at the
/// start, in 17 ms from a disk of 120 MB a second; shorter ones would make more
/// files to look in.
const SEGMENT_BYTES: usize = 2 << 20;
/// Records that may wait for the thread.
const QUEUE: usize = 4_096;
/// Bytes of length and checksum in front of a record.
const HEAD: usize = 8;
/// Longest record that is believed when reading.
const RECORD_BYTES: usize = 64 << 20;

/// What the log fails with.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder cannot be used.
    #[error("the data folder {0} cannot be used ({1}); check that it exists and has space")]
    Folder(PathBuf, io::Error),
    /// A record cannot be read back.
    #[error("a record cannot be read back ({0}); check the disk, other replicas have it")]
    Read(io::Error),
    /// A write failed; the process must start again to know what is kept.
    #[error("the disk failed a write; nothing more is kept until the process is restarted")]
    Write,
}

/// An open log. Clones share it.
#[derive(Clone)]
pub struct Log {
    queue: mpsc::Sender<Wait>,
    active: Arc<AtomicU32>,
    folder: Arc<Path>,
    saved: watch::Receiver<usize>,
}

fn path(folder: &Path, segment: Segment) -> PathBuf {
    folder.join(format!("turns-{segment:08}.log"))
}

fn segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let number = name
            .strip_prefix("turns-")
            .and_then(|n| n.strip_suffix(".log"));
        found.extend(number.and_then(|n| n.parse::<Segment>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

/// Makes names in `folder` last through a loss of power.
///
/// # Errors
///
/// Those of the operating system.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Passes the bytes of each whole record at the start of `bytes` to `found`, with
/// where it begins and its length in the file, until `found` refuses one; returns
/// how long they are together.
fn parse(bytes: &[u8], mut found: impl FnMut(&[u8], usize, usize) -> Option<()>) -> usize {
    let mut at = 0;
    while let Some(body) = parse_one(&bytes[at..]) {
        let length = HEAD + body.len();
        if found(body, at, length).is_none() {
            break;
        }
        at += length;
    }
    at
}

/// The bytes of the record at the start of `bytes`, if it is whole.
fn parse_one(bytes: &[u8]) -> Option<&[u8]> {
    let head = bytes.get(..HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[4..].try_into().ok()?);
    if length == 0 || length > RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEAD..HEAD + length)?;
    (crc32fast::hash(body) == sum).then_some(body)
}

fn decode(body: &[u8]) -> Option<Record> {
    postcard::from_bytes(body).ok()
}

fn encode(record: &Record) -> Vec<u8> {
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let length = u32::try_from(body.len()).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

impl Log {
    /// Opens the log in `folder`, which must exist, and tells where the records in
    /// it are, the oldest segment first.
    ///
    /// # Errors
    ///
    /// [`Error::Folder`] when it cannot be read or written.
    ///
    /// ```
    /// let folder = tempfile::tempdir().unwrap();
    /// let (_, tables) = gradedyke_turns::log::Log::open(folder.path()).unwrap();
    /// assert!(tables.is_empty());
    /// ```
    pub fn open(folder: &Path) -> Result<(Self, Vec<(Segment, Table)>), Error> {
        let wrap = |e| Error::Folder(folder.to_owned(), e);
        let numbers = segments(folder).map_err(wrap)?;
        // A new segment is begun at each start, so a torn end is never appended
        // to and nothing has to be cut.
        let next = numbers.last().map_or(1, |n| n + 1);
        let saver = Saver::new(folder);
        let mut tables = Vec::new();
        for number in numbers {
            let table = table(folder, number, &saver).map_err(wrap)?;
            tables.extend(table.map(|t| (number, t)));
        }
        let file = create(folder, next).map_err(wrap)?;
        let (queue, waiting) = mpsc::channel(QUEUE);
        let active = Arc::new(AtomicU32::new(next));
        let saved = saver.saved();
        let writer = Writer::new(folder, file, active.clone(), saver);
        std::thread::Builder::new()
            .name("turn-log".to_owned())
            .spawn(move || writer.run(waiting))
            .map_err(wrap)?;
        let log = Self {
            queue,
            active,
            folder: folder.into(),
            saved,
        };
        Ok((log, tables))
    }

    /// The segment that is written now.
    pub fn segment(&self) -> Segment {
        self.active.load(Ordering::Acquire)
    }

    /// How many tables were written beside segments since the log was opened. They are
    /// written beside the records, some after the record that begins the next segment.
    pub fn saved(&self) -> watch::Receiver<usize> {
        self.saved.clone()
    }

    /// Writes a record and returns where it is once it is synced.
    ///
    /// # Errors
    ///
    /// [`Error::Write`]; the record may or may not be kept.
    pub async fn append(&self, record: &Record) -> Result<Place, Error> {
        let (done, synced) = oneshot::channel();
        let wait = Wait {
            bytes: encode(record),
            done,
        };
        self.queue.send(wait).await.map_err(|_| Error::Write)?;
        match synced.await {
            Ok(Some(place)) => Ok(place),
            _ => Err(Error::Write),
        }
    }

    /// Reads records back. It waits for the disk. Each segment is opened once for
    /// those that follow each other in it: what is read together, a conversation, lies
    /// in few segments.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] when one is not there whole.
    pub fn read(&self, places: &[Place]) -> Result<Vec<Record>, Error> {
        let mut records = Vec::with_capacity(places.len());
        for together in places.chunk_by(|a, b| a.segment == b.segment) {
            let segment = path(&self.folder, together[0].segment);
            let file = File::open(segment).map_err(Error::Read)?;
            for place in together {
                records.push(read_one(&file, *place).map_err(Error::Read)?);
            }
        }
        Ok(records)
    }

    /// Reads all records of a segment, in the order they were written. It waits for
    /// the disk.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] when the segment cannot be read.
    pub fn records(&self, segment: Segment) -> Result<Vec<(Record, Place)>, Error> {
        let mut records = Vec::new();
        scan(&self.folder, segment, |body, place| {
            records.push((decode(body)?, place));
            Some(())
        })
        .map_err(Error::Read)?;
        Ok(records)
    }

    /// Removes a segment that holds nothing any more. The one that is written
    /// now stays.
    pub fn remove(&self, segment: Segment) -> bool {
        if segment >= self.segment() {
            return false;
        }
        let removed = fs::remove_file(path(&self.folder, segment));
        if let Err(error) = &removed {
            tracing::warn!(event = "segment_not_removed", segment, %error);
        }
        Table::remove(&self.folder, segment);
        removed.is_ok()
    }
}

/// Passes the bytes of each record of a segment to `found`, with its place; returns
/// how many bytes of records there are.
fn scan(
    folder: &Path,
    segment: Segment,
    mut found: impl FnMut(&[u8], Place) -> Option<()>,
) -> io::Result<usize> {
    let bytes = fs::read(path(folder, segment))?;
    let whole = parse(&bytes, |body, at, length| {
        let place = Place {
            segment,
            at: short(at),
            bytes: short(length),
        };
        found(body, place)
    });
    if whole < bytes.len() {
        let bytes = bytes.len();
        tracing::warn!(event = "log_cut", segment, whole, bytes);
    }
    Ok(whole)
}

/// The table of a segment, made and saved if there is none. A segment without
/// records is removed.
fn table(folder: &Path, segment: Segment, saver: &Saver) -> io::Result<Option<Table>> {
    let length = fs::metadata(path(folder, segment))?.len();
    if let Some(table) = Table::load(folder, segment, length) {
        return Ok(Some(table));
    }
    let mut table = Table::default();
    let whole = scan(folder, segment, |body, place| {
        table.add(&Outline::read(body)?, place);
        Some(())
    })?;
    if whole == 0 {
        fs::remove_file(path(folder, segment))?;
        return Ok(None);
    }
    table.sort();
    saver.save(segment, length, table.clone());
    Ok(Some(table))
}

fn read_one(file: &File, place: Place) -> io::Result<Record> {
    let mut bytes = vec![0; place.bytes as usize];
    file.read_exact_at(&mut bytes, place.at.into())?;
    let record = parse_one(&bytes).and_then(decode);
    record.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

/// A length within a segment. One that does not fit is no record's, and what is read
/// there fails its checksum.
fn short(bytes: usize) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

fn create(folder: &Path, segment: Segment) -> io::Result<File> {
    let mut options = OpenOptions::new();
    let file = options
        .create(true)
        .append(true)
        .open(path(folder, segment))?;
    file.sync_all()?;
    sync_folder(folder)?;
    Ok(file)
}
