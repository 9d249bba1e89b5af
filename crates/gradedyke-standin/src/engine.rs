//! A model engine: continuous batching, a bounded prefix cache, priorities, a
//! lagging load report, late and gapped cache events.
//!
//! The model: a step takes `step` and advances every running call; a call first
//! computes the part of its prompt that is not cached, then generates a token a
//! step. A token is a word. The text depends on the messages alone, so the same
//! conversation gets the same answer from every engine.

mod batch;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use batch::{Attempt, State};
use bytes::Bytes;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_http::{Body, Handler, body, reply};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How the engine is built and how it misreports.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Calls that generate at a time.
    pub batch: usize,
    /// Length of a step, in microseconds.
    pub step_us: u64,
    /// Prompt tokens that a call computes in a step.
    pub prefill_tokens: u64,
    /// Tokens that the cache holds.
    pub cache_tokens: u64,
    /// How old the load report and the cache events are, in milliseconds.
    pub lag_ms: u64,
    /// Every so manieth cache event is lost; 0 for none.
    pub lose_event: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Tokens in an answer, before `max_tokens` cuts it.
    pub answer_tokens: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            batch: 32,
            step_us: 1_000,
            prefill_tokens: 512,
            cache_tokens: 200_000,
            lag_ms: 100,
            lose_event: 0,
            checks_fencing: true,
            answer_tokens: 24,
        }
    }
}

/// One call that ran, as the engine saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The attempt's name.
    pub attempt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Those found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// The text.
    pub text: String,
    /// Whether it came to its end.
    pub whole: bool,
}

/// The stand-in.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    state: Mutex<State>,
    work: Notify,
    changed: watch::Sender<()>,
}

const WORDS: [&str; 16] = [
    "the", "council", "notes", "item", "approved", "copy", "shelf", "price", "motion", "carried",
    "chair", "stock", "minutes", "lot", "edition", "record",
];

fn words_of(message: &Value) -> u64 {
    let content = message["content"].as_str().unwrap_or_default();
    content.split_whitespace().count() as u64 + 1
}

/// The answer to `messages`: a function of what they say.
fn answer(messages: &[Value], tokens: u64) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for message in messages {
        hasher.update(message["role"].to_string().as_bytes());
        hasher.update(message["content"].to_string().as_bytes());
    }
    let mut reader = hasher.finalize_xof();
    let mut bytes = vec![0; usize::try_from(tokens).unwrap_or(0)];
    reader.fill(&mut bytes);
    let word = |byte: u8| format!("{} ", WORDS[usize::from(byte) % WORDS.len()]);
    bytes.into_iter().map(word).collect()
}

impl Engine {
    /// An idle engine. It needs a tokio runtime for its steps.
    pub fn start(config: Config) -> Arc<Self> {
        let engine = Arc::new(Self {
            config,
            state: Mutex::default(),
            work: Notify::new(),
            changed: watch::Sender::new(()),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                engine.turn().await;
            }
        });
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All calls that were started.
    pub fn runs(&self) -> Vec<Run> {
        self.lock()
            .attempts
            .values()
            .map(|a| a.run.clone())
            .collect()
    }

    /// Programs for which memory is held, with the prefixes.
    pub fn pins(&self) -> Vec<(String, String)> {
        self.lock().pins.iter().cloned().collect()
    }

    /// Orders carried out so far.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Number of load reports given so far.
    pub fn reports(&self) -> u64 {
        self.lock().reports
    }

