//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, HOST, Turn};
use crate::engine::Engine;
use crate::record::Record;
use crate::store::Store;
use crate::system::{Shared, System, describe};

type Outcome = Result<bool, String>;

/// Time within which the processes have to be ready.
const START_LIMIT: Duration = Duration::from_secs(25);
/// Time within which a change of the manifest has to be in force everywhere (`config_ms`).
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Path of the turns.
const PATH: &str = "/minutes/draft";

/// Plays a case. Returns whether the rule held.
pub fn play(case: &str, work: &Path, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    match case {
        "outage" => outage(work, record, with_trouble),
        "slow-turn" => slow_turn(work, record, with_trouble),
        "retention" => retention(work, record, with_trouble),
        "sub-agents" => sub_agents(work, record, with_trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A manifest with one route that keeps turns.
fn manifest(version: u32, retention_s: u32, timeout_ms: u32) -> String {
    format!(
        r#"{{"version": {version}, "routes": [
            {{"name": "draft", "host": "{HOST}", "path_prefix": "/minutes/", "kind": "streaming",
              "timeout_ms": {timeout_ms}, "slo_ms": 200, "gap_aim_ms": 400, "priority": 1,
              "service": "scribe", "max_attempts": 2, "sticky": true, "retains": true,
              "retention_s": {retention_s}, "resumable": false}}],
          "services": [{{"name": "scribe", "health_path": "/health", "max_conns": 370,
              "engine": {{"slots": 64, "kv_capacity": 211374, "tokens_per_event": 3}}}}],
          "limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}}}"#
    )
}

/// What every case starts.
struct Stage {
    store: Arc<Store>,
    engines: Vec<Arc<Engine>>,
    system: System,
    client: Arc<Client>,
    record: Arc<Record>,
}

impl Stage {
    fn set(
        work: &Path,
        record: &Arc<Record>,
        manifest: &str,
        (keepers, engines): (usize, usize),
        step: Duration,
    ) -> Result<Self, String> {
        let to_text = |error: std::io::Error| error.to_string();
        let store = Store::start().map_err(to_text)?;
        store.put("op/config", manifest);
        let zones = ["north-a", "north-b", "north-c"];
        let engine = |n: usize| {
            Engine::start(
                &format!("i-{n:08x}"),
                "scribe",
                zones[n % 3],
                step,
                &store,
                record,
            )
        };
        let engines: std::io::Result<Vec<_>> = (0..engines).map(engine).collect();
        let engines = engines.map_err(to_text)?;
        let system = System::start(work, keepers, 2, &store, record).map_err(to_text)?;
        system.wait_until_ready(&store, START_LIMIT)?;
        let client = Client::new(&system.callers, record);
        Ok(Self {
            store,
            engines,
            system,
            client,
            record: record.clone(),
        })
    }

    /// Takes a turn that has to succeed for the case to go on.
    fn take(&self, what: &str, turn: &Turn) -> Result<Answer, String> {
        let last = self.client.take(turn).pop().unwrap_or_default();
        match last.is_success() {
            true => Ok(last),
            false => Err(format!("{what} was not answered: status {}", last.status)),
        }
    }

    /// Takes the turn that the rule is about: it names a turn that was answered whole less than
    /// its retention time ago. Returns whether it got no 404.
    fn check(&self, what: &str, turn: &Turn, kept: Duration, answered: Instant) -> bool {
        let answers = self.client.take(turn);
        let age = answered.elapsed();
        let lost = answers.iter().find(|a| a.status == 404 || a.status == 410);
        if let Some(lost) = lost {
            self.record.line(&format!(
                "BROKEN, LOST: {what} ({}) names the turn {}, which was answered whole {:.1} s ago and is kept for {} s; it got {}",
                lost.request,
                turn.previous.as_deref().unwrap_or("none"),
                age.as_secs_f64(),
                kept.as_secs(),
                lost.status,
            ));
        }
        lost.is_none() || age >= kept
    }

    /// Notes whether the server of the last run got the conversation as the rules say.
    fn note_body(&self, expected: &str) {
        let runs = self.engines.iter().flat_map(|engine| engine.runs());
        if let Some(run) = runs.filter(|run| run.previous.is_some()).last() {
            let matches = if run.body == expected { "is" } else { "is NOT" };
            self.record.line(&format!(
                "the body of {} {matches} the conversation",
                run.request
            ));
        }
    }
}

fn turn(
    program: &str,
    previous: Option<&Answer>,
    input: &str,
    events: u32,
    deadline: Duration,
) -> Turn {
    Turn {
        path: PATH.to_owned(),
        program: program.to_owned(),
        previous: previous.map(|answer| answer.request.clone()),
        input: input.to_owned(),
        events,
        budget: 3_000,
        deadline,
    }
}

/// A store machine is restarted as planned, and the two others lose power meanwhile, for
/// some seconds. No disk is lost.
fn outage(work: &Path, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    const KEPT: Duration = Duration::from_secs(60);
    const DEADLINE: Duration = Duration::from_secs(5);
    /// How long the two machines are without power.
    const DARK: Duration = Duration::from_secs(25);
    /// How long after the loss the client goes on with its program.
    const PAUSE: Duration = Duration::from_secs(23);
    let step = Duration::from_millis(30);
    let stage = Stage::set(work, record, &manifest(1, 60, 5_000), (4, 3), step)?;
    std::thread::sleep(Duration::from_secs(4));
    let (members, spares) = stage.system.split_by_membership(&stage.store);
    let [first, second, third] = members[..] else {
        return Err("there are not three members".to_owned());
    };
    let keeper = |number: usize| stage.system.keepers[number].clone();
    let names: Vec<String> = spares.iter().map(|number| keeper(*number).name()).collect();
    record.line(&format!("spare: {}", names.join(", ")));
    let one = stage.take("the first turn", &turn("3fa81c", None, "one.", 5, DEADLINE))?;
    if with_trouble {
        keeper(third).lock().terminate();
        record.line(&format!(
            "SIGTERM for {}, which has ended",
            keeper(third).name()
        ));
    }
    let two = stage.take(
        "the second turn",
        &turn("3fa81c", Some(&one), "two.", 5, DEADLINE),
    )?;
    let answered = Instant::now();
    if with_trouble {
        for number in [first, second] {
            keeper(number).lock().kill();
        }
        keeper(third)
            .lock()
            .start()
            .map_err(|error| error.to_string())?;
        record.line(&format!(
            "{} and {} have lost power, {} is started again",
            keeper(first).name(),
            keeper(second).name(),
            keeper(third).name(),
        ));
    }
    std::thread::sleep(PAUSE);
    record.line(&format!(
        "view {}",
        describe(&stage.store.get("gradedyke/view"))
    ));
    let three = turn("3fa81c", Some(&two), "three.", 5, DEADLINE);
    let mut held = stage.check("the third turn", &three, KEPT, answered);
    std::thread::sleep(DARK.saturating_sub(answered.elapsed()));
    if with_trouble {
        for number in [first, second] {
            keeper(number)
                .lock()
                .start()
                .map_err(|error| error.to_string())?;
        }
        record.line("both machines are back, with their disks");
    }
    // `recovery_s`.
    std::thread::sleep(Duration::from_secs(12));
    record.line(&format!(
        "view {}",
        describe(&stage.store.get("gradedyke/view"))
    ));
    held &= stage.check("the third turn, after the recovery", &three, KEPT, answered);
    if held {
        stage.note_body(&format!("one.{}two.{}three.", one.output, two.output));
    }
    Ok(held)
}

/// A server is slow while it runs a turn that continues one which is about to be forgotten.
fn slow_turn(work: &Path, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    const KEPT: Duration = Duration::from_secs(60);
    const DEADLINE: Duration = Duration::from_secs(12);
    const SLOW: Duration = Duration::from_millis(7_700);
    const SLOW_FACTOR: f64 = 4.7;
    let step = Duration::from_millis(100);
    let stage = Stage::set(work, record, &manifest(1, 60, 12_000), (3, 8), step)?;
    let one = stage.take("the first turn", &turn("3fa81c", None, "one.", 5, DEADLINE))?;
    let answered = Instant::now();
    std::thread::sleep(KEPT.saturating_sub(Duration::from_millis(500) + answered.elapsed()));
    if with_trouble {
        let (engines, record) = (stage.engines.clone(), record.clone());
        std::thread::spawn(move || {
            let runs_second = |e: &&Arc<Engine>| e.runs().iter().any(|run| run.previous.is_some());
            let slow = loop {
                if let Some(engine) = engines.iter().find(runs_second) {
                    break engine;
                }
                std::thread::sleep(Duration::from_millis(2));
            };
            slow.slow_down(SLOW, SLOW_FACTOR);
            record.line(&format!(
                "server {} is {SLOW_FACTOR} times slower for {SLOW:?}",
                slow.id
            ));
        });
    }
    let two = stage.take(
        "the second turn",
        &turn("3fa81c", Some(&one), "two.", 50, DEADLINE),
    )?;
    let answered = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    let three = turn("3fa81c", Some(&two), "three.", 5, DEADLINE);
    let held = stage.check("the third turn", &three, KEPT, answered);
    if held {
        stage.note_body(&format!("one.{}two.{}three.", one.output, two.output));
    }
    Ok(held)
}

/// The operator has turns kept for longer while a conversation is under way.
fn retention(work: &Path, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    const KEPT: Duration = Duration::from_secs(60);
    const DEADLINE: Duration = Duration::from_secs(5);
    /// How long the client pauses after the second turn.
    const PAUSE: Duration = Duration::from_secs(27);
    let step = Duration::from_millis(30);
    let first = if with_trouble {
        manifest(1, 15, 5_000)
    } else {
        manifest(1, 60, 5_000)
    };
    let stage = Stage::set(work, record, &first, (3, 3), step)?;
    let one = stage.take("the first turn", &turn("3fa81c", None, "one.", 5, DEADLINE))?;
    if with_trouble {
        stage.store.put("op/config", &manifest(4, 60, 5_000));
        record.line("manifest 4 is acknowledged: turns are kept for 60 s instead of 15 s");
    }
    std::thread::sleep(CONFIG_TIME + Duration::from_millis(500));
    let two = stage.take(
        "the second turn",
        &turn("3fa81c", Some(&one), "two.", 5, DEADLINE),
    )?;
    let answered = Instant::now();
    std::thread::sleep(PAUSE);
    let three = turn("3fa81c", Some(&two), "three.", 5, DEADLINE);
    let held = stage.check("the third turn", &three, KEPT, answered);
    if held {
        stage.note_body(&format!("one.{}two.{}three.", one.output, two.output));
    }
    Ok(held)
}

/// A program with a long conversation starts its sub-agents, which take their first turns at once.
fn sub_agents(work: &Path, record: &Arc<Record>, with_trouble: bool) -> Outcome {
    const DEADLINE: Duration = Duration::from_secs(5);
    /// Turns of the conversation before that, and the input of each, which is less than
    /// `max_body_bytes`.
    const TURNS: usize = 5;
    const INPUT_BYTES: usize = 4_000_000;
    /// How many sub-agents a program has at most.
    const SUB_AGENTS: usize = 6;
    /// How often the program's user lets it try.
    const ROUNDS: usize = 5;
    /// How often processes may end on the machines before the rule is broken, and on how many.
    const ENDS: u32 = 3;
    const MACHINES: usize = 2;
    let step = Duration::from_millis(30);
    let stage = Stage::set(work, record, &manifest(1, 60, 5_000), (3, 3), step)?;
    let processes: Vec<Shared> = stage
        .system
        .keepers
        .iter()
        .chain(&stage.system.entries)
        .cloned()
        .collect();
    processes
        .iter()
        .for_each(|process| process.watch_memory(record));
    let input = "x".repeat(INPUT_BYTES);
    let mut last: Option<Answer> = None;
    for number in 1..=TURNS {
        let next = turn("3fa81c", last.as_ref(), &input, 5, DEADLINE);
        last = Some(stage.take(&format!("turn {number}"), &next)?);
    }
    let counts = || -> Vec<(String, u32, u64)> {
        let process = |p: &Shared| {
            let locked = p.lock();
            (
                locked.name.clone(),
                locked.over_memory,
                locked.peak / 1_000_000,
            )
        };
        processes.iter().map(process).collect()
    };
    if counts().iter().any(|(_, ends, _)| *ends > 0) {
        return Err("a process was ended before the sub-agents started".to_owned());
    }
    let is_broken = || counts().iter().filter(|(_, ends, _)| *ends >= ENDS).count() >= MACHINES;
    for round in 0..ROUNDS {
        // Without the disruption, one sub-agent starts after the other.
        let client = stage.client.at(round % stage.system.entries.len());
        let mut tasks = Vec::new();
        for _ in 0..SUB_AGENTS {
            let (client, first) = (
                client.clone(),
                turn("3fa81c", last.as_ref(), "sub-agent.", 5, DEADLINE),
            );
            let task = std::thread::spawn(move || client.take(&first).pop().unwrap_or_default());
            if with_trouble {
                tasks.push(task);
            } else {
                let answer = task.join().map_err(|_| "a client failed")?;
                record.line(&format!(
                    "a sub-agent's first turn ended with {}",
                    answer.status
                ));
            }
        }
        for task in tasks {
            let answer = task.join().map_err(|_| "a client failed")?;
            record.line(&format!(
                "a sub-agent's first turn ended with {}",
                answer.status
            ));
        }
        record.line(&format!("after round {}: {:?}", round + 1, counts()));
        if is_broken() {
            record.line(&format!("BROKEN, Fault: on {MACHINES} machines or more, processes ended {ENDS} times because of their memory"));
            return Ok(false);
        }
        std::thread::sleep(Duration::from_secs(3));
    }
    Ok(true)
}
