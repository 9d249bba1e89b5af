//! Attempts and records with real replicas over loopback, some of which fail.
//!
//! - `absent`: replicas that continued without others, or that lost their disk.
//! - `large`: turns and conversations that are larger than a page or a message.
//! - `replicas`: replicas that sync with each other, start up, or are overloaded.
//! - `relay`: entries that reach replicas through other entries.
//! - `resync`: followers that fetch what they removed too early.

mod absent;
mod large;
mod relay;
mod replicas;
mod resync;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::load::{Report, ServerLoad};
use gradedyke_turns::membership;
use gradedyke_turns::mirror::{Item, Mirror};
use gradedyke_turns::quorum::{BeginParams, Coordinator, Error};
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

/// A replica with its server.
struct RunningReplica {
    folder: tempfile::TempDir,
    replica: Arc<Replica>,
    member: Member,
    stop: CancellationToken,
}

impl RunningReplica {
    async fn start(folder: tempfile::TempDir, name: &str, tasks: &mut JoinSet<()>) -> Self {
        let stop = CancellationToken::new();
        let mirror = Mirror::new(&[""]);
        let replica = Replica::open(folder.path(), mirror.clone(), stop.clone()).unwrap();
        tasks.spawn(replica.clone().recover());
        let (_, ready) = watch::channel(Some(replica.clone()));
        let dispatcher = Arc::new(Dispatcher::new(mirror, ready));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let member = Member {
            name: name.to_owned(),
            disk: replica.disk(),
            address: listener.local_addr().unwrap(),
            data_centre: "here".to_owned(),
            active: true,
        };
        let serving = gradedyke_peer::server::serve(listener, dispatcher, stop.clone());
        tasks.spawn(serving);
        Self {
            folder,
            replica,
            member,
            stop,
        }
    }
}

/// Replicas and an entry's client of them.
struct Deployment {
    replicas: Vec<RunningReplica>,
    mirror: Arc<Mirror>,
    coordinator: Arc<Coordinator>,
    tasks: JoinSet<()>,
}

impl Deployment {
    async fn start(count: usize) -> Self {
        let mut tasks = JoinSet::new();
        let mut replicas = Vec::new();
        for number in 0..count {
            let folder = tempfile::tempdir().unwrap();
            replicas.push(RunningReplica::start(folder, &format!("n{number}"), &mut tasks).await);
        }
        let mirror = Mirror::new(&[""]);
        let coordinator = Coordinator::new(mirror.clone(), "here", None);
        let deployment = Self {
            replicas,
            mirror,
            coordinator,
            tasks,
        };
        deployment.publish(1);
        deployment
    }

    fn view(&self, version: u64) -> View {
        View {
            version,
            tolerate: 1,
            members: self.replicas.iter().map(|n| n.member.clone()).collect(),
            copies: 0,
            absences: Vec::new(),
        }
    }

    /// Publishes the current members, in a view of this version, to the client and the replicas.
    fn publish(&self, version: u64) {
        let view = self.view(version);
        let item = Item {
            key: view::VIEW_KEY.to_owned(),
            value: Some(serde_json::to_vec(&view).unwrap().into()),
            revision: version,
        };
        self.mirror.apply(vec![item], Instant::now());
        self.replicas
            .iter()
            .for_each(|n| n.replica.update_view(&view));
        assert_eq!(membership::read_view(&self.mirror).unwrap().0, view);
    }

    fn stop(&self, number: usize) {
        self.replicas[number].stop.cancel();
    }

    async fn reserve(&self, request: &str, tokens: u32, budget: u64) -> Result<(), Error> {
        let reserved = Reserved {
            program: id("p"),
            request: id(request),
            tokens,
            keep_ms: 60_000,
        };
        let params = BeginParams {
            reservation: Some((reserved, budget)),
            parent: None,
            input_bytes: 0,
            is_first_turn: false,
            load: Report::default(),
            usage: None,
            try_timeout: Duration::from_secs(1),
            deadline: operation_deadline(),
            conversation_deadline: operation_deadline(),
        };
        self.coordinator.begin(&params).await.map(|_| ())
    }

    async fn settle(&self, request: &str, tokens: u32) {
        let record = Record::Settled(Settled {
            program: id("p"),
            request: id(request),
            tokens,
            keep_ms: 60_000,
        });
        self.coordinator
            .store(&record, None, operation_deadline())
            .await
            .unwrap();
    }

    async fn store(&self, request: &str, parent: Option<&str>) -> Result<(), Error> {
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
        self.coordinator
            .store(&record, None, operation_deadline())
            .await
            .map(|_| ())
    }

    async fn transcript(&self, parent: &str) -> Result<Option<Bytes>, Error> {
        let params = BeginParams {
            reservation: None,
            parent: Some(id(parent)),
            input_bytes: 0,
            is_first_turn: false,
            load: Report::default(),
            usage: None,
            try_timeout: Duration::from_secs(1),
            deadline: operation_deadline(),
            conversation_deadline: operation_deadline(),
        };
        let transcript = self.coordinator.begin(&params).await;
        transcript.map(|c| c.transcript.map(|c| c.body))
    }
}

/// A deadline far enough away for any operation with a majority.
fn operation_deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

#[tokio::test]
async fn turn_is_readable_after_loss_of_any_one_replica() {
    for lost in 0..3 {
        let deployment = Deployment::start(3).await;
        deployment.store("a", None).await.unwrap();
        deployment.store("b", Some("a")).await.unwrap();
        deployment.stop(lost);
        let body = deployment.transcript("b").await.unwrap().unwrap();
        assert_eq!(body, "a?a!b?b!", "without replica {lost}");
    }
}

