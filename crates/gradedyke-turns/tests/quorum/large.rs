//! Turns and conversations that are larger than a page or a message.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Handler, MAX_MESSAGE_BYTES};
use gradedyke_turns::conversation::MAX_CONVERSATION_BYTES;
use gradedyke_turns::load::Report;
use gradedyke_turns::message::{self, Keys, Reply, Request};
use gradedyke_turns::quorum::{BeginParams, Error};
use gradedyke_turns::record::{Key, Kind, MAX_TURN_BYTES, Record, Turn};
use gradedyke_turns::replica::Replica;
use gradedyke_turns::sync::{Follower, Progress};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Deployment, RunningReplica, id, operation_deadline};

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
            Some(Reply::ChainPage(Some(page))) => page.body.len(),
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

fn continue_turn(parent: &str, input_bytes: usize) -> BeginParams {
    BeginParams {
        reservation: None,
        parent: Some(id(parent)),
        input_bytes,
        is_first_turn: false,
        load: Report::default(),
        usage: None,
        try_timeout: Duration::from_secs(1),
        deadline: operation_deadline(),
        conversation_deadline: Instant::now() + TIMEOUT,
    }
}

/// A conversation that is larger than a message was refused as if the replicas were lost.
#[tokio::test]
async fn conversation_of_many_pages_is_read_whole() {
    let deployment = Deployment::start(3).await;
    let deadline = Instant::now() + TIMEOUT;
    let mut expected = Vec::new();
    let mut parent: Option<String> = None;
    // 24 MB, of turns that are smaller and larger than a page.
    for (n, size) in [4_000_000, 10, 8_000_000, 300_000, 12_000_000, 70_000]
        .into_iter()
        .enumerate()
    {
        let text = input(size);
        expected.extend_from_slice(&text);
        expected.push(b'!');
        let request = format!("t{n}");
        let record = turn(&request, parent.as_deref(), text);
        let stored = deployment.coordinator.store(&record, None, deadline).await;
        stored.unwrap();
        parent = Some(request);
    }
    let begun = deployment.coordinator.begin(&continue_turn("t5", 9)).await;
    let transcript = begun.unwrap().transcript.unwrap();
    assert!(transcript.body == expected);
    // Once the nearest replica is gone, another one is asked.
    deployment.stop(0);
    let begun = deployment.coordinator.begin(&continue_turn("t5", 9)).await;
    assert!(begun.unwrap().transcript.unwrap().body == expected);
}

/// What no server could be sent is refused for that reason, not as if the replicas were lost.
#[tokio::test]
async fn oversized_turn_and_conversation_are_rejected_with_their_size() {
    let deployment = Deployment::start(2).await;
    let deadline = Instant::now() + TIMEOUT;
    let too_large = turn("a", None, input(MAX_TURN_BYTES));
    let stored = deployment.coordinator.store(&too_large, None, deadline);
    assert_eq!(stored.await, Err(Error::TurnTooLarge(MAX_TURN_BYTES + 1)));
    let record = turn("b", None, input(4 << 20));
    let stored = deployment.coordinator.store(&record, None, deadline).await;
    stored.unwrap();
    let room = MAX_CONVERSATION_BYTES - (5 << 20);
    let begun = deployment
        .coordinator
        .begin(&continue_turn("b", room))
        .await;
    assert!(begun.is_ok(), "{:?}", begun.err());
    let room = MAX_CONVERSATION_BYTES - (3 << 20);
    let begun = deployment
        .coordinator
        .begin(&continue_turn("b", room))
        .await;
    let limit = 3 << 20;
    let is_expected =
        |e| matches!(e, Error::ConversationTooLarge { bytes, limit: l } if bytes > l && l == limit);
    assert!(begun.is_err_and(is_expected));
}
