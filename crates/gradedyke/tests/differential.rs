//! Runs the same generated programs through the system and through a reference
//! implementation: answers, history and token usage must be equal.
//!
//! The reference implementation is a single task that keeps everything in memory
//! and calls one engine and one service directly.

mod support;

use gradedyke_backend::chat::Message;
use gradedyke_backend::engine::{Call, ChunkStream};
use gradedyke_backend::prefix::Chain;
use gradedyke_backend::{Engine, Service, engine_http, service};
use gradedyke_base::id;
use gradedyke_client::{Caller, Options};
use gradedyke_http::{Client, client};
use gradedyke_world::{Config, Deployment, MODEL_NAME, chat_body, response_text, user_message};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use support::run_test;

use std::net::SocketAddr;
use std::time::Duration;

const SEED_COUNT: u64 = 6;
const PROGRAMS_PER_SEED: usize = 4;
const STEPS_PER_PROGRAM: usize = 6;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// One step of a program.
#[derive(Clone, Debug)]
enum Step {
    /// A model call that sends only new messages: the text and the maximum
    /// number of tokens.
    Append(String, u64),
    /// A model call that sends the whole conversation, with the same fields.
    Whole(String, u64),
    /// A streamed model call that sends only new messages, with the same fields.
    Stream(String, u64),
    /// A call to a plain service: the body, and whether the call may be repeated.
    Service(String, bool),
    /// The previous request again.
    Repeat,
}

fn random_step(random: &mut StdRng) -> Step {
    let length = random.random_range(1..30);
    let text = format!("{} {}", random.random::<u32>(), "word ".repeat(length));
    let tokens = random.random_range(1..20);
    match random.random_range(0..6) {
        0 | 1 => Step::Append(text, tokens),
        2 => Step::Whole(text, tokens),
        3 => Step::Stream(text, tokens),
        4 => Step::Service(text, random.random()),
        _ => Step::Repeat,
    }
}

/// The results of a program.
#[derive(Clone, Debug, Default, PartialEq)]
struct ProgramResult {
    answers: Vec<String>,
    history: Vec<Value>,
    spent_tokens: u64,
}

/// The reference implementation.
struct Reference {
    engine: engine_http::Http,
    service: service::Http,
}

impl Reference {
    async fn run(&self, name: &str, steps: &[Step]) -> ProgramResult {
        let mut result = ProgramResult::default();
        for (number, step) in steps.iter().enumerate() {
            let answer = match step {
                Step::Append(text, tokens)
                | Step::Whole(text, tokens)
                | Step::Stream(text, tokens) => {
                    let attempt = format!("naive-{name}-{number}");
                    result.history.push(user_message(text));
                    let (text, spent) = self.chat(&attempt, &result.history, *tokens).await;
                    let message = json!({ "role": "assistant", "content": text });
                    result.history.push(message);
                    result.spent_tokens += spent;
                    text
                }
                Step::Service(text, _) => self.call(text).await,
                Step::Repeat => result.answers.last().cloned().unwrap_or_default(),
            };
            result.answers.push(answer);
        }
        result
    }

    async fn chat(&self, attempt: &str, history: &[Value], tokens: u64) -> (String, u64) {
        let messages: Vec<Message> = serde_json::from_value(json!(history)).unwrap();
        let account = id::Account::parse("naive").unwrap();
        let call = Call {
            attempt_id: attempt.to_owned(),
            chain: Chain::from_messages(&account, MODEL_NAME, &messages),
            request: serde_json::from_value(json!({
                "model": MODEL_NAME, "messages": messages, "stream": true, "max_tokens": tokens,
            }))
            .unwrap(),
            priority: 0,
        };
        let mut chunks: Box<dyn ChunkStream> = self.engine.chat(&call).await.unwrap();
        let (mut text, mut spent) = (String::new(), 0);
        while let Some(chunk) = chunks.next().await.unwrap() {
            for choice in chunk.choices {
                text.push_str(&choice.delta.content.unwrap_or_default());
            }
            spent = chunk.usage.map_or(spent, |u| u.total_tokens);
        }
        (text, spent)
    }

    async fn call(&self, text: &str) -> String {
        let call = service::Call {
            method: "POST".to_owned(),
            path: "/export".to_owned(),
            content_type: None,
            body: text.to_owned(),
        };
        let reply = self.service.call("naive", &call, REQUEST_TIMEOUT).await;
        reply.unwrap().body
    }
}

