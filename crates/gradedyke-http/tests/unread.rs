//! A peer that does not read is cut off, and its answer is no longer made; one that reads in
//! time loses nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::server::Config;
use gradedyke_http::{Body, Handler, Server, body};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_util::sync::CancellationToken;

/// Bytes of a chunk.
const CHUNK: usize = 64 << 10;
/// Chunks that may wait for the connection.
const WAITING: usize = 4;
/// Bytes that are read of an answer: far more than the system holds for a peer.
const READ: usize = 64 << 20;
/// Longest time that anything is waited for; only a fault takes so long.
const LIMIT: Duration = Duration::from_secs(60);

/// What becomes of an answer.
#[derive(Debug, PartialEq)]
enum Event {
    /// The connection takes no more of it for the moment.
    Waits,
    /// Nobody wants more of it.
    Ended,
}

/// Answers without end.
struct Endless(mpsc::UnboundedSender<Event>);

#[async_trait]
impl Handler for Endless {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let (sender, body) = body::channel(WAITING);
        let told = self.0.clone();
        tokio::spawn(async move {
            let chunk = || Ok(vec![b'x'; CHUNK].into());
            loop {
                match sender.try_send(chunk()) {
                    Ok(()) => continue,
                    Err(TrySendError::Full(_)) => told.send(Event::Waits).unwrap(),
                    Err(TrySendError::Closed(_)) => break,
                }
                if sender.send(chunk()).await.is_err() {
                    break;
                }
            }
            told.send(Event::Ended).unwrap();
        });
        Response::new(body)
    }
}

async fn start(unread: Duration) -> (SocketAddr, mpsc::UnboundedReceiver<Event>) {
    let config = Config {
        unread: Some(unread),
        ..Config::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, config).await.unwrap();
    let address = server.address().unwrap();
    let (sender, events) = mpsc::unbounded_channel();
    tokio::spawn(server.serve(Arc::new(Endless(sender)), CancellationToken::new()));
    (address, events)
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

/// Waits for an event, whatever others come before it.
async fn until(events: &mut mpsc::UnboundedReceiver<Event>, event: &Event) {
    let wait = async { while events.recv().await.as_ref() != Some(event) {} };
    let waited = tokio::time::timeout(LIMIT, wait).await;
    assert!(waited.is_ok(), "in vain: {event:?}");
}

#[tokio::test]
async fn a_peer_that_reads_nothing_is_cut_off() {
    let (address, mut events) = start(Duration::from_millis(300)).await;
    let _unread = ask(address).await;
    until(&mut events, &Event::Ended).await;
}

#[tokio::test]
async fn a_peer_that_reads_in_time_loses_nothing() {
    let (address, mut events) = start(10 * LIMIT).await;
    let mut stream = ask(address).await;
    // All that can wait for it waits.
    until(&mut events, &Event::Waits).await;
    let mut bytes = vec![0; CHUNK];
    let mut read = 0;
    while read < READ {
        let count = stream.read(&mut bytes).await.unwrap();
        assert!(count > 0, "cut off after {read} bytes");
        read += count;
    }
}
