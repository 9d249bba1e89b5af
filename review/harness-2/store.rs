//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was deleted.
    history: Vec<(i64, String, Option<Item>)>,
    revision: i64,
}

/// A running store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":0}}"#,
        json::quoted(key),
        item.value,
        item.revision,
        item.created
    )
}

impl State {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            address: listener.local_addr()?,
        });
        let served = store.clone();
        http::serve(listener, move |head, body, stream| {
            served.handle(head, &body, stream)
        });
        Ok(store)
    }

    /// Writes a key, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .put(key, json::base64(value.as_bytes()));
        self.changed.notify_all();
    }

    /// The value of a key as JSON; `Null` without one.
    pub fn get(&self, key: &str) -> Json {
        let state = self.state.lock().unwrap();
        let value = state
            .items
            .get(key)
            .map(|item| json::from_base64(&item.value));
        Json::parse(&String::from_utf8(value.unwrap_or_default()).unwrap_or_default())
    }

    fn handle(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        let path = head.part(1).split('?').next().unwrap_or_default();
        let (status, text) = match (head.part(0), path) {
            ("GET", "/gradedyke/kv-key") => self.key(head.parameter("key")),
            ("GET", "/gradedyke/kv-range") => {
                self.range(head.parameter("path_prefix"), head.parameter("after"))
            }
            ("GET", "/gradedyke/kv-watch") => self.watch(head),
            ("POST", "/gradedyke/kv-txn") => {
                self.transaction(&Json::parse(&String::from_utf8_lossy(body)))
            }
            _ => (404, String::new()),
        };
        http::respond(stream, status, &text)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = item_json(key, item);
                let rest = format!(r#","store_revision":{}}}"#, state.revision);
                (200, text[..text.len() - 1].to_owned() + &rest)
            }
            None => (404, String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let matching = state.items.iter();
        let matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = matching
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let (items, revision) = (items.join(","), state.revision);
        let text =
            format!(r#"{{"items":[{items}],"has_more":{has_more},"store_revision":{revision}}}"#);
        (200, text)
    }

    fn watch(&self, head: &Head) -> (u16, String) {
        let prefix = head.parameter("path_prefix");
        let after: i64 = head.parameter("after").parse().unwrap_or(0);
        let wait = head.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        let key = json::quoted(key);
                        format!(r#"{{"key":{key},"revision":{revision},"deleted":true}}"#)
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let text = format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#);
                return (200, text);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("expect_rev").list();
        let holds = rows.iter().all(|row| {
            let current = state.items.get(row.get("key").text());
            current.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let keys = rows.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let is_own = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let puts = body.get("puts").list();
        if puts.iter().any(|put| is_own(put.get("key").text())) {
            return (403, String::new());
        }
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text().to_owned());
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}
