//! What a call costs through entry and owner, against the same call straight to
//! the stand-in engine, by the same client in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::OptionExt;
use gradedyke_base::settings::tree::hash_key;
use gradedyke_client::{Caller, Options};
use gradedyke_standin::engine;
use gradedyke_world::{
    Config, Deployment, KESTREL_KEY, OPERATOR_KEY, chat_body, loopback_address, user_message,
};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::server::Server;

/// Longest time for one call.
const TIME: Duration = Duration::from_secs(60);
/// Calls of one program before the next one is opened.
const TURNS: u64 = 10;
/// Streams whose memory is measured.
const OPEN: usize = 1_000;
/// Nanoseconds in a microsecond.
const NANOS: u64 = 1_000;

/// Settings of an instance for measurements.
pub fn instance(number: usize, platform: SocketAddr, copies: usize, lease_ms: u64) -> Value {
    json!({
        "id": format!("load-{number}"),
        "deployment": "load",
        "data_centre": "demo-1",
        "roles": ["entry", "owner", "keeper", "admin"],
        "listen": { "caller": loopback_address(), "peer": loopback_address(), "admin": loopback_address() },
        "platform": { "key_value": [platform] },
        "copies": copies,
        "lease_ms": lease_ms,
        "operator_hash": hash_key(OPERATOR_KEY),
    })
}

/// Puts a deployment's settings tree in force without an instance of its own.
pub async fn apply(deployment: &Deployment) -> eyre::Result<()> {
    let kv = gradedyke_platform::etcd::Etcd::new(gradedyke_platform::etcd::Config {
        addresses: vec![deployment.platform_address],
        timeout: TIME,
    });
    let tree = gradedyke_base::settings::check::read("load", &deployment.tree.to_string());
    let tree = tree.map_err(|e| eyre::eyre!("{e:?}"))?;
    gradedyke::current::apply(&kv, tree, 0).await?;
    Ok(())
}

/// Stand-ins for measurements: engines that cost as little as they can.
pub async fn start_deployment() -> eyre::Result<Deployment> {
    let engine = engine::Config {
        batch: 4_096,
        cache_tokens: u64::MAX / 2,
        answer_tokens: 4,
        ..engine::Config::default()
    };
    let config = Config {
        engines: vec![engine],
        defaults: json!({ "max_tokens": 4, "budget_tokens": 100_000_000 }),
        ..Config::default()
    };
    let mut deployment = Deployment::start_stand_ins(config).await?;
    deployment.tree["accounts"]["kestrel"]["concurrent"] = json!(100_000);
    Ok(deployment)
}

/// Latencies of the calls of one run, and how long it took.
struct Run {
    latencies: Histogram<u64>,
    seconds: f64,
}

impl Run {
    fn micros(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile) / NANOS
    }

    fn rate(&self) -> f64 {
        self.latencies.len() as f64 / self.seconds
    }
}

/// Calls by `workers` at a time, each call after the one before, until `time`
/// is over. `rate` bounds the calls a second of all together.
async fn load<F, G>(workers: usize, time: Duration, rate: f64, call: F) -> eyre::Result<Run>
where
    F: Fn(usize, u64) -> G + Send + Sync + 'static,
    G: Future<Output = eyre::Result<()>> + Send,
{
    let call = Arc::new(call);
    let began = Instant::now();
    let pause = Duration::from_secs_f64(workers as f64 / rate);
    let running = (0..workers).map(|worker| {
        let call = call.clone();
        tokio::spawn(async move {
            let mut latencies = Histogram::<u64>::new(3)?;
            let mut due = Instant::now() + pause.mul_f64(worker as f64 / workers as f64);
            for number in 0.. {
                if began.elapsed() >= time {
                    break;
                }
                if due > Instant::now() {
                    tokio::time::sleep_until(due.into()).await;
                }
                due += pause;
                let sent = Instant::now();
                call(worker, number).await?;
                let nanos = sent.elapsed().as_nanos();
                latencies.record(u64::try_from(nanos).unwrap_or(u64::MAX))?;
            }
            eyre::Ok(latencies)
        })
    });
    let running: Vec<_> = running.collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    for worker in running {
        latencies.add(worker.await??)?;
    }
    let seconds = began.elapsed().as_secs_f64();
    Ok(Run { latencies, seconds })
}

/// A call straight to the engine.
async fn direct(
    client: gradedyke_http::Client,
    engine: SocketAddr,
    name: String,
) -> eyre::Result<()> {
    let mut body = chat_body(&[user_message("Draft.")]);
    body["max_tokens"] = json!(4);
    let body = gradedyke_http::body::full(body.to_string());
    let path = "/v1/chat/completions";
    let mut request =
        gradedyke_http::client::build_request(http::Method::POST, engine, path, body)?;
    request.headers_mut().insert("x-request-id", name.parse()?);
    client.send_and_read(engine, request, TIME).await?;
    Ok(())
}

