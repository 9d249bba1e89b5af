//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Arc::new(Self {
            started: Instant::now(),
            file,
        }))
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.seconds());
        print!("{line}");
        // A record that cannot be written shows in the missing lines.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Longest text that is written in full, in bytes.
const MAX_TEXT_BYTES: usize = 400;

/// A text as it stands in the record: quoted, and with its length if it is long.
pub fn quoted(text: &str) -> String {
    match text.get(..MAX_TEXT_BYTES / 8) {
        Some(start) if text.len() > MAX_TEXT_BYTES => {
            format!("{start:?}... of {} bytes", text.len())
        }
        _ => format!("{text:?}"),
    }
}
