//! Implementation of [`Engine`] over HTTP.
//!
//! Calls go to `/v1/chat/completions`. They are always streamed, so that they can be
//! cancelled and their tokens counted. `priority` and `cache_salt` are fields that
//! common engines support; the control API is under `/control`.

use std::net::SocketAddr;
use std::pin::Pin as Pinned;
use std::time::Duration;

use async_trait::async_trait;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use gradedyke_base::id;
use gradedyke_http::{Client, body, client};
use http::{HeaderValue, Method, Request};
use http_body_util::BodyDataStream;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::chat::{self, Chunk};
use crate::engine::{CacheEvent, Call, ChunkStream, Engine, Load, Order, Pin};
use crate::error::Error;
use crate::prefix::Key;

/// The header that has the ID of an attempt.
pub const ATTEMPT_HEADER: &str = "x-request-id";
/// The data of the event that ends a stream.
const DONE_DATA: &str = "[DONE]";
const CONFLICT_STATUS: u16 = 409;

/// An HTTP client of an engine.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
    timeout: Duration,
}

/// A chat-completions request with the fields that gradedyke adds.
#[derive(Serialize)]
struct ExtendedRequest<'a> {
    #[serde(flatten)]
    request: &'a chat::Request,
    stream_options: StreamOptions,
    priority: i32,
    cache_salt: &'a str,
    cache_keys: &'a [Key],
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Serialize)]
struct ExportRequest {
    key: Key,
}

#[derive(Deserialize)]
struct ExportResponse {
    handle: String,
}

#[derive(Serialize)]
struct ImportRequest<'a> {
    key: Key,
    handle: &'a str,
}

impl Http {
    /// Creates a client of the engine at `address`. `timeout` applies to calls of the
    /// control API.
    pub fn new(address: SocketAddr, client: Client, timeout: Duration) -> Self {
        Self {
            address,
            client,
            timeout,
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let none = None::<&()>;
        let response = self
            .client
            .send_json(Method::GET, self.address, path, none, self.timeout);
        Ok(response.await?)
    }

    async fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<Value, Error> {
        let response =
            self.client
                .send_json(Method::POST, self.address, path, Some(value), self.timeout);
        Ok(response.await?)
    }

    async fn delete(&self, path: &str) -> Result<(), Error> {
        let none = None::<&()>;
        let response =
            self.client
                .send_json(Method::DELETE, self.address, path, none, self.timeout);
        let _: Value = response.await?;
        Ok(())
    }

    async fn stream(&self, request: Request<body::Body>) -> Result<Box<dyn ChunkStream>, Error> {
        let response = self.client.send(self.address, request).await?;
        let status = response.status();
        if !status.is_success() {
            let bytes = client::read_body(self.address, response.into_body()).await?;
            return Err(client::status_error(self.address, status, &bytes).into());
        }
        let events = BodyDataStream::new(response.into_body()).eventsource();
        Ok(Box::new(EventChunks {
            events: Box::pin(events),
        }))
    }
}

type Events = dyn Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Send;

struct EventChunks {
    events: Pinned<Box<Events>>,
}

#[async_trait]
impl ChunkStream for EventChunks {
    async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        let interrupted = || Error::Interrupted("the stream ended before its end mark".to_owned());
        let event = self.events.next().await.ok_or_else(interrupted)?;
        let event = event.map_err(|e| Error::Interrupted(e.to_string()))?;
        if event.data == DONE_DATA {
            return Ok(None);
        }
        let chunk = serde_json::from_str(&event.data);
        chunk
            .map(Some)
            .map_err(|e| Error::Interrupted(format!("a chunk makes no sense: {e}")))
    }
}

#[async_trait]
impl Engine for Http {
    async fn chat(&self, call: &Call) -> Result<Box<dyn ChunkStream>, Error> {
        let request_body = ExtendedRequest {
            request: &call.request,
            stream_options: StreamOptions {
                include_usage: true,
            },
            priority: call.priority,
            cache_salt: call.chain.salt(),
            cache_keys: call.chain.keys(),
        };
        let body = serde_json::to_vec(&request_body).map_err(|e| Error::NotSent(e.to_string()))?;
        let path = "/v1/chat/completions";
        let mut request =
            client::build_request(Method::POST, self.address, path, body::full(body))?;
        let attempt = HeaderValue::from_str(&call.attempt_id);
        let attempt = attempt.map_err(|e| Error::NotSent(e.to_string()))?;
        request.headers_mut().insert(ATTEMPT_HEADER, attempt);
        self.stream(request).await
    }

    async fn resume(&self, attempt: &str, offset: u64) -> Result<Box<dyn ChunkStream>, Error> {
        let path = format!("/control/requests/{attempt}?offset={offset}");
        let request = client::build_request(Method::GET, self.address, &path, body::empty())?;
        self.stream(request).await
    }

    async fn cancel(&self, attempt: &str) -> Result<(), Error> {
        self.delete(&format!("/control/requests/{attempt}")).await
    }

    async fn load(&self) -> Result<Load, Error> {
        self.get("/control/load").await
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.get(&format!("/control/cache/events?after={after}"))
            .await
    }

    async fn pin(&self, pin: &Pin) -> Result<(), Error> {
        self.post("/control/pins", pin).await.map(drop)
    }

    async fn release(&self, holder: &id::Program) -> Result<(), Error> {
        self.delete(&format!("/control/pins/{holder}")).await
    }

    async fn pins(&self) -> Result<Vec<Pin>, Error> {
        self.get("/control/pins").await
    }

    async fn export(&self, key: Key) -> Result<String, Error> {
        let response = self
            .post("/control/cache/export", &ExportRequest { key })
            .await?;
        let exported: ExportResponse =
            serde_json::from_value(response).map_err(|e| Error::Interrupted(e.to_string()))?;
        Ok(exported.handle)
    }

    async fn import(&self, key: Key, handle: &str) -> Result<(), Error> {
        let import = ImportRequest { key, handle };
        self.post("/control/cache/import", &import).await.map(drop)
    }

    async fn order(&self, order: &Order) -> Result<(), Error> {
        match self.post("/control/orders", order).await {
            Err(Error::Invalid {
                status: CONFLICT_STATUS,
                message,
            }) => {
                let latest = message.parse().unwrap_or(order.fencing + 1);
                Err(Error::Fenced(latest))
            }
            other => other.map(drop),
        }
    }
}
