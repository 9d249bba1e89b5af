//! The gradedyke command line.

mod admin;
mod demo;
mod explain;
mod help;
mod logs;
mod run;
mod serve;
mod settings;

use std::process::ExitCode;

/// Ended well.
const OK: u8 = 0;
/// Failed.
const FAILED: u8 = 1;
/// The words of the command or the settings are wrong.
const USAGE: u8 = 2;

/// How a command ended, other than well.
enum Failure {
    /// What was tried failed.
    Failed(eyre::Report),
    /// The words of the command or the settings are wrong.
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
        Ok(()) => OK,
        Err(Failure::Failed(report)) => {
            eprintln!("gradedyke: {report:#}");
            FAILED
        }
        Err(Failure::Usage(message)) => {
            eprintln!("gradedyke: {message}");
            USAGE
        }
    };
    ExitCode::from(code)
}

fn dispatch(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let wants_help = args.contains(["-h", "--help"]);
    let command = args.subcommand()?;
    let command = command.as_deref().unwrap_or("help");
    if wants_help || command == "help" {
        let topic = if command == "help" { "" } else { command };
        print!("{}", help::text(topic));
        return Ok(());
    }
    match command {
        "demo" => demo::command(args),
        "evacuate" => admin::evacuate(args),
        "explain" => explain::command(args),
        "run" => run::command(args),
        "serve" => serve::command(args),
        "settings" => settings::command(args),
        "standin" => run::standin(args),
        "status" => admin::status(args),
        "key" => settings::key(args),
        other => Err(Failure::Usage(format!(
            "no command {other}; see gradedyke --help"
        ))),
    }
}

/// Refuses words that are left over.
fn no_more(args: &pico_args::Arguments) -> Result<(), Failure> {
    let left = args.clone().finish();
    match left.first() {
        None => Ok(()),
        Some(word) => Err(Failure::Usage(format!(
            "{} is not understood here; see --help",
            word.to_string_lossy()
        ))),
    }
}

/// A tokio runtime with a thread for each core.
fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(|e| Failure::Failed(e.into()))
}
