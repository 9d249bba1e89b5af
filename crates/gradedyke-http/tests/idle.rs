//! A connection on which nothing comes is closed; one in use is not.

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

struct Hello;

#[async_trait]
impl Handler for Hello {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        Response::new(body::full("hello"))
    }
}

async fn start(idle: Option<Duration>) -> SocketAddr {
    let config = Config {
        idle,
        ..Config::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, config).await.unwrap();
    let address = server.address().unwrap();
    tokio::spawn(server.serve(Arc::new(Hello), CancellationToken::new()));
    address
}

async fn ask(stream: &mut TcpStream) -> String {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut read = vec![0; 4_096];
    let mut text = String::new();
    while !text.ends_with("hello") {
        let count = stream.read(&mut read).await.unwrap();
        assert!(count > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&read[..count]));
    }
    text
}

#[tokio::test]
async fn a_connection_is_closed_after_its_rest() {
    let mut stream = TcpStream::connect(start(Some(Duration::from_millis(50))).await)
        .await
        .unwrap();
    ask(&mut stream).await;
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    let end = tokio::time::timeout(Duration::from_secs(20), end).await;
    assert_eq!(end.unwrap().unwrap(), 0);
}

#[tokio::test]
async fn a_connection_without_a_limit_stays() {
    let mut stream = TcpStream::connect(start(None).await).await.unwrap();
    for _ in 0..3 {
        ask(&mut stream).await;
    }
}
