//! `gradedyke settings` and `gradedyke key`.

use gradedyke::routing;
use gradedyke_base::settings::check;
use gradedyke_base::settings::instance::Instance;
use gradedyke_base::settings::tree::hash_key;

use crate::{Failure, admin, expect_no_more_args};

/// Number of random bytes in a generated key.
const GENERATED_KEY_BYTES: usize = 24;

/// Runs `gradedyke settings`: validates settings or applies them.
pub fn command(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    match args.subcommand()?.as_deref() {
        Some("check") => check_file(args),
        Some("apply") => admin::apply(args),
        _ => Err(Failure::Usage(
            "no settings command; use check or apply, see gradedyke settings --help".to_owned(),
        )),
    }
}

fn check_file(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let is_instance = args.contains("--instance");
    let is_serve = args.contains("--serve");
    let (file, text) = read_file(args)?;
    expect_no_more_args(args)?;
    let errors = if is_serve {
        let result = gradedyke_gateway::settings::Settings::read(&file, &text);
        result.err().into_iter().collect()
    } else if is_instance {
        Instance::read(&file, &text).err().into_iter().collect()
    } else {
        check::read_with_checks(&file, &text, routing::check_policies)
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

/// Reads the file named by the next argument; returns its name and content.
pub fn read_file(args: &mut pico_args::Arguments) -> Result<(String, String), Failure> {
    let file: String = args.free_from_str()?;
    let text = std::fs::read_to_string(&file);
    let text = text.map_err(|e| Failure::Usage(format!("{file}: cannot be read ({e})")))?;
    Ok((file, text))
}

/// Prints the given API key, or a generated one, and its hash.
pub fn generate_key(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let given: Option<String> = args.opt_free_from_str()?;
    expect_no_more_args(args)?;
    let generate = || {
        let bytes = rand::random::<[u8; GENERATED_KEY_BYTES]>();
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    };
    let key: String = given.unwrap_or_else(generate);
    println!("key={key} hash={}", hash_key(&key));
    Ok(())
}
