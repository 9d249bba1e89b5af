//! A server with one task for each connection, a limit on connections and graceful
//! shutdown.
//!
//! Listeners for untrusted callers should serve HTTP/1 only: hyper's timeout for
//! reading a request's head does not cover the detection of the protocol from a
//! connection's first bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::body::Body;

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Failures are reported as error replies.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// The protocols that a server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/1.1, and HTTP/2 with prior knowledge.
    Both,
}

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// The accepted protocols.
    pub protocol: Protocol,
    /// Timeout for reading a request's head.
    pub header_timeout: Duration,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Time without a new request after which a connection is closed, once its
    /// requests in progress are completed. `None` for no limit.
    pub idle_timeout: Option<Duration>,
    /// Maximum time for which data for a peer may stay unsent or unacknowledged
    /// (`TCP_USER_TIMEOUT`) before the connection is closed. It bounds the memory
    /// used for a peer that does not read. `None` for the operating system's default.
    pub unread_timeout: Option<Duration>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            protocol: Protocol::Http1,
            header_timeout: Duration::from_secs(5),
            max_connections: 8_192,
            idle_timeout: None,
            unread_timeout: None,
        }
    }
}

/// Maximum number of concurrent streams on one HTTP/2 connection. All calls from an
/// entry to an owner share one connection, so with a usual limit of a few hundred,
/// long-lived streams would block later calls.
const MAX_CONCURRENT_STREAMS: u32 = 1 << 20;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A server that is bound to an address but does not accept connections yet.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    config: Config,
}

impl Server {
    /// Binds `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Any error of the operating system, such as an address in use.
    pub async fn bind(address: SocketAddr, config: Config) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, config })
    }

    /// The address that the server is bound to.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then completes the requests in progress.
    /// Dropping the future closes all connections immediately.
    pub async fn serve(self, handler: Arc<dyn Handler>, stop: CancellationToken) {
        let permits = Arc::new(Semaphore::new(self.config.max_connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &permits) => accepted,
                Some(_) = connections.join_next() => continue,
                () = stop.cancelled() => break,
            };
            let Some((stream, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let handler = handler.clone();
            let config = self.config.clone();
            let stop = stop.clone();
            connections.spawn(async move {
                serve_connection(stream, handler, &config, stop).await;
                drop(permit);
            });
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

/// Waits for a free connection permit, then accepts a connection. Returns `None` if
/// accepting fails.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            tracing::warn!(event = "accept_failed", %error);
            None
        }
    }
}

/// Waits until no request has started for the time `idle_timeout`, or until `stop` is
/// cancelled.
async fn wait_idle_or_stopped(
    mut requests: watch::Receiver<()>,
    idle_timeout: Option<Duration>,
    stop: &CancellationToken,
) {
    let idle_timeout = idle_timeout.unwrap_or(Duration::MAX);
    let idle_elapsed = async {
        while tokio::time::timeout(idle_timeout, requests.changed())
            .await
            .is_ok_and(|r| r.is_ok())
        {}
    };
    tokio::select! {
        () = idle_elapsed => {}
        () = stop.cancelled() => {}
    }
}

/// Serves one connection until it is closed.
async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    config: &Config,
    stop: CancellationToken,
) {
    // Streamed tokens are small writes that must not be delayed.
    let _ = stream.set_nodelay(true);
    if config.unread_timeout.is_some()
        && let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(config.unread_timeout)
    {
        tracing::warn!(event = "unread_not_bounded", %error,
            remedy = "check whether the operating system supports TCP_USER_TIMEOUT");
    }
    let (request_started, requests) = watch::channel(());
    let service = service_fn(move |request| {
        let handler = handler.clone();
        request_started.send_replace(());
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(config.header_timeout);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    if config.protocol == Protocol::Http1 {
        builder = builder.http1_only();
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_idle_or_stopped(requests, config.idle_timeout, &stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "connection_ended", %error);
    }
}
