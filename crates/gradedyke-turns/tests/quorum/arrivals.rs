//! Replicas that follow each other, start, or have too much to do.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use gradedyke_peer::Handler;
use gradedyke_turns::desk::Desk;
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

use super::{Group, Node, id};

#[tokio::test]
async fn arrivals_are_told_together_unless_they_fill_a_page() {
    let group = Group::start(1).await;
    let replica = group.nodes[0].replica.clone();
    let record = |n: usize| {
        Record::Settled(Settled {
            program: id("p"),
            request: id(&format!("r{n}")),
            tokens: 1,
            keep_ms: 60_000,
        })
    };
    let (_, ready) = watch::channel(Some(replica.clone()));
    let desk = Desk::new(Mirror::new(&[""]), ready);
    let keys = message::encode(&Request::Keys {
        disk: 1,
        boot: 0,
        from: 0,
    });
    let page = 512;
    // Records that are there, and whether more are waited for.
    for (count, waits) in [(1, true), (page, false)] {
        let kept = (0..count).map(|n| {
            let replica = replica.clone();
            async move { replica.keep(&record(n)).await.unwrap() }
        });
        futures_util::future::join_all(kept).await;
        tokio::time::pause();
        let began = Instant::now();
        let reply = desk.handle(keys.clone(), Instant::now()).await;
        let waited = began.elapsed();
        tokio::time::resume();
        let Some(Reply::Keys(keys)) = message::decode(&reply) else {
            panic!("no keys");
        };
        assert_eq!((keys.keys.len(), keys.all), (count, true));
        assert_eq!(waited > Duration::ZERO, waits, "{count}");
    }
}

#[tokio::test]
async fn an_attempt_waits_for_replicas_that_read_their_disks() {
    let mut group = Group::start(3).await;
    group.keep("a", None).await.unwrap();
    let mut opened = Vec::new();
    // All three come back at once, and none has read its disk yet.
    for node in &mut group.nodes {
        node.stop.cancel();
        let (open, replica) = watch::channel(None);
        let desk = Arc::new(Desk::new(Mirror::new(&[""]), replica));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        node.member.address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let serving = gradedyke_peer::server::serve(listener, desk.clone(), stop);
        group.tasks.spawn(serving);
        opened.push((open, desk, node.replica.clone()));
    }
    group.publish(2);
    let hello = message::encode(&Request::Hello);
    let reading = async {
        for (open, desk, replica) in opened {
            let reply = desk.handle(hello.clone(), Instant::now());
            let reply = tokio::time::timeout(Duration::from_secs(5), reply).await;
            let reply = reply.expect("a replica that starts says nothing");
            assert!(matches!(message::decode(&reply), Some(Reply::Starting)));
            open.send_replace(Some(replica));
        }
    };
    let (chain, ()) = tokio::join!(group.chain("a"), reading);
    assert_eq!(chain.unwrap().unwrap(), "a?a!");
}

#[tokio::test]
async fn a_newcomer_fetches_each_record_once() {
    let mut group = Group::start(2).await;
    for n in 0..40 {
        group.keep(&format!("t{n}"), None).await.unwrap();
    }
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_owned();
    let mut newcomer = Node::start(folder, "n2", &mut group.tasks).await;
    newcomer.member.active = false;
    let replica = newcomer.replica.clone();
    group.nodes.push(newcomer);
    group.publish(2);
    let stop = CancellationToken::new();
    for node in &group.nodes[..2] {
        let (sender, mut progress) = watch::channel(Progress::default());
        let (disk, address) = (node.member.disk, node.member.address);
        let follower = Follower::new(replica.clone(), disk, address, sender);
        group.tasks.spawn(follower.run(stop.clone()));
        let level = progress.wait_for(|p| p.level.is_some());
        let level = tokio::time::timeout(Duration::from_secs(10), level).await;
        assert!(level.is_ok(), "it does not become level");
    }
    stop.cancel();
    group.tasks.shutdown().await;
    let (log, tables) = Log::open(&path).unwrap();
    let segments = tables.iter().map(|(segment, _)| *segment);
    let written: usize = segments.map(|s| log.records(s).unwrap().len()).sum();
    assert_eq!(written, 40);
}

#[tokio::test]
async fn a_replica_with_too_much_to_do_begins_nothing_more_and_ends_what_was_begun() {
    let group = Group::start(1).await;
    let (_, ready) = watch::channel(Some(group.nodes[0].replica.clone()));
    let desk = Desk::new(Mirror::new(&[""]), ready);
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
        .map(|n| desk.handle(begin(n), Instant::now()))
        .collect();
    // All have come before any is written.
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
    let kept = desk.handle(settled, Instant::now()).await;
    assert!(matches!(message::decode(&kept), Some(Reply::Kept { .. })));
    let mut replies: Vec<Bytes> = begins.collect().await;
    replies.push(first);
    let busy = replies
        .iter()
        .filter(|r| matches!(message::decode(r), Some(Reply::Busy(_))));
    let busy = busy.count();
    assert!(busy > count / 2, "{busy} of {count}");
    // There is room again.
    let reply = desk.handle(begin(count), Instant::now()).await;
    assert!(matches!(message::decode(&reply), Some(Reply::Began { .. })));
}
