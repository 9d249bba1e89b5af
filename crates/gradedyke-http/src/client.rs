//! A client whose errors tell whether a failed request was certainly not sent.
//!
//! A request that is not idempotent may be sent to another server only if it was
//! not sent. Only a failed connect proves that; when a connection fails later, the
//! request may have been executed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gradedyke_base::problem::Problem;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{self, Body};

/// The error of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established, so the request was not sent.
    #[error("{address} cannot be reached ({cause}); check that it runs and the address is right")]
    NotSent {
        /// The server's address.
        address: SocketAddr,
        /// Why no connection was established.
        cause: String,
    },
    /// The request cannot be sent to any server, so it was not sent.
    #[error("a request to {address} is invalid ({cause}); correct it")]
    Invalid {
        /// The server's address.
        address: SocketAddr,
        /// What is invalid.
        cause: String,
    },
    /// The connection failed; the request may have been executed.
    #[error("{address} broke off ({cause}); see its log")]
    ConnectionLost {
        /// The address that was asked.
        address: SocketAddr,
        /// What failed.
        cause: String,
    },
    /// The reply is not what was expected; the request may have been executed.
    #[error("the reply of {address} cannot be read ({cause}); check what it serves")]
    InvalidReply {
        /// The address that was asked.
        address: SocketAddr,
        /// What is wrong with the reply.
        cause: String,
    },
    /// The reply is larger than allowed; the request may have been executed.
    #[error("the reply of {address} has over {limit} bytes; ask for less")]
    ReplyTooLarge {
        /// The address that was asked.
        address: SocketAddr,
        /// The maximum size of its body, in bytes.
        limit: usize,
    },
    /// No reply arrived before the timeout; the request may have been executed.
    #[error("{address} did not answer in {} ms; see whether it is overloaded", timeout.as_millis())]
    TimedOut {
        /// The address that was asked.
        address: SocketAddr,
        /// The timeout.
        timeout: Duration,
    },
    /// The server replied with an error status.
    #[error("{address} answered {status}: {message}")]
    Status {
        /// The address that was asked.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The message of the problem, or the start of the reply's body.
        message: String,
        /// The problem in the reply's body, if it has gradedyke's error format.
        problem: Option<Box<Problem>>,
    },
}

impl Error {
    /// Whether the request was not sent, and so was certainly not executed.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent { .. } | Error::Invalid { .. })
    }

    /// The status of the reply, if there was one.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Error::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// The configuration of a client.
#[derive(Clone, Debug)]
pub struct Config {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Whether to use HTTP/2 with prior knowledge, with many streams on one
    /// connection.
    pub http2: bool,
    /// Whether to keep connections open and reuse them for later requests.
    pub reuse_connections: bool,
    /// Maximum size of a reply's head over HTTP/1, in bytes; `None` for that of the library.
    pub max_head_bytes: Option<usize>,
    /// Maximum size of a reply body that is read as a whole, in bytes.
    pub max_reply_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            http2: false,
            reuse_connections: true,
            max_head_bytes: None,
            max_reply_bytes: MAX_REPLY_BYTES,
        }
    }
}

/// Initial flow-control window of an HTTP/2 stream.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Initial flow-control window of an HTTP/2 connection. It is the largest possible,
/// so that slow readers of some streams do not block the other streams.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;

/// Default maximum size of a reply body that is read as a whole, in bytes.
pub const MAX_REPLY_BYTES: usize = 64 << 20;

/// Maximum length of the message taken from an error reply in another format, in
/// characters.
const MAX_MESSAGE_CHARS: usize = 300;

/// An HTTP client with a connection pool, which clones share.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Legacy<HttpConnector, Body>,
    max_reply_bytes: usize,
}