/// Runs a program through the system, each step through another entry.
async fn run_program(
    caller: Caller,
    entries: Vec<SocketAddr>,
    name: String,
    steps: Vec<Step>,
) -> ProgramResult {
    let mut entry = entries.iter().cycle();
    let mut next_address = || *entry.next().unwrap();
    let opening = caller.open_program(next_address(), "minutes", Some(100_000), None, &name);
    let program = opening.await.unwrap();
    let mut answers: Vec<String> = Vec::new();
    let mut previous: Option<(usize, Step)> = None;
    for (number, step) in steps.into_iter().enumerate() {
        let (number, step) = match (step, previous.take()) {
            (Step::Repeat, Some(repeated)) => repeated,
            (Step::Repeat, None) => {
                answers.push(String::new());
                continue;
            }
            (step, _) => (number, step),
        };
        previous = Some((number, step.clone()));
        answers.push(run_step(&caller, next_address(), &program, number, &step).await);
    }
    let history = caller
        .program_action(next_address(), &program, "history")
        .await
        .unwrap();
    let info = caller
        .program_action(next_address(), &program, "")
        .await
        .unwrap();
    ProgramResult {
        answers,
        history: history["messages"].as_array().unwrap().clone(),
        spent_tokens: info["spent_tokens"].as_u64().unwrap(),
    }
}

/// Runs one step through the system and returns the answer.
async fn run_step(
    caller: &Caller,
    address: SocketAddr,
    program: &str,
    number: usize,
    step: &Step,
) -> String {
    let mut options = Options::request(format!("r{number}"));
    match step {
        Step::Append(text, tokens) => {
            options.append = true;
            let mut body = chat_body(&[user_message(text)]);
            body["max_tokens"] = json!(tokens);
            let call = caller.chat(address, program, &body, options);
            response_text(&call.await.unwrap())
        }
        Step::Stream(text, tokens) => {
            options.append = true;
            let mut body = chat_body(&[user_message(text)]);
            body["max_tokens"] = json!(tokens);
            let stream = caller.stream(address, program, &body, options);
            stream.await.unwrap().read_to_end().await.unwrap()
        }
        Step::Whole(text, tokens) => {
            let current = caller
                .program_action(address, program, "history")
                .await
                .unwrap();
            let mut messages = current["messages"].as_array().unwrap().clone();
            // A repeated request must send the same messages as the first time.
            let position = messages.iter().position(|m| *m == user_message(text));
            messages.truncate(position.unwrap_or(messages.len()));
            messages.push(user_message(text));
            let mut body = chat_body(&messages);
            body["max_tokens"] = json!(tokens);
            let call = caller.chat(address, program, &body, options);
            response_text(&call.await.unwrap())
        }
        Step::Service(text, repeatable) => {
            options.repeatable = Some(*repeatable);
            let call = caller.call_service(address, program, "records/export", text, options);
            call.await.unwrap()
        }
        Step::Repeat => unreachable!("repeats are replaced by the repeated step"),
    }
}

#[test]
fn the_system_matches_the_reference_implementation() {
    run_test(async {
        let config = Config {
            defaults: json!({ "budget_tokens": 100_000 }),
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        // The reference implementation has backend servers of its own.
        let reference_deployment = Deployment::start_stand_ins(Config::default())
            .await
            .unwrap();
        let address = |name: &str| {
            let address = reference_deployment.tree["backends"][name]["address"].as_str();
            address.unwrap().parse::<SocketAddr>().unwrap()
        };
        let client = Client::new(&client::Config::default());
        let reference = Reference {
            engine: engine_http::Http::new(address("engine-1"), client, REQUEST_TIMEOUT),
            service: service::Http::new(address("records"), None, REQUEST_TIMEOUT),
        };
        for seed in 0..SEED_COUNT {
            let mut random = StdRng::seed_from_u64(seed);
            let mut programs = Vec::new();
            for number in 0..PROGRAMS_PER_SEED {
                let steps: Vec<_> = (0..STEPS_PER_PROGRAM)
                    .map(|_| random_step(&mut random))
                    .collect();
                programs.push((format!("{seed}-{number}"), steps));
            }
            // The system runs the programs concurrently.
            let running = programs.iter().map(|(name, steps)| {
                let entries = (0..3).map(|n| deployment.entry_address(n)).collect();
                let (name, steps) = (name.clone(), steps.clone());
                tokio::spawn(run_program(
                    deployment.kestrel_caller(),
                    entries,
                    name,
                    steps,
                ))
            });
            let running: Vec<_> = running.collect();
            for (running, (name, steps)) in running.into_iter().zip(&programs) {
                let actual = running.await.unwrap();
                let expected = reference.run(name, steps).await;
                assert_eq!(actual, expected, "seed {seed}, program {name}: {steps:?}");
            }
        }
        deployment.stop().await;
    });
}
