//! Measures how many backend servers a request ends whose content ends each server that runs it,
//! and what becomes of other requests meanwhile.
//!
//! Entries and keepers run in this process, against stand-ins. A server that has ended is replaced
//! soon by one with another identity. Callers try again as the users' pages say.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use gradedyke_gateway::memory::Pool;
use gradedyke_gateway::process::{Environment, Process};
use gradedyke_gateway::settings::Settings;
use gradedyke_http::body;
use gradedyke_http::client::{Client, Config};
use gradedyke_site::store::KeyValueClient;
use gradedyke_site::{Adapter, header};
use gradedyke_site_standin::backend::{Actions, Backend, FATAL_TEXT};
use gradedyke_site_standin::store::Store;
use gradedyke_turns::crash::{Fingerprint, Registry, Scope};
use http::Request;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Numbers of entries.
const ENTRY_COUNTS: [usize; 3] = [2, 8, 50];
/// Numbers of different fatal requests at once.
const FATAL_COUNTS: [usize; 2] = [1, 100];
/// Number of backend servers.
const SERVER_COUNT: usize = 16;
/// Time after which a server that ended is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Number of callers of other requests, each with one at a time.
const OTHER_CALLERS: usize = 64;
/// How long the other callers go on.
const DURATION: Duration = Duration::from_secs(4);
/// Tries of a caller of a fatal request: one retry under a new ID, and all that three times.
const FATAL_TRIES: usize = 6;
/// Tries of a caller of another request.
const OTHER_TRIES: usize = 3;
/// Delay before a caller tries again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a caller waits, in milliseconds.
const TIMEOUT_MS: &str = "4000";
/// Size of the content whose costs are measured, in bytes.
const CONTENT_BYTES: usize = 10_000;
/// Number of rounds of a measurement, of which the fastest is reported.
const ROUNDS: u32 = 7;
/// Repetitions in a round.
const WORK_PER_ROUND: u32 = 10_000;
/// Host name of all routes.
const HOST: &str = "shop.example";

