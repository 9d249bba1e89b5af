//! `gradedyke serve`: one role on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gradedyke_gateway::process::{Environment, Process};
use gradedyke_gateway::settings::Settings;
use gradedyke_site::store::KeyValueClient;
use gradedyke_site::{Adapter, SETTINGS_PATH_VARIABLE};
use tokio::signal::unix::{SignalKind, signal};

use crate::{Failure, logs, no_more};

/// How often the settings file is looked at: it may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Runs a role until a signal. The settings file is named by `--settings`, or
/// by the platform's variable.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let role = args.subcommand()?.unwrap_or_default();
    let file: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    no_more(args)?;
    let named = || std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from);
    let file = file.or_else(named).ok_or_else(|| {
        Failure::Usage(format!(
            "no settings file; give --settings or set {SETTINGS_PATH_VARIABLE}"
        ))
    })?;
    let settings = read(&file).map_err(Failure::Usage)?;
    let mut log = logs::start_bounded("info");
    // One core is what an instance has; a second thread would only be switched
    // to and fro.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::Failed(e.into()))?;
    runtime.block_on(run(&role, &file, settings, &mut log))
}

fn read(file: &Path) -> Result<Settings, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| format!("{name}: cannot be read ({e}); check the path"))?;
    Settings::read(&name, &text).map_err(|e| e.to_string())
}

async fn run(
    role: &str,
    file: &Path,
    settings: Settings,
    log: &mut logs::Queue,
) -> Result<(), Failure> {
    let io = |e: std::io::Error| Failure::Failed(e.into());
    let mut term = signal(SignalKind::terminate()).map_err(io)?;
    let mut int = signal(SignalKind::interrupt()).map_err(io)?;
    let mut hup = signal(SignalKind::hangup()).map_err(io)?;
    let environment = Environment {
        dialect: Arc::new(Adapter),
        kv: Arc::new(KeyValueClient::new(settings.platform)),
    };
    let process = match role {
        "entry" => Process::entry(settings, environment).await?,
        "keeper" => Process::keeper(settings, environment).await?,
        other => {
            return Err(Failure::Usage(format!(
                "no role {other}; serve entry or keeper"
            )));
        }
    };
    let mut changed = modified(file);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            () = process.wait_for_failure() => {
                return Err(Failure::Failed(eyre::eyre!(
                    "the process stopped by itself; its log says why"
                )));
            }
            _ = hup.recv() => {}
            () = tokio::time::sleep(LOOK) => {
                log.tell();
                let now = modified(file);
                if now == changed {
                    continue;
                }
                changed = now;
            }
        }
        match read(file) {
            Ok(settings) => process.reload(settings),
            Err(error) => tracing::warn!(event = "not_reloaded", error),
        }
    }
    process.drain().await;
    Ok(())
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
