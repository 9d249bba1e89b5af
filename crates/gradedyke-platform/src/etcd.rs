//! Adapter for a key-value service with the JSON API of etcd v3.
//!
//! The API is that of etcd's gRPC gateway: keys and values are in base64, 64-bit
//! numbers are strings, and fields with default values are omitted. The metric
//! `gradedyke_key_value_calls_total` counts all calls, including watches, because
//! the service has low rate limits that are shared with others.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::BytesMut;
use gradedyke_http::body;
use gradedyke_http::client::{self, Client};
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::kv::{
    Entry, Error, Event, KeyValue, Lease, Listing, MAX_VALUE_BYTES, Outcome, Revision, Swap, Watch,
};

/// The configuration of the adapter.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses of the service. After a failed call the next one is used.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of a call; for a watch, the timeout for opening it.
    pub timeout: Duration,
}

/// A client of the key-value service.
#[derive(Debug)]
pub struct Etcd {
    config: Config,
    client: Client,
    /// Index of the address in use, modulo the number of addresses.
    address_index: AtomicUsize,
}

#[derive(Serialize, Deserialize, Default)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize, Default)]
struct RawEntry {
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

#[derive(Deserialize)]
struct RangeReply {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<RawEntry>,
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Serialize)]
enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
    failure: Vec<Operation>,
}

#[derive(Deserialize)]
struct TxnReply {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<TxnResponse>,
}

#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    response_range: Option<RangeReply>,
}

#[derive(Serialize)]
struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    ttl: Option<String>,
}

#[derive(Deserialize, Default)]
struct LeaseReply {
    #[serde(rename = "ID", default)]
    id: String,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct StreamMessage<T> {
    result: T,
}

#[derive(Serialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

#[derive(Deserialize, Default)]
struct WatchReply {
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: String,
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct RawEvent {
    #[serde(default, rename = "type")]
    kind: String,
    kv: RawEntry,
}

/// The exclusive end of the range of keys that begin with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // A zero byte means that the range has no end.
    vec![0]
}

/// Parses a 64-bit number; an omitted one is zero.
fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn decode_entry(raw: &RawEntry) -> Result<Entry, Error> {
    let invalid = |e: base64::DecodeError| Error::Refused(e.to_string());
    let key = STANDARD.decode(&raw.key).map_err(invalid)?;
    Ok(Entry {
        key: String::from_utf8_lossy(&key).into_owned(),
        value: STANDARD.decode(&raw.value).map_err(invalid)?,
        revision: parse_number(&raw.mod_revision),
    })
}

/// Converts the error of a call.
fn convert_error(error: &client::Error) -> Error {
    match error {
        client::Error::NotSent { .. } | client::Error::Invalid { .. } => {
            Error::Unavailable(error.to_string())
        }
        client::Error::ConnectionLost { .. }
        | client::Error::InvalidReply { .. }
        | client::Error::ReplyTooLarge { .. }
        | client::Error::TimedOut { .. } => Error::OutcomeUnknown(error.to_string()),
        client::Error::Status { message, .. } if message.contains("lease not found") => {
            Error::LeaseExpired
        }
        // The gateway replies with 503 if it did not accept the call.
        client::Error::Status { status, .. } if status.as_u16() == 503 => {
            Error::Unavailable(error.to_string())
        }
        client::Error::Status { .. } => Error::Refused(error.to_string()),
    }
}

impl Etcd {
    /// Creates a client of the service.
    ///
    /// # Panics
    ///
    /// If `config.addresses` is empty.
    pub fn new(config: Config) -> Self {
        assert!(
            !config.addresses.is_empty(),
            "the key-value service needs at least one address"
        );
        Self {
            config,
            client: Client::new(&client::Config::default()),
            address_index: AtomicUsize::new(0),
        }
    }

    fn address(&self) -> SocketAddr {
        let index = self.address_index.load(Ordering::Relaxed);
        self.config.addresses[index % self.config.addresses.len()]
    }

    async fn call<T: Serialize, U: DeserializeOwned>(
        &self,
        operation: &'static str,
        path: &str,
        request: &T,
    ) -> Result<U, Error> {
        metrics::counter!("gradedyke_key_value_calls_total", "operation" => operation).increment(1);
        let address = self.address();
        let reply = self
            .client
            .send_json(
                Method::POST,
                address,
                path,
                Some(request),
                self.config.timeout,
            )
            .await;
        reply.map_err(|error| {
            self.address_index.fetch_add(1, Ordering::Relaxed);
            convert_error(&error)
        })
    }

