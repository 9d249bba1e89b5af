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
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::inbox::{Inbox, Message};
use crate::outbox::Outbox;
use crate::{MAX_MESSAGE_BYTES, frame, sleep_until};

/// Timeout for connecting. The operating system retransmits a lost SYN packet only
/// after a second, so new attempts connect sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which further connection attempts start while none has been answered.
/// They reach an instance that has just started before the SYN packet is
/// retransmitted.
const CONNECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(40);
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
    /// The request has this size, which is over [`MAX_MESSAGE_BYTES`]; it was not sent.
    #[error("a request of {1} bytes to {0} is too large and was not sent; split it")]
    RequestTooLarge(SocketAddr, u64),
    /// The reply has this size, which is over [`MAX_MESSAGE_BYTES`]; the call has taken effect.
    #[error("the reply of {0} has {1} bytes, which is too large to be sent; ask for less")]
    ReplyTooLarge(SocketAddr, u64),
}

impl Error {
    /// Whether a message was too large. The peer is reachable, and repeating the call gives the
    /// same error.
    ///
    /// ```
    /// use gradedyke_peer::Error;
    ///
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// assert!(Error::ReplyTooLarge(address, 1 << 30).is_too_large());
    /// assert!(!Error::Unreachable(address).is_too_large());
    /// ```
    pub fn is_too_large(&self) -> bool {
        matches!(self, Error::RequestTooLarge(..) | Error::ReplyTooLarge(..))
    }
}

/// A point in time that is shared between threads and only moves forward.
struct SharedInstant {
    start: Instant,
    /// Microseconds from `start`.
    us: AtomicU64,
}

impl SharedInstant {
    fn new(start: Instant) -> Self {
        Self {
            start,
            us: AtomicU64::new(0),
        }
    }

    fn advance_to(&self, to: Instant) {
        let us = to.saturating_duration_since(self.start).as_micros();
        self.us
            .fetch_max(u64::try_from(us).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    fn get(&self) -> Instant {
        self.start + Duration::from_micros(self.us.load(Ordering::Relaxed))
    }
}

struct Call {
    body: Bytes,
    reply: oneshot::Sender<Result<Bytes, Error>>,
    timeout: Duration,
    /// Extended whenever a fragment of the request or the reply is transferred.
    deadline: Arc<SharedInstant>,
}

impl Call {
    /// Restarts the timeout at `now`.
    fn extend(&self, now: Instant) {
        self.deadline.advance_to(now + self.timeout);
    }
}

/// A client of one peer. Clones share the connection, which is closed when the last
/// clone is dropped.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
    down: Arc<AtomicBool>,
    last_reply: Arc<SharedInstant>,
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
        let last_reply = Arc::new(SharedInstant::new(Instant::now()));
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
        self.last_reply.get()
    }

    /// Makes a call and waits at most `timeout` for its reply. While a large request or reply is
    /// transferred, the timeout restarts with each of its fragments.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::RequestTooLarge`] if the call was not sent; after any
    /// other error it may have taken effect.
    pub async fn call(&self, body: Bytes, timeout: Duration) -> Result<Bytes, Error> {
        if body.len() > MAX_MESSAGE_BYTES {
            metrics::counter!("gradedyke_messages_too_large_total", "kind" => "request")
                .increment(1);
            return Err(Error::RequestTooLarge(self.address, body.len() as u64));
        }
        let (reply, answer) = oneshot::channel();
        let now = Instant::now();
        let deadline = Arc::new(SharedInstant::new(now));
        deadline.advance_to(now + timeout);
        let call = Call {
            body,
            reply,
            timeout,
            deadline: deadline.clone(),
        };
        let exchange = async {
            let sent = self.calls.send(call).await;
            sent.map_err(|_| Error::Unreachable(self.address))?;
            answer
                .await
                .map_err(|_| Error::ConnectionLost(self.address))?
        };
        tokio::pin!(exchange);
        loop {
            let until = deadline.get();
            match tokio::time::timeout_at(until, &mut exchange).await {
                Ok(result) => return result,
                Err(_) if deadline.get() > until => {}
                Err(_) => return Err(Error::TimedOut(self.address, timeout)),
            }
        }
    }
}

/// The task that connects to a peer and sends queued calls.
struct Connection {
    address: SocketAddr,
    queue: mpsc::Receiver<Call>,
    down: Arc<AtomicBool>,
    last_reply: Arc<SharedInstant>,
}

