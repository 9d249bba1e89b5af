//! Stand-in for the platform: a key-value service with etcd's v3 JSON API, an instance
//! list with Consul's health API, and a weight store, on one port.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_http::{Body, Handler, body, reply};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::aborted_response;
use crate::store::{Change, Store, StoredValue, is_in_range};

/// Interval at which expired leases and the `down` fault are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Faults that a test can change while the stand-in runs.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether every call is refused and every watch is aborted.
    pub down: AtomicBool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of further writes that are executed but whose response is aborted.
    pub replies_to_lose: AtomicU32,
}

/// The platform stand-in.
#[derive(Debug)]
pub struct Platform {
    /// Faults in effect.
    pub faults: Faults,
    store: Mutex<Store>,
    /// Latest revision that watches were notified of.
    revision: watch::Sender<u64>,
    instances: Mutex<BTreeMap<String, Vec<Value>>>,
    /// Size in bytes by `model/version`.
    weights: Mutex<BTreeMap<String, u64>>,
    /// Number of calls by path.
    calls: Mutex<BTreeMap<String, u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn decode_base64(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).unwrap_or_default()
}

/// Parses a 64-bit integer, which the JSON API writes as a string.
fn parse_integer(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn entry_json(key: &[u8], stored: &StoredValue) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "mod_revision": stored.revision.to_string(),
        "lease": stored.lease_id.to_string(),
    })
}

fn event_json(change: &Change) -> Value {
    let kv = json!({
        "key": STANDARD.encode(&change.key),
        "value": change.value.as_ref().map(|v| STANDARD.encode(v)).unwrap_or_default(),
        "mod_revision": change.revision.to_string(),
    });
    match change.value {
        Some(_) => json!({ "kv": kv }),
        None => json!({ "type": "DELETE", "kv": kv }),
    }
}

fn range_reply(store: &Store, request: &Value) -> Value {
    let found = store.range(
        &decode_base64(&request["key"]),
        &decode_base64(&request["range_end"]),
    );
    let kvs: Vec<_> = found.iter().map(|(k, s)| entry_json(k, s)).collect();
    json!({ "header": { "revision": store.revision.to_string() }, "kvs": kvs })
}

/// Whether a condition of a transaction holds.
fn comparison_holds(store: &Store, comparison: &Value) -> bool {
    let stored = store.keys.get(&decode_base64(&comparison["key"]));
    let revision = stored.map_or(0, |s| s.revision);
    revision.to_string() == comparison["mod_revision"].as_str().unwrap_or("0")
}

/// Executes an operation of a transaction. Returns `None` if its lease does not exist.
fn execute_operation(store: &mut Store, operation: &Value) -> Option<Value> {
    if let Some(put) = operation.get("request_put") {
        let lease_id = parse_integer(&put["lease"]);
        if lease_id != 0 && !store.leases.contains_key(&lease_id) {
            return None;
        }
        store.put(
            decode_base64(&put["key"]),
            decode_base64(&put["value"]),
            lease_id,
        );
        return Some(json!({ "response_put": {} }));
    }
    if let Some(delete) = operation.get("request_delete_range") {
        store.delete(&decode_base64(&delete["key"]));
        return Some(json!({ "response_delete_range": {} }));
    }
    Some(json!({ "response_range": range_reply(store, &operation["request_range"]) }))
}

fn lease_not_found() -> Response<Body> {
    let bytes = br#"{"code":5,"message":"etcdserver: requested lease not found"}"#;
    reply::with_bytes(StatusCode::NOT_FOUND, "application/json", &bytes[..])
}

