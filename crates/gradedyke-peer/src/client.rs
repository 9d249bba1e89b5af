//! The calling side: one task for each peer, which connects when it is needed.
//!
//! A connection that went silent cannot be told from one to a slow peer, so a
//! call that times out while nothing at all arrived gives the connection up;
//! the next call opens a new one.

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

use crate::{codec, join, split};

/// Longest time for a connect. Peers are milliseconds away; a lost opening
/// packet is sent again by the system after a second, too late for a turn, and
/// a peer that is just starting is met sooner by trying anew.
const CONNECT: Duration = Duration::from_millis(150);
/// Time after which another opening packet is sent beside one without an answer. An
/// instance without power takes none, and the system sends the next only after a
/// second; one that has just got power is met within that time.
const AGAIN: Duration = Duration::from_millis(40);
/// Longest time in which a connection takes no bytes before it is given up.
const SEND: Duration = Duration::from_millis(500);
/// Calls that may wait for the connection.
const QUEUE: usize = 1_024;

/// What a call fails with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection: the call has not reached the peer.
    #[error("{0} cannot be reached; see whether it runs and the network to it")]
    Unreachable(SocketAddr),
    /// The connection broke; the call may have taken effect.
    #[error("the connection to {0} broke; the call may have taken effect, ask again")]
    Broken(SocketAddr),
    /// No reply in time; the call may have taken effect.
    #[error("{0} did not answer in {1:?}; the call may have taken effect, ask again")]
    TimedOut(SocketAddr, Duration),
}

/// When the last reply arrived.
struct Heard {
    base: Instant,
    /// Milliseconds since `base`.
    ms: AtomicU64,
}

impl Heard {
    fn note(&self, now: Instant) {
        let ms = now.saturating_duration_since(self.base).as_millis();
        self.ms
            .store(u64::try_from(ms).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    fn at(&self) -> Instant {
        self.base + Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }
}

struct Call {
    body: Bytes,
    reply: oneshot::Sender<Result<Bytes, Error>>,
    until: Instant,
}

/// Calls one peer. Clones share the connection, which ends with the last one.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
    down: Arc<AtomicBool>,
    heard: Arc<Heard>,
    _task: Arc<DropGuard>,
}

impl Client {
    /// A client of the peer at `address`. It connects with the first call and
    /// must be made within a tokio runtime.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let client = gradedyke_peer::Client::new("127.0.0.1:9".parse().unwrap());
    /// let time = std::time::Duration::from_secs(1);
    /// assert!(client.call("hello".into(), time).await.is_err());
    /// # });
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        let (calls, queue) = mpsc::channel(QUEUE);
        let stop = CancellationToken::new();
        let down = Arc::new(AtomicBool::new(false));
        let heard = Arc::new(Heard {
            base: Instant::now(),
            ms: AtomicU64::new(0),
        });
        let link = Link {
            address,
            queue,
            down: down.clone(),
            heard: heard.clone(),
        };
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = link.run() => {}
                () = stopped.cancelled() => {}
            }
        });
        Self {
            address,
            calls,
            down,
            heard,
            _task: Arc::new(stop.drop_guard()),
        }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the last try to reach the peer failed.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// When the last reply arrived: a peer that answers others is slow, not cut
    /// off.
    pub fn heard(&self) -> Instant {
        self.heard.at()
    }

    /// Makes a call and waits for its reply for at most `time`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] when nothing was sent, otherwise the call may
    /// have taken effect.
    pub async fn call(&self, body: Bytes, time: Duration) -> Result<Bytes, Error> {
        let (reply, answer) = oneshot::channel();
        let until = Instant::now() + time;
        let call = Call { body, reply, until };
        let exchange = async {
            let sent = self.calls.send(call).await;
            sent.map_err(|_| Error::Unreachable(self.address))?;
            answer.await.map_err(|_| Error::Broken(self.address))?
        };
        match tokio::time::timeout_at(until, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::TimedOut(self.address, time)),
        }
    }
}

struct Link {
    address: SocketAddr,
    queue: mpsc::Receiver<Call>,
    down: Arc<AtomicBool>,
    heard: Arc<Heard>,
}

