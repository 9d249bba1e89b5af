//! `gradedyke serve`: runs one role on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gradedyke_gateway::process::{Environment, Process};
use gradedyke_gateway::settings::Settings;
use gradedyke_site::store::KeyValueClient;
use gradedyke_site::{Adapter, SETTINGS_PATH_VARIABLE};
use tokio::signal::unix::{SignalKind, signal};

use crate::{Failure, expect_no_more_args, logs};

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a role until SIGTERM or SIGINT. The path of the settings file is taken from
/// `--settings`, else from the environment variable that the platform sets.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let role = args.subcommand()?.unwrap_or_default();
    let file: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    expect_no_more_args(args)?;
    let path_from_env = || std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from);
    let file = file.or_else(path_from_env).ok_or_else(|| {
        Failure::Usage(format!(
            "no settings file; give --settings or set {SETTINGS_PATH_VARIABLE}"
        ))
    })?;
    let settings = read_settings(&file).map_err(Failure::Usage)?;
    let mut log = logs::start_bounded("info");
    // Instances have one core, where more threads would only add context switches.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::Failed(e.into()))?;
    runtime.block_on(run(&role, &file, settings, &mut log))
}

fn read_settings(file: &Path) -> Result<Settings, String> {
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
    let to_failure = |e: std::io::Error| Failure::Failed(e.into());
    let mut term = signal(SignalKind::terminate()).map_err(to_failure)?;
    let mut int = signal(SignalKind::interrupt()).map_err(to_failure)?;
    let mut hup = signal(SignalKind::hangup()).map_err(to_failure)?;
    let environment = Environment {
        dialect: Arc::new(Adapter),
        kv: Arc::new(KeyValueClient::new(settings.platform)),
    };
    let process = match role {
        "entry" => Process::start_entry(settings, environment).await?,
        "keeper" => Process::start_keeper(settings, environment).await?,
        other => {
            return Err(Failure::Usage(format!(
                "no role {other}; serve entry or keeper"
            )));
        }
    };
    let mut last_modified = modification_time(file);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            () = process.wait_for_failure() => {
                return Err(Failure::Failed(eyre::eyre!(
                    "the process failed; see its log for the cause"
                )));
            }
            _ = hup.recv() => {}
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                log.log_dropped_lines();
                let modified = modification_time(file);
                if modified == last_modified {
                    continue;
                }
                last_modified = modified;
            }
        }
        match read_settings(file) {
            Ok(settings) => process.reload(settings),
            Err(error) => tracing::warn!(event = "not_reloaded", error),
        }
    }
    process.drain().await;
    Ok(())
}

fn modification_time(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
