//! Invalid settings: each error has the file, the line, the path and a remedy.

use gradedyke_base::settings::check;
use gradedyke_base::settings::instance::Instance;
use gradedyke_base::settings::parse::Source;
use serde::Deserialize;
use serde_json::json;

const INVALID_TREES: &str = include_str!("../testdata/bad-trees.jsonc");

#[derive(Debug, Deserialize)]
struct Case {
    name: String,
    text: String,
    line: usize,
    path: String,
}

#[test]
fn a_fault_in_a_tree_is_placed() {
    let cases: Vec<Case> = Source::new("bad-trees.jsonc", INVALID_TREES)
        .read()
        .unwrap();
    let mut words = Vec::new();
    for case in cases {
        let errors = check::read("tree.jsonc", &case.text).unwrap_err();
        let error = &errors[0];
        assert_eq!(
            (error.line, &error.path),
            (case.line, &case.path),
            "{}: {error}",
            case.name
        );
        words.push(format!("{}: {error}", case.name));
    }
    insta::assert_snapshot!(words.join("\n"));
}

#[test]
fn errors_in_instance_settings_have_path_and_remedy() {
    let valid = json!({
        "id": "a-1", "deployment": "d", "data_centre": "north-1", "roles": ["entry"],
        "listen": { "caller": "127.0.0.1:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3" },
        "platform": { "key_value": ["127.0.0.1:4"] },
    });
    Instance::read("a.jsonc", &valid.to_string()).unwrap();
    // JSON pointer, value to set there, expected path in the error.
    let cases = [
        ("/id", json!("a b"), "id"),
        ("/roles", json!([]), "roles"),
        ("/roles", json!(["cook"]), "roles[0]"),
        ("/listen/caller", json!(null), "listen"),
        ("/listen/peer", json!("here"), "listen.peer"),
        ("/platform/key_value", json!([]), "platform.key_value"),
    ];
    for (pointer, value, path) in cases {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(pointer).unwrap() = value;
        let error = Instance::read("a.jsonc", &invalid.to_string()).unwrap_err();
        assert_eq!(error.path, path, "{error}");
        assert!(error.message.contains("; "), "no remedy: {error}");
    }
}

#[test]
fn client_accounts_must_not_share_a_key() {
    let key = json!([{ "hash": "0".repeat(64) }]);
    let account = json!({ "keys": key, "agents": {} });
    let tree = json!({ "accounts": { "a": account, "b": account } });
    let errors = check::read("tree.jsonc", &tree.to_string()).unwrap_err();
    assert_eq!(errors[0].path, "accounts.b.keys[0].hash");
}
