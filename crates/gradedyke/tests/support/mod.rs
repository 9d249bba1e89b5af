//! Shared helpers of the integration tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use gradedyke::Process;
use gradedyke_base::id;
use gradedyke_base::problem::Kind;
use gradedyke_client::Caller;
use gradedyke_http::client::Error;
use gradedyke_world::Deployment;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Limit on the duration of a test, so that a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(100);

/// Writes logs to stderr with the filter in `GRADEDYKE_LOG`, by default errors
/// only.
fn init_logging() {
    let filter = EnvFilter::try_from_env("GRADEDYKE_LOG");
    let filter = filter.unwrap_or_else(|_| EnvFilter::new("error"));
    let layer = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter).with(layer);
    // Fails if another test of the same file has already initialized logging.
    let _ = registry.try_init();
}

/// Runs a test on a multi-threaded runtime, with a time limit.
pub fn run_test<F: Future<Output = ()>>(test: F) {
    init_logging();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test should finish within its time limit");
    });
}

/// Returns the index in `deployment.processes` of the instance that owns a program.
pub fn owner_index(deployment: &Deployment, program: &str) -> usize {
    let slot = id::Program::parse(program).unwrap().slot();
    let process = deployment.processes.iter().flatten().next().unwrap();
    let holder = process.kernel().slot_map.holder(slot).unwrap();
    let is_owner = |p: &Option<Process>| {
        p.as_ref()
            .is_some_and(|p| p.kernel().settings.id == holder.owner)
    };
    deployment.processes.iter().position(is_owner).unwrap()
}

/// Returns the index of an instance that does not own a program.
pub fn non_owner_index(deployment: &Deployment, program: &str) -> usize {
    let owner = owner_index(deployment, program);
    let indices = 0..deployment.processes.len();
    let mut others = indices.filter(|i| *i != owner && deployment.processes[*i].is_some());
    others.next().unwrap()
}

/// Returns the address for callers of the instance at an index.
pub fn entry_address(deployment: &Deployment, index: usize) -> SocketAddr {
    let process = deployment.processes[index].as_ref().unwrap();
    process.addresses().caller.unwrap()
}

/// Opens a program of an agent, always with the request id `open`.
pub async fn open_program(caller: &Caller, address: SocketAddr, agent: &str) -> String {
    caller
        .open_program(address, agent, None, None, "open")
        .await
        .unwrap()
}

/// Kills the instance at an index.
pub async fn kill_instance(deployment: &mut Deployment, index: usize) {
    deployment.processes[index].take().unwrap().kill().await;
}

/// Returns the kind of problem that a call was rejected with.
pub fn rejection_kind<T: std::fmt::Debug>(result: Result<T, Error>) -> Kind {
    let error = result.expect_err("the call should have been rejected");
    let problem = gradedyke_client::problem(&error);
    problem
        .unwrap_or_else(|| panic!("the error carries no problem: {error}"))
        .kind
}
