//! The answering side: one task for each connection, one for each call.

use std::io;
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

use crate::{codec, join, split};

/// Replies that may wait for the connection before calls are taken more slowly.
const REPLIES: usize = 256;
/// Longest time in which a connection takes no bytes before it is given up:
/// replies to a peer that does not read would fill the memory.
const SEND: std::time::Duration = std::time::Duration::from_millis(500);
/// Wait after a failed accept, such as when descriptors have run out.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Answers calls.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one call that was read from its connection at `arrived`. A dropped future
    /// means that the caller has gone.
    async fn handle(&self, request: Bytes, arrived: Instant) -> Bytes;
}

/// Serves `listener` until `stop`; connections end with it.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(converse(stream, handler.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "peer_accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(stream: TcpStream, handler: Arc<dyn Handler>) {
    if let Err(error) = exchange(stream, handler).await {
        tracing::debug!(event = "peer_connection_ended", %error);
    }
}

async fn exchange(stream: TcpStream, handler: Arc<dyn Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut requests = FramedRead::new(reader, codec());
    let mut replies = FramedWrite::new(writer, codec());
    let (sender, mut receiver) = mpsc::channel::<Bytes>(REPLIES);
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            frame = requests.next() => {
                let Some(frame) = frame else { return Ok(()) };
                let Some((number, body)) = split(frame?) else {
                    return Err(io::Error::from(io::ErrorKind::InvalidData));
                };
                let handler = handler.clone();
                let sender = sender.clone();
                let arrived = Instant::now();
                calls.spawn(async move {
                    let reply = handler.handle(body, arrived).await;
                    // The connection has gone, and the caller with it.
                    let _ = sender.send(join(number, &reply)).await;
                });
            }
            Some(reply) = receiver.recv() => {
                let written = tokio::time::timeout(SEND, async {
                    replies.feed(reply).await?;
                    while let Ok(reply) = receiver.try_recv() {
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