impl Link {
    async fn run(mut self) {
        while let Some(first) = self.queue.recv().await {
            let connect = tokio::time::timeout(CONNECT, connect(self.address));
            match connect.await {
                Ok(Ok(stream)) => {
                    self.change(false);
                    let mut pending = HashMap::new();
                    let ended = self.exchange(stream, first, &mut pending).await;
                    if let Err(error) = ended {
                        tracing::info!(event = "peer_lost", peer = %self.address, %error,
                            pending = pending.len());
                        self.change(true);
                    }
                    for (_, call) in pending {
                        // A caller that has stopped waiting needs no reply.
                        let _: Result<(), _> = call.reply.send(Err(Error::Broken(self.address)));
                    }
                }
                _ => {
                    self.change(true);
                    self.refuse(first);
                }
            }
        }
    }

    /// Notes whether the peer is reached, with a line when that changes.
    fn change(&self, down: bool) {
        if self.down.swap(down, Ordering::Relaxed) == down {
            return;
        }
        let event = if down { "peer_down" } else { "peer_up" };
        tracing::info!(event, peer = %self.address);
    }

    fn refuse(&mut self, first: Call) {
        let mut waiting = vec![first];
        while let Ok(call) = self.queue.try_recv() {
            waiting.push(call);
        }
        for call in waiting {
            // A caller that has stopped waiting needs no reply.
            let _: Result<(), _> = call.reply.send(Err(Error::Unreachable(self.address)));
        }
    }

    /// Carries calls until the connection breaks or went silent.
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
        let mut heard = Instant::now();
        let mut number = 0;
        let mut next = Some(first);
        loop {
            while let Some(call) = next.take() {
                number += 1;
                requests.feed(join(number, &call.body)).await?;
                pending.insert(number, call);
                next = self.queue.try_recv().ok();
            }
            let flushed = tokio::time::timeout(SEND, SinkExt::<Bytes>::flush(&mut requests)).await;
            flushed.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            let until = pending.values().map(|c| c.until).min();
            tokio::select! {
                frame = replies.next() => {
                    let Some(frame) = frame else {
                        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                    };
                    heard = Instant::now();
                    self.heard.note(heard);
                    settle(pending, frame?)?;
                }
                call = self.queue.recv() => {
                    let Some(call) = call else { return Ok(()) };
                    next = Some(call);
                }
                () = sleep_until(until) => expire(pending, heard)?,
            }
        }
    }
}

/// Connects by whichever try succeeds first; each begins when the one before has
/// been without an answer for a while. A refusal is an answer.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut tries = FuturesUnordered::new();
    loop {
        tries.push(TcpStream::connect(address));
        let answer = tokio::time::timeout(AGAIN, tries.next()).await;
        if let Ok(Some(answer)) = answer {
            return answer;
        }
    }
}

async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

fn settle(pending: &mut HashMap<u64, Call>, frame: BytesMut) -> io::Result<()> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (number, body) = split(frame).ok_or_else(invalid)?;
    if let Some(call) = pending.remove(&number) {
        // A caller that has stopped waiting needs no reply.
        let _: Result<(), _> = call.reply.send(Ok(body));
    }
    Ok(())
}

/// Forgets calls whose time is over. Fails when nothing arrived since one of
/// them was made: then the connection is taken for dead.
fn expire(pending: &mut HashMap<u64, Call>, heard: Instant) -> io::Result<()> {
    let now = Instant::now();
    let expired = pending.values().filter(|c| c.until <= now);
    // A call that waits for news has its reply before its time is over, so a
    // call that expires has been without one for its whole time.
    let silent = expired
        .map(|c| c.until)
        .max()
        .is_some_and(|until| heard + SILENCE <= until);
    pending.retain(|_, call| call.until > now);
    if silent {
        return Err(io::Error::from(io::ErrorKind::TimedOut));
    }
    Ok(())
}

/// Silence after which a connection with an expired call is taken for dead:
/// longer than a sync of a disk, shorter than the time for a call.
const SILENCE: Duration = Duration::from_millis(150);
