//! The task that sends batched appends to one keeper and fills gaps in the
//! keeper's logs from other keepers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use gradedyke_base::id::{self, Slot};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Index, Outcome};
use crate::keeper::{self, Keeper};
use crate::log::{Directory, Error};

/// Maximum number of appends queued for a keeper. Further appends fail
/// immediately; the keeper gets their entries when its gap is filled.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of appends in one call.
const MAX_BATCH_APPENDS: usize = 512;
/// Maximum size of the entries in one call with several appends. The largest entry is sent alone.
const MAX_BATCH_BYTES: usize = 32 << 20;

/// Counts the keepers' answers to one append until its result is known.
pub(crate) struct Quorum {
    state: Mutex<QuorumState>,
}

struct QuorumState {
    unanswered: usize,
    needed: usize,
    answer: Option<oneshot::Sender<Result<(), Error>>>,
}

impl Quorum {
    /// Creates a quorum of `keeper_count` keepers. The append succeeds once
    /// `needed` of them have stored it.
    pub(crate) fn new(
        keeper_count: usize,
        needed: usize,
    ) -> (Arc<Self>, oneshot::Receiver<Result<(), Error>>) {
        let (answer, receiver) = oneshot::channel();
        let state = Mutex::new(QuorumState {
            unanswered: keeper_count,
            needed,
            answer: Some(answer),
        });
        (Arc::new(Self { state }), receiver)
    }

    fn report(&self, result: &Result<(), Error>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.unanswered -= 1;
        let decided = match result {
            Ok(()) => {
                state.needed = state.needed.saturating_sub(1);
                (state.needed == 0).then_some(Ok(()))
            }
            Err(Error::Fenced(epoch)) => Some(Err(Error::Fenced(*epoch))),
            Err(_) => None,
        };
        let is_impossible = state.unanswered < state.needed;
        let decided = decided.or(is_impossible.then_some(Err(Error::NoMajority)));
        let Some(decided) = decided else { return };
        if let Some(answer) = state.answer.take() {
            // Sending fails if the owner has stopped waiting.
            let _ = answer.send(decided);
        }
    }
}

/// An append queued for one keeper.
struct QueuedAppend {
    append: Append,
    keepers: Arc<[id::Keeper]>,
    quorum: Arc<Quorum>,
}

/// The queue of appends for one keeper.
#[derive(Clone)]
pub(crate) struct KeeperQueue {
    queue: mpsc::Sender<QueuedAppend>,
}

impl KeeperQueue {
    pub(crate) fn start(
        name: id::Keeper,
        directory: Arc<dyn Directory>,
        stop: &CancellationToken,
    ) -> Self {
        let (queue, items) = mpsc::channel(QUEUE_CAPACITY);
        let task = Task { name, directory };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task.run(items) => {}
                () = stop.cancelled() => {}
            }
        });
        Self { queue }
    }

    pub(crate) fn push(&self, append: Append, keepers: Arc<[id::Keeper]>, quorum: Arc<Quorum>) {
        let item = QueuedAppend {
            append,
            keepers,
            quorum,
        };
        if let Err(error) = self.queue.try_send(item) {
            let item = error.into_inner();
            item.quorum.report(&Err(Error::NoMajority));
        }
    }
}

/// The task that sends the queued appends to one keeper.
struct Task {
    name: id::Keeper,
    directory: Arc<dyn Directory>,
}

impl Task {
    async fn run(&self, mut items: mpsc::Receiver<QueuedAppend>) {
        let mut next = None;
        loop {
            let first = match next.take() {
                Some(first) => first,
                None => match items.recv().await {
                    Some(first) => first,
                    None => return,
                },
            };
            let batch;
            (batch, next) = collect_batch(first, &mut items);
            let appends = batch.iter().map(|item| item.append.clone()).collect();
            let outcomes = match self.directory.keeper(&self.name) {
                Some(keeper) => self.deliver(&*keeper, appends, &batch).await,
                None => Err(keeper::Error::Unreachable(
                    "its address is unknown".to_owned(),
                )),
            };
            self.report(batch, outcomes);
        }
    }

    /// Sends the appends, fills the gaps that the keeper reports, and resends
    /// the appends that were rejected because of a gap.
    async fn deliver(
        &self,
        keeper: &dyn Keeper,
        appends: Vec<Append>,
        batch: &[QueuedAppend],
    ) -> Result<Vec<Outcome>, keeper::Error> {
        let mut outcomes = keeper.append(appends).await?;
        let gaps = find_gaps(batch, &outcomes);
        if gaps.is_empty() {
            return Ok(outcomes);
        }
        for gap in gaps.values() {
            self.fill_gap(keeper, gap).await?;
        }
        let is_gap = |outcome: &Outcome| matches!(outcome, Outcome::Gap(_));
        let resent = batch.iter().zip(&outcomes);
        let resent: Vec<Append> = resent
            .filter(|(_, outcome)| is_gap(outcome))
            .map(|(item, _)| item.append.clone())
            .collect();
        let mut resent_outcomes = keeper.append(resent).await?.into_iter();
        for outcome in outcomes.iter_mut().filter(|o| is_gap(o)) {
            *outcome = resent_outcomes.next().unwrap_or(*outcome);
        }
        Ok(outcomes)
    }

