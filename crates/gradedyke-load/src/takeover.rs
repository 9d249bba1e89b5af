//! From the kill of an owner to the first served call of its programs.

use std::time::{Duration, Instant};

use eyre::OptionExt;
use gradedyke_client::{Caller, Options};
use gradedyke_world::{KESTREL_KEY, chat_body, user_message};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::overhead::{apply, instance, start_deployment};
use crate::server::Server;

/// Longest time for one call.
const TIME: Duration = Duration::from_secs(60);
/// Length of the leases, in milliseconds.
const LEASE_MS: u64 = 2_000;
/// Programs whose next call is issued at once after the kill.
const PROGRAMS: usize = 200;

/// Kills one of three instances, several times over; each time a new one
/// starts under a new name first.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let kills = if short { 1 } else { 5 };
    let mut times = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    for kill in 0..kills {
        for (millis, served) in once(kill).await? {
            times.record(millis)?;
            failed += usize::from(!served);
        }
    }
    Ok(json!({
        "experiment": "takeover",
        "kills": kills,
        "programs": PROGRAMS,
        "lease_ms": LEASE_MS,
        "calls": times.len(),
        "failed": failed,
        "p50_ms": times.value_at_quantile(0.5),
        "p99_ms": times.value_at_quantile(0.99),
        "max_ms": times.max(),
        "target_ms": 3_000,
    }))
}

async fn once(kill: usize) -> eyre::Result<Vec<(u64, bool)>> {
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let start = |number| {
        let settings = instance(number, deployment.platform_address, 3, LEASE_MS);
        Server::start(&settings, folder.path())
    };
    let mut servers = (1..=3).map(start).collect::<eyre::Result<Vec<_>>>()?;
    apply(&deployment).await?;
    for server in &mut servers {
        server.ready()?;
    }
    let caller = Caller::new(KESTREL_KEY, TIME);
    let entry = servers[0].caller;
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        let opened = format!("{kill}-{number}");
        let program = caller
            .open_program(entry, "minutes", None, None, &opened)
            .await?;
        let body = chat_body(&[user_message("Draft.")]);
        caller
            .chat(entry, &program, &body, Options::request("first"))
            .await?;
        programs.push(program);
    }
    servers.last_mut().ok_or_eyre("no server")?.kill()?;
    let killed = Instant::now();
    let calls = programs.into_iter().map(|program| {
        let caller = caller.clone();
        tokio::spawn(async move {
            let options = Options {
                append: true,
                ..Options::request("next")
            };
            let body = chat_body(&[user_message("Go on.")]);
            let call = caller.chat(entry, &program, &body, options);
            let served = call.await.is_ok();
            let millis = u64::try_from(killed.elapsed().as_millis()).unwrap_or(u64::MAX);
            (millis, served)
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut times = Vec::new();
    for call in calls {
        times.push(call.await?);
    }
    Ok(times)
}
