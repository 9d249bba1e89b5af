//! Tests of the adapters against a stand-in for the platform's services, with
//! injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gradedyke_platform::etcd::{Config, Etcd};
use gradedyke_platform::instances::{Consul, List, State};
use gradedyke_platform::kv::{self, Error, Event, KeyValue, MAX_VALUE_BYTES, Outcome, Swap};
use gradedyke_platform::weights::{self, WeightStore};
use gradedyke_standin::platform::{Platform, PlatformHandler};
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(2);
const LEASE_TTL: Duration = Duration::from_secs(60);

async fn start() -> (Arc<Platform>, SocketAddr) {
    let platform = Platform::start();
    let handler = Arc::new(PlatformHandler(platform.clone()));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let stop = CancellationToken::new();
    let address = gradedyke_standin::serve(handler, any, &stop).await.unwrap();
    (platform, address)
}

fn etcd(address: SocketAddr, timeout: Duration) -> Etcd {
    Etcd::new(Config {
        addresses: vec![address],
        timeout,
    })
}

fn put(key: &str, expected_revision: u64, value: &str) -> Swap {
    Swap {
        key: key.to_owned(),
        expected_revision,
        value: Some(value.into()),
        lease: None,
    }
}

/// Returns the revision of a successful swap.
fn expect_done(swapped: Result<Outcome, Error>) -> u64 {
    match swapped.unwrap() {
        Outcome::Written(revision) => revision,
        Outcome::Conflict(found) => panic!("conflict with {found:?}"),
    }
}

