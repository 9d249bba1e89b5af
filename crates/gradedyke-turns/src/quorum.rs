//! The client side of replication: begins attempts and writes records to a majority of
//! replicas.
//!
//! - `begin`: reserves tokens for an attempt.
//! - `conversation`: reads the conversation that an attempt continues, page by page.
//! - `crash`: reports requests under which backend servers ended.
//! - `store`: writes records and reads usage totals.
//! - `settle`: reports in the background how many tokens attempts used.
//! - `gathered`: combines the replies of the replicas.

mod begin;
mod conversation;
mod crash;
mod gathered;
mod settle;
mod store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use gradedyke_peer::Client;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

#[cfg(doc)]
use crate::conversation::MAX_CONVERSATION_BYTES;
use crate::conversation::Transcript;
use crate::crash::Registry;
use crate::detour::ReplicaClient;
use crate::load::{Report, ServerLoad};
use crate::membership;
use crate::message::{self, Reply, Request};
use crate::mirror::Mirror;
use crate::pressure::Pressure;
#[cfg(doc)]
use crate::record::MAX_TURN_BYTES;
use crate::record::{Id, Reserved};
use crate::usage::{self, Total};
use crate::view::{DiskId, Member, View};

/// Timeout of a call to a replica. A replica that misses a record because of it gets the record
/// from the others.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an operation on the replicas failed. An attempt that fails to begin has sent nothing
/// to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// All replicas answered, and none has the parent turn.
    #[error("no replica has the parent turn; start a new conversation")]
    TurnNotFound,
    /// The parent turn may exist, but replicas that may have it did not answer.
    #[error("cannot determine whether the parent turn exists; retry soon")]
    Indeterminate,
    /// Members were left out of the view whose disks may have the only records of the parent turn
    /// or of the program's attempts.
    #[error(
        "records may be only on the disks of replicas that are down; start these, or retry later"
    )]
    RecordsAbsent,
    /// The conversation is larger than [`MAX_CONVERSATION_BYTES`] allows.
    #[error("the conversation has {bytes} bytes, {limit} are allowed; start a new conversation")]
    ConversationTooLarge {
        /// Size of the conversation in bytes.
        bytes: u64,
        /// Maximum size, less the new input.
        limit: u64,
    },
    /// The record is larger than [`MAX_TURN_BYTES`]; no replica got it.
    #[error("a turn of {0} bytes is too large to be stored; store less in one turn")]
    TurnTooLarge(usize),
    /// The program's token budget has no room for the reservation.
    #[error(
        "token budget exceeded: budget {budget}, used {used}, requested {requested}; end the program"
    )]
    BudgetExceeded {
        /// The budget, in tokens.
        budget: u64,
        /// Tokens used or reserved by other attempts.
        used: u64,
        /// Tokens requested.
        requested: u32,
    },
    /// Too few replicas acknowledged; at least one is still recovering from its disk.
    #[error("replicas are still recovering from disk; retry soon")]
    Starting,
    /// Too few replicas acknowledged; at least one is overloaded.
    #[error("replicas are overloaded; retry soon")]
    Busy,
    /// Too few replicas acknowledged, or too few have the record on disk.
    #[error(
        "{acknowledged} of {needed} needed replicas acknowledged, or too few copies were stored; check the replicas and their disks"
    )]
    NoQuorum {
        /// Number of active replicas that acknowledged.
        acknowledged: usize,
        /// Number of active replicas that must acknowledge.
        needed: usize,
    },
}

/// Parameters of [`Coordinator::begin`].
#[derive(Clone, Debug)]
pub struct BeginParams {
    /// The reservation and the program's total budget in tokens; `None` without a budget.
    pub reservation: Option<(Reserved, u64)>,
    /// The turn whose conversation is continued.
    pub parent: Option<Id>,
    /// Size in bytes of the input that is added to the conversation.
    pub input_bytes: usize,
    /// Whether this is believed to be the program's first turn.
    pub is_first_turn: bool,
    /// This entry's load report.
    pub load: Report,
    /// Usage that this entry admitted for client accounts, if the turn belongs to one.
    pub usage: Option<usage::Report>,
    /// Timeout of one try.
    pub try_timeout: Duration,
    /// Deadline for retries while no majority acknowledges.
    pub deadline: Instant,
    /// Deadline for reading a conversation that has several pages.
    pub conversation_deadline: Instant,
}

/// Result of [`Coordinator::begin`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeginResponse {
    /// The conversation up to the parent turn.
    pub transcript: Option<Transcript>,
    /// Requests that other entries have in flight, if the nearest replica reported them.
    pub load: Option<Vec<ServerLoad>>,
    /// Total usage of the client account, if requested.
    pub usage: Option<Total>,
    /// Known attempts of the program, including this one, without those that certainly used no
    /// tokens; 0 without a reservation.
    pub program_attempts: usize,
    /// Duration of the successful try, without the retries before it.
    pub elapsed: Duration,
}

