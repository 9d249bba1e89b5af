//! Turns that are larger than a page or a message.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Handler, MAX_MESSAGE_BYTES};
use gradedyke_turns::message::{self, Keys, Reply, Request};
use gradedyke_turns::record::{Key, Kind, Record, Turn};
use gradedyke_turns::replica::Replica;
use gradedyke_turns::sync::{Follower, Progress};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Deployment, RunningReplica, id};

/// Longer than any operation takes.
const TIMEOUT: Duration = Duration::from_secs(60);

fn turn(request: &str, parent: Option<&str>, input: Bytes) -> Record {
    Record::Turn(Turn {
        request: id(request),
        parent: parent.map(id),
        input,
        output: "!".into(),
        server: id("s"),
        program: None,
        tokens: 1,
        keep_ms: 600_000,
    })
}

fn input(size: usize) -> Bytes {
    Bytes::from(vec![b'x'; size])
}

/// Follows the replica of `running` with `replica` until that has all of its records.
async fn sync(deployment: &mut Deployment, replica: Arc<Replica>, source: usize) {
    let (sender, mut progress) = watch::channel(Progress::default());
    let member = deployment.replicas[source].member.clone();
    let follower = Follower::new(replica, member.disk, member.address, sender);
    let stop = CancellationToken::new();
    deployment.tasks.spawn(follower.run(stop.clone()));
    let synced = progress.wait_for(|p| p.synced_version.is_some());
    let synced = tokio::time::timeout(TIMEOUT, synced).await;
    assert!(synced.is_ok(), "the records were not copied in {TIMEOUT:?}");
    stop.cancel();
}

/// A replica that asked for many large records at once got no reply, and asked again without end.
#[tokio::test]
async fn large_turns_are_copied_to_a_new_replica() {
    // The number of turns and their size. One call asks for up to 256 of them, which is more than
    // a message holds in the second case.
    for (count, size) in [(130, 160_000), (20, 4_000_000), (1, 20 << 20)] {
        let mut deployment = Deployment::start(1).await;
        let source = deployment.replicas[0].replica.clone();
        for n in 0..count {
            let record = turn(&format!("t{n}"), None, input(size));
            source.store(&record).await.unwrap();
        }
        let folder = tempfile::tempdir().unwrap();
        let mut new_replica = RunningReplica::start(folder, "n1", &mut deployment.tasks).await;
        new_replica.member.active = false;
        let replica = new_replica.replica.clone();
        deployment.replicas.push(new_replica);
        deployment.publish(2);
        sync(&mut deployment, replica, 0).await;
        // Only the new replica is left. It is not active, and so knows all turns.
        deployment.replicas.remove(0).stop.cancel();
        deployment.replicas[0].member.active = true;
        deployment.publish(3);
        let last = format!("t{}", count - 1);
        let request = message::encode(&Request::Chain(id(&last)));
        let client = deployment
            .coordinator
            .client(deployment.replicas[0].member.address);
        let reply = client.call(request, TIMEOUT).await.unwrap();
        let bytes = match message::decode(&reply) {
            Some(Reply::Chain(Some(transcript))) => transcript.body.len(),
            _ => panic!("the turn was not copied"),
        };
        assert_eq!(bytes, size + 1);
    }
}

/// A replica whose reply cannot be sent is not lost, and is not asked again at once.
#[tokio::test]
async fn replica_whose_reply_is_too_large_is_not_unreachable() {
    /// Offers one record, which is too large for a message.
    struct Oversized(Arc<AtomicUsize>);

    #[async_trait]
    impl Handler for Oversized {
        async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
            match message::decode(&request) {
                Some(Request::Keys { .. }) => message::encode(&Reply::Keys(Keys {
                    boot: 1,
                    next: 1,
                    all: true,
                    keys: vec![Key {
                        kind: Kind::Turn,
                        request: id("t"),
                    }],
                    view: 1,
                })),
                _ => {
                    self.0.fetch_add(1, Ordering::Relaxed);
                    Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1])
                }
            }
        }
    }

    let mut deployment = Deployment::start(1).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let handler = Arc::new(Oversized(calls.clone()));
    let serving = gradedyke_peer::server::serve(listener, handler, CancellationToken::new());
    deployment.tasks.spawn(serving);
    let (sender, mut progress) = watch::channel(Progress::default());
    let replica = deployment.replicas[0].replica.clone();
    let follower = Follower::new(replica, 77, address, sender);
    deployment
        .tasks
        .spawn(follower.run(CancellationToken::new()));
    // The first change of the progress follows the first failure.
    let changed = tokio::time::timeout(TIMEOUT, progress.changed()).await;
    changed.expect("no record was asked for").unwrap();
    let progress = *progress.borrow();
    assert!(progress.unreachable_since.is_none());
    assert_eq!(progress.synced_version, None);
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}
