//! Durability of the log: restarts, torn writes, corruption, segments and their tables.

use std::fs::{self, OpenOptions};
use std::path::Path;

use gradedyke_turns::log::{Error, Location, Log};
use gradedyke_turns::record::{Id, Record, Reserved, Turn};

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

fn reserved(request: &str) -> Record {
    Record::Reserved(Reserved {
        program: id("p"),
        request: id(request),
        tokens: 7,
        keep_ms: 60_000,
    })
}

fn turn(request: &str, bytes: usize) -> Record {
    Record::Turn(Turn {
        request: id(request),
        parent: None,
        input: vec![b'x'; bytes].into(),
        output: "out\n".into(),
        server: id("s"),
        program: None,
        tokens: 3,
        keep_ms: 60_000,
    })
}

fn open(folder: &Path) -> Log {
    Log::open(folder).unwrap().0
}

/// Returns all records in a folder in the order in which they were written.
fn records(folder: &Path) -> Vec<(Record, Location)> {
    let (log, tables) = Log::open(folder).unwrap();
    let segments = tables.into_iter().map(|(segment, _)| segment);
    let records = segments.flat_map(|s| log.read_segment(s).unwrap());
    records.collect()
}

fn request_ids(folder: &Path) -> Vec<String> {
    let records = records(folder).into_iter();
    records.map(|(r, _)| r.key().request.to_string()).collect()
}

/// Returns the path of the largest segment.
fn largest_segment(folder: &Path) -> std::path::PathBuf {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    files
        .filter(|p| p.extension().is_some_and(|e| e == "log"))
        .max_by_key(|p| fs::metadata(p).unwrap().len())
        .unwrap()
}

/// A record over the size limit was written, and then taken for the damaged end of its segment.
#[tokio::test]
async fn oversized_record_is_rejected_and_others_are_stored() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    let small = turn("small", 1);
    log.append(&small).await.unwrap();
    let rejected = log.append(&turn("large", 64 << 20)).await;
    assert!(matches!(rejected, Err(Error::TooLarge(_))));
    let location = log.append(&turn("last", 1)).await.unwrap();
    let segment = log.read_segment(location.segment).unwrap();
    assert_eq!(segment.len(), 2);
}

/// Segments are read as a whole, so one that holds many large records would take all memory.
#[tokio::test]
async fn concurrent_large_records_are_spread_over_segments() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    // The others are queued while the first one is written.
    let mut records = vec![turn("first", 60 << 20)];
    records.extend((0..24).map(|n| turn(&format!("t{n}"), 1 << 20)));
    let appended = futures_util::future::join_all(records.iter().map(|r| log.append(r))).await;
    let locations: Vec<_> = appended.into_iter().map(Result::unwrap).collect();
    let end = |l: &Location| l.offset + l.len;
    let longest = locations[1..].iter().map(end).max().unwrap();
    // A segment of up to 2 MiB and a batch that ends with the record that makes it 2 MiB.
    assert!(longest <= 6 << 20, "a segment has {longest} bytes");
}

#[tokio::test]
async fn appended_records_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    for round in 0..3 {
        let log = open(folder.path());
        log.append(&reserved(&format!("r{round}"))).await.unwrap();
        log.append(&turn(&format!("t{round}"), 100)).await.unwrap();
    }
    let expected = ["r0", "t0", "r1", "t1", "r2", "t2"];
    assert_eq!(request_ids(folder.path()), expected);
}

#[tokio::test]
async fn records_synced_before_a_torn_write_are_read() {
    // What a power loss may leave of unsynced bytes.
    let torn_ends: [&[u8]; 5] = [
        &[],
        &[0; 3],
        &[0; 64],
        &[0xff; 64],
        &[9, 0, 0, 0, 1, 2, 3, 4, 5],
    ];
    for end in torn_ends {
        let folder = tempfile::tempdir().unwrap();
        let log = open(folder.path());
        log.append(&reserved("a")).await.unwrap();
        log.append(&turn("b", 10)).await.unwrap();
        drop(log);
        let mut bytes = fs::read(largest_segment(folder.path())).unwrap();
        bytes.extend_from_slice(end);
        fs::write(largest_segment(folder.path()), bytes).unwrap();
        assert_eq!(request_ids(folder.path()), ["a", "b"], "{end:?}");
        // Records appended after the torn write are found as well.
        let log = open(folder.path());
        log.append(&reserved("c")).await.unwrap();
        drop(log);
        assert_eq!(request_ids(folder.path()), ["a", "b", "c"], "{end:?}");
    }
}

