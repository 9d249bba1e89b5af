//! A listener: one task for each connection, bounded, with a planned stop.
//!
//! HTTP/1 alone is served to strangers, because hyper bounds the time for its
//! head from the first byte on; telling HTTP/1 from HTTP/2 by the first bytes
//! has no such bound. Peers of the system get both.

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
    /// Answers one request. Errors are replies too.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// Which protocols a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/1.1, and HTTP/2 with prior knowledge.
    Both,
}

/// How a listener behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Which protocols it speaks.
    pub protocol: Protocol,
    /// Longest time for a request's head to arrive.
    pub head: Duration,
    /// Most connections at a time; further ones wait to be accepted.
    pub connections: usize,
    /// Time from a connection's last request on after which it is closed, if
    /// nothing is in progress on it then.
    pub idle: Option<Duration>,
    /// Longest time for which a peer may leave what was sent to it unread before its
    /// connection is cut. What waits for it takes memory, and so does whatever waits
    /// behind that.
    pub unread: Option<Duration>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            protocol: Protocol::Http1,
            head: Duration::from_secs(5),
            connections: 8_192,
            idle: None,
            unread: None,
        }
    }
}

/// HTTP/2 streams at a time on one connection. One connection carries all calls
/// from an entry to an owner, so the usual couple of hundred would let held
/// streams keep every later call waiting.
const STREAMS: u32 = 1 << 20;
/// Wait after a failed accept, such as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A bound listener that does not serve yet.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    config: Config,
}

impl Server {
    /// Binds `address`; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Those of the operating system, such as an address in use.
    pub async fn bind(address: SocketAddr, config: Config) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, config })
    }

    /// The address that is listened on.
    ///
    /// # Errors
    ///
    /// Those of the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop`, then finishes what is in progress. Dropping the
    /// future cuts every connection, as the death of the process would.
    pub async fn serve(self, handler: Arc<dyn Handler>, stop: CancellationToken) {
        let places = Arc::new(Semaphore::new(self.config.connections));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &places) => accepted,
                Some(_) = connections.join_next() => continue,
                () = stop.cancelled() => break,
            };
            let Some((stream, place)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let handler = handler.clone();
            let config = self.config.clone();
            let stop = stop.clone();
            connections.spawn(async move {
                converse(stream, handler, &config, stop).await;
                drop(place);
            });
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let place = places.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, place)),
        Err(error) => {
            tracing::warn!(event = "accept_failed", %error);
            None
        }
    }
}

/// Waits until no request has come for the time `idle`, or until `stop`.
async fn rested(
    mut requests: watch::Receiver<()>,
    idle: Option<Duration>,
    stop: &CancellationToken,
) {
    let idle = idle.unwrap_or(Duration::MAX);
    let quiet = async {
        while tokio::time::timeout(idle, requests.changed())
            .await
            .is_ok_and(|r| r.is_ok())
        {}
    };
    tokio::select! {
        () = quiet => {}
        () = stop.cancelled() => {}
    }
}

/// Serves one connection to its end.
async fn converse(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    config: &Config,
    stop: CancellationToken,
) {
    // Small writes carry tokens to people who wait for them.
    let _ = stream.set_nodelay(true);
    if config.unread.is_some()
        && let Err(error) = SockRef::from(&stream).set_tcp_user_timeout(config.unread)
    {
        tracing::warn!(event = "unread_not_bounded", %error,
            remedy = "see whether the system supports TCP_USER_TIMEOUT");
    }
    let (active, requests) = watch::channel(());
    let service = service_fn(move |request| {
        let handler = handler.clone();
        active.send_replace(());
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(config.head);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS);
    if config.protocol == Protocol::Http1 {
        builder = builder.http1_only();
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = rested(requests, config.idle, &stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(event = "connection_ended", %error);
    }
}
