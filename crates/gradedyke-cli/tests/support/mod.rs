//! What the tests of the command line share.

use std::process::Command;

/// Runs the command line to its end; returns exit code, output and errors.
pub fn gradedyke(words: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gradedyke"))
        .args(words)
        .output();
    let output = output.unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap(),
        text(&output.stdout),
        text(&output.stderr),
    )
}
