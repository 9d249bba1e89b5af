//! Assigns slots without a live owner to a live one.
//!
//! Every owner watches the members and the slot map. For each shard, the owner
//! with the highest rendezvous weight does the assigning, so that usually one
//! process writes a shard; if views differ and two write, compare-and-swap lets
//! one win. Before the slots of an owner that is not in the members are moved, the
//! owner is looked up in the key-value service and then probed directly, because
//! the local view may lag and a lease can expire while its process is alive. This
//! avoids needless moves, which two processes with different views could otherwise
//! repeat forever. Epochs keep even a wrong move safe.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::settings::instance::Role;
use gradedyke_http::{Client, client};
use gradedyke_platform::kv::KeyValue;
use http::Method;
use tokio_util::sync::CancellationToken;

use super::map::{Map, SHARDS, SLOTS_PER_SHARD, Shard, VersionedShard, slot_at};
use crate::membership::{self, Member, Members};

/// Interval between checks of the slot map when nothing has changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a change, so that several changes are handled together.
const DEBOUNCE_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the members that may own slots, ordered by id.
pub fn eligible_owners(members: &BTreeMap<id::Instance, Member>) -> Vec<&Member> {
    let is_eligible = |m: &&Member| m.has_role(Role::Owner) && !m.draining;
    members.values().filter(is_eligible).collect()
}

/// Returns the member with the highest rendezvous weight for `key`.
pub fn highest_weight<'a>(key: &[u8], members: &[&'a Member]) -> Option<&'a Member> {
    let weight = |m: &&&Member| id::rendezvous_weight(key, m.id.as_str());
    members.iter().max_by_key(weight).copied()
}

/// Returns the preferred owner of a slot.
pub fn preferred_owner<'a>(slot: id::Slot, owners: &[&'a Member]) -> Option<&'a Member> {
    highest_weight(&slot.0.to_le_bytes(), owners)
}

/// Chooses the keepers of a shard. Keepers that store on disk come before those in
/// memory, then different data centres are preferred, then the rendezvous weight.
///
/// ```
/// use gradedyke::ownership::assign::keepers;
///
/// assert!(keepers(0, &Default::default(), 3).is_empty());
/// ```
pub fn keepers(
    shard: u16,
    members: &BTreeMap<id::Instance, Member>,
    copies: usize,
) -> Vec<id::Keeper> {
    let is_eligible = |m: &&Member| m.store.is_some() && !m.draining;
    let key = shard.to_le_bytes();
    let mut remaining: Vec<&Member> = members.values().filter(is_eligible).collect();
    remaining.sort_by_key(|m| std::cmp::Reverse(id::rendezvous_weight(&key, m.id.as_str())));
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < copies && !remaining.is_empty() {
        let has_data_centre = |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
        let rank = |i: &usize| (!remaining[*i].disk, has_data_centre(remaining[*i]), *i);
        let best = (0..remaining.len()).min_by_key(rank).unwrap_or(0);
        chosen.push(remaining.remove(best));
    }
    chosen.iter().filter_map(|m| m.keeper()).collect()
}

/// Returns the slots of a shard that need a new owner, each with that owner.
///
/// `is_down` returns whether an owner that is not a member is down.
pub fn reassignments(
    number: u16,
    shard: &Shard,
    members: &BTreeMap<id::Instance, Member>,
    is_down: impl Fn(&id::Instance) -> bool,
) -> Vec<(u16, id::Instance)> {
    let owners = eligible_owners(members);
    let mut moves = Vec::new();
    for index in 0..SLOTS_PER_SHARD {
        let needs_owner = match shard.holder(index) {
            Some(holder) => !members.contains_key(&holder.owner) && is_down(&holder.owner),
            None => true,
        };
        if !needs_owner {
            continue;
        }
        if let Some(owner) = preferred_owner(slot_at(number, index), &owners) {
            moves.push((index, owner.id.clone()));
        }
    }
    moves
}

/// Task that assigns slots; each owner process runs one.
pub struct Assigner {
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The members.
    pub members: Arc<Members>,
    /// The slot map.
    pub map: Arc<Map>,
    /// Last known data of all members seen so far, to probe those that are gone.
    last_seen: HashMap<id::Instance, Member>,
    client: Client,
    /// Number of keepers for each shard.
    copies: usize,
}

