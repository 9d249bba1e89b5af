//! The weight store, from which engines load models and adapters.
//!
//! Engines download the weights themselves. Gradedyke only asks the store whether a
//! version exists and how large it is.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::{body, client};
use http::{Method, StatusCode, header};

/// Properties of a version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightInfo {
    /// Size in bytes.
    pub bytes: u64,
}

/// The error of a request to the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no such version.
    #[error("the weight store has no such version; correct the model or version")]
    Missing,
    /// The store's rate limit is exceeded.
    #[error("the rate limit of the weight store is exceeded; retry after {} ms", retry_after.as_millis())]
    RateLimited {
        /// The delay before the next request.
        retry_after: Duration,
    },
    /// The request failed.
    #[error(transparent)]
    Failed(#[from] client::Error),
}

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the properties of a version of a model.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn stat(&self, model: &str, version: &str) -> Result<WeightInfo, Error>;
}

/// A client of a store that serves `/weights/MODEL/VERSION` over plain HTTP.
#[derive(Debug)]
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
    client: client::Client,
}

/// Delay if the rate limit is exceeded and the store sends no `retry-after`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl HttpStore {
    /// Creates a client of the store at `address`. A request takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: client::Client::new(&client::Config::default()),
        }
    }
}

/// Parses a header with a number.
fn numeric_header(headers: &http::HeaderMap, name: header::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

#[async_trait]
impl WeightStore for HttpStore {
    async fn stat(&self, model: &str, version: &str) -> Result<WeightInfo, Error> {
        let path = format!("/weights/{model}/{version}");
        let request = client::build_request(Method::HEAD, self.address, &path, body::empty())?;
        let sending = self.client.send(self.address, request);
        let reply = tokio::time::timeout(self.timeout, sending)
            .await
            .map_err(|_| client::Error::TimedOut {
                address: self.address,
                timeout: self.timeout,
            })??;
        match reply.status() {
            StatusCode::NOT_FOUND => Err(Error::Missing),
            StatusCode::TOO_MANY_REQUESTS => {
                let seconds = numeric_header(reply.headers(), header::RETRY_AFTER);
                let retry_after = seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs);
                Err(Error::RateLimited { retry_after })
            }
            status if status.is_success() => {
                let bytes = numeric_header(reply.headers(), header::CONTENT_LENGTH).unwrap_or(0);
                Ok(WeightInfo { bytes })
            }
            status => Err(client::status_error(self.address, status, b"").into()),
        }
    }
}
