//! Test with separate processes: stand-in servers, and three instances with every role.
//! One instance is killed while it streams, another is shut down gracefully.

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
use gradedyke_world::{
    JORDAN_KEY, KESTREL_KEY, MODEL_NAME, OPERATOR_KEY, chat_body, response_text, user_message,
};
use http::Method;
use serde_json::{Value, json};
use support::gradedyke;

const TIMEOUT: Duration = Duration::from_secs(60);
/// Number of tokens after which the engine pauses until the test releases it.
const HOLD_AFTER_TOKENS: u64 = 5;

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
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gradedyke"))
            .args(args)
            .env("GRADEDYKE_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines }
    }

    /// Reads lines until one has `key`; returns its value.
    fn read_value(&mut self, key: &str) -> String {
        let key = format!("{key}=");
        loop {
            let line = self
                .lines
                .next()
                .expect("the process ended before it printed the key")
                .unwrap();
            let pairs = line.split(' ');
            if let Some(value) = pairs.filter_map(|w| w.strip_prefix(&key)).next() {
                return value.to_owned();
            }
        }
    }

    fn start_stand_in(kind: &str) -> (Self, SocketAddr) {
        let mut process = Self::start(&["standin", kind, "--listen", "127.0.0.1:0"]);
        let address = process.read_value("listening").parse().unwrap();
        (process, address)
    }
}

struct Instance {
    process: Process,
    caller: SocketAddr,
    admin: SocketAddr,
}

fn start_instance(number: usize, platform: SocketAddr, folder: &Path) -> Instance {
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
        "operator_hash": hash_key(OPERATOR_KEY),
    });
    let file = folder.join(format!("{number}.jsonc"));
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut process = Process::start(&["run", "--settings", file.to_str().unwrap()]);
    let line = process.lines.next().unwrap().unwrap();
    let address = |key: &str| {
        let mut values = line.split(' ').filter_map(|w| w.strip_prefix(key));
        values.next().unwrap().parse().unwrap()
    };
    Instance {
        caller: address("caller="),
        admin: address("admin="),
        process,
    }
}

fn settings_tree(engine: SocketAddr, orders: SocketAddr) -> Value {
    let account =
        |key: &str, agents: Value| json!({ "keys": [{ "hash": hash_key(key) }], "agents": agents });
    json!({
        "accounts": {
            "kestrel": account(KESTREL_KEY, json!({ "minutes": { "models": [MODEL_NAME] } })),
            "jordan": account(JORDAN_KEY, json!({ "valuation": { "services": ["orders"] } })),
        },
        "backends": {
            "engine": {
                "kind": "engine", "address": engine, "data_centre": "dc-1", "models": [MODEL_NAME],
            },
            "orders": {
                "kind": "service", "address": orders, "data_centre": "dc-1",
                "service": "orders", "outcome_path": "/outcomes/{key}",
            },
        },
    })
}

async fn request_json<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: Option<Value>,
) -> T {
    let client = Client::new(&client::Config::default());
    let method = if body.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let response = client.send_json(method, address, path, body.as_ref(), TIMEOUT);
    response.await.unwrap()
}

#[derive(serde::Deserialize)]
struct Records {
    runs: Vec<engine::Record>,
}

/// Evacuates a data centre and withdraws that, each twice.
fn evacuate_and_withdraw(admin: &str) {
    let evacuate = |data_centre, extra_args: &[&str]| {
        let args = [
            "evacuate",
            data_centre,
            "--admin",
            admin,
            "--key",
            OPERATOR_KEY,
        ];
        gradedyke(&[&args, extra_args].concat())
    };
    let (code, _, error) = evacuate("nowhere", &[]);
    assert_eq!(code, 1);
    assert!(error.contains("no backend server stands in"), "{error}");
    for (extra_args, revision) in [
        (&[][..], 2),
        (&[], 2),
        (&["--withdraw"], 3),
        (&["--withdraw"], 3),
    ] {
        let (code, stdout, error) = evacuate("dc-1", extra_args);
        assert_eq!((code, error.as_str()), (0, ""));
        assert_eq!(stdout, format!("revision={revision}\n"));
    }
}

