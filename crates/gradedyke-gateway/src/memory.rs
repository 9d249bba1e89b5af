//! Memory for the bodies that a process holds, shared by all its requests.
//!
//! Each body is bounded, but many at once would exceed the memory of the instance. A body whose
//! length is known is read once there is room for all of it. If bodies of unknown length exceed the
//! limit, the largest one that may be given up is given up, so a server that sends bytes without end
//! costs only its own request.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use gradedyke_http::body::Error;
use hyper::body::{Body, Frame, SizeHint};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

new_key_type! {
    struct Key;
}

/// Size up to which a body is never given up, in bytes. As many of these as there are connections
/// fit beside the limit.
const SMALL_BODY_BYTES: usize = 8 << 10;
/// Size of the blocks into which small parts of a body are copied, in bytes.
const BLOCK_BYTES: usize = 16 << 10;
/// Size from which a part of a body is held as it was received, in bytes.
const LARGE_PART_BYTES: usize = 4 << 10;

/// There is no memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bodies in progress take all memory for them; try again soon or send less")]
pub struct Exhausted;

#[derive(Debug)]
struct Holder {
    bytes: usize,
    evicted: CancellationToken,
    /// Whether it may be given up.
    is_evictable: bool,
}

#[derive(Debug, Default)]
struct State {
    used: usize,
    holders: SlotMap<Key, Holder>,
}

/// Memory that is shared by the bodies of all requests.
#[derive(Debug)]
pub struct Pool {
    limit: usize,
    state: Mutex<State>,
    /// Notified when bytes are freed.
    freed: Notify,
}

impl Pool {
    /// Creates a pool of `limit` bytes.
    ///
    /// ```
    /// use gradedyke_gateway::memory::Pool;
    ///
    /// let pool = Pool::new(100_000);
    /// let (large, small) = (pool.lease(), pool.lease());
    /// assert!(large.grow(90_000).is_ok());
    /// assert!(small.grow(20_000).is_ok());
    /// // The largest one was given up.
    /// assert!(large.grow(1).is_err());
    /// drop(large);
    /// assert_eq!(pool.used(), 20_000);
    /// ```
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
            freed: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Creates an empty lease for one body.
    pub fn lease(self: &Arc<Self>) -> Lease {
        let evicted = CancellationToken::new();
        let key = self.lock().holders.insert(Holder {
            bytes: 0,
            evicted: evicted.clone(),
            is_evictable: true,
        });
        Lease {
            pool: self.clone(),
            key,
            evicted,
        }
    }
}

impl State {
    /// Gives up the largest body that may be given up. Returns whether there was one.
    fn evict_largest(&mut self) -> bool {
        let holders = self.holders.values_mut();
        let evictable = holders.filter(|h| h.is_evictable && h.bytes > SMALL_BODY_BYTES);
        let Some(largest) = evictable.max_by_key(|h| h.bytes) else {
            return false;
        };
        tracing::warn!(
            event = "body_given_up",
            bytes = largest.bytes,
            used = self.used,
            remedy = "find out who sends so much; see answer_broke_off"
        );
        metrics::counter!("gradedyke_bodies_given_up_total").increment(1);
        largest.evicted.cancel();
        self.used -= std::mem::take(&mut largest.bytes);
        true
    }
}

/// Part of a [`Pool`] that one body uses; freed when it is dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    key: Key,
    evicted: CancellationToken,
}

impl Lease {
    /// Takes `bytes` more.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the body was given up, or is the one to be given up now.
    pub fn grow(&self, bytes: usize) -> Result<(), Exhausted> {
        let mut state = self.pool.lock();
        if self.evicted.is_cancelled() {
            return Err(Exhausted);
        }
        state.used += bytes;
        let total = match state.holders.get_mut(self.key) {
            Some(holder) => {
                holder.bytes += bytes;
                holder.bytes
            }
            None => 0,
        };
        while state.used > self.pool.limit && total > SMALL_BODY_BYTES {
            if !state.evict_largest() {
                break;
            }
        }
        let exceeds = state.used > self.pool.limit && total > SMALL_BODY_BYTES;
        if exceeds && let Some(holder) = state.holders.get_mut(self.key) {
            self.evicted.cancel();
            let bytes = std::mem::take(&mut holder.bytes);
            state.used -= bytes;
        }
        if self.evicted.is_cancelled() {
            return Err(Exhausted);
        }
        Ok(())
    }

