//! Compares calls through entry and owner with direct calls to the stand-in engine, made by
//! the same process in the same run.

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

use crate::instance::Instance;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of calls in one program.
const TURNS_PER_PROGRAM: u64 = 10;
/// Number of open streams whose memory is measured.
const OPEN_STREAM_COUNT: usize = 1_000;
/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the settings of an instance with all roles.
pub fn instance_settings(
    number: usize,
    platform: SocketAddr,
    copies: usize,
    lease_ms: u64,
) -> Value {
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

/// Writes a deployment's settings tree to its platform.
pub async fn apply_settings(deployment: &Deployment) -> eyre::Result<()> {
    let kv = gradedyke_platform::etcd::Etcd::new(gradedyke_platform::etcd::Config {
        addresses: vec![deployment.platform_address],
        timeout: CALL_TIMEOUT,
    });
    let tree = gradedyke_base::settings::check::read("load", &deployment.tree.to_string());
    let tree = tree.map_err(|e| eyre::eyre!("{e:?}"))?;
    gradedyke::current::apply(&kv, tree, 0).await?;
    Ok(())
}

/// Starts a stand-in platform and one engine that uses as little CPU time as possible.
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

/// Latencies in nanoseconds of the calls of one run, and its duration.
struct LoadResult {
    latencies: Histogram<u64>,
    seconds: f64,
}

impl LoadResult {
    /// Returns a quantile of the latencies in microseconds.
    fn quantile_us(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile) / NANOS_PER_MICRO
    }

    /// Returns the number of calls per second.
    fn calls_per_second(&self) -> f64 {
        self.latencies.len() as f64 / self.seconds
    }
}

