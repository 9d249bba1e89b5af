//! Helpers for the tests of the command line.

use std::process::Command;

/// Runs the `gradedyke` binary; returns exit code, standard output and standard error.
pub fn gradedyke(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gradedyke"))
        .args(args)
        .output();
    let output = output.unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap(),
        text(&output.stdout),
        text(&output.stderr),
    )
}
