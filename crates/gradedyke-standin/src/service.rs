//! A plain service that records what it ran and misbehaves when told to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::{Body, Handler, body, reply};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::cut;

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The key it came with.
    pub key: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
}

/// What the service does with the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs it and answers.
    #[default]
    Well,
    /// Runs it and breaks off in place of the answer.
    LoseAnswer,
    /// Runs it and never answers.
    Hang,
    /// Runs it and answers this many milliseconds later.
    Late(u64),
    /// Answers with this status and does not run it.
    Fail(u16),
}

/// The stand-in. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    runs: Vec<Run>,
    answers: BTreeMap<String, String>,
}

/// Longest time for a body to arrive.
const BODY: Duration = Duration::from_secs(5);
/// Largest body.
const BODY_BYTES: usize = 4 << 20;

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what the service does.
    pub fn set(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Waits until `wanted` holds for the service.
    pub async fn until(&self, wanted: impl Fn(&Self) -> bool) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if wanted(self) {
                return;
            }
            // The sender lives as long as the service.
            let _ = changed.changed().await;
        }
    }

    fn run(&self, run: Run) -> String {
        let mut state = self.lock();
        state.runs.push(run.clone());
        let answer = json!({ "run": run.path, "echo": run.body }).to_string();
        state.answers.insert(run.key, answer.clone());
        drop(state);
        self.changed.send_replace(());
        answer
    }

    fn outcome(&self, key: &str) -> Response<Body> {
        match self.lock().answers.get(key) {
            Some(body) => {
                let outcome =
                    json!({ "status": 200, "content_type": "application/json", "body": body });
                reply::json(StatusCode::OK, &outcome)
            }
            None => reply::no_route(key),
        }
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/outcomes/") {
            return self.outcome(key);
        }
        if path == "/records" {
            return reply::json(StatusCode::OK, &self.runs());
        }
        let key = request.headers().get("idempotency-key");
        let key = key
            .and_then(|k| k.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let bytes = match body::collect(request.into_body(), BODY_BYTES, BODY).await {
            Ok(bytes) => bytes,
            Err(problem) => return reply::problem(&problem),
        };
        let body = String::from_utf8_lossy(&bytes).into_owned();
        if path == "/mode" {
            return match serde_json::from_str(&body) {
                Ok(mode) => {
                    self.set(mode);
                    reply::json(StatusCode::OK, &mode)
                }
                Err(e) => reply::bytes_of(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
            };
        }
        let mode = self.lock().mode;
        if let Mode::Fail(status) = mode {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            return reply::bytes_of(status, "text/plain", "failed on request of a test");
        }
        let answer = self.run(Run { key, path, body });
        match mode {
            Mode::LoseAnswer => return cut(),
            Mode::Hang => std::future::pending().await,
            Mode::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Mode::Well | Mode::Fail(_) => {}
        }
        reply::bytes_of(StatusCode::OK, "application/json", answer)
    }
}
