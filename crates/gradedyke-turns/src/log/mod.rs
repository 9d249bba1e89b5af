//! Append-only log of records on disk, split into segment files.
//!
//! A single thread writes. It takes all queued records, writes them, syncs once and
//! replies to all callers (group commit). Each record is preceded by its length and
//! checksum. A power loss may leave a partial record at the end of a segment; reading
//! stops at the first incomplete or corrupt record. Each time the log is opened, a new
//! segment begins, so nothing is appended after such a record.
//!
//! Each segment that is no longer written has a [`Table`] file with the locations of
//! its records, so that opening the log reads only the tables and the last segment. A missing
//! or corrupt table is rebuilt from its segment.

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

pub use self::outline::RecordIds;
pub use self::table::Table;
use self::writer::{PendingWrite, TableSaver, Writer};
use crate::record::Record;

/// A segment number. Newer segments have greater numbers.
pub type Segment = u32;

/// Location of a record on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Segment that contains the record.
    pub segment: Segment,
    /// Offset of the record's header in the segment, in bytes.
    pub offset: u32,
    /// Length of the record with its header, in bytes.
    pub len: u32,
}

/// Size in bytes above which a new segment is started. The last segment is read completely at a
/// start, in 17 ms from a disk of 120 MB/s; smaller segments would make more files to search.
const SEGMENT_ROTATION_BYTES: usize = 2 << 20;
/// Maximum number of records queued for the writer thread.
const WRITE_QUEUE_LEN: usize = 4_096;
/// Size of a record's header, its length and checksum, in bytes.
const RECORD_HEADER_BYTES: usize = 8;
/// Maximum length of a record body in bytes. A longer record is not written, and a greater length
/// on disk is treated as corruption.
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Errors of the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The data folder cannot be read or written.
    #[error("cannot use data folder {0} ({1}); check that it exists and has free space")]
    Folder(PathBuf, io::Error),
    /// A record cannot be read.
    #[error("cannot read a record from the log ({0}); check the disk; other replicas have copies")]
    Read(io::Error),
    /// The record has this size, which is too large; it was not written.
    #[error("a record of {0} bytes is too large to be stored; store less in one turn")]
    TooLarge(usize),
    /// A write failed. What is on disk is unknown until the process is restarted.
    #[error("cannot write to the log; no more records are stored until the process is restarted")]
    Write,
}

/// Handle to an open log. Clones share the log.
#[derive(Clone)]
pub struct Log {
    queue: mpsc::Sender<PendingWrite>,
    active_segment: Arc<AtomicU32>,
    folder: Arc<Path>,
    saved_table_count: watch::Receiver<usize>,
}

fn segment_path(folder: &Path, segment: Segment) -> PathBuf {
    folder.join(format!("turns-{segment:08}.log"))
}

/// Lists the segments in `folder`, oldest first.
fn list_segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let name = name.to_string_lossy();
        let number = name
            .strip_prefix("turns-")
            .and_then(|n| n.strip_suffix(".log"));
        segments.extend(number.and_then(|n| n.parse::<Segment>().ok()));
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Syncs a directory, so that files created or renamed in it survive a power loss.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Calls `visit` for each complete record from the start of `bytes` on, with the
/// record's body, its offset and its length with the header. Stops at the first record
/// that is incomplete or corrupt, or for which `visit` returns `None`. Returns the
/// offset at which it stopped.
fn parse_records(bytes: &[u8], mut visit: impl FnMut(&[u8], usize, usize) -> Option<()>) -> usize {
    let mut offset = 0;
    while let Some(body) = parse_record(&bytes[offset..]) {
        let len = RECORD_HEADER_BYTES + body.len();
        if visit(body, offset, len).is_none() {
            break;
        }
        offset += len;
    }
    offset
}

/// Returns the body of the record at the start of `bytes`, or `None` if the record is
/// incomplete or corrupt.
fn parse_record(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..RECORD_HEADER_BYTES)?;
    let len = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if len == 0 || len > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + len)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}

fn decode_record(body: &[u8]) -> Option<Record> {
    postcard::from_bytes(body).ok()
}

