//! The load and experiment tool: drives the real daemons against the stand-ins
//! and prints what it measured as one JSON object.
//!
//! Times on a shared machine are noise; every experiment measures what it
//! compares side by side in one run and gives ratios beside the raw figures.

mod decision;
mod listing;
mod memory;
mod overhead;
mod placement;
mod recovery;
mod relay;
mod server;
mod takeover;
mod usage;

use std::process::ExitCode;

use eyre::eyre;
use serde_json::Value;

const HELP: &str = "\
usage: gradedyke-load list | run NAME [--short]

Runs an experiment and prints one JSON object. --short does little, to try it.
Load goes to 127.0.0.0/8 only and ends by itself. Build it and gradedyke with
--release first; the tool starts the gradedyke beside it.
";

/// The experiments, with what each one tells.
const EXPERIMENTS: [(&str, &str); 9] = [
    (
        "decision",
        "processor time of a choice of a server, by the number of servers",
    ),
    (
        "listing",
        "what a first listing of the platform's service costs, by the number of its keys",
    ),
    (
        "overhead",
        "a call through entry and owner against the same straight to the engine",
    ),
    (
        "placement",
        "policies and their mechanisms over loads and engines, in a model",
    ),
    (
        "recovery",
        "from the start of a keeper over a full disk to its first answers",
    ),
    (
        "relay",
        "ways to carry a token stream between two processes",
    ),
    (
        "takeover",
        "from the kill of an owner to the first served call of its programs",
    ),
    (
        "usage",
        "what the use of client accounts costs an exchange, by the deployment's size",
    ),
    (
        "memory",
        "memory and journal of an owner by programs and history",
    ),
];

fn main() -> ExitCode {
    match command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gradedyke-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let short = args.contains("--short");
    match args.subcommand()?.as_deref() {
        Some("list") => {
            for (name, tells) in EXPERIMENTS {
                println!("{name}: {tells}");
            }
            Ok(())
        }
        Some("run") => {
            let name: String = args.free_from_str()?;
            let runtime = tokio::runtime::Runtime::new()?;
            let result = runtime.block_on(run(&name, short))?;
            println!("{result:#}");
            Ok(())
        }
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

async fn run(name: &str, short: bool) -> eyre::Result<Value> {
    match name {
        "overhead" => overhead::run(short).await,
        "decision" => decision::measure(short),
        "listing" => listing::measure(short),
        "placement" => Ok(placement::measure(short)),
        "recovery" => recovery::run(short).await,
        "relay" => relay::run(short).await,
        "takeover" => takeover::run(short).await,
        "usage" => usage::measure(short),
        "memory" => memory::run(short).await,
        other => Err(eyre!("no experiment {other}; see gradedyke-load list")),
    }
}
