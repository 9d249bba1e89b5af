//! One task for each keeper: gathers appends, sends them, mends gaps.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use gradedyke_base::id::{self, Slot};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Index, Outcome};
use crate::keeper::{self, Keeper};
use crate::log::{Directory, Error};

/// Appends that may wait for a keeper; what comes on top fails at once and is
/// mended when the keeper catches up.
const QUEUE: usize = 4_096;
/// Most appends in one call.
const BATCH: usize = 512;
/// Most bytes of entries in one call.
const BATCH_BYTES: usize = 32 << 20;

/// Counts the keepers' answers to one append.
pub(crate) struct Round {
    state: Mutex<Count>,
}

struct Count {
    open: usize,
    needed: usize,
    answer: Option<oneshot::Sender<Result<(), Error>>>,
}

impl Round {
    /// A round over `keepers` keepers that succeeds once `needed` of them keep.
    pub(crate) fn new(
        keepers: usize,
        needed: usize,
    ) -> (Arc<Self>, oneshot::Receiver<Result<(), Error>>) {
        let (answer, receiver) = oneshot::channel();
        let state = Mutex::new(Count {
            open: keepers,
            needed,
            answer: Some(answer),
        });
        (Arc::new(Self { state }), receiver)
    }

    fn report(&self, result: &Result<(), Error>) {
        let mut count = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        count.open -= 1;
        let end = match result {
            Ok(()) => {
                count.needed = count.needed.saturating_sub(1);
                (count.needed == 0).then_some(Ok(()))
            }
            Err(Error::Fenced(epoch)) => Some(Err(Error::Fenced(*epoch))),
            Err(_) => None,
        };
        let hopeless = count.open < count.needed;
        let end = end.or(hopeless.then_some(Err(Error::NoMajority)));
        let Some(end) = end else { return };
        if let Some(answer) = count.answer.take() {
            // Nobody waits when the owner has stopped.
            let _ = answer.send(end);
        }
    }
}

/// An append on its way to one keeper.
struct Item {
    append: Append,
    keepers: Arc<[id::Keeper]>,
    round: Arc<Round>,
}

/// The queue to one keeper's task.
#[derive(Clone)]
pub(crate) struct Peer {
    queue: mpsc::Sender<Item>,
}

impl Peer {
    pub(crate) fn start(
        instance: id::Keeper,
        directory: Arc<dyn Directory>,
        stop: &CancellationToken,
    ) -> Self {
        let (queue, items) = mpsc::channel(QUEUE);
        let task = Task {
            instance,
            directory,
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = task.run(items) => {}
                () = stop.cancelled() => {}
            }
        });
        Self { queue }
    }

    pub(crate) fn push(&self, append: Append, keepers: Arc<[id::Keeper]>, round: Arc<Round>) {
        let item = Item {
            append,
            keepers,
            round,
        };
        if let Err(refused) = self.queue.try_send(item) {
            let item = refused.into_inner();
            item.round.report(&Err(Error::NoMajority));
        }
    }
}

struct Task {
    instance: id::Keeper,
    directory: Arc<dyn Directory>,
}

impl Task {
    async fn run(&self, mut items: mpsc::Receiver<Item>) {
        while let Some(first) = items.recv().await {
            let batch = gather(first, &mut items);
            let appends = batch.iter().map(|item| item.append.clone()).collect();
            let outcomes = match self.directory.keeper(&self.instance) {
                Some(keeper) => self.deliver(&*keeper, appends, &batch).await,
                None => Err(keeper::Error::Unreachable(
                    "its address is unknown".to_owned(),
                )),
            };
            self.report(batch, outcomes);
        }
    }

    /// Sends the appends, mends the gaps the keeper tells of, and sends again
    /// what fell into a gap.
    async fn deliver(
        &self,
        keeper: &dyn Keeper,
        appends: Vec<Append>,
        batch: &[Item],
    ) -> Result<Vec<Outcome>, keeper::Error> {
        let mut outcomes = keeper.append(appends).await?;
        let gaps = gaps(batch, &outcomes);
        if gaps.is_empty() {
            return Ok(outcomes);
        }
        for gap in gaps.values() {
            self.mend(keeper, gap).await?;
        }
        let fell = |outcome: &Outcome| matches!(outcome, Outcome::Gap(_));
        let again = batch.iter().zip(&outcomes);
        let again: Vec<Append> = again
            .filter(|(_, outcome)| fell(outcome))
            .map(|(item, _)| item.append.clone())
            .collect();
        let mut second = keeper.append(again).await?.into_iter();
        for outcome in outcomes.iter_mut().filter(|o| fell(o)) {
            *outcome = second.next().unwrap_or(*outcome);
        }
        Ok(outcomes)
    }

