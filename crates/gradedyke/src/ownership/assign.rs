//! Assigns slots without a live owner to a live one.
//!
//! Every owner watches the members and the slot map. For each shard, the member
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

use super::map::{Map, PER_SHARD, SHARDS, Shard, Version, slot};
use crate::membership::{self, Member, Members};

/// Interval between checks of the slot map when nothing has changed.
const TICK: Duration = Duration::from_secs(1);
/// Delay after a change, so that several changes are handled together.
const SETTLE: Duration = Duration::from_millis(50);
/// Timeout of a liveness probe.
const ASK: Duration = Duration::from_millis(500);

/// Returns the members that may own slots, ordered by id.
pub fn owners(members: &BTreeMap<id::Instance, Member>) -> Vec<&Member> {
    let fit = |m: &&Member| m.runs(Role::Owner) && !m.draining;
    members.values().filter(fit).collect()
}

/// Returns the member with the highest rendezvous weight for `key`.
pub fn first<'a>(key: &[u8], members: &[&'a Member]) -> Option<&'a Member> {
    let weight = |m: &&&Member| id::weight(key, m.id.as_str());
    members.iter().max_by_key(weight).copied()
}

/// Returns the preferred owner of a slot.
pub fn wanted<'a>(slot: id::Slot, owners: &[&'a Member]) -> Option<&'a Member> {
    first(&slot.0.to_le_bytes(), owners)
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
    let fit = |m: &&Member| m.store.is_some() && !m.draining;
    let key = shard.to_le_bytes();
    let mut left: Vec<&Member> = members.values().filter(fit).collect();
    left.sort_by_key(|m| std::cmp::Reverse(id::weight(&key, m.id.as_str())));
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < copies && !left.is_empty() {
        let used = |m: &Member| chosen.iter().any(|c| c.data_centre == m.data_centre);
        let rank = |i: &usize| (!left[*i].disk, used(left[*i]), *i);
        let best = (0..left.len()).min_by_key(rank).unwrap_or(0);
        chosen.push(left.remove(best));
    }
    chosen.iter().filter_map(|m| m.keeper()).collect()
}

/// Returns the slots of a shard that need a new owner, each with that owner.
///
/// `gone` returns whether an owner that is not a member is down.
pub fn moves(
    number: u16,
    shard: &Shard,
    members: &BTreeMap<id::Instance, Member>,
    gone: impl Fn(&id::Instance) -> bool,
) -> Vec<(u16, id::Instance)> {
    let owners = owners(members);
    let mut moves = Vec::new();
    for place in 0..PER_SHARD {
        let lacks = match shard.holder(place) {
            Some(holder) => !members.contains_key(&holder.owner) && gone(&holder.owner),
            None => true,
        };
        if !lacks {
            continue;
        }
        if let Some(owner) = wanted(slot(number, place), &owners) {
            moves.push((place, owner.id.clone()));
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
    seen: HashMap<id::Instance, Member>,
    client: Client,
    /// Number of keepers for each shard.
    copies: usize,
}

impl Assigner {
    /// Creates an assigner that gives each shard `copies` keepers.
    pub fn new(kv: Arc<dyn KeyValue>, members: Arc<Members>, map: Arc<Map>, copies: usize) -> Self {
        let config = client::Config {
            connect: ASK,
            ..client::Config::default()
        };
        Self {
            kv,
            members,
            map,
            seen: HashMap::new(),
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
                () = tokio::time::sleep(TICK) => {}
                () = stop.cancelled() => return,
            }
            tokio::time::sleep(SETTLE).await;
            members.borrow_and_update();
            map.borrow_and_update();
            self.pass().await;
        }
    }

    async fn pass(&mut self) {
        let members = self.members.view();
        for (id, member) in members.iter() {
            self.seen.insert(id.clone(), member.clone());
        }
        let own = self.members.own().id;
        if !self.map.loaded() || !members.contains_key(&own) {
            return;
        }
        let owners = owners(&members);
        let view = self.map.view();
        let fresh = view.iter().any(|version| version.shard.keepers.is_empty());
        if fresh && keepers(0, &members, self.copies).len() < self.copies {
            tracing::warn!(event = "keepers_awaited", copies = self.copies);
            return;
        }
        let mut answers = HashMap::new();
        for number in 0..SHARDS {
            let acts = first(&number.to_be_bytes(), &owners);
            if acts.is_none_or(|m| m.id != own) {
                continue;
            }
            let version = &view[usize::from(number)];
            self.ask(&version.shard, &members, &mut answers).await;
            let gone = |owner: &id::Instance| !answers.get(owner).copied().unwrap_or(false);
            let moves = moves(number, &version.shard, &members, gone);
            if !moves.is_empty() {
                self.write(number, version, &moves).await;
            }
        }
    }

    /// Checks whether the owners of a shard that are not members are alive, and
    /// caches the results in `answers`.
    async fn ask(
        &self,
        shard: &Shard,
        members: &BTreeMap<id::Instance, Member>,
        answers: &mut HashMap<id::Instance, bool>,
    ) {
        for owner in &shard.owners {
            if members.contains_key(owner) || answers.contains_key(owner) {
                continue;
            }
            let lives = self.registered(owner).await
                || match self.seen.get(owner) {
                    Some(member) => self.lives(member).await,
                    None => false,
                };
            answers.insert(owner.clone(), lives);
        }
    }

    /// Returns whether an instance is registered in the key-value service. Also
    /// true if the service can't be read: writing would most likely fail as well.
    async fn registered(&self, owner: &id::Instance) -> bool {
        let key = format!("{}{owner}", membership::PREFIX);
        let found = self.kv.get(&key).await;
        found.map_or(true, |entry| entry.is_some())
    }

    async fn lives(&self, member: &Member) -> bool {
        let none = None::<&()>;
        let path = format!("/lives/{}", member.id);
        let answer: Result<bool, _> = self
            .client
            .json(Method::GET, member.peer, &path, none, ASK)
            .await;
        answer.unwrap_or(false)
    }

    async fn write(&self, number: u16, version: &Version, moves: &[(u16, id::Instance)]) {
        let mut shard = version.shard.moved(moves);
        if shard.keepers.is_empty() {
            shard.keepers = keepers(number, &self.members.view(), self.copies);
        }
        let epoch = shard.epoch;
        match self.map.swap(&*self.kv, number, version, shard).await {
            Ok(true) => {
                tracing::info!(event = "slots_assigned", shard = number, moves = moves.len(), %epoch);
            }
            Ok(false) => {}
            Err(error) => tracing::warn!(event = "assignment_failed", shard = number, %error),
        }
    }
}
