//! Sends settlements to the replicas in the background.
//!
//! An attempt that was refused or aborted may have left a reservation, which counts against
//! its program's budget until it is settled. Pending settlements are sent in batches, one
//! batch at a time, with exponential backoff while no majority answers. Batching keeps the
//! cost of refused attempts low for replicas that are overloaded.

use std::collections::VecDeque;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::{CALL_TIMEOUT, Coordinator, Error};
use crate::message::{self, Request};
use crate::record::{Record, Settled};

/// How long a settlement is retried. Replicas may take this long to be back after all were lost; a
/// pending settlement takes about a hundred bytes.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of pending settlements. Beyond that the oldest are dropped.
const MAX_QUEUE_LEN: usize = 4_096;
/// Maximum number of settlements in one request. About 20 kB.
const MAX_BATCH_LEN: usize = 256;
/// First delay before a failed request is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A settlement that no majority has acknowledged, and when to give up on it.
struct PendingSettlement {
    settled: Settled,
    deadline: Instant,
}

/// Pending settlements, oldest first.
#[derive(Default)]
pub(super) struct SettlementQueue {
    pending: VecDeque<PendingSettlement>,
    /// Whether a task is sending them.
    is_sending: bool,
}

impl SettlementQueue {
    /// Adds a settlement. Returns whether the caller must start the sending task.
    fn push(&mut self, settled: Settled, deadline: Instant) -> bool {
        self.pending
            .push_back(PendingSettlement { settled, deadline });
        if self.pending.len() > MAX_QUEUE_LEN {
            self.drop_oldest(1);
        }
        !std::mem::replace(&mut self.is_sending, true)
    }

    /// Drops the `count` oldest settlements and logs that.
    fn drop_oldest(&mut self, count: usize) {
        let dropped = self.pending.drain(..count);
        let first = dropped.map(|p| p.settled.request).next();
        let first = first.map_or_else(String::new, |request| request.to_string());
        // The reservations still count against the budgets of their programs.
        tracing::warn!(
            event = "not_settled",
            count,
            first,
            remedy = "check why the replicas do not answer"
        );
    }

    /// Drops expired settlements and returns the next batch. An empty batch ends the sending
    /// task.
    fn next_batch(&mut self, now: Instant) -> Vec<Settled> {
        let expired = self
            .pending
            .iter()
            .take_while(|p| p.deadline <= now)
            .count();
        if expired > 0 {
            self.drop_oldest(expired);
        }
        let batch = self.pending.iter().take(MAX_BATCH_LEN);
        let batch: Vec<Settled> = batch.map(|p| p.settled.clone()).collect();
        self.is_sending = !batch.is_empty();
        batch
    }

    /// Removes an acknowledged batch from the front of the queue.
    fn remove_sent(&mut self, sent: &[Settled]) {
        // The first settlements of the batch may have been dropped meanwhile, so find the last
        // one.
        let last = sent.last().map(|s| &s.request);
        let last_index = self
            .pending
            .iter()
            .position(|p| Some(&p.settled.request) == last);
        self.pending.drain(..last_index.map_or(0, |i| i + 1));
    }
}

impl Coordinator {
    fn lock_queue(&self) -> MutexGuard<'_, SettlementQueue> {
        self.settlement_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a settlement to the replicas in the background, with retries.
    pub fn settle(&self, settled: Settled) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let start_task = self.lock_queue().push(settled, deadline);
        if start_task && let Some(coordinator) = self.weak_self.upgrade() {
            tokio::spawn(coordinator.send_pending());
        }
    }

    /// Sends all pending settlements; returns when none is left.
    async fn send_pending(self: Arc<Self>) {
        let mut backoff = Backoff::unlimited(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let batch = self.lock_queue().next_batch(Instant::now());
            if batch.is_empty() {
                return;
            }
            if self.send_batch(&batch).await.is_ok() {
                self.lock_queue().remove_sent(&batch);
                backoff = Backoff::unlimited(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                continue;
            }
            tokio::time::sleep(backoff.next_delay(rand::random())).await;
        }
    }

    /// Writes one batch to a majority.
    async fn send_batch(&self, settled: &[Settled]) -> Result<(), Error> {
        let records: Vec<Record> = settled.iter().cloned().map(Record::Settled).collect();
        loop {
            let view = self.view();
            let request = message::encode(&Request::KeepAll {
                view: view.version,
                records: records.clone(),
            });
            let deadline = Instant::now() + CALL_TIMEOUT;
            if let Some(result) = self.send_to_quorum(&view, request, deadline).await {
                return result.map(|_| ());
            }
        }
    }
}
