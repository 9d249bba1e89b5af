//! Idle connections are closed only if an idle timeout is set.

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
use tokio_util::sync::CancellationToken;

struct HelloHandler;

#[async_trait]
impl Handler for HelloHandler {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        Response::new(body::full("hello"))
    }
}

async fn start(idle_timeout: Option<Duration>) -> SocketAddr {
    let config = Config {
        idle_timeout,
        ..Config::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, config).await.unwrap();
    let address = server.address().unwrap();
    tokio::spawn(server.serve(Arc::new(HelloHandler), CancellationToken::new()));
    address
}

async fn send_request(stream: &mut TcpStream) -> String {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut buffer = vec![0; 4_096];
    let mut text = String::new();
    while !text.ends_with("hello") {
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    text
}

#[tokio::test]
async fn idle_connection_is_closed_after_the_timeout() {
    let mut stream = TcpStream::connect(start(Some(Duration::from_millis(50))).await)
        .await
        .unwrap();
    send_request(&mut stream).await;
    let mut remaining = Vec::new();
    let end = stream.read_to_end(&mut remaining);
    let end = tokio::time::timeout(Duration::from_secs(20), end).await;
    assert_eq!(end.unwrap().unwrap(), 0);
}

#[tokio::test]
async fn connection_without_idle_timeout_stays_open() {
    let mut stream = TcpStream::connect(start(None).await).await.unwrap();
    for _ in 0..3 {
        send_request(&mut stream).await;
    }
}
