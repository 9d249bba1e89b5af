//! The same generated programs through the real path and through a naive
//! version: answers, order, history and spending must be equal.
//!
//! The naive version is one task that keeps everything in memory, goes straight
//! to one engine and one service, and has no policy at all.

mod support;

use gradedyke_backend::chat::Message;
use gradedyke_backend::engine::{Call, Chunks};
use gradedyke_backend::prefix::Chain;
use gradedyke_backend::{Engine, Service, engine_http, service};
use gradedyke_base::id;
use gradedyke_client::{Caller, Options};
use gradedyke_http::{Client, client};
use gradedyke_world::{Config, MODEL, World, chat, text_of, user};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use support::run;

use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: u64 = 6;
const PROGRAMS: usize = 4;
const STEPS: usize = 6;
const TIME: Duration = Duration::from_secs(10);

/// One step of a program.
#[derive(Clone, Debug)]
enum Step {
    /// A model call that sends only what is new.
    Append(String, u64),
    /// A model call that sends the whole conversation.
    Whole(String, u64),
    /// A model call that is streamed.
    Stream(String, u64),
    /// A call to a plain service.
    Service(String, bool),
    /// The last request again.
    Repeat,
}

fn step(random: &mut StdRng) -> Step {
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

/// What came of a program.
#[derive(Clone, Debug, Default, PartialEq)]
struct Result {
    answers: Vec<String>,
    history: Vec<Value>,
    spent: u64,
}

/// The naive version.
struct Naive {
    engine: engine_http::Http,
    service: service::Http,
}

impl Naive {
    async fn run(&self, name: &str, steps: &[Step]) -> Result {
        let mut result = Result::default();
        for (number, step) in steps.iter().enumerate() {
            let answer = match step {
                Step::Append(text, tokens)
                | Step::Whole(text, tokens)
                | Step::Stream(text, tokens) => {
                    let attempt = format!("naive-{name}-{number}");
                    result.history.push(user(text));
                    let (text, spent) = self.chat(&attempt, &result.history, *tokens).await;
                    let message = json!({ "role": "assistant", "content": text });
                    result.history.push(message);
                    result.spent += spent;
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
            attempt: attempt.to_owned(),
            chain: Chain::over(&account, MODEL, &messages),
            request: serde_json::from_value(json!({
                "model": MODEL, "messages": messages, "stream": true, "max_tokens": tokens,
            }))
            .unwrap(),
            priority: 0,
        };
        let mut chunks: Box<dyn Chunks> = self.engine.chat(&call).await.unwrap();
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
        let reply = self.service.call("naive", &call, TIME).await;
        reply.unwrap().body
    }
}

/// A program through the real path, each step by another entry.
async fn real(caller: Caller, entries: Vec<SocketAddr>, name: String, steps: Vec<Step>) -> Result {
    let mut entry = entries.iter().cycle();
    let mut at = || *entry.next().unwrap();
    let opening = caller.open(at(), "minutes", Some(100_000), None, &name);
    let program = opening.await.unwrap();
    let mut answers: Vec<String> = Vec::new();
    let mut last: Option<(usize, Step)> = None;
    for (number, step) in steps.into_iter().enumerate() {
        let (number, step) = match (step, last.take()) {
            (Step::Repeat, Some(repeated)) => repeated,
            (Step::Repeat, None) => {
                answers.push(String::new());
                continue;
            }
            (step, _) => (number, step),
        };
        last = Some((number, step.clone()));
        answers.push(real_step(&caller, at(), &program, number, &step).await);
    }
    let history = caller.program(at(), &program, "history").await.unwrap();
    let info = caller.program(at(), &program, "").await.unwrap();
    Result {
        answers,
        history: history["messages"].as_array().unwrap().clone(),
        spent: info["spent_tokens"].as_u64().unwrap(),
    }
}

async fn real_step(
    caller: &Caller,
    at: SocketAddr,
    program: &str,
    number: usize,
    step: &Step,
) -> String {
    let mut options = Options::request(format!("r{number}"));
    match step {
        Step::Append(text, tokens) => {
            options.append = true;
            let mut body = chat(&[user(text)]);
            body["max_tokens"] = json!(tokens);
            let call = caller.chat(at, program, &body, options);
            text_of(&call.await.unwrap())
        }
        Step::Stream(text, tokens) => {
            options.append = true;
            let mut body = chat(&[user(text)]);
            body["max_tokens"] = json!(tokens);
            let stream = caller.stream(at, program, &body, options);
            stream.await.unwrap().rest().await.unwrap()
        }
        Step::Whole(text, tokens) => {
            let known = caller.program(at, program, "history").await.unwrap();
            let mut messages = known["messages"].as_array().unwrap().clone();
            // A repeat sends what it sent the first time.
            let asked = messages.iter().position(|m| *m == user(text));
            messages.truncate(asked.unwrap_or(messages.len()));
            messages.push(user(text));
            let mut body = chat(&messages);
            body["max_tokens"] = json!(tokens);
            let call = caller.chat(at, program, &body, options);
            text_of(&call.await.unwrap())
        }
        Step::Service(text, repeatable) => {
            options.repeatable = Some(*repeatable);
            let call = caller.service(at, program, "records/export", text, options);
            call.await.unwrap()
        }
        Step::Repeat => unreachable!("repeats were resolved"),
    }
}

#[test]
fn the_real_path_does_what_the_naive_one_does() {
    run(async {
        let config = Config {
            defaults: json!({ "budget_tokens": 100_000 }),
            ..Config::default()
        };
        let world = World::start(config).await.unwrap();
        // The naive version has stand-ins of its own.
        let apart = World::surroundings(Config::default()).await.unwrap();
        let address = |name: &str| {
            let address = apart.tree["backends"][name]["address"].as_str();
            address.unwrap().parse::<SocketAddr>().unwrap()
        };
        let client = Client::new(&client::Config::default());
        let naive = Naive {
            engine: engine_http::Http::new(address("engine-1"), client, TIME),
            service: service::Http::new(address("records"), None, TIME),
        };
        for seed in 0..SEEDS {
            let mut random = StdRng::seed_from_u64(seed);
            let mut programs = Vec::new();
            for number in 0..PROGRAMS {
                let steps: Vec<_> = (0..STEPS).map(|_| step(&mut random)).collect();
                programs.push((format!("{seed}-{number}"), steps));
            }
            // The real path runs them beside each other.
            let running = programs.iter().map(|(name, steps)| {
                let entries = (0..3).map(|n| world.entry(n)).collect();
                let (name, steps) = (name.clone(), steps.clone());
                tokio::spawn(real(world.kestrel(), entries, name, steps))
            });
            let running: Vec<_> = running.collect();
            for (real, (name, steps)) in running.into_iter().zip(&programs) {
                let real = real.await.unwrap();
                let expected = naive.run(name, steps).await;
                assert_eq!(real, expected, "seed {seed}, program {name}: {steps:?}");
            }
        }
        world.stop().await;
    });
}
