//! The calling side. One task for each peer connects on the first call.
//!
//! A dead connection and a slow peer look alike, so when a call times out and
//! no reply to any call has arrived for some time, the connection is closed.
//! The next call opens a new one.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::FuturesUnordered;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{codec, decode_frame, encode_frame};

/// Timeout for connecting. The operating system retransmits a lost SYN packet only
/// after a second, so new attempts connect sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which further connection attempts start while none has been answered.
/// They reach an instance that has just started before the SYN packet is
/// retransmitted.
const CONNECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout for writing queued requests to the connection.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of calls queued for the connection.
const QUEUE_CAPACITY: usize = 1_024;

/// The error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is no connection; the call was not sent.
    #[error("{0} cannot be reached; check that it is running and the network connection to it")]
    Unreachable(SocketAddr),
    /// The connection was lost; the call may have taken effect.
    #[error("the connection to {0} was lost; the call may have taken effect, retry it")]
    ConnectionLost(SocketAddr),
    /// No reply arrived before the timeout; the call may have taken effect.
    #[error("{0} did not reply within {1:?}; the call may have taken effect, retry it")]
    TimedOut(SocketAddr, Duration),
}

/// The time at which the last reply arrived, shared between threads.
struct LastReply {
    start: Instant,
    /// Milliseconds from `start` to the last reply.
    ms: AtomicU64,
}

impl LastReply {
    fn record(&self, now: Instant) {
        let ms = now.saturating_duration_since(self.start).as_millis();
        self.ms
            .store(u64::try_from(ms).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    fn time(&self) -> Instant {
        self.start + Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }
}

struct Call {
    body: Bytes,
    reply: oneshot::Sender<Result<Bytes, Error>>,
    deadline: Instant,
}

/// A client of one peer. Clones share the connection, which is closed when the last
/// clone is dropped.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
    down: Arc<AtomicBool>,
    last_reply: Arc<LastReply>,
    _task: Arc<DropGuard>,
}

impl Client {
    /// Creates a client of the peer at `address`, which connects on the first
    /// call.
    ///
    /// # Panics
    ///
    /// When called outside of a tokio runtime.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let client = gradedyke_peer::Client::new("127.0.0.1:9".parse().unwrap());
    /// let time = std::time::Duration::from_secs(1);
    /// assert!(client.call("hello".into(), time).await.is_err());
    /// # });
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let (calls, queue) = mpsc::channel(QUEUE_CAPACITY);
        let stop = CancellationToken::new();
        let down = Arc::new(AtomicBool::new(false));
        let last_reply = Arc::new(LastReply {
            start: Instant::now(),
            ms: AtomicU64::new(0),
        });
        let connection = Connection {
            address,
            queue,
            down: down.clone(),
            last_reply: last_reply.clone(),
        };
        let token = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = connection.run() => {}
                () = token.cancelled() => {}
            }
        });
        Self {
            address,
            calls,
            down,
            last_reply,
            _task: Arc::new(stop.drop_guard()),
        }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the last connection was lost or the last attempt to connect failed.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// When the last reply to any call arrived, or when the client was created if
    /// there was none. A peer that replied recently is reachable, even if one call
    /// to it has timed out.
    pub fn last_reply_at(&self) -> Instant {
        self.last_reply.time()
    }

    /// Makes a call and waits at most `timeout` for its reply.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the call was not sent; after any other error it
    /// may have taken effect.
    pub async fn call(&self, body: Bytes, timeout: Duration) -> Result<Bytes, Error> {
        let (reply, answer) = oneshot::channel();
        let deadline = Instant::now() + timeout;
        let call = Call {
            body,
            reply,
            deadline,
        };
        let exchange = async {
            let sent = self.calls.send(call).await;
            sent.map_err(|_| Error::Unreachable(self.address))?;
            answer
                .await
                .map_err(|_| Error::ConnectionLost(self.address))?
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::TimedOut(self.address, timeout)),
        }
    }
}

/// The task that connects to a peer and sends queued calls.
struct Connection {
    address: SocketAddr,
    queue: mpsc::Receiver<Call>,
    down: Arc<AtomicBool>,
    last_reply: Arc<LastReply>,
}