#[test]
fn programs_survive_a_killed_and_a_drained_process() {
    let folder = tempfile::tempdir().unwrap();
    let (_platform, platform) = Process::start_stand_in("platform");
    let (_engine, engine) = Process::start_stand_in("engine");
    let (_orders, orders) = Process::start_stand_in("service");
    let mut instances: Vec<_> = (1..=3)
        .map(|n| start_instance(n, platform, folder.path()))
        .collect();

    let file = folder.path().join("tree.jsonc");
    std::fs::write(&file, settings_tree(engine, orders).to_string()).unwrap();
    let admin = instances[0].admin.to_string();
    let args = [
        "settings",
        "apply",
        file.to_str().unwrap(),
        "--admin",
        &admin,
        "--key",
        OPERATOR_KEY,
    ];
    assert_eq!(
        gradedyke(&args),
        (0, "revision=1\n".to_owned(), String::new())
    );
    for instance in &mut instances {
        assert_eq!(instance.process.read_value("ready"), "true");
    }
    let args = ["status", "--admin", &admin, "--key", OPERATOR_KEY];
    let (code, status, _) = gradedyke(&args);
    assert_eq!(code, 0);
    assert_eq!(
        status.matches("draining=false revision=1").count(),
        3,
        "{status}"
    );

    evacuate_and_withdraw(&admin);

    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let jordan = Caller::new(JORDAN_KEY, TIMEOUT);
        let opening = jordan.open_program(instances[0].caller, "valuation", None, None, "open");
        let program = opening.await.unwrap();
        for turn in 0..6 {
            // Sends each order twice, through different entries.
            for repetition in 0..2 {
                let entry = instances[(turn + repetition) % 3].caller;
                let options = Options::request(format!("order-{turn}"));
                let call = jordan.call_service(entry, &program, "orders/place", "{}", options);
                call.await.unwrap();
            }
        }
        let runs: Vec<service::Record> = request_json(orders, "/records", None).await;
        assert_eq!(runs.len(), 6, "{runs:?}");

        let kestrel = Caller::new(KESTREL_KEY, TIMEOUT);
        let mut streams = Vec::new();
        let _: Value = request_json(engine, "/hold", Some(json!(HOLD_AFTER_TOKENS))).await;
        for number in 0..6 {
            let entry = instances[number % 3].caller;
            let request = format!("open-{number}");
            let opening = kestrel.open_program(entry, "minutes", None, None, &request);
            let program = opening.await.unwrap();
            let body = chat_body(&[user_message(&format!("Draft number {number}."))]);
            let stream = kestrel.stream(entry, &program, &body, Options::request("draft"));
            let mut stream = stream.await.unwrap();
            let first = stream.next().await.unwrap().unwrap();
            streams.push((program, stream, first));
        }
        // Kills one of three instances, and with it a third of the streams and programs.
        instances[2].process.child.kill().unwrap();
        let _: Value = request_json(engine, "/hold", Some(json!(null))).await;
        for (number, (program, stream, first)) in streams.into_iter().enumerate() {
            let offset = stream.offset;
            let streamed = stream.read_to_end().await;
            let entry = instances[number % 2].caller;
            let completed = kestrel
                .fetch_response(entry, &program, "draft")
                .await
                .unwrap();
            let text = response_text(&completed);
            if number % 3 == 2 {
                assert!(streamed.is_err(), "the entry of this stream was killed");
                let resumed = kestrel
                    .resume(entry, &program, "draft", offset)
                    .await
                    .unwrap();
                let resumed = resumed.read_to_end().await.unwrap();
                assert_eq!(format!("{first}{resumed}"), text);
            } else {
                assert_eq!(
                    streamed.unwrap(),
                    text,
                    "a stream through a running entry was interrupted"
                );
            }
            let records: Records = request_json(engine, "/records", None).await;
            let attempt_prefix = format!("{program}:draft:");
            let runs = records
                .runs
                .iter()
                .filter(|r| r.attempt.starts_with(&attempt_prefix));
            let runs: Vec<_> = runs.filter(|r| r.is_complete).collect();
            assert!(runs.iter().all(|r| r.text == text), "{runs:?}");
        }

        // After a graceful shutdown that interrupts no stream, the exit code is 0.
        let pid = instances[1].process.child.id().to_string();
        Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        let status = instances[1].process.child.wait().unwrap();
        assert_eq!(status.code(), Some(0));
        let entry = instances[0].caller;
        let history = jordan.program_action(entry, &program, "").await.unwrap();
        assert_eq!(history["calls"], 6);
    });
}
