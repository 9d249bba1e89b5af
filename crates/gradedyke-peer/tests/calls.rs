//! Calls over loopback to peers that reply, are slow, do not read, or are down.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Error, Handler, server};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Echoes requests. The request `wait` first waits for a permit of the semaphore.
struct Echo(Arc<Semaphore>);

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        if request == "wait" {
            // The permit is released at once; the semaphore serves only as a gate.
            let _ = self.0.acquire().await;
        }
        request
    }
}

async fn start(listener: TcpListener) -> (Arc<Semaphore>, CancellationToken) {
    let gate = Arc::new(Semaphore::new(0));
    let stop = CancellationToken::new();
    let handler = Arc::new(Echo(gate.clone()));
    tokio::spawn(server::serve(listener, handler, stop.clone()));
    (gate, stop)
}

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

#[tokio::test]
async fn waiting_call_does_not_block_other_calls() {
    let listener = listener().await;
    let client = Client::new(listener.local_addr().unwrap());
    let (gate, _stop) = start(listener).await;
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.call("wait".into(), LONG_TIMEOUT).await }
    });
    for number in 0..50 {
        let body = Bytes::from(format!("call {number}"));
        assert_eq!(client.call(body.clone(), LONG_TIMEOUT).await, Ok(body));
    }
    gate.add_permits(1);
    assert_eq!(waiting.await.unwrap(), Ok(Bytes::from("wait")));
}

#[tokio::test]
async fn slow_call_times_out_without_closing_the_connection() {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let client = Client::new(address);
    let (_gate, _stop) = start(listener).await;
    let slow = client.call("wait".into(), SHORT_TIMEOUT);
    let quick = async {
        // These replies arrive before the slow call times out.
        for _ in 0..20 {
            client.call("quick".into(), LONG_TIMEOUT).await.unwrap();
            tokio::task::yield_now().await;
        }
    };
    let (slow, ()) = tokio::join!(slow, quick);
    assert_eq!(slow, Err(Error::TimedOut(address, SHORT_TIMEOUT)));
}

#[tokio::test]
async fn client_reports_a_stopped_peer_and_reconnects() {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let client = Client::new(address);
    let (_gate, stop) = start(listener).await;
    client.call("a".into(), LONG_TIMEOUT).await.unwrap();
    stop.cancel();
    let lost = client.call("b".into(), LONG_TIMEOUT).await.unwrap_err();
    assert!(
        matches!(lost, Error::ConnectionLost(_) | Error::Unreachable(_)),
        "{lost:?}"
    );
    // Nobody is listening now; the calls fail once a connect has failed.
    while client.call("c".into(), LONG_TIMEOUT).await.is_ok() {}
    let restarted = TcpListener::bind(address).await.unwrap();
    let (_gate, _stop) = start(restarted).await;
    while client.call("d".into(), LONG_TIMEOUT).await.is_err() {}
    assert!(!client.is_down());
}

#[tokio::test]
async fn connection_to_a_silent_peer_is_closed() {
    // Connections are established by the operating system but never read.
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let client = Client::new(address);
    let result = client.call("a".into(), SHORT_TIMEOUT).await;
    assert_eq!(result, Err(Error::TimedOut(address, SHORT_TIMEOUT)));
    // The client has closed the connection, so reading reaches its end.
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut read = Vec::new();
    let end = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut read);
    assert!(tokio::time::timeout(LONG_TIMEOUT, end).await.is_ok());
}

/// A listener that drops SYN packets because its backlog is full, with the
/// connections that fill the backlog.
async fn full_listener() -> (TcpListener, Vec<tokio::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut backlog = Vec::new();
    let connect = || tokio::net::TcpStream::connect(address);
    while let Ok(connected) = tokio::time::timeout(SHORT_TIMEOUT, connect()).await {
        backlog.push(connected.unwrap());
    }
    (listener, backlog)
}

/// Waits until a connection to this port is in state SYN_SENT (02).
async fn wait_for_syn_sent(port: u16) {
    let syn_sent = format!("0100007F:{port:04X} 02");
    while !std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .contains(&syn_sent)
    {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn connects_to_a_starting_peer_although_a_syn_packet_was_lost() {
    // The peer may start too late on a busy machine, so one success is enough. With
    // a single connection attempt per call, every call fails.
    for _ in 0..20 {
        let (listener, _backlog) = full_listener().await;
        let address = listener.local_addr().unwrap();
        let client = Client::new(address);
        let call = tokio::spawn(async move { client.call("hello".into(), LONG_TIMEOUT).await });
        wait_for_syn_sent(address.port()).await;
        let (_gate, stop) = start(listener).await;
        let reply = call.await.unwrap();
        stop.cancel();
        if reply == Ok(Bytes::from("hello")) {
            return;
        }
    }
    panic!("none of 20 calls was answered");
}
