//! The thread that writes.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{mpsc, oneshot, watch};

use super::{HEAD, Outline, Place, SEGMENT_BYTES, Segment, Table, create, short};

/// An encoded record, and where to say where it is kept.
pub(super) struct Wait {
    pub bytes: Vec<u8>,
    pub done: oneshot::Sender<Option<Place>>,
}

pub(super) struct Writer {
    folder: PathBuf,
    file: File,
    bytes: usize,
    active: Arc<AtomicU32>,
    table: Table,
    saver: Saver,
}

impl Writer {
    /// Writes to `file`, the segment that `active` names.
    pub(super) fn new(folder: &Path, file: File, active: Arc<AtomicU32>, saver: Saver) -> Self {
        Self {
            folder: folder.to_owned(),
            file,
            bytes: 0,
            active,
            table: Table::default(),
            saver,
        }
    }

    pub(super) fn run(mut self, mut waiting: mpsc::Receiver<Wait>) {
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
            self.answer(batch, written.as_ref().ok().copied());
            if written.is_err() {
                return;
            }
        }
    }

    /// Tells where each record is, from `at` on; nowhere if the write failed.
    fn answer(&mut self, batch: Vec<Wait>, at: Option<usize>) {
        let mut next = at.unwrap_or_default();
        let segment = self.active.load(Ordering::Acquire);
        for wait in batch {
            let place = Place {
                segment,
                at: short(next),
                bytes: short(wait.bytes.len()),
            };
            next += wait.bytes.len();
            if let Some(outline) = Outline::read(&wait.bytes[HEAD..]) {
                self.table.add(&outline, place);
            }
            // Whoever stopped waiting learns of the record another way.
            let _: Result<(), _> = wait.done.send(at.map(|_| place));
        }
    }

    /// Writes and syncs records; returns where the first begins.
    fn write(&mut self, batch: &[Wait]) -> io::Result<usize> {
        if self.bytes > SEGMENT_BYTES {
            self.rotate()?;
        }
        let bytes: usize = batch.iter().map(|w| w.bytes.len()).sum();
        let mut joined = Vec::with_capacity(bytes);
        for wait in batch {
            joined.extend_from_slice(&wait.bytes);
        }
        self.file.write_all(&joined)?;
        self.file.sync_data()?;
        let at = self.bytes;
        self.bytes += bytes;
        Ok(at)
    }

    fn rotate(&mut self) -> io::Result<()> {
        let ended = self.active.load(Ordering::Acquire);
        let next = ended + 1;
        self.file = create(&self.folder, next)?;
        let length = std::mem::take(&mut self.bytes);
        self.active.store(next, Ordering::Release);
        let mut table = std::mem::take(&mut self.table);
        table.sort();
        self.saver.save(ended, length as u64, table);
        Ok(())
    }
}

/// Saves tables in threads of their own: records do not wait for them, and without one
/// the next start only reads the segment.
#[derive(Clone)]
pub(super) struct Saver {
    folder: PathBuf,
    /// How many were saved.
    saved: watch::Sender<usize>,
}

impl Saver {
    pub(super) fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_owned(),
            saved: watch::Sender::new(0),
        }
    }

    /// Sees each table that is saved from now on.
    pub(super) fn saved(&self) -> watch::Receiver<usize> {
        self.saved.subscribe()
    }

    /// Saves the table of a segment of `length` bytes.
    pub(super) fn save(&self, segment: Segment, length: u64, table: Table) {
        let saver = self.clone();
        let save = move || match table.save(&saver.folder, segment, length) {
            Ok(()) => saver.saved.send_modify(|saved| *saved += 1),
            Err(error) => tracing::warn!(event = "table_not_saved", segment, %error),
        };
        let thread = std::thread::Builder::new().name("turn-table".to_owned());
        if let Err(error) = thread.spawn(save) {
            tracing::warn!(event = "table_not_saved", segment, %error);
        }
    }
}
