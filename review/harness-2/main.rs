//! Plays a case of the review: starts the system's processes beside stand-ins for the platform's
//! store, the servers and the clients, disturbs them, and checks a rule by what clients saw.
//!
//! `harness CASE FOLDER WORK`: writes `record.txt` into FOLDER, and keeps the processes' files in
//! WORK. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment nothing is disturbed.

mod cases;
mod client;
mod engine;
mod http;
mod json;
mod record;
mod store;
mod system;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, work] = &args[..] else {
        eprintln!("harness CASE FOLDER WORK");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    system::start_watchdog();
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!(
        "case {case}, {} the disruption",
        if with_trouble { "with" } else { "without" }
    ));
    let outcome = cases::play(case, Path::new(work), &record, with_trouble);
    system::end_all();
    match outcome {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