    /// Copies the missing entries of a gap from another keeper of the slot.
    async fn fill_gap(&self, keeper: &dyn Keeper, gap: &Gap<'_>) -> Result<(), keeper::Error> {
        tracing::info!(event = "journal_gap", keeper = %self.name, slot = %gap.append.slot,
            from = gap.from, to = gap.to);
        for other in gap.keepers.iter().filter(|k| **k != self.name) {
            let Some(source) = self.directory.keeper(other) else {
                continue;
            };
            let template = gap.append;
            // If this source fails, the next one is tried.
            if let Ok(true) = copy_entries(&*source, keeper, template, gap.from, gap.to).await {
                return Ok(());
            }
        }
        // The next append reports the gap again.
        Ok(())
    }

    fn report(&self, batch: Vec<QueuedAppend>, outcomes: Result<Vec<Outcome>, keeper::Error>) {
        let outcomes = match outcomes {
            Ok(outcomes) => outcomes.into_iter().map(outcome_to_result).collect(),
            Err(error) => {
                log_failure(&self.name, &error);
                vec![Err(Error::Keeper(error)); batch.len()]
            }
        };
        let missing = std::iter::repeat(Err(Error::NoMajority));
        for (item, result) in batch.into_iter().zip(outcomes.into_iter().chain(missing)) {
            item.quorum.report(&result);
        }
    }
}

fn outcome_to_result(outcome: Outcome) -> Result<(), Error> {
    match outcome {
        Outcome::Kept(_) => Ok(()),
        Outcome::Fenced(epoch) => Err(Error::Fenced(epoch)),
        Outcome::Gap(_) => Err(Error::NoMajority),
    }
}

/// Logs why appends failed. Those that are too large do not succeed when they are repeated.
fn log_failure(keeper: &id::Keeper, error: &keeper::Error) {
    match error {
        keeper::Error::TooLarge(_) => {
            tracing::error!(event = "append_failed", %keeper, %error, remedy = "report this");
        }
        _ => tracing::debug!(event = "append_failed", %keeper, %error),
    }
}

/// Takes queued appends, up to the limits of a batch. Also returns the one that did not fit.
fn collect_batch(
    first: QueuedAppend,
    items: &mut mpsc::Receiver<QueuedAppend>,
) -> (Vec<QueuedAppend>, Option<QueuedAppend>) {
    let size = |item: &QueuedAppend| -> usize {
        let entries = item.append.entries.iter();
        entries.map(|e| e.data.get().len()).sum()
    };
    let mut bytes = size(&first);
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_APPENDS {
        let Ok(item) = items.try_recv() else { break };
        bytes += size(&item);
        if bytes > MAX_BATCH_BYTES {
            return (batch, Some(item));
        }
        batch.push(item);
    }
    (batch, None)
}

/// The entries that one keeper lacks: from `from` up to but not including `to`.
struct Gap<'a> {
    append: &'a Append,
    keepers: &'a [id::Keeper],
    from: Index,
    to: Index,
}

/// Returns the gap of each slot whose append was rejected because of one.
fn find_gaps<'a>(batch: &'a [QueuedAppend], outcomes: &[Outcome]) -> HashMap<Slot, Gap<'a>> {
    let mut gaps = HashMap::new();
    for (item, outcome) in batch.iter().zip(outcomes) {
        if let Outcome::Gap(from) = *outcome {
            // The gap ends before the slot's first rejected append.
            gaps.entry(item.append.slot).or_insert(Gap {
                append: &item.append,
                keepers: &item.keepers,
                from,
                to: item.append.entries.first().map_or(from, |e| e.index),
            });
        }
    }
    gaps
}

/// Copies entries `from..to` from `source` to `target` with the slot and epoch of
/// `template`. Returns whether all of them were copied.
///
/// # Errors
///
/// The error of a call to either keeper.
pub(crate) async fn copy_entries(
    source: &dyn Keeper,
    target: &dyn Keeper,
    template: &Append,
    from: Index,
    to: Index,
) -> Result<bool, keeper::Error> {
    let mut next = from;
    while next < to {
        // Also reads the entry before `next`, for its epoch.
        let page = source.read(template.slot, next.saturating_sub(1)).await?;
        let (previous, entries, restart) = select_entries(page.entries, next, to);
        let Some(last) = entries.last().map(|e| e.index) else {
            return Ok(false);
        };
        let append = Append {
            slot: template.slot,
            epoch: template.epoch,
            previous,
            restart,
            entries,
        };
        match target.append(vec![append]).await?.first() {
            Some(Outcome::Kept(_)) => next = last + 1,
            // The logs already differ before `next`.
            Some(Outcome::Gap(earlier)) if *earlier < next => next = *earlier,
            _ => return Ok(false),
        }
    }
    Ok(true)
}

/// Selects the entries `next..to` of a page and the epoch of the entry before
/// them. The last value tells whether the target must restart its log because the
/// source has trimmed the preceding entries.
fn select_entries(entries: Vec<Entry>, next: Index, to: Index) -> (id::Epoch, Vec<Entry>, bool) {
    let mut previous = id::Epoch(0);
    let mut is_previous_known = next <= 1;
    let mut selected = Vec::with_capacity(entries.len());
    for entry in entries {
        if entry.index < next {
            previous = entry.epoch;
            is_previous_known = true;
        } else if entry.index < to {
            selected.push(entry);
        }
    }
    let restart = selected
        .first()
        .is_some_and(|e| e.index > next || !is_previous_known);
    (previous, selected, restart)
}
