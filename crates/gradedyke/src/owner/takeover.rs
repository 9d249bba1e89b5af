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
use super::holding::ServedSlot;
use super::run::{self, Context};
use super::session::{Session, Submission};
use super::{Owner, lock};
use crate::ownership::assign;
use crate::ownership::map::{SHARDS, VersionedShard, locate, slot_at};
use crate::program::record::{Intent, Record};
use crate::program::state::{ProgramKey, Trees, apply_record};

/// Delay before a pass that could not recover or hand over every slot is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the slot map and the members until the process stops. A pass goes
/// through all slots, so it runs only after a change or an incomplete pass.
pub(super) async fn run(owner: Arc<Owner>) {
    let mut map = owner.slot_map.subscribe();
    let mut members = owner.members.subscribe();
    loop {
        map.borrow_and_update();
        members.borrow_and_update();
        let all_claimed = owner.claim_slots().await;
        let all_handed_over = owner.hand_over().await;
        owner.served_count.send_replace(owner.slot_count());
        let incomplete = !all_claimed || !all_handed_over;
        tokio::select! {
            _ = map.changed() => {}
            _ = members.changed() => {}
            () = owner.draining.cancelled(), if !owner.is_draining() => {}
            () = tokio::time::sleep(RETRY_INTERVAL), if incomplete => {}
            () = owner.stop.cancelled() => return,
        }
    }
}

impl Owner {
    /// Returns whether a planned stop is in progress.
    fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Drops and recovers slots as the slot map says. Returns whether all slots
    /// that are assigned to this process are served.
    async fn claim_slots(self: &Arc<Self>) -> bool {
        let view = self.slot_map.view();
        self.drop_moved_slots(&view);
        let mut complete = true;
        for (number, stored) in view.iter().enumerate() {
            let number = u16::try_from(number).unwrap_or(SHARDS);
            let seals = self.unserved_slots(number, stored);
            if seals.is_empty() {
                continue;
            }
            let claim = Claim {
                seals,
                keepers: stored.shard.keepers.clone().into(),
            };
            complete &= self.recover_slots(&claim).await;
        }
        complete
    }

    /// Cancels and drops slots that have a newer epoch in the slot map, and drops
    /// slots that are already cancelled.
    fn drop_moved_slots(&self, view: &[VersionedShard]) {
        lock(&self.served_slots).retain(|slot, served_slot| {
            let (shard, index) = locate(*slot);
            let holder = view[usize::from(shard)].shard.holder(index);
            let epoch = served_slot.log.epoch();
            let has_newer_owner = holder.is_some_and(|h| h.epoch > epoch);
            if has_newer_owner {
                served_slot.stop.cancel();
            }
            !served_slot.stop.is_cancelled()
        });
    }

    /// Returns the slots of a shard that are assigned to this process and not
    /// served yet.
    fn unserved_slots(&self, number: u16, stored: &VersionedShard) -> Vec<Seal> {
        let served_slots = lock(&self.served_slots);
        let shard = &stored.shard;
        let indices = 0..u16::try_from(shard.slots.len()).unwrap_or(0);
        let seals = indices.filter_map(|index| {
            let slot = slot_at(number, index);
            let holder = shard.holder(index)?;
            let is_unserved = holder.owner == self.id && !served_slots.contains_key(&slot);
            is_unserved.then_some(Seal {
                slot,
                epoch: holder.epoch,
            })
        });
        seals.collect()
    }

    /// Recovers slots and serves them. Returns false if any has to be retried.
    async fn recover_slots(self: &Arc<Self>, claim: &Claim) -> bool {
        let tokens: HashMap<Slot, CancellationToken> = claim
            .seals
            .iter()
            .map(|seal| (seal.slot, self.stop.child_token()))
            .collect();
        let token = |slot: Slot| tokens.get(&slot).cloned().unwrap_or_default();
        let recovered = recover::recover(&self.journal, claim, token).await;
        let mut failed = 0;
        let mut last_error = None;
        for (slot, result) in recovered {
            match result {
                Ok(recovered) => self.serve(slot, recovered, token(slot)).await,
                // Another owner has it; the slot map will show which.
                Err(Error::Fenced(_)) => {}
                Err(error) => {
                    failed += 1;
                    last_error = Some(error);
                }
            }
        }
        if let Some(error) = last_error {
            tracing::warn!(event = "slots_not_recovered", slots = failed, %error);
        }
        failed == 0
    }

    /// Serves a recovered slot and resumes its open calls.
    async fn serve(self: &Arc<Self>, slot: Slot, recovered: Recovered, stop: CancellationToken) {
        let mut trees = Trees::new();
        let entries = recovered.entries.len();
        for entry in &recovered.entries {
            match serde_json::from_str::<Record>(entry.data.get()) {
                Ok(record) => apply_record(&mut trees, record),
                Err(error) => {
                    let index = entry.index;
                    tracing::error!(event = "record_malformed", %slot, index, %error);
                    return;
                }
            }
        }
        let now = Instant::now();
        let epoch = recovered.log.epoch();
        let served_slot = Arc::new(ServedSlot::new(slot, recovered.log, trees, stop, now));
        if entries > 0 {
            // Commits the recovered entries under this owner's epoch.
            if served_slot.append(&Record::Taken).await.is_err() {
                return;
            }
            tracing::info!(event = "slot_recovered", %slot, %epoch, entries);
        }
        lock(&self.served_slots).insert(slot, served_slot.clone());
        for session in served_slot.sessions() {
            for (key, request, intent) in session.open_calls() {
                self.resume_call(&served_slot, &session, key, request, intent);
            }
        }
    }

