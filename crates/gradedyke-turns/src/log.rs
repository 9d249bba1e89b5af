//! Records on a disk: files that are only appended to, in segments.
//!
//! One thread writes. It takes all records that wait, writes them, syncs once
//! and answers them all, so that a sync's cost is shared. A record stands
//! behind its length and checksum. A power loss leaves what was synced, and any
//! part of what was not; reading stops at the first record that is not whole,
//! and the rest is cut off before anything is appended. redb was not taken
//! here: its commits write several pages for each of our small records.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{mpsc, oneshot};

use crate::record::Record;

/// A segment's number; later ones are greater.
pub type Segment = u32;

/// Where a record is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its segment.
    pub segment: Segment,
    /// Where it begins there, in bytes.
    pub at: u64,
    /// Its bytes, with length and checksum.
    pub bytes: u32,
}

/// Bytes after which a new segment is begun. A segment is read whole at the
/// start, so this is also memory that a start takes: a thirtieth of a memory
/// of 120 MB.
const SEGMENT_BYTES: u64 = 4 << 20;
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

/// An encoded record, and where to say where it is kept.
type Wait = (Vec<u8>, oneshot::Sender<Option<Place>>);

/// An open log. Clones share it.
#[derive(Clone)]
pub struct Log {
    queue: mpsc::Sender<Wait>,
    active: Arc<AtomicU32>,
    folder: Arc<Path>,
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

/// Passes each whole record at the start of `bytes` to `found`, with where it
/// begins and its length; returns how long they are together.
fn parse(bytes: &[u8], mut found: impl FnMut(Record, usize, usize)) -> usize {
    let mut at = 0;
    while let Some((record, length)) = parse_one(&bytes[at..]) {
        found(record, at, length);
        at += length;
    }
    at
}

fn parse_one(bytes: &[u8]) -> Option<(Record, usize)> {
    let head = bytes.get(..HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(head[4..].try_into().ok()?);
    if length == 0 || length > RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEAD..HEAD + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEAD + length))
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
    /// Opens the log in `folder`, which must exist, and passes each record in it to
    /// `found`, in the order they were written.
    ///
    /// # Errors
    ///
    /// [`Error::Folder`] when it cannot be read or written.
    ///
    /// ```
    /// let folder = tempfile::tempdir().unwrap();
    /// let mut records = 0;
    /// gradedyke_turns::log::Log::open(folder.path(), |_, _| records += 1).unwrap();
    /// assert_eq!(records, 0);
    /// ```
    pub fn open(folder: &Path, mut found: impl FnMut(&Record, Place)) -> Result<Self, Error> {
        let wrap = |e| Error::Folder(folder.to_owned(), e);
        let numbers = segments(folder).map_err(wrap)?;
        for number in &numbers {
            scan(folder, *number, &mut found).map_err(wrap)?;
        }
        // A new segment is begun at each start, so a torn end is never appended
        // to and nothing has to be cut.
        let next = numbers.last().map_or(1, |n| n + 1);
        let file = create(folder, next).map_err(wrap)?;
        let (queue, waiting) = mpsc::channel(QUEUE);
        let active = Arc::new(AtomicU32::new(next));
        let writer = Writer {
            folder: folder.to_owned(),
            file,
            bytes: 0,
            active: active.clone(),
        };
        std::thread::Builder::new()
            .name("turn-log".to_owned())
            .spawn(move || writer.run(waiting))
            .map_err(wrap)?;
        Ok(Self {
            queue,
            active,
            folder: folder.into(),
        })
    }

    /// The segment that is written now.
    pub fn segment(&self) -> Segment {
        self.active.load(Ordering::Acquire)
    }

    /// Writes a record and returns where it is once it is synced.
    ///
    /// # Errors
    ///
    /// [`Error::Write`]; the record may or may not be kept.
    pub async fn append(&self, record: &Record) -> Result<Place, Error> {
        let (done, synced) = oneshot::channel();
        let wait = (encode(record), done);
        self.queue.send(wait).await.map_err(|_| Error::Write)?;
        match synced.await {
            Ok(Some(place)) => Ok(place),
            _ => Err(Error::Write),
        }
    }

    /// Reads records back. It waits for the disk.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] when one is not there whole.
    pub fn read(&self, places: &[Place]) -> Result<Vec<Record>, Error> {
        let one = |place: &Place| read_one(&self.folder, *place).map_err(Error::Read);
        places.iter().map(one).collect()
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
        removed.is_ok()
    }
}

/// Passes the records of a segment to `found`, and removes it if there are none.
fn scan(folder: &Path, segment: Segment, found: &mut impl FnMut(&Record, Place)) -> io::Result<()> {
    let bytes = fs::read(path(folder, segment))?;
    let whole = parse(&bytes, |record, at, length| {
        let place = Place {
            segment,
            at: at as u64,
            bytes: u32::try_from(length).unwrap_or(u32::MAX),
        };
        found(&record, place);
    });
    if whole < bytes.len() {
        let bytes = bytes.len();
        tracing::warn!(event = "log_cut", segment, whole, bytes);
    }
    if whole == 0 {
        fs::remove_file(path(folder, segment))?;
    }
    Ok(())
}

fn read_one(folder: &Path, place: Place) -> io::Result<Record> {
    let mut file = File::open(path(folder, place.segment))?;
    file.seek(SeekFrom::Start(place.at))?;
    let mut bytes = vec![0; place.bytes as usize];
    file.read_exact(&mut bytes)?;
    let record = parse_one(&bytes).map(|(record, _)| record);
    record.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
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

struct Writer {
    folder: PathBuf,
    file: File,
    bytes: u64,
    active: Arc<AtomicU32>,
}

impl Writer {
    fn run(mut self, mut waiting: mpsc::Receiver<Wait>) {
        while let Some(first) = waiting.blocking_recv() {
            let mut batch = vec![first];
            while let Ok(next) = waiting.try_recv() {
                batch.push(next);
            }
            let written = self.write(&batch);
            if let Err(error) = &written {
                tracing::error!(event = "log_write_failed", %error,
                    remedy = "check the disk and restart the process");
            }
            let mut at = *written.as_ref().unwrap_or(&0);
            let segment = self.active.load(Ordering::Acquire);
            for (record, done) in batch {
                let bytes = u32::try_from(record.len()).unwrap_or(u32::MAX);
                let place = Place { segment, at, bytes };
                at += u64::from(bytes);
                // Whoever stopped waiting learns of the record another way.
                let _: Result<(), _> = done.send(written.is_ok().then_some(place));
            }
            if written.is_err() {
                return;
            }
        }
    }

    /// Writes and syncs records; returns where the first begins.
    fn write(&mut self, batch: &[Wait]) -> io::Result<u64> {
        if self.bytes > SEGMENT_BYTES {
            self.rotate()?;
        }
        let bytes = batch.iter().map(|(b, _)| b.len()).sum();
        let mut joined = Vec::with_capacity(bytes);
        for (record, _) in batch {
            joined.extend_from_slice(record);
        }
        self.file.write_all(&joined)?;
        self.file.sync_data()?;
        let at = self.bytes;
        self.bytes += bytes as u64;
        Ok(at)
    }

    fn rotate(&mut self) -> io::Result<()> {
        let next = self.active.load(Ordering::Acquire) + 1;
        self.file = create(&self.folder, next)?;
        self.bytes = 0;
        self.active.store(next, Ordering::Release);
        Ok(())
    }
}
