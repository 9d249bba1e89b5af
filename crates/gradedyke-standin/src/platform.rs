//! The platform: a key-value service in etcd's v3 JSON mapping, an instance
//! list in the format of Consul's health API, and a weight store, on one port.

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

use crate::cut;
use crate::store::{Change, Store, Stored, covers};

/// How often leases are looked at.
const SWEEP: Duration = Duration::from_millis(50);

/// Faults that a test can switch while the stand-in runs.
#[derive(Debug, Default)]
pub struct Faults {
    /// Refuse every call and cut every watch.
    pub down: AtomicBool,
    /// Answer every call this much later, in milliseconds.
    pub slow_ms: AtomicU64,
    /// Carry out this many writes and then break off in place of the answer.
    pub lose: AtomicU32,
}

/// The stand-in.
#[derive(Debug)]
pub struct Platform {
    /// Faults in force.
    pub faults: Faults,
    store: Mutex<Store>,
    revision: watch::Sender<u64>,
    instances: Mutex<BTreeMap<String, Vec<Value>>>,
    weights: Mutex<BTreeMap<String, u64>>,
    calls: Mutex<BTreeMap<String, u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn decode(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).unwrap_or_default()
}

/// A 64-bit number, which the mapping writes as a string.
fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn entry(key: &[u8], stored: &Stored) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "mod_revision": stored.revision.to_string(),
        "lease": stored.lease.to_string(),
    })
}

fn event(change: &Change) -> Value {
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

fn range(store: &Store, request: &Value) -> Value {
    let found = store.range(&decode(&request["key"]), &decode(&request["range_end"]));
    let kvs: Vec<_> = found.iter().map(|(k, s)| entry(k, s)).collect();
    json!({ "header": { "revision": store.revision.to_string() }, "kvs": kvs })
}

fn compare(store: &Store, compare: &Value) -> bool {
    let stored = store.keys.get(&decode(&compare["key"]));
    let revision = stored.map_or(0, |s| s.revision);
    revision.to_string() == compare["mod_revision"].as_str().unwrap_or("0")
}

/// Carries an operation out; `None` when its lease has gone.
fn operate(store: &mut Store, operation: &Value) -> Option<Value> {
    if let Some(put) = operation.get("request_put") {
        let lease = number(&put["lease"]);
        if lease != 0 && !store.leases.contains_key(&lease) {
            return None;
        }
        store.put(decode(&put["key"]), decode(&put["value"]), lease);
        return Some(json!({ "response_put": {} }));
    }
    if let Some(delete) = operation.get("request_delete_range") {
        store.delete(&decode(&delete["key"]));
        return Some(json!({ "response_delete_range": {} }));
    }
    Some(json!({ "response_range": range(store, &operation["request_range"]) }))
}

fn gone() -> Response<Body> {
    let bytes = br#"{"code":5,"message":"etcdserver: requested lease not found"}"#;
    reply::bytes_of(StatusCode::NOT_FOUND, "application/json", &bytes[..])
}

impl Platform {
    /// A platform with nothing in it. It needs a tokio runtime for its leases.
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
                platform.announce();
                drop(platform);
                tokio::time::sleep(SWEEP).await;
            }
        });
        platform
    }

    /// Ends every lease at once, as if its holders had been paused.
    pub fn lapse(&self) {
        let mut store = lock(&self.store);
        let ids: Vec<_> = store.leases.keys().copied().collect();
        ids.into_iter().for_each(|id| {
            store.revoke(id);
        });
        drop(store);
        self.announce();
    }

    /// The value of a key, as a test sees it.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let store = lock(&self.store);
        store.keys.get(key.as_bytes()).map(|s| s.value.clone())
    }

    /// Calls taken so far, by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.calls).clone()
    }

    /// Sets the instance list of a service, in the published format.
    pub fn list(&self, service: &str, rows: Vec<Value>) {
        lock(&self.instances).insert(service.to_owned(), rows);
    }

    /// Puts a version of a model's weights into the store.
    pub fn weigh(&self, model: &str, version: &str, bytes: u64) {
        lock(&self.weights).insert(format!("{model}/{version}"), bytes);
    }

    fn announce(&self) {
        let revision = lock(&self.store).revision;
        self.revision.send_if_modified(|seen| {
            let newer = *seen < revision;
            *seen = revision;
            newer
        });
    }

    /// Carries a transaction out, all under one lock; `None` when a lease it
    /// names has gone.
    fn txn(&self, request: &Value) -> Option<Value> {
        let empty = Vec::new();
        let list = |name: &str| request[name].as_array().unwrap_or(&empty);
        let mut store = lock(&self.store);
        let holds = list("compare").iter().all(|c| compare(&store, c));
        let operations = list(if holds { "success" } else { "failure" });
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(operate(&mut store, operation)?);
        }
        let revision = store.revision.to_string();
        let mut reply = json!({ "header": { "revision": revision }, "responses": responses });
        if holds {
            reply["succeeded"] = true.into();
        }
        Some(reply)
    }

    fn grant(&self, request: &Value) -> Value {
        let seconds = u64::try_from(number(&request["TTL"])).unwrap_or(1);
        let id = lock(&self.store).grant(Duration::from_secs(seconds), Instant::now());
        json!({ "ID": id.to_string(), "TTL": seconds.to_string() })
    }

    fn renew(&self, request: &Value) -> Value {
        let id = number(&request["ID"]);
        let renewed = lock(&self.store).renew(id, Instant::now());
        let mut result = json!({ "ID": id.to_string() });
        if let Some(length) = renewed {
            result["TTL"] = length.as_secs().to_string().into();
        }
        json!({ "result": result })
    }

    fn watch(self: &Arc<Self>, request: &Value) -> Response<Body> {
        let create = &request["create_request"];
        let key = decode(&create["key"]);
        let end = decode(&create["range_end"]);
        let mut next = u64::try_from(number(&create["start_revision"])).unwrap_or(0);
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
                    let events = platform.since(next, &key, &end);
                    if !events.is_empty() {
                        break events;
                    }
                    tokio::select! {
                        changed = revision.changed() => if changed.is_err() { return },
                        () = platform.went_down() => {
                            let _ = sender.send(Err("down".into())).await;
                            return;
                        }
                        () = sender.closed() => return,
                    }
                };
                next = events
                    .iter()
                    .map(|(revision, _)| revision + 1)
                    .max()
                    .unwrap_or(next);
                let events: Vec<Value> = events.into_iter().map(|(_, event)| event).collect();
                line = json!({ "result": { "events": events } });
            }
        });
        Response::new(body)
    }

    fn since(&self, revision: u64, key: &[u8], end: &[u8]) -> Vec<(u64, Value)> {
        let store = lock(&self.store);
        let first = store.changes.partition_point(|c| c.revision < revision);
        let news = store.changes[first..].iter();
        let wanted = news.filter(|c| covers(key, end, &c.key));
        wanted.map(|c| (c.revision, event(c))).collect()
    }

    async fn went_down(&self) {
        while !self.faults.down.load(Ordering::Relaxed) {
            tokio::time::sleep(SWEEP).await;
        }
    }

    fn lost(&self) -> bool {
        let take = |left: u32| left.checked_sub(1);
        let lose = &self.faults.lose;
        lose.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    fn written(&self, reply: Option<Value>) -> Response<Body> {
        self.announce();
        match reply {
            _ if self.lost() => cut(),
            Some(value) => reply::json(StatusCode::OK, &value),
            None => gone(),
        }
    }

    fn look_up(&self, path: &str) -> Response<Body> {
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            let rows = lock(&self.instances).get(service).cloned();
            return reply::json(StatusCode::OK, &rows.unwrap_or_default());
        }
        let bytes = path
            .strip_prefix("/weights/")
            .and_then(|name| lock(&self.weights).get(name).copied());
        match bytes {
            Some(bytes) => {
                let mut found = Response::new(body::empty());
                let headers = found.headers_mut();
                headers.insert(http::header::CONTENT_LENGTH, bytes.into());
                found
            }
            None => reply::no_route(path),
        }
    }
}