/// A call through entry and owner, in a program of [`TURNS`] calls.
async fn through(
    caller: Caller,
    entry: SocketAddr,
    run: String,
    worker: usize,
    number: u64,
) -> eyre::Result<()> {
    let opened = format!("{run}-{worker}-{}", number / TURNS);
    // Opening is no part of a call, but a repeat of it is cheap; only the first
    // call of a program pays for it.
    let account = gradedyke_base::id::Account::parse("kestrel")?;
    let request = gradedyke_base::id::Request::parse(&opened)?;
    let program = gradedyke_base::id::Program::from_request(&account, &request).to_string();
    if number.is_multiple_of(TURNS) {
        caller
            .open_program(entry, "minutes", None, None, &opened)
            .await?;
    }
    let options = Options {
        append: true,
        ..Options::request(number.to_string())
    };
    caller
        .chat(
            entry,
            &program,
            &chat_body(&[user_message("Draft.")]),
            options,
        )
        .await?;
    if number % TURNS == TURNS - 1 {
        caller.program_action(entry, &program, "end").await?;
    }
    Ok(())
}

/// Measures at 1, 64 and 1,000 calls at a time, and at half the full load.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let time = Duration::from_secs(if short { 1 } else { 6 });
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let mut server = Server::start(
        &instance(1, deployment.platform_address, 1, 5_000),
        folder.path(),
    )?;
    apply(&deployment).await?;
    server.ready()?;
    let engine = deployment.tree["backends"]["engine-1"]["address"].as_str();
    let engine: SocketAddr = engine.ok_or_eyre("no engine")?.parse()?;
    let mut rows = Vec::new();
    let mut full = 0.0_f64;
    for workers in [1, 64, 1_000] {
        eprintln!("{workers} at a time");
        let row = compare(&server, engine, workers, time, f64::MAX).await?;
        full = full.max(row["calls_per_core_second"].as_f64().unwrap_or(0.0));
        rows.push(row);
    }
    eprintln!("half load");
    let half = compare(&server, engine, 64, time, full / 2.0).await?;
    eprintln!("open streams");
    let bytes = bytes_per_stream(&server, &deployment).await?;
    Ok(json!({
        "experiment": "overhead",
        "turns_per_program": TURNS,
        "rows": rows,
        "half_load": half,
        "bytes_per_open_stream": bytes,
        "targets": {
            "calls_per_core_second": 5_000, "added_p99_us_at_half_load": 1_000,
            "bytes_per_open_stream": 65_536,
        },
    }))
}

async fn compare(
    server: &Server,
    engine: SocketAddr,
    workers: usize,
    time: Duration,
    rate: f64,
) -> eyre::Result<Value> {
    let tag = gradedyke_base::id::Request::generate().to_string();
    let client = gradedyke_http::Client::new(&gradedyke_http::client::Config::default());
    let name = tag.clone();
    let straight = load(workers, time, rate, move |worker, number| {
        direct(client.clone(), engine, format!("{name}-{worker}-{number}"))
    });
    let straight = straight.await?;
    let caller = Caller::new(KESTREL_KEY, TIME);
    let entry = server.caller;
    let before = server.cpu()?;
    let relayed = load(workers, time, rate, move |worker, number| {
        through(caller.clone(), entry, tag.clone(), worker, number)
    });
    let relayed = relayed.await?;
    let cpu = server.cpu()? - before;
    let calls = relayed.latencies.len() as f64;
    Ok(json!({
        "concurrent": workers,
        "direct_p50_us": straight.micros(0.5),
        "direct_p99_us": straight.micros(0.99),
        "relayed_p50_us": relayed.micros(0.5),
        "relayed_p99_us": relayed.micros(0.99),
        "added_p50_us": relayed.micros(0.5) as i64 - straight.micros(0.5) as i64,
        "added_p99_us": relayed.micros(0.99) as i64 - straight.micros(0.99) as i64,
        "direct_calls_per_second": straight.rate().round(),
        "relayed_calls_per_second": relayed.rate().round(),
        "rate_ratio": relayed.rate() / straight.rate(),
        "instance_cores": cpu / relayed.seconds,
        "cpu_us_per_call": (cpu * 1e6 / calls).round(),
        "calls_per_core_second": (calls / cpu).round(),
    }))
}

/// Memory of the instance for each stream that is open and waits for tokens.
async fn bytes_per_stream(server: &Server, deployment: &Deployment) -> eyre::Result<u64> {
    let caller = Caller::new(KESTREL_KEY, TIME);
    let mut programs = Vec::new();
    for number in 0..OPEN {
        let opened = format!("open-stream-{number}");
        let opening = caller.open_program(server.caller, "minutes", None, None, &opened);
        programs.push(opening.await?);
    }
    let before = server.memory()?;
    deployment.engines[0].stall_at(Some(1));
    let mut streams = Vec::new();
    for program in &programs {
        let body = chat_body(&[user_message("Draft.")]);
        let opening = caller.stream(server.caller, program, &body, Options::request("held"));
        let mut stream = opening.await?;
        stream.next().await?;
        streams.push(stream);
    }
    let during = server.memory()?;
    deployment.engines[0].stall_at(None);
    for stream in streams {
        stream.read_to_end().await?;
    }
    Ok(during.saturating_sub(before) / OPEN as u64)
}
