//! The index of records: application order, expiry, and the cache of turn bodies.

use std::time::Duration;

use gradedyke_turns::body::Body;
use gradedyke_turns::conversation::Transcript;
use gradedyke_turns::index::{Index, Lookup, MAX_CACHED_BODY_BYTES};
use gradedyke_turns::log::Location;
use gradedyke_turns::record::{Id, Key, Kind, Record, Reserved, Settled, Turn};
use proptest::prelude::*;
use tokio::time::Instant;

const RETENTION_MS: u32 = 60_000;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

fn turn(request: &str, parent: Option<&str>, tokens: u32) -> Record {
    Record::Turn(Turn {
        request: id(request),
        parent: parent.map(id),
        input: format!("in-{request};").into(),
        output: format!("out-{request}\n").into(),
        server: id(&format!("server-of-{request}")),
        program: Some(id("p")),
        tokens,
        keep_ms: RETENTION_MS,
    })
}

fn reserved(request: &str, tokens: u32) -> Record {
    Record::Reserved(Reserved {
        program: id("p"),
        request: id(request),
        tokens,
        keep_ms: RETENTION_MS,
    })
}

fn settled(request: &str, tokens: u32) -> Record {
    Record::Settled(Settled {
        program: id("p"),
        request: id(request),
        tokens,
        keep_ms: RETENTION_MS,
    })
}

/// Records of a completed, an aborted and a pending attempt, and of two more turns.
fn records() -> Vec<Record> {
    vec![
        reserved("a", 10),
        turn("a", None, 4),
        reserved("b", 10),
        settled("b", 2),
        reserved("c", 10),
        turn("d", Some("a"), 1),
        turn("e", Some("d"), 1),
    ]
}

/// Returns a conversation whose turn bodies are all in memory.
fn transcript(index: &mut Index, request: &str) -> Option<Transcript> {
    index.conversation(&id(request))?.transcript(&[])
}

fn location(segment: u32, offset: u32) -> Location {
    Location {
        segment,
        offset,
        len: 10,
    }
}

/// Returns request, tokens and settled state of the program's attempts, sorted.
fn attempts(index: &Index) -> Vec<(String, u32, bool)> {
    let attempts = index.attempts(&id("p")).into_iter();
    let mut attempts: Vec<_> = attempts
        .map(|a| (a.request.to_string(), a.tokens, a.settled))
        .collect();
    attempts.sort();
    attempts
}

proptest! {
    #[test]
    fn application_order_and_duplicates_do_not_matter(
        order in Just(records()).prop_shuffle(),
        repeated in proptest::sample::subsequence(records(), 0..=7),
    ) {
        let mut index = Index::new(MAX_CACHED_BODY_BYTES);
        let now = Instant::now();
        for record in order.iter().chain(&repeated) {
            index.apply(record, 1, now);
        }
        let expected = [
            ("a".to_owned(), 4, true),
            ("b".to_owned(), 2, true),
            ("c".to_owned(), 10, false),
            ("d".to_owned(), 1, true),
            ("e".to_owned(), 1, true),
        ];
        prop_assert_eq!(attempts(&index), expected);
        let transcript = transcript(&mut index, "e").unwrap();
        prop_assert_eq!(&transcript.body[..], b"in-a;out-a\nin-d;out-d\nin-e;out-e\n");
        prop_assert_eq!(transcript.server, id("server-of-e"));
        prop_assert_eq!(index.end_position(), 7);
    }
}

#[test]
fn a_conversation_with_a_missing_turn_is_not_returned() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let now = Instant::now();
    index.apply(&turn("a", None, 1), 1, now);
    index.apply(&turn("c", Some("b"), 1), 1, now);
    assert!(index.has_turn_and_ancestors(&id("a")));
    assert!(!index.has_turn_and_ancestors(&id("c")));
    assert!(transcript(&mut index, "c").is_none());
}

#[test]
fn a_turn_is_retained_as_long_as_its_descendants() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let start = Instant::now();
    index.apply(&turn("a", None, 1), 1, start);
    index.apply(&turn("x", None, 1), 1, start);
    let halfway = start + Duration::from_millis(u64::from(RETENTION_MS) / 2);
    index.apply(&turn("b", Some("a"), 1), 2, halfway);
    let after_first_expiry = start + Duration::from_millis(u64::from(RETENTION_MS) + 6_000);
    index.expire(after_first_expiry);
    assert!(index.has_turn_and_ancestors(&id("b")));
    assert!(!index.has_turn_and_ancestors(&id("x")));
    let empty = index.expire(halfway + Duration::from_millis(u64::from(RETENTION_MS) + 6_000));
    assert!(!index.has_turn_and_ancestors(&id("a")));
    let mut empty: Vec<_> = empty.into_iter().collect();
    empty.sort_unstable();
    assert_eq!(empty, [1, 2]);
}

