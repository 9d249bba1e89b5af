//! Recovery of a slot's log by a new owner, before it serves the slot.

use std::sync::Arc;

use futures_util::future::join_all;
use gradedyke_base::id::{self, Slot};
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Seal, Sealed, Tail};
use crate::keeper::{self, Keeper};
use crate::log::{Error, Journal, Log, majority};
use crate::peer;

/// Maximum number of slots sealed in one call.
const MAX_SEALS_PER_CALL: usize = 4_096;

/// A keeper that answered the seals, with one result for each slot of the claim.
struct SealReply {
    keeper: Arc<dyn Keeper>,
    results: Vec<Sealed>,
}

/// Slots to recover that have the same keepers, each with its new epoch.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The slots with their new epochs.
    pub seals: Vec<Seal>,
    /// The keepers of all these slots.
    pub keepers: Arc<[id::Keeper]>,
}

/// A recovered slot, ready to be served.
pub struct Recovered {
    /// The slot's log, open at the new epoch.
    pub log: Arc<Log>,
    /// The entries of the log, in order. They include every entry that a
    /// majority has stored, except trimmed ones.
    pub entries: Vec<Entry>,
}

/// Recovers the slots of `claim`. Cancelling the token that `token` returns for
/// a slot closes that slot's log.
///
/// # Errors
///
/// For each slot: [`Error::Fenced`] if an owner with a higher epoch has taken it
/// over, [`Error::NoMajority`] if too few keepers answered or could be brought
/// up to date, or [`Error::Keeper`] if the log could not be read. The last two can
/// be retried.
pub async fn recover(
    journal: &Arc<Journal>,
    claim: &Claim,
    token: impl Fn(Slot) -> CancellationToken,
) -> Vec<(Slot, Result<Recovered, Error>)> {
    let replies = seal_all(journal, claim).await;
    let mut recovered = Vec::with_capacity(claim.seals.len());
    for (i, seal) in claim.seals.iter().enumerate() {
        let result = recover_slot(journal, claim, i, &replies, token(seal.slot)).await;
        recovered.push((seal.slot, result));
    }
    recovered
}

/// Seals the claim's slots at all keepers and returns the successful replies.
async fn seal_all(journal: &Journal, claim: &Claim) -> Vec<SealReply> {
    let sealing = claim.keepers.iter().filter_map(|name| {
        let keeper = journal.keeper(name)?;
        Some(async move {
            match seal(&*keeper, &claim.seals).await {
                Ok(results) => Some(SealReply { keeper, results }),
                Err(error) => {
                    tracing::warn!(event = "seal_failed", keeper = %name, %error);
                    None
                }
            }
        })
    });
    join_all(sealing).await.into_iter().flatten().collect()
}

async fn seal(keeper: &dyn Keeper, seals: &[Seal]) -> Result<Vec<Sealed>, keeper::Error> {
    let mut results = Vec::with_capacity(seals.len());
    for chunk in seals.chunks(MAX_SEALS_PER_CALL) {
        results.extend(keeper.seal(chunk.to_vec()).await?);
    }
    Ok(results)
}

/// Recovers the slot of the claim's `i`-th seal.
async fn recover_slot(
    journal: &Arc<Journal>,
    claim: &Claim,
    i: usize,
    replies: &[SealReply],
    stop: CancellationToken,
) -> Result<Recovered, Error> {
    let Seal { slot, epoch } = claim.seals[i];
    let needed = majority(claim.keepers.len());
    let mut sealed: Vec<(Tail, &Arc<dyn Keeper>)> = Vec::new();
    for reply in replies {
        match reply.results.get(i) {
            Some(Sealed::At(tail)) => sealed.push((*tail, &reply.keeper)),
            Some(Sealed::Fenced(newer)) => return Err(Error::Fenced(*newer)),
            None => {}
        }
    }
    if sealed.len() < needed {
        return Err(Error::NoMajority);
    }
    sealed.sort_by_key(|(tail, _)| std::cmp::Reverse(*tail));
    let (tail, best) = sealed[0];
    let open = |tail| Log::new(journal, slot, epoch, claim.keepers.clone(), tail, stop);
    if tail.index == 0 {
        let entries = Vec::new();
        return Ok(Recovered {
            log: open(tail),
            entries,
        });
    }
    let entries = read_all(&**best, slot).await?;
    let mut up_to_date = 1;
    for (keeper_tail, keeper) in &sealed[1..] {
        up_to_date += usize::from(
            *keeper_tail == tail
                || catch_up(&**best, &***keeper, claim, i, *keeper_tail, tail).await,
        );
    }
    if up_to_date < needed {
        return Err(Error::NoMajority);
    }
    Ok(Recovered {
        log: open(tail),
        entries,
    })
}

/// Copies the entries that a keeper lacks from the keeper with the most complete
/// log. Returns whether the keeper is now up to date.
async fn catch_up(
    best: &dyn Keeper,
    keeper: &dyn Keeper,
    claim: &Claim,
    i: usize,
    keeper_tail: Tail,
    tail: Tail,
) -> bool {
    let Seal { slot, epoch } = claim.seals[i];
    let template = Append {
        slot,
        epoch,
        previous: tail.epoch,
        restart: false,
        entries: Vec::new(),
    };
    let from = keeper_tail.index.min(tail.index).max(1);
    let copied = peer::copy_entries(best, keeper, &template, from, tail.index + 1).await;
    copied.unwrap_or(false)
}

/// Reads all entries of a slot's log.
async fn read_all(keeper: &dyn Keeper, slot: Slot) -> Result<Vec<Entry>, Error> {
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let from = entries.last().map_or(1, |e| e.index + 1);
        let page = keeper.read(slot, from).await?;
        entries.extend(page.entries);
        if !page.more {
            return Ok(entries);
        }
    }
}