#[tokio::test]
async fn writes_and_reads_without_majority_fail_with_no_quorum() {
    let deployment = Deployment::start(3).await;
    deployment.stop(0);
    deployment.store("a", None).await.unwrap();
    deployment.stop(1);
    let refused = deployment.store("b", Some("a")).await.unwrap_err();
    assert!(matches!(refused, Error::NoQuorum { .. }), "{refused:?}");
    let refused = deployment.transcript("a").await.unwrap_err();
    assert!(matches!(refused, Error::NoQuorum { .. }), "{refused:?}");
}

#[tokio::test]
async fn active_and_joining_replica_both_store_records() {
    let mut deployment = Deployment::start(2).await;
    deployment.store("a", None).await.unwrap();
    // The second replica has lost its disk and has not caught up yet.
    let running = deployment.replicas.remove(1);
    running.stop.cancel();
    let empty = tempfile::tempdir().unwrap();
    let mut new_replica = RunningReplica::start(empty, "n1", &mut deployment.tasks).await;
    new_replica.member.active = false;
    deployment.replicas.push(new_replica);
    deployment.publish(2);
    assert!(deployment.coordinator.is_majority_reachable());
    deployment.store("b", Some("a")).await.unwrap();
    assert_eq!(
        deployment.transcript("b").await.unwrap().unwrap(),
        "a?a!b?b!"
    );
    // A single replica is not enough.
    deployment.stop(1);
    let refused = deployment.store("c", Some("b")).await.unwrap_err();
    assert!(matches!(refused, Error::NoQuorum { .. }), "{refused:?}");
}

#[tokio::test]
async fn missing_turn_is_reported_only_if_all_replicas_answer() {
    let deployment = Deployment::start(3).await;
    assert_eq!(deployment.transcript("no").await, Err(Error::TurnNotFound));
    deployment.stop(2);
    assert_eq!(deployment.transcript("no").await, Err(Error::Indeterminate));
}

#[tokio::test]
async fn budget_is_enforced_after_replica_restarts() {
    let mut deployment = Deployment::start(3).await;
    deployment.reserve("a", 40, 100).await.unwrap();
    deployment.settle("a", 30).await;
    deployment.reserve("b", 40, 100).await.unwrap();
    let spent = Error::BudgetExceeded {
        budget: 100,
        used: 70,
        requested: 40,
    };
    assert_eq!(deployment.reserve("c", 40, 100).await, Err(spent.clone()));
    deployment.settle("c", 0).await;
    // Restart each replica in turn with its disk.
    for number in 0..3 {
        let running = deployment.replicas.remove(number);
        running.stop.cancel();
        let name = running.member.name.clone();
        let started = RunningReplica::start(running.folder, &name, &mut deployment.tasks).await;
        assert_eq!(started.member.disk, running.member.disk);
        deployment.replicas.insert(number, started);
        deployment.publish(number as u64 + 2);
        let request = format!("d{number}");
        assert_eq!(
            deployment.reserve(&request, 40, 100).await,
            Err(spent.clone())
        );
        deployment.settle(&request, 0).await;
    }
    deployment.reserve("e", 30, 100).await.unwrap();
}

#[tokio::test]
async fn concurrent_reservations_do_not_exceed_budget() {
    let deployment = Deployment::start(3).await;
    let names: Vec<String> = (0..8).map(|n| format!("r{n}")).collect();
    let attempts = names.iter().map(|name| deployment.reserve(name, 30, 100));
    let results = futures_util::future::join_all(attempts).await;
    let admitted = results.iter().filter(|r| r.is_ok()).count();
    assert!(admitted <= 3, "{results:?}");
}

#[tokio::test]
async fn request_with_stale_view_is_rejected_and_retried() {
    let deployment = Deployment::start(3).await;
    deployment.store("a", None).await.unwrap();
    // The replicas have a newer view than the client, which gets it from them.
    let later = deployment.view(7);
    deployment
        .replicas
        .iter()
        .for_each(|n| n.replica.update_view(&later));
    deployment.store("b", Some("a")).await.unwrap();
    assert_eq!(deployment.coordinator.view().version, 7);
}

#[tokio::test]
async fn entries_receive_load_of_other_entries() {
    let deployment = Deployment::start(3).await;
    let params = |entry, requests| BeginParams {
        usage: None,
        reservation: None,
        parent: None,
        input_bytes: 0,
        is_first_turn: false,
        load: Report {
            entry,
            address: None,
            busy: vec![ServerLoad {
                server: 7,
                requests,
                failures: 0,
                ended: 0,
                unreached: 0,
                paced: 0,
                pace: 0,
            }],
        },
        try_timeout: Duration::from_secs(1),
        deadline: operation_deadline(),
        conversation_deadline: operation_deadline(),
    };
    let first_load = deployment
        .coordinator
        .begin(&params(1, 2))
        .await
        .unwrap()
        .load;
    assert!(first_load.is_none_or(|l| l.is_empty()));
    // The nearest replica may answer after the majority has; its load then comes with a later
    // attempt.
    let mut last_load = None;
    for _ in 0..100 {
        last_load = deployment
            .coordinator
            .begin(&params(2, 3))
            .await
            .unwrap()
            .load;
        if last_load.as_ref().is_some_and(|l| !l.is_empty()) {
            break;
        }
    }
    assert_eq!(last_load.unwrap()[0].requests, 2);
}