impl Platform {
    /// Starts an empty platform.
    ///
    /// # Panics
    ///
    /// If it is called outside a tokio runtime.
    pub fn start() -> Arc<Self> {
        let platform = Arc::new(Self {
            faults: Faults::default(),
            store: Mutex::default(),
            revision: watch::Sender::new(0),
            instances: Mutex::default(),
            weights: Mutex::default(),
            calls: Mutex::default(),
        });
        let weak = Arc::downgrade(&platform);
        tokio::spawn(async move {
            while let Some(platform) = weak.upgrade() {
                lock(&platform.store).expire(Instant::now());
                platform.notify_watches();
                drop(platform);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        platform
    }

    /// Expires all leases at once, as if their holders had been paused.
    pub fn expire_all_leases(&self) {
        let mut store = lock(&self.store);
        let ids: Vec<_> = store.leases.keys().copied().collect();
        ids.into_iter().for_each(|id| {
            store.revoke(id);
        });
        drop(store);
        self.notify_watches();
    }

    /// The value of a key, for checks in tests.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let store = lock(&self.store);
        store.keys.get(key.as_bytes()).map(|s| s.value.clone())
    }

    /// Number of calls received so far, by path.
    pub fn calls_by_path(&self) -> BTreeMap<String, u64> {
        lock(&self.calls).clone()
    }

    /// Sets the instance list of a service, in the format of Consul's health API.
    pub fn set_instances(&self, service: &str, rows: Vec<Value>) {
        lock(&self.instances).insert(service.to_owned(), rows);
    }

    /// Adds the weights of a model version, of this size in bytes, to the weight store.
    pub fn add_weights(&self, model: &str, version: &str, bytes: u64) {
        lock(&self.weights).insert(format!("{model}/{version}"), bytes);
    }

    /// Notifies the watches of a new revision, if there is one.
    fn notify_watches(&self) {
        let revision = lock(&self.store).revision;
        self.revision.send_if_modified(|notified| {
            let is_newer = *notified < revision;
            *notified = revision;
            is_newer
        });
    }

    /// Executes a transaction under one lock. Returns `None` if a lease that it names does not
    /// exist; the operations before it remain in effect.
    fn txn(&self, request: &Value) -> Option<Value> {
        let empty = Vec::new();
        let items_of = |name: &str| request[name].as_array().unwrap_or(&empty);
        let mut store = lock(&self.store);
        let succeeded = items_of("compare")
            .iter()
            .all(|c| comparison_holds(&store, c));
        let operations = items_of(if succeeded { "success" } else { "failure" });
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(execute_operation(&mut store, operation)?);
        }
        let revision = store.revision.to_string();
        let mut reply = json!({ "header": { "revision": revision }, "responses": responses });
        if succeeded {
            reply["succeeded"] = true.into();
        }
        Some(reply)
    }

    fn grant(&self, request: &Value) -> Value {
        let seconds = u64::try_from(parse_integer(&request["TTL"])).unwrap_or(1);
        let id = lock(&self.store).grant(Duration::from_secs(seconds), Instant::now());
        json!({ "ID": id.to_string(), "TTL": seconds.to_string() })
    }

    fn renew(&self, request: &Value) -> Value {
        let id = parse_integer(&request["ID"]);
        let renewed = lock(&self.store).renew(id, Instant::now());
        let mut result = json!({ "ID": id.to_string() });
        if let Some(ttl) = renewed {
            result["TTL"] = ttl.as_secs().to_string().into();
        }
        json!({ "result": result })
    }

    fn watch(self: &Arc<Self>, request: &Value) -> Response<Body> {
        let create = &request["create_request"];
        let key = decode_base64(&create["key"]);
        let end = decode_base64(&create["range_end"]);
        let mut next_revision =
            u64::try_from(parse_integer(&create["start_revision"])).unwrap_or(0);
        let (sender, body) = body::channel(16);
        let mut revision = self.revision.subscribe();
        let platform = self.clone();
        tokio::spawn(async move {
            let mut line = json!({ "result": { "created": true } });
            loop {
                let bytes = Bytes::from(format!("{line}\n"));
                if sender.send(Ok(bytes)).await.is_err() {
                    return;
                }
                let events = loop {
                    let events = platform.events_since(next_revision, &key, &end);
                    if !events.is_empty() {
                        break events;
                    }
                    tokio::select! {
                        changed = revision.changed() => if changed.is_err() { return },
                        () = platform.wait_until_down() => {
                            let _ = sender.send(Err("the platform is down".into())).await;
                            return;
                        }
                        () = sender.closed() => return,
                    }
                };
                next_revision = events
                    .iter()
                    .map(|(revision, _)| revision + 1)
                    .max()
                    .unwrap_or(next_revision);
                let events: Vec<Value> = events.into_iter().map(|(_, event)| event).collect();
                line = json!({ "result": { "events": events } });
            }
        });
        Response::new(body)
    }

    /// Changes in a key range from `revision` on, as (revision, event) pairs.
    fn events_since(&self, revision: u64, key: &[u8], end: &[u8]) -> Vec<(u64, Value)> {
        let store = lock(&self.store);
        let first = store.changes.partition_point(|c| c.revision < revision);
        let recent = store.changes[first..].iter();
        let matching = recent.filter(|c| is_in_range(key, end, &c.key));
        matching.map(|c| (c.revision, event_json(c))).collect()
    }

    async fn wait_until_down(&self) {
        while !self.faults.down.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the reply to a write is to be lost; counts [`Faults::replies_to_lose`] down.
    fn take_lost_reply(&self) -> bool {
        let decrement = |count: u32| count.checked_sub(1);
        let lose = &self.faults.replies_to_lose;
        lose.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
    }

    /// Response to a write; `None` means that its lease does not exist.
    fn write_response(&self, reply: Option<Value>) -> Response<Body> {
        self.notify_watches();
        match reply {
            _ if self.take_lost_reply() => aborted_response(),
            Some(value) => reply::json(StatusCode::OK, &value),
            None => lease_not_found(),
        }
    }

    fn handle_get(&self, path: &str) -> Response<Body> {
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            let rows = lock(&self.instances).get(service).cloned();
            return reply::json(StatusCode::OK, &rows.unwrap_or_default());
        }
        let bytes = path
            .strip_prefix("/weights/")
            .and_then(|name| lock(&self.weights).get(name).copied());
        match bytes {
            Some(bytes) => {
                let mut response = Response::new(body::empty());
                let headers = response.headers_mut();
                headers.insert(http::header::CONTENT_LENGTH, bytes.into());
                response
            }
            None => reply::no_route(path),
        }
    }
}

/// HTTP handler of the platform.
#[derive(Debug)]
pub struct PlatformHandler(pub Arc<Platform>);

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let platform = &self.0;
        let path = request.uri().path().to_owned();
        *lock(&platform.calls).entry(path.clone()).or_default() += 1;
        let delay_ms = platform.faults.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if platform.faults.down.load(Ordering::Relaxed) {
            return reply::problem(&Problem::new(
                Kind::Unavailable,
                "down on request of a test",
            ));
        }
        if request.method() != Method::POST {
            return platform.handle_get(&path);
        }
        let max_body_bytes = 4 << 20;
        let bytes =
            match body::collect(request.into_body(), max_body_bytes, POLL_INTERVAL * 100).await {
                Ok(bytes) => bytes,
                Err(problem) => return reply::problem(&problem),
            };
        let json: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        match path.as_str() {
            "/v3/kv/range" => {
                let reply = range_reply(&lock(&platform.store), &json);
                reply::json(StatusCode::OK, &reply)
            }
            "/v3/kv/txn" => {
                let reply = platform.txn(&json);
                platform.write_response(reply)
            }
            "/v3/lease/grant" => {
                let reply = platform.grant(&json);
                platform.write_response(Some(reply))
            }
            "/v3/lease/keepalive" => reply::json(StatusCode::OK, &platform.renew(&json)),
            "/v3/lease/revoke" => {
                let existed = lock(&platform.store).revoke(parse_integer(&json["ID"]));
                platform.write_response(existed.then(|| json!({})))
            }
            "/v3/watch" => platform.watch(&json),
            _ => reply::no_route(&path),
        }
    }
}