impl Connection {
    async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.address));
            match connect.await {
                Ok(Ok(stream)) => {
                    self.set_down(false);
                    let mut session = Session::new(Instant::now());
                    let result = self.exchange(stream, first, &mut session).await;
                    if let Err(error) = result {
                        tracing::info!(event = "peer_lost", peer = %self.address, %error,
                            pending = session.pending.len());
                        self.set_down(true);
                    }
                    for (_, call) in session.pending {
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
    /// dead, or the client is dropped. Replies are read while requests are written, so that
    /// neither side waits for the other to read.
    async fn exchange(
        &mut self,
        stream: TcpStream,
        first: Call,
        session: &mut Session,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut replies = FramedRead::new(reader, frame::codec());
        let mut next = Some(first);
        loop {
            let now = Instant::now();
            while let Some(call) = next.take() {
                session.send(call, now);
                if !session.outbox.is_full() {
                    next = self.queue.try_recv().ok();
                }
            }
            if session.outbox.write(&writer, now)? {
                session.note_written(now);
            }
            tokio::select! {
                reply = replies.next() => {
                    let Some(reply) = reply else {
                        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                    };
                    let now = Instant::now();
                    self.last_reply.advance_to(now);
                    session.receive(reply?, self.address, now)?;
                }
                call = self.queue.recv(), if !session.outbox.is_full() => {
                    let Some(call) = call else { return Ok(()) };
                    next = Some(call);
                }
                writable = writer.writable(), if !session.outbox.is_empty() => writable?,
                () = sleep_until(session.wakes_at()) => session.remove_expired(Instant::now())?,
            }
        }
    }
}

/// The calls on one connection.
struct Session {
    /// Number of the last call.
    number: u64,
    pending: HashMap<u64, Call>,
    outbox: Outbox,
    inbox: Inbox,
    /// When a reply arrived, or a fragment of a request was accepted.
    active_at: Instant,
}

impl Session {
    fn new(now: Instant) -> Self {
        Self {
            number: 0,
            pending: HashMap::new(),
            outbox: Outbox::new(now),
            inbox: Inbox::default(),
            active_at: now,
        }
    }

    /// Queues the request of a call.
    fn send(&mut self, mut call: Call, now: Instant) {
        self.number += 1;
        let body = std::mem::take(&mut call.body);
        self.outbox.push(self.number, body, now);
        self.pending.insert(self.number, call);
    }

    /// Restarts the timeout of the call whose large request is being written.
    fn note_written(&mut self, now: Instant) {
        let Some(number) = self.outbox.large_in_progress() else {
            return;
        };
        self.active_at = now;
        if let Some(call) = self.pending.get(&number) {
            call.extend(now);
        }
    }

    /// Adds a received frame and delivers the reply that it completes.
    fn receive(&mut self, frame: BytesMut, peer: SocketAddr, now: Instant) -> io::Result<()> {
        self.active_at = now;
        let (pending, inbox) = (&self.pending, &mut self.inbox);
        let (number, message) = inbox.receive(frame, |number| pending.contains_key(&number))?;
        if number > self.number {
            // No call had this number yet.
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let Some(message) = message else {
            if let Some(call) = self.pending.get(&number) {
                call.extend(now);
            }
            return Ok(());
        };
        let Some(call) = self.pending.remove(&number) else {
            return Ok(());
        };
        let result = match message {
            Message::Whole(body) => Ok(body),
            Message::TooLarge(size) => Err(Error::ReplyTooLarge(peer, size)),
        };
        // Sending fails if the caller has stopped waiting.
        let _: Result<(), _> = call.reply.send(result);
        Ok(())
    }

    /// Returns the earliest time at which a call expires or the connection stalls.
    fn wakes_at(&self) -> Option<Instant> {
        let deadlines = self.pending.values().map(|c| c.deadline.get());
        deadlines.chain(self.outbox.stalls_at()).min()
    }

    /// Removes calls whose deadline has passed. Fails if one of them expired after the
    /// connection had been silent for [`SILENCE_TIMEOUT`]: the connection is then
    /// considered dead.
    fn remove_expired(&mut self, now: Instant) -> io::Result<()> {
        let deadlines = self.pending.values().map(|c| c.deadline.get());
        // Long-polling calls are answered before their deadline, so an expired call
        // means that its reply is overdue.
        let is_silent = deadlines
            .filter(|deadline| *deadline <= now)
            .max()
            .is_some_and(|deadline| self.active_at + SILENCE_TIMEOUT <= deadline);
        self.pending.retain(|_, call| call.deadline.get() > now);
        if is_silent {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(())
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

/// Time without replies after which a connection with an expired call is considered
/// dead. It must be longer than a disk sync and shorter than the timeout of a call.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