impl Assigner {
    /// Creates an assigner that gives each shard `copies` keepers.
    pub fn new(kv: Arc<dyn KeyValue>, members: Arc<Members>, map: Arc<Map>, copies: usize) -> Self {
        let config = client::Config {
            connect_timeout: PROBE_TIMEOUT,
            ..client::Config::default()
        };
        Self {
            kv,
            members,
            map,
            last_seen: HashMap::new(),
            client: Client::new(&config),
            copies,
        }
    }

    /// Assigns slots until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut members = self.members.subscribe();
        let mut map = self.map.subscribe();
        loop {
            tokio::select! {
                _ = members.changed() => {}
                _ = map.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
            tokio::time::sleep(DEBOUNCE_DELAY).await;
            members.borrow_and_update();
            map.borrow_and_update();
            self.run_once().await;
        }
    }

    async fn run_once(&mut self) {
        let members = self.members.view();
        for (id, member) in members.iter() {
            self.last_seen.insert(id.clone(), member.clone());
        }
        let own = self.members.own().id;
        if !self.map.is_loaded() || !members.contains_key(&own) {
            return;
        }
        let owners = eligible_owners(&members);
        let view = self.map.view();
        let has_unassigned = view.iter().any(|stored| stored.shard.keepers.is_empty());
        if has_unassigned && keepers(0, &members, self.copies).len() < self.copies {
            tracing::warn!(event = "keepers_awaited", copies = self.copies);
            return;
        }
        let mut liveness = HashMap::new();
        for number in 0..SHARDS {
            let assigner = highest_weight(&number.to_be_bytes(), &owners);
            if assigner.is_none_or(|m| m.id != own) {
                continue;
            }
            let stored = &view[usize::from(number)];
            self.probe_owners(&stored.shard, &members, &mut liveness)
                .await;
            let is_down = |owner: &id::Instance| !liveness.get(owner).copied().unwrap_or(false);
            let moves = reassignments(number, &stored.shard, &members, is_down);
            if !moves.is_empty() {
                self.write_assignments(number, stored, &moves).await;
            }
        }
    }

    /// Checks whether the owners of a shard that are not members are alive, and
    /// caches the results in `liveness`.
    async fn probe_owners(
        &self,
        shard: &Shard,
        members: &BTreeMap<id::Instance, Member>,
        liveness: &mut HashMap<id::Instance, bool>,
    ) {
        for owner in &shard.owners {
            if members.contains_key(owner) || liveness.contains_key(owner) {
                continue;
            }
            let alive = self.is_registered(owner).await
                || match self.last_seen.get(owner) {
                    Some(member) => self.is_alive(member).await,
                    None => false,
                };
            liveness.insert(owner.clone(), alive);
        }
    }

    /// Returns whether an instance is registered in the key-value service. Also
    /// true if the service can't be read: writing would most likely fail as well.
    async fn is_registered(&self, owner: &id::Instance) -> bool {
        let key = format!("{}{owner}", membership::MEMBER_KEY_PREFIX);
        let found = self.kv.get(&key).await;
        found.map_or(true, |entry| entry.is_some())
    }

    async fn is_alive(&self, member: &Member) -> bool {
        let no_body = None::<&()>;
        let path = format!("/lives/{}", member.id);
        let answer: Result<bool, _> = self
            .client
            .send_json(Method::GET, member.peer, &path, no_body, PROBE_TIMEOUT)
            .await;
        answer.unwrap_or(false)
    }

    async fn write_assignments(
        &self,
        number: u16,
        stored: &VersionedShard,
        moves: &[(u16, id::Instance)],
    ) {
        let mut shard = stored.shard.with_owners(moves);
        if shard.keepers.is_empty() {
            shard.keepers = keepers(number, &self.members.view(), self.copies);
        }
        let epoch = shard.epoch;
        match self
            .map
            .compare_and_swap(&*self.kv, number, stored, shard)
            .await
        {
            Ok(true) => {
                tracing::info!(event = "slots_assigned", shard = number, moves = moves.len(), %epoch);
            }
            Ok(false) => {}
            Err(error) => tracing::warn!(event = "assignment_failed", shard = number, %error),
        }
    }
}
