//! How a process comes by its first news.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_turns::desk::Desk;
use gradedyke_turns::detour::Forwarder;
use gradedyke_turns::feed::{self, ENTRY_START, Reader};
use gradedyke_turns::mirror::{Item, Mirror, News};
use gradedyke_turns::quorum::Quorum;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time in which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

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
    let reader = Arc::new(Reader::new(Instant::now(), ENTRY_START, IN_FORCE));
    let (fed, stopped) = (mirror.clone(), stop.clone());
    tokio::spawn(feed::run(
        fed,
        quorum,
        reader,
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

/// A neighbour that has `news`, and where it answers.
async fn neighbour(news: News, stop: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mirror = holding();
    let now = Instant::now();
    mirror.learn(news, holding().items(), now, now);
    let forwarder = Arc::new(Forwarder::new(Quorum::new(mirror, "here", None)));
    let serving = gradedyke_peer::server::serve(listener, forwarder, stop.clone());
    tokio::spawn(serving);
    address
}

#[tokio::test]
async fn an_entry_that_is_cut_off_takes_news_of_a_neighbour_whose_copy_is_fresh() {
    let stop = CancellationToken::new();
    let now = Instant::now();
    let confirmed = |age_ms| News {
        whole: Some(1),
        age_ms: Some(age_ms),
        asked_ms: Some(20),
        ..News::default()
    };
    // One is cut off too: its copy is older than is of use.
    let old = neighbour(confirmed(5_000), &stop).await;
    let fresh = neighbour(confirmed(10), &stop).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let keeper = closed.local_addr().unwrap();
    drop(closed);
    let mirror = Mirror::new(&[""]);
    let known = News {
        neighbours: vec![old, fresh],
        ..News::default()
    };
    mirror.learn(known, Vec::new(), now, now);
    let own = "127.0.0.1:1".parse().unwrap();
    let quorum = Quorum::new(mirror.clone(), "here", Some(own));
    let reader = Arc::new(Reader::new(now, ENTRY_START, IN_FORCE));
    let sources = move || vec![keeper];
    let feed = feed::run(mirror.clone(), quorum, reader, sources, stop.clone());
    tokio::spawn(feed);
    let mut changed = mirror.watch();
    changed.wait_for(|change| *change > 0).await.unwrap();
    assert!(mirror.get("key").is_some());
    // It came from the fresh one, and says how old it is.
    assert!(mirror.age(Instant::now()).unwrap() < Duration::from_secs(4));
    assert!(mirror.vouched().is_some());
    stop.cancel();
}
