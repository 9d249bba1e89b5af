//! Followers that make up for records whose retention was extended only at the other replica.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::Handler;
use gradedyke_turns::message::{self, Keys, Reply, Request};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::{Record, Turn};
use gradedyke_turns::replica::Replica;
use gradedyke_turns::sync::{Follower, Progress};
use gradedyke_turns::view::{Member, View};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::id;

/// The position after the last record of [`OtherReplica`].
const END: u64 = 5;
/// Time within which a request arrives in any case.
const LIMIT: Duration = Duration::from_secs(20);

fn turn(request: &str, parent: Option<&str>) -> Record {
    Record::Turn(Turn {
        request: id(request),
        parent: parent.map(id),
        input: format!("{request}?").into(),
        output: format!("{request}!").into(),
        server: id("s"),
        program: None,
        tokens: 1,
        keep_ms: 60_000,
    })
}

/// A replica that has the turn `a`, whose key it doesn't list. Reports the positions from which its
/// keys are read.
struct OtherReplica(mpsc::UnboundedSender<u64>);

#[async_trait]
impl Handler for OtherReplica {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        let reply = match message::decode(&request) {
            Some(Request::Keys { from, .. }) => {
                let _ = self.0.send(from);
                tokio::time::sleep(Duration::from_millis(20)).await;
                Reply::Keys(Keys {
                    boot: 1,
                    next: END,
                    all: true,
                    keys: Vec::new(),
                    view: 1,
                })
            }
            Some(Request::Records(keys)) => {
                let turn = turn("a", None);
                let is_asked_for = keys.contains(&turn.key());
                Reply::Records(is_asked_for.then_some(turn).into_iter().collect())
            }
            _ => Reply::Hello,
        };
        message::encode(&reply)
    }
}

/// A replica that follows [`OtherReplica`].
struct Setup {
    replica: Arc<Replica>,
    positions: mpsc::UnboundedReceiver<u64>,
    stop: CancellationToken,
    _folder: tempfile::TempDir,
}

impl Setup {
    async fn start() -> Self {
        let stop = CancellationToken::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, positions) = mpsc::unbounded_channel();
        let other = Arc::new(OtherReplica(sender));
        tokio::spawn(gradedyke_peer::server::serve(listener, other, stop.clone()));
        let folder = tempfile::tempdir().unwrap();
        let replica = Replica::open(folder.path(), Mirror::new(&[""]), stop.clone()).unwrap();
        let member = |disk| Member {
            name: format!("m{disk}"),
            disk,
            address,
            data_centre: "here".to_owned(),
            active: true,
        };
        replica.update_view(&View {
            version: 1,
            tolerate: 1,
            members: vec![member(1), member(replica.disk())],
            copies: 0,
            absences: Vec::new(),
        });
        let (progress, _) = watch::channel(Progress::default());
        let follower = Follower::new(replica.clone(), 1, address, progress);
        tokio::spawn(follower.run(stop.clone()));
        Self {
            replica,
            positions,
            stop,
            _folder: folder,
        }
    }

    /// Waits until keys are read from a position.
    async fn wait_for_position(&mut self, position: u64) {
        let wait = async { while self.positions.recv().await != Some(position) {} };
        let result = tokio::time::timeout(LIMIT, wait).await;
        assert!(result.is_ok(), "nothing was read from position {position}");
    }
}

/// A replica that missed that a turn was still needed had removed it, and lacked it for good when
/// the next turn came.
#[tokio::test]
async fn turn_that_is_continued_but_missing_is_fetched() {
    let mut setup = Setup::start().await;
    setup.wait_for_position(END).await;
    let record = turn("b", Some("a"));
    setup.replica.store(&record).await.unwrap();
    assert!(!setup.replica.has_conversation(&id("b")));
    let fetched = async {
        while !setup.replica.has_conversation(&id("b")) {
            setup.positions.recv().await;
        }
    };
    let result = tokio::time::timeout(LIMIT, fetched).await;
    assert!(result.is_ok(), "the turn was not fetched");
    setup.stop.cancel();
}

/// A replica that had been cut off, or whose process had been stopped, went on from where it was, and
/// lacked what it had removed meanwhile.
#[tokio::test]
async fn all_keys_are_compared_after_a_time_without_contact() {
    let mut setup = Setup::start().await;
    setup.wait_for_position(END).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(5)).await;
    tokio::time::resume();
    setup.wait_for_position(0).await;
    setup.wait_for_position(END).await;
    setup.stop.cancel();
}