impl Connection {
    async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.address));
            match connect.await {
                Ok(Ok(stream)) => {
                    self.set_down(false);
                    let mut pending = HashMap::new();
                    let result = self.exchange(stream, first, &mut pending).await;
                    if let Err(error) = result {
                        tracing::info!(event = "peer_lost", peer = %self.address, %error,
                            pending = pending.len());
                        self.set_down(true);
                    }
                    for (_, call) in pending {
                        // Sending fails if the caller has stopped waiting.
                        let _: Result<(), _> =
                            call.reply.send(Err(Error::ConnectionLost(self.address)));
                    }
                }
                _ => {
                    self.set_down(true);
                    self.fail_queued(first);
                }
            }
        }
    }

    /// Records whether the peer is down and logs a change.
    fn set_down(&self, down: bool) {
        if self.down.swap(down, Ordering::Relaxed) == down {
            return;
        }
        let event = if down { "peer_down" } else { "peer_up" };
        tracing::info!(event, peer = %self.address);
    }

    /// Fails `first` and all queued calls with [`Error::Unreachable`].
    fn fail_queued(&mut self, first: Call) {
        let mut failed = vec![first];
        while let Ok(call) = self.queue.try_recv() {
            failed.push(call);
        }
        for call in failed {
            // Sending fails if the caller has stopped waiting.
            let _: Result<(), _> = call.reply.send(Err(Error::Unreachable(self.address)));
        }
    }

    /// Sends calls and delivers replies until the connection fails, is considered
    /// dead, or the client is dropped.
    async fn exchange(
        &mut self,
        stream: TcpStream,
        first: Call,
        pending: &mut HashMap<u64, Call>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut replies = FramedRead::new(reader, codec());
        let mut requests = FramedWrite::new(writer, codec());
        let mut last_reply = Instant::now();
        let mut number = 0;
        let mut next = Some(first);
        loop {
            while let Some(call) = next.take() {
                number += 1;
                requests.feed(encode_frame(number, &call.body)).await?;
                pending.insert(number, call);
                next = self.queue.try_recv().ok();
            }
            let flushed =
                tokio::time::timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut requests)).await;
            flushed.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            let deadline = pending.values().map(|c| c.deadline).min();
            tokio::select! {
                frame = replies.next() => {
                    let Some(frame) = frame else {
                        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                    };
                    last_reply = Instant::now();
                    self.last_reply.record(last_reply);
                    deliver_reply(pending, frame?)?;
                }
                call = self.queue.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    next = Some(call);
                }
                () = sleep_until(deadline) => remove_expired(pending, last_reply)?,
            }
        }
    }
}

/// Starts connection attempts at intervals and returns the result of the first one
/// that is accepted or refused.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        let result = tokio::time::timeout(CONNECT_ATTEMPT_INTERVAL, attempts.next()).await;
        if let Ok(Some(result)) = result {
            return result;
        }
    }
}

/// Sleeps until `deadline`, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Passes a reply to the caller that is waiting for it.
fn deliver_reply(pending: &mut HashMap<u64, Call>, frame: BytesMut) -> io::Result<()> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (number, body) = decode_frame(frame).ok_or_else(invalid)?;
    if let Some(call) = pending.remove(&number) {
        // Sending fails if the caller has stopped waiting.
        let _: Result<(), _> = call.reply.send(Ok(body));
    }
    Ok(())
}

/// Removes calls whose deadline has passed. Fails if one of them expired after the
/// connection had been silent for [`SILENCE_TIMEOUT`]: the connection is then
/// considered dead.
fn remove_expired(pending: &mut HashMap<u64, Call>, last_reply: Instant) -> io::Result<()> {
    let now = Instant::now();
    let expired = pending.values().filter(|c| c.deadline <= now);
    // Long-polling calls are answered before their deadline, so an expired call
    // means that its reply is overdue.
    let is_silent = expired
        .map(|c| c.deadline)
        .max()
        .is_some_and(|deadline| last_reply + SILENCE_TIMEOUT <= deadline);
    pending.retain(|_, call| call.deadline > now);
    if is_silent {
        return Err(io::Error::from(io::ErrorKind::TimedOut));
    }
    Ok(())
}

/// Time without replies after which a connection with an expired call is considered
/// dead. It must be longer than a disk sync and shorter than the timeout of a call.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
