//! Stand-in for a model engine, with continuous batching, a bounded prefix cache,
//! priorities, delayed load reports, and cache events that are delayed or lost.
//!
//! Each step takes [`Config::step_us`] and advances every running call: a call first
//! computes the part of its prompt that is not cached, then generates one token per
//! step. A token is a word. The generated text depends only on the messages, so every
//! engine gives the same answer to the same conversation.

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

/// Size and speed of the engine, and faults in its reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Maximum number of calls that run at the same time.
    pub batch: usize,
    /// Duration of a step, in microseconds.
    pub step_us: u64,
    /// Prompt tokens that a call computes per step.
    pub prefill_tokens: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay of load reports and cache events, in milliseconds.
    pub lag_ms: u64,
    /// Every `lose_event`-th cache event is lost; 0 for none.
    pub lose_event: u64,
    /// Whether an order is refused if its fencing number is lower than an earlier one.
    pub checks_fencing: bool,
    /// Maximum number of tokens in an answer; `max_tokens` of a request can lower it.
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

/// A call and its progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// ID of the attempt, from the `x-request-id` header.
    pub attempt: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Number of tokens generated so far.
    pub completion_tokens: u64,
    /// Text generated so far.
    pub text: String,
    /// Whether the answer was generated completely.
    #[serde(rename = "whole")]
    pub is_complete: bool,
}

/// The engine stand-in.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    state: Mutex<State>,
    /// Notified when there may be work for the next step.
    work: Notify,
    changed: watch::Sender<()>,
}

const VOCABULARY: [&str; 16] = [
    "the", "council", "notes", "item", "approved", "copy", "shelf", "price", "motion", "carried",
    "chair", "stock", "minutes", "lot", "edition", "record",
];

/// Number of tokens in a message: its words and one for the role.
fn count_tokens(message: &Value) -> u64 {
    let content = message["content"].as_str().unwrap_or_default();
    content.split_whitespace().count() as u64 + 1
}

/// Generates an answer of `tokens` words, which depend only on the messages.
fn generate_answer(messages: &[Value], tokens: u64) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    for message in messages {
        hasher.update(message["role"].to_string().as_bytes());
        hasher.update(message["content"].to_string().as_bytes());
    }
    let mut reader = hasher.finalize_xof();
    let mut bytes = vec![0; usize::try_from(tokens).unwrap_or(0)];
    reader.fill(&mut bytes);
    let word = |byte: u8| format!("{} ", VOCABULARY[usize::from(byte) % VOCABULARY.len()]);
    bytes.into_iter().map(word).collect()
}

