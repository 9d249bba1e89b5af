//! Gives slots without a live owner to one.
//!
//! Every owner watches members and map. For each shard, the live owner with the
//! highest rendezvous weight acts, so that as a rule one process writes a
//! shard; where views differ and two act, compare-and-swap lets one win. An
//! owner that is missing from the members is looked up in the key-value service
//! and then asked directly before its slots are given away, because this view
//! may lag and a lapsed lease may mean only that the platform is slow. These
//! questions spare needless moves, which two processes with different views
//! could otherwise keep up for ever; epochs keep even a wrong move harmless.

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

/// How often the map is looked through when nothing has changed.
const TICK: Duration = Duration::from_secs(1);
/// Wait after a change, so that several changes are handled at once.
const SETTLE: Duration = Duration::from_millis(50);
/// Longest time for an instance to say that it lives.
const ASK: Duration = Duration::from_millis(500);

/// Members that may own slots, in the order of their names.
pub fn owners(members: &BTreeMap<id::Instance, Member>) -> Vec<&Member> {
    let fit = |m: &&Member| m.runs(Role::Owner) && !m.draining;
    members.values().filter(fit).collect()
}

/// The member that `key` falls to by rendezvous.
pub fn first<'a>(key: &[u8], members: &[&'a Member]) -> Option<&'a Member> {
    let weight = |m: &&&Member| id::weight(key, m.id.as_str());
    members.iter().max_by_key(weight).copied()
}

/// The owner that a slot falls to.
pub fn wanted<'a>(slot: id::Slot, owners: &[&'a Member]) -> Option<&'a Member> {
    first(&slot.0.to_le_bytes(), owners)
}

/// Chooses the keepers of a shard: on disk before in memory, in different data
/// centres, by rendezvous.
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

/// The slots of a shard that need an owner, and who they fall to.
///
/// `gone` tells whether an owner that is no member does not answer either.
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

/// The assigner of one process.
pub struct Assigner {
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The members.
    pub members: Arc<Members>,
    /// The map.
    pub map: Arc<Map>,
    /// Where members that have gone were last seen.
    seen: HashMap<id::Instance, Member>,
    client: Client,
    /// Keepers that a shard must have.
    copies: usize,
}

impl Assigner {
    /// An assigner over these services.
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

    /// Assigns slots until `stop`.
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

    /// Asks the owners of a shard that are no members whether they live.
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

    /// Whether an instance is registered after all. Where the service cannot be
    /// asked, it cannot be written either, so nothing is lost by a yes.
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
