//! Recovers the slots that the slot map assigns to this process, drops those that
//! it assigns to others, and hands slots over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id::{self, Epoch, Slot};
use gradedyke_journal::entry::Seal;
use gradedyke_journal::log::Error;
use gradedyke_journal::recover::{self, Claim, Recovered};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::answer::Answer;
use super::holding::Holding;
use super::run::{self, Context};
use super::session::{Arrival, Session};
use super::{Owner, lock};
use crate::ownership::assign;
use crate::ownership::map::{SHARDS, Version, place, slot};
use crate::program::record::{Intent, Record};
use crate::program::state::{Key, Trees, fold};

/// Delay before a pass that could not recover or hand over every slot is retried.
const TICK: Duration = Duration::from_millis(200);

/// Follows the slot map and the members until the process stops. A pass goes
/// through all slots, so it runs only after a change or an incomplete pass.
pub(super) async fn run(owner: Arc<Owner>) {
    let mut map = owner.map.subscribe();
    let mut members = owner.members.subscribe();
    loop {
        map.borrow_and_update();
        members.borrow_and_update();
        let claimed = owner.take_up().await;
        let handed = owner.hand_over().await;
        owner.served.send_replace(owner.serves());
        let left_over = !claimed || !handed;
        tokio::select! {
            _ = map.changed() => {}
            _ = members.changed() => {}
            () = owner.draining.cancelled(), if !owner.closing() => {}
            () = tokio::time::sleep(TICK), if left_over => {}
            () = owner.stop.cancelled() => return,
        }
    }
}