/// The platform as a listener.
#[derive(Debug)]
pub struct Listener(pub Arc<Platform>);

#[async_trait]
impl Handler for Listener {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let platform = &self.0;
        let path = request.uri().path().to_owned();
        *lock(&platform.calls).entry(path.clone()).or_default() += 1;
        let slow = platform.faults.slow_ms.load(Ordering::Relaxed);
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
        if platform.faults.down.load(Ordering::Relaxed) {
            return reply::problem(&Problem::new(
                Kind::Unavailable,
                "down on request of a test",
            ));
        }
        if request.method() != Method::POST {
            return platform.look_up(&path);
        }
        let limit = 4 << 20;
        let bytes = match body::collect(request.into_body(), limit, SWEEP * 100).await {
            Ok(bytes) => bytes,
            Err(problem) => return reply::problem(&problem),
        };
        let json: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        match path.as_str() {
            "/v3/kv/range" => {
                let reply = range(&lock(&platform.store), &json);
                reply::json(StatusCode::OK, &reply)
            }
            "/v3/kv/txn" => {
                let reply = platform.txn(&json);
                platform.written(reply)
            }
            "/v3/lease/grant" => {
                let reply = platform.grant(&json);
                platform.written(Some(reply))
            }
            "/v3/lease/keepalive" => reply::json(StatusCode::OK, &platform.renew(&json)),
            "/v3/lease/revoke" => {
                let there = lock(&platform.store).revoke(number(&json["ID"]));
                platform.written(there.then(|| json!({})))
            }
            "/v3/watch" => platform.watch(&json),
            _ => reply::no_route(&path),
        }
    }
}
