//! Adapter for engines over HTTP.
//!
//! Calls go to `/v1/chat/completions`, always streamed, so that a call can be
//! cancelled and its tokens counted; a caller that wants the whole answer gets
//! it put together. `priority` and `cache_salt` are fields that published
//! engines know; the rest of the control API stands under `/control`.

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
use crate::engine::{CacheEvent, Call, Chunks, Engine, Load, Order, Pin};
use crate::error::Error;
use crate::prefix::Key;

/// Names an attempt towards an engine.
pub const ATTEMPT: &str = "x-request-id";
/// Ends a stream of the chat-completions format.
const DONE: &str = "[DONE]";
const CONFLICT: u16 = 409;

/// An engine at an address.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
    time: Duration,
}

/// A request with the fields that gradedyke adds.
#[derive(Serialize)]
struct Extended<'a> {
    #[serde(flatten)]
    request: &'a chat::Request,
    stream_options: Options,
    priority: i32,
    cache_salt: &'a str,
    cache_keys: &'a [Key],
}

#[derive(Serialize)]
struct Options {
    include_usage: bool,
}

#[derive(Serialize)]
struct Export {
    key: Key,
}

#[derive(Deserialize)]
struct Exported {
    handle: String,
}

#[derive(Serialize)]
struct Import<'a> {
    key: Key,
    handle: &'a str,
}

impl Http {
    /// The engine at `address`. Control calls take at most `time`.
    pub fn new(address: SocketAddr, client: Client, time: Duration) -> Self {
        Self {
            address,
            client,
            time,
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let none = None::<&()>;
        let reply = self
            .client
            .json(Method::GET, self.address, path, none, self.time);
        Ok(reply.await?)
    }

    async fn post<T: Serialize>(&self, path: &str, value: &T) -> Result<Value, Error> {
        let reply = self
            .client
            .json(Method::POST, self.address, path, Some(value), self.time);
        Ok(reply.await?)
    }

    async fn delete(&self, path: &str) -> Result<(), Error> {
        let none = None::<&()>;
        let reply = self
            .client
            .json(Method::DELETE, self.address, path, none, self.time);
        let _: Value = reply.await?;
        Ok(())
    }

    async fn stream(&self, request: Request<body::Body>) -> Result<Box<dyn Chunks>, Error> {
        let reply = self.client.send(self.address, request).await?;
        let status = reply.status();
        if !status.is_success() {
            let bytes = client::collect(self.address, reply.into_body()).await?;
            return Err(client::status(self.address, status, &bytes).into());
        }
        let events = BodyDataStream::new(reply.into_body()).eventsource();
        Ok(Box::new(Answer {
            events: Box::pin(events),
        }))
    }
}

type Events = dyn Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Send;

struct Answer {
    events: Pinned<Box<Events>>,
}

#[async_trait]
impl Chunks for Answer {
    async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        let cut = || Error::Broken("the stream ended before its end mark".to_owned());
        let event = self.events.next().await.ok_or_else(cut)?;
        let event = event.map_err(|e| Error::Broken(e.to_string()))?;
        if event.data == DONE {
            return Ok(None);
        }
        let chunk = serde_json::from_str(&event.data);
        chunk
            .map(Some)
            .map_err(|e| Error::Broken(format!("a chunk makes no sense: {e}")))
    }
}

#[async_trait]
impl Engine for Http {
    async fn chat(&self, call: &Call) -> Result<Box<dyn Chunks>, Error> {
        let extended = Extended {
            request: &call.request,
            stream_options: Options {
                include_usage: true,
            },
            priority: call.priority,
            cache_salt: call.chain.salt(),
            cache_keys: call.chain.keys(),
        };
        let bytes = serde_json::to_vec(&extended).map_err(|e| Error::NotSent(e.to_string()))?;
        let path = "/v1/chat/completions";
        let mut request = client::build(Method::POST, self.address, path, body::full(bytes))?;
        let attempt = HeaderValue::from_str(&call.attempt);
        let attempt = attempt.map_err(|e| Error::NotSent(e.to_string()))?;
        request.headers_mut().insert(ATTEMPT, attempt);
        self.stream(request).await
    }

    async fn resume(&self, attempt: &str, offset: u64) -> Result<Box<dyn Chunks>, Error> {
        let path = format!("/control/requests/{attempt}?offset={offset}");
        let request = client::build(Method::GET, self.address, &path, body::empty())?;
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
        let reply = self.post("/control/cache/export", &Export { key }).await?;
        let exported: Exported =
            serde_json::from_value(reply).map_err(|e| Error::Broken(e.to_string()))?;
        Ok(exported.handle)
    }

    async fn import(&self, key: Key, handle: &str) -> Result<(), Error> {
        let import = Import { key, handle };
        self.post("/control/cache/import", &import).await.map(drop)
    }

    async fn order(&self, order: &Order) -> Result<(), Error> {
        match self.post("/control/orders", order).await {
            Err(Error::Invalid {
                status: CONFLICT,
                message,
            }) => {
                let newer = message.parse().unwrap_or(order.fencing + 1);
                Err(Error::Fenced(newer))
            }
            other => other.map(drop),
        }
    }
}
