//! The age of a copy and the time up to which it is complete.

use std::time::Duration;

use gradedyke_platform::kv::KeyRange;
use gradedyke_turns::mirror::{Cursor, Item, Mirror, Source, Update};
use tokio::time::Instant;

fn update(asked_ms: Option<i64>) -> Update {
    Update {
        whole: Some(7),
        age_ms: Some(20),
        asked_ms,
        ..Update::default()
    }
}

#[tokio::test]
async fn completeness_is_counted_from_sending_the_request() {
    let sent = Instant::now();
    let mirror = Mirror::new(&[""]);
    assert_eq!(mirror.complete_as_of(), None);
    // The process was suspended for 10 s between the request and reading the reply.
    let read = sent + Duration::from_secs(10);
    mirror.apply_update(update(Some(300)), Vec::new(), sent, read);
    assert_eq!(
        mirror.complete_as_of(),
        sent.checked_sub(Duration::from_millis(300))
    );
    assert_eq!(mirror.age(read), Some(Duration::from_millis(20)));
}

#[tokio::test]
async fn an_update_without_request_time_leaves_completeness_unknown() {
    let now = Instant::now();
    let mirror = Mirror::new(&[""]);
    mirror.apply_update(update(None), Vec::new(), now, now);
    assert_eq!(mirror.complete_as_of(), None);
    assert_eq!(
        mirror.update_since(&Cursor::default(), now, now).asked_ms,
        None
    );
}

#[tokio::test]
async fn completeness_time_never_advances_between_followers() {
    let start = Instant::now();
    let (first, second) = (Mirror::new(&[""]), Mirror::new(&[""]));
    first.apply_update(update(Some(300)), Vec::new(), start, start);
    // The second asks 50 ms later, and the first replies 100 ms after that.
    let sent = start + Duration::from_millis(50);
    let replied = sent + Duration::from_millis(100);
    let reply = first.update_since(&Cursor::default(), sent, replied);
    assert_eq!(reply.asked_ms, Some(351));
    second.apply_update(reply, Vec::new(), sent, replied + Duration::from_millis(5));
    let requested_at = second.complete_as_of().unwrap();
    assert!(requested_at <= first.complete_as_of().unwrap());
    assert_eq!(replied - requested_at, Duration::from_millis(451));
}

#[tokio::test]
async fn an_update_received_during_a_long_poll_is_newer_than_the_request() {
    let sent = Instant::now();
    let (first, second) = (Mirror::new(&[""]), Mirror::new(&[""]));
    // The store was asked 200 ms after the first process received the request.
    let later = sent + Duration::from_millis(200);
    first.apply_update(
        update(Some(0)),
        Vec::new(),
        later,
        later + Duration::from_millis(50),
    );
    let reply = first.update_since(&Cursor::default(), sent, sent + Duration::from_millis(300));
    assert_eq!(reply.asked_ms, Some(-200));
    second.apply_update(reply, Vec::new(), sent, sent + Duration::from_millis(310));
    assert_eq!(second.complete_as_of(), Some(later));
}

#[tokio::test]
async fn a_follower_of_a_copy_from_disk_learns_when_the_store_confirms_it() {
    let now = Instant::now();
    let item = Item {
        key: "key".to_owned(),
        value: Some("value".into()),
        revision: 3,
    };
    let (source, follower) = (Mirror::new(&[""]), Mirror::new(&[""]));
    source.apply(vec![item.clone()], now);
    let reply = source.update_since(&Cursor::default(), now, now);
    let cursor = Cursor {
        boot: reply.boot,
        change: reply.next,
        ..Cursor::default()
    };
    let items = reply.items.decode().unwrap();
    follower.apply_update(reply, items, now, now);
    assert_eq!(
        (follower.get("key").is_some(), follower.complete_as_of()),
        (true, None)
    );
    // The store confirms the same contents, so only the confirmation is new.
    let mut changed = source.subscribe();
    changed.mark_unchanged();
    source.apply_update(update(Some(10)), vec![item], now, now);
    assert!(changed.has_changed().unwrap());
    let reply = source.update_since(&cursor, now, now);
    let items = reply.items.decode().unwrap();
    follower.apply_update(reply, items, now, now);
    assert!(follower.complete_as_of().is_some());
    assert!(follower.age(now).is_some());
}

/// Guards against a change whose way through the processes cannot be told from their logs.
#[tokio::test]
async fn origin_of_the_traced_key_is_that_of_its_latest_revision() {
    let now = Instant::now();
    let mirror = Mirror::with_traced_key(&[""], Some("config"));
    let item = |key: &str, revision| Item {
        key: key.to_owned(),
        value: Some("value".into()),
        revision,
    };
    assert_eq!(mirror.origin(), None);
    mirror.apply(vec![item("config", 3)], now);
    mirror.record_source(Source::Disk, now);
    let peer = Source::Peer("127.0.0.1:7000".parse().unwrap());
    // Neither another key nor the same revision from elsewhere is a change.
    mirror.apply(vec![item("other", 4), item("config", 3)], now);
    mirror.record_source(peer, now);
    assert_eq!(
        mirror.origin().map(|o| (o.revision, o.source)),
        Some((3, Source::Disk))
    );
    mirror.apply(vec![item("config", 5)], now);
    mirror.record_source(peer, now);
    assert_eq!(
        mirror.origin().map(|o| (o.revision, o.source)),
        Some((5, peer))
    );
}

/// Guards against servers and configuration that count as deleted because a page was not read.
#[tokio::test]
async fn keys_that_were_not_read_do_not_count_as_deleted() {
    let now = Instant::now();
    let mirror = Mirror::new(&[""]);
    let item = |key: &str, revision| Item {
        key: key.to_owned(),
        value: Some("value".into()),
        revision,
    };
    let keys = ["a", "op/config", "servers/a", "servers/b", "status/a"];
    let items = keys.iter().map(|key| item(key, 1)).collect();
    mirror.apply_listing("", items, 1, now);
    let unread = [KeyRange {
        after: "op/config".to_owned(),
        until: Some("servers/b".to_owned()),
    }];
    let listed = vec![item("op/config", 2), item("servers/b", 3)];
    mirror.apply_partial_listing("", listed, 4, &unread, now);
    let revision = |key| mirror.get(key).map(|(_, revision)| revision);
    let revisions = keys.map(revision);
    assert_eq!(revisions, [None, Some(2), Some(1), Some(3), None]);
    assert_eq!(mirror.complete_revision(), 4);
}