impl Client {
    /// Creates a client with the given configuration.
    pub fn new(config: &Config) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        let mut builder = Legacy::builder(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .http2_only(config.http2)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        if !config.reuse_connections {
            builder.pool_max_idle_per_host(0);
        }
        if let Some(max) = config.max_head_bytes {
            builder.http1_max_buf_size(max);
        }
        Self {
            inner: builder.build(connector),
            max_reply_bytes: config.max_reply_bytes,
        }
    }

    /// Sends a request and returns the reply's head with its body still to be read.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::ConnectionLost`]. A reply with an error status is not
    /// an error here.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        self.inner.request(request).await.map_err(|e| {
            let cause = error_chain(&e);
            if e.is_connect() {
                Error::NotSent { address, cause }
            } else {
                Error::ConnectionLost { address, cause }
            }
        })
    }

    /// Sends a request and reads the whole reply within `timeout`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a status other than 2xx gives [`Error::Status`].
    pub async fn send_and_read(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(HeaderMap, Bytes), Error> {
        let exchange = async {
            let reply = self.send(address, request).await?;
            let (head, incoming) = reply.into_parts();
            let bytes = read_body_up_to(address, incoming, self.max_reply_bytes).await?;
            if head.status.is_success() {
                Ok((head.headers, bytes))
            } else {
                Err(status_error(address, head.status, &bytes))
            }
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::TimedOut { address, timeout }),
        }
    }

    /// Sends `value` as JSON and reads a JSON reply within `timeout`. An empty reply
    /// is read as `null`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a status other than 2xx gives [`Error::Status`].
    pub async fn send_json<T: Serialize, U: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&T>,
        timeout: Duration,
    ) -> Result<U, Error> {
        let body = match value {
            Some(value) => body::full(serde_json::to_vec(value).map_err(|e| Error::Invalid {
                address,
                cause: e.to_string(),
            })?),
            None => body::empty(),
        };
        let request = build_request(method, address, path, body)?;
        let (_, bytes) = self.send_and_read(address, request, timeout).await?;
        let bytes: &[u8] = if bytes.is_empty() { b"null" } else { &bytes };
        serde_json::from_slice(bytes).map_err(|e| Error::InvalidReply {
            address,
            cause: e.to_string(),
        })
    }
}

/// Builds a request for `path` at `address`, with a JSON content type.
///
/// # Errors
///
/// [`Error::Invalid`] if the path is not valid in a URI.
pub fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Body,
) -> Result<Request<Body>, Error> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|e| Error::Invalid {
            address,
            cause: e.to_string(),
        })
}

/// Reads a reply's whole body.
///
/// # Errors
///
/// [`Error::ConnectionLost`] if the body ends early, [`Error::ReplyTooLarge`] if it is longer than
/// [`MAX_REPLY_BYTES`].
pub async fn read_body(address: SocketAddr, incoming: Incoming) -> Result<Bytes, Error> {
    read_body_up_to(address, incoming, MAX_REPLY_BYTES).await
}

/// Reads a reply's whole body of at most `limit` bytes.
async fn read_body_up_to(
    address: SocketAddr,
    incoming: Incoming,
    limit: usize,
) -> Result<Bytes, Error> {
    let limited = http_body_util::Limited::new(incoming, limit);
    let collected = limited.collect().await.map_err(|e| {
        if e.is::<LengthLimitError>() {
            return Error::ReplyTooLarge { address, limit };
        }
        let cause = e.to_string();
        Error::ConnectionLost { address, cause }
    })?;
    Ok(collected.to_bytes())
}

/// Returns the error for a reply with an error status and the given body.
pub fn status_error(address: SocketAddr, status: StatusCode, bytes: &[u8]) -> Error {
    let problem = Problem::parse_body(bytes).map(Box::new);
    let message = match &problem {
        Some(problem) => problem.message.clone(),
        None => String::from_utf8_lossy(bytes)
            .chars()
            .take(MAX_MESSAGE_CHARS)
            .collect(),
    };
    Error::Status {
        address,
        status,
        message,
        problem,
    }
}

/// Formats an error and its causes in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
