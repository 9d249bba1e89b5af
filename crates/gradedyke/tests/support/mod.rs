//! What the tests of the whole path share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use gradedyke::Process;
use gradedyke_base::id;
use gradedyke_base::problem::Kind;
use gradedyke_client::Caller;
use gradedyke_http::client::Error;
use gradedyke_world::World;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Ends a test that hangs; no test depends on its length.
const GUARD: Duration = Duration::from_secs(100);

/// Writes the logs of a failed test, at the level in `GRADEDYKE_LOG`.
fn log() {
    let filter = EnvFilter::try_from_env("GRADEDYKE_LOG");
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("error"));
    let layer = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter).with(layer);
    // Another test of the same file has started it already.
    let _ = registry.try_init();
}

/// Runs a test on a runtime of several threads, guarded against hanging.
pub fn run<F: Future<Output = ()>>(test: F) {
    log();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(GUARD, test).await.expect("it hangs");
    });
}

/// The place in the world of the instance that owns a program.
pub fn owner(world: &World, program: &str) -> usize {
    let slot = id::Program::parse(program).unwrap().slot();
    let process = world.processes.iter().flatten().next().unwrap();
    let holder = process.kernel().map.holder(slot).unwrap();
    let owns = |p: &Option<Process>| {
        p.as_ref()
            .is_some_and(|p| p.kernel().settings.id == holder.owner)
    };
    world.processes.iter().position(owns).unwrap()
}

/// The place of an instance that does not own a program.
pub fn other(world: &World, program: &str) -> usize {
    let owner = owner(world, program);
    let others = 0..world.processes.len();
    let mut others = others.filter(|i| *i != owner && world.processes[*i].is_some());
    others.next().unwrap()
}

/// The callers' address of the instance at a place.
pub fn entry(world: &World, place: usize) -> SocketAddr {
    let process = world.processes[place].as_ref().unwrap();
    process.addresses().caller.unwrap()
}

/// Opens a program of an agent program, always by the same request.
pub async fn open(caller: &Caller, at: SocketAddr, agent: &str) -> String {
    caller.open(at, agent, None, None, "open").await.unwrap()
}

/// Kills the instance at a place.
pub async fn kill(world: &mut World, place: usize) {
    world.processes[place].take().unwrap().kill().await;
}

/// The kind of problem that a call was refused with.
pub fn kind<T: std::fmt::Debug>(result: Result<T, Error>) -> Kind {
    let error = result.expect_err("it should have been refused");
    let problem = gradedyke_client::problem(&error);
    problem
        .unwrap_or_else(|| panic!("no problem in {error}"))
        .kind
}
