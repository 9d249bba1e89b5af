//! The answering side, with one task for each connection and one for each call.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;

use crate::{MAX_FRAME_BYTES, codec, decode_frame, encode_frame};

/// Maximum number of replies queued for a connection. Tasks with further replies wait.
const REPLY_QUEUE_CAPACITY: usize = 256;
/// Timeout for writing queued replies. A connection whose peer does not read is
/// closed, because its replies would fill the memory.
const WRITE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Answers calls.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one call that was read from its connection at `arrived`. The future is
    /// dropped when the connection is closed.
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes;
}

/// Serves `listener` until `stop` is cancelled, then closes all connections.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                connections.spawn(serve_connection(stream, peer, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "peer_accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection and logs why it ended.
async fn serve_connection(stream: TcpStream, peer: SocketAddr, handler: Arc<dyn Handler>) {
    if let Err(error) = exchange(stream, handler).await {
        tracing::info!(event = "peer_connection_ended", %peer, %error);
    }
}

/// Logs a reply that is larger than a frame. Writing it fails and closes the connection.
fn log_if_too_large(reply: &[u8]) {
    if reply.len() > MAX_FRAME_BYTES {
        tracing::warn!(
            event = "reply_not_sent",
            bytes = reply.len(),
            limit = MAX_FRAME_BYTES,
            remedy = "report this"
        );
    }
}

/// Reads calls and writes replies until the connection ends.
async fn exchange(stream: TcpStream, handler: Arc<dyn Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut requests = FramedRead::new(reader, codec());
    let mut replies = FramedWrite::new(writer, codec());
    let (sender, mut receiver) = mpsc::channel::<Bytes>(REPLY_QUEUE_CAPACITY);
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            frame = requests.next() => {
                let Some(frame) = frame else { return Ok(()) };
                let Some((number, body)) = decode_frame(frame?) else {
                    return Err(io::Error::from(io::ErrorKind::InvalidData));
                };
                let handler = handler.clone();
                let sender = sender.clone();
                let arrived = Instant::now();
                calls.spawn(async move {
                    let reply = handler.handle(body, arrived).await;
                    // Sending fails if the connection is closed.
                    let _ = sender.send(encode_frame(number, &reply)).await;
                });
            }
            Some(reply) = receiver.recv() => {
                log_if_too_large(&reply);
                let written = tokio::time::timeout(WRITE_TIMEOUT, async {
                    replies.feed(reply).await?;
                    while let Ok(reply) = receiver.try_recv() {
                        log_if_too_large(&reply);
                        replies.feed(reply).await?;
                    }
                    SinkExt::<Bytes>::flush(&mut replies).await
                });
                written.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            }
            Some(_) = calls.join_next() => {}
        }
    }
}
