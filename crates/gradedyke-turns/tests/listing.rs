//! Updates sent to followers: their sizes, and that no change is missed.
//!
//! Each instance has ten backend servers with one key each.

use std::sync::Arc;

use bytes::Bytes;
use gradedyke_turns::message::{Reply, encode};
use gradedyke_turns::mirror::{Cursor, Item, Mirror, Update};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

/// Largest reply, in bytes: a full page and one more item.
const MAX_REPLY_BYTES: usize = 132 << 10;
/// Largest reply with at most two changes, in bytes.
const MAX_CHANGES_REPLY_BYTES: usize = 1 << 10;
/// Size in bytes of a value that a backend server writes.
const VALUE_BYTES: usize = 230;
/// Numbers of instances of the tested deployments.
const INSTANCE_COUNTS: [usize; 4] = [30, 100, 300, 1_000];

/// An item with an incompressible value.
fn item(key: usize, revision: u64) -> Item {
    let mut random = StdRng::seed_from_u64(key as u64);
    let value: Vec<u8> = (0..VALUE_BYTES).map(|_| random.random()).collect();
    Item {
        key: format!("servers/i-{key:08x}"),
        value: Some(Bytes::from(value)),
        revision,
    }
}

fn deleted_item(key: usize, revision: u64) -> Item {
    Item {
        value: None,
        ..item(key, revision)
    }
}

/// Creates a mirror from a listing of `keys` keys at `revision`.
fn listed_mirror(keys: usize, revision: u64, now: Instant) -> Arc<Mirror> {
    let mirror = Mirror::new(&[""]);
    let items = (0..keys).map(|key| item(key, 1 + key as u64)).collect();
    mirror.apply_listing("", items, revision, now);
    mirror
}

/// Applies changes that are newer than all items of `mirror`.
fn apply_changes(mirror: &Mirror, items: Vec<Item>, now: Instant) {
    let complete_revision = items.iter().map(|i| i.revision).max();
    let update = Update {
        complete_revision,
        ..Update::default()
    };
    mirror.apply_update(update, items, now, now);
}

/// Follows `source` until `mirror` is up to date; returns the sizes of the replies.
fn follow(mirror: &Mirror, source: &Mirror, cursor: &mut Cursor, now: Instant) -> Vec<usize> {
    let mut sizes = Vec::new();
    let mut items = Vec::new();
    loop {
        cursor.complete_revision = mirror.complete_revision();
        let update = source.update_since(cursor, now, now);
        sizes.push(encode(&Reply::News(update.clone())).len());
        cursor.boot = update.boot;
        cursor.change = update.next;
        cursor.listing = update.listing && update.more;
        items.extend(update.items.decode().unwrap());
        if !update.more {
            mirror.apply_update(update, items, now, now);
            return sizes;
        }
    }
}

fn contents(mirror: &Mirror) -> Vec<Item> {
    mirror.items()
}

#[test]
fn listing_pages_are_bounded_for_any_deployment_size() {
    let now = Instant::now();
    for instances in INSTANCE_COUNTS {
        let keys = 10 * instances;
        let source = listed_mirror(keys, 1 + keys as u64, now);
        let mirror = Mirror::new(&[""]);
        let sizes = follow(&mirror, &source, &mut Cursor::default(), now);
        assert!(
            sizes.iter().all(|s| *s <= MAX_REPLY_BYTES),
            "{instances}: {sizes:?}"
        );
        assert_eq!(contents(&mirror), contents(&source), "{instances}");
        assert_eq!(
            mirror.complete_revision(),
            source.complete_revision(),
            "{instances}"
        );
    }
}

#[test]
fn changes_between_two_pages_are_not_missed() {
    let now = Instant::now();
    let keys = 5_000;
    let source = listed_mirror(keys, 5_000, now);
    let mirror = Mirror::new(&[""]);
    // A key that was deleted before the listing.
    mirror.apply(vec![item(9_999, 7)], now);
    let mut cursor = Cursor::default();
    let mut items = Vec::new();
    let mut revision = 5_000;
    loop {
        let update = source.update_since(&cursor, now, now);
        (cursor.boot, cursor.change) = (update.boot, update.next);
        cursor.listing = update.more;
        items.extend(update.items.decode().unwrap());
        if !update.more {
            mirror.apply_update(update, items, now, now);
            break;
        }
        if revision < 5_012 {
            // Changes a key that was sent already, and deletes one that was not sent yet.
            let sent = usize::try_from(revision).unwrap() - 5_000;
            let unsent = keys - 1 - sent;
            let changes = vec![item(sent, revision + 1), deleted_item(unsent, revision + 2)];
            apply_changes(&source, changes, now);
            revision += 2;
        }
    }
    assert_eq!(contents(&mirror), contents(&source));
    assert_eq!(mirror.complete_revision(), 5_012);
}

#[test]
fn a_follower_that_changes_its_source_receives_only_new_changes() {
    let now = Instant::now();
    for instances in INSTANCE_COUNTS {
        let keys = 10 * instances;
        let revision = 1 + keys as u64;
        let (first, second) = (
            listed_mirror(keys, revision, now),
            listed_mirror(keys, revision, now),
        );
        let mirror = Mirror::new(&[""]);
        follow(&mirror, &first, &mut Cursor::default(), now);
        // Nothing has changed since.
        let sizes = follow(&mirror, &second, &mut Cursor::default(), now);
        assert!(
            sizes.len() == 1 && sizes[0] < MAX_CHANGES_REPLY_BYTES,
            "{instances}: {sizes:?}"
        );
        // A change and a deletion, of which the first source sent only the change.
        apply_changes(&first, vec![item(1, revision + 1)], now);
        let mut cursor = Cursor::default();
        follow(&mirror, &first, &mut cursor, now);
        let both = vec![item(1, revision + 1), deleted_item(2, revision + 2)];
        apply_changes(&second, both, now);
        let sizes = follow(&mirror, &second, &mut Cursor::default(), now);
        assert!(
            sizes.len() == 1 && sizes[0] < MAX_CHANGES_REPLY_BYTES,
            "{instances}: {sizes:?}"
        );
        assert_eq!(contents(&mirror), contents(&second), "{instances}");
        // The follower returns to the first source, which is behind.
        let sizes = follow(&mirror, &first, &mut cursor, now);
        assert!(
            sizes.len() == 1 && sizes[0] < MAX_CHANGES_REPLY_BYTES,
            "{instances}: {sizes:?}"
        );
        assert_eq!(contents(&mirror), contents(&second), "{instances}");
    }
}

#[test]
fn a_source_that_may_have_missed_deletions_sends_a_full_listing() {
    let now = Instant::now();
    let first = listed_mirror(100, 200, now);
    let mirror = Mirror::new(&[""]);
    follow(&mirror, &first, &mut Cursor::default(), now);
    // The second source listed the store after a deletion that it did not see.
    let second = listed_mirror(99, 300, now);
    follow(&mirror, &second, &mut Cursor::default(), now);
    assert_eq!(contents(&mirror), contents(&second));
    assert_eq!(mirror.complete_revision(), 300);
    // A source that only loaded its copy from disk removes nothing from the follower's.
    let third = Mirror::new(&[""]);
    third.apply(vec![item(3, 4)], now);
    follow(&mirror, &third, &mut Cursor::default(), now);
    assert_eq!(contents(&mirror), contents(&second));
}
