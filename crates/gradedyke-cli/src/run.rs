//! `gradedyke run`: runs an instance until a signal. `gradedyke standin`: runs a stand-in
//! server.

use std::net::SocketAddr;
use std::path::PathBuf;

use gradedyke::Process;
use gradedyke_base::settings::instance::Instance;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{Failure, build_runtime, expect_no_more_args, logs};

/// Runs the roles given in a settings file until SIGTERM or SIGINT.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let file: PathBuf = args.value_from_str("--settings")?;
    expect_no_more_args(args)?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(&file)
        .map_err(|e| Failure::Usage(format!("{name}: cannot be read ({e})")))?;
    let settings = Instance::read(&name, &text).map_err(|e| Failure::Usage(e.to_string()))?;
    logs::start("info");
    build_runtime()?.block_on(serve(settings))
}

async fn serve(settings: Instance) -> Result<(), Failure> {
    let to_failure = |e: std::io::Error| Failure::Failed(e.into());
    let mut term = signal(SignalKind::terminate()).map_err(to_failure)?;
    let mut int = signal(SignalKind::interrupt()).map_err(to_failure)?;
    let process = Process::start(settings).await?;
    let addresses = process.addresses();
    let caller = addresses
        .caller
        .map_or("none".to_owned(), |a| a.to_string());
    println!(
        "caller={caller} peer={} admin={}",
        addresses.peer, addresses.admin
    );
    let ready = async {
        process.wait_ready().await;
        println!("ready=true");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = ready => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let is_drained = tokio::select! {
        is_drained = process.drain() => is_drained,
        _ = term.recv() => false,
        _ = int.recv() => false,
    };
    if is_drained {
        return Ok(());
    }
    Err(Failure::Failed(eyre::eyre!(
        "stopped before all streams had finished; increase drain_ms"
    )))
}

/// Runs a stand-in server until the process is killed.
pub fn run_stand_in(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let kind = args.subcommand()?.unwrap_or_default();
    let address: SocketAddr = args.value_from_str("--listen")?;
    expect_no_more_args(args)?;
    build_runtime()?.block_on(async {
        let handler = gradedyke_standin::create_handler(&kind).ok_or_else(|| {
            Failure::Usage(format!(
                "no stand-in {kind}; use platform, engine or service"
            ))
        })?;
        let stop = CancellationToken::new();
        let bound = gradedyke_standin::serve(handler, address, &stop).await;
        let bound = bound.map_err(|e| Failure::Failed(e.into()))?;
        println!("listening={bound}");
        std::future::pending().await
    })
}
