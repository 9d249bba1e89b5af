//! Replies of a replica whose records on disk haven't been loaded yet.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use gradedyke_peer::Handler;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::index::Index;
use gradedyke_turns::load::Report;
use gradedyke_turns::log::Log;
use gradedyke_turns::message::{self, Begin, Found, Keys, Reply, Request};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::{Id, Record, Reserved, Settled, Turn};
use gradedyke_turns::replica::Replica;
use proptest::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const RETENTION_MS: u32 = 60_000;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

fn reserved(program: &str, request: &str, tokens: u32) -> Record {
    Record::Reserved(Reserved {
        program: id(program),
        request: id(request),
        tokens,
        keep_ms: RETENTION_MS,
    })
}

fn settled(program: &str, request: &str, tokens: u32) -> Record {
    Record::Settled(Settled {
        program: id(program),
        request: id(request),
        tokens,
        keep_ms: RETENTION_MS,
    })
}

fn turn(program: &str, request: &str, parent: Option<&str>, bytes: usize) -> Record {
    let mut input = vec![b'.'; bytes];
    input.extend_from_slice(request.as_bytes());
    Record::Turn(Turn {
        request: id(request),
        parent: parent.map(id),
        input: input.into(),
        output: "!".into(),
        server: id("s"),
        program: Some(id(program)),
        tokens: 3,
        keep_ms: RETENTION_MS,
    })
}

async fn write(folder: &Path, records: &[Record]) {
    let log = Log::open(folder).unwrap().0;
    for record in records {
        log.append(record).await.unwrap();
    }
}

/// A replica that has been opened; no records are loaded.
struct UnrecoveredReplica {
    replica: Arc<Replica>,
    dispatcher: Dispatcher,
    stop: CancellationToken,
}

impl UnrecoveredReplica {
    fn new(folder: &Path) -> Self {
        let stop = CancellationToken::new();
        let mirror = Mirror::new(&[]);
        let replica = Replica::open(folder, mirror.clone(), stop.clone()).unwrap();
        let (_, receiver) = watch::channel(Some(replica.clone()));
        let dispatcher = Dispatcher::new(mirror, receiver);
        Self {
            replica,
            dispatcher,
            stop,
        }
    }

    async fn send(&self, request: &Request) -> Reply {
        let reply = self
            .dispatcher
            .handle(message::encode(request), Instant::now())
            .await;
        message::decode(&reply).unwrap()
    }

    /// Begins a new attempt. Returns the program's other attempts and the parent turn.
    async fn begin(&self, program: &str, parent: Option<&str>) -> (AttemptUsage, Option<Found>) {
        let Record::Reserved(reserve) = reserved(program, "new", 7) else {
            unreachable!()
        };
        let request = Request::Begin(Begin {
            view: 0,
            reserve: Some(reserve),
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
                let others = attempts.into_iter().filter(|a| a.request != id("new"));
                (
                    others.map(|a| (a.request, (a.tokens, a.settled))).collect(),
                    parent,
                )
            }
            reply => panic!("{reply:?}"),
        }
    }

    /// Reads a conversation page by page.
    async fn conversation(&self, turn: &str) -> Vec<u8> {
        let mut body = Vec::new();
        let mut next = Some(0);
        while let Some(from) = next {
            let turn = id(turn);
            let reply = self.send(&Request::ChainPage { turn, from }).await;
            let Reply::ChainPage(Some(page)) = reply else {
                panic!("{reply:?}");
            };
            body.extend_from_slice(&page.body);
            next = page.next;
        }
        body
    }

    async fn keys(&self) -> Keys {
        let request = Request::Keys {
            disk: 1,
            boot: 0,
            from: 0,
        };
        match self.send(&request).await {
            Reply::Keys(keys) => keys,
            reply => panic!("{reply:?}"),
        }
    }
}

/// Tokens of each attempt, and whether it is settled.
type AttemptUsage = HashMap<Id, (u32, bool)>;

#[tokio::test]
async fn requests_are_served_before_recovery() {
    let folder = tempfile::tempdir().unwrap();
    // Large enough for more than one segment.
    let records = [
        reserved("p", "a", 10),
        turn("p", "a", None, 3 << 20),
        reserved("p", "b", 10),
        turn("p", "b", Some("a"), 3 << 20),
        reserved("q", "c", 10),
        settled("q", "c", 2),
    ];
    write(folder.path(), &records).await;
    let opened = UnrecoveredReplica::new(folder.path());
    let (usage, found) = opened.begin("p", Some("b")).await;
    assert_eq!(usage, [(id("a"), (3, true)), (id("b"), (3, true))].into());
    let len = 2 * ((3 << 20) + 2);
    let Some(Found::Large(bytes)) = found else {
        panic!("{found:?}");
    };
    assert!((len..len + 1_000).contains(&(bytes as usize)), "{bytes}");
    let body = opened.conversation("b").await;
    assert!(body.ends_with(b"b!"));
    assert_eq!(body.len(), len);
    let (usage, _) = opened.begin("q", None).await;
    assert_eq!(usage, [(id("c"), (2, true))].into());
    let (usage, found) = opened.begin("unheard-of", Some("nowhere")).await;
    assert_eq!((usage, found), (AttemptUsage::new(), Some(Found::Missing)));
    // Another program continues a turn of the first one.
    let reopened = UnrecoveredReplica::new(folder.path());
    let (_, found) = reopened.begin("another", Some("b")).await;
    assert!(matches!(found, Some(Found::Large(_))), "{found:?}");
    // Pages are served before recovery even if they are the first requests.
    let reopened = UnrecoveredReplica::new(folder.path());
    assert_eq!(reopened.conversation("b").await.len(), len);
}

