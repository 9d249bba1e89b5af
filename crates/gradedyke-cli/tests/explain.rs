//! `gradedyke explain` on a log file with two programs.

use std::process::{Command, Output};

fn explain(args: &[&str]) -> Output {
    let logs = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../testdata/logs/two-programs.txt"
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradedyke"));
    command.arg("explain").args(args).arg(logs);
    command.output().unwrap()
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).unwrap()
}

#[test]
fn the_latency_of_a_program_is_broken_down() {
    insta::assert_snapshot!(stdout(&explain(&["--program", "p1"])), @r"
    program=p1 requests=3 failed=0 keepers_ms=11 first_ms=70 events_ms=500 rest_ms=224 calls_ms=80 between_ms=115
      request=a1 end=whole attempts=1 total_ms=300 keepers_ms=6 first_ms=40 events_ms=240
      request=b1 end=answered attempts=1 total_ms=80 keepers_ms=0 first_ms=0 events_ms=0
      request=a2 end=whole attempts=2 total_ms=505 keepers_ms=5 first_ms=30 events_ms=260
    ");
}

#[test]
fn all_requests_are_summarized_per_second() {
    insta::assert_snapshot!(stdout(&explain(&[])), @r"
    second=0 requests=4 failed=1 keepers_ms=3 first_ms=18 events_ms=125 rest_ms=56 calls_ms=96
    ");
}

#[test]
fn an_unknown_program_is_an_error_with_a_remedy() {
    let output = explain(&["--program", "p9"]);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("give the logs of all instances"), "{error}");
}
