//! What a keeper writes down beside its records: the mirror, and the use of client
//! accounts.
//!
//! When every process was lost while the platform's service is away, what it
//! last said is on the keepers' disks: without it nothing could be served until
//! the service is back. An old copy is told as such, and gives way to any newer
//! one.
//!
//! The use of accounts is what entries told in the last window. Entries tell it again,
//! but when all were lost too, an account that had used its allowance a moment before
//! could have all of it once more.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log::sync_folder;
use crate::mirror::{Item, Mirror};
use crate::replica::Replica;
use crate::usage::Written;

/// Name of the mirror's file in the data folder.
const MIRROR: &str = "mirror";
/// Name of the file with the use of client accounts.
const USAGE: &str = "usage";
/// Time between two writes of the use of client accounts: what was let through meanwhile
/// is not known after a loss of everything. At its limit an account has a twentieth of
/// its allowance in this time, where windows are 5 s long; it may go a tenth over.
const USAGE_PAUSE: Duration = Duration::from_millis(250);
/// Shortest time between two writes. Servers register one by one when many
/// start, and each write costs two syncs.
const PAUSE: Duration = Duration::from_millis(250);
/// Bytes of the checksum at the front of the file.
const SUM: usize = 4;

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let sum = u32::from_le_bytes(bytes.get(..SUM)?.try_into().ok()?);
    let body = bytes.get(SUM..)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    postcard::from_bytes(body).ok()
}

/// Writes `value` beside the old file and puts it in its place, so that a
/// loss of power leaves one or the other whole.
fn write<T: Serialize>(folder: &Path, name: &str, value: &T) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&encode(value)?)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

/// Reads what was last written; `None` for a file that is missing or not whole.
fn read<T: DeserializeOwned>(folder: &Path, name: &str) -> Option<T> {
    let bytes = match fs::read(folder.join(name)) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::info!(event = "snapshot_not_loaded", name, %error);
            return None;
        }
    };
    let value = decode(&bytes);
    if value.is_none() {
        tracing::warn!(
            event = "snapshot_damaged",
            name,
            bytes = bytes.len(),
            remedy = "none needed; it is made anew"
        );
    }
    value
}

/// Puts what was last written to `folder` into `mirror`, as an old copy. A file
/// that is missing or not whole is an empty one.
pub fn load(mirror: &Mirror, folder: &Path, now: Instant) {
    let Some(items) = read::<Vec<Item>>(folder, MIRROR) else {
        return;
    };
    tracing::info!(event = "mirror_loaded", items = items.len());
    mirror.put(items, now);
}

/// Puts the use of client accounts that was last written to `folder` into `replica`.
pub fn load_usage(replica: &Replica, folder: &Path, now: Instant) {
    let Some(written) = read::<(u32, Vec<Written>)>(folder, USAGE) else {
        return;
    };
    tracing::info!(event = "usage_loaded", rows = written.1.len());
    replica.usage().restore(written, now);
}

/// Writes the use of client accounts to `folder` again and again while there is any,
/// until `stop`.
pub async fn keep_usage(replica: Arc<Replica>, folder: PathBuf, stop: CancellationToken) {
    let mut before = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(USAGE_PAUSE) => {}
            () = stop.cancelled() => return,
        }
        let (part_ms, rows) = replica.usage().written(Instant::now());
        // The last of it has to be seen to be gone.
        if rows.is_empty() && before == 0 {
            continue;
        }
        before = rows.len();
        let target = folder.clone();
        let written =
            tokio::task::spawn_blocking(move || write(&target, USAGE, &(part_ms, rows))).await;
        if let Ok(Err(error)) = written {
            tracing::warn!(event = "usage_not_written", %error,
                remedy = "check the disk; only a loss of everything needs this copy");
        }
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
        let written = tokio::task::spawn_blocking(move || write(&target, MIRROR, &items)).await;
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
