//! Entries that reach replicas through other entries during a network partition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Handler};
use gradedyke_turns::detour::{Forwarder, ReplicaClient};
use gradedyke_turns::message::{self, Reply, Request};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Deployment, id, operation_deadline};

#[tokio::test]
async fn partitioned_entry_reaches_replica_through_neighbour() {
    let mut deployment = Deployment::start(3).await;
    deployment.store("a", None).await.unwrap();
    // The neighbour can reach the replicas.
    let neighbour = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = neighbour.local_addr().unwrap();
    let forwarder = Arc::new(Forwarder::new(deployment.coordinator.clone()));
    let stop = CancellationToken::new();
    let serving = gradedyke_peer::server::serve(neighbour, forwarder, stop.clone());
    deployment.tasks.spawn(serving);
    // The direct address either accepts connections and never answers, or is closed.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let replica = deployment.replicas[0].member.address;
    let client_with = |direct: SocketAddr, active_replicas: Vec<Client>| {
        let relays = vec![Client::new(address)];
        ReplicaClient::new(
            replica,
            Client::new(direct),
            relays,
            (active_replicas, 2),
            Arc::default(),
        )
    };
    let request = message::encode(&Request::Chain(id("a")));
    for direct in [silent.local_addr().unwrap(), closed_address] {
        let client = client_with(direct, vec![Client::new(closed_address); 3]);
        let reply = client.call(request.clone(), Duration::from_secs(5));
        let reply = reply.await.unwrap();
        let Some(Reply::Chain(Some(transcript))) = message::decode(&reply) else {
            panic!("no conversation with direct address {direct}");
        };
        assert_eq!(transcript.body, "a?a!");
    }
    // A replica that does not answer while a majority does is not called through neighbours.
    let answering_replicas = [1, 2].map(|n: usize| {
        deployment
            .coordinator
            .client(deployment.replicas[n].member.address)
    });
    let client = client_with(silent.local_addr().unwrap(), answering_replicas.to_vec());
    let hello = message::encode(&Request::Hello);
    let keep_answering = async {
        loop {
            for replica in &answering_replicas {
                replica
                    .call(hello.clone(), operation_deadline() - Instant::now())
                    .await
                    .unwrap();
            }
        }
    };
    tokio::select! {
        reply = client.call(request, Duration::from_secs(1)) => assert_eq!(reply, None),
        () = keep_answering => {}
    }
    // An entry forwards requests to replicas only.
    let client = ReplicaClient::new(
        closed_address,
        Client::new(closed_address),
        vec![Client::new(address)],
        (vec![Client::new(closed_address); 3], 2),
        Arc::default(),
    );
    assert_eq!(
        client.call(hello.clone(), Duration::from_secs(5)).await,
        None
    );
}

#[tokio::test]
async fn slow_replica_is_called_through_one_neighbour_only() {
    let mut deployment = Deployment::start(3).await;
    // The first replica accepts connections and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let slow_address = silent.local_addr().unwrap();
    deployment.replicas[0].member.address = slow_address;
    deployment.publish(2);
    let stop = CancellationToken::new();
    let request_count = Arc::new(AtomicUsize::new(0));
    let mut relays = Vec::new();
    for _ in 0..3 {
        let neighbour = TcpListener::bind("127.0.0.1:0").await.unwrap();
        relays.push(Client::new(neighbour.local_addr().unwrap()));
        let handler = Arc::new(CountingForwarder {
            forwarder: Forwarder::new(deployment.coordinator.clone()),
            request_count: request_count.clone(),
        });
        let serving = gradedyke_peer::server::serve(neighbour, handler, stop.clone());
        deployment.tasks.spawn(serving);
    }
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let active_replicas = vec![Client::new(closed_address); 3];
    let client = ReplicaClient::new(
        slow_address,
        Client::new(closed_address),
        relays,
        (active_replicas, 2),
        Arc::default(),
    );
    let hello = message::encode(&Request::Hello);
    let reply = client.call(hello, Duration::from_secs(5)).await;
    assert_eq!(reply, None);
    assert_eq!(request_count.load(Ordering::Relaxed), 1);
}

/// A forwarder that counts its requests.
struct CountingForwarder {
    forwarder: Forwarder,
    request_count: Arc<AtomicUsize>,
}

#[async_trait]
impl Handler for CountingForwarder {
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        self.forwarder.handle(request, arrived).await
    }
}
