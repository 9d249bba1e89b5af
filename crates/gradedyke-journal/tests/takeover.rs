//! What a majority kept is never lost, whatever owners and keepers do: random
//! schedules of appends, takeovers, lost keepers and owners that wake up late.

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
const KEEPERS: usize = 3;

/// A keeper that can be cut off, and that can lose an answer.
struct Faulty {
    store: Store,
    cut: AtomicBool,
    lose: AtomicBool,
}

impl Faulty {
    fn check(&self) -> Result<(), Error> {
        match self.cut.load(Ordering::Relaxed) {
            true => Err(Error::Unreachable("cut off".to_owned())),
            false => Ok(()),
        }
    }

    fn answer<T>(&self, answer: T) -> Result<T, Error> {
        match self.lose.swap(false, Ordering::Relaxed) {
            true => Err(Error::Unreachable("answer lost".to_owned())),
            false => Ok(answer),
        }
    }
}

#[async_trait]
impl Keeper for Faulty {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        self.check()?;
        let outcomes = self.store.append(appends).await?;
        self.answer(outcomes)
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        self.check()?;
        let sealed = self.store.seal(seals).await?;
        self.answer(sealed)
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        self.check()?;
        self.store.read(slot, from).await
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        self.check()?;
        self.store.trim(trims).await
    }
}

struct Keepers(HashMap<id::Keeper, Arc<Faulty>>);

impl Directory for Keepers {
    fn keeper(&self, name: &id::Keeper) -> Option<Arc<dyn Keeper>> {
        let keeper = self.0.get(name)?.clone();
        Some(keeper)
    }
}

fn name(number: usize) -> id::Keeper {
    id::Keeper::parse(&format!("k{number}:s")).unwrap()
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// The newest owner appends.
    Append,
    /// An owner that was replaced wakes up and appends.
    LateAppend(usize),
    /// A new owner takes the slot over.
    Takeover,
    /// A keeper is cut off, or comes back.
    Cut(usize),
    /// A keeper's next answer is lost.
    Lose(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Append),
        2 => (0..4_usize).prop_map(Step::LateAppend),
        2 => Just(Step::Takeover),
        2 => (0..KEEPERS).prop_map(Step::Cut),
        1 => (0..KEEPERS).prop_map(Step::Lose),
    ]
}

struct Bench {
    journal: Arc<Journal>,
    keepers: Vec<Arc<Faulty>>,
    logs: Vec<Arc<Log>>,
    epoch: u64,
    appended: u64,
    /// What owners were told is kept.
    kept: Arc<Mutex<Vec<u64>>>,
}

impl Bench {
    fn new() -> Self {
        let keeper = |_| {
            Arc::new(Faulty {
                store: Store::memory().unwrap(),
                cut: AtomicBool::new(false),
                lose: AtomicBool::new(false),
            })
        };
        let keepers: Vec<_> = (0..KEEPERS).map(keeper).collect();
        let named = keepers.iter().enumerate();
        let directory = named.map(|(i, k)| (name(i), k.clone())).collect();
        let journal = Journal::new(Arc::new(Keepers(directory)), CancellationToken::new());
        Self {
            journal,
            keepers,
            logs: Vec::new(),
            epoch: 0,
            appended: 0,
            kept: Arc::default(),
        }
    }

    /// Takes the slot over; `None` when no majority answers.
    async fn takeover(&mut self) -> Option<Recovered> {
        self.epoch += 1;
        let seal = Seal {
            slot: SLOT,
            epoch: Epoch(self.epoch),
        };
        let claim = Claim {
            seals: vec![seal],
            keepers: (0..KEEPERS).map(name).collect(),
        };
        let token = |_| CancellationToken::new();
        let mut recovered = recover::recover(&self.journal, &claim, token).await;
        recovered.pop()?.1.ok()
    }

    /// Appends through a log, without waiting for it for ever.
    async fn append(&mut self, log: &Arc<Log>) {
        self.appended += 1;
        let number = self.appended;
        let data = to_raw_value(&number).unwrap();
        let kept = self.kept.clone();
        let log = log.clone();
        let appending = tokio::spawn(async move {
            if log.append(data).await.is_ok() {
                kept.lock().unwrap().push(number);
            }
        });
        // An append without a majority goes on behind the next steps, as it
        // does behind an owner that gave up on it. How far it gets meanwhile
        // changes the schedule, never what must hold.
        let _ = tokio::time::timeout(std::time::Duration::from_millis(10), appending).await;
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Append => {
                if let Some(log) = self.logs.last().cloned() {
                    self.append(&log).await;
                }
            }
            Step::LateAppend(back) => {
                let late = self.logs.len().checked_sub(back + 2);
                if let Some(log) = late.and_then(|i| self.logs.get(i)).cloned() {
                    self.append(&log).await;
                }
            }
            Step::Takeover => {
                if let Some(recovered) = self.takeover().await {
                    self.check(&recovered);
                    let log = recovered.log;
                    // As the owner does: its own epoch settles what counts.
                    self.append(&log).await;
                    self.logs.push(log);
                }
            }
            Step::Cut(keeper) => {
                let cut = &self.keepers[keeper].cut;
                cut.fetch_xor(true, Ordering::Relaxed);
            }
            Step::Lose(keeper) => self.keepers[keeper].lose.store(true, Ordering::Relaxed),
        }
    }

    /// All that was said to be kept must be there, once each and in order.
    fn check(&self, recovered: &Recovered) {
        let there: Vec<u64> = recovered
            .entries
            .iter()
            .map(|e| serde_json::from_str(e.data.get()).unwrap())
            .collect();
        for number in self.kept.lock().unwrap().iter() {
            let times = there.iter().filter(|n| *n == number).count();
            assert_eq!(times, 1, "{number} was kept, there is {there:?}");
        }
    }
}

fn run(steps: Vec<Step>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut bench = Bench::new();
        bench.take(Step::Takeover).await;
        for step in steps {
            bench.take(step).await;
        }
        for keeper in &bench.keepers {
            keeper.cut.store(false, Ordering::Relaxed);
            keeper.lose.store(false, Ordering::Relaxed);
        }
        let last = bench.takeover().await.expect("all keepers are back");
        bench.check(&last);
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
    fn what_a_majority_kept_is_never_lost(steps in prop::collection::vec(step(), 1..30)) {
        run(steps);
    }
}
