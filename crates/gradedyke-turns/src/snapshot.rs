//! Snapshots that a replica writes to disk beside its records: the mirror, the usage of client
//! accounts, and the requests under which backend servers ended.
//!
//! If all processes restart while the platform's key-value store is unavailable,
//! requests can be served from the snapshot of the mirror. The loaded items count as
//! unconfirmed, and newer revisions replace them.
//!
//! The usage is what entries reported in the last window. The snapshot is needed only if
//! entries and replicas are lost together: entries that still run report it again.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::crash::{Registry, Report};
use crate::log::sync_folder;
use crate::mirror::{Item, Mirror, Source};
use crate::replica::Replica;
use crate::usage::SavedRow;

/// Name of the mirror's snapshot in the data folder.
const MIRROR_FILE: &str = "mirror";
/// Name of the usage snapshot in the data folder.
const USAGE_FILE: &str = "usage";
/// Name in the data folder of the snapshot of requests under which backend servers ended.
const CRASHES_FILE: &str = "crashes";
/// Pause between two writes of that snapshot. Entries wait for them, and reports that arrive
/// meanwhile are written together.
const CRASHES_WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two writes of the usage snapshot. If all processes are lost, requests admitted
/// since the last write are not counted. With windows of 5 s an account at its limit uses a
/// twentieth of its allowance in this time; it may exceed it by a tenth.
const USAGE_WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two writes of the mirror's snapshot, which limits the number of disk
/// syncs when many keys change one after the other.
const MIRROR_WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Length of the checksum at the start of a snapshot, in bytes.
const CHECKSUM_BYTES: usize = 4;

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let checksum = u32::from_le_bytes(bytes.get(..CHECKSUM_BYTES)?.try_into().ok()?);
    let body = bytes.get(CHECKSUM_BYTES..)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    postcard::from_bytes(body).ok()
}

/// Replaces the snapshot `name` atomically, so that a power loss leaves either the old
/// or the new one.
fn write<T: Serialize>(folder: &Path, name: &str, value: &T) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = fs::File::create(&temporary)?;
    file.write_all(&encode(value)?)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

/// Reads the snapshot `name`; `None` if it is missing or damaged.
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
            remedy = "none needed; it will be rewritten"
        );
    }
    value
}

/// Loads the snapshot in `folder` into `mirror`, as items that the platform has not confirmed.
/// Does nothing if the snapshot is missing or damaged.
pub fn load_mirror(mirror: &Mirror, folder: &Path, now: Instant) {
    let Some(items) = read::<Vec<Item>>(folder, MIRROR_FILE) else {
        return;
    };
    tracing::info!(event = "mirror_loaded", items = items.len());
    mirror.apply(items, now);
    mirror.record_source(Source::Disk, now);
}

/// Loads the usage snapshot in `folder` into `replica`. Does nothing if it is missing or
/// damaged.
pub fn load_usage(replica: &Replica, folder: &Path, now: Instant) {
    let Some(snapshot) = read::<(u32, Vec<SavedRow>)>(folder, USAGE_FILE) else {
        return;
    };
    tracing::info!(event = "usage_loaded", rows = snapshot.1.len());
    replica.usage_reports().restore(snapshot, now);
}

/// Writes the usage of client accounts to `folder` at an interval while there is any,
/// until `stop` is cancelled.
pub async fn save_usage_periodically(
    replica: Arc<Replica>,
    folder: PathBuf,
    stop: CancellationToken,
) {
    let mut previous_rows = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(USAGE_WRITE_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let (part_ms, rows) = replica.usage_reports().export(Instant::now());
        // After the last usage expires, an empty snapshot is written once.
        if rows.is_empty() && previous_rows == 0 {
            continue;
        }
        previous_rows = rows.len();
        let target = folder.clone();
        let result =
            tokio::task::spawn_blocking(move || write(&target, USAGE_FILE, &(part_ms, rows))).await;
        if let Ok(Err(error)) = result {
            tracing::warn!(event = "usage_not_written", %error,
                remedy = "check the disk; the copy is needed only if all processes are lost");
        }
    }
}

/// A snapshot that is written whenever its contents have changed.
struct Target {
    folder: PathBuf,
    /// Name of the file.
    name: &'static str,
    /// Pause after a write.
    interval: Duration,
    /// Name of the log event of a failed write.
    failure: &'static str,
}

impl Target {
    /// Writes what `export` returns whenever `changed` tells of a change, until `stop` is
    /// cancelled. Calls `written` with the number of the last change that was written.
    async fn write_on_change<T: Serialize + Send + 'static>(
        self,
        mut changed: watch::Receiver<u64>,
        export: impl Fn() -> T,
        written: impl Fn(u64),
        stop: CancellationToken,
    ) {
        loop {
            tokio::select! {
                changed = changed.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = stop.cancelled() => return,
            }
            let change = *changed.borrow_and_update();
            let (value, folder, name) = (export(), self.folder.clone(), self.name);
            let result = tokio::task::spawn_blocking(move || write(&folder, name, &value)).await;
            match result {
                Ok(Err(error)) => tracing::warn!(event = self.failure, %error,
                    remedy = "check the disk; the copy is needed only if all processes are lost"),
                _ => written(change),
            }
            tokio::select! {
                () = tokio::time::sleep(self.interval) => {}
                () = stop.cancelled() => return,
            }
        }
    }
}

/// Writes `mirror` to `folder` whenever it has changed, until `stop` is cancelled.
pub async fn save_mirror_on_change(mirror: Arc<Mirror>, folder: PathBuf, stop: CancellationToken) {
    let target = Target {
        folder,
        name: MIRROR_FILE,
        interval: MIRROR_WRITE_INTERVAL,
        failure: "mirror_not_written",
    };
    let changed = mirror.subscribe();
    let export = || mirror.items();
    target.write_on_change(changed, export, |_| {}, stop).await;
}

/// Loads the requests under which backend servers ended from `folder` into `crashes`. Does nothing
/// if the snapshot is missing or damaged.
pub fn load_crashes(crashes: &Registry, folder: &Path, now: Instant) {
    let Some(reports) = read::<Vec<Report>>(folder, CRASHES_FILE) else {
        return;
    };
    tracing::info!(event = "crashes_loaded", requests = reports.len());
    crashes.merge(&reports, now);
}

/// Writes `crashes` to `folder` whenever it has changed, until `stop` is cancelled.
pub async fn save_crashes_on_change(
    crashes: Arc<Registry>,
    folder: PathBuf,
    stop: CancellationToken,
) {
    let target = Target {
        folder,
        name: CRASHES_FILE,
        interval: CRASHES_WRITE_INTERVAL,
        failure: "crashes_not_written",
    };
    let export = || {
        let now = Instant::now();
        crashes.remove_expired(now);
        crashes.changed_since(0, usize::MAX, now).0
    };
    let changed = crashes.subscribe();
    let written = |change| crashes.set_saved(change);
    target.write_on_change(changed, export, written, stop).await;
}
