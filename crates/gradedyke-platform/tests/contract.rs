//! The contract of the platform's services, through the real adapters against
//! the stand-in, with the faults that the brief names.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gradedyke_platform::etcd::{Config, Etcd};
use gradedyke_platform::instances::{Consul, Instances, State};
use gradedyke_platform::kv::{self, Error, Event, KeyValue, MAX_VALUE, Swap, Swapped};
use gradedyke_platform::weights::{self, Weights};
use gradedyke_standin::platform::{Listener, Platform};
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TIME: Duration = Duration::from_secs(2);
const LEASE: Duration = Duration::from_secs(60);

async fn start() -> (Arc<Platform>, SocketAddr) {
    let platform = Platform::start();
    let listener = Arc::new(Listener(platform.clone()));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let stop = CancellationToken::new();
    let address = gradedyke_standin::serve(listener, any, &stop)
        .await
        .unwrap();
    (platform, address)
}

fn etcd(address: SocketAddr, time: Duration) -> Etcd {
    Etcd::new(Config {
        addresses: vec![address],
        time,
    })
}

fn put(key: &str, expected: u64, value: &str) -> Swap {
    Swap {
        key: key.to_owned(),
        expected,
        value: Some(value.into()),
        lease: None,
    }
}

fn done(swapped: Result<Swapped, Error>) -> u64 {
    match swapped.unwrap() {
        Swapped::Done(revision) => revision,
        Swapped::Conflict(found) => panic!("conflict with {found:?}"),
    }
}

#[tokio::test]
async fn a_swap_takes_place_only_on_the_expected_revision() {
    let (_, address) = start().await;
    let kv = etcd(address, TIME);
    let first = done(kv.swap(put("a", 0, "one")).await);
    // Each case: the revision expected, and whether it takes place.
    for (expected, takes) in [(0, false), (first + 7, false), (first, true)] {
        let swapped = kv.swap(put("a", expected, "two")).await.unwrap();
        match swapped {
            Swapped::Done(_) => assert!(takes, "expected {expected}"),
            Swapped::Conflict(found) => {
                assert!(!takes, "expected {expected}");
                assert_eq!(found.unwrap().value, b"one");
            }
        }
    }
    let entry = kv.get("a").await.unwrap().unwrap();
    let delete = Swap {
        value: None,
        ..put("a", entry.revision, "")
    };
    done(kv.swap(delete).await);
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn writers_that_race_get_one_winner_each_time() {
    let (_, address) = start().await;
    let kv = Arc::new(etcd(address, TIME));
    let mut expected = 0;
    for round in 0..20 {
        let race = (0..8).map(|writer| {
            let kv = kv.clone();
            let swap = put("a", expected, &format!("{round}-{writer}"));
            tokio::spawn(async move { kv.swap(swap).await.unwrap() })
        });
        let race: Vec<_> = race.collect();
        let mut winners = Vec::new();
        for writer in race {
            if let Swapped::Done(revision) = writer.await.unwrap() {
                winners.push(revision);
            }
        }
        assert_eq!(winners.len(), 1);
        let entry = kv.get("a").await.unwrap().unwrap();
        assert_eq!(entry.revision, winners[0]);
        expected = winners[0];
    }
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIME);
    platform.faults.lose.store(1, Ordering::Relaxed);
    let raw = kv.swap(put("a", 0, "mark-1")).await;
    assert!(matches!(raw, Err(Error::Unknown(_))), "{raw:?}");
    let written = kv.get("a").await.unwrap().unwrap();
    assert_eq!(written.value, b"mark-1");

    platform.faults.lose.store(1, Ordering::Relaxed);
    let settled = kv::settle(&kv, put("a", written.revision, "mark-2")).await;
    let found = kv.get("a").await.unwrap().unwrap();
    assert_eq!(done(settled), found.revision);
    assert_eq!(found.value, b"mark-2");

    // Somebody else's value is a conflict, lost answer or not.
    platform.faults.lose.store(0, Ordering::Relaxed);
    let late = kv::settle(&kv, put("a", written.revision, "mark-3")).await;
    assert!(matches!(late, Ok(Swapped::Conflict(Some(_)))), "{late:?}");
}

#[tokio::test]
async fn a_service_that_is_down_wrote_nothing() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIME);
    platform.faults.down.store(true, Ordering::Relaxed);
    let down = kv.swap(put("a", 0, "one")).await;
    assert!(matches!(down, Err(Error::Unavailable(_))), "{down:?}");
    platform.faults.down.store(false, Ordering::Relaxed);
    assert_eq!(kv.get("a").await.unwrap(), None);

    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let refused = etcd(closed, TIME).get("a").await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
}

#[tokio::test]
async fn a_slow_service_leaves_a_write_unknown() {
    let (platform, address) = start().await;
    let kv = etcd(address, Duration::from_millis(20));
    platform.faults.slow_ms.store(60_000, Ordering::Relaxed);
    let slow = kv.swap(put("a", 0, "one")).await;
    assert!(matches!(slow, Err(Error::Unknown(_))), "{slow:?}");
}

