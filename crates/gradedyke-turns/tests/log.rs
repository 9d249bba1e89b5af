//! What a log keeps through crashes, torn writes and its own segments.

use std::fs::{self, OpenOptions};
use std::path::Path;

use gradedyke_turns::log::{Log, Place};
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

/// All records in a folder, in the order they were written.
fn records(folder: &Path) -> Vec<(Record, Place)> {
    let (log, tables) = Log::open(folder).unwrap();
    let segments = tables.into_iter().map(|(segment, _)| segment);
    let records = segments.flat_map(|s| log.records(s).unwrap());
    records.collect()
}

fn names(folder: &Path) -> Vec<String> {
    let records = records(folder).into_iter();
    records.map(|(r, _)| r.key().request.to_string()).collect()
}

/// The segment with the most bytes.
fn fullest(folder: &Path) -> std::path::PathBuf {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    files
        .filter(|p| p.extension().is_some_and(|e| e == "log"))
        .max_by_key(|p| fs::metadata(p).unwrap().len())
        .unwrap()
}

#[tokio::test]
async fn what_was_appended_is_there_after_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    for round in 0..3 {
        let log = open(folder.path());
        log.append(&reserved(&format!("r{round}"))).await.unwrap();
        log.append(&turn(&format!("t{round}"), 100)).await.unwrap();
    }
    let expected = ["r0", "t0", "r1", "t1", "r2", "t2"];
    assert_eq!(names(folder.path()), expected);
}

#[tokio::test]
async fn a_torn_end_hides_nothing_that_was_synced() {
    // What a power loss leaves of bytes that were not synced.
    let torn: [&[u8]; 5] = [
        &[],
        &[0; 3],
        &[0; 64],
        &[0xff; 64],
        &[9, 0, 0, 0, 1, 2, 3, 4, 5],
    ];
    for end in torn {
        let folder = tempfile::tempdir().unwrap();
        let log = open(folder.path());
        log.append(&reserved("a")).await.unwrap();
        log.append(&turn("b", 10)).await.unwrap();
        drop(log);
        let mut bytes = fs::read(fullest(folder.path())).unwrap();
        bytes.extend_from_slice(end);
        fs::write(fullest(folder.path()), bytes).unwrap();
        assert_eq!(names(folder.path()), ["a", "b"], "{end:?}");
        // What is appended after the torn end is found as well.
        let log = open(folder.path());
        log.append(&reserved("c")).await.unwrap();
        drop(log);
        assert_eq!(names(folder.path()), ["a", "b", "c"], "{end:?}");
    }
}

#[tokio::test]
async fn a_changed_byte_is_never_taken_for_a_record() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    log.append(&turn("a", 50)).await.unwrap();
    drop(log);
    let file = fullest(folder.path());
    let bytes = fs::read(&file).unwrap();
    for place in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[place] ^= 0x10;
        fs::write(&file, &changed).unwrap();
        assert_eq!(names(folder.path()), Vec::<String>::new(), "byte {place}");
        fs::write(&file, &bytes).unwrap();
    }
}

#[tokio::test]
async fn only_segments_that_are_no_longer_written_are_removed() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    let first = log.append(&turn("a", 9 << 20)).await.unwrap().segment;
    assert!(!log.remove(first));
    let second = log.append(&turn("b", 10)).await.unwrap().segment;
    assert!(second > first);
    assert!(log.remove(first));
    drop(log);
    assert_eq!(names(folder.path()), ["b"]);
}

#[tokio::test]
async fn a_folder_that_cannot_be_used_is_an_error_with_a_remedy() {
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
async fn records_are_read_back_from_where_they_were_put() {
    let folder = tempfile::tempdir().unwrap();
    let mut places = Vec::new();
    for round in 0..2 {
        let log = open(folder.path());
        let names = ["a", "b", "c"].map(|n| format!("{n}{round}"));
        let records = names.each_ref().map(|n| turn(n, 100));
        let appended = records.each_ref().map(|r| log.append(r));
        for (place, record) in futures_util::future::join_all(appended)
            .await
            .into_iter()
            .zip(&records)
        {
            let place = place.unwrap();
            let read = log.read(&[place]).unwrap();
            assert_eq!(read.iter().collect::<Vec<_>>(), [record]);
            places.push(place);
        }
    }
    // They stand in the same places after a restart.
    let found = records(folder.path()).into_iter();
    assert_eq!(found.map(|(_, p)| p).collect::<Vec<_>>(), places);
    let log = open(folder.path());
    let last = places[5];
    let beyond = Place {
        at: last.at + 1,
        ..last
    };
    let error = log.read(&[beyond]).unwrap_err().to_string();
    assert!(error.contains("check the disk"), "{error}");
}

/// Files of tables in a folder.
fn tables(folder: &Path) -> Vec<std::path::PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let mut tables: Vec<_> = files
        .filter(|p| p.extension().is_some_and(|e| e == "table"))
        .collect();
    tables.sort();
    tables
}

/// Waits until a log has saved so many tables, which it does beside the records.
async fn until_saved(log: Log, count: usize) {
    let mut saved = log.saved();
    // What it still saves goes on, and a table that cannot be saved ends the wait.
    drop(log);
    saved.wait_for(|saved| *saved == count).await.unwrap();
}

#[tokio::test]
async fn tables_tell_where_records_are_and_are_made_anew_where_they_cannot_be_used() {
    let folder = tempfile::tempdir().unwrap();
    let log = open(folder.path());
    // Two segments that have ended, and one that was being written.
    let mut places = Vec::new();
    for name in ["a", "b", "c"] {
        places.push(log.append(&turn(name, 3 << 20)).await.unwrap());
    }
    until_saved(log, 2).await;
    let check = |what: &str| {
        let (log, tables) = Log::open(folder.path()).unwrap();
        for (name, place) in ["a", "b", "c"].into_iter().zip(&places) {
            let found: Vec<Place> = tables
                .iter()
                .flat_map(|(segment, table)| table.turn(*segment, &id(name)))
                .collect();
            assert_eq!(found, [*place], "{what}: {name}");
            let record = &log.read(&found).unwrap()[0];
            assert_eq!(record.key().request, id(name), "{what}");
        }
        log
    };
    // That of the segment that was being written is made at the start.
    until_saved(check("as they are"), 1).await;
    let whole = fs::read(&tables(folder.path())[0]).unwrap();
    let changed = |at: usize| {
        let mut bytes = whole.clone();
        bytes[at] ^= 1;
        bytes
    };
    let last = whole.len() - 1;
    let cases = [
        ("cut", whole[..last].to_vec()),
        ("empty", Vec::new()),
        ("another layout", changed(7)),
        ("of other bytes", changed(8)),
        ("a changed entry", changed(last)),
    ];
    for (what, bytes) in cases {
        fs::write(&tables(folder.path())[0], &bytes).unwrap();
        until_saved(check(what), 1).await;
    }
    fs::remove_file(&tables(folder.path())[0]).unwrap();
    until_saved(check("missing"), 1).await;
    assert_eq!(tables(folder.path()).len(), 3);
    assert_eq!(fs::read(&tables(folder.path())[0]).unwrap(), whole);
}
