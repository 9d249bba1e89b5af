//! `gradedyke settings` and `gradedyke key`.

use gradedyke::routing;
use gradedyke_base::settings::check;
use gradedyke_base::settings::instance::Instance;
use gradedyke_base::settings::tree::hash_key;

use crate::{Failure, admin, no_more};

/// Bytes of a fresh key.
const KEY_BYTES: usize = 24;

/// Checks settings, or puts them in force.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    match args.subcommand()?.as_deref() {
        Some("check") => check_file(args),
        Some("apply") => admin::apply(args),
        _ => Err(Failure::Usage(
            "settings what? see gradedyke settings --help".to_owned(),
        )),
    }
}

fn check_file(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let instance = args.contains("--instance");
    let serve = args.contains("--serve");
    let (file, text) = read(args)?;
    no_more(args)?;
    let errors = if serve {
        let read = gradedyke_gateway::settings::Settings::read(&file, &text);
        read.err().into_iter().collect()
    } else if instance {
        Instance::read(&file, &text).err().into_iter().collect()
    } else {
        check::read_with(&file, &text, routing::faults)
            .err()
            .unwrap_or_default()
    };
    if errors.is_empty() {
        println!("{file}: ok");
        return Ok(());
    }
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    Err(Failure::Usage(lines.join("\n")))
}

/// Reads the file that the next word names.
pub fn read(args: &mut pico_args::Arguments) -> Result<(String, String), Failure> {
    let file: String = args.free_from_str()?;
    let text = std::fs::read_to_string(&file);
    let text = text.map_err(|e| Failure::Usage(format!("{file}: cannot be read ({e})")))?;
    Ok((file, text))
}

/// Makes a key and prints it with its hash.
pub fn key(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let given: Option<String> = args.opt_free_from_str()?;
    no_more(args)?;
    let fresh = || {
        let bytes = rand::random::<[u8; KEY_BYTES]>();
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    };
    let key: String = given.unwrap_or_else(fresh);
    println!("key={key} hash={}", hash_key(&key));
    Ok(())
}
