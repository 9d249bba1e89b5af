//! How a process gets its first update from another process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::detour::Forwarder;
use gradedyke_turns::feed::{self, ENTRY_START_GRACE, Policy};
use gradedyke_turns::mirror::{Item, Mirror, Update};
use gradedyke_turns::quorum::Coordinator;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time within which a change must take effect.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// A mirror that holds one item.
fn mirror_with_item() -> Arc<Mirror> {
    let mirror = Mirror::new(&[""]);
    let item = Item {
        key: "key".to_owned(),
        value: Some("value".into()),
        revision: 1,
    };
    mirror.apply(vec![item], Instant::now());
    mirror
}

/// Accepts one connection, signals `requested` at the first request and never replies.
/// Returns when the client closes the connection.
async fn serve_without_replies(listener: TcpListener, requested: oneshot::Sender<()>) {
    let (mut connection, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 64];
    assert!(connection.read(&mut bytes).await.is_ok_and(|n| n > 0));
    requested.send(()).unwrap();
    while connection.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
}

#[tokio::test]
async fn an_unresponsive_source_does_not_delay_one_that_starts_later() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // The address is bound, and connections are refused until the socket listens.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let late = socket.local_addr().unwrap();
    // Sources are asked in this order, so the first has refused before the second is asked.
    let sources = vec![late, unresponsive.local_addr().unwrap()];

    let stop = CancellationToken::new();
    let mirror = Mirror::new(&[""]);
    let coordinator = Coordinator::new(mirror.clone(), "here", None);
    let policy = Arc::new(Policy::new(
        Instant::now(),
        ENTRY_START_GRACE,
        PROPAGATION_LIMIT,
    ));
    let (followed, stopped) = (mirror.clone(), stop.clone());
    tokio::spawn(feed::run(
        followed,
        coordinator,
        policy,
        move || sources.clone(),
        stopped,
    ));
    let (requested, was_requested) = oneshot::channel();
    let closed = tokio::spawn(serve_without_replies(unresponsive, requested));

    was_requested.await.unwrap();
    let (_, no_replica) = watch::channel(None);
    let handler = Arc::new(Dispatcher::new(mirror_with_item(), no_replica));
    let listener = socket.listen(16).unwrap();
    tokio::spawn(gradedyke_peer::server::serve(
        listener,
        handler,
        stop.clone(),
    ));
    let mut changed = mirror.subscribe();
    tokio::select! {
        changed = changed.wait_for(|change| *change > 0) => assert!(changed.is_ok()),
        _ = closed => panic!("no update before the unresponsive source was abandoned"),
    }
    assert!(mirror.get("key").is_some());
    stop.cancel();
}

/// Starts an entry whose mirror has applied `update`; returns its address.
async fn start_neighbour(update: Update, stop: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mirror = mirror_with_item();
    let now = Instant::now();
    mirror.apply_update(update, mirror_with_item().items(), now, now);
    let forwarder = Arc::new(Forwarder::new(Coordinator::new(mirror, "here", None)));
    let serving = gradedyke_peer::server::serve(listener, forwarder, stop.clone());
    tokio::spawn(serving);
    address
}

#[tokio::test]
async fn an_entry_without_replicas_follows_a_neighbour_with_a_fresh_copy() {
    let stop = CancellationToken::new();
    let now = Instant::now();
    let confirmed_update = |age_ms| Update {
        whole: Some(1),
        age_ms: Some(age_ms),
        asked_ms: Some(20),
        ..Update::default()
    };
    // The first neighbour reaches no replica either, so its copy is too old.
    let stale = start_neighbour(confirmed_update(5_000), &stop).await;
    let fresh = start_neighbour(confirmed_update(10), &stop).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let replica = closed.local_addr().unwrap();
    drop(closed);
    let mirror = Mirror::new(&[""]);
    let update = Update {
        neighbours: vec![stale, fresh],
        ..Update::default()
    };
    mirror.apply_update(update, Vec::new(), now, now);
    let own = "127.0.0.1:1".parse().unwrap();
    let coordinator = Coordinator::new(mirror.clone(), "here", Some(own));
    let policy = Arc::new(Policy::new(now, ENTRY_START_GRACE, PROPAGATION_LIMIT));
    let sources = move || vec![replica];
    let feed = feed::run(mirror.clone(), coordinator, policy, sources, stop.clone());
    tokio::spawn(feed);
    let mut changed = mirror.subscribe();
    changed.wait_for(|change| *change > 0).await.unwrap();
    assert!(mirror.get("key").is_some());
    // The copy came from the fresh neighbour, and its age is known.
    assert!(mirror.age(Instant::now()).unwrap() < Duration::from_secs(4));
    assert!(mirror.complete_as_of().is_some());
    stop.cancel();
}
