//! Ways around a cut between an entry and the replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Handler};
use gradedyke_turns::detour::{Forwarder, Way};
use gradedyke_turns::message::{self, Reply, Request};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Group, id, soon};

#[tokio::test]
async fn an_entry_that_is_cut_off_gets_through_by_another() {
    let mut group = Group::start(3).await;
    group.keep("a", None).await.unwrap();
    // The neighbour reaches the keepers.
    let neighbour = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = neighbour.local_addr().unwrap();
    let forwarder = Arc::new(Forwarder::new(group.quorum.clone()));
    let stop = CancellationToken::new();
    let serving = gradedyke_peer::server::serve(neighbour, forwarder, stop.clone());
    group.tasks.spawn(serving);
    // The direct way ends at a listener that never answers, or nowhere.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nowhere = closed.local_addr().unwrap();
    drop(closed);
    let keeper = group.nodes[0].member.address;
    let around = |direct: SocketAddr, all: Vec<Client>| {
        let detours = vec![Client::new(address)];
        Way::new(
            keeper,
            Client::new(direct),
            detours,
            (all, 2),
            Arc::default(),
        )
    };
    let request = message::encode(&Request::Chain(id("a")));
    for direct in [silent.local_addr().unwrap(), nowhere] {
        let way = around(direct, vec![Client::new(nowhere); 3]);
        let reply = way.call(request.clone(), Duration::from_secs(5));
        let reply = reply.await.unwrap();
        let Some(Reply::Chain(Some(chain))) = message::decode(&reply) else {
            panic!("no conversation by way of {direct}");
        };
        assert_eq!(chain.body, "a?a!");
    }
    // One that is silent while a majority answers is not asked by detours.
    let others = [1, 2].map(|n: usize| group.quorum.client(group.nodes[n].member.address));
    let way = around(silent.local_addr().unwrap(), others.to_vec());
    let hello = message::encode(&Request::Hello);
    let answering = async {
        loop {
            for other in &others {
                other
                    .call(hello.clone(), soon() - Instant::now())
                    .await
                    .unwrap();
            }
        }
    };
    tokio::select! {
        reply = way.call(request, Duration::from_secs(1)) => assert_eq!(reply, None),
        () = answering => {}
    }
    // An entry passes nothing on but to keepers.
    let way = Way::new(
        nowhere,
        Client::new(nowhere),
        vec![Client::new(address)],
        (vec![Client::new(nowhere); 3], 2),
        Arc::default(),
    );
    assert_eq!(way.call(hello.clone(), Duration::from_secs(5)).await, None);
}

#[tokio::test]
async fn a_keeper_that_is_slow_is_not_asked_by_one_detour_after_the_other() {
    let mut group = Group::start(3).await;
    // The first keeper is there, and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let slow = silent.local_addr().unwrap();
    group.nodes[0].member.address = slow;
    group.publish(2);
    let stop = CancellationToken::new();
    let asked = Arc::new(AtomicUsize::new(0));
    let mut detours = Vec::new();
    for _ in 0..3 {
        let neighbour = TcpListener::bind("127.0.0.1:0").await.unwrap();
        detours.push(Client::new(neighbour.local_addr().unwrap()));
        let handler = Arc::new(Counting {
            forwarder: Forwarder::new(group.quorum.clone()),
            asked: asked.clone(),
        });
        let serving = gradedyke_peer::server::serve(neighbour, handler, stop.clone());
        group.tasks.spawn(serving);
    }
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nowhere = closed.local_addr().unwrap();
    drop(closed);
    let all = vec![Client::new(nowhere); 3];
    let way = Way::new(
        slow,
        Client::new(nowhere),
        detours,
        (all, 2),
        Arc::default(),
    );
    let hello = message::encode(&Request::Hello);
    let reply = way.call(hello, Duration::from_secs(5)).await;
    assert_eq!(reply, None);
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// A forwarder that counts what it is asked.
struct Counting {
    forwarder: Forwarder,
    asked: Arc<AtomicUsize>,
}

#[async_trait]
impl Handler for Counting {
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes {
        self.asked.fetch_add(1, Ordering::Relaxed);
        self.forwarder.handle(request, arrived).await
    }
}