impl Engine {
    /// Starts an idle engine.
    ///
    /// # Panics
    ///
    /// If it is called outside a tokio runtime.
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
                engine.run_step().await;
            }
        });
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All calls received so far.
    pub fn runs(&self) -> Vec<Record> {
        self.lock()
            .attempts
            .values()
            .map(|a| a.run.clone())
            .collect()
    }

    /// Pinned prefixes, as (holder, prefix key) pairs. Pinned prefixes are not evicted.
    pub fn pins(&self) -> Vec<(String, String)> {
        self.lock().pins.iter().cloned().collect()
    }

    /// Orders accepted so far.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Number of load reports returned so far.
    pub fn load_report_count(&self) -> u64 {
        self.lock().load_report_count
    }

    /// Waits until `condition` holds. It is checked again after each step and most control
    /// requests.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if condition(self) {
                return;
            }
            // Cannot fail: `self` keeps the sender alive.
            let _ = changed.changed().await;
        }
    }

    /// Stalls each call once it has generated this many tokens; `None` lets all calls continue.
    pub fn stall_at(&self, tokens: Option<u64>) {
        self.lock().stall_at = tokens;
        self.work.notify_one();
    }

    /// Sets the `leaving` flag of the load reports.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Runs one step, or waits for work if no call can make progress.
    async fn run_step(&self) {
        let is_idle = {
            let mut state = self.lock();
            state.admit(self.config.batch);
            state.is_idle()
        };
        if is_idle {
            // The timeout lets the task notice that the engine was dropped.
            let timeout = Duration::from_millis(100);
            let _ = tokio::time::timeout(timeout, self.work.notified()).await;
            return;
        }
        tokio::time::sleep(Duration::from_micros(self.config.step_us)).await;
        self.lock().step(&self.config);
        self.changed.send_replace(());
    }

    /// Queues a call. Does nothing if there is one with this ID already.
    fn submit(&self, attempt: &str, request: &Value) {
        let empty = Vec::new();
        let messages = request["messages"].as_array().unwrap_or(&empty);
        let counts: Vec<u64> = messages.iter().map(count_tokens).collect();
        let keys = request["cache_keys"].as_array().unwrap_or(&empty).iter();
        let keys = keys.filter_map(|k| k.as_str().map(str::to_owned));
        let requested = request["max_tokens"].as_u64();
        let requested = request["max_completion_tokens"].as_u64().or(requested);
        let max_tokens = requested.unwrap_or(u64::MAX).min(self.config.answer_tokens);
        let mut state = self.lock();
        if state.attempts.contains_key(attempt) {
            return;
        }
        state.clock += 1;
        let entry = Attempt {
            run: Record {
                attempt: attempt.to_owned(),
                prompt_tokens: counts.iter().sum(),
                cached_tokens: 0,
                completion_tokens: 0,
                text: String::new(),
                is_complete: false,
            },
            model: request["model"].as_str().unwrap_or_default().to_owned(),
            priority: request["priority"].as_i64().unwrap_or(0),
            arrival: state.clock,
            prefill_left: 0,
            words: generate_answer(messages, max_tokens),
            keys: keys.zip(counts).collect(),
            progress: watch::Sender::new(0),
            ended: false,
        };
        state.attempts.insert(attempt.to_owned(), entry);
        state.waiting.push(attempt.to_owned());
        drop(state);
        self.work.notify_one();
    }

    /// Streams the text of an attempt, starting at a byte offset.
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
                let (chunks, ended) = engine.chunks_since(&attempt, &mut offset);
                if !chunks.is_empty() && sender.send(Ok(Bytes::from(chunks))).await.is_err() {
                    return;
                }
                if ended || progress.changed().await.is_err() {
                    return;
                }
            }
        });
        let mut reply = Response::new(body);
        let content_type = http::HeaderValue::from_static("text/event-stream");
        reply
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        reply
    }

    /// Returns the text after `offset` as server-sent events and whether the attempt has ended;
    /// advances `offset`.
    fn chunks_since(&self, attempt: &str, offset: &mut usize) -> (String, bool) {
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
        if entry.run.is_complete {
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

    /// Pins those of the prefixes that are cached.
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

    /// Accepts an order, unless its fencing number is too low.
    fn order(&self, order: &Value) -> Response<Body> {
        let mut state = self.lock();
        let fencing = order["fencing"].as_u64().unwrap_or(0);
        if self.config.checks_fencing && fencing < state.highest_fencing {
            let highest = state.highest_fencing.to_string();
            return reply::problem(&Problem::new(Kind::Conflict, highest));
        }
        state.highest_fencing = state.highest_fencing.max(fencing);
        state.orders.push(order.clone());
        reply::json(StatusCode::OK, &json!({}))
    }

    /// Handles a GET request; `query` is the value of its only query parameter.
    fn handle_get(self: &Arc<Self>, path: &str, query: u64) -> Response<Body> {
        let visible_until = Instant::now() - Duration::from_millis(self.config.lag_ms);
        let mut state = self.lock();
        match path {
            "/control/load" => {
                state.load_report_count += 1;
                self.changed.send_replace(());
                let latest_visible = state
                    .load_reports
                    .iter()
                    .rev()
                    .find(|(at, _)| *at <= visible_until);
                let load = latest_visible.map_or_else(|| json!({}), |(_, load)| load.clone());
                let mut load = load;
                load["leaving"] = state.leaving.into();
                reply::json(StatusCode::OK, &load)
            }
            "/control/cache/events" => {
                let is_lost = |number: u64| {
                    self.config.lose_event > 0 && number.is_multiple_of(self.config.lose_event)
                };
                let visible = state.events.iter().filter(|(at, event)| {
                    let number = event["number"].as_u64().unwrap_or(0);
                    *at <= visible_until && number > query && !is_lost(number)
                });
                let visible: Vec<_> = visible.map(|(_, event)| event).collect();
                reply::json(StatusCode::OK, &visible)
            }
            "/control/pins" => {
                let pin_json =
                    |(holder, key): &(String, String)| json!({ "holder": holder, "keys": [key] });
                let pins: Vec<_> = state.pins.iter().map(pin_json).collect();
                reply::json(StatusCode::OK, &pins)
            }
            "/records" => {
                let runs: Vec<_> = state.attempts.values().map(|a| &a.run).collect();
                reply::json(StatusCode::OK, &json!({ "runs": runs, "pins": state.pins }))
            }
            _ => reply::no_route(path),
        }
    }

    /// Handles a DELETE request: cancels an attempt or removes the pins of a holder.
    fn handle_delete(&self, path: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(attempt) = path.strip_prefix("/control/requests/") {
            state.cancel(attempt);
        } else if let Some(holder) = path.strip_prefix("/control/pins/") {
            state.pins.retain(|(h, _)| h != holder);
        }
        drop(state);
        self.changed.send_replace(());
        reply::json(StatusCode::OK, &json!({}))
    }

    async fn handle_post(
        self: &Arc<Self>,
        path: &str,
        attempt: &str,
        bytes: &[u8],
    ) -> Response<Body> {
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
                self.stall_at(json.as_u64());
                reply::json(StatusCode::OK, &json)
            }
            "/control/orders" => self.order(&json),
            "/control/cache/export" => {
                reply::json(StatusCode::OK, &json!({ "handle": json["key"] }))
            }
            "/control/cache/import" => {
                let key = json["key"].as_str().unwrap_or_default().to_owned();
                let mut state = self.lock();
                state.cache_prefix(&key, 1);
                reply::json(StatusCode::OK, &json!({}))
            }
            _ => reply::no_route(path),
        }
    }
}

/// HTTP handler of the engine.
#[derive(Debug)]
pub struct EngineHandler(pub Arc<Engine>);

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().and_then(|q| q.split_once('='));
        let query = query.and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        match *request.method() {
            Method::DELETE => return self.0.handle_delete(&path),
            Method::GET => {
                return match path.strip_prefix("/control/requests/") {
                    Some(attempt) => {
                        let offset = usize::try_from(query).unwrap_or(usize::MAX);
                        self.0.stream(attempt, offset)
                    }
                    None => self.0.handle_get(&path, query),
                };
            }
            _ => {}
        }
        let attempt = request.headers().get("x-request-id");
        let attempt = attempt.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let attempt = attempt.to_owned();
        let body_timeout = Duration::from_secs(10);
        match body::collect(request.into_body(), 64 << 20, body_timeout).await {
            Ok(bytes) => self.0.handle_post(&path, &attempt, &bytes).await,
            Err(problem) => reply::problem(&problem),
        }
    }
}