    /// Waits until `wanted` holds for the engine.
    pub async fn until(&self, wanted: impl Fn(&Self) -> bool) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if wanted(self) {
                return;
            }
            // The sender lives as long as the engine.
            let _ = changed.changed().await;
        }
    }

    /// Has calls stand still when they have generated so many tokens, or lets
    /// them go on.
    pub fn hold_at(&self, tokens: Option<u64>) {
        self.lock().hold_at = tokens;
        self.work.notify_one();
    }

    /// Says from now on that the engine is leaving, or no longer.
    pub fn leave(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// One step, or a wait for work.
    async fn turn(&self) {
        let idle = {
            let mut state = self.lock();
            state.admit(self.config.batch);
            state.held()
        };
        if idle {
            // The wait is bounded so that the task sees when the engine is dropped.
            let wait = Duration::from_millis(100);
            let _ = tokio::time::timeout(wait, self.work.notified()).await;
            return;
        }
        tokio::time::sleep(Duration::from_micros(self.config.step_us)).await;
        self.lock().step(&self.config);
        self.changed.send_replace(());
    }

    fn submit(&self, attempt: &str, request: &Value) {
        let empty = Vec::new();
        let messages = request["messages"].as_array().unwrap_or(&empty);
        let counts: Vec<u64> = messages.iter().map(words_of).collect();
        let keys = request["cache_keys"].as_array().unwrap_or(&empty).iter();
        let keys = keys.filter_map(|k| k.as_str().map(str::to_owned));
        let limit = request["max_tokens"].as_u64();
        let limit = request["max_completion_tokens"].as_u64().or(limit);
        let tokens = limit.unwrap_or(u64::MAX).min(self.config.answer_tokens);
        let mut state = self.lock();
        if state.attempts.contains_key(attempt) {
            return;
        }
        state.clock += 1;
        let entry = Attempt {
            run: Run {
                attempt: attempt.to_owned(),
                prompt_tokens: counts.iter().sum(),
                cached_tokens: 0,
                completion_tokens: 0,
                text: String::new(),
                whole: false,
            },
            model: request["model"].as_str().unwrap_or_default().to_owned(),
            priority: request["priority"].as_i64().unwrap_or(0),
            order: state.clock,
            prefill_left: 0,
            words: answer(messages, tokens),
            keys: keys.zip(counts).collect(),
            progress: watch::Sender::new(0),
            ended: false,
        };
        state.attempts.insert(attempt.to_owned(), entry);
        state.waiting.push(attempt.to_owned());
        drop(state);
        self.work.notify_one();
    }

    /// Streams an attempt's text from a byte offset on.
    fn stream(self: &Arc<Self>, attempt: &str, offset: usize) -> Response<Body> {
        let progress = self
            .lock()
            .attempts
            .get(attempt)
            .map(|a| a.progress.subscribe());
        let Some(mut progress) = progress else {
            let message = "no such attempt here; start the call again";
            return reply::problem(&Problem::new(Kind::NotFound, message));
        };
        let (sender, body) = body::channel(16);
        let engine = self.clone();
        let attempt = attempt.to_owned();
        tokio::spawn(async move {
            let mut offset = offset;
            loop {
                progress.borrow_and_update();
                let (chunks, ended) = engine.news(&attempt, &mut offset);
                if !chunks.is_empty() && sender.send(Ok(Bytes::from(chunks))).await.is_err() {
                    return;
                }
                if ended || progress.changed().await.is_err() {
                    return;
                }
            }
        });
        let mut reply = Response::new(body);
        let kind = http::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        reply
    }

    /// What has come since `offset`, as server-sent events.
    fn news(&self, attempt: &str, offset: &mut usize) -> (String, bool) {
        let state = self.lock();
        let Some(entry) = state.attempts.get(attempt) else {
            return (String::new(), true);
        };
        let chunk = |choices: Value, usage: Value| {
            let chunk = json!({
                "id": attempt, "object": "chat.completion.chunk", "model": entry.model,
                "choices": choices, "usage": usage,
            });
            format!("data: {chunk}\n\n")
        };
        let text = entry.run.text.get(*offset..).unwrap_or_default();
        *offset += text.len();
        let mut chunks = String::new();
        if !text.is_empty() {
            let choice = json!([{ "index": 0, "delta": { "content": text } }]);
            chunks.push_str(&chunk(choice, Value::Null));
        }
        if entry.run.whole {
            let choice = json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
            chunks.push_str(&chunk(choice, Value::Null));
            let run = &entry.run;
            let usage = json!({
                "prompt_tokens": run.prompt_tokens,
                "completion_tokens": run.completion_tokens,
                "total_tokens": run.prompt_tokens + run.completion_tokens,
                "prompt_tokens_details": { "cached_tokens": run.cached_tokens },
            });
            chunks.push_str(&chunk(json!([]), usage));
            chunks.push_str("data: [DONE]\n\n");
        }
        (chunks, entry.ended)
    }

    fn pin(&self, pin: &Value) -> Response<Body> {
        let holder = pin["holder"].as_str().unwrap_or_default();
        let empty = Vec::new();
        let keys = pin["keys"].as_array().unwrap_or(&empty).iter();
        let mut state = self.lock();
        for key in keys.filter_map(Value::as_str) {
            if state.cache.contains_key(key) {
                state.pins.insert((holder.to_owned(), key.to_owned()));
            }
        }
        drop(state);
        self.changed.send_replace(());
        reply::json(StatusCode::OK, &json!({}))
    }

    fn order(&self, order: &Value) -> Response<Body> {
        let mut state = self.lock();
        let fencing = order["fencing"].as_u64().unwrap_or(0);
        if self.config.checks_fencing && fencing < state.fencing {
            let newest = state.fencing.to_string();
            return reply::problem(&Problem::new(Kind::Conflict, newest));
        }
        state.fencing = state.fencing.max(fencing);
        state.orders.push(order.clone());
        reply::json(StatusCode::OK, &json!({}))
    }

    fn get(self: &Arc<Self>, path: &str, query: u64) -> Response<Body> {
        let aged = Instant::now() - Duration::from_millis(self.config.lag_ms);
        let mut state = self.lock();
        match path {
            "/control/load" => {
                state.reports += 1;
                self.changed.send_replace(());
                let old = state.loads.iter().rev().find(|(at, _)| *at <= aged);
                let load = old.map_or_else(|| json!({}), |(_, load)| load.clone());
                let mut load = load;
                load["leaving"] = state.leaving.into();
                reply::json(StatusCode::OK, &load)
            }
            "/control/cache/events" => {
                let lost = |number: u64| {
                    self.config.lose_event > 0 && number.is_multiple_of(self.config.lose_event)
                };
                let news = state.events.iter().filter(|(at, event)| {
                    let number = event["number"].as_u64().unwrap_or(0);
                    *at <= aged && number > query && !lost(number)
                });
                let news: Vec<_> = news.map(|(_, event)| event).collect();
                reply::json(StatusCode::OK, &news)
            }
            "/control/pins" => {
                let pin =
                    |(holder, key): &(String, String)| json!({ "holder": holder, "keys": [key] });
                let pins: Vec<_> = state.pins.iter().map(pin).collect();
                reply::json(StatusCode::OK, &pins)
            }
            "/records" => {
                let runs: Vec<_> = state.attempts.values().map(|a| &a.run).collect();
                reply::json(StatusCode::OK, &json!({ "runs": runs, "pins": state.pins }))
            }
            _ => reply::no_route(path),
        }
    }

    fn delete(&self, path: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(attempt) = path.strip_prefix("/control/requests/") {
            state.end(attempt);
        } else if let Some(holder) = path.strip_prefix("/control/pins/") {
            state.pins.retain(|(h, _)| h != holder);
        }
        drop(state);
        self.changed.send_replace(());
        reply::json(StatusCode::OK, &json!({}))
    }

    async fn post(self: &Arc<Self>, path: &str, attempt: &str, bytes: &[u8]) -> Response<Body> {
        let json: Value = match reply::parse(bytes) {
            Ok(json) => json,
            Err(problem) => return reply::problem(&problem),
        };
        match path {
            "/v1/chat/completions" => {
                self.submit(attempt, &json);
                self.stream(attempt, 0)
            }
            "/control/pins" => self.pin(&json),
            "/hold" => {
                self.hold_at(json.as_u64());
                reply::json(StatusCode::OK, &json)
            }
            "/control/orders" => self.order(&json),
            "/control/cache/export" => {
                reply::json(StatusCode::OK, &json!({ "handle": json["key"] }))
            }
            "/control/cache/import" => {
                let key = json["key"].as_str().unwrap_or_default().to_owned();
                let mut state = self.lock();
                state.store(&key, 1);
                reply::json(StatusCode::OK, &json!({}))
            }
            _ => reply::no_route(path),
        }
    }
}

/// The engine as a listener.
#[derive(Debug)]
pub struct Listener(pub Arc<Engine>);

#[async_trait]
impl Handler for Listener {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().and_then(|q| q.split_once('='));
        let query = query.and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        match *request.method() {
            Method::DELETE => return self.0.delete(&path),
            Method::GET => {
                return match path.strip_prefix("/control/requests/") {
                    Some(attempt) => {
                        let offset = usize::try_from(query).unwrap_or(usize::MAX);
                        self.0.stream(attempt, offset)
                    }
                    None => self.0.get(&path, query),
                };
            }
            _ => {}
        }
        let attempt = request.headers().get("x-request-id");
        let attempt = attempt.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let attempt = attempt.to_owned();
        let time = Duration::from_secs(10);
        match body::collect(request.into_body(), 64 << 20, time).await {
            Ok(bytes) => self.0.post(&path, &attempt, &bytes).await,
            Err(problem) => reply::problem(&problem),
        }
    }
}