    async fn range(&self, request: &RangeRequest) -> Result<RangeReply, Error> {
        self.call("range", "/v3/kv/range", request).await
    }
}

#[async_trait]
impl KeyValue for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = RangeRequest {
            key: STANDARD.encode(key),
            range_end: None,
        };
        let reply = self.range(&request).await?;
        reply.kvs.first().map(decode_entry).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let request = RangeRequest {
            key: STANDARD.encode(prefix),
            range_end: Some(STANDARD.encode(range_end(prefix))),
        };
        let reply = self.range(&request).await?;
        Ok(Listing {
            entries: reply
                .kvs
                .iter()
                .map(decode_entry)
                .collect::<Result<_, _>>()?,
            revision: parse_number(&reply.header.revision),
            unread: Vec::new(),
        })
    }

    async fn swap(&self, swap: Swap) -> Result<Outcome, Error> {
        let size = swap.value.as_ref().map_or(0, Vec::len);
        if size > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(size));
        }
        let key = STANDARD.encode(&swap.key);
        let range = || RangeRequest {
            key: key.clone(),
            range_end: None,
        };
        let write = match &swap.value {
            Some(value) => Operation::Put(PutRequest {
                key: key.clone(),
                value: STANDARD.encode(value),
                lease: swap.lease.map(|lease| lease.0.to_string()),
            }),
            None => Operation::Delete(range()),
        };
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.clone(),
                target: "MOD",
                result: "EQUAL",
                mod_revision: swap.expected_revision.to_string(),
            }],
            success: vec![write],
            failure: vec![Operation::Range(range())],
        };
        let reply: TxnReply = self.call("txn", "/v3/kv/txn", &request).await?;
        if reply.succeeded {
            return Ok(Outcome::Written(parse_number(&reply.header.revision)));
        }
        let found = reply
            .responses
            .first()
            .and_then(|response| response.response_range.as_ref())
            .and_then(|range| range.kvs.first());
        Ok(Outcome::Conflict(found.map(decode_entry).transpose()?))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<Lease, Error> {
        let seconds = ttl.as_millis().div_ceil(1_000);
        let request = LeaseRequest {
            id: "0".to_owned(),
            ttl: Some(seconds.to_string()),
        };
        let reply: LeaseReply = self.call("grant", "/v3/lease/grant", &request).await?;
        let id = reply.id.parse();
        id.map(Lease).map_err(|_| {
            Error::Refused("the reply has a lease without a valid identifier".to_owned())
        })
    }

    async fn renew_lease(&self, lease: Lease) -> Result<(), Error> {
        let request = LeaseRequest {
            id: lease.0.to_string(),
            ttl: None,
        };
        let path = "/v3/lease/keepalive";
        let reply: StreamMessage<LeaseReply> = self.call("renew", path, &request).await?;
        match parse_number(&reply.result.ttl) {
            0 => Err(Error::LeaseExpired),
            _ => Ok(()),
        }
    }

    async fn revoke_lease(&self, lease: Lease) -> Result<(), Error> {
        let request = LeaseRequest {
            id: lease.0.to_string(),
            ttl: None,
        };
        let path = "/v3/lease/revoke";
        let _: serde_json::Value = self.call("revoke", path, &request).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Box<dyn Watch>, Error> {
        metrics::counter!("gradedyke_key_value_calls_total", "operation" => "watch").increment(1);
        let address = self.address();
        let request = WatchRequest {
            create_request: WatchCreate {
                key: STANDARD.encode(prefix),
                range_end: STANDARD.encode(range_end(prefix)),
                start_revision: from.to_string(),
            },
        };
        let bytes = serde_json::to_vec(&request).map_err(|e| Error::Refused(e.to_string()))?;
        let request = client::build_request(Method::POST, address, "/v3/watch", body::full(bytes))
            .map_err(|e| convert_error(&e))?;
        let opening = self.client.send(address, request);
        let reply = tokio::time::timeout(self.config.timeout, opening)
            .await
            .map_err(|_| Error::Unavailable(format!("{address} did not open the watch in time")))?
            .map_err(|e| convert_error(&e))?;
        if !reply.status().is_success() {
            self.address_index.fetch_add(1, Ordering::Relaxed);
            return Err(Error::Unavailable(format!("{address}: {}", reply.status())));
        }
        Ok(Box::new(WatchStream {
            incoming: reply.into_body(),
            buffer: BytesMut::new(),
        }))
    }
}

/// An open watch: a stream of JSON documents, one per line.
struct WatchStream {
    incoming: Incoming,
    buffer: BytesMut,
}

impl WatchStream {
    /// Reads one line, including its newline.
    async fn read_line(&mut self) -> Result<BytesMut, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.split_to(end + 1));
            }
            let ended = || Error::Unavailable("the watch's connection was closed".to_owned());
            let frame = self.incoming.frame().await.ok_or_else(ended)?;
            let frame = frame.map_err(|_| ended())?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

#[async_trait]
impl Watch for WatchStream {
    async fn next(&mut self) -> Result<Vec<Event>, Error> {
        loop {
            let line = self.read_line().await?;
            let reply: StreamMessage<WatchReply> =
                serde_json::from_slice(&line).map_err(|e| Error::Refused(e.to_string()))?;
            let reply = reply.result;
            if parse_number(&reply.compact_revision) > 0 {
                return Err(Error::Compacted);
            }
            if reply.canceled {
                return Err(Error::Unavailable("the watch was cancelled".to_owned()));
            }
            if !reply.events.is_empty() {
                return reply.events.iter().map(decode_event).collect();
            }
        }
    }
}

fn decode_event(raw: &RawEvent) -> Result<Event, Error> {
    let entry = decode_entry(&raw.kv)?;
    if raw.kind == "DELETE" {
        return Ok(Event::Delete {
            key: entry.key,
            revision: entry.revision,
        });
    }
    Ok(Event::Put(entry))
}
