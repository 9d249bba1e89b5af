//! `gradedyke run`: the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use gradedyke::Process;
use gradedyke_base::settings::instance::Instance;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{Failure, logs, no_more, runtime};

/// Runs the roles that a settings file names until a signal.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let file: PathBuf = args.value_from_str("--settings")?;
    no_more(args)?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(&file)
        .map_err(|e| Failure::Usage(format!("{name}: cannot be read ({e})")))?;
    let settings = Instance::read(&name, &text).map_err(|e| Failure::Usage(e.to_string()))?;
    logs::start("info");
    runtime()?.block_on(serve(settings))
}

async fn serve(settings: Instance) -> Result<(), Failure> {
    let io = |e: std::io::Error| Failure::Failed(e.into());
    let mut term = signal(SignalKind::terminate()).map_err(io)?;
    let mut int = signal(SignalKind::interrupt()).map_err(io)?;
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
        process.ready().await;
        println!("ready=true");
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = ready => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let whole = tokio::select! {
        whole = process.drain() => whole,
        _ = term.recv() => false,
        _ = int.recv() => false,
    };
    if whole {
        return Ok(());
    }
    Err(Failure::Failed(eyre::eyre!(
        "stopped before every stream had finished; give drain_ms more time"
    )))
}

/// Runs a stand-in until it is killed.
pub fn standin(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let kind = args.subcommand()?.unwrap_or_default();
    let address: SocketAddr = args.value_from_str("--listen")?;
    no_more(args)?;
    runtime()?.block_on(async {
        let handler = gradedyke_standin::handler(&kind).ok_or_else(|| {
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