#[tokio::test]
async fn keys_go_with_their_lease() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIME);
    let lease = kv.grant(LEASE).await.unwrap();
    let leased = Swap {
        lease: Some(lease),
        ..put("a", 0, "one")
    };
    done(kv.swap(leased.clone()).await);
    kv.renew(lease).await.unwrap();
    let mut watch = kv.watch("a", 1).await.unwrap();
    assert!(matches!(&watch.next().await.unwrap()[0], Event::Put(e) if e.value == b"one"));
    platform.lapse();
    let gone = watch.next().await.unwrap();
    assert!(matches!(&gone[0], Event::Delete { key, .. } if key == "a"));
    assert_eq!(kv.renew(lease).await, Err(Error::LeaseGone));
    assert_eq!(kv.swap(leased).await, Err(Error::LeaseGone));
    let other = kv.grant(LEASE).await.unwrap();
    kv.revoke(other).await.unwrap();
    assert_eq!(kv.renew(other).await, Err(Error::LeaseGone));
}

#[tokio::test]
async fn a_watch_misses_no_change_of_its_prefix() {
    let (_, address) = start().await;
    let kv = Arc::new(etcd(address, TIME));
    let mut watch = kv.watch("p/", 1).await.unwrap();
    let writers: Vec<_> = (0..50)
        .map(|n| {
            let kv = kv.clone();
            tokio::spawn(async move {
                done(kv.swap(put(&format!("q/{n}"), 0, "other")).await);
                done(kv.swap(put(&format!("p/{n}"), 0, "ours")).await);
            })
        })
        .collect();
    let mut seen = std::collections::BTreeSet::new();
    let mut last = 0;
    while seen.len() < writers.len() {
        for event in watch.next().await.unwrap() {
            let Event::Put(entry) = event else {
                panic!("nothing was deleted")
            };
            assert!(entry.key.starts_with("p/"));
            assert!(entry.revision > last, "out of order");
            last = entry.revision;
            seen.insert(entry.key);
        }
    }
    for writer in writers {
        writer.await.unwrap();
    }
    assert_eq!(kv.list("p/").await.unwrap().entries.len(), 50);
}

#[tokio::test]
async fn a_watch_is_cut_when_the_service_goes_down() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIME);
    let mut watch = kv.watch("p/", 1).await.unwrap();
    platform.faults.down.store(true, Ordering::Relaxed);
    let cut = watch.next().await;
    assert!(matches!(cut, Err(Error::Unavailable(_))), "{cut:?}");
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_refused_before_it_is_sent() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIME);
    let large = Swap {
        value: Some(vec![0; MAX_VALUE + 1]),
        ..put("a", 0, "")
    };
    assert_eq!(kv.swap(large).await, Err(Error::TooLarge(MAX_VALUE + 1)));
    assert!(platform.calls().is_empty());
    let largest = Swap {
        value: Some(vec![0; MAX_VALUE]),
        ..put("a", 0, "")
    };
    done(kv.swap(largest).await);
}

#[tokio::test]
async fn the_instance_list_tells_who_leaves() {
    let (platform, address) = start().await;
    let row = |id: &str, state: &str, status: &str| {
        json!({
            "Node": { "Datacenter": "north-1" },
            "Service": { "ID": id, "Address": "127.0.0.1", "Port": 9, "Meta": { "state": state } },
            "Checks": [{ "Status": status }],
        })
    };
    // Each case: the state in the metadata, the check, and what follows.
    let cases = [
        ("live", "passing", State::Live),
        ("leaving", "passing", State::Leaving),
        ("live", "critical", State::Leaving),
        ("live", "warning", State::Live),
    ];
    let rows = cases.iter().enumerate();
    let rows = rows.map(|(i, (state, status, _))| row(&i.to_string(), state, status));
    platform.list("backends", rows.collect());
    let list = Consul::new(address, TIME).list("backends").await.unwrap();
    let states: Vec<_> = list.iter().map(|i| i.state).collect();
    assert_eq!(states, cases.map(|(.., state)| state));
    let none = Consul::new(address, TIME).list("unknown").await.unwrap();
    assert!(none.is_empty());
    platform.faults.down.store(true, Ordering::Relaxed);
    assert!(Consul::new(address, TIME).list("backends").await.is_err());
}

#[tokio::test]
async fn the_weight_store_tells_sizes() {
    let (platform, address) = start().await;
    platform.weigh("m", "1", 42);
    let store = weights::Http::new(address, TIME);
    assert_eq!(store.stat("m", "1").await.unwrap().bytes, 42);
    let missing = store.stat("m", "2").await;
    assert!(
        matches!(missing, Err(weights::Error::Missing)),
        "{missing:?}"
    );
}
