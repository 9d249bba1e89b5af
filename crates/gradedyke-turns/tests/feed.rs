//! How a process comes by its first news.

use std::sync::Arc;

use gradedyke_turns::desk::Desk;
use gradedyke_turns::feed::{self, ENTRY_START, Health};
use gradedyke_turns::mirror::{Item, Mirror};
use gradedyke_turns::quorum::Quorum;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A mirror that holds one item.
fn holding() -> Arc<Mirror> {
    let mirror = Mirror::new(&[""]);
    let item = Item {
        key: "key".to_owned(),
        value: Some("value".into()),
        revision: 1,
    };
    mirror.put(vec![item], Instant::now());
    mirror
}

/// Takes one connection and says nothing but here that it was asked; ends when the
/// other side gives it up.
async fn silent(listener: TcpListener, asked: oneshot::Sender<()>) {
    let (mut connection, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 64];
    assert!(connection.read(&mut bytes).await.is_ok_and(|n| n > 0));
    asked.send(()).unwrap();
    while connection.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
}

#[tokio::test]
async fn a_source_that_says_nothing_does_not_hold_up_one_that_comes_up() {
    let mute = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // The address is taken, and refuses until it is listened on.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let late = socket.local_addr().unwrap();
    // The later source is asked after the first, so that one has refused by then.
    let sources = vec![late, mute.local_addr().unwrap()];

    let stop = CancellationToken::new();
    let mirror = Mirror::new(&[""]);
    let quorum = Quorum::new(mirror.clone(), "here", None);
    let health = Arc::new(Health::new(Instant::now(), ENTRY_START));
    let (fed, stopped) = (mirror.clone(), stop.clone());
    tokio::spawn(feed::run(
        fed,
        quorum,
        health,
        move || sources.clone(),
        stopped,
    ));
    let (asked, was_asked) = oneshot::channel();
    let given_up = tokio::spawn(silent(mute, asked));

    was_asked.await.unwrap();
    let (_, nobody) = watch::channel(None);
    let desk = Arc::new(Desk::new(holding(), nobody));
    let listener = socket.listen(16).unwrap();
    tokio::spawn(gradedyke_peer::server::serve(listener, desk, stop.clone()));
    let mut changed = mirror.watch();
    tokio::select! {
        changed = changed.wait_for(|change| *change > 0) => assert!(changed.is_ok()),
        _ = given_up => panic!("no news before the silent source was given up"),
    }
    assert!(mirror.get("key").is_some());
    stop.cancel();
}
