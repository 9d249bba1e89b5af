//! Recovery: what a new owner does before it serves a slot.

use std::sync::Arc;

use futures_util::future::join_all;
use gradedyke_base::id::{self, Slot};
use tokio_util::sync::CancellationToken;

use crate::entry::{Append, Entry, Seal, Sealed, Tail};
use crate::keeper::{self, Keeper};
use crate::log::{Error, Journal, Log, majority};
use crate::peer;

/// Most slots sealed in one call.
const SEALS: usize = 4_096;

/// A keeper that has sealed, with the tails of the slots asked about.
struct Reply {
    keeper: Arc<dyn Keeper>,
    tails: Vec<Sealed>,
}

/// Slots of the same keepers to recover, each with its new epoch.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The slots.
    pub seals: Vec<Seal>,
    /// Their keepers.
    pub keepers: Arc<[id::Keeper]>,
}

/// A slot that may be served from now on.
pub struct Recovered {
    /// Its log, open at the new epoch.
    pub log: Arc<Log>,
    /// All that a majority ever kept, in order.
    pub entries: Vec<Entry>,
}

/// Recovers the slots of `claim`. Their logs are closed by the token that
/// `token` gives for each.
///
/// # Errors
///
/// For each slot: [`Error::Fenced`] when somebody newer owns it,
/// [`Error::NoMajority`] when too few keepers answer; then try again.
pub async fn recover(
    journal: &Arc<Journal>,
    claim: &Claim,
    token: impl Fn(Slot) -> CancellationToken,
) -> Vec<(Slot, Result<Recovered, Error>)> {
    let replies = seal_all(journal, claim).await;
    let mut recovered = Vec::with_capacity(claim.seals.len());
    for (i, seal) in claim.seals.iter().enumerate() {
        let result = one(journal, claim, i, &replies, token(seal.slot)).await;
        recovered.push((seal.slot, result));
    }
    recovered
}

async fn seal_all(journal: &Journal, claim: &Claim) -> Vec<Reply> {
    let sealing = claim.keepers.iter().filter_map(|instance| {
        let keeper = journal.keeper(instance)?;
        Some(async move {
            match seal(&*keeper, &claim.seals).await {
                Ok(tails) => Some(Reply { keeper, tails }),
                Err(error) => {
                    tracing::warn!(event = "seal_failed", keeper = %instance, %error);
                    None
                }
            }
        })
    });
    join_all(sealing).await.into_iter().flatten().collect()
}

async fn seal(keeper: &dyn Keeper, seals: &[Seal]) -> Result<Vec<Sealed>, keeper::Error> {
    let mut tails = Vec::with_capacity(seals.len());
    for part in seals.chunks(SEALS) {
        tails.extend(keeper.seal(part.to_vec()).await?);
    }
    Ok(tails)
}

/// Recovers the slot at place `i` of the claim.
async fn one(
    journal: &Arc<Journal>,
    claim: &Claim,
    i: usize,
    replies: &[Reply],
    stop: CancellationToken,
) -> Result<Recovered, Error> {
    let Seal { slot, epoch } = claim.seals[i];
    let needed = majority(claim.keepers.len());
    let mut sealed: Vec<(Tail, &Arc<dyn Keeper>)> = Vec::new();
    for reply in replies {
        match reply.tails.get(i) {
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
    let mut level = 1;
    for (theirs, keeper) in &sealed[1..] {
        level += usize::from(
            *theirs == tail || catch_up(&**best, &***keeper, claim, i, *theirs, tail).await,
        );
    }
    if level < needed {
        return Err(Error::NoMajority);
    }
    Ok(Recovered {
        log: open(tail),
        entries,
    })
}

/// Brings a keeper that is behind up to the best log.
async fn catch_up(
    best: &dyn Keeper,
    keeper: &dyn Keeper,
    claim: &Claim,
    i: usize,
    theirs: Tail,
    tail: Tail,
) -> bool {
    let Seal { slot, epoch } = claim.seals[i];
    let like = Append {
        slot,
        epoch,
        previous: tail.epoch,
        restart: false,
        entries: Vec::new(),
    };
    let from = theirs.index.min(tail.index).max(1);
    let copied = peer::copy(best, keeper, &like, from, tail.index + 1).await;
    copied.unwrap_or(false)
}

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
