//! Plain services: tools and other HTTP services beside the model engines.
//!
//! Every call carries the caller's request as `idempotency-key`, so that a
//! service which keeps track can tell a repeat from a new call.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_http::{Client, body, client};
use http::{HeaderValue, Method, header};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Carries the key by which a service knows a repeat.
pub const KEY: &str = "idempotency-key";
const NOT_FOUND: u16 = 404;

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body's content type.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body, as text: services of agent programs speak JSON or text.
    #[serde(default)]
    pub body: String,
}

/// What a service answered, whatever its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body's content type.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body, as text.
    pub body: String,
}

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Calls the service under an idempotency key, within `time`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when it certainly did not run, [`Error::Broken`] when
    /// it may have. An error status is a [`Reply`].
    async fn call(&self, key: &str, call: &Call, time: Duration) -> Result<Reply, Error>;

    /// Asks what became of a call. `None` means that it has not arrived yet; it
    /// still may, so this is no leave to send it again.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Invalid`] when the service cannot tell.
    async fn outcome(&self, key: &str) -> Result<Option<Reply>, Error>;
}

/// A service over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    outcome_path: Option<String>,
    client: Client,
    time: Duration,
}

impl Http {
    /// The service at `address`. `outcome_path` tells the outcome of the call
    /// whose key is put in place of `{key}`; asking takes at most `time`.
    pub fn new(address: SocketAddr, outcome_path: Option<String>, time: Duration) -> Self {
        // A kept connection that the service closes just as the call goes out
        // leaves it unknown whether the call ran; a fresh one seldom does.
        let config = client::Config {
            keep: false,
            ..client::Config::default()
        };
        Self {
            address,
            outcome_path,
            client: Client::new(&config),
            time,
        }
    }

    async fn exchange(&self, request: http::Request<body::Body>) -> Result<Reply, Error> {
        let reply = self.client.send(self.address, request).await?;
        let (head, incoming) = reply.into_parts();
        let bytes = client::collect(self.address, incoming).await?;
        let kind = head.headers.get(header::CONTENT_TYPE);
        Ok(Reply {
            status: head.status.as_u16(),
            content_type: kind.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }
}

#[async_trait]
impl Service for Http {
    async fn call(&self, key: &str, call: &Call, time: Duration) -> Result<Reply, Error> {
        let unsent = |e: &dyn std::fmt::Display| Error::NotSent(e.to_string());
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| unsent(&e))?;
        let body = body::full(Bytes::from(call.body.clone()));
        let mut request = client::build(method, self.address, &call.path, body)?;
        let headers = request.headers_mut();
        headers.insert(KEY, HeaderValue::from_str(key).map_err(|e| unsent(&e))?);
        if let Some(kind) = &call.content_type {
            let kind = HeaderValue::from_str(kind).map_err(|e| unsent(&e))?;
            headers.insert(header::CONTENT_TYPE, kind);
        }
        match tokio::time::timeout(time, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Broken(format!(
                "no answer within {} ms",
                time.as_millis()
            ))),
        }
    }

    async fn outcome(&self, key: &str) -> Result<Option<Reply>, Error> {
        let Some(path) = &self.outcome_path else {
            return Err(Error::Invalid {
                status: NOT_FOUND,
                message: "the service does not tell outcomes".to_owned(),
            });
        };
        let path = path.replace("{key}", key);
        let request = client::build(Method::GET, self.address, &path, body::empty())?;
        let asked = tokio::time::timeout(self.time, self.exchange(request));
        let reply = asked
            .await
            .map_err(|_| Error::Broken("the outcome was not told in time".to_owned()))??;
        match reply.status {
            NOT_FOUND => Ok(None),
            200..=299 => match serde_json::from_str(&reply.body) {
                Ok(outcome) => Ok(Some(outcome)),
                Err(e) => Err(Error::Broken(format!("the outcome makes no sense: {e}"))),
            },
            status => Err(Error::Invalid {
                status,
                message: reply.body,
            }),
        }
    }
}
