//! The command line: help for each command, exit codes, errors.

mod support;

use support::gradedyke;

#[test]
fn every_command_has_help() {
    for command in [
        "crashes", "demo", "evacuate", "run", "settings", "status", "standin", "key",
    ] {
        let (code, help, _) = gradedyke(&[command, "--help"]);
        assert_eq!(code, 0);
        let usage = format!("usage: gradedyke {command}");
        assert!(help.contains(&usage), "{help}");
        let (_, general, _) = gradedyke(&["--help"]);
        assert!(general.contains(command), "{general}");
    }
}

#[test]
fn invalid_arguments_exit_with_code_2_and_a_message() {
    // Arguments, part of the expected error message.
    let cases: [(&[&str], &str); 9] = [
        (&["cook"], "no command cook"),
        (&["run"], "--settings"),
        (&["evacuate", "north"], "--admin"),
        (&["run", "--settings", "/nowhere.jsonc"], "cannot be read"),
        (&["demo", "--instances", "0"], "use 1 or more"),
        (&["demo", "--fast"], "--fast is not understood"),
        (&["settings"], "no settings command"),
        (&["settings", "check", "/nowhere.jsonc"], "cannot be read"),
        (
            &["standin", "oven", "--listen", "127.0.0.1:0"],
            "no stand-in oven",
        ),
    ];
    for (args, expected) in cases {
        let (code, _, error) = gradedyke(args);
        assert_eq!(code, 2, "{args:?}: {error}");
        assert!(error.contains(expected), "{args:?}: {error}");
    }
}

#[test]
fn settings_errors_have_file_line_and_path() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("tree.jsonc");
    std::fs::write(&file, "{\n  // three faults\n  \"defaults\": {\n    \"max_turns\": 0,\n    \"idle_ms\": 0,\n    \"routing\": \"x\"\n  }\n}\n").unwrap();
    let name = file.to_str().unwrap();
    let (code, _, error) = gradedyke(&["settings", "check", name]);
    assert_eq!(code, 2);
    let locations = [
        ":4: at defaults.max_turns: ",
        ":5: at defaults.idle_ms: ",
        ":6: at defaults.routing: ",
    ];
    for location in locations {
        assert!(error.contains(location), "{error}");
    }
    std::fs::write(&file, "{}").unwrap();
    assert_eq!(gradedyke(&["settings", "check", name]).0, 0);
}

#[test]
fn the_examples_are_valid() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let mut checked = 0;
    for deployment in ["kestrel", "jordan"] {
        let tree = format!("{examples}/{deployment}/tree.jsonc");
        let (code, _, error) = gradedyke(&["settings", "check", &tree]);
        assert_eq!(code, 0, "{error}");
        let instance = format!("{examples}/{deployment}/instance-1.jsonc");
        let (code, _, error) = gradedyke(&["settings", "check", &instance, "--instance"]);
        assert_eq!(code, 0, "{error}");
        checked += 1;
    }
    assert_eq!(checked, 2);
}

#[test]
fn an_unreachable_admin_listener_is_a_failure_not_a_usage_error() {
    let (code, _, error) = gradedyke(&["status", "--admin", "127.0.0.1:1", "--key", "x"]);
    assert_eq!(code, 1);
    assert!(error.contains("cannot be reached"), "{error}");
}
