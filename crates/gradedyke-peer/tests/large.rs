//! Calls with large messages.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gradedyke_peer::{Client, Error, Handler, MAX_MESSAGE_BYTES, server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Replies with the request, or with as many bytes as a request of eight bytes says.
struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, request: Bytes, _arrived: Instant) -> Bytes {
        match <[u8; 8]>::try_from(&request[..]) {
            Ok(size) => Bytes::from(vec![7; u64::from_be_bytes(size) as usize]),
            Err(_) => request,
        }
    }
}

/// Starts a server. It stops when the token is dropped.
async fn start() -> (Client, tokio_util::sync::DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let stop = CancellationToken::new();
    tokio::spawn(server::serve(listener, Arc::new(Echo), stop.clone()));
    (client, stop.drop_guard())
}

fn reply_of(size: usize) -> Bytes {
    Bytes::copy_from_slice(&(size as u64).to_be_bytes())
}

#[tokio::test]
async fn messages_of_any_size_up_to_the_limit_are_delivered() {
    let (client, _guard) = start().await;
    // Around the sizes at which a message is split, and over a former limit of 16 MiB.
    let whole = 1 << 20;
    let sizes = [0, 1, 128 << 10, whole - 1, whole, whole + 1, 2 << 20];
    for size in sizes.into_iter().chain([17 << 20, MAX_MESSAGE_BYTES]) {
        let body: Vec<u8> = (0..size).map(|n| (n % 251) as u8).collect();
        let body = Bytes::from(body);
        let reply = client.call(body.clone(), TIMEOUT).await;
        assert!(reply.as_ref() == Ok(&body), "{size} bytes");
    }
}

/// A connection on which both sides write before they read comes to a stop once the buffers of
/// the operating system are full.
#[tokio::test]
async fn large_messages_in_both_directions_do_not_block_each_other() {
    let (client, _guard) = start().await;
    let body = Bytes::from(vec![3; 8 << 20]);
    let calls = (0..6).map(|_| client.call(body.clone(), TIMEOUT));
    let replies = futures_util::future::join_all(calls).await;
    assert!(replies.iter().all(|r| r.as_ref() == Ok(&body)));
}

#[tokio::test]
async fn oversized_message_fails_only_its_own_call() {
    let (client, _guard) = start().await;
    let address = client.address();
    let too_large = MAX_MESSAGE_BYTES + 1;
    let request = client.call(Bytes::from(vec![0; too_large]), TIMEOUT).await;
    assert_eq!(
        request,
        Err(Error::RequestTooLarge(address, too_large as u64))
    );
    let other = client.call("other".into(), TIMEOUT);
    let (reply, other) = tokio::join!(client.call(reply_of(too_large), TIMEOUT), other);
    assert_eq!(reply, Err(Error::ReplyTooLarge(address, too_large as u64)));
    assert_eq!(other, Ok("other".into()));
    assert!(!client.is_down());
}

/// Forwards what `from` sends at a limited rate.
async fn forward_slowly(mut from: impl AsyncReadExt + Unpin, mut to: impl AsyncWriteExt + Unpin) {
    let mut buffer = vec![0; 128 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        tokio::time::sleep(Duration::from_millis(15)).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// A large message on a slow link takes longer than the timeout of its call.
#[tokio::test(start_paused = true)]
async fn timeout_restarts_while_a_large_message_is_transferred() {
    let (direct, _guard) = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap());
    let server = direct.address();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (from_client, to_client) = stream.into_split();
        let (from_server, to_server) = TcpStream::connect(server).await.unwrap().into_split();
        tokio::join!(
            forward_slowly(from_client, to_server),
            forward_slowly(from_server, to_client)
        );
    });
    // Longer than the link needs for what the operating system buffers, which is up to 10 MB.
    let timeout = Duration::from_secs(2);
    // Takes over 3.8 s in each direction.
    let size = 32 << 20;
    let reply = client.call(reply_of(size), timeout).await;
    assert_eq!(reply.map(|r| r.len()), Ok(size));
    let body = Bytes::from(vec![5; size]);
    let reply = client.call(body.clone(), timeout).await;
    assert!(reply == Ok(body));
}
