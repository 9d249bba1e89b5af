//! Load and experiment tool. Runs `gradedyke` processes against stand-in backend servers and
//! a stand-in platform, or measures parts of the library directly, and prints the results as
//! JSON.
//!
//! Absolute times vary on a shared machine. An experiment therefore measures the variants that
//! it compares in the same run.

mod crashes;
mod decision;
mod instance;
mod listing;
mod memory;
mod overhead;
mod placement;
mod recovery;
mod relay;
mod takeover;
mod usage;

use std::process::ExitCode;

use eyre::eyre;
use serde_json::Value;

const HELP: &str = "\
usage: gradedyke-load list | run NAME [--short]

Runs an experiment and prints one JSON object. --short does less work, for a quick trial.
Load goes to 127.0.0.0/8 only and ends by itself. Build it and gradedyke with
--release first; the tool starts the gradedyke beside it.
";

/// Names and descriptions of the experiments.
const EXPERIMENTS: [(&str, &str); 10] = [
    (
        "crashes",
        "backend servers ended by requests that end each one, and what it costs other requests",
    ),
    (
        "decision",
        "CPU time of choosing a server, by the number of servers",
    ),
    (
        "listing",
        "cost of the initial listing of the platform's key-value service, by the number of keys",
    ),
    (
        "overhead",
        "overhead of a call through entry and owner compared with a direct call to the engine",
    ),
    (
        "placement",
        "simulation of placement policies and their mechanisms with various loads and engines",
    ),
    (
        "recovery",
        "time from the start of a keeper with records on its disk to its first replies",
    ),
    (
        "relay",
        "protocols for a token stream between two processes",
    ),
    (
        "takeover",
        "time from the kill of an owner to the end of the next call of each program",
    ),
    (
        "usage",
        "cost of sharing the usage of client accounts, by the size of the deployment",
    ),
    (
        "memory",
        "memory of an owner by the number of programs and the length of their history",
    ),
];

fn main() -> ExitCode {
    match run_command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gradedyke-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_command() -> eyre::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let short = args.contains("--short");
    match args.subcommand()?.as_deref() {
        Some("list") => {
            for (name, description) in EXPERIMENTS {
                println!("{name}: {description}");
            }
            Ok(())
        }
        Some("run") => {
            let name: String = args.free_from_str()?;
            let runtime = tokio::runtime::Runtime::new()?;
            let result = runtime.block_on(run_experiment(&name, short))?;
            println!("{result:#}");
            Ok(())
        }
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

async fn run_experiment(name: &str, short: bool) -> eyre::Result<Value> {
    match name {
        "crashes" => crashes::run(short).await,
        "overhead" => overhead::run(short).await,
        "decision" => decision::measure(short),
        "listing" => listing::measure(short),
        "placement" => Ok(placement::measure(short)),
        "recovery" => recovery::run(short).await,
        "relay" => relay::run(short).await,
        "takeover" => takeover::run(short).await,
        "usage" => usage::measure(short),
        "memory" => memory::run(short).await,
        other => Err(eyre!(
            "unknown experiment {other}; `gradedyke-load list` prints their names"
        )),
    }
}
