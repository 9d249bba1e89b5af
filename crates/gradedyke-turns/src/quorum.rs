//! The asking side: begins attempts and keeps records with a majority.
//!
//! - `begin`: an attempt is begun; `keep`: records are kept, and sums asked for; `settle`:
//!   what attempts used is told afterwards.
//! - `gathered`: what follows from the replies.

mod begin;
mod gathered;
mod keep;
mod settle;

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

use crate::conversation::Chain;
use crate::detour::Way;
use crate::load::{Busy, Report};
use crate::membership;
use crate::message::{self, Reply, Request};
use crate::mirror::Mirror;
use crate::pressure::Pressure;
use crate::record::{Id, Reserved};
use crate::usage::{self, Total};
use crate::view::{Disk, Member, View};

/// Longest time for a replica's reply that is still of use: several syncs of a
/// slow disk. What arrives later is settled by the replicas among themselves.
const CALL: Duration = Duration::from_millis(1_000);

/// Why an attempt may not begin. Nothing has been sent to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// All replicas answered, and none has the turn that is continued.
    #[error("no replica has the turn; start a new conversation")]
    NoTurn,
    /// The turn may exist, but those who could tell do not answer.
    #[error("it cannot be told now whether the turn exists; come back soon")]
    Unsure,
    /// The budget is spent.
    #[error("the budget of {budget} tokens has no room for {asked} beside {used}; end the program")]
    Spent {
        /// The budget, in tokens.
        budget: u64,
        /// Tokens used and reserved by other attempts.
        used: u64,
        /// Tokens asked for.
        asked: u32,
    },
    /// Too few replicas answer, and some of them read their disks still.
    #[error("replicas read their disks still; come back soon")]
    Starting,
    /// Too few replicas answer, and some of them have too much to do.
    #[error("replicas have more to do than they can; come back soon")]
    Busy,
    /// No majority of replicas answers.
    #[error("{answered} of {needed} replicas answered; see whether they run")]
    NoQuorum {
        /// Replicas that answered.
        answered: usize,
        /// Replicas that must.
        needed: usize,
    },
}

/// What is asked for an attempt.
#[derive(Clone, Debug)]
pub struct Ask {
    /// What to reserve, with the whole budget, if there is one.
    pub reserve: Option<(Reserved, u64)>,
    /// The turn that is continued.
    pub parent: Option<Id>,
    /// Whether it is a program's first turn, as far as that is known.
    pub first: bool,
    /// What the asker has in progress.
    pub load: Report,
    /// What it let through for client accounts, if the turn is one's.
    pub usage: Option<usage::Report>,
    /// How long one try may take.
    pub time: Duration,
    /// Until when tries are repeated after the loss of a majority.
    pub until: Instant,
}

/// What was begun.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Begun {
    /// The conversation that is continued.
    pub chain: Option<Chain>,
    /// What other entries have in progress, if the nearest replica told.
    pub load: Option<Vec<Busy>>,
    /// What the client account has had run, if that was asked.
    pub usage: Option<Total>,
    /// How long the exchange took that succeeded, without waits for replicas that were lost.
    pub took: Duration,
}

/// The replicas as one asking process sees them.
pub struct Quorum {
    mirror: Arc<Mirror>,
    data_centre: String,
    clients: Mutex<HashMap<SocketAddr, Client>>,
    view: watch::Sender<View>,
    /// Since when no majority answers.
    lost: Mutex<Option<Instant>>,
    /// This process's own address, if it passes requests on.
    own: Option<SocketAddr>,
    /// Orders members that are equally far, in another way at each process.
    salt: u64,
    /// What was told of the load after its asker had its majority.
    late: Arc<Late>,
    /// The neighbour that passed a request on last.
    worked: Arc<Mutex<Option<SocketAddr>>>,
    /// Whether enough members were reached by detours when that was last tried.
    around: AtomicBool,
    /// How the members keep up, as last told, and when that was.
    pressure: Mutex<Option<(Pressure, Instant)>>,
    /// What attempts used and no majority has been told yet.
    settlements: Mutex<settle::Queue>,
    /// For tasks that outlast the call which starts them.
    own_handle: Weak<Self>,
}

impl Answers {
    /// Takes no more answers. The load that came meanwhile is kept, that of later ones by
    /// whoever brings them.
    fn leave(&mut self, late: &Late) {
        self.receiver.close();
        while let Ok((_, reply)) = self.receiver.try_recv() {
            if let Some(Reply::Began { load, .. }) = reply {
                late.put(load);
            }
        }
    }
}

/// Load that was told too late for the attempt that asked; the next one takes it. The
/// nearest replica tells it, and that is the last to answer at times.
#[derive(Default)]
struct Late(Mutex<Option<Vec<Busy>>>);

impl Late {
    fn put(&self, load: Option<Vec<Busy>>) {
        if load.is_some() {
            *self.0.lock().unwrap_or_else(PoisonError::into_inner) = load;
        }
    }

    fn take(&self) -> Option<Vec<Busy>> {
        let mut load = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        load.take()
    }
}

struct Answers {
    receiver: mpsc::Receiver<(Member, Option<Reply>)>,
    asked: usize,
}

