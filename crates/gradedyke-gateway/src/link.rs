//! Connections to one backend server.
//!
//! What matters about a failed request is whether the server may have run it.
//! Only a connect that failed, or a connection that closed before it took the
//! request, says for certain that it did not.

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

/// Longest time for a connect: a hundred times the way to any server here; a
/// lost opening packet is sent again after a second, and another server is
/// better than waiting for that.
const CONNECT: Duration = Duration::from_millis(300);
/// Longest time for which sent bytes may stay unacknowledged. A server that was
/// cut off or lost power says nothing, and requests to it would wait for their
/// whole time. Three tries of the system to send a packet again fit in. Acknowledgements
/// come from the server's system, so a slow server keeps its connection while that has
/// room for the bytes; one that takes in nothing for so long with its buffer full is given
/// up like one that is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);
/// Silence after which the server's system is asked whether it is still there, and
/// the wait before it is asked again: the shortest that sockets allow.
const PROBE: Duration = Duration::from_secs(1);
/// Longest rest of a connection that is used for a request which must not run
/// twice. Servers in use close theirs after 1.5 s and more, and a request that
/// meets the closing may have run.
const REST: Duration = Duration::from_millis(900);
/// The same for a request that may be repeated. Longer than nearly all rests
/// that servers allow, for their closing is seen.
const REST_REPEATABLE: Duration = Duration::from_millis(4_000);
/// How long before the end of the rest that a server allows a connection is no
/// longer used: the way there, with a slow moment of either side.
const REST_MARGIN: Duration = Duration::from_millis(300);
/// Connections that rest at a time. More than a burst needs are closed.
const RESTING: usize = 16;

/// A request body.
pub type Body = Full<Bytes>;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was sent.
    #[error("{0} cannot be reached ({1}); see whether it runs")]
    NotSent(SocketAddr, String),
    /// It was sent, and may have run.
    #[error("{0} broke off ({1}); the request may have run, see its log")]
    Broken(SocketAddr, String),
}

struct Resting {
    sender: SendRequest<Body>,
    since: Instant,
    /// How long the server lets it rest.
    idle: Duration,
}

impl Resting {
    fn usable(&self, repeatable: bool, now: Instant) -> bool {
        let rest = if repeatable { REST_REPEATABLE } else { REST };
        now.saturating_duration_since(self.since) < rest.min(self.idle)
    }
}

/// Has a connection send at once, and break when the other side is gone.
fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
    socket.set_tcp_keepalive(&keepalive)
}

/// The connections to one server.
pub struct Pool {
    address: SocketAddr,
    resting: Mutex<Vec<Resting>>,
}

/// A connection in use. It is closed when this is dropped without
/// [`Pool::rest`], which also cancels the request on it.
pub struct Link {
    sender: SendRequest<Body>,
    /// Whether it has carried a request before.
    pub used: bool,
}

impl Pool {
    /// Connections to the server at `address`; none is made yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            resting: Mutex::default(),
        }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn resting(&self, now: Instant) -> MutexGuard<'_, Vec<Resting>> {
        let mut resting = self.resting.lock().unwrap_or_else(PoisonError::into_inner);
        resting.retain(|r| r.usable(true, now) && !r.sender.is_closed());
        resting
    }

    /// Whether a connection rests that a request could use.
    pub fn warm(&self, repeatable: bool, now: Instant) -> bool {
        let resting = self.resting(now);
        resting
            .iter()
            .any(|r| r.usable(repeatable, now) && r.sender.is_ready())
    }

    fn take(&self, repeatable: bool, now: Instant) -> Option<Link> {
        let mut resting = self.resting(now);
        let usable = |r: &Resting| r.usable(repeatable, now) && r.sender.is_ready();
        let place = resting.iter().rposition(usable)?;
        let sender = resting.swap_remove(place).sender;
        Some(Link { sender, used: true })
    }

    async fn connect(&self) -> Result<Link, Error> {
        let not_sent = |cause: String| Error::NotSent(self.address, cause);
        let connect = tokio::time::timeout(CONNECT, TcpStream::connect(self.address)).await;
        let stream = connect
            .map_err(|_| not_sent("no answer to the connect".to_owned()))?
            .map_err(|e| not_sent(e.to_string()))?;
        tune(&stream).map_err(|e| not_sent(e.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        metrics::counter!("gradedyke_backend_connections_total").increment(1);
        let address = self.address;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "backend_connection_ended", %address, %error);
            }
        });
        Ok(Link {
            sender,
            used: false,
        })
    }

    /// Sends a request on a resting connection or a new one, and waits for the
    /// head of the answer. Whether it is `repeatable` decides how long a
    /// connection may have rested.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] when it certainly has not run.
    pub async fn send(
        &self,
        mut request: Request<Body>,
        repeatable: bool,
        now: Instant,
    ) -> Result<(Response<Incoming>, Link), Error> {
        if let Some(mut link) = self.take(repeatable, now) {
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, link)),
                Err(mut failed) => match failed.take_message() {
                    // The connection closed before it took the request.
                    Some(back) => request = back,
                    None => {
                        return Err(Error::Broken(self.address, failed.error().to_string()));
                    }
                },
            }
        }
        let mut link = self.connect().await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, link)),
            Err(mut failed) => {
                let sent = failed.take_message().is_none();
                let cause = failed.error().to_string();
                Err(if sent {
                    Error::Broken(self.address, cause)
                } else {
                    Error::NotSent(self.address, cause)
                })
            }
        }
    }

    /// Keeps a connection for the next request, after an answer that was read
    /// to its end. `idle` is how long the server lets it rest.
    pub fn rest(&self, link: Link, idle: Option<Duration>, now: Instant) {
        let idle = idle.map_or(REST_REPEATABLE, |i| i.saturating_sub(REST_MARGIN));
        let mut resting = self.resting(now);
        if resting.len() < RESTING && !link.sender.is_closed() {
            resting.push(Resting {
                sender: link.sender,
                since: now,
                idle,
            });
        }
    }

    /// Closes all connections that rest.
    pub fn clear(&self) {
        self.resting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}
