//! Memory of an owner by programs and by history: the slopes that
//! docs/CAPACITY.md works from.

use std::time::Duration;

use gradedyke_client::{Caller, Options};
use gradedyke_world::{KESTREL_KEY, chat_body, user_message};
use serde_json::{Value, json};

use crate::overhead::{apply, instance, start_deployment};
use crate::server::Server;

/// Longest time for one call.
const TIME: Duration = Duration::from_secs(120);
/// Programs opened at a time.
const SIDE_BY_SIDE: usize = 64;
/// Bytes of history in one message of the second slope.
const MESSAGE_BYTES: usize = 200_000;
/// Seconds over which an idle instance is watched.
const IDLE: Duration = Duration::from_secs(10);

/// Measures programs without history, then history without further programs,
/// then what an idle instance uses.
pub async fn run(short: bool) -> eyre::Result<Value> {
    let folder = tempfile::tempdir()?;
    let deployment = start_deployment().await?;
    let mut settings = instance(1, deployment.platform_address, 1, 5_000);
    // Journal on disk, so that the memory is the owner's.
    settings["data_folder"] = json!(folder.path().join("data"));
    let mut server = Server::start(&settings, folder.path())?;
    apply(&deployment).await?;
    server.ready()?;
    let calls = deployment.platform.calls_by_path().values().sum::<u64>();
    let before = server.cpu()?;
    tokio::time::sleep(IDLE).await;
    let idle_cpu = (server.cpu()? - before) / IDLE.as_secs_f64();
    let idle_calls = deployment.platform.calls_by_path().values().sum::<u64>() - calls;
    let empty = server.memory()?;
    let caller = Caller::new(KESTREL_KEY, TIME);
    let sizes: &[usize] = if short {
        &[1_000]
    } else {
        &[1_000, 10_000, 50_000]
    };
    let mut rows = Vec::new();
    let mut opened = 0;
    for size in sizes {
        open(&caller, server.caller, opened..*size).await?;
        opened = *size;
        let bytes = server.memory()? - empty;
        let each = bytes / opened as u64;
        rows.push(json!({ "programs": opened, "bytes": bytes, "bytes_each": each }));
    }
    let history = history(&caller, &server, if short { 4 } else { 40 }).await?;
    Ok(json!({
        "experiment": "memory",
        "empty_instance_bytes": empty,
        "idle_cores": idle_cpu,
        "idle_key_value_calls_per_second": idle_calls as f64 / IDLE.as_secs_f64(),
        "programs": rows,
        "history": history,
    }))
}

async fn open(
    caller: &Caller,
    entry: std::net::SocketAddr,
    numbers: std::ops::Range<usize>,
) -> eyre::Result<()> {
    let numbers: Vec<usize> = numbers.collect();
    for part in numbers.chunks(SIDE_BY_SIDE) {
        let opening = part.iter().map(|number| async move {
            let opened = format!("memory-{number}");
            caller
                .open_program(entry, "minutes", None, None, &opened)
                .await
        });
        for opened in futures_util::future::join_all(opening).await {
            opened?;
        }
    }
    Ok(())
}

async fn history(caller: &Caller, server: &Server, messages: usize) -> eyre::Result<Value> {
    let program = caller.open_program(server.caller, "minutes", None, None, "history");
    let program = program.await?;
    let before = server.memory()?;
    let text = "word ".repeat(MESSAGE_BYTES / 5);
    for number in 0..messages {
        let options = Options {
            append: true,
            ..Options::request(number.to_string())
        };
        let body = chat_body(&[user_message(&text)]);
        caller.chat(server.caller, &program, &body, options).await?;
    }
    let grown = server.memory()?.saturating_sub(before);
    let bytes = messages * MESSAGE_BYTES;
    Ok(json!({
        "history_bytes": bytes,
        "memory_bytes": grown,
        "ratio": grown as f64 / bytes as f64,
    }))
}
