//! The keeper contract, tested on disk stores, memory stores and over JSON-RPC.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id::{Epoch, Slot};
use gradedyke_journal::Keeper;
use gradedyke_journal::entry::{Append, Entry, Outcome, Seal, Sealed, Tail, Trim};
use gradedyke_journal::rpc::{ApiServer, Remote, Service};
use gradedyke_journal::store::Store;
use jsonrpsee::server::{Server, ServerHandle};
use serde_json::value::to_raw_value;

const SLOT: Slot = Slot(7);

fn entry(index: u64, epoch: u64) -> Entry {
    Entry {
        index,
        epoch: Epoch(epoch),
        data: to_raw_value(&format!("{index}@{epoch}")).unwrap().into(),
    }
}

/// An append at `epoch` of entries from index `first` on with the given epochs.
fn append(epoch: u64, previous: u64, first: u64, entry_epochs: &[u64]) -> Append {
    let entries = entry_epochs.iter().zip(first..);
    Append {
        slot: SLOT,
        epoch: Epoch(epoch),
        previous: Epoch(previous),
        restart: false,
        entries: entries.map(|(epoch, index)| entry(index, *epoch)).collect(),
    }
}

async fn log(keeper: &dyn Keeper) -> Vec<(u64, u64)> {
    let page = keeper.read(SLOT, 1).await.unwrap();
    assert!(!page.more);
    page.entries.iter().map(|e| (e.index, e.epoch.0)).collect()
}

/// One keeper of each kind. The server handle and the folder must be kept alive.
async fn keepers() -> (Vec<Arc<dyn Keeper>>, ServerHandle, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let disk = Store::open(folder.path()).unwrap();
    let memory = Store::in_memory().unwrap();
    let served = Arc::new(Store::in_memory().unwrap());
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let identity = served.identity().to_owned();
    let handle = server.start(Service::new(served, &identity).into_rpc());
    let remote = Remote::new(address, &identity, Duration::from_secs(5)).unwrap();
    let keepers: Vec<Arc<dyn Keeper>> = vec![Arc::new(disk), Arc::new(memory), Arc::new(remote)];
    (keepers, handle, folder)
}

#[tokio::test]
async fn append_returns_kept_fenced_or_gap() {
    let (keepers, _server, _folder) = keepers().await;
    for keeper in &keepers {
        // Each case: an append, its outcome, and the log after it.
        let cases = [
            (append(1, 0, 1, &[1]), Outcome::Kept(1), vec![(1, 1)]),
            // A repeated append has no effect.
            (append(1, 0, 1, &[1]), Outcome::Kept(1), vec![(1, 1)]),
            // Entry 2 is missing.
            (append(1, 1, 3, &[1]), Outcome::Gap(2), vec![(1, 1)]),
            (
                append(1, 1, 2, &[1, 1]),
                Outcome::Kept(3),
                vec![(1, 1), (2, 1), (3, 1)],
            ),
            // A newer owner whose log diverges at entry 2.
            (
                append(2, 2, 3, &[2]),
                Outcome::Gap(2),
                vec![(1, 1), (2, 1), (3, 1)],
            ),
            (
                append(2, 1, 2, &[2]),
                Outcome::Kept(2),
                vec![(1, 1), (2, 2)],
            ),
            // A late append by the previous owner.
            (
                append(1, 1, 3, &[1]),
                Outcome::Fenced(Epoch(2)),
                vec![(1, 1), (2, 2)],
            ),
        ];
        for (append, outcome, expected) in cases {
            let actual = keeper.append(vec![append.clone()]).await.unwrap();
            assert_eq!(actual, [outcome], "{append:?}");
            assert_eq!(log(&**keeper).await, expected);
        }
    }
}

