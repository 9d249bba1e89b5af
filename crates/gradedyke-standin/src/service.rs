//! Stand-in for a plain service. It records the calls it ran and injects faults on request.

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

use crate::aborted_response;

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Idempotency key; empty if there was none.
    pub key: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: String,
}

/// What the service does with calls from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs the call and responds.
    #[default]
    #[serde(rename = "well")]
    Normal,
    /// Runs the call and aborts the response.
    LoseAnswer,
    /// Runs the call and never responds.
    Hang,
    /// Runs the call and responds after this delay, in milliseconds.
    Late(u64),
    /// Responds with this status without running the call.
    Fail(u16),
    /// Runs the call and responds with a body of this size in bytes.
    Large(usize),
}

/// The stand-in. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    runs: Vec<Record>,
    /// Response body by idempotency key.
    responses: BTreeMap<String, String>,
}

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the mode for calls from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// All calls that ran so far.
    pub fn runs(&self) -> Vec<Record> {
        self.lock().runs.clone()
    }

    /// Waits until `condition` holds. It is checked again after each call that runs.
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

    /// Records a call as run and returns its response body.
    fn execute(&self, run: Record) -> String {
        let mut state = self.lock();
        state.runs.push(run.clone());
        let response = json!({ "run": run.path, "echo": run.body }).to_string();
        state.responses.insert(run.key, response.clone());
        drop(state);
        self.changed.send_replace(());
        response
    }

    /// Response to a query for the result of an earlier call.
    fn outcome(&self, key: &str) -> Response<Body> {
        match self.lock().responses.get(key) {
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
        let bytes = match body::collect(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(bytes) => bytes,
            Err(problem) => return reply::problem(&problem),
        };
        let body = String::from_utf8_lossy(&bytes).into_owned();
        if path == "/mode" {
            return match serde_json::from_str(&body) {
                Ok(mode) => {
                    self.set_mode(mode);
                    reply::json(StatusCode::OK, &mode)
                }
                Err(e) => reply::with_bytes(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
            };
        }
        let mode = self.lock().mode;
        if let Mode::Fail(status) = mode {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            return reply::with_bytes(status, "text/plain", "failed on request of a test");
        }
        let response = self.execute(Record { key, path, body });
        match mode {
            Mode::LoseAnswer => return aborted_response(),
            Mode::Hang => std::future::pending().await,
            Mode::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Mode::Large(bytes) => {
                return reply::with_bytes(StatusCode::OK, "text/plain", "x".repeat(bytes));
            }
            Mode::Normal | Mode::Fail(_) => {}
        }
        reply::with_bytes(StatusCode::OK, "application/json", response)
    }
}