/// After a restart, the newest records are applied first.
#[test]
fn a_turn_that_is_applied_after_its_descendants_is_retained_as_long() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let start = Instant::now();
    let turn_for = |request: &str, parent: Option<&str>, keep_ms| match turn(request, parent, 1) {
        Record::Turn(turn) => Record::Turn(Turn { keep_ms, ..turn }),
        other => other,
    };
    index.apply(&turn_for("c", Some("b"), RETENTION_MS), 1, start);
    let missing = |index: &Index| index.missing_turns(10).into_iter().map(|key| key.request);
    assert_eq!(missing(&index).collect::<Vec<_>>(), [id("b")]);
    index.apply(&turn_for("a", None, 1_000), 1, start);
    index.apply(&turn_for("b", Some("a"), 1_000), 1, start);
    assert_eq!(missing(&index).count(), 0);
    index.expire(start + Duration::from_millis(RETENTION_MS.into()));
    assert!(index.has_turn_and_ancestors(&id("c")));
    index.expire(start + Duration::from_millis(u64::from(RETENTION_MS) + 6_000));
    assert!(!index.has_turn(&id("a")));
    // What is missing is asked for only as long as it is needed.
    index.apply(&turn_for("e", Some("d"), 1_000), 1, start);
    index.expire(start + Duration::from_secs(10));
    assert_eq!(missing(&index).count(), 0);
}

#[test]
fn a_record_written_again_counts_only_in_its_new_segment() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let start = Instant::now();
    index.apply(&turn("a", None, 1), 1, start);
    let key = Key {
        kind: Kind::Turn,
        request: id("a"),
    };
    index.set_location(&key, location(2, 0));
    // The only record was applied for segment 1 and written to segment 2.
    assert_eq!(index.expire(start), [1]);
}

#[test]
fn keys_since_returns_each_record_once() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let now = Instant::now();
    for record in records() {
        index.apply(&record, 1, now);
    }
    let (first, next) = index.keys_since(0, 3);
    let (remaining, end) = index.keys_since(next, 100);
    assert_eq!(
        (first.len(), remaining.len(), end),
        (3, 4, index.end_position())
    );
    let (empty, unchanged_end) = index.keys_since(end, 100);
    assert_eq!((empty.len(), unchanged_end), (0, end));
    for key in first.iter().chain(&remaining) {
        let Some(Lookup::InMemory(record)) = index.record(key, now) else {
            panic!("record {key:?} is not in memory");
        };
        assert_eq!(record.key(), *key);
    }
}

#[test]
fn the_oldest_stored_bodies_are_evicted_above_the_limit() {
    // Three turns of 11 bytes; two of them are within the limit.
    let mut index = Index::new(30);
    let now = Instant::now();
    let key = |request: &str| turn(request, None, 1).key();
    index.apply(&turn("a", None, 1), 1, now);
    index.set_location(&key("a"), location(1, 100));
    index.apply(&turn("b", Some("a"), 1), 1, now);
    index.apply(&turn("c", Some("b"), 1), 1, now);
    // "b" is not on disk yet, so the oldest stored body, "a", is evicted.
    index.set_location(&key("c"), location(1, 300));
    assert_eq!(index.cached_body_bytes(), 22);
    let conversation = index.conversation(&id("c")).unwrap();
    assert_eq!(conversation.disk_locations(), [location(1, 100)]);
    assert!(conversation.transcript(&[]).is_none());
    assert_eq!(
        index.record(&key("a"), now),
        Some(Lookup::OnDisk(location(1, 100)))
    );
    // Restoring "a" evicts the other stored body, "c".
    let body = Body {
        input: "in-a;".into(),
        output: "out-a\n".into(),
    };
    index.cache_body(&id("a"), body.clone());
    let conversation = index.conversation(&id("c")).unwrap();
    assert_eq!(conversation.disk_locations(), [location(1, 300)]);
    let last = Body {
        input: "in-c;".into(),
        output: "out-c\n".into(),
    };
    let transcript = conversation.transcript(&[last]).unwrap();
    assert_eq!(
        &transcript.body[..],
        b"in-a;out-a\nin-b;out-b\nin-c;out-c\n"
    );
    // The bodies of expired turns are removed.
    index.expire(now + Duration::from_millis(2 * u64::from(RETENTION_MS)));
    assert_eq!(index.cached_body_bytes(), 0);
}

#[test]
fn expired_records_can_be_applied_again() {
    let mut index = Index::new(MAX_CACHED_BODY_BYTES);
    let now = Instant::now();
    for record in records() {
        assert!(index.apply(&record, 1, now));
        assert!(!index.apply(&record, 1, now));
    }
    let end = index.end_position();
    let later = now + Duration::from_millis(2 * u64::from(RETENTION_MS));
    assert_eq!(index.expire(later), [1]);
    assert_eq!(index.turn_and_program_counts(), (0, 0));
    assert!(attempts(&index).is_empty());
    assert_eq!(index.keys_since(0, 100), (Vec::new(), end));
    for record in records() {
        assert!(index.apply(&record, 2, later));
    }
    assert_eq!(index.turn_and_program_counts(), (3, 1));
    assert!(transcript(&mut index, "e").is_some());
    assert_eq!(index.keys_since(end, 100).0.len(), 7);
}