impl Quorum {
    /// The replicas of the view in `mirror`, asked from `data_centre`.
    /// `own` is where the asking process passes requests of others on.
    pub fn new(mirror: Arc<Mirror>, data_centre: &str, own: Option<SocketAddr>) -> Arc<Self> {
        Arc::new_cyclic(|own_handle| Self {
            mirror,
            data_centre: data_centre.to_owned(),
            clients: Mutex::default(),
            view: watch::Sender::new(View::default()),
            lost: Mutex::default(),
            own,
            salt: rand::random(),
            late: Arc::default(),
            worked: Arc::default(),
            around: AtomicBool::new(false),
            pressure: Mutex::default(),
            settlements: Mutex::default(),
            own_handle: own_handle.clone(),
        })
    }

    /// Where this process passes requests of others on, if it does.
    pub fn own(&self) -> Option<SocketAddr> {
        self.own
    }

    /// The latest view known.
    pub fn view(&self) -> View {
        if let Some((view, _)) = membership::read(&self.mirror) {
            self.learn(&view);
        }
        self.view.borrow().clone()
    }

    fn learn(&self, view: &View) {
        self.view.send_if_modified(|known| {
            let later = view.version > known.version;
            if later {
                tracing::info!(event = "view_learned", version = view.version);
                known.clone_from(view);
            }
            later
        });
    }

    /// Whether a majority could be reached when it was last tried, directly or
    /// by a detour.
    pub fn reachable(&self) -> bool {
        let view = self.view();
        let up = |m: &Member| !self.client(m.address).is_down();
        view.enough(up) || self.around.load(Ordering::Relaxed)
    }

    /// How the members keep up, as last told, and when that was.
    pub fn pressure(&self) -> Option<(Pressure, Instant)> {
        *self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn press(&self, pressure: Option<Pressure>, now: Instant) {
        if let Some(pressure) = pressure {
            let mut told = self.pressure.lock().unwrap_or_else(PoisonError::into_inner);
            *told = Some((pressure, now));
        }
    }

    /// What this process knows of the platform's service.
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// Whether no member could be reached when that was last tried.
    pub fn cut_off(&self) -> bool {
        let view = self.view();
        view.members
            .iter()
            .all(|m| self.client(m.address).is_down())
    }

    /// The ways to the keeper at `address`.
    fn way(&self, view: &View, address: SocketAddr) -> Way {
        let mut neighbours = self.mirror.neighbours();
        neighbours.retain(|n| Some(*n) != self.own);
        let detours = neighbours.into_iter().map(|n| self.client(n));
        let all = view.active().map(|m| self.client(m.address)).collect();
        let majority = (all, view.quorum());
        let worked = self.worked.clone();
        let direct = self.client(address);
        Way::new(address, direct, detours.collect(), majority, worked)
    }

    /// Tries again to reach the members that could not be reached: a process
    /// that is not ready gets no requests, and so would never try by itself.
    pub fn mend(self: &Arc<Self>) {
        let view = self.view();
        let down = view.members.iter();
        let down = down.filter(|m| self.client(m.address).is_down());
        let down: Vec<(Disk, Way)> = down.map(|m| (m.disk, self.way(&view, m.address))).collect();
        if down.is_empty() {
            self.around.store(false, Ordering::Relaxed);
            return;
        }
        let quorum = self.clone();
        tokio::spawn(async move {
            let hello = message::encode(&Request::Hello);
            let tries = down.iter().map(|(_, way)| way.call(hello.clone(), CALL));
            let replies = join_all(tries).await;
            let tried = down.iter().zip(&replies);
            let silent = tried.filter(|(_, reply)| reply.is_none());
            let silent: Vec<Disk> = silent.map(|((disk, _), _)| *disk).collect();
            let enough = view.enough(|m| !silent.contains(&m.disk));
            quorum.around.store(enough, Ordering::Relaxed);
        });
    }

    /// The client of the peer at `address`.
    pub fn client(&self, address: SocketAddr) -> Client {
        let clients = self.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone()
    }

    /// Sends a request to each member and returns their answers as they come.
    fn ask(&self, view: &View, request: impl Fn(&Member) -> Bytes) -> Answers {
        let (sender, receiver) = mpsc::channel(view.members.len().max(1));
        for member in &view.members {
            let way = self.way(view, member.address);
            let body = request(member);
            let sender = sender.clone();
            let member = member.clone();
            let late = self.late.clone();
            tokio::spawn(async move {
                let reply = way.call(body, CALL).await;
                let reply = reply.and_then(|r| message::decode::<Reply>(&r));
                // Whoever has its majority does not wait for the rest.
                let unheard = sender.send((member, reply)).await;
                if let Err(mpsc::error::SendError((_, Some(Reply::Began { load, .. })))) = unheard {
                    late.put(load);
                }
            });
        }
        Answers {
            receiver,
            asked: view.members.len(),
        }
    }

    /// How far a member is: in another data centre, and then by chance, so that those
    /// in a data centre without members do not all go to the same one.
    fn distance(&self, member: &Member) -> (bool, u64) {
        let far = member.data_centre != self.data_centre;
        let by_chance = (member.disk ^ self.salt).wrapping_mul(self.salt | 1);
        (far, by_chance)
    }

    /// The member to take the conversation from: near, and reachable.
    fn nearest<'a>(&self, view: &'a View) -> Option<&'a Member> {
        let cost = |m: &&Member| {
            let down = self.client(m.address).is_down();
            (down, !m.active, self.distance(m))
        };
        view.members.iter().min_by_key(cost)
    }

    /// Where members answer, the nearest first.
    pub fn by_distance(&self) -> Vec<SocketAddr> {
        let mut members = self.view().members;
        members.sort_by_key(|m| self.distance(m));
        members.into_iter().map(|m| m.address).collect()
    }
}
