//! The mirror on a keeper's disk.
//!
//! When every process was lost while the platform's service is away, what it
//! last said is on the keepers' disks: without it nothing could be served until
//! the service is back. An old copy is told as such, and gives way to any newer
//! one.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log::sync_folder;
use crate::mirror::{Item, Mirror};

/// Name of the file in the data folder.
const FILE: &str = "mirror";
/// Shortest time between two writes. Servers register one by one when many
/// start, and each write costs two syncs.
const PAUSE: Duration = Duration::from_millis(250);
/// Bytes of the checksum at the front of the file.
const SUM: usize = 4;

fn encode(items: &[Item]) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(items).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Option<Vec<Item>> {
    let sum = u32::from_le_bytes(bytes.get(..SUM)?.try_into().ok()?);
    let body = bytes.get(SUM..)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    postcard::from_bytes(body).ok()
}

/// Writes `items` beside the old file and puts them in its place, so that a
/// loss of power leaves one or the other whole.
fn write(folder: &Path, items: &[Item]) -> io::Result<()> {
    let temporary = folder.join(format!("{FILE}.new"));
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&encode(items)?)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    sync_folder(folder)
}

/// Puts what was last written to `folder` into `mirror`, as an old copy. A file
/// that is missing or not whole is an empty one.
pub fn load(mirror: &Mirror, folder: &Path, now: Instant) {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::info!(event = "mirror_not_loaded", %error);
            return;
        }
    };
    match decode(&bytes) {
        Some(items) => {
            tracing::info!(event = "mirror_loaded", items = items.len());
            mirror.put(items, now);
        }
        None => tracing::warn!(
            event = "mirror_damaged",
            bytes = bytes.len(),
            remedy = "none needed; the platform's service is asked"
        ),
    }
}

/// Writes `mirror` to `folder` whenever it has changed, until `stop`.
pub async fn keep(mirror: Arc<Mirror>, folder: PathBuf, stop: CancellationToken) {
    let mut changed = mirror.watch();
    loop {
        tokio::select! {
            changed = changed.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = stop.cancelled() => return,
        }
        let items = mirror.items();
        let target = folder.clone();
        let written = tokio::task::spawn_blocking(move || write(&target, &items)).await;
        if let Ok(Err(error)) = written {
            tracing::warn!(event = "mirror_not_written", %error,
                remedy = "check the disk; only a loss of everything needs this copy");
        }
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            () = stop.cancelled() => return,
        }
    }
}
