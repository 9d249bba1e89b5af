//! Settlements sent to replicas that are overloaded for a while.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::Handler;
use gradedyke_turns::message::{self, Reply, Request};
use gradedyke_turns::mirror::{Item, Mirror};
use gradedyke_turns::pressure::Pressure;
use gradedyke_turns::quorum::Coordinator;
use gradedyke_turns::record::{Id, Settled};
use gradedyke_turns::view::{self, Member, View};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const REPLICA_COUNT: u64 = 3;
/// Requests that each replica rejects before it accepts any.
const REJECTED_REQUEST_COUNT: usize = 3;
const SETTLEMENT_COUNT: usize = 300;
/// How long to wait until a replica has received all settlements.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A replica that first rejects requests, then records the settlements it receives.
struct Replica {
    request_count: Arc<AtomicUsize>,
    stored: watch::Sender<BTreeSet<String>>,
}

#[async_trait]
impl Handler for Replica {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        let Some(Request::KeepAll { records, .. }) = message::decode(&request) else {
            return message::encode(&Reply::Hello);
        };
        let earlier_requests = self.request_count.fetch_add(1, Ordering::Relaxed);
        if earlier_requests < REJECTED_REQUEST_COUNT {
            return message::encode(&Reply::Busy(Pressure::default()));
        }
        self.stored.send_modify(|stored| {
            stored.extend(records.iter().map(|r| r.key().request.to_string()));
        });
        message::encode(&Reply::Kept { usage: None })
    }
}

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

#[tokio::test]
async fn settlements_are_retried_and_sent_in_batches() {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let request_count = Arc::new(AtomicUsize::new(0));
    let mut received = Vec::new();
    let mut view = View {
        version: 1,
        tolerate: 1,
        members: Vec::new(),
        copies: 0,
        absences: Vec::new(),
    };
    for number in 0..REPLICA_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        view.members.push(Member {
            name: format!("replica{number}"),
            disk: number + 1,
            address: listener.local_addr().unwrap(),
            data_centre: "here".to_owned(),
            active: true,
        });
        let (stored, receiver) = watch::channel(BTreeSet::new());
        received.push(receiver);
        let replica = Arc::new(Replica {
            request_count: if number == 0 {
                request_count.clone()
            } else {
                Arc::default()
            },
            stored,
        });
        tasks.spawn(gradedyke_peer::server::serve(
            listener,
            replica,
            stop.clone(),
        ));
    }
    let mirror = Mirror::new(&[""]);
    let value = serde_json::to_vec(&view).unwrap();
    let item = Item {
        key: view::VIEW_KEY.to_owned(),
        value: Some(value.into()),
        revision: 1,
    };
    mirror.apply(vec![item], Instant::now());
    let coordinator = Coordinator::new(mirror, "here", None);
    for number in 0..SETTLEMENT_COUNT {
        coordinator.settle(Settled {
            program: id("p"),
            request: id(&format!("r{number}")),
            tokens: 0,
            keep_ms: 60_000,
        });
    }
    for receiver in &mut received {
        let all = receiver.wait_for(|stored| stored.len() == SETTLEMENT_COUNT);
        assert!(
            tokio::time::timeout(RECEIVE_TIMEOUT, all)
                .await
                .unwrap()
                .is_ok()
        );
    }
    // The rejected requests, plus at most three batches.
    let request_count = request_count.load(Ordering::Relaxed);
    assert!(
        request_count <= REJECTED_REQUEST_COUNT + 3,
        "{request_count} requests for {SETTLEMENT_COUNT} settlements"
    );
}
