//! How long a replica retains what a running turn needs, in virtual time.

use std::time::Duration;

use gradedyke_peer::Handler;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::load::Report;
use gradedyke_turns::message::{self, Begin, Found, Reply, Request};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::{Id, Record, Reserved, Turn};
use gradedyke_turns::replica::Replica;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

fn turn(request: &str, parent: Option<&str>, keep_s: u32) -> Record {
    Record::Turn(Turn {
        request: id(request),
        parent: parent.map(id),
        input: format!("{request}?").into(),
        output: format!("{request}!").into(),
        server: id("s"),
        program: None,
        tokens: 1,
        keep_ms: keep_s * 1_000,
    })
}

/// A replica that removes expired records. The clock stands still while it writes to disk.
struct Keeper {
    _folder: tempfile::TempDir,
    dispatcher: Dispatcher,
    stop: CancellationToken,
    _expiry: JoinHandle<()>,
}

impl Keeper {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let stop = CancellationToken::new();
        let mirror = Mirror::new(&[]);
        let replica = Replica::open(folder.path(), mirror.clone(), stop.clone()).unwrap();
        let (_, receiver) = watch::channel(Some(replica.clone()));
        Self {
            _folder: folder,
            dispatcher: Dispatcher::new(mirror, receiver),
            stop,
            _expiry: tokio::spawn(replica.run_expiry()),
        }
    }

    async fn send(&self, request: &Request) -> Reply {
        let request = message::encode(request);
        let reply = self.dispatcher.handle(request, Instant::now()).await;
        message::decode(&reply).unwrap()
    }

    async fn store(&self, record: Record) {
        let request = Request::Keep {
            view: 0,
            record,
            usage: None,
        };
        let reply = self.send(&request).await;
        assert!(matches!(reply, Reply::Kept { .. }), "{reply:?}");
    }

    /// Begins an attempt. Returns the number of the program's attempts, and the conversation.
    async fn begin(&self, reserve: Option<Reserved>, parent: Option<&str>) -> (usize, String) {
        let request = Request::Begin(Begin {
            view: 0,
            reserve,
            parent: parent.map(id),
            nearest: true,
            load: Report::default(),
            usage: None,
            first: false,
            patience_ms: 1_000,
        });
        match self.send(&request).await {
            Reply::Began {
                attempts, parent, ..
            } => {
                let conversation = match parent {
                    Some(Found::Whole(transcript)) => {
                        String::from_utf8(transcript.body.to_vec()).unwrap()
                    }
                    other => format!("{other:?}"),
                };
                (attempts.len(), conversation)
            }
            reply => panic!("{reply:?}"),
        }
    }

    async fn hold(&self, parent: Option<&str>, program: Option<&str>) {
        let request = Request::Hold {
            parent: parent.map(id),
            program: program.map(id),
        };
        let reply = self.send(&request).await;
        assert!(matches!(reply, Reply::Kept { .. }), "{reply:?}");
    }

    fn stop(&self) {
        self.stop.cancel();
    }
}

/// Lets time pass, in steps that are shorter than the interval of removals.
async fn pass(seconds: u64) {
    tokio::time::pause();
    for _ in 0..2 * seconds {
        tokio::time::advance(Duration::from_millis(500)).await;
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
    }
    tokio::time::resume();
}

/// A conversation was lost because its next turn took longer than the rest of its retention time.
#[tokio::test]
async fn conversation_is_retained_while_its_next_turn_runs() {
    let keeper = Keeper::start();
    keeper.store(turn("a", None, 60)).await;
    pass(59).await;
    assert_eq!(keeper.begin(None, Some("a")).await.1, "a?a!");
    pass(12).await;
    keeper.store(turn("b", Some("a"), 60)).await;
    assert_eq!(keeper.begin(None, Some("b")).await.1, "a?a!b?b!");
    keeper.stop();
}

/// A turn that takes longer than records are retained lost its conversation, and its program's use
/// of tokens.
#[tokio::test]
async fn reported_turn_holds_conversation_and_budget_for_as_long_as_it_runs() {
    let keeper = Keeper::start();
    let reserve = |request: &str| {
        Some(Reserved {
            program: id("p"),
            request: id(request),
            tokens: 10,
            keep_ms: 1_000,
        })
    };
    keeper.store(turn("a", None, 1)).await;
    assert_eq!(keeper.begin(reserve("r1"), Some("a")).await.0, 1);
    for _ in 0..10 {
        pass(4).await;
        keeper.hold(Some("a"), Some("p")).await;
    }
    keeper.store(turn("b", Some("a"), 1)).await;
    let (attempts, conversation) = keeper.begin(reserve("r2"), Some("b")).await;
    assert_eq!((attempts, conversation.as_str()), (2, "a?a!b?b!"));
    // Nothing is reported any more.
    pass(60).await;
    let (attempts, conversation) = keeper.begin(reserve("r3"), Some("b")).await;
    assert_eq!((attempts, conversation.as_str()), (1, "Some(Missing)"));
    keeper.stop();
}

/// A process that was stopped removed records on waking up, before it read what extends their
/// retention.
#[tokio::test]
async fn nothing_is_removed_right_after_a_pause_of_the_process() {
    let keeper = Keeper::start();
    keeper.store(turn("a", None, 60)).await;
    pass(59).await;
    keeper.begin(None, Some("a")).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(30)).await;
    tokio::time::resume();
    for _ in 0..8 {
        tokio::task::yield_now().await;
    }
    keeper.store(turn("b", Some("a"), 60)).await;
    assert_eq!(keeper.begin(None, Some("b")).await.1, "a?a!b?b!");
    keeper.stop();
}

/// The operator had turns retained for longer, and a conversation under way was lost when its
/// earlier turns expired.
#[tokio::test]
async fn conversation_is_retained_for_as_long_as_its_last_turn() {
    let keeper = Keeper::start();
    keeper.store(turn("a", None, 15)).await;
    pass(5).await;
    keeper.store(turn("b", Some("a"), 60)).await;
    pass(58).await;
    assert_eq!(keeper.begin(None, Some("b")).await.1, "a?a!b?b!");
    keeper.stop();
}