/// Coordinates reads and writes of a quorum: a client of all replicas in the current view.
pub struct Coordinator {
    mirror: Arc<Mirror>,
    data_centre: String,
    clients: Mutex<HashMap<SocketAddr, Client>>,
    view: watch::Sender<View>,
    /// When the majority was lost; `None` while a majority answers.
    quorum_lost_since: Mutex<Option<Instant>>,
    /// The address where this process forwards requests for other entries, if it does.
    forwarding_address: Option<SocketAddr>,
    /// Random per process, so that processes order equally distant members differently.
    tie_break_salt: u64,
    /// Load that arrived too late for the attempt that requested it.
    unclaimed_load: Arc<UnclaimedLoad>,
    /// The neighbour that last forwarded a request successfully.
    last_neighbour: Arc<Mutex<Option<SocketAddr>>>,
    /// Whether the last probe of unreachable members found a majority, directly or through
    /// neighbours; false if no member was unreachable.
    last_probe_succeeded: AtomicBool,
    /// The last known pressure on the replicas and when it was reported.
    pressure: Mutex<Option<(Pressure, Instant)>>,
    /// Settlements that no majority has acknowledged yet.
    settlement_queue: Mutex<settle::SettlementQueue>,
    /// The requests under which backend servers ended, as far as this process knows.
    crashes: Arc<Registry>,
    /// A reference to itself for background tasks.
    weak_self: Weak<Self>,
}

impl Replies {
    /// Closes the channel and saves load from replies that are already queued. The tasks of
    /// later replies find the channel closed and save their load themselves.
    fn close(&mut self, unclaimed_load: &UnclaimedLoad) {
        self.receiver.close();
        while let Ok((_, reply)) = self.receiver.try_recv() {
            if let Some(Reply::Began { load, .. }) = reply {
                unclaimed_load.store(load);
            }
        }
    }
}

/// Load that arrived too late for the attempt that requested it; the next attempt uses it.
/// Only the nearest replica reports load, and a majority may answer before it does.
#[derive(Default)]
struct UnclaimedLoad(Mutex<Option<Vec<ServerLoad>>>);

impl UnclaimedLoad {
    fn store(&self, load: Option<Vec<ServerLoad>>) {
        if load.is_some() {
            *self.0.lock().unwrap_or_else(PoisonError::into_inner) = load;
        }
    }

    fn take(&self) -> Option<Vec<ServerLoad>> {
        let mut load = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        load.take()
    }
}

/// Replies to a request that was sent to all members.
struct Replies {
    receiver: mpsc::Receiver<(Member, Option<Reply>)>,
    member_count: usize,
}

