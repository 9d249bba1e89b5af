//! Attempts and records with real replicas over loopback, some of them lost.
//!
//! - `arrivals`: replicas that follow each other, start or have too much to do.
//! - `ways`: around a cut between an entry and the replicas.

mod arrivals;
mod ways;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gradedyke_turns::desk::Desk;
use gradedyke_turns::load::{Busy, Report};
use gradedyke_turns::membership;
use gradedyke_turns::mirror::{Item, Mirror};
use gradedyke_turns::quorum::{Ask, Quorum, Refusal};
use gradedyke_turns::record::{Id, Record, Reserved, Settled, Turn};
use gradedyke_turns::replica::Replica;
use gradedyke_turns::view::{self, Member, View};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

fn id(text: &str) -> Id {
    Id::parse(text).unwrap()
}

struct Node {
    folder: tempfile::TempDir,
    replica: Arc<Replica>,
    member: Member,
    stop: CancellationToken,
}

impl Node {
    async fn start(folder: tempfile::TempDir, name: &str, tasks: &mut JoinSet<()>) -> Self {
        let stop = CancellationToken::new();
        let mirror = Mirror::new(&[""]);
        let replica = Replica::open(folder.path(), mirror.clone(), stop.clone()).unwrap();
        tasks.spawn(replica.clone().recover());
        let (_, ready) = watch::channel(Some(replica.clone()));
        let desk = Arc::new(Desk::new(mirror, ready));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let member = Member {
            name: name.to_owned(),
            disk: replica.disk(),
            address: listener.local_addr().unwrap(),
            data_centre: "here".to_owned(),
            active: true,
        };
        let serving = gradedyke_peer::server::serve(listener, desk, stop.clone());
        tasks.spawn(serving);
        Self {
            folder,
            replica,
            member,
            stop,
        }
    }
}

struct Group {
    nodes: Vec<Node>,
    mirror: Arc<Mirror>,
    quorum: Arc<Quorum>,
    tasks: JoinSet<()>,
}

impl Group {
    async fn start(count: usize) -> Self {
        let mut tasks = JoinSet::new();
        let mut nodes = Vec::new();
        for number in 0..count {
            let folder = tempfile::tempdir().unwrap();
            nodes.push(Node::start(folder, &format!("n{number}"), &mut tasks).await);
        }
        let mirror = Mirror::new(&[""]);
        let quorum = Quorum::new(mirror.clone(), "here", None);
        let group = Self {
            nodes,
            mirror,
            quorum,
            tasks,
        };
        group.publish(1);
        group
    }

    fn view(&self, version: u64) -> View {
        View {
            version,
            tolerate: 1,
            members: self.nodes.iter().map(|n| n.member.clone()).collect(),
        }
    }

    /// Tells the asking side, and the replicas, of the members.
    fn publish(&self, version: u64) {
        let view = self.view(version);
        let item = Item {
            key: view::KEY.to_owned(),
            value: Some(serde_json::to_vec(&view).unwrap().into()),
            revision: version,
        };
        self.mirror.put(vec![item], Instant::now());
        self.nodes.iter().for_each(|n| n.replica.learn(&view));
        assert_eq!(membership::read(&self.mirror).unwrap().0, view);
    }

    fn stop(&self, number: usize) {
        self.nodes[number].stop.cancel();
    }

    async fn reserve(&self, request: &str, tokens: u32, budget: u64) -> Result<(), Refusal> {
        let reserved = Reserved {
            program: id("p"),
            request: id(request),
            tokens,
            keep_ms: 60_000,
        };
        let ask = Ask {
            reserve: Some((reserved, budget)),
            parent: None,
            first: false,
            load: Report::default(),
            usage: None,
            time: Duration::from_secs(1),
            until: soon(),
        };
        self.quorum.begin(&ask).await.map(|_| ())
    }

    async fn settle(&self, request: &str, tokens: u32) {
        let record = Record::Settled(Settled {
            program: id("p"),
            request: id(request),
            tokens,
            keep_ms: 60_000,
        });
        self.quorum.keep(&record, None, soon()).await.unwrap();
    }

    async fn keep(&self, request: &str, parent: Option<&str>) -> Result<(), Refusal> {
        let record = Record::Turn(Turn {
            request: id(request),
            parent: parent.map(id),
            input: format!("{request}?").into(),
            output: format!("{request}!").into(),
            server: id("s"),
            program: None,
            tokens: 1,
            keep_ms: 60_000,
        });
        self.quorum.keep(&record, None, soon()).await.map(|_| ())
    }

    async fn chain(&self, parent: &str) -> Result<Option<Bytes>, Refusal> {
        let ask = Ask {
            reserve: None,
            parent: Some(id(parent)),
            first: false,
            load: Report::default(),
            usage: None,
            time: Duration::from_secs(1),
            until: soon(),
        };
        let chain = self.quorum.begin(&ask).await;
        chain.map(|c| c.chain.map(|c| c.body))
    }
}

/// Far enough off that only a missing majority takes so long.
fn soon() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

