//! Replicas that sync with each other, start up, or are overloaded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gradedyke_peer::Handler;
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::load::Report;
use gradedyke_turns::log::Log;
use gradedyke_turns::message::{self, Begin, Reply, Request};
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::{Record, Reserved, Settled};
use gradedyke_turns::sync::{Follower, Progress};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Deployment, RunningReplica, id};

#[tokio::test]
async fn keys_request_waits_for_more_records_unless_a_page_is_full() {
    let deployment = Deployment::start(1).await;
    let replica = deployment.replicas[0].replica.clone();
    let record = |n: usize| {
        Record::Settled(Settled {
            program: id("p"),
            request: id(&format!("r{n}")),
            tokens: 1,
            keep_ms: 60_000,
        })
    };
    let (_, ready) = watch::channel(Some(replica.clone()));
    let dispatcher = Dispatcher::new(Mirror::new(&[""]), ready);
    let keys = message::encode(&Request::Keys {
        disk: 1,
        boot: 0,
        from: 0,
    });
    // `MAX_PAGE_KEYS` of a replica.
    let page_len = 512;
    // Number of stored records, and whether the request waits for more.
    for (count, should_wait) in [(1, true), (page_len, false)] {
        let writes = (0..count).map(|n| {
            let replica = replica.clone();
            async move { replica.store(&record(n)).await.unwrap() }
        });
        futures_util::future::join_all(writes).await;
        tokio::time::pause();
        let started = Instant::now();
        let reply = dispatcher.handle(keys.clone(), Instant::now()).await;
        let waited = started.elapsed();
        tokio::time::resume();
        let Some(Reply::Keys(keys)) = message::decode(&reply) else {
            panic!("the reply is not Reply::Keys");
        };
        assert_eq!((keys.keys.len(), keys.all), (count, true));
        assert_eq!(waited > Duration::ZERO, should_wait, "{count} records");
    }
}

#[tokio::test]
async fn begin_retries_while_replicas_recover_from_disk() {
    let mut deployment = Deployment::start(3).await;
    deployment.store("a", None).await.unwrap();
    let mut restarted = Vec::new();
    // All three restart at once, and none has recovered from its disk yet.
    for running in &mut deployment.replicas {
        running.stop.cancel();
        let (replica_sender, replica) = watch::channel(None);
        let dispatcher = Arc::new(Dispatcher::new(Mirror::new(&[""]), replica));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        running.member.address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let serving = gradedyke_peer::server::serve(listener, dispatcher.clone(), stop);
        deployment.tasks.spawn(serving);
        restarted.push((replica_sender, dispatcher, running.replica.clone()));
    }
    deployment.publish(2);
    let hello = message::encode(&Request::Hello);
    let recovery = async {
        for (replica_sender, dispatcher, replica) in restarted {
            let reply = dispatcher.handle(hello.clone(), Instant::now());
            let reply = tokio::time::timeout(Duration::from_secs(5), reply).await;
            let reply = reply.expect("a starting replica did not reply in 5 s");
            assert!(matches!(message::decode(&reply), Some(Reply::Starting)));
            replica_sender.send_replace(Some(replica));
        }
    };
    let (transcript, ()) = tokio::join!(deployment.transcript("a"), recovery);
    assert_eq!(transcript.unwrap().unwrap(), "a?a!");
}

#[tokio::test]
async fn new_replica_fetches_each_record_once() {
    let mut deployment = Deployment::start(2).await;
    for n in 0..40 {
        deployment.store(&format!("t{n}"), None).await.unwrap();
    }
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_owned();
    let mut new_replica = RunningReplica::start(folder, "n2", &mut deployment.tasks).await;
    new_replica.member.active = false;
    let replica = new_replica.replica.clone();
    deployment.replicas.push(new_replica);
    deployment.publish(2);
    let stop = CancellationToken::new();
    for running in &deployment.replicas[..2] {
        let (sender, mut progress) = watch::channel(Progress::default());
        let (disk, address) = (running.member.disk, running.member.address);
        let follower = Follower::new(replica.clone(), disk, address, sender);
        deployment.tasks.spawn(follower.run(stop.clone()));
        let caught_up = progress.wait_for(|p| p.synced_version.is_some());
        let caught_up = tokio::time::timeout(Duration::from_secs(10), caught_up).await;
        assert!(
            caught_up.is_ok(),
            "the new replica did not catch up in 10 s"
        );
    }
    stop.cancel();
    deployment.tasks.shutdown().await;
    let (log, tables) = Log::open(&path).unwrap();
    let segments = tables.iter().map(|(segment, _)| *segment);
    let written: usize = segments.map(|s| log.read_segment(s).unwrap().len()).sum();
    assert_eq!(written, 40);
}

#[tokio::test]
async fn overloaded_replica_rejects_begins_and_accepts_settlements() {
    let deployment = Deployment::start(1).await;
    let (_, ready) = watch::channel(Some(deployment.replicas[0].replica.clone()));
    let dispatcher = Dispatcher::new(Mirror::new(&[""]), ready);
    let begin = |n: usize| {
        message::encode(&Request::Begin(Begin {
            view: 1,
            reserve: Some(Reserved {
                program: id("p"),
                request: id(&format!("r{n}")),
                tokens: 1,
                keep_ms: 60_000,
            }),
            parent: None,
            nearest: false,
            load: Report::default(),
            usage: None,
            first: false,
            patience_ms: 60_000,
        }))
    };
    let count = 1_000;
    let mut begins: FuturesUnordered<_> = (0..count)
        .map(|n| dispatcher.handle(begin(n), Instant::now()))
        .collect();
    // All requests are submitted at once.
    let first = begins.next().await.unwrap();
    let settled = message::encode(&Request::Keep {
        usage: None,
        view: 1,
        record: Record::Settled(Settled {
            program: id("p"),
            request: id("r0"),
            tokens: 1,
            keep_ms: 60_000,
        }),
    });
    let kept = dispatcher.handle(settled, Instant::now()).await;
    assert!(matches!(message::decode(&kept), Some(Reply::Kept { .. })));
    let mut replies: Vec<Bytes> = begins.collect().await;
    replies.push(first);
    let busy = replies
        .iter()
        .filter(|r| matches!(message::decode(r), Some(Reply::Busy(_))));
    let busy = busy.count();
    assert!(busy > count / 2, "{busy} of {count} rejected");
    // Once the others have completed, a request is admitted again.
    let reply = dispatcher.handle(begin(count), Instant::now()).await;
    assert!(matches!(message::decode(&reply), Some(Reply::Began { .. })));
}
