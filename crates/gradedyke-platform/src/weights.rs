//! The weight store: what engines load models and adapters from.
//!
//! Gradedyke never carries weights itself; engines fetch them. It asks the
//! store only whether a version is there, how large it is, and, when the store
//! is at its rate, when to come back.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::{body, client};
use http::{Method, StatusCode, header};

/// A version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weight {
    /// Size in bytes.
    pub bytes: u64,
}

/// What asking the store fails with.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no such version.
    #[error("the weight store has no such version; correct the model or version")]
    Missing,
    /// The store is at its rate.
    #[error("the weight store is at its rate; come back in {} ms", after.as_millis())]
    Limited {
        /// When to come back.
        after: Duration,
    },
    /// The store could not be asked.
    #[error(transparent)]
    Failed(#[from] client::Error),
}

/// The weight store.
#[async_trait]
pub trait Weights: Send + Sync {
    /// Looks a version of a model up.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; asking changes nothing.
    async fn stat(&self, model: &str, version: &str) -> Result<Weight, Error>;
}

/// Adapter for a store that serves `/weights/MODEL/VERSION` over plain HTTP.
#[derive(Debug)]
pub struct Http {
    address: SocketAddr,
    time: Duration,
    client: client::Client,
}

/// Used where the store is at its rate and does not say when to come back.
const RETRY: Duration = Duration::from_secs(1);

impl Http {
    /// An adapter for the store at `address`; asking takes at most `time`.
    pub fn new(address: SocketAddr, time: Duration) -> Self {
        Self {
            address,
            time,
            client: client::Client::new(&client::Config::default()),
        }
    }
}

fn header_number(headers: &http::HeaderMap, name: header::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

#[async_trait]
impl Weights for Http {
    async fn stat(&self, model: &str, version: &str) -> Result<Weight, Error> {
        let path = format!("/weights/{model}/{version}");
        let request = client::build(Method::HEAD, self.address, &path, body::empty())?;
        let asked = self.client.send(self.address, request);
        let reply = tokio::time::timeout(self.time, asked).await.map_err(|_| {
            client::Error::TimedOut {
                address: self.address,
                time: self.time,
            }
        })??;
        match reply.status() {
            StatusCode::NOT_FOUND => Err(Error::Missing),
            StatusCode::TOO_MANY_REQUESTS => {
                let seconds = header_number(reply.headers(), header::RETRY_AFTER);
                let after = seconds.map_or(RETRY, Duration::from_secs);
                Err(Error::Limited { after })
            }
            status if status.is_success() => {
                let bytes = header_number(reply.headers(), header::CONTENT_LENGTH).unwrap_or(0);
                Ok(Weight { bytes })
            }
            status => Err(client::status(self.address, status, b"").into()),
        }
    }
}
