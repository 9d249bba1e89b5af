//! A peer that does not read is cut off, and its answer is no longer made.

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
use tokio_util::sync::CancellationToken;

/// Bytes of a chunk.
const CHUNK: usize = 64 << 10;
/// Chunks that may wait for the connection.
const WAITING: usize = 4;
/// How long bytes may stay unread.
const UNREAD: Duration = Duration::from_millis(300);
/// Longest time that anything is waited for; only a fault takes so long.
const LIMIT: Duration = Duration::from_secs(30);

/// Answers without end, and tells how many chunks were taken when nobody wants more.
struct Endless(mpsc::UnboundedSender<usize>);

#[async_trait]
impl Handler for Endless {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let (sender, body) = body::channel(WAITING);
        let ended = self.0.clone();
        tokio::spawn(async move {
            let chunk = vec![b'x'; CHUNK];
            let mut taken = 0;
            while sender.send(Ok(chunk.clone().into())).await.is_ok() {
                taken += 1;
            }
            ended.send(taken).unwrap();
        });
        Response::new(body)
    }
}

async fn start() -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let config = Config {
        unread: Some(UNREAD),
        ..Config::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, config).await.unwrap();
    let address = server.address().unwrap();
    let (sender, ended) = mpsc::unbounded_channel();
    tokio::spawn(server.serve(Arc::new(Endless(sender)), CancellationToken::new()));
    (address, ended)
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

#[tokio::test]
async fn a_peer_that_reads_nothing_is_cut_off() {
    let (address, mut ended) = start().await;
    let _unread = ask(address).await;
    let taken = tokio::time::timeout(LIMIT, ended.recv()).await;
    assert!(taken.is_ok(), "its answer is made still");
}

#[tokio::test]
async fn a_peer_that_reads_slowly_is_served() {
    let (address, mut ended) = start().await;
    let mut stream = ask(address).await;
    let mut bytes = vec![0; CHUNK];
    let mut read = 0;
    // Far more than the system holds for it, and for longer than it may stay unread.
    while read < 64 * CHUNK {
        let count = stream.read(&mut bytes).await.unwrap();
        assert!(count > 0, "cut off after {read} bytes");
        read += count;
        tokio::time::sleep(UNREAD / 40).await;
    }
    assert!(ended.try_recv().is_err());
}
