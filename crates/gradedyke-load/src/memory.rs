//! Measures the memory of an owner by the number of programs and by the length of their
//! history, for the estimates in `docs/CAPACITY.md`.

use std::time::Duration;

use gradedyke_client::{Caller, Options};
use gradedyke_world::{KESTREL_KEY, chat_body, user_message};
use serde_json::{Value, json};

use crate::instance::Instance;
use crate::overhead::{apply_settings, instance_settings, start_deployment};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of programs that are opened concurrently.
const OPEN_CONCURRENCY: usize = 64;
/// Size of one message of the history, in bytes.
const MESSAGE_BYTES: usize = 200_000;
/// How long an idle instance is observed.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Measures an idle instance, then programs without history, then one program with a growing
/// history. Uses fewer programs and messages if `short`.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let mut settings = instance_settings(1, deployment.platform_address, 1, 5_000);
    // Keeps the journal on disk, out of the measured memory.
    settings["data_folder"] = json!(folder.path().join("data"));
    let mut instance = Instance::start(&settings, folder.path())?;
    apply_settings(&deployment).await?;
    instance.wait_until_ready()?;
    let calls_before = deployment.platform.calls_by_path().values().sum::<u64>();
    let cpu_before = instance.cpu_seconds()?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let idle_cores = (instance.cpu_seconds()? - cpu_before) / IDLE_PERIOD.as_secs_f64();
    let idle_calls = deployment.platform.calls_by_path().values().sum::<u64>() - calls_before;
    let empty_bytes = instance.resident_bytes()?;
    let caller = Caller::new(KESTREL_KEY, CALL_TIMEOUT);
    let program_counts: &[usize] = if short {
        &[1_000]
    } else {
        &[1_000, 10_000, 50_000]
    };
    let mut rows = Vec::new();
    let mut opened = 0;
    for count in program_counts {
        open_programs(&caller, instance.caller_address, opened..*count).await?;
        opened = *count;
        let bytes = instance.resident_bytes()? - empty_bytes;
        let bytes_each = bytes / opened as u64;
        rows.push(json!({ "programs": opened, "bytes": bytes, "bytes_each": bytes_each }));
    }
    let history = measure_history(&caller, &instance, if short { 4 } else { 40 }).await?;
    Ok(json!({
        "experiment": "memory",
        "empty_instance_bytes": empty_bytes,
        "idle_cores": idle_cores,
        "idle_key_value_calls_per_second": idle_calls as f64 / IDLE_PERIOD.as_secs_f64(),
        "programs": rows,
        "history": history,
    }))
}

/// Opens programs with the given numbers.
async fn open_programs(
    caller: &Caller,
    entry: std::net::SocketAddr,
    numbers: std::ops::Range<usize>,
) -> eyre::Result<()> {
    let numbers: Vec<usize> = numbers.collect();
    for batch in numbers.chunks(OPEN_CONCURRENCY) {
        let opening = batch.iter().map(|number| async move {
            let request = format!("memory-{number}");
            caller
                .open_program(entry, "minutes", None, None, &request)
                .await
        });
        for result in futures_util::future::join_all(opening).await {
            result?;
        }
    }
    Ok(())
}

/// Sends large messages in one program, and compares the growth of memory with their size.
async fn measure_history(
    caller: &Caller,
    instance: &Instance,
    messages: usize,
) -> eyre::Result<Value> {
    let program = caller.open_program(instance.caller_address, "minutes", None, None, "history");
    let program = program.await?;
    let before = instance.resident_bytes()?;
    let text = "word ".repeat(MESSAGE_BYTES / 5);
    for number in 0..messages {
        let options = Options {
            append: true,
            ..Options::request(number.to_string())
        };
        let body = chat_body(&[user_message(&text)]);
        caller
            .chat(instance.caller_address, &program, &body, options)
            .await?;
    }
    let growth = instance.resident_bytes()?.saturating_sub(before);
    let bytes = messages * MESSAGE_BYTES;
    Ok(json!({
        "history_bytes": bytes,
        "memory_bytes": growth,
        "ratio": growth as f64 / bytes as f64,
    }))
}
