//! Settlements on their way to replicas that have too much to do for a while.

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
use gradedyke_turns::quorum::Quorum;
use gradedyke_turns::record::{Id, Settled};
use gradedyke_turns::view::{self, Member, View};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const REPLICAS: u64 = 3;
/// Exchanges that each replica refuses before it keeps up.
const REFUSED: usize = 3;
const SETTLED: usize = 300;
/// Longest wait for what is to come; only a fault takes so long.
const LIMIT: Duration = Duration::from_secs(20);

/// A replica that refuses at first, and notes what it is told then.
struct Replica {
    asked: Arc<AtomicUsize>,
    kept: watch::Sender<BTreeSet<String>>,
}

#[async_trait]
impl Handler for Replica {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        let Some(Request::KeepAll { records, .. }) = message::decode(&request) else {
            return message::encode(&Reply::Hello);
        };
        let asked = self.asked.fetch_add(1, Ordering::Relaxed);
        if asked < REFUSED {
            return message::encode(&Reply::Busy(Pressure::default()));
        }
        self.kept.send_modify(|kept| {
            kept.extend(records.iter().map(|r| r.key().request.to_string()));
        });
        message::encode(&Reply::Kept { usage: None })
    }
}

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

#[tokio::test]
async fn settlements_wait_for_replicas_and_are_told_together() {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let asked = Arc::new(AtomicUsize::new(0));
    let mut told = Vec::new();
    let mut view = View {
        version: 1,
        tolerate: 1,
        members: Vec::new(),
    };
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        view.members.push(Member {
            name: format!("replica{number}"),
            disk: number + 1,
            address: listener.local_addr().unwrap(),
            data_centre: "here".to_owned(),
            active: true,
        });
        let (kept, receiver) = watch::channel(BTreeSet::new());
        told.push(receiver);
        let replica = Arc::new(Replica {
            asked: if number == 0 {
                asked.clone()
            } else {
                Arc::default()
            },
            kept,
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
        key: view::KEY.to_owned(),
        value: Some(value.into()),
        revision: 1,
    };
    mirror.put(vec![item], Instant::now());
    let quorum = Quorum::new(mirror, "here", None);
    for number in 0..SETTLED {
        quorum.settle(Settled {
            program: id("p"),
            request: id(&format!("r{number}")),
            tokens: 0,
            keep_ms: 60_000,
        });
    }
    for receiver in &mut told {
        let all = receiver.wait_for(|kept| kept.len() == SETTLED);
        assert!(tokio::time::timeout(LIMIT, all).await.unwrap().is_ok());
    }
    // The refused ones, and as few as hold so many.
    let asked = asked.load(Ordering::Relaxed);
    assert!(
        asked <= REFUSED + 3,
        "{asked} exchanges for {SETTLED} settlements"
    );
}
