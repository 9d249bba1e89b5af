//! Entries stored by a majority are never lost, under random schedules of appends,
//! takeovers, unreachable keepers and late appends by replaced owners.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use gradedyke_base::id::{self, Epoch, Slot};
use gradedyke_journal::Keeper;
use gradedyke_journal::entry::{Append, Index, Outcome, Page, Seal, Sealed, Trim};
use gradedyke_journal::keeper::Error;
use gradedyke_journal::log::{Directory, Journal, Log};
use gradedyke_journal::recover::{self, Claim, Recovered};
use gradedyke_journal::store::Store;
use proptest::prelude::*;
use serde_json::value::to_raw_value;
use tokio_util::sync::CancellationToken;

const SLOT: Slot = Slot(1);
const KEEPER_COUNT: usize = 3;

/// A keeper that can be made unreachable or lose an answer.
struct FaultyKeeper {
    store: Store,
    is_unreachable: AtomicBool,
    lose_next_answer: AtomicBool,
}

impl FaultyKeeper {
    fn check_reachable(&self) -> Result<(), Error> {
        match self.is_unreachable.load(Ordering::Relaxed) {
            true => Err(Error::Unreachable("unreachable".to_owned())),
            false => Ok(()),
        }
    }

    fn answer<T>(&self, answer: T) -> Result<T, Error> {
        match self.lose_next_answer.swap(false, Ordering::Relaxed) {
            true => Err(Error::Unreachable("answer lost".to_owned())),
            false => Ok(answer),
        }
    }
}

#[async_trait]
impl Keeper for FaultyKeeper {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        self.check_reachable()?;
        let outcomes = self.store.append(appends).await?;
        self.answer(outcomes)
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        self.check_reachable()?;
        let sealed = self.store.seal(seals).await?;
        self.answer(sealed)
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        self.check_reachable()?;
        self.store.read(slot, from).await
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        self.check_reachable()?;
        self.store.trim(trims).await
    }
}

struct FaultyDirectory(HashMap<id::Keeper, Arc<FaultyKeeper>>);

impl Directory for FaultyDirectory {
    fn keeper(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        let keeper = self.0.get(name)?.clone();
        Some(keeper)
    }
}

fn keeper_name(number: usize) -> id::Keeper {
    id::Keeper::parse(&format!("k{number}:s")).unwrap()
}

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    /// The newest owner appends.
    Append,
    /// A replaced owner appends; the number counts back from the one before the
    /// newest.
    LateAppend(usize),
    /// A new owner takes over the slot.
    Takeover,
    /// A keeper becomes unreachable, or reachable again.
    ToggleReachable(usize),
    /// A keeper's next answer is lost.
    LoseAnswer(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Append),
        2 => (0..4_usize).prop_map(Step::LateAppend),
        2 => Just(Step::Takeover),
        2 => (0..KEEPER_COUNT).prop_map(Step::ToggleReachable),
        1 => (0..KEEPER_COUNT).prop_map(Step::LoseAnswer),
    ]
}

/// Keepers, the logs of successive owners and the entries known to be stored.
struct Cluster {
    journal: Arc<Journal>,
    keepers: Vec<Arc<FaultyKeeper>>,
    logs: Vec<Arc<Log>>,
    epoch: u64,
    appended: u64,
    /// The entries whose append succeeded.
    stored: Arc<Mutex<Vec<u64>>>,
}

impl Cluster {
    fn new() -> Self {
        let keeper = |_| {
            Arc::new(FaultyKeeper {
                store: Store::in_memory().unwrap(),
                is_unreachable: AtomicBool::new(false),
                lose_next_answer: AtomicBool::new(false),
            })
        };
        let keepers: Vec<_> = (0..KEEPER_COUNT).map(keeper).collect();
        let numbered = keepers.iter().enumerate();
        let directory = numbered.map(|(i, k)| (keeper_name(i), k.clone())).collect();
        let journal = Journal::new(
            Arc::new(FaultyDirectory(directory)),
            CancellationToken::new(),
        );
        Self {
            journal,
            keepers,
            logs: Vec::new(),
            epoch: 0,
            appended: 0,
            stored: Arc::default(),
        }
    }

    /// Takes over the slot; returns `None` if no majority of keepers answers.
    async fn takeover(&mut self) -> Option<Recovered> {
        self.epoch += 1;
        let seal = Seal {
            slot: SLOT,
            epoch: Epoch(self.epoch),
        };
        let claim = Claim {
            seals: vec![seal],
            keepers: (0..KEEPER_COUNT).map(keeper_name).collect(),
        };
        let token = |_| CancellationToken::new();
        let mut recovered = recover::recover(&self.journal, &claim, token).await;
        recovered.pop()?.1.ok()
    }

    /// Appends an entry and waits a short time for the result.
    async fn append(&mut self, log: &Arc<Log>) {
        self.appended += 1;
        let number = self.appended;
        let data = to_raw_value(&number).unwrap();
        let stored = self.stored.clone();
        let log = log.clone();
        let appending = tokio::spawn(async move {
            if log.append(data).await.is_ok() {
                stored.lock().unwrap().push(number);
            }
        });
        // An append without a majority is retried in the background during the
        // next steps, as for an owner that has stopped waiting.
        let _ = tokio::time::timeout(std::time::Duration::from_millis(10), appending).await;
    }

    async fn run_step(&mut self, step: Step) {
        match step {
            Step::Append => {
                if let Some(log) = self.logs.last().cloned() {
                    self.append(&log).await;
                }
            }
            Step::LateAppend(back) => {
                let index = self.logs.len().checked_sub(back + 2);
                if let Some(log) = index.and_then(|i| self.logs.get(i)).cloned() {
                    self.append(&log).await;
                }
            }
            Step::Takeover => {
                if let Some(recovered) = self.takeover().await {
                    self.check(&recovered);
                    let log = recovered.log;
                    // As a real owner does: an entry of the new epoch commits
                    // the recovered entries.
                    self.append(&log).await;
                    self.logs.push(log);
                }
            }
            Step::ToggleReachable(keeper) => {
                let is_unreachable = &self.keepers[keeper].is_unreachable;
                is_unreachable.fetch_xor(true, Ordering::Relaxed);
            }
            Step::LoseAnswer(keeper) => self.keepers[keeper]
                .lose_next_answer
                .store(true, Ordering::Relaxed),
        }
    }

    /// Checks that each entry whose append succeeded was recovered exactly once.
    fn check(&self, recovered: &Recovered) {
        let found: Vec<u64> = recovered
            .entries
            .iter()
            .map(|e| serde_json::from_str(e.data.get()).unwrap())
            .collect();
        for number in self.stored.lock().unwrap().iter() {
            let count = found.iter().filter(|n| *n == number).count();
            assert_eq!(
                count, 1,
                "entry {number} was stored; recovered entries: {found:?}"
            );
        }
    }
}

fn run_schedule(steps: Vec<Step>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut cluster = Cluster::new();
        cluster.run_step(Step::Takeover).await;
        for step in steps {
            cluster.run_step(step).await;
        }
        for keeper in &cluster.keepers {
            keeper.is_unreachable.store(false, Ordering::Relaxed);
            keeper.lose_next_answer.store(false, Ordering::Relaxed);
        }
        let last = cluster.takeover().await.expect("all keepers are reachable");
        cluster.check(&last);
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_stored_by_a_majority_are_never_lost(steps in prop::collection::vec(step(), 1..30)) {
        run_schedule(steps);
    }
}
