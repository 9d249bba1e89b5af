//! The gradedyke command line.

mod admin;
mod crashes;
mod demo;
mod explain;
mod help;
mod logs;
mod run;
mod serve;
mod settings;

use std::process::ExitCode;

/// Exit code of success.
const EXIT_OK: u8 = 0;
/// Exit code if the command failed.
const EXIT_FAILED: u8 = 1;
/// Exit code if the arguments or the settings are invalid.
const EXIT_USAGE: u8 = 2;

/// Why a command did not succeed.
enum Failure {
    /// The command failed.
    Failed(eyre::Report),
    /// The arguments or the settings are invalid.
    Usage(String),
}

impl From<eyre::Report> for Failure {
    fn from(report: eyre::Report) -> Self {
        Failure::Failed(report)
    }
}

impl From<pico_args::Error> for Failure {
    fn from(error: pico_args::Error) -> Self {
        Failure::Usage(error.to_string())
    }
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let code = match dispatch(&mut args) {
        Ok(()) => EXIT_OK,
        Err(Failure::Failed(report)) => {
            eprintln!("gradedyke: {report:#}");
            EXIT_FAILED
        }
        Err(Failure::Usage(message)) => {
            eprintln!("gradedyke: {message}");
            EXIT_USAGE
        }
    };
    ExitCode::from(code)
}

fn dispatch(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let is_help_requested = args.contains(["-h", "--help"]);
    let command = args.subcommand()?;
    let command = command.as_deref().unwrap_or("help");
    if is_help_requested || command == "help" {
        let topic = if command == "help" { "" } else { command };
        print!("{}", help::text(topic));
        return Ok(());
    }
    match command {
        "crashes" => crashes::command(args),
        "demo" => demo::command(args),
        "evacuate" => admin::evacuate(args),
        "explain" => explain::command(args),
        "run" => run::command(args),
        "serve" => serve::command(args),
        "settings" => settings::command(args),
        "standin" => run::run_stand_in(args),
        "status" => admin::status(args),
        "key" => settings::generate_key(args),
        other => Err(Failure::Usage(format!(
            "no command {other}; see gradedyke --help"
        ))),
    }
}

/// Rejects remaining arguments.
fn expect_no_more_args(args: &pico_args::Arguments) -> Result<(), Failure> {
    let remaining = args.clone().finish();
    match remaining.first() {
        None => Ok(()),
        Some(arg) => Err(Failure::Usage(format!(
            "{} is not understood here; see --help",
            arg.to_string_lossy()
        ))),
    }
}

/// Builds a tokio runtime with one worker thread per core.
fn build_runtime() -> Result<tokio::runtime::Runtime, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(|e| Failure::Failed(e.into()))
}