#[tokio::test]
async fn keys_are_incomplete_until_recovery_ends() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[turn("p", "a", None, 10)]).await;
    let opened = UnrecoveredReplica::new(folder.path());
    let keys = opened.keys().await;
    assert!(!keys.all, "keys are complete before the disk was read");
    opened.replica.clone().recover().await;
    let keys = opened.keys().await;
    assert!(keys.all);
    assert_eq!(keys.keys, [turn("p", "a", None, 10).key()]);
}

#[tokio::test(start_paused = true)]
async fn no_segment_is_removed_before_recovery() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[turn("p", "a", None, 10)]).await;
    let opened = UnrecoveredReplica::new(folder.path());
    let expire = tokio::spawn(opened.replica.clone().run_expiry());
    tokio::time::sleep(std::time::Duration::from_secs(600)).await;
    let (_, found) = opened.begin("p", Some("a")).await;
    assert!(matches!(found, Some(Found::Whole(_))), "{found:?}");
    opened.stop.cancel();
    expire.await.unwrap();
}

#[tokio::test]
async fn turn_in_unreadable_segment_is_not_reported_as_missing() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), &[turn("p", "a", None, 10)]).await;
    let opened = UnrecoveredReplica::new(folder.path());
    let segment = folder.path().join("turns-00000001.log");
    fs::write(&segment, b"other bytes than the table was made of").unwrap();
    let request = Request::Begin(Begin {
        view: 0,
        reserve: None,
        parent: Some(id("a")),
        nearest: true,
        load: Report::default(),
        usage: None,
        first: false,
        patience_ms: 1_000,
    });
    let reply = opened.send(&request).await;
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
}

/// Generates up to 39 records of four programs whose turns continue each other.
fn arbitrary_records() -> impl Strategy<Value = Vec<Record>> {
    let step = (0..4_usize, 0..3_u8, any::<prop::sample::Index>());
    prop::collection::vec(step, 1..40).prop_map(|steps| {
        let mut turns: Vec<String> = Vec::new();
        let mut records = Vec::new();
        for (number, (program, kind, index)) in steps.into_iter().enumerate() {
            let (program, request) = (format!("p{program}"), format!("r{number}"));
            match kind {
                0 => records.push(reserved(&program, &request, 5)),
                1 => records.push(settled(&program, &request, 2)),
                _ => {
                    let parent = (!turns.is_empty()).then(|| index.get(&turns).clone());
                    records.push(turn(&program, &request, parent.as_deref(), 10));
                    turns.push(request);
                }
            }
        }
        records
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Compares the replies before and during recovery with an index of all records.
    #[test]
    fn replies_match_an_index_of_all_records(
        records in arbitrary_records(),
        restarts in prop::collection::vec(any::<prop::sample::Index>(), 0..3),
        recover_concurrently in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let folder = tempfile::tempdir().unwrap();
            let mut ends: Vec<usize> = restarts.iter().map(|r| r.index(records.len())).collect();
            ends.push(records.len());
            ends.sort_unstable();
            let mut from = 0;
            for end in ends {
                write(folder.path(), &records[from..end]).await;
                from = end;
            }
            let mut reference = Index::new(usize::MAX);
            for record in &records {
                reference.apply(record, 1, Instant::now());
            }
            for record in &records {
                let request = record.key().request;
                let program = match record {
                    Record::Reserved(r) => r.program.clone(),
                    Record::Settled(s) => s.program.clone(),
                    Record::Turn(t) => t.program.clone().unwrap(),
                };
                let opened = UnrecoveredReplica::new(folder.path());
                if recover_concurrently {
                    tokio::spawn(opened.replica.clone().recover());
                }
                let (usage, found) = opened.begin(program.as_str(), Some(request.as_str())).await;
                let attempts = reference.attempts(&program).into_iter();
                let expected: AttemptUsage = attempts
                    .map(|a| (a.request, (a.tokens, a.settled)))
                    .collect();
                assert_eq!(usage, expected);
                let transcript = reference.conversation(&request).and_then(|c| c.transcript(&[]));
                let expected = transcript.map_or(Found::Missing, Found::Whole);
                assert_eq!(found, Some(expected));
            }
        });
    }
}