#[tokio::test]
async fn a_kept_turn_is_told_whoever_is_lost() {
    for lost in 0..3 {
        let group = Group::start(3).await;
        group.keep("a", None).await.unwrap();
        group.keep("b", Some("a")).await.unwrap();
        group.stop(lost);
        let body = group.chain("b").await.unwrap().unwrap();
        assert_eq!(body, "a?a!b?b!", "without {lost}");
    }
}

#[tokio::test]
async fn without_a_majority_nothing_is_kept_and_nothing_denied() {
    let group = Group::start(3).await;
    group.stop(0);
    group.keep("a", None).await.unwrap();
    group.stop(1);
    let refused = group.keep("b", Some("a")).await.unwrap_err();
    assert!(matches!(refused, Refusal::NoQuorum { .. }), "{refused:?}");
    let refused = group.chain("a").await.unwrap_err();
    assert!(matches!(refused, Refusal::NoQuorum { .. }), "{refused:?}");
}

#[tokio::test]
async fn one_that_has_everything_and_a_newcomer_keep_what_two_disks_hold() {
    let mut group = Group::start(2).await;
    group.keep("a", None).await.unwrap();
    // The second has lost its disk and is not level again.
    let node = group.nodes.remove(1);
    node.stop.cancel();
    let empty = tempfile::tempdir().unwrap();
    let mut newcomer = Node::start(empty, "n1", &mut group.tasks).await;
    newcomer.member.active = false;
    group.nodes.push(newcomer);
    group.publish(2);
    assert!(group.quorum.reachable());
    group.keep("b", Some("a")).await.unwrap();
    assert_eq!(group.chain("b").await.unwrap().unwrap(), "a?a!b?b!");
    // One disk is not enough, whichever it is.
    group.stop(1);
    let refused = group.keep("c", Some("b")).await.unwrap_err();
    assert!(matches!(refused, Refusal::NoQuorum { .. }), "{refused:?}");
}

#[tokio::test]
async fn a_turn_is_denied_only_when_all_say_so() {
    let group = Group::start(3).await;
    assert_eq!(group.chain("no").await, Err(Refusal::NoTurn));
    group.stop(2);
    assert_eq!(group.chain("no").await, Err(Refusal::Unsure));
}

#[tokio::test]
async fn a_budget_holds_through_losses_and_restarts() {
    let mut group = Group::start(3).await;
    group.reserve("a", 40, 100).await.unwrap();
    group.settle("a", 30).await;
    group.reserve("b", 40, 100).await.unwrap();
    let spent = Refusal::Spent {
        budget: 100,
        used: 70,
        asked: 40,
    };
    assert_eq!(group.reserve("c", 40, 100).await, Err(spent.clone()));
    group.settle("c", 0).await;
    // Each replica in turn is killed and comes back with its disk.
    for number in 0..3 {
        let node = group.nodes.remove(number);
        node.stop.cancel();
        let name = node.member.name.clone();
        let started = Node::start(node.folder, &name, &mut group.tasks).await;
        assert_eq!(started.member.disk, node.member.disk);
        group.nodes.insert(number, started);
        group.publish(number as u64 + 2);
        let request = format!("d{number}");
        assert_eq!(group.reserve(&request, 40, 100).await, Err(spent.clone()));
        group.settle(&request, 0).await;
    }
    group.reserve("e", 30, 100).await.unwrap();
}

#[tokio::test]
async fn of_attempts_at_the_same_time_no_more_are_let_in_than_the_budget_holds() {
    let group = Group::start(3).await;
    let names: Vec<String> = (0..8).map(|n| format!("r{n}")).collect();
    let attempts = names.iter().map(|name| group.reserve(name, 30, 100));
    let results = futures_util::future::join_all(attempts).await;
    let admitted = results.iter().filter(|r| r.is_ok()).count();
    assert!(admitted <= 3, "{results:?}");
}

#[tokio::test]
async fn a_replica_refuses_what_was_sent_under_an_old_view() {
    let group = Group::start(3).await;
    group.keep("a", None).await.unwrap();
    // The replicas know a later view than the asking side, which learns it.
    let later = group.view(7);
    group.nodes.iter().for_each(|n| n.replica.learn(&later));
    group.keep("b", Some("a")).await.unwrap();
    assert_eq!(group.quorum.view().version, 7);
}

#[tokio::test]
async fn entries_learn_what_the_others_have_in_progress() {
    let group = Group::start(3).await;
    let ask = |entry, requests| Ask {
        usage: None,
        reserve: None,
        parent: None,
        first: false,
        load: Report {
            entry,
            address: None,
            busy: vec![Busy {
                server: 7,
                requests,
                failures: 0,
                ended: 0,
                unreached: 0,
                paced: 0,
                pace: 0,
            }],
        },
        time: Duration::from_secs(1),
        until: soon(),
    };
    let alone = group.quorum.begin(&ask(1, 2)).await.unwrap().load;
    assert!(alone.is_none_or(|l| l.is_empty()));
    // The nearest replica may answer after the majority has; it tells next time.
    let mut told = None;
    for _ in 0..100 {
        told = group.quorum.begin(&ask(2, 3)).await.unwrap().load;
        if told.as_ref().is_some_and(|l| !l.is_empty()) {
            break;
        }
    }
    assert_eq!(told.unwrap()[0].requests, 2);
}
