//! The connection of a peer that does not read is closed and its reply is no longer
//! produced; a peer that reads in time stays connected.

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

/// Size of a chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// Capacity of the body's channel, in chunks.
const CHANNEL_CHUNKS: usize = 4;
/// Number of bytes read of a reply. It is far more than the socket buffers hold.
const READ_BYTES: usize = 64 << 20;
/// Timeout after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// An event while a reply is produced.
#[derive(Debug, PartialEq)]
enum Event {
    /// The body's channel is full.
    Blocked,
    /// The body is no longer read.
    Closed,
}

/// Replies with an endless body.
struct EndlessHandler(mpsc::UnboundedSender<Event>);

#[async_trait]
impl Handler for EndlessHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let (sender, body) = body::channel(CHANNEL_CHUNKS);
        let events = self.0.clone();
        tokio::spawn(async move {
            let chunk = || Ok(vec![b'x'; CHUNK_BYTES].into());
            loop {
                match sender.try_send(chunk()) {
                    Ok(()) => continue,
                    Err(TrySendError::Full(_)) => events.send(Event::Blocked).unwrap(),
                    Err(TrySendError::Closed(_)) => break,
                }
                if sender.send(chunk()).await.is_err() {
                    break;
                }
            }
            events.send(Event::Closed).unwrap();
        });
        Response::new(body)
    }
}

async fn start(unread: Duration) -> (SocketAddr, mpsc::UnboundedReceiver<Event>) {
    let config = Config {
        unread_timeout: Some(unread),
        ..Config::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, config).await.unwrap();
    let address = server.address().unwrap();
    let (sender, events) = mpsc::unbounded_channel();
    tokio::spawn(server.serve(Arc::new(EndlessHandler(sender)), CancellationToken::new()));
    (address, events)
}

async fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

/// Waits for an event and skips all others.
async fn wait_for(events: &mut mpsc::UnboundedReceiver<Event>, event: &Event) {
    let wait = async { while events.recv().await.as_ref() != Some(event) {} };
    let result = tokio::time::timeout(TEST_TIMEOUT, wait).await;
    assert!(result.is_ok(), "timed out waiting for {event:?}");
}

#[tokio::test]
async fn peer_that_does_not_read_is_disconnected() {
    let (address, mut events) = start(Duration::from_millis(300)).await;
    let _unread = send_request(address).await;
    wait_for(&mut events, &Event::Closed).await;
}

#[tokio::test]
async fn peer_that_reads_in_time_is_not_disconnected() {
    let (address, mut events) = start(10 * TEST_TIMEOUT).await;
    let mut stream = send_request(address).await;
    // Wait until all buffers are full.
    wait_for(&mut events, &Event::Blocked).await;
    let mut bytes = vec![0; CHUNK_BYTES];
    let mut read = 0;
    while read < READ_BYTES {
        let count = stream.read(&mut bytes).await.unwrap();
        assert!(count > 0, "disconnected after {read} bytes");
        read += count;
    }
}
