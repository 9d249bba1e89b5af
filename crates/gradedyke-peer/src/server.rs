//! The answering side, with one task for each connection and one for each call.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use crate::inbox::{Inbox, Message};
use crate::outbox::Outbox;
use crate::{MAX_MESSAGE_BYTES, frame, sleep_until};

/// Maximum number of replies queued for a connection. Tasks with further replies wait.
const REPLY_QUEUE_CAPACITY: usize = 256;
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

/// Reads calls and writes replies until the connection ends. While many replies wait to be
/// written, no further calls are read.
async fn exchange(stream: TcpStream, handler: Arc<dyn Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut requests = FramedRead::new(reader, frame::codec());
    let mut inbox = Inbox::default();
    let mut outbox = Outbox::new(Instant::now());
    let (sender, mut receiver) = mpsc::channel::<(u64, Bytes)>(REPLY_QUEUE_CAPACITY);
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            request = requests.next(), if !outbox.is_full() => {
                let Some(request) = request else { return Ok(()) };
                let (number, message) = inbox.receive(request?, |_| true)?;
                let body = match message {
                    Some(Message::Whole(body)) => body,
                    Some(Message::TooLarge(_)) => {
                        return Err(io::Error::from(io::ErrorKind::InvalidData));
                    }
                    None => continue,
                };
                let handler = handler.clone();
                let sender = sender.clone();
                let arrived = Instant::now();
                calls.spawn(async move {
                    let reply = handler.handle(body, arrived).await;
                    // Sending fails if the connection is closed.
                    let _ = sender.send((number, reply)).await;
                });
            }
            Some((number, reply)) = receiver.recv(), if !outbox.is_full() => {
                let now = Instant::now();
                push_reply(&mut outbox, number, reply, now);
                while !outbox.is_full()
                    && let Ok((number, reply)) = receiver.try_recv()
                {
                    push_reply(&mut outbox, number, reply, now);
                }
                outbox.write(&writer, now)?;
            }
            writable = writer.writable(), if !outbox.is_empty() => {
                writable?;
                outbox.write(&writer, Instant::now())?;
            }
            () = sleep_until(outbox.stalls_at()) => {
                outbox.write(&writer, Instant::now())?;
            }
            Some(_) = calls.join_next() => {}
        }
    }
}

/// Queues a reply, or only its size if it is too large.
fn push_reply(outbox: &mut Outbox, number: u64, reply: Bytes, now: Instant) {
    if reply.len() <= MAX_MESSAGE_BYTES {
        outbox.push(number, reply, now);
        return;
    }
    metrics::counter!("gradedyke_messages_too_large_total", "kind" => "reply").increment(1);
    tracing::warn!(
        event = "reply_not_sent",
        bytes = reply.len(),
        limit = MAX_MESSAGE_BYTES,
        remedy = "the caller was told; report this"
    );
    outbox.push_too_large(number, reply.len(), now);
}
