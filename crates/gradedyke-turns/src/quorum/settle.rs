//! Settlements on their way to the replicas.
//!
//! An attempt that was refused or broke off may have left a reservation, which counts
//! against its program's budget until it is settled. That is done behind the caller's
//! back: everything that waits is told in one exchange, one exchange at a time, with
//! waits that double while no majority answers. Refused work then costs replicas that
//! have fallen behind less than served work, and they catch up.

use std::collections::VecDeque;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::{CALL, Quorum, Refusal};
use crate::message::{self, Request};
use crate::record::{Record, Settled};

/// For how long an attempt is tried to be settled: as long as replicas may take to be back
/// after all of them were lost, and what waits costs a hundred bytes.
const SETTLE: Duration = Duration::from_secs(30);
/// Settlements that may wait, a few hundred kB. The oldest go first beyond that.
const WAITING: usize = 4_096;
/// Settlements told in one exchange: about 20 kB.
const TOGETHER: usize = 256;
/// Wait after an exchange that failed, the first time: a few syncs of a slow disk.
const FIRST: Duration = Duration::from_millis(50);
/// The longest such wait.
const LONGEST: Duration = Duration::from_secs(2);

struct Waiting {
    settled: Settled,
    until: Instant,
}

/// Settlements that have not been told.
#[derive(Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    /// Whether a task tells them.
    told: bool,
}

impl Queue {
    /// Puts one in. Returns whether a task is to be started for it.
    fn put(&mut self, settled: Settled, until: Instant) -> bool {
        self.waiting.push_back(Waiting { settled, until });
        if self.waiting.len() > WAITING {
            self.drop_first(1);
        }
        !std::mem::replace(&mut self.told, true)
    }

    fn drop_first(&mut self, count: usize) {
        let dropped = self.waiting.drain(..count);
        let first = dropped.map(|w| w.settled.request).next();
        let first = first.map_or_else(String::new, |request| request.to_string());
        // They stay reserved, which only makes the budgets smaller.
        tracing::warn!(
            event = "not_settled",
            count,
            first,
            remedy = "see why the keepers do not answer"
        );
    }

    /// The next to be told; none when nothing waits, and then the task ends.
    fn next(&mut self, now: Instant) -> Vec<Settled> {
        let late = self.waiting.iter().take_while(|w| w.until <= now).count();
        if late > 0 {
            self.drop_first(late);
        }
        let next = self.waiting.iter().take(TOGETHER);
        let next: Vec<Settled> = next.map(|w| w.settled.clone()).collect();
        self.told = !next.is_empty();
        next
    }

    /// Forgets the first ones, which have been told.
    fn forget(&mut self, told: &[Settled]) {
        // Some of them may have been dropped meanwhile, the oldest.
        let last = told.last().map(|t| &t.request);
        let place = self
            .waiting
            .iter()
            .position(|w| Some(&w.settled.request) == last);
        self.waiting.drain(..place.map_or(0, |p| p + 1));
    }
}

impl Quorum {
    fn settlements(&self) -> MutexGuard<'_, Queue> {
        self.settlements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Settles what an attempt used, in the background.
    pub fn settle(&self, settled: Settled) {
        let until = Instant::now() + SETTLE;
        let start = self.settlements().put(settled, until);
        if start && let Some(quorum) = self.own_handle.upgrade() {
            tokio::spawn(quorum.settle_all());
        }
    }

    async fn settle_all(self: Arc<Self>) {
        let mut backoff = Backoff::endless(FIRST, LONGEST);
        loop {
            let next = self.settlements().next(Instant::now());
            if next.is_empty() {
                return;
            }
            if self.keep_all(&next).await.is_ok() {
                self.settlements().forget(&next);
                backoff = Backoff::endless(FIRST, LONGEST);
                continue;
            }
            tokio::time::sleep(backoff.step(rand::random())).await;
        }
    }

    async fn keep_all(&self, settled: &[Settled]) -> Result<(), Refusal> {
        let records: Vec<Record> = settled.iter().cloned().map(Record::Settled).collect();
        loop {
            let view = self.view();
            let request = message::encode(&Request::KeepAll {
                view: view.version,
                records: records.clone(),
            });
            let until = Instant::now() + CALL;
            if let Some(result) = self.tell(&view, request, until).await {
                return result.map(|_| ());
            }
        }
    }
}
