//! Measures the time from the kill of an instance to the end of the next call of each program.

use std::time::{Duration, Instant};

use eyre::OptionExt;
use gradedyke_client::{Caller, Options};
use gradedyke_world::{KESTREL_KEY, chat_body, user_message};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::instance::Instance;
use crate::overhead::{apply_settings, instance_settings, start_deployment};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Duration of the leases, in milliseconds.
const LEASE_MS: u64 = 2_000;
/// Number of programs. Each makes a call immediately after the kill.
const PROGRAM_COUNT: usize = 200;

/// Runs the experiment with five kills, or one if `short`.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let kills = if short { 1 } else { 5 };
    let mut times = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    for kill in 0..kills {
        for (elapsed_ms, succeeded) in kill_instance(kill).await? {
            times.record(elapsed_ms)?;
            failed += usize::from(!succeeded);
        }
    }
    Ok(json!({
        "experiment": "takeover",
        "kills": kills,
        "programs": PROGRAM_COUNT,
        "lease_ms": LEASE_MS,
        "calls": times.len(),
        "failed": failed,
        "p50_ms": times.value_at_quantile(0.5),
        "p99_ms": times.value_at_quantile(0.99),
        "max_ms": times.max(),
        "target_ms": 3_000,
    }))
}

/// Starts three instances and kills one of them. Returns for each program the time from the kill
/// to the end of its next call in milliseconds, and whether the call succeeded.
async fn kill_instance(kill: usize) -> eyre::Result<Vec<(u64, bool)>> {
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let start = |number| {
        let settings = instance_settings(number, deployment.platform_address, 3, LEASE_MS);
        Instance::start(&settings, folder.path())
    };
    let mut instances = (1..=3).map(start).collect::<eyre::Result<Vec<_>>>()?;
    apply_settings(&deployment).await?;
    for instance in &mut instances {
        instance.wait_until_ready()?;
    }
    let caller = Caller::new(KESTREL_KEY, CALL_TIMEOUT);
    let entry = instances[0].caller_address;
    let mut programs = Vec::new();
    for number in 0..PROGRAM_COUNT {
        let opening_request = format!("{kill}-{number}");
        let program = caller
            .open_program(entry, "minutes", None, None, &opening_request)
            .await?;
        let body = chat_body(&[user_message("Draft.")]);
        caller
            .chat(entry, &program, &body, Options::request("first"))
            .await?;
        programs.push(program);
    }
    instances.last_mut().ok_or_eyre("no instance")?.kill()?;
    let killed_at = Instant::now();
    let calls = programs.into_iter().map(|program| {
        let caller = caller.clone();
        tokio::spawn(async move {
            let options = Options {
                append: true,
                ..Options::request("next")
            };
            let body = chat_body(&[user_message("Go on.")]);
            let call = caller.chat(entry, &program, &body, options);
            let succeeded = call.await.is_ok();
            let elapsed_ms = u64::try_from(killed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            (elapsed_ms, succeeded)
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut times = Vec::new();
    for call in calls {
        times.push(call.await?);
    }
    Ok(times)
}