#[tokio::test]
async fn a_record_with_a_changed_byte_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    log.append(&turn("a", 50)).await.unwrap();
    drop(log);
    let file = largest_segment(folder.path());
    let bytes = fs::read(&file).unwrap();
    for offset in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[offset] ^= 0x10;
        fs::write(&file, &changed).unwrap();
        assert_eq!(
            request_ids(folder.path()),
            Vec::<String>::new(),
            "byte {offset}"
        );
        fs::write(&file, &bytes).unwrap();
    }
}

#[tokio::test]
async fn the_active_segment_is_not_removed() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    let first = log.append(&turn("a", 9 << 20)).await.unwrap().segment;
    assert!(!log.remove_segment(first));
    let second = log.append(&turn("b", 10)).await.unwrap().segment;
    assert!(second > first);
    assert!(log.remove_segment(first));
    drop(log);
    assert_eq!(request_ids(folder.path()), ["b"]);
}

#[tokio::test]
async fn opening_an_unusable_folder_fails_with_a_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(&file)
        .unwrap();
    let error = Log::open(&file).err().unwrap().to_string();
    assert!(error.contains("check that it exists"), "{error}");
}

#[tokio::test]
async fn records_are_read_from_their_locations() {
    let folder = tempfile::tempdir().unwrap();
    let mut locations = Vec::new();
    for round in 0..2 {
        let log = open(folder.path());
        let ids = ["a", "b", "c"].map(|n| format!("{n}{round}"));
        let records = ids.each_ref().map(|n| turn(n, 100));
        let appended = records.each_ref().map(|r| log.append(r));
        for (location, record) in futures_util::future::join_all(appended)
            .await
            .into_iter()
            .zip(&records)
        {
            let location = location.unwrap();
            let read = log.read(&[location]).unwrap();
            assert_eq!(read.iter().collect::<Vec<_>>(), [record]);
            locations.push(location);
        }
    }
    // The locations are the same after a restart.
    let found = records(folder.path()).into_iter();
    assert_eq!(found.map(|(_, p)| p).collect::<Vec<_>>(), locations);
    let log = open(folder.path());
    let last = locations[5];
    let misaligned = Location {
        offset: last.offset + 1,
        ..last
    };
    let error = log.read(&[misaligned]).unwrap_err().to_string();
    assert!(error.contains("check the disk"), "{error}");
}

/// Returns the paths of the table files in a folder, sorted.
fn table_paths(folder: &Path) -> Vec<std::path::PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let mut tables: Vec<_> = files
        .filter(|p| p.extension().is_some_and(|e| e == "table"))
        .collect();
    tables.sort();
    tables
}

/// Waits until a log has saved `count` tables in the background.
async fn wait_for_saved_tables(log: Log, count: usize) {
    let mut saved = log.saved_table_count();
    // Pending saves continue without the log. If one fails, the channel is closed and the
    // wait ends.
    drop(log);
    saved.wait_for(|saved| *saved == count).await.unwrap();
}

#[tokio::test]
async fn tables_locate_records_and_invalid_tables_are_rebuilt() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    // Two completed segments and the active one.
    let mut locations = Vec::new();
    for name in ["a", "b", "c"] {
        locations.push(log.append(&turn(name, 3 << 20)).await.unwrap());
    }
    wait_for_saved_tables(log, 2).await;
    let check = |case: &str| {
        let (log, tables) = Log::open(folder.path()).unwrap();
        for (name, location) in ["a", "b", "c"].into_iter().zip(&locations) {
            let found: Vec<Location> = tables
                .iter()
                .flat_map(|(segment, table)| table.find_turn(*segment, &id(name)))
                .collect();
            assert_eq!(found, [*location], "{case}: {name}");
            let record = &log.read(&found).unwrap()[0];
            assert_eq!(record.key().request, id(name), "{case}");
        }
        log
    };
    // The table of the last active segment is built when the log is opened.
    wait_for_saved_tables(check("unchanged"), 1).await;
    let original = fs::read(&table_paths(folder.path())[0]).unwrap();
    let changed = |offset: usize| {
        let mut bytes = original.clone();
        bytes[offset] ^= 1;
        bytes
    };
    let last = original.len() - 1;
    let cases = [
        ("truncated", original[..last].to_vec()),
        ("empty", Vec::new()),
        ("another format", changed(7)),
        ("another segment length", changed(8)),
        ("a changed entry", changed(last)),
    ];
    for (case, bytes) in cases {
        fs::write(&table_paths(folder.path())[0], &bytes).unwrap();
        wait_for_saved_tables(check(case), 1).await;
    }
    fs::remove_file(&table_paths(folder.path())[0]).unwrap();
    wait_for_saved_tables(check("missing"), 1).await;
    assert_eq!(table_paths(folder.path()).len(), 3);
    assert_eq!(fs::read(&table_paths(folder.path())[0]).unwrap(), original);
}