/// A kind of request: its name, path, and overrides of its route.
type RequestKind = (&'static str, &'static str, &'static str, Value);

fn kinds() -> [RequestKind; 4] {
    let turn = json!({ "retains": true, "retention_s": 60.0, "sticky": true });
    [
        ("turn", "/turn/", "streaming", turn),
        (
            "resumable",
            "/again/",
            "streaming",
            json!({ "resumable": true, "max_attempts": 3 }),
        ),
        ("safe", "/safe/", "safe", json!({ "max_attempts": 3 })),
        ("unsafe", "/once/", "unsafe", json!({})),
    ]
}

fn config() -> Value {
    let routes = kinds().map(|(name, path, kind, overrides)| {
        let mut route = json!({
            "name": name, "host": HOST, "path_prefix": path, "kind": kind, "timeout_ms": 5000,
            "slo_ms": 400, "priority": 0, "service": "all", "max_attempts": 2,
        });
        for (key, value) in overrides.as_object().into_iter().flatten() {
            route[key] = value.clone();
        }
        route
    });
    let engine = json!({
        "slots": 64, "kv_capacity": 1_000_000, "tokens_per_event": 1, "models": [{ "name": "m" }],
    });
    json!({
        "version": 1, "routes": routes,
        "services": [{ "name": "all", "health_path": "/health", "max_conns": 500,
                       "engine": engine }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}

/// Reads settings of a process with these fields in addition.
fn settings(name: &str, platform: SocketAddr, extra: &str) -> eyre::Result<Settings> {
    let text = format!(
        r#"{{ "name": "{name}", "data_centre": "here", "platform": "{platform}", {extra} }}"#
    );
    Settings::read(name, &text).map_err(|e| eyre::eyre!("{e}"))
}

fn environment(platform: SocketAddr) -> Environment {
    Environment {
        dialect: Arc::new(Adapter),
        kv: Arc::new(KeyValueClient::new(platform)),
    }
}

/// Backend servers that are replaced when they end.
struct Servers {
    store: Arc<Store>,
    running: Mutex<Vec<Arc<Backend>>>,
    started: AtomicUsize,
    ended: AtomicUsize,
    stop: CancellationToken,
}

impl Servers {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Backend>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start_one(&self, tasks: &mut JoinSet<()>) -> eyre::Result<()> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let id = format!("server{number}");
        let server = Backend::start(&id, Some(4), &Actions::default(), tasks, &self.stop).await?;
        server.set_work(WORK);
        let mut record = server.directory_entry("all", "ready");
        record["slots"] = 64.into();
        self.store.put(&format!("servers/{id}"), &record);
        self.lock().push(server);
        Ok(())
    }

    /// Replaces servers that end, until `stop`.
    async fn supervise(self: Arc<Self>) -> eyre::Result<()> {
        let mut tasks = JoinSet::new();
        let mut replacements: Vec<Instant> = Vec::new();
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        while !self.stop.is_cancelled() {
            interval.tick().await;
            let now = Instant::now();
            let ended: Vec<Arc<Backend>> = self.lock().extract_if(.., |s| s.has_ended()).collect();
            for server in ended {
                self.ended.fetch_add(1, Ordering::Relaxed);
                self.store.remove(&format!("servers/{}", server.id));
                replacements.push(now + REPLACEMENT_DELAY);
            }
            let due = replacements.extract_if(.., |at| *at <= now).count();
            for _ in 0..due {
                self.start_one(&mut tasks).await?;
            }
        }
        Ok(())
    }
}

/// What became of requests.
#[derive(Default)]
struct Outcomes {
    served: AtomicUsize,
    failed: AtomicUsize,
    /// Refused as requests that end servers.
    condemned: AtomicUsize,
}

struct Caller {
    entries: Vec<SocketAddr>,
    client: Client,
    path: &'static str,
}

impl Caller {
    /// Sends a request to a random entry. Returns whether it was served, and whether it was refused
    /// as one that ends servers.
    async fn send(&self, program: &str, id: &str, text: &str) -> eyre::Result<(bool, bool)> {
        let entry = self.entries[rand::random_range(0..self.entries.len())];
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{entry}{}", self.path))
            .header("host", HOST)
            .header(header::REQUEST_ID, id)
            .header(header::TIMEOUT_MS, TIMEOUT_MS)
            .header(header::PROGRAM_ID, program)
            .body(body::full(text.to_owned()))?;
        let response = self.client.send(entry, request).await?;
        let status = response.status();
        let read = response.into_body().collect().await;
        let is_complete = read.is_ok();
        let text = read.map(|body| body.to_bytes()).unwrap_or_default();
        let is_condemned = text.starts_with(b"ends_servers");
        Ok((status == 200 && is_complete, is_condemned))
    }

    /// Sends a request until it is served, at most `tries` times.
    async fn call(&self, name: &str, text: &str, tries: usize, outcomes: &Outcomes) {
        let mut is_condemned = false;
        for number in 0..tries {
            if number > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            match self.send(name, &format!("{name}-{number}"), text).await {
                Ok((true, _)) => {
                    outcomes.served.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Ok((false, condemned)) => is_condemned = condemned,
                Err(error) => tracing::debug!(event = "call_failed", %error),
            }
        }
        outcomes.failed.fetch_add(1, Ordering::Relaxed);
        outcomes
            .condemned
            .fetch_add(usize::from(is_condemned), Ordering::Relaxed);
    }

    async fn call_until(&self, number: usize, end: Instant, outcomes: &Outcomes) {
        let mut count = 0;
        while Instant::now() < end {
            let name = format!("other{number}-{count}");
            self.call(&name, &name, OTHER_TRIES, outcomes).await;
            count += 1;
        }
    }
}

/// Starts keepers, then entries. Returns the entries' addresses.
async fn start_processes(
    platform: SocketAddr,
    entries: usize,
    processes: &mut Vec<Process>,
    folders: &mut Vec<tempfile::TempDir>,
) -> eyre::Result<Vec<SocketAddr>> {
    let mut seeds = Vec::new();
    for number in 0..3 {
        let folder = tempfile::tempdir()?;
        let extra = format!(
            r#""listen": {{ "peer": "127.0.0.1:0" }}, "data_folder": {:?}, "first_start": true"#,
            folder.path()
        );
        let keeper = settings(&format!("keeper{number}"), platform, &extra)?;
        let keeper = Process::start_keeper(keeper, environment(platform)).await?;
        seeds.extend(keeper.addresses().peer);
        processes.push(keeper);
        folders.push(folder);
    }
    let mut addresses = Vec::new();
    for number in 0..entries {
        let extra = format!(
            r#""listen": {{ "caller": "127.0.0.1:0", "ready": "127.0.0.1:0",
                "peer": "127.0.0.1:0" }}, "seeds": {}"#,
            json!(seeds)
        );
        let entry = settings(&format!("entry{number}"), platform, &extra)?;
        let entry = Process::start_entry(entry, environment(platform)).await?;
        addresses.extend(entry.addresses().caller);
        processes.push(entry);
    }
    for entry in processes.iter().filter_map(Process::entry) {
        while !entry.is_ready() || entry.fleet.listed_count() < SERVER_COUNT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(addresses)
}

async fn measure_one(
    entry_count: usize,
    (name, path, _, _): &RequestKind,
    fatal_count: usize,
) -> eyre::Result<Value> {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    let (store, platform) = Store::start(&mut tasks, &stop).await?;
    store.put("op/config", &config());
    let servers = Arc::new(Servers {
        store,
        running: Mutex::default(),
        started: AtomicUsize::new(0),
        ended: AtomicUsize::new(0),
        stop: stop.clone(),
    });
    for _ in 0..SERVER_COUNT {
        servers.start_one(&mut tasks).await?;
    }
    let (mut processes, mut folders) = (Vec::new(), Vec::new());
    let entries = start_processes(platform, entry_count, &mut processes, &mut folders).await?;
    let supervisor = tokio::spawn(servers.clone().supervise());
    let client = Client::new(&Config {
        reuse_connections: false,
        ..Config::default()
    });
    let caller = Caller {
        entries,
        client,
        path,
    };
    let (others, fatal) = (Outcomes::default(), Outcomes::default());
    let end = Instant::now() + DURATION;
    let other_calls = (0..OTHER_CALLERS).map(|number| caller.call_until(number, end, &others));
    let fatal_calls = async {
        // The other callers are at work by then.
        tokio::time::sleep(DURATION / 8).await;
        let calls = (0..fatal_count).map(|number| {
            let (caller, fatal) = (&caller, &fatal);
            async move {
                let name = format!("fatal{number}");
                let text = format!("{FATAL_TEXT} {number}");
                caller.call(&name, &text, FATAL_TRIES, fatal).await;
            }
        });
        join_all(calls).await;
    };
    tokio::join!(join_all(other_calls), fatal_calls);
    // Servers end with `stop`, too.
    let ended = servers.ended.load(Ordering::Relaxed);
    stop.cancel();
    supervisor.await??;
    for process in processes {
        process.kill().await;
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    Ok(json!({
        "kind": name, "entries": entry_count, "fatal_requests": fatal_count,
        "servers_ended": ended, "ended_per_request": ended as f64 / fatal_count as f64,
        "others_served": count(&others.served), "others_failed": count(&others.failed),
        "others_condemned": count(&others.condemned),
        "fatal_condemned": count(&fatal.condemned),
    }))
}

/// Returns the mean time of `work` in nanoseconds, the fastest of several rounds.
fn measure_ns(mut work: impl FnMut()) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        (0..WORK_PER_ROUND).for_each(|_| work());
        started.elapsed().as_nanos() as f64 / f64::from(WORK_PER_ROUND)
    });
    rounds.fold(f64::INFINITY, f64::min)
}

/// Measures what a request costs while no server has ended, and while one has.
fn measure_costs() -> Value {
    let registry = Registry::default();
    let pool = Pool::new(100_000_000);
    let content = vec![b'x'; CONTENT_BYTES];
    let checks = measure_ns(|| {
        // Once for each attempt and once for the response.
        std::hint::black_box((registry.is_empty(), registry.is_empty()));
    });
    let memory = measure_ns(|| {
        // The body of the request and that of the response.
        for _ in 0..2 {
            let lease = pool.lease();
            // The pool has room.
            let _ = lease.grow(CONTENT_BYTES);
            lease.shrink(CONTENT_BYTES);
        }
    });
    let fingerprints = measure_ns(|| {
        for scope in [Scope::Program, Scope::Content] {
            std::hint::black_box(Fingerprint::new(scope, &[Some(&content)]));
        }
    });
    json!({
        "checks_ns": checks, "memory_ns": memory, "content_bytes": CONTENT_BYTES,
        "fingerprints_while_suspects_are_known_ns": fingerprints,
    })
}

/// Runs the experiment.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let entry_counts = if short {
        &ENTRY_COUNTS[..1]
    } else {
        &ENTRY_COUNTS[..]
    };
    let mut results = Vec::new();
    for entries in entry_counts {
        for kind in kinds() {
            for fatal_count in FATAL_COUNTS {
                results.push(measure_one(*entries, &kind, fatal_count).await?);
            }
        }
    }
    Ok(json!({
        "servers": SERVER_COUNT, "other_callers": OTHER_CALLERS, "results": results,
        "costs_of_a_request": measure_costs(),
    }))
}
