//! Plain services: tools and other HTTP services that are not model engines.
//!
//! Each call has the ID of the caller's request in the header `idempotency-key`, so that
//! a service that supports it can recognize retries.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_http::{Client, body, client};
use http::{HeaderValue, Method, header};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The header that has the idempotency key of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const NOT_FOUND_STATUS: u16 = 404;

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path and the query string.
    pub path: String,
    /// The body's content type.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body, as text. Only text formats such as JSON are supported.
    #[serde(default)]
    pub body: String,
}

/// The response of a service, with any status.
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
    /// Calls the service with the idempotency key `key`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the call certainly did not run and
    /// [`Error::Interrupted`] if it may have. An HTTP error status is returned as a [`Reply`].
    async fn call(&self, key: &str, call: &Call, timeout: Duration) -> Result<Reply, Error>;

    /// Queries the outcome of a call. `None` means that the service has not received
    /// it yet. It may still arrive, so this doesn't make a retry safe.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; [`Error::Invalid`] if the service doesn't support such queries.
    async fn outcome(&self, key: &str) -> Result<Option<Reply>, Error>;
}

/// An HTTP client of a service.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    outcome_path: Option<String>,
    client: Client,
    timeout: Duration,
}

impl Http {
    /// Creates a client of the service at `address`. `outcome_path` is the path to query
    /// the outcome of a call, with `{key}` as the placeholder of its idempotency key;
    /// `timeout` applies to these queries.
    pub fn new(address: SocketAddr, outcome_path: Option<String>, timeout: Duration) -> Self {
        // If the service closes an idle connection while a call is being sent, it is
        // unknown whether the call ran. A new connection for each call makes that unlikely.
        let config = client::Config {
            reuse_connections: false,
            ..client::Config::default()
        };
        Self {
            address,
            outcome_path,
            client: Client::new(&config),
            timeout,
        }
    }

    async fn exchange(&self, request: http::Request<body::Body>) -> Result<Reply, Error> {
        let reply = self.client.send(self.address, request).await?;
        let (head, incoming) = reply.into_parts();
        let bytes = client::read_body(self.address, incoming).await?;
        let content_type = head.headers.get(header::CONTENT_TYPE);
        Ok(Reply {
            status: head.status.as_u16(),
            content_type: content_type
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned),
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }
}

#[async_trait]
impl Service for Http {
    async fn call(&self, key: &str, call: &Call, timeout: Duration) -> Result<Reply, Error> {
        let not_sent = |e: &dyn std::fmt::Display| Error::NotSent(e.to_string());
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| not_sent(&e))?;
        let body = body::full(Bytes::from(call.body.clone()));
        let mut request = client::build_request(method, self.address, &call.path, body)?;
        let headers = request.headers_mut();
        headers.insert(
            IDEMPOTENCY_KEY_HEADER,
            HeaderValue::from_str(key).map_err(|e| not_sent(&e))?,
        );
        if let Some(content_type) = &call.content_type {
            let content_type = HeaderValue::from_str(content_type).map_err(|e| not_sent(&e))?;
            headers.insert(header::CONTENT_TYPE, content_type);
        }
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Interrupted(format!(
                "no answer within {} ms",
                timeout.as_millis()
            ))),
        }
    }

    async fn outcome(&self, key: &str) -> Result<Option<Reply>, Error> {
        let Some(path) = &self.outcome_path else {
            return Err(Error::Invalid {
                status: NOT_FOUND_STATUS,
                message: "the service does not tell outcomes".to_owned(),
            });
        };
        let path = path.replace("{key}", key);
        let request = client::build_request(Method::GET, self.address, &path, body::empty())?;
        let exchange = tokio::time::timeout(self.timeout, self.exchange(request));
        let reply = exchange
            .await
            .map_err(|_| Error::Interrupted("the outcome was not told in time".to_owned()))??;
        match reply.status {
            NOT_FOUND_STATUS => Ok(None),
            200..=299 => match serde_json::from_str(&reply.body) {
                Ok(outcome) => Ok(Some(outcome)),
                Err(e) => Err(Error::Interrupted(format!(
                    "the outcome makes no sense: {e}"
                ))),
            },
            status => Err(Error::Invalid {
                status,
                message: reply.body,
            }),
        }
    }
}
