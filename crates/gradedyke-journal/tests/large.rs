//! Entries and calls that are too large, or as large as they may be, with keepers in other
//! processes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id::{self, Epoch, Slot};
use gradedyke_journal::Keeper;
use gradedyke_journal::entry::{Append, Entry, Seal, Tail};
use gradedyke_journal::keeper;
use gradedyke_journal::log::{Directory, Error, Journal, Log, MAX_ENTRY_BYTES};
use gradedyke_journal::recover::{self, Claim};
use gradedyke_journal::rpc::{ApiServer, MAX_MESSAGE_BYTES, Remote, Service};
use gradedyke_journal::store::Store;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use serde_json::value::{RawValue, to_raw_value};
use tokio_util::sync::CancellationToken;

const SLOT: Slot = Slot(1);
const EPOCH: Epoch = Epoch(1);
/// Longer than any operation takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a keeper whose responses have at most this size.
async fn start_keeper(max_response_bytes: u32) -> (Remote, ServerHandle) {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(max_response_bytes)
        .build();
    let server = Server::builder().set_config(config);
    let server = server.build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let store = Arc::new(Store::in_memory().unwrap());
    let identity = store.identity().to_owned();
    let handle = server.start(Service::new(store, &identity).into_rpc());
    let remote = Remote::new(address, &identity, TIMEOUT).unwrap();
    (remote, handle)
}

struct Keepers(HashMap<id::Keeper, Arc<Remote>>);

impl Directory for Keepers {
    fn keeper(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        let keeper = self.0.get(name)?.clone();
        Some(keeper)
    }
}

struct Cluster {
    journal: Arc<Journal>,
    names: Arc<[id::Keeper]>,
    log: Arc<Log>,
    _servers: Vec<ServerHandle>,
}

impl Cluster {
    async fn start() -> Self {
        let mut keepers = HashMap::new();
        let mut servers = Vec::new();
        for number in 0..3 {
            let name = id::Keeper::parse(&format!("k{number}:s")).unwrap();
            let (remote, server) = start_keeper(MAX_MESSAGE_BYTES).await;
            keepers.insert(name, Arc::new(remote));
            servers.push(server);
        }
        let names: Arc<[id::Keeper]> = keepers.keys().cloned().collect();
        let journal = Journal::new(Arc::new(Keepers(keepers)), CancellationToken::new());
        let (tail, stop) = (Tail::default(), CancellationToken::new());
        let log = Log::new(&journal, SLOT, EPOCH, names.clone(), tail, stop);
        Self {
            journal,
            names,
            log,
            _servers: servers,
        }
    }
}

/// A JSON string whose text has this size.
fn payload(bytes: usize) -> Box<RawValue> {
    let text = to_raw_value(&"x".repeat(bytes - 2)).unwrap();
    assert_eq!(text.get().len(), bytes);
    text
}

fn append(index: u64, data: Box<RawValue>) -> Append {
    Append {
        slot: SLOT,
        epoch: EPOCH,
        previous: Epoch(0),
        restart: false,
        entries: vec![Entry {
            index,
            epoch: EPOCH,
            data: data.into(),
        }],
    }
}

/// An entry that no call can carry was sent again without end, and all entries of the slot after
/// it waited for it.
#[tokio::test]
async fn oversized_entry_is_rejected_and_does_not_block_later_entries() {
    let cluster = Cluster::start().await;
    let too_large = cluster.log.append(payload(MAX_MESSAGE_BYTES as usize));
    let too_large = tokio::time::timeout(TIMEOUT, too_large).await;
    assert_eq!(
        too_large.expect("the entry is sent without end"),
        Err(Error::TooLarge(MAX_MESSAGE_BYTES as usize))
    );
    let next = tokio::time::timeout(TIMEOUT, cluster.log.append(payload(10))).await;
    assert_eq!(next.expect("the entry waits for the large one"), Ok(1));
}

/// Entries that arrive together were put into one call, which could become too large.
#[tokio::test]
async fn entries_of_the_largest_size_are_stored_and_read_again() {
    let cluster = Cluster::start().await;
    let sizes = [MAX_ENTRY_BYTES - 1, MAX_ENTRY_BYTES, MAX_ENTRY_BYTES, 10];
    let appends = sizes.map(|bytes| cluster.log.append(payload(bytes)));
    let appended = futures_util::future::join_all(appends);
    let appended = tokio::time::timeout(TIMEOUT * 2, appended).await;
    let appended = appended.expect("the entries were not stored");
    assert!(appended.iter().all(Result::is_ok), "{appended:?}");
    let claim = Claim {
        seals: vec![Seal {
            slot: SLOT,
            epoch: Epoch(2),
        }],
        keepers: cluster.names.clone(),
    };
    let recovered = recover::recover(&cluster.journal, &claim, |_| CancellationToken::new());
    let (_, recovered) = recovered.await.pop().unwrap();
    let entries = recovered.map_err(|e| e.to_string()).unwrap().entries;
    let recovered_sizes: Vec<_> = entries.iter().map(|e| e.data.get().len()).collect();
    assert_eq!(recovered_sizes, sizes);
}

/// A keeper that cannot send its reply is not unreachable.
#[tokio::test]
async fn message_that_is_too_large_is_reported_as_such() {
    let (remote, _server) = start_keeper(1_000).await;
    let sent = remote.append(vec![append(1, payload(MAX_MESSAGE_BYTES as usize))]);
    let sent = sent.await;
    assert!(matches!(sent, Err(keeper::Error::TooLarge(_))), "{sent:?}");
    let sent = remote.append(vec![append(1, payload(2_000))]).await;
    assert!(sent.is_ok(), "{sent:?}");
    let read = remote.read(SLOT, 1).await;
    assert!(matches!(read, Err(keeper::Error::TooLarge(_))), "{read:?}");
}