#[tokio::test]
async fn swap_succeeds_only_at_the_expected_revision() {
    let (_, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    let first = expect_done(kv.swap(put("a", 0, "one")).await);
    // Each case: the expected revision, and whether the swap succeeds.
    for (expected, succeeds) in [(0, false), (first + 7, false), (first, true)] {
        let swapped = kv.swap(put("a", expected, "two")).await.unwrap();
        match swapped {
            Outcome::Written(_) => assert!(succeeds, "expected {expected}"),
            Outcome::Conflict(found) => {
                assert!(!succeeds, "expected {expected}");
                assert_eq!(found.unwrap().value, b"one");
            }
        }
    }
    let entry = kv.get("a").await.unwrap().unwrap();
    let delete = Swap {
        value: None,
        ..put("a", entry.revision, "")
    };
    expect_done(kv.swap(delete).await);
    assert_eq!(kv.get("a").await.unwrap(), None);
}

#[tokio::test]
async fn one_of_several_concurrent_swaps_succeeds() {
    let (_, address) = start().await;
    let kv = Arc::new(etcd(address, TIMEOUT));
    let mut expected = 0;
    for round in 0..20 {
        let writers = (0..8).map(|writer| {
            let kv = kv.clone();
            let swap = put("a", expected, &format!("{round}-{writer}"));
            tokio::spawn(async move { kv.swap(swap).await.unwrap() })
        });
        let writers: Vec<_> = writers.collect();
        let mut winners = Vec::new();
        for writer in writers {
            if let Outcome::Written(revision) = writer.await.unwrap() {
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
async fn unknown_outcome_is_resolved_by_reading_the_key() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    platform.faults.replies_to_lose.store(1, Ordering::Relaxed);
    let unknown = kv.swap(put("a", 0, "mark-1")).await;
    assert!(
        matches!(unknown, Err(Error::OutcomeUnknown(_))),
        "{unknown:?}"
    );
    let written = kv.get("a").await.unwrap().unwrap();
    assert_eq!(written.value, b"mark-1");

    platform.faults.replies_to_lose.store(1, Ordering::Relaxed);
    let settled = kv::swap_and_verify(&kv, put("a", written.revision, "mark-2")).await;
    let found = kv.get("a").await.unwrap().unwrap();
    assert_eq!(expect_done(settled), found.revision);
    assert_eq!(found.value, b"mark-2");

    // The value of another write is a conflict.
    platform.faults.replies_to_lose.store(0, Ordering::Relaxed);
    let late = kv::swap_and_verify(&kv, put("a", written.revision, "mark-3")).await;
    assert!(matches!(late, Ok(Outcome::Conflict(Some(_)))), "{late:?}");
}

#[tokio::test]
async fn unavailable_service_writes_nothing() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    platform.faults.down.store(true, Ordering::Relaxed);
    let down = kv.swap(put("a", 0, "one")).await;
    assert!(matches!(down, Err(Error::Unavailable(_))), "{down:?}");
    platform.faults.down.store(false, Ordering::Relaxed);
    assert_eq!(kv.get("a").await.unwrap(), None);

    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    let refused = etcd(closed, TIMEOUT).get("a").await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
}

#[tokio::test]
async fn outcome_is_unknown_after_a_timeout() {
    let (platform, address) = start().await;
    let kv = etcd(address, Duration::from_millis(20));
    platform.faults.delay_ms.store(60_000, Ordering::Relaxed);
    let slow = kv.swap(put("a", 0, "one")).await;
    assert!(matches!(slow, Err(Error::OutcomeUnknown(_))), "{slow:?}");
}

#[tokio::test]
async fn keys_are_deleted_when_their_lease_expires() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    let lease = kv.grant_lease(LEASE_TTL).await.unwrap();
    let leased = Swap {
        lease: Some(lease),
        ..put("a", 0, "one")
    };
    expect_done(kv.swap(leased.clone()).await);
    kv.renew_lease(lease).await.unwrap();
    let mut watch = kv.watch("a", 1).await.unwrap();
    assert!(matches!(&watch.next().await.unwrap()[0], Event::Put(e) if e.value == b"one"));
    platform.expire_all_leases();
    let deleted = watch.next().await.unwrap();
    assert!(matches!(&deleted[0], Event::Delete { key, .. } if key == "a"));
    assert_eq!(kv.renew_lease(lease).await, Err(Error::LeaseExpired));
    assert_eq!(kv.swap(leased).await, Err(Error::LeaseExpired));
    let other = kv.grant_lease(LEASE_TTL).await.unwrap();
    kv.revoke_lease(other).await.unwrap();
    assert_eq!(kv.renew_lease(other).await, Err(Error::LeaseExpired));
}

#[tokio::test]
async fn watch_reports_every_change_of_its_prefix() {
    let (_, address) = start().await;
    let kv = Arc::new(etcd(address, TIMEOUT));
    let mut watch = kv.watch("p/", 1).await.unwrap();
    let writers: Vec<_> = (0..50)
        .map(|n| {
            let kv = kv.clone();
            tokio::spawn(async move {
                expect_done(kv.swap(put(&format!("q/{n}"), 0, "other")).await);
                expect_done(kv.swap(put(&format!("p/{n}"), 0, "ours")).await);
            })
        })
        .collect();
    let mut seen = std::collections::BTreeSet::new();
    let mut last = 0;
    while seen.len() < writers.len() {
        for event in watch.next().await.unwrap() {
            let Event::Put(entry) = event else {
                panic!("unexpected deletion")
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
async fn watch_fails_when_the_service_becomes_unavailable() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    let mut watch = kv.watch("p/", 1).await.unwrap();
    platform.faults.down.store(true, Ordering::Relaxed);
    let result = watch.next().await;
    assert!(matches!(result, Err(Error::Unavailable(_))), "{result:?}");
}

#[tokio::test]
async fn too_large_value_is_rejected_without_a_call() {
    let (platform, address) = start().await;
    let kv = etcd(address, TIMEOUT);
    let large = Swap {
        value: Some(vec![0; MAX_VALUE_BYTES + 1]),
        ..put("a", 0, "")
    };
    assert_eq!(
        kv.swap(large).await,
        Err(Error::TooLarge(MAX_VALUE_BYTES + 1))
    );
    assert!(platform.calls_by_path().is_empty());
    let largest = Swap {
        value: Some(vec![0; MAX_VALUE_BYTES]),
        ..put("a", 0, "")
    };
    expect_done(kv.swap(largest).await);
}

#[tokio::test]
async fn instance_list_reports_leaving_instances() {
    let (platform, address) = start().await;
    let row = |id: &str, state: &str, status: &str| {
        json!({
            "Node": { "Datacenter": "north-1" },
            "Service": { "ID": id, "Address": "127.0.0.1", "Port": 9, "Meta": { "state": state } },
            "Checks": [{ "Status": status }],
        })
    };
    // Each case: the state in the metadata, the check's status, and the result.
    let cases = [
        ("live", "passing", State::Live),
        ("leaving", "passing", State::Leaving),
        ("live", "critical", State::Leaving),
        ("live", "warning", State::Live),
    ];
    let rows = cases.iter().enumerate();
    let rows = rows.map(|(i, (state, status, _))| row(&i.to_string(), state, status));
    platform.set_instances("backends", rows.collect());
    let list = Consul::new(address, TIMEOUT)
        .list("backends")
        .await
        .unwrap();
    let states: Vec<_> = list.iter().map(|i| i.state).collect();
    assert_eq!(states, cases.map(|(.., state)| state));
    let none = Consul::new(address, TIMEOUT).list("unknown").await.unwrap();
    assert!(none.is_empty());
    platform.faults.down.store(true, Ordering::Relaxed);
    assert!(
        Consul::new(address, TIMEOUT)
            .list("backends")
            .await
            .is_err()
    );
}

#[tokio::test]
async fn weight_store_returns_sizes() {
    let (platform, address) = start().await;
    platform.add_weights("m", "1", 42);
    let store = weights::HttpStore::new(address, TIMEOUT);
    assert_eq!(store.stat("m", "1").await.unwrap().bytes, 42);
    let missing = store.stat("m", "2").await;
    assert!(
        matches!(missing, Err(weights::Error::Missing)),
        "{missing:?}"
    );
}