/// Encodes a record with its header.
fn encode_record(record: &Record) -> Vec<u8> {
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let len = u32::try_from(body.len()).unwrap_or_default();
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + body.len());
    bytes.extend_from_slice(&len.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

impl Log {
    /// Opens the log in `folder`, which must exist. Returns the log and the tables of its
    /// segments, oldest first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Folder`] if the folder cannot be read or written.
    ///
    /// ```
    /// let folder = tempfile::tempdir().unwrap();
    /// let (_, tables) = gradedyke_turns::log::Log::open(folder.path()).unwrap();
    /// assert!(tables.is_empty());
    /// ```
    pub fn open(folder: &Path) -> Result<(Self, Vec<(Segment, Table)>), Error> {
        let folder_error = |e| Error::Folder(folder.to_owned(), e);
        let segments = list_segments(folder).map_err(folder_error)?;
        // Opening the log begins a new segment, so nothing is appended after a partial
        // record and nothing has to be truncated.
        let next = segments.last().map_or(1, |n| n + 1);
        let saver = TableSaver::new(folder);
        let mut tables = Vec::new();
        for segment in segments {
            let table = load_or_build_table(folder, segment, &saver).map_err(folder_error)?;
            tables.extend(table.map(|t| (segment, t)));
        }
        let file = create_segment(folder, next).map_err(folder_error)?;
        let (queue, pending) = mpsc::channel(WRITE_QUEUE_LEN);
        let active_segment = Arc::new(AtomicU32::new(next));
        let saved_table_count = saver.saved_count();
        let writer = Writer::new(folder, file, active_segment.clone(), saver);
        std::thread::Builder::new()
            .name("turn-log".to_owned())
            .spawn(move || writer.run(pending))
            .map_err(folder_error)?;
        let log = Self {
            queue,
            active_segment,
            folder: folder.into(),
            saved_table_count,
        };
        Ok((log, tables))
    }

    /// Returns the number of the segment that is being written.
    pub fn active_segment(&self) -> Segment {
        self.active_segment.load(Ordering::Acquire)
    }

    /// Returns a receiver for the number of tables saved since the log was opened. Tables
    /// are saved in the background, possibly after the first record of the next segment.
    pub fn saved_table_count(&self) -> watch::Receiver<usize> {
        self.saved_table_count.clone()
    }

    /// Appends a record and returns its location once it has been synced to disk.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the record is too large, or [`Error::Write`] if the write
    /// failed. After the latter the record may or may not be on disk.
    pub async fn append(&self, record: &Record) -> Result<Location, Error> {
        let (reply, synced) = oneshot::channel();
        let bytes = encode_record(record);
        if bytes.len() > RECORD_HEADER_BYTES + MAX_RECORD_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let write = PendingWrite { bytes, reply };
        self.queue.send(write).await.map_err(|_| Error::Write)?;
        match synced.await {
            Ok(Some(location)) => Ok(location),
            _ => Err(Error::Write),
        }
    }

    /// Reads the records at `locations`. Blocks on disk I/O. Opens a segment once for
    /// consecutive locations in it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if a record is missing, incomplete or corrupt.
    pub fn read(&self, locations: &[Location]) -> Result<Vec<Record>, Error> {
        let mut records = Vec::with_capacity(locations.len());
        for chunk in locations.chunk_by(|a, b| a.segment == b.segment) {
            let path = segment_path(&self.folder, chunk[0].segment);
            let file = File::open(path).map_err(Error::Read)?;
            for location in chunk {
                records.push(read_record(&file, *location).map_err(Error::Read)?);
            }
        }
        Ok(records)
    }

    /// Reads all records of a segment in the order in which they were written. Blocks on
    /// disk I/O.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if the segment cannot be read.
    pub fn read_segment(&self, segment: Segment) -> Result<Vec<(Record, Location)>, Error> {
        let mut records = Vec::new();
        scan_segment(&self.folder, segment, |body, location| {
            records.push((decode_record(body)?, location));
            Some(())
        })
        .map_err(Error::Read)?;
        Ok(records)
    }

    /// Removes a segment and its table from disk, unless the segment is being written.
    /// Returns whether the segment was removed.
    pub fn remove_segment(&self, segment: Segment) -> bool {
        if segment >= self.active_segment() {
            return false;
        }
        let removed = fs::remove_file(segment_path(&self.folder, segment));
        if let Err(error) = &removed {
            tracing::warn!(event = "segment_not_removed", segment, %error);
        }
        Table::remove(&self.folder, segment);
        removed.is_ok()
    }
}

/// Calls `visit` with the body and the location of each record of a segment, as
/// [`parse_records`] does. Returns the length of the records in bytes.
fn scan_segment(
    folder: &Path,
    segment: Segment,
    mut visit: impl FnMut(&[u8], Location) -> Option<()>,
) -> io::Result<usize> {
    let bytes = fs::read(segment_path(folder, segment))?;
    let whole = parse_records(&bytes, |body, offset, len| {
        let location = Location {
            segment,
            offset: saturating_u32(offset),
            len: saturating_u32(len),
        };
        visit(body, location)
    });
    if whole < bytes.len() {
        let bytes = bytes.len();
        tracing::warn!(event = "log_cut", segment, whole, bytes);
    }
    Ok(whole)
}

/// Loads the table of a segment, or builds and saves it if there is no valid one.
/// Removes the segment and returns `None` if it has no records.
fn load_or_build_table(
    folder: &Path,
    segment: Segment,
    saver: &TableSaver,
) -> io::Result<Option<Table>> {
    let segment_len = fs::metadata(segment_path(folder, segment))?.len();
    if let Some(table) = Table::load(folder, segment, segment_len) {
        return Ok(Some(table));
    }
    let mut table = Table::default();
    let valid_bytes = scan_segment(folder, segment, |body, location| {
        table.insert(&RecordIds::decode(body)?, location);
        Some(())
    })?;
    if valid_bytes == 0 {
        fs::remove_file(segment_path(folder, segment))?;
        return Ok(None);
    }
    table.sort();
    saver.save(segment, segment_len, table.clone());
    Ok(Some(table))
}

fn read_record(file: &File, location: Location) -> io::Result<Record> {
    let mut bytes = vec![0; location.len as usize];
    file.read_exact_at(&mut bytes, location.offset.into())?;
    let record = parse_record(&bytes).and_then(decode_record);
    record.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

/// Converts an offset or length within a segment. Segments are far smaller than 4 GiB;
/// a value that does not fit becomes `u32::MAX`, and reading there fails.
fn saturating_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn create_segment(folder: &Path, segment: Segment) -> io::Result<File> {
    let mut options = OpenOptions::new();
    let file = options
        .create(true)
        .append(true)
        .open(segment_path(folder, segment))?;
    file.sync_all()?;
    sync_folder(folder)?;
    Ok(file)
}