impl Owner {
    /// Returns whether a planned stop is in progress.
    fn closing(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Drops and recovers slots as the slot map says. Returns whether all slots
    /// that are assigned to this process are served.
    async fn take_up(self: &Arc<Self>) -> bool {
        let view = self.map.view();
        self.drop_lost(&view);
        let mut whole = true;
        for (number, version) in view.iter().enumerate() {
            let number = u16::try_from(number).unwrap_or(SHARDS);
            let seals = self.missing(number, version);
            if seals.is_empty() {
                continue;
            }
            let claim = Claim {
                seals,
                keepers: version.shard.keepers.clone().into(),
            };
            whole &= self.claim(&claim).await;
        }
        whole
    }

    /// Cancels and drops slots that have a newer epoch in the slot map, and drops
    /// slots that are already cancelled.
    fn drop_lost(&self, view: &[Version]) {
        lock(&self.holdings).retain(|slot, holding| {
            let (shard, place) = place(*slot);
            let holder = view[usize::from(shard)].shard.holder(place);
            let epoch = holding.log.epoch();
            let newer = holder.is_some_and(|h| h.epoch > epoch);
            if newer {
                holding.stop.cancel();
            }
            !holding.stop.is_cancelled()
        });
    }

    /// Returns the slots of a shard that are assigned to this process and not
    /// served yet.
    fn missing(&self, number: u16, version: &Version) -> Vec<Seal> {
        let holdings = lock(&self.holdings);
        let shard = &version.shard;
        let places = 0..u16::try_from(shard.slots.len()).unwrap_or(0);
        let seals = places.filter_map(|place| {
            let slot = slot(number, place);
            let holder = shard.holder(place)?;
            let ours = holder.owner == self.id && !holdings.contains_key(&slot);
            ours.then_some(Seal {
                slot,
                epoch: holder.epoch,
            })
        });
        seals.collect()
    }

    /// Recovers slots and serves them. Returns false if any has to be retried.
    async fn claim(self: &Arc<Self>, claim: &Claim) -> bool {
        let tokens: HashMap<Slot, CancellationToken> = claim
            .seals
            .iter()
            .map(|seal| (seal.slot, self.stop.child_token()))
            .collect();
        let token = |slot: Slot| tokens.get(&slot).cloned().unwrap_or_default();
        let recovered = recover::recover(&self.journal, claim, token).await;
        let mut left = 0;
        let mut cause = None;
        for (slot, result) in recovered {
            match result {
                Ok(recovered) => self.serve(slot, recovered, token(slot)).await,
                // Another owner has it; the slot map will show which.
                Err(Error::Fenced(_)) => {}
                Err(error) => {
                    left += 1;
                    cause = Some(error);
                }
            }
        }
        if let Some(error) = cause {
            tracing::warn!(event = "slots_not_recovered", slots = left, %error);
        }
        left == 0
    }

    /// Serves a recovered slot and resumes its open calls.
    async fn serve(self: &Arc<Self>, slot: Slot, recovered: Recovered, stop: CancellationToken) {
        let mut trees = Trees::new();
        let entries = recovered.entries.len();
        for entry in &recovered.entries {
            match serde_json::from_str::<Record>(entry.data.get()) {
                Ok(record) => fold(&mut trees, record),
                Err(error) => {
                    let index = entry.index;
                    tracing::error!(event = "record_malformed", %slot, index, %error);
                    return;
                }
            }
        }
        let now = Instant::now();
        let epoch = recovered.log.epoch();
        let holding = Arc::new(Holding::new(slot, recovered.log, trees, stop, now));
        if entries > 0 {
            // Commits the recovered entries under this owner's epoch.
            if holding.keep(&Record::Taken).await.is_err() {
                return;
            }
            tracing::info!(event = "slot_recovered", %slot, %epoch, entries);
        }
        lock(&self.holdings).insert(slot, holding.clone());
        for session in holding.sessions() {
            for (key, request, intent) in session.open_calls() {
                self.go_on(&holding, &session, key, request, intent);
            }
        }
    }

    fn go_on(
        self: &Arc<Self>,
        holding: &Arc<Holding>,
        session: &Arc<Session>,
        key: Key,
        request: id::Request,
        intent: Intent,
    ) {
        let new = || {
            let model = intent.work.model().to_owned();
            Answer::new(
                intent.fingerprint.clone(),
                model,
                holding.stop.child_token(),
            )
        };
        let arrival = session.arrive(key, &request, None, &intent.fingerprint, new);
        let program = session.read(key, |p| p.id.clone());
        let (Ok(Arrival::New(answer, ticket)), Some(program)) = (arrival, program) else {
            // Not expected: the calls of a program run one at a time.
            tracing::error!(event = "open_call_stranded", slot = %holding.slot, %request);
            return;
        };
        // The call was allowed when it was sent, even if the settings have changed
        // since.
        let effective = self.effective(session, key).unwrap_or_default();
        let context = Context {
            owner: self.clone(),
            holding: holding.clone(),
            session: session.clone(),
            key,
            program,
            request,
            ticket,
            answer,
            effective,
            came: Instant::now(),
        };
        self.tasks.spawn(run::go_on(context, intent));
    }

    /// Hands over idle slots that other owners should have: all slots during a
    /// planned stop, otherwise those whose preferred owner is another member.
    /// Returns whether none is left to hand over.
    async fn hand_over(&self) -> bool {
        let members = self.members.view();
        let mut owners = assign::owners(&members);
        let draining = self.draining.is_cancelled();
        if draining {
            owners.retain(|m| m.id != self.id);
        } else if !members.contains_key(&self.id) {
            return true;
        }
        let mut moves: HashMap<u16, Vec<(u16, id::Instance, Epoch)>> = HashMap::new();
        let mut busy = false;
        for holding in self.all() {
            let to = assign::wanted(holding.slot, &owners);
            if to.is_some_and(|to| to.id == self.id) {
                continue;
            }
            // During a planned stop a busy slot refuses new work until it is idle;
            // otherwise it keeps working and is tried again later.
            holding.close(true);
            if !holding.idle() {
                busy = true;
                holding.close(draining);
                continue;
            }
            match to {
                Some(to) => {
                    let (shard, place) = place(holding.slot);
                    let epoch = holding.log.epoch();
                    let shard = moves.entry(shard).or_default();
                    shard.push((place, to.id.clone(), epoch));
                }
                // No other owner is there; the slot can be recovered from the journal.
                None => self.let_go(&holding),
            }
        }
        let mut whole = !busy;
        for (number, moves) in moves {
            whole &= self.give(number, &moves, draining).await;
        }
        whole
    }

    fn let_go(&self, holding: &Holding) {
        holding.stop.cancel();
        lock(&self.holdings).remove(&holding.slot);
    }

    /// Writes new owners for slots of a shard into the slot map. Returns whether
    /// nothing is left to hand over in this shard.
    async fn give(
        &self,
        number: u16,
        moves: &[(u16, id::Instance, Epoch)],
        draining: bool,
    ) -> bool {
        let version = self.map.view()[usize::from(number)].clone();
        let still = |(place, _, epoch): &&(u16, id::Instance, Epoch)| {
            version
                .shard
                .holder(*place)
                .is_some_and(|h| h.epoch == *epoch)
        };
        let gone: Vec<_> = moves
            .iter()
            .filter(still)
            .map(|(place, to, _)| (*place, to.clone()))
            .collect();
        if gone.is_empty() {
            return true;
        }
        let shard = version.shard.moved(&gone);
        match self.map.swap(&*self.kv, number, &version, shard).await {
            Ok(true) => {
                tracing::info!(
                    event = "slots_handed_over",
                    shard = number,
                    moves = gone.len()
                );
                self.drop_lost(&self.map.view());
                true
            }
            result => {
                if let Err(error) = result {
                    tracing::warn!(event = "hand_over_failed", shard = number, %error);
                }
                self.reopen(number, &gone, draining);
                false
            }
        }
    }

    /// Accepts new work again in slots that could not be handed over.
    fn reopen(&self, number: u16, moves: &[(u16, id::Instance)], draining: bool) {
        if draining {
            return;
        }
        let holdings = lock(&self.holdings);
        for (place, _) in moves {
            if let Some(holding) = holdings.get(&slot(number, *place)) {
                holding.close(false);
            }
        }
    }
}
