//! The command that tells of requests under which backend servers ended.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;

use gradedyke_turns::crash::{Fingerprint, Registry, Report, Run, Scope, ServerKey, State};
use gradedyke_turns::desk::Dispatcher;
use gradedyke_turns::mirror::Mirror;
use gradedyke_turns::record::Id;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Starts a keeper that knows a request under which `ended` servers ended.
async fn start_keeper(ended: u32) -> (SocketAddr, Arc<Registry>) {
    let (_, no_replica) = watch::channel(None);
    let dispatcher = Arc::new(Dispatcher::new(Mirror::new(&[""]), no_replica));
    let registry = dispatcher.crashes().clone();
    let runs = (0..ended).map(|number| Run {
        server: ServerKey::from(&Id::parse(&format!("s{number}")).unwrap()),
        prior: 0,
        state: State::Ended,
    });
    let report = Report {
        fingerprint: Fingerprint::new(Scope::Program, &[Some(b"fatal")]),
        runs: runs.collect(),
        keep_ms: 0,
        age_ms: 0,
    };
    registry.merge(&[report], Instant::now());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(gradedyke_peer::server::serve(listener, dispatcher, stop));
    (address, registry)
}

/// Runs the command and returns its output.
async fn run(args: Vec<String>) -> String {
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gradedyke"));
        command.arg("crashes").args(args).output().unwrap()
    };
    let output = tokio::task::spawn_blocking(run).await.unwrap();
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against refused content that operators can neither see nor allow again.
#[tokio::test]
async fn refused_requests_are_listed_and_cleared() {
    let (address, registry) = start_keeper(3).await;
    let address = address.to_string();
    let listed = run(vec![address.clone()]).await;
    let fingerprint = registry.entries(Instant::now())[0].fingerprint;
    let expected = format!("fingerprint={fingerprint} state=refused counted=3 ended=3 age_s=");
    assert!(listed.starts_with(&expected), "{listed}");
    let clear = vec![address.clone(), "--clear".into(), fingerprint.to_string()];
    let cleared = run(clear).await;
    assert_eq!(cleared, format!("cleared={fingerprint} processes=1\n"));
    assert_eq!(run(vec![address]).await, "");
}