    fn resume_call(
        self: &Arc<Self>,
        served_slot: &Arc<ServedSlot>,
        session: &Arc<Session>,
        key: ProgramKey,
        request: id::Request,
        intent: Intent,
    ) {
        let new_answer = || {
            let model = intent.work.model().to_owned();
            Answer::new(
                intent.fingerprint.clone(),
                model,
                served_slot.stop.child_token(),
            )
        };
        let submission = session.submit(key, &request, None, &intent.fingerprint, new_answer);
        let program = session.read(key, |p| p.id.clone());
        let (Ok(Submission::New(answer, ticket)), Some(program)) = (submission, program) else {
            // Not expected: the calls of a program run one at a time.
            tracing::error!(event = "open_call_stranded", slot = %served_slot.slot, %request);
            return;
        };
        // The call was allowed when it was sent, even if the settings have changed
        // since.
        let settings = self.effective_settings(session, key).unwrap_or_default();
        let context = Context {
            owner: self.clone(),
            served_slot: served_slot.clone(),
            session: session.clone(),
            key,
            program,
            request,
            ticket,
            answer,
            settings,
            accepted_at: Instant::now(),
        };
        self.tasks.spawn(run::resume(context, intent));
    }

    /// Hands over idle slots that other owners should have: all slots during a
    /// planned stop, otherwise those whose preferred owner is another member.
    /// Returns whether none is left to hand over.
    async fn hand_over(&self) -> bool {
        let members = self.members.view();
        let mut owners = assign::eligible_owners(&members);
        let draining = self.draining.is_cancelled();
        if draining {
            owners.retain(|m| m.id != self.id);
        } else if !members.contains_key(&self.id) {
            return true;
        }
        let mut moves: HashMap<u16, Vec<(u16, id::Instance, Epoch)>> = HashMap::new();
        let mut busy = false;
        for served_slot in self.all_served_slots() {
            let new_owner = assign::preferred_owner(served_slot.slot, &owners);
            if new_owner.is_some_and(|owner| owner.id == self.id) {
                continue;
            }
            // During a planned stop a busy slot refuses new work until it is idle;
            // otherwise it keeps working and is tried again later.
            served_slot.set_closing(true);
            if !served_slot.is_idle() {
                busy = true;
                served_slot.set_closing(draining);
                continue;
            }
            match new_owner {
                Some(new_owner) => {
                    let (shard, index) = locate(served_slot.slot);
                    let epoch = served_slot.log.epoch();
                    let shard = moves.entry(shard).or_default();
                    shard.push((index, new_owner.id.clone(), epoch));
                }
                // No other owner is there; the slot can be recovered from the journal.
                None => self.release_slot(&served_slot),
            }
        }
        let mut complete = !busy;
        for (number, moves) in moves {
            complete &= self.transfer(number, &moves, draining).await;
        }
        complete
    }

    fn release_slot(&self, served_slot: &ServedSlot) {
        served_slot.stop.cancel();
        lock(&self.served_slots).remove(&served_slot.slot);
    }

    /// Writes new owners for slots of a shard into the slot map. Returns whether
    /// nothing is left to hand over in this shard.
    async fn transfer(
        &self,
        number: u16,
        moves: &[(u16, id::Instance, Epoch)],
        draining: bool,
    ) -> bool {
        let stored = self.slot_map.view()[usize::from(number)].clone();
        let still_owned = |(index, _, epoch): &&(u16, id::Instance, Epoch)| {
            stored
                .shard
                .holder(*index)
                .is_some_and(|h| h.epoch == *epoch)
        };
        let current: Vec<_> = moves
            .iter()
            .filter(still_owned)
            .map(|(index, new_owner, _)| (*index, new_owner.clone()))
            .collect();
        if current.is_empty() {
            return true;
        }
        let shard = stored.shard.with_owners(&current);
        match self
            .slot_map
            .compare_and_swap(&*self.kv, number, &stored, shard)
            .await
        {
            Ok(true) => {
                tracing::info!(
                    event = "slots_handed_over",
                    shard = number,
                    moves = current.len()
                );
                self.drop_moved_slots(&self.slot_map.view());
                true
            }
            result => {
                if let Err(error) = result {
                    tracing::warn!(event = "hand_over_failed", shard = number, %error);
                }
                self.reopen(number, &current, draining);
                false
            }
        }
    }

    /// Accepts new work again in slots that could not be handed over.
    fn reopen(&self, number: u16, moves: &[(u16, id::Instance)], draining: bool) {
        if draining {
            return;
        }
        let served_slots = lock(&self.served_slots);
        for (index, _) in moves {
            if let Some(served_slot) = served_slots.get(&slot_at(number, *index)) {
                served_slot.set_closing(false);
            }
        }
    }
}