#[tokio::test]
async fn seal_fences_lower_epochs_and_returns_the_tail() {
    let (keepers, _server, _folder) = keepers().await;
    for keeper in &keepers {
        let seal = |epoch| Seal {
            slot: SLOT,
            epoch: Epoch(epoch),
        };
        let empty = Sealed::At(Tail::default());
        assert_eq!(keeper.seal(vec![seal(3)]).await.unwrap(), [empty]);
        let late = keeper.append(vec![append(2, 0, 1, &[2])]).await.unwrap();
        assert_eq!(late, [Outcome::Fenced(Epoch(3))]);
        let own = keeper.append(vec![append(3, 0, 1, &[3])]).await.unwrap();
        assert_eq!(own, [Outcome::Kept(1)]);
        let sealed = keeper.seal(vec![seal(2), seal(4)]).await.unwrap();
        let tail = Tail {
            epoch: Epoch(3),
            index: 1,
        };
        assert_eq!(sealed, [Sealed::Fenced(Epoch(3)), Sealed::At(tail)]);
    }
}

#[tokio::test]
async fn trimmed_log_accepts_new_and_repeated_appends() {
    let (keepers, _server, _folder) = keepers().await;
    for keeper in &keepers {
        keeper
            .append(vec![append(1, 0, 1, &[1, 1, 1])])
            .await
            .unwrap();
        let trim = |epoch| Trim {
            slot: SLOT,
            epoch: Epoch(epoch),
            before: 3,
        };
        keeper.trim(vec![trim(0)]).await.unwrap();
        assert_eq!(
            log(&**keeper).await.len(),
            3,
            "a trim with a lower epoch must be ignored"
        );
        keeper.trim(vec![trim(1)]).await.unwrap();
        assert_eq!(log(&**keeper).await, [(3, 1)]);
        let repeat = keeper.append(vec![append(1, 0, 1, &[1])]).await.unwrap();
        assert_eq!(repeat, [Outcome::Kept(3)]);
        assert_eq!(
            log(&**keeper).await,
            [(3, 1)],
            "a repeated append must not delete entries"
        );
        keeper.append(vec![append(1, 1, 4, &[1])]).await.unwrap();
        assert_eq!(log(&**keeper).await, [(3, 1), (4, 1)]);
    }
}

#[tokio::test]
async fn disk_store_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(folder.path()).unwrap();
    store.append(vec![append(5, 0, 1, &[5, 5])]).await.unwrap();
    let identity = store.identity().to_owned();
    store.close().await;
    let store = Store::open(folder.path()).unwrap();
    assert_eq!(store.identity(), identity);
    assert_eq!(log(&store).await, [(1, 5), (2, 5)]);
    let late = store.append(vec![append(4, 5, 3, &[4])]).await.unwrap();
    assert_eq!(late, [Outcome::Fenced(Epoch(5))]);
}

#[tokio::test]
async fn calls_meant_for_a_replaced_store_fail() {
    let old = Store::in_memory().unwrap();
    let replacement = Arc::new(Store::in_memory().unwrap());
    assert_ne!(old.identity(), replacement.identity());
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    let identity = replacement.identity().to_owned();
    let _server = server.start(Service::new(replacement, &identity).into_rpc());
    let seal = Seal {
        slot: SLOT,
        epoch: Epoch(1),
    };
    for (identity, succeeds) in [(old.identity(), false), (&identity, true)] {
        let remote = Remote::new(address, identity, Duration::from_secs(5)).unwrap();
        assert_eq!(remote.seal(vec![seal]).await.is_ok(), succeeds);
    }
}

#[tokio::test]
async fn long_logs_are_read_in_pages() {
    let store = Store::in_memory().unwrap();
    let text = to_raw_value(&"x".repeat(1 << 20)).unwrap();
    let data: Arc<_> = text.into();
    let mut long_append = append(1, 0, 1, &[1; 6]);
    long_append
        .entries
        .iter_mut()
        .for_each(|e| e.data = Arc::clone(&data));
    store.append(vec![long_append]).await.unwrap();
    let first = store.read(SLOT, 1).await.unwrap();
    assert!(first.more && first.entries.len() < 6);
    let next = first.entries.last().unwrap().index + 1;
    let second = store.read(SLOT, next).await.unwrap();
    assert_eq!(first.entries.len() + second.entries.len(), 6);
}