impl Coordinator {
    /// Creates a client of the replicas in `mirror`'s view, for a process in `data_centre`.
    /// `forwarding_address` is where this process forwards requests for other entries.
    pub fn new(
        mirror: Arc<Mirror>,
        data_centre: &str,
        forwarding_address: Option<SocketAddr>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            mirror,
            data_centre: data_centre.to_owned(),
            clients: Mutex::default(),
            view: watch::Sender::new(View::default()),
            quorum_lost_since: Mutex::default(),
            forwarding_address,
            tie_break_salt: rand::random(),
            unclaimed_load: Arc::default(),
            last_neighbour: Arc::default(),
            last_probe_succeeded: AtomicBool::new(false),
            pressure: Mutex::default(),
            settlement_queue: Mutex::default(),
            crashes: Arc::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Returns the address where this process forwards requests for other entries, if it does.
    pub fn forwarding_address(&self) -> Option<SocketAddr> {
        self.forwarding_address
    }

    /// Returns the latest known view.
    pub fn view(&self) -> View {
        if let Some((view, _)) = membership::read_view(&self.mirror) {
            self.update_view(&view);
        }
        self.view.borrow().clone()
    }

    /// Stores `view` if it is newer than the known one.
    fn update_view(&self, view: &View) {
        self.view.send_if_modified(|known| {
            let is_newer = view.version > known.version;
            if is_newer {
                tracing::info!(event = "view_learned", version = view.version);
                known.clone_from(view);
            }
            is_newer
        });
    }

    /// Returns whether a majority was reachable at the last try, directly or through
    /// neighbours.
    pub fn is_majority_reachable(&self) -> bool {
        let view = self.view();
        let is_up = |m: &Member| !self.client(m.address).is_down();
        view.has_quorum(is_up) || self.last_probe_succeeded.load(Ordering::Relaxed)
    }

    /// Returns the last known pressure on the replicas and when it was reported.
    pub fn pressure(&self) -> Option<(Pressure, Instant)> {
        *self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_pressure(&self, pressure: Option<Pressure>, now: Instant) {
        if let Some(pressure) = pressure {
            let mut last = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
            *last = Some((pressure, now));
        }
    }

    /// Returns the requests under which backend servers ended, as far as this process knows.
    pub fn crashes(&self) -> &Arc<Registry> {
        &self.crashes
    }

    /// Returns this process's mirror of the platform's key-value store.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// Returns whether no member was directly reachable at the last try.
    pub fn is_isolated(&self) -> bool {
        let view = self.view();
        view.members
            .iter()
            .all(|m| self.client(m.address).is_down())
    }

    /// Creates a client of the replica at `address` that can also go through neighbours.
    fn replica_client(&self, view: &View, address: SocketAddr) -> ReplicaClient {
        let mut neighbours = self.mirror.neighbours();
        neighbours.retain(|n| Some(*n) != self.forwarding_address);
        let relays = neighbours.into_iter().map(|n| self.client(n));
        let active_replicas = view.active().map(|m| self.client(m.address)).collect();
        let active_replicas = (active_replicas, view.quorum_size());
        let last_neighbour = self.last_neighbour.clone();
        let direct = self.client(address);
        ReplicaClient::new(
            address,
            direct,
            relays.collect(),
            active_replicas,
            last_neighbour,
        )
    }

    /// Probes unreachable members in the background. A process that is not ready receives no
    /// requests and would otherwise never notice that members are reachable again.
    pub fn probe_unreachable(self: &Arc<Self>) {
        let view = self.view();
        let down = view.members.iter();
        let down = down.filter(|m| self.client(m.address).is_down());
        let down: Vec<(DiskId, ReplicaClient)> = down
            .map(|m| (m.disk, self.replica_client(&view, m.address)))
            .collect();
        if down.is_empty() {
            self.last_probe_succeeded.store(false, Ordering::Relaxed);
            return;
        }
        let coordinator = self.clone();
        tokio::spawn(async move {
            let hello = message::encode(&Request::Hello);
            let calls = down
                .iter()
                .map(|(_, client)| client.call(hello.clone(), CALL_TIMEOUT));
            let replies = join_all(calls).await;
            let results = down.iter().zip(&replies);
            let silent = results.filter(|(_, reply)| reply.is_none());
            let unreachable: Vec<DiskId> = silent.map(|((disk, _), _)| *disk).collect();
            let has_quorum = view.has_quorum(|m| !unreachable.contains(&m.disk));
            coordinator
                .last_probe_succeeded
                .store(has_quorum, Ordering::Relaxed);
        });
    }

    /// Returns the shared client of the peer at `address`.
    pub fn client(&self, address: SocketAddr) -> Client {
        let clients = self.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone()
    }

    /// Sends a request to every member; the result receives their replies.
    fn send_to_all(&self, view: &View, request: impl Fn(&Member) -> Bytes) -> Replies {
        let (sender, receiver) = mpsc::channel(view.members.len().max(1));
        for member in &view.members {
            let client = self.replica_client(view, member.address);
            let body = request(member);
            let sender = sender.clone();
            let member = member.clone();
            let unclaimed_load = self.unclaimed_load.clone();
            tokio::spawn(async move {
                let reply = client.call(body, CALL_TIMEOUT).await;
                let reply = reply.and_then(|r| message::decode::<Reply>(&r));
                // Fails when the request already has its majority and was closed.
                let sent = sender.send((member, reply)).await;
                if let Err(mpsc::error::SendError((_, Some(Reply::Began { load, .. })))) = sent {
                    unclaimed_load.store(load);
                }
            });
        }
        Replies {
            receiver,
            member_count: view.members.len(),
        }
    }

    /// Sort key of a member: members of the own data centre first, the rest in an order that
    /// differs between processes, so that entries in a data centre without members do not all
    /// pick the same member.
    fn proximity_key(&self, member: &Member) -> (bool, u64) {
        let is_remote = member.data_centre != self.data_centre;
        let tie_break = (member.disk ^ self.tie_break_salt).wrapping_mul(self.tie_break_salt | 1);
        (is_remote, tie_break)
    }

    /// Returns the member to read the conversation from: preferably reachable, then active, then
    /// near.
    fn nearest_member<'a>(&self, view: &'a View) -> Option<&'a Member> {
        let rank = |m: &&Member| {
            let is_down = self.client(m.address).is_down();
            (is_down, !m.active, self.proximity_key(m))
        };
        view.members.iter().min_by_key(rank)
    }

    /// Returns the addresses of the members, nearest first.
    pub fn addresses_by_distance(&self) -> Vec<SocketAddr> {
        let mut members = self.view().members;
        members.sort_by_key(|m| self.proximity_key(m));
        members.into_iter().map(|m| m.address).collect()
    }
}
