//! What follows from records, in whatever order they come.

use std::time::Duration;

use gradedyke_turns::body::Body;
use gradedyke_turns::conversation::Chain;
use gradedyke_turns::index::{Answer, BODIES, Index};
use gradedyke_turns::log::Place;
use gradedyke_turns::record::{Id, Key, Kind, Record, Reserved, Settled, Turn};
use proptest::prelude::*;
use tokio::time::Instant;

const KEEP_MS: u32 = 60_000;

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
        keep_ms: KEEP_MS,
    })
}

fn reserved(request: &str, tokens: u32) -> Record {
    Record::Reserved(Reserved {
        program: id("p"),
        request: id(request),
        tokens,
        keep_ms: KEEP_MS,
    })
}

fn settled(request: &str, tokens: u32) -> Record {
    Record::Settled(Settled {
        program: id("p"),
        request: id(request),
        tokens,
        keep_ms: KEEP_MS,
    })
}

/// Three attempts: one that ended whole, one that broke off, one still open.
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

/// A conversation that is in memory.
fn chain(index: &mut Index, request: &str) -> Option<Chain> {
    index.conversation(&id(request))?.chain(&[])
}

fn place(segment: u32, at: u32) -> Place {
    Place {
        segment,
        at,
        bytes: 10,
    }
}

fn used(index: &Index) -> Vec<(String, u32, bool)> {
    let attempts = index.attempts(&id("p")).into_iter();
    let mut used: Vec<_> = attempts
        .map(|a| (a.request.to_string(), a.tokens, a.settled))
        .collect();
    used.sort();
    used
}

proptest! {
    #[test]
    fn the_order_of_records_does_not_matter(
        order in Just(records()).prop_shuffle(),
        again in proptest::sample::subsequence(records(), 0..=7),
    ) {
        let mut index = Index::new(BODIES);
        let now = Instant::now();
        for record in order.iter().chain(&again) {
            index.apply(record, 1, now);
        }
        let expected = [
            ("a".to_owned(), 4, true),
            ("b".to_owned(), 2, true),
            ("c".to_owned(), 10, false),
            ("d".to_owned(), 1, true),
            ("e".to_owned(), 1, true),
        ];
        prop_assert_eq!(used(&index), expected);
        let chain = chain(&mut index, "e").unwrap();
        prop_assert_eq!(&chain.body[..], b"in-a;out-a\nin-d;out-d\nin-e;out-e\n");
        prop_assert_eq!(chain.server, id("server-of-e"));
        prop_assert_eq!(index.end(), 7);
    }
}

#[test]
fn a_conversation_with_a_missing_turn_is_not_told() {
    let mut index = Index::new(BODIES);
    let now = Instant::now();
    index.apply(&turn("a", None, 1), 1, now);
    index.apply(&turn("c", Some("b"), 1), 1, now);
    assert!(index.has_chain(&id("a")));
    assert!(!index.has_chain(&id("c")));
    assert!(chain(&mut index, "c").is_none());
}

#[test]
fn a_turn_lives_as_long_as_those_that_continue_it() {
    let mut index = Index::new(BODIES);
    let start = Instant::now();
    index.apply(&turn("a", None, 1), 1, start);
    index.apply(&turn("x", None, 1), 1, start);
    let half = start + Duration::from_millis(u64::from(KEEP_MS) / 2);
    index.apply(&turn("b", Some("a"), 1), 2, half);
    let after = start + Duration::from_millis(u64::from(KEEP_MS) + 6_000);
    index.expire(after);
    assert!(index.has_chain(&id("b")));
    assert!(!index.has_chain(&id("x")));
    let empty = index.expire(half + Duration::from_millis(u64::from(KEEP_MS) + 6_000));
    assert!(!index.has_chain(&id("a")));
    let mut empty: Vec<_> = empty.into_iter().collect();
    empty.sort_unstable();
    assert_eq!(empty, [1, 2]);
}

#[test]
fn a_segment_holds_what_was_placed_in_it() {
    let mut index = Index::new(BODIES);
    let start = Instant::now();
    index.apply(&turn("a", None, 1), 1, start);
    let key = Key {
        kind: Kind::Turn,
        request: id("a"),
    };
    index.place(&key, place(2, 0));
    // Segment 1 holds nothing any more, segment 2 does.
    assert_eq!(index.expire(start), [1]);
}

#[test]
fn followers_are_told_each_arrival_once() {
    let mut index = Index::new(BODIES);
    let now = Instant::now();
    for record in records() {
        index.apply(&record, 1, now);
    }
    let (first, next) = index.arrived(0, 3);
    let (rest, end) = index.arrived(next, 100);
    assert_eq!((first.len(), rest.len(), end), (3, 4, index.end()));
    let (none, same) = index.arrived(end, 100);
    assert_eq!((none.len(), same), (0, end));
    for key in first.iter().chain(&rest) {
        let Some(Answer::Held(record)) = index.record(key, now) else {
            panic!("{key:?} is not held");
        };
        assert_eq!(record.key(), *key);
    }
}

#[test]
fn what_was_said_is_held_up_to_a_limit_and_the_oldest_goes_first() {
    // Three turns of 11 bytes and a limit that two keep.
    let mut index = Index::new(30);
    let now = Instant::now();
    let key = |request: &str| turn(request, None, 1).key();
    index.apply(&turn("a", None, 1), 1, now);
    index.place(&key("a"), place(1, 100));
    index.apply(&turn("b", Some("a"), 1), 1, now);
    index.apply(&turn("c", Some("b"), 1), 1, now);
    // Nothing goes that is not on disk yet, so the oldest that is goes.
    index.place(&key("c"), place(1, 300));
    assert_eq!(index.body_bytes(), 22);
    let conversation = index.conversation(&id("c")).unwrap();
    assert_eq!(conversation.stored(), [place(1, 100)]);
    assert!(conversation.chain(&[]).is_none());
    assert_eq!(
        index.record(&key("a"), now),
        Some(Answer::Stored(place(1, 100)))
    );
    // Read again, it is held again, and the other one that is on disk goes.
    let body = Body {
        input: "in-a;".into(),
        output: "out-a\n".into(),
    };
    index.restore(&id("a"), body.clone());
    let conversation = index.conversation(&id("c")).unwrap();
    assert_eq!(conversation.stored(), [place(1, 300)]);
    let last = Body {
        input: "in-c;".into(),
        output: "out-c\n".into(),
    };
    let chain = conversation.chain(&[last]).unwrap();
    assert_eq!(&chain.body[..], b"in-a;out-a\nin-b;out-b\nin-c;out-c\n");
    // What has expired is held no longer.
    index.expire(now + Duration::from_millis(2 * u64::from(KEEP_MS)));
    assert_eq!(index.body_bytes(), 0);
}

#[test]
fn what_has_expired_may_come_again() {
    let mut index = Index::new(BODIES);
    let now = Instant::now();
    for record in records() {
        assert!(index.apply(&record, 1, now));
        assert!(!index.apply(&record, 1, now));
    }
    let end = index.end();
    let later = now + Duration::from_millis(2 * u64::from(KEEP_MS));
    assert_eq!(index.expire(later), [1]);
    assert_eq!(index.sizes(), (0, 0));
    assert!(used(&index).is_empty());
    assert_eq!(index.arrived(0, 100), (Vec::new(), end));
    for record in records() {
        assert!(index.apply(&record, 2, later));
    }
    assert_eq!(index.sizes(), (3, 1));
    assert!(chain(&mut index, "e").is_some());
    assert_eq!(index.arrived(end, 100).0.len(), 7);
}
