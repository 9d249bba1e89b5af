//! The thread that writes the log.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{mpsc, oneshot, watch};

use super::{
    Location, RECORD_HEADER_BYTES, RecordIds, SEGMENT_ROTATION_BYTES, Segment, Table,
    create_segment, saturating_u32,
};

/// Maximum size of the buffer in which the records of a batch are joined. Larger records are
/// written without a copy.
const MAX_BUFFER_BYTES: usize = 256 << 10;

/// Size of a batch from which no further record is added. A batch is in one segment, and
/// segments are read as a whole.
const MAX_BATCH_BYTES: usize = 2 << 20;

/// A record to be written.
pub(super) struct PendingWrite {
    /// The encoded record with its header.
    pub bytes: Vec<u8>,
    /// Receives the record's location, or `None` if the write failed.
    pub reply: oneshot::Sender<Option<Location>>,
}

/// Writes records to the active segment and starts new segments.
pub(super) struct Writer {
    folder: PathBuf,
    file: File,
    /// Length of the active segment in bytes.
    segment_bytes: usize,
    active_segment: Arc<AtomicU32>,
    /// Table of the active segment.
    table: Table,
    saver: TableSaver,
}

impl Writer {
    /// Creates a writer that appends to `file`, which is the segment `active_segment`.
    pub(super) fn new(
        folder: &Path,
        file: File,
        active_segment: Arc<AtomicU32>,
        saver: TableSaver,
    ) -> Self {
        Self {
            folder: folder.to_owned(),
            file,
            segment_bytes: 0,
            active_segment,
            table: Table::default(),
            saver,
        }
    }

    /// Writes records in batches until the channel is closed or a write fails.
    pub(super) fn run(mut self, mut pending: mpsc::Receiver<PendingWrite>) {
        while let Some(first) = pending.blocking_recv() {
            let mut batch_bytes = first.bytes.len();
            let mut batch = vec![first];
            while batch_bytes < MAX_BATCH_BYTES
                && let Ok(next) = pending.try_recv()
            {
                batch_bytes += next.bytes.len();
                batch.push(next);
            }
            let written = self.write_batch(&batch);
            if let Err(error) = &written {
                tracing::error!(event = "log_write_failed", %error,
                    remedy = "check the disk and restart the process");
            }
            self.reply(batch, written.as_ref().ok().copied());
            if written.is_err() {
                return;
            }
        }
    }

    /// Replies to the callers of a batch that was written at `first_offset`, and adds its records
    /// to the table. `first_offset` is `None` if the write failed; the callers then get `None`.
    fn reply(&mut self, batch: Vec<PendingWrite>, first_offset: Option<usize>) {
        let mut next_offset = first_offset.unwrap_or_default();
        let segment = self.active_segment.load(Ordering::Acquire);
        for write in batch {
            let location = Location {
                segment,
                offset: saturating_u32(next_offset),
                len: saturating_u32(write.bytes.len()),
            };
            next_offset += write.bytes.len();
            if let Some(outline) = RecordIds::decode(&write.bytes[RECORD_HEADER_BYTES..]) {
                self.table.insert(&outline, location);
            }
            // Sending fails if the caller is no longer waiting for the reply.
            let _: Result<(), _> = write.reply.send(first_offset.map(|_| location));
        }
    }

    /// Writes and syncs a batch of records. Returns the offset of the first one.
    fn write_batch(&mut self, batch: &[PendingWrite]) -> io::Result<usize> {
        if self.segment_bytes > SEGMENT_ROTATION_BYTES {
            self.rotate()?;
        }
        let batch_bytes: usize = batch.iter().map(|w| w.bytes.len()).sum();
        let mut writer = BufWriter::with_capacity(batch_bytes.min(MAX_BUFFER_BYTES), &self.file);
        for write in batch {
            writer.write_all(&write.bytes)?;
        }
        writer.flush()?;
        drop(writer);
        self.file.sync_data()?;
        let first_offset = self.segment_bytes;
        self.segment_bytes += batch_bytes;
        Ok(first_offset)
    }

    /// Starts a new segment and saves the table of the previous one.
    fn rotate(&mut self) -> io::Result<()> {
        let previous = self.active_segment.load(Ordering::Acquire);
        let next = previous + 1;
        self.file = create_segment(&self.folder, next)?;
        let segment_len = std::mem::take(&mut self.segment_bytes);
        self.active_segment.store(next, Ordering::Release);
        let mut table = std::mem::take(&mut self.table);
        table.sort();
        self.saver.save(previous, segment_len as u64, table);
        Ok(())
    }
}

/// Saves tables in background threads, so that writes don't wait for them. A missing
/// table only makes the next start read the whole segment.
#[derive(Clone)]
pub(super) struct TableSaver {
    folder: PathBuf,
    /// Number of tables saved.
    saved_count: watch::Sender<usize>,
}

impl TableSaver {
    pub(super) fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            saved_count: watch::Sender::new(0),
        }
    }

    /// Returns a receiver for the number of tables saved.
    pub(super) fn saved_count(&self) -> watch::Receiver<usize> {
        self.saved_count.subscribe()
    }

    /// Saves the table of a segment of `segment_len` bytes in the background.
    pub(super) fn save(&self, segment: Segment, segment_len: u64, table: Table) {
        let saver = self.clone();
        let save = move || match table.save(&saver.folder, segment, segment_len) {
            Ok(()) => saver.saved_count.send_modify(|count| *count += 1),
            Err(error) => tracing::warn!(event = "table_not_saved", segment, %error),
        };
        let thread = std::thread::Builder::new().name("turn-table".to_owned());
        if let Err(error) = thread.spawn(save) {
            tracing::warn!(event = "table_not_saved", segment, %error);
        }
    }
}