/// Runs `workers` concurrent workers for `duration`, each of which makes one call at a time.
/// `max_rate` limits the calls per second of all workers together.
async fn generate_load<F, G>(
    workers: usize,
    duration: Duration,
    max_rate: f64,
    call: F,
) -> eyre::Result<LoadResult>
where
    F: Fn(usize, u64) -> G + Send + Sync + 'static,
    G: Future<Output = eyre::Result<()>> + Send,
{
    let call = Arc::new(call);
    let started = Instant::now();
    let pause = Duration::from_secs_f64(workers as f64 / max_rate);
    let tasks = (0..workers).map(|worker| {
        let call = call.clone();
        tokio::spawn(async move {
            let mut latencies = Histogram::<u64>::new(3)?;
            let mut due = Instant::now() + pause.mul_f64(worker as f64 / workers as f64);
            for number in 0.. {
                if started.elapsed() >= duration {
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
    let tasks: Vec<_> = tasks.collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    for task in tasks {
        latencies.add(task.await??)?;
    }
    let seconds = started.elapsed().as_secs_f64();
    Ok(LoadResult { latencies, seconds })
}

/// Makes a direct call to the engine.
async fn call_directly(
    client: gradedyke_http::Client,
    engine: SocketAddr,
    request_id: String,
) -> eyre::Result<()> {
    let mut body = chat_body(&[user_message("Draft.")]);
    body["max_tokens"] = json!(4);
    let body = gradedyke_http::body::full(body.to_string());
    let path = "/v1/chat/completions";
    let mut request =
        gradedyke_http::client::build_request(http::Method::POST, engine, path, body)?;
    request
        .headers_mut()
        .insert("x-request-id", request_id.parse()?);
    client.send_and_read(engine, request, CALL_TIMEOUT).await?;
    Ok(())
}

/// Makes a call through entry and owner. The worker opens a new program every
/// [`TURNS_PER_PROGRAM`] calls.
async fn call_through_entry(
    caller: Caller,
    entry: SocketAddr,
    tag: String,
    worker: usize,
    number: u64,
) -> eyre::Result<()> {
    let opening_request = format!("{tag}-{worker}-{}", number / TURNS_PER_PROGRAM);
    // The program's ID follows from the request that opens it.
    let account = gradedyke_base::id::Account::parse("kestrel")?;
    let request = gradedyke_base::id::Request::parse(&opening_request)?;
    let program = gradedyke_base::id::Program::from_request(&account, &request).to_string();
    if number.is_multiple_of(TURNS_PER_PROGRAM) {
        caller
            .open_program(entry, "minutes", None, None, &opening_request)
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
    if number % TURNS_PER_PROGRAM == TURNS_PER_PROGRAM - 1 {
        caller.program_action(entry, &program, "end").await?;
    }
    Ok(())
}

/// Runs the experiment with 1, 64 and 1,000 concurrent calls, then with half as many calls per
/// second as the instance handles per core. Each measurement is shorter if `short`.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let duration = Duration::from_secs(if short { 1 } else { 6 });
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let mut instance = Instance::start(
        &instance_settings(1, deployment.platform_address, 1, 5_000),
        folder.path(),
    )?;
    apply_settings(&deployment).await?;
    instance.wait_until_ready()?;
    let engine = deployment.tree["backends"]["engine-1"]["address"].as_str();
    let engine: SocketAddr = engine.ok_or_eyre("the deployment has no engine")?.parse()?;
    let mut rows = Vec::new();
    let mut max_per_core = 0.0_f64;
    for workers in [1, 64, 1_000] {
        eprintln!("{workers} concurrent calls");
        let row = compare(&instance, engine, workers, duration, f64::MAX).await?;
        max_per_core = max_per_core.max(row["calls_per_core_second"].as_f64().unwrap_or(0.0));
        rows.push(row);
    }
    eprintln!("half load");
    let half = compare(&instance, engine, 64, duration, max_per_core / 2.0).await?;
    eprintln!("open streams");
    let bytes = bytes_per_stream(&instance, &deployment).await?;
    Ok(json!({
        "experiment": "overhead",
        "turns_per_program": TURNS_PER_PROGRAM,
        "rows": rows,
        "half_load": half,
        "bytes_per_open_stream": bytes,
        "targets": {
            "calls_per_core_second": 5_000, "added_p99_us_at_half_load": 1_000,
            "bytes_per_open_stream": 65_536,
        },
    }))
}

/// Measures direct calls and then calls through entry and owner, with the same concurrency and
/// maximum rate.
async fn compare(
    instance: &Instance,
    engine: SocketAddr,
    workers: usize,
    duration: Duration,
    max_rate: f64,
) -> eyre::Result<Value> {
    let tag = gradedyke_base::id::Request::generate().to_string();
    let client = gradedyke_http::Client::new(&gradedyke_http::client::Config::default());
    let direct_tag = tag.clone();
    let direct = generate_load(workers, duration, max_rate, move |worker, number| {
        call_directly(
            client.clone(),
            engine,
            format!("{direct_tag}-{worker}-{number}"),
        )
    });
    let direct = direct.await?;
    let caller = Caller::new(KESTREL_KEY, CALL_TIMEOUT);
    let entry = instance.caller_address;
    let cpu_before = instance.cpu_seconds()?;
    let relayed = generate_load(workers, duration, max_rate, move |worker, number| {
        call_through_entry(caller.clone(), entry, tag.clone(), worker, number)
    });
    let relayed = relayed.await?;
    let cpu_seconds = instance.cpu_seconds()? - cpu_before;
    let calls = relayed.latencies.len() as f64;
    Ok(json!({
        "concurrent": workers,
        "direct_p50_us": direct.quantile_us(0.5),
        "direct_p99_us": direct.quantile_us(0.99),
        "relayed_p50_us": relayed.quantile_us(0.5),
        "relayed_p99_us": relayed.quantile_us(0.99),
        "added_p50_us": relayed.quantile_us(0.5) as i64 - direct.quantile_us(0.5) as i64,
        "added_p99_us": relayed.quantile_us(0.99) as i64 - direct.quantile_us(0.99) as i64,
        "direct_calls_per_second": direct.calls_per_second().round(),
        "relayed_calls_per_second": relayed.calls_per_second().round(),
        "rate_ratio": relayed.calls_per_second() / direct.calls_per_second(),
        "instance_cores": cpu_seconds / relayed.seconds,
        "cpu_us_per_call": (cpu_seconds * 1e6 / calls).round(),
        "calls_per_core_second": (calls / cpu_seconds).round(),
    }))
}

/// Measures the memory that the instance uses for each open stream that waits for tokens.
async fn bytes_per_stream(instance: &Instance, deployment: &Deployment) -> eyre::Result<u64> {
    let caller = Caller::new(KESTREL_KEY, CALL_TIMEOUT);
    let mut programs = Vec::new();
    for number in 0..OPEN_STREAM_COUNT {
        let opening_request = format!("open-stream-{number}");
        let opening = caller.open_program(
            instance.caller_address,
            "minutes",
            None,
            None,
            &opening_request,
        );
        programs.push(opening.await?);
    }
    let bytes_before = instance.resident_bytes()?;
    deployment.engines[0].stall_at(Some(1));
    let mut streams = Vec::new();
    for program in &programs {
        let body = chat_body(&[user_message("Draft.")]);
        let opening = caller.stream(
            instance.caller_address,
            program,
            &body,
            Options::request("held"),
        );
        let mut stream = opening.await?;
        stream.next().await?;
        streams.push(stream);
    }
    let bytes_with_streams = instance.resident_bytes()?;
    deployment.engines[0].stall_at(None);
    for stream in streams {
        stream.read_to_end().await?;
    }
    Ok(bytes_with_streams.saturating_sub(bytes_before) / OPEN_STREAM_COUNT as u64)
}
