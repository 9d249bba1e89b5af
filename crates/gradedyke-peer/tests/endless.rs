//! Peers that send bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gradedyke_peer::{Client, Error};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// What the peer and the operating system may buffer until a connection is closed, in bytes.
const BUFFER_BYTES: usize = 8 << 20;
/// Maximum size of a message, in bytes.
const MESSAGE_BYTES: usize = gradedyke_peer::MAX_MESSAGE_BYTES;
/// Kind of a frame that others follow, in the upper bits of its number.
const MORE: u64 = 1 << 62;

/// Returns a frame with 64 KiB of data. The first one of a message starts with its size.
fn fragment(number: u64, total: Option<u64>) -> Vec<u8> {
    let mut body = (number | MORE).to_be_bytes().to_vec();
    body.extend(total.into_iter().flat_map(u64::to_be_bytes));
    body.resize(body.len() + (64 << 10), b'x');
    let mut frame = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Starts a peer that answers a call with `first` and then `rest` without end. Returns its address,
/// the number of bytes sent, and whether the connection was closed.
async fn start(
    first: Vec<u8>,
    rest: Vec<u8>,
) -> (SocketAddr, Arc<AtomicUsize>, watch::Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let (closed, is_closed) = watch::channel(false);
    let count = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_buf(&mut Vec::new()).await.unwrap();
        let mut bytes = first;
        while stream.write_all(&bytes).await.is_ok() {
            count.fetch_add(bytes.len(), Ordering::Relaxed);
            bytes.clone_from(&rest);
        }
        closed.send_replace(true);
    });
    (address, sent, is_closed)
}

/// Guards against a peer whose bytes without end are kept until the memory is used up.
#[tokio::test]
async fn bytes_without_end_close_the_connection() {
    let cases = [
        (
            "no frames",
            vec![0xff; 64],
            vec![0xff; 64 << 10],
            BUFFER_BYTES,
        ),
        // The first call has the number 1.
        (
            "fragments of a reply to no call",
            fragment(99, Some(MESSAGE_BYTES as u64)),
            fragment(99, None),
            BUFFER_BYTES,
        ),
        (
            "more than a reply is said to have",
            fragment(1, Some(MESSAGE_BYTES as u64)),
            fragment(1, None),
            MESSAGE_BYTES + BUFFER_BYTES,
        ),
        (
            "a reply that is said to be too large",
            fragment(1, Some(u64::MAX)),
            fragment(1, None),
            BUFFER_BYTES,
        ),
    ];
    for (what, first, rest, limit) in cases {
        let (address, sent, mut closed) = start(first, rest).await;
        let client = Client::new(address);
        let result = client.call("hello".into(), TIMEOUT).await;
        assert_eq!(result, Err(Error::ConnectionLost(address)), "{what}");
        closed.wait_for(|closed| *closed).await.unwrap();
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent <= limit, "{what}: {sent} bytes");
    }
}