    /// Copies the entries of a gap from the slot's other keepers.
    async fn mend(&self, keeper: &dyn Keeper, gap: &Gap<'_>) -> Result<(), keeper::Error> {
        tracing::info!(event = "journal_gap", keeper = %self.instance, slot = %gap.append.slot,
            from = gap.from, to = gap.to);
        for other in gap.keepers.iter().filter(|k| **k != self.instance) {
            let Some(source) = self.directory.keeper(other) else {
                continue;
            };
            let first = gap.append;
            // Where this source fails, the next one may do.
            if let Ok(true) = copy(&*source, keeper, first, gap.from, gap.to).await {
                return Ok(());
            }
        }
        // Another append will find the gap again.
        Ok(())
    }

    fn report(&self, batch: Vec<Item>, outcomes: Result<Vec<Outcome>, keeper::Error>) {
        let outcomes = match outcomes {
            Ok(outcomes) => outcomes.into_iter().map(outcome).collect(),
            Err(error) => {
                tracing::debug!(event = "append_failed", keeper = %self.instance, %error);
                vec![Err(Error::Keeper(error)); batch.len()]
            }
        };
        let missing = std::iter::repeat(Err(Error::NoMajority));
        for (item, result) in batch.into_iter().zip(outcomes.into_iter().chain(missing)) {
            item.round.report(&result);
        }
    }
}

fn outcome(outcome: Outcome) -> Result<(), Error> {
    match outcome {
        Outcome::Kept(_) => Ok(()),
        Outcome::Fenced(epoch) => Err(Error::Fenced(epoch)),
        Outcome::Gap(_) => Err(Error::NoMajority),
    }
}

/// Takes what waits, up to a batch.
fn gather(first: Item, items: &mut mpsc::Receiver<Item>) -> Vec<Item> {
    let size = |item: &Item| -> usize {
        let entries = item.append.entries.iter();
        entries.map(|e| e.data.get().len()).sum()
    };
    let mut bytes = size(&first);
    let mut batch = vec![first];
    while batch.len() < BATCH && bytes < BATCH_BYTES {
        let Ok(item) = items.try_recv() else { break };
        bytes += size(&item);
        batch.push(item);
    }
    batch
}

/// Entries that one keeper lacks: from `from` up to but not including `to`.
struct Gap<'a> {
    append: &'a Append,
    keepers: &'a [id::Keeper],
    from: Index,
    to: Index,
}

fn gaps<'a>(batch: &'a [Item], outcomes: &[Outcome]) -> HashMap<Slot, Gap<'a>> {
    let mut gaps = HashMap::new();
    for (item, outcome) in batch.iter().zip(outcomes) {
        if let Outcome::Gap(from) = *outcome {
            // The first append of a slot that fell into the gap ends it.
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

/// Copies entries from `source` to `target` in the name of the owner that sent
/// `like`. Tells whether the gap is closed.
///
/// # Errors
///
/// Either keeper's failure.
pub(crate) async fn copy(
    source: &dyn Keeper,
    target: &dyn Keeper,
    like: &Append,
    from: Index,
    to: Index,
) -> Result<bool, keeper::Error> {
    let mut next = from;
    while next < to {
        // One entry more than wanted, to know the epoch before the first.
        let page = source.read(like.slot, next.saturating_sub(1)).await?;
        let (previous, entries, restart) = part(page.entries, next, to);
        let Some(last) = entries.last().map(|e| e.index) else {
            return Ok(false);
        };
        let append = Append {
            slot: like.slot,
            epoch: like.epoch,
            previous,
            restart,
            entries,
        };
        match target.append(vec![append]).await?.first() {
            Some(Outcome::Kept(_)) => next = last + 1,
            // The logs differ further back than was thought.
            Some(Outcome::Gap(earlier)) if *earlier < next => next = *earlier,
            _ => return Ok(false),
        }
    }
    Ok(true)
}

/// Cuts a page that begins one entry early down to `next..to`. Where the source
/// has trimmed what comes before, the target must restart its log.
fn part(entries: Vec<Entry>, next: Index, to: Index) -> (id::Epoch, Vec<Entry>, bool) {
    let mut previous = id::Epoch(0);
    let mut known = next <= 1;
    let mut wanted = Vec::with_capacity(entries.len());
    for entry in entries {
        if entry.index < next {
            previous = entry.epoch;
            known = true;
        } else if entry.index < to {
            wanted.push(entry);
        }
    }
    let restart = wanted.first().is_some_and(|e| e.index > next || !known);
    (previous, wanted, restart)
}
