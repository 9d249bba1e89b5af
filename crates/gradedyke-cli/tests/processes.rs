//! Real processes: stand-ins, three instances with every role, callers that go
//! through different entries, a kill in the middle of a stream, a drain.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use gradedyke_base::settings::tree::hash_key;
use gradedyke_client::{Caller, Options};
use gradedyke_http::{Client, client};
use gradedyke_standin::{engine, service};
use gradedyke_world::{JORDAN, KESTREL, MODEL, OPERATOR, chat, text_of, user};
use http::Method;
use serde_json::{Value, json};
use support::gradedyke;

const TIME: Duration = Duration::from_secs(60);
/// Tokens after which the engine stands still until it is let go on.
const HELD_AT: u64 = 5;

/// A process that is killed when the test ends.
struct Process {
    child: Child,
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(words: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradedyke"))
            .args(words)
            .env("GRADEDYKE_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines }
    }

    /// The value of `key` in the next line that has one.
    fn value(&mut self, key: &str) -> String {
        let key = format!("{key}=");
        loop {
            let line = self.lines.next().expect("it has ended").unwrap();
            let words = line.split(' ');
            if let Some(value) = words.filter_map(|w| w.strip_prefix(&key)).next() {
                return value.to_owned();
            }
        }
    }

    fn standin(kind: &str) -> (Self, SocketAddr) {
        let mut process = Self::start(&["standin", kind, "--listen", "127.0.0.1:0"]);
        let address = process.value("listening").parse().unwrap();
        (process, address)
    }
}

struct Instance {
    process: Process,
    caller: SocketAddr,
    admin: SocketAddr,
}

fn instance(number: usize, platform: SocketAddr, folder: &Path) -> Instance {
    let settings = json!({
        "id": format!("i-{number}"),
        "deployment": "processes",
        "data_centre": format!("dc-{number}"),
        "roles": ["entry", "owner", "keeper", "admin"],
        "listen": {
            "caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
        },
        "platform": { "key_value": [platform] },
        "data_folder": folder.join(format!("data-{number}")),
        "lease_ms": 2_000,
        "limits": { "leave_ms": 0 },
        "operator_hash": hash_key(OPERATOR),
    });
    let file = folder.join(format!("{number}.jsonc"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut process = Process::start(&["run", "--settings", file.to_str().unwrap()]);
    let line = process.lines.next().unwrap().unwrap();
    let address = |key: &str| {
        let mut words = line.split(' ').filter_map(|w| w.strip_prefix(key));
        words.next().unwrap().parse().unwrap()
    };
    Instance {
        caller: address("caller="),
        admin: address("admin="),
        process,
    }
}

fn tree(engine: SocketAddr, orders: SocketAddr) -> Value {
    let account =
        |key: &str, agents: Value| json!({ "keys": [{ "hash": hash_key(key) }], "agents": agents });
    json!({
        "accounts": {
            "kestrel": account(KESTREL, json!({ "minutes": { "models": [MODEL] } })),
            "jordan": account(JORDAN, json!({ "valuation": { "services": ["orders"] } })),
        },
        "backends": {
            "engine": {
                "kind": "engine", "address": engine, "data_centre": "dc-1", "models": [MODEL],
            },
            "orders": {
                "kind": "service", "address": orders, "data_centre": "dc-1",
                "service": "orders", "outcome_path": "/outcomes/{key}",
            },
        },
    })
}

async fn ask<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str, body: Option<Value>) -> T {
    let client = Client::new(&client::Config::default());
    let method = if body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let answer = client.json(method, at, path, body.as_ref(), TIME);
    answer.await.unwrap()
}

#[derive(serde::Deserialize)]
struct Records {
    runs: Vec<engine::Run>,
}

/// Evacuates a data centre and takes that back, each twice.
fn evacuate_and_take_back(admin: &str) {
    let evacuate = |data_centre, more: &[&str]| {
        let words = ["evacuate", data_centre, "--admin", admin, "--key", OPERATOR];
        gradedyke(&[&words, more].concat())
    };
    let (code, _, error) = evacuate("nowhere", &[]);
    assert_eq!(code, 1);
    assert!(error.contains("no backend server stands in"), "{error}");
    for (more, revision) in [
        (&[][..], 2),
        (&[], 2),
        (&["--withdraw"], 3),
        (&["--withdraw"], 3),
    ] {
        let (code, said, error) = evacuate("dc-1", more);
        assert_eq!((code, error.as_str()), (0, ""));
        assert_eq!(said, format!("revision={revision}\n"));
    }
}

#[test]
fn programs_survive_a_kill_and_a_drain_of_real_processes() {
    let folder = tempfile::tempdir().unwrap();
    let (_platform, platform) = Process::standin("platform");
    let (_engine, engine) = Process::standin("engine");
    let (_orders, orders) = Process::standin("service");
    let mut instances: Vec<_> = (1..=3)
        .map(|n| instance(n, platform, folder.path()))
        .collect();

    let file = folder.path().join("tree.jsonc");
    std::fs::write(&file, tree(engine, orders).to_string()).unwrap();
    let admin = instances[0].admin.to_string();
    let words = [
        "settings",
        "apply",
        file.to_str().unwrap(),
        "--admin",
        &admin,
        "--key",
        OPERATOR,
    ];
    assert_eq!(
        gradedyke(&words),
        (0, "revision=1\n".to_owned(), String::new())
    );
    for instance in &mut instances {
        assert_eq!(instance.process.value("ready"), "true");
    }
    let words = ["status", "--admin", &admin, "--key", OPERATOR];
    let (code, status, _) = gradedyke(&words);
    assert_eq!(code, 0);
    assert_eq!(
        status.matches("draining=false revision=1").count(),
        3,
        "{status}"
    );

    evacuate_and_take_back(&admin);

    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let jordan = Caller::new(JORDAN, TIME);
        let opening = jordan.open(instances[0].caller, "valuation", None, None, "open");
        let program = opening.await.unwrap();
        for turn in 0..6 {
            // Each order twice, through different entries.
            for way in 0..2 {
                let at = instances[(turn + way) % 3].caller;
                let options = Options::request(format!("order-{turn}"));
                let call = jordan.service(at, &program, "orders/place", "{}", options);
                call.await.unwrap();
            }
        }
        let runs: Vec<service::Run> = ask(orders, "/records", None).await;
        assert_eq!(runs.len(), 6, "{runs:?}");

        let kestrel = Caller::new(KESTREL, TIME);
        let mut streams = Vec::new();
        let _: Value = ask(engine, "/hold", Some(json!(HELD_AT))).await;
        for number in 0..6 {
            let at = instances[number % 3].caller;
            let opened = format!("open-{number}");
            let opening = kestrel.open(at, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user(&format!("Draft number {number}."))]);
            let stream = kestrel.stream(at, &program, &body, Options::request("draft"));
            let mut stream = stream.await.unwrap();
            let first = stream.next().await.unwrap().unwrap();
            streams.push((program, stream, first));
        }
        // A third of the streams and of the owners go at once.
        instances[2].process.child.kill().unwrap();
        let _: Value = ask(engine, "/hold", Some(json!(null))).await;
        for (number, (program, stream, first)) in streams.into_iter().enumerate() {
            let offset = stream.offset;
            let streamed = stream.rest().await;
            let at = instances[number % 2].caller;
            let whole = kestrel.fetch(at, &program, "draft").await.unwrap();
            let text = text_of(&whole);
            if number % 3 == 2 {
                assert!(streamed.is_err(), "its entry was killed");
                let rest = kestrel.resume(at, &program, "draft", offset).await.unwrap();
                let rest = rest.rest().await.unwrap();
                assert_eq!(format!("{first}{rest}"), text);
            } else {
                assert_eq!(
                    streamed.unwrap(),
                    text,
                    "a stream through a living entry was cut"
                );
            }
            let records: Records = ask(engine, "/records", None).await;
            let attempt = format!("{program}:draft:");
            let runs = records
                .runs
                .iter()
                .filter(|r| r.attempt.starts_with(&attempt));
            let runs: Vec<_> = runs.filter(|r| r.whole).collect();
            assert!(runs.iter().all(|r| r.text == text), "{runs:?}");
        }

        // A planned stop: the exit code says that nothing was cut.
        let pid = instances[1].process.child.id().to_string();
        Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        let status = instances[1].process.child.wait().unwrap();
        assert_eq!(status.code(), Some(0));
        let at = instances[0].caller;
        let history = jordan.program(at, &program, "").await.unwrap();
        assert_eq!(history["calls"], 6);
    });
}