    /// Takes `bytes` more once there is room for them, without giving up another body.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there never is room for them.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Exhausted> {
        if bytes <= SMALL_BODY_BYTES {
            return self.grow(bytes);
        }
        if bytes > self.pool.limit {
            return Err(Exhausted);
        }
        loop {
            let freed = self.pool.freed.notified();
            if self.try_reserve(bytes) {
                return Ok(());
            }
            freed.await;
        }
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let mut state = self.pool.lock();
        if state.used + bytes > self.pool.limit {
            return false;
        }
        state.used += bytes;
        if let Some(holder) = state.holders.get_mut(self.key) {
            holder.bytes += bytes;
        }
        true
    }

    /// Frees `bytes`.
    pub fn shrink(&self, bytes: usize) {
        let mut state = self.pool.lock();
        if let Some(holder) = state.holders.get_mut(self.key) {
            let freed = bytes.min(holder.bytes);
            holder.bytes -= freed;
            state.used -= freed;
        }
        drop(state);
        self.pool.freed.notify_waiters();
    }

    /// Keeps the body from being given up, because its request is being run or it is being sent.
    pub fn pin(&self) {
        if let Some(holder) = self.pool.lock().holders.get_mut(self.key) {
            holder.is_evictable = false;
        }
    }

    /// Whether the body was given up.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Waits until the body is given up.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        if let Some(holder) = state.holders.remove(self.key) {
            state.used -= holder.bytes;
        }
        drop(state);
        self.pool.freed.notify_waiters();
    }
}

/// A body that is being received. Small parts are copied into blocks, since each would otherwise
/// keep the buffer in which it was received.
#[derive(Debug, Default)]
pub struct Collector {
    blocks: Vec<Bytes>,
    tail: BytesMut,
    len: usize,
}

impl Collector {
    /// Appends a part.
    ///
    /// ```
    /// use gradedyke_gateway::memory::Collector;
    ///
    /// let mut collector = Collector::default();
    /// collector.push("small, ".into());
    /// collector.push(vec![b'x'; 5_000].into());
    /// let blocks = collector.finish();
    /// assert_eq!(blocks.len(), 2);
    /// assert_eq!(blocks[0], "small, ");
    /// ```
    pub fn push(&mut self, part: Bytes) {
        self.len += part.len();
        if part.len() >= LARGE_PART_BYTES {
            self.flush();
            self.blocks.push(part);
            return;
        }
        self.tail.extend_from_slice(&part);
        if self.tail.len() >= BLOCK_BYTES {
            self.flush();
        }
    }

    fn flush(&mut self) {
        if !self.tail.is_empty() {
            self.blocks.push(std::mem::take(&mut self.tail).freeze());
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the body in blocks.
    pub fn finish(mut self) -> Vec<Bytes> {
        self.flush();
        self.blocks
    }
}

/// A body whose bytes are taken from a lease as they arrive. It fails when there is no memory.
pub struct Metered<'a, B> {
    body: B,
    lease: &'a Lease,
}

impl<'a, B> Metered<'a, B> {
    /// Takes the bytes of `body` from `lease`.
    pub fn new(body: B, lease: &'a Lease) -> Self {
        Self { body, lease }
    }
}

impl<B> Body for Metered<'_, B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Error>,
{
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let Some(frame) = frame else {
            return Poll::Ready(None);
        };
        let frame = frame.map_err(Into::into).and_then(|frame| {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.lease.grow(bytes)?;
            Ok(frame)
        });
        Poll::Ready(Some(frame))
    }
}

/// A body that was received and is sent on. Each block is freed from its lease when it is taken.
pub struct Held {
    blocks: VecDeque<Bytes>,
    bytes: u64,
    lease: Lease,
}

impl Held {
    /// Creates a body of `blocks`, whose bytes belong to `lease`.
    pub fn new(blocks: Vec<Bytes>, lease: Lease) -> Self {
        let bytes = blocks.iter().map(|b| b.len() as u64).sum();
        Self {
            blocks: blocks.into(),
            bytes,
            lease,
        }
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.blocks.pop_front() else {
            return Poll::Ready(None);
        };
        self.bytes -= block.len() as u64;
        self.lease.shrink(block.len());
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes)
    }
}
