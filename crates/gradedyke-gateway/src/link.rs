//! Connection pool for one backend server.
//!
//! For a failed request it matters whether the server may have run it. It is certain that the
//! server has not run it only if connecting failed, or if the connection closed before it
//! accepted the request.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Connect timeout. A hundred times the latency to any server. A lost SYN is sent again only after
/// a second, and another server is better than waiting for that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connect timeout of a check whether a server has ended. Callers come back after 100 ms and have
/// to be recognized then.
const CHECK_TIMEOUT: Duration = Duration::from_millis(80);
/// How long a new connection must stay open in such a check. While a process ends, the system may
/// close its connections before the socket on which it accepts others.
const CLOSE_WAIT: Duration = Duration::from_millis(15);
/// How long sent data may stay unacknowledged (`TCP_USER_TIMEOUT`). Detects a server that is
/// powered off or disconnected. A slow server keeps its connection, because its kernel
/// acknowledges the data, unless its receive buffer stays full for this long. Leaves time for
/// three retransmissions.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection that is used for a request which must not run twice. If the
/// server closes an idle connection while the request is sent, the request may have run. Servers
/// in use close idle connections after 1.5 s or more.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(900);
/// Maximum idle time of a connection that is used for a repeatable request. It may exceed
/// the server's idle timeout: if the server closes the connection, the request is repeated.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_millis(4_000);
/// A connection is no longer used when less than this is left until the server's idle timeout,
/// to allow for network latency and short stalls of either side.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(300);
/// Maximum size of a response head and of what is read ahead of a body, in bytes. A server that
/// sends a longer head fails its own request.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// A request body.
pub type Body = Full<Bytes>;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("cannot reach backend server {0}: {1}; check that it is running")]
    NotSent(SocketAddr, String),
    /// The request was sent and may have run.
    #[error(
        "connection to backend server {0} failed: {1}; the request may have run, check the server's log"
    )]
    Interrupted(SocketAddr, String),
}

struct IdleConnection {
    sender: SendRequest<Body>,
    idle_since: Instant,
    /// The server's idle timeout less [`IDLE_TIMEOUT_MARGIN`]; [`MAX_IDLE_REPEATABLE`] if
    /// unknown.
    max_idle: Duration,
}

impl IdleConnection {
    fn is_usable(&self, is_repeatable: bool, now: Instant) -> bool {
        let max_idle = if is_repeatable {
            MAX_IDLE_REPEATABLE
        } else {
            MAX_IDLE_NON_REPEATABLE
        };
        now.saturating_duration_since(self.idle_since) < max_idle.min(self.max_idle)
    }
}

/// Disables Nagle's algorithm and sets the timeouts that detect a lost peer.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Whether a new connection is still open after [`CLOSE_WAIT`].
async fn stays_open(stream: &TcpStream) -> bool {
    let closed = async {
        loop {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut [0; 1]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
                // It sends unasked, but it is there.
                Ok(_) => std::future::pending().await,
            }
        }
    };
    tokio::time::timeout(CLOSE_WAIT, closed).await.is_err()
}

/// Idle connections to one backend server; opens new ones as needed.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    /// Result of the last [check](Pool::is_listening) and when it began.
    last_check: tokio::sync::Mutex<Option<(Instant, bool)>>,
}

/// A connection in use. Dropping it closes the connection and cancels the request on it;
/// [`Pool::put_back`] returns it to the pool instead.
pub struct Connection {
    sender: SendRequest<Body>,
    /// Whether the connection has carried an earlier request.
    pub is_reused: bool,
}

impl Pool {
    /// Creates an empty pool for the server at `address`; connects nothing yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            last_check: tokio::sync::Mutex::default(),
        }
    }

    /// Whether the server accepts connections, after one to it broke at `broken_at`. One check
    /// serves all connections that broke before it.
    pub async fn is_listening(&self, broken_at: Instant) -> bool {
        let mut last_check = self.last_check.lock().await;
        if let Some((at, is_listening)) = *last_check
            && at >= broken_at
        {
            return is_listening;
        }
        let started_at = Instant::now();
        let connect = TcpStream::connect(self.address);
        let is_listening = match tokio::time::timeout(CHECK_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stays_open(&stream).await,
            _ => false,
        };
        *last_check = Some((started_at, is_listening));
        is_listening
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Locks the idle connections and drops the expired ones.
    fn lock_idle(&self, now: Instant) -> MutexGuard<'_, Vec<IdleConnection>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|c| c.is_usable(true, now) && !c.sender.is_closed());
        idle
    }

    /// Whether there is an idle connection that a request could use.
    pub fn has_idle_connection(&self, is_repeatable: bool, now: Instant) -> bool {
        let idle = self.lock_idle(now);
        idle.iter()
            .any(|c| c.is_usable(is_repeatable, now) && c.sender.is_ready())
    }

    fn take_idle(&self, is_repeatable: bool, now: Instant) -> Option<Connection> {
        let mut idle = self.lock_idle(now);
        let is_usable = |c: &IdleConnection| c.is_usable(is_repeatable, now) && c.sender.is_ready();
        let index = idle.iter().rposition(is_usable)?;
        let sender = idle.swap_remove(index).sender;
        Some(Connection {
            sender,
            is_reused: true,
        })
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let not_sent = |cause: String| Error::NotSent(self.address, cause);
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connect
            .map_err(|_| not_sent("connect timed out".to_owned()))?
            .map_err(|e| not_sent(e.to_string()))?;
        set_socket_options(&stream).map_err(|e| not_sent(e.to_string()))?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|e| not_sent(e.to_string()))?;
        metrics::counter!("gradedyke_backend_connections_total").increment(1);
        let address = self.address;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "backend_connection_ended", %address, %error);
            }
        });
        Ok(Connection {
            sender,
            is_reused: false,
        })
    }

    /// Sends a request on an idle connection or a new one, and waits for the head of the
    /// response. `is_repeatable` decides how long a connection may have been idle.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request certainly has not run, [`Error::Interrupted`] if it may
    /// have.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        is_repeatable: bool,
        now: Instant,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        if let Some(mut connection) = self.take_idle(is_repeatable, now) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut failed) => match failed.take_message() {
                    // The connection closed before it accepted the request.
                    Some(unsent) => request = unsent,
                    None => {
                        return Err(Error::Interrupted(self.address, failed.error().to_string()));
                    }
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut failed) => {
                let sent = failed.take_message().is_none();
                let cause = failed.error().to_string();
                Err(if sent {
                    Error::Interrupted(self.address, cause)
                } else {
                    Error::NotSent(self.address, cause)
                })
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end. `idle_timeout`
    /// is that of the server, if known.
    pub fn put_back(&self, connection: Connection, idle_timeout: Option<Duration>, now: Instant) {
        let max_idle = idle_timeout.map_or(MAX_IDLE_REPEATABLE, |t| {
            t.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let mut idle = self.lock_idle(now);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(IdleConnection {
                sender: connection.sender,
                idle_since: now,
                max_idle,
            });
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}
