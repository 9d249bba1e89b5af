//! The asking side: begins attempts and keeps records with a majority.

mod gathered;
mod settle;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use gradedyke_base::retry::Backoff;
use gradedyke_peer::Client;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use self::gathered::Gathered;
use crate::conversation::Chain;
use crate::detour::Way;
use crate::load::{Busy, Report};
use crate::membership;
use crate::message::{self, Begin, Reply, Request};
use crate::mirror::Mirror;
use crate::record::{Id, Record, Reserved, Settled};
use crate::usage::{self, Total};
use crate::view::{Disk, Member, View};

/// Longest time for a replica's reply that is still of use: several syncs of a
/// slow disk. What arrives later is settled by the replicas among themselves.
const CALL: Duration = Duration::from_millis(1_000);
/// How long the nearest replica's copy of a conversation is waited for after
/// the majority has answered, before another is asked.
const PATIENCE: Duration = Duration::from_millis(25);
/// Wait before a majority that was lost is asked again, the first time.
const AGAIN: Duration = Duration::from_millis(40);
/// The longest wait for replicas that start: they serve a tenth of a second after their
/// start, and a thousand turns that wait for them must not be their first load.
const SOONEST: Duration = Duration::from_millis(160);
/// Wait before a record is brought to a majority again, the first time: a few syncs of a
/// slow disk.
const KEPT_AGAIN: Duration = Duration::from_millis(50);
/// The longest such wait: callers are held meanwhile, for 2 s at most.
const LONGEST: Duration = Duration::from_millis(1_000);
/// Wait before replicas that have too much to do are asked once more: what an exchange
/// may take in a burst. Asked every 40 ms, they got seven requests for one, and
/// had more to do the more they refused.
const RELIEF: Duration = Duration::from_millis(100);
/// How long after its loss a majority is waited for at all: what replicas that
/// were killed together take to come back. Later the caller is told at once.
const LATELY: Duration = Duration::from_millis(1_500);

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

    /// Reserves what an attempt may use and reads what it continues. A majority
    /// that was lost a moment ago is waited for: replicas that are restarted
    /// are back within that time.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]. What may have been reserved is settled in the background.
    pub async fn begin(&self, ask: &Ask) -> Result<Begun, Refusal> {
        let mut doubt = false;
        let result = self.begin_soon(ask, &mut doubt).await;
        if result.is_err()
            && doubt
            && let Some((reserved, _)) = &ask.reserve
        {
            self.settle(Settled::unused(reserved));
        }
        result
    }

    /// Begins, and sets `doubt` where a replica may have kept the reservation.
    async fn begin_soon(&self, ask: &Ask, doubt: &mut bool) -> Result<Begun, Refusal> {
        let soon = ask.until.min(Instant::now() + ask.time);
        let mut relieved = false;
        let mut backoff = Backoff::endless(AGAIN, SOONEST);
        loop {
            let view = self.view();
            let asked = Instant::now();
            let Some(result) = self.begin_under(&view, ask, doubt).await else {
                continue;
            };
            let starting = matches!(result, Err(Refusal::Starting));
            let missed = starting || matches!(result, Err(Refusal::NoQuorum { .. }));
            let now = Instant::now();
            if matches!(result, Err(Refusal::Busy)) && !relieved && now + RELIEF < soon {
                relieved = true;
                tokio::time::sleep(RELIEF).await;
                continue;
            }
            // Keepers that are there but slow are not asked again: that would make
            // them slower.
            let away = starting || !self.reachable();
            let again = missed && away && self.lately_lost(now);
            if again && now + AGAIN < ask.until {
                tokio::time::sleep(backoff.step(rand::random())).await;
                continue;
            }
            if !missed {
                self.found(now);
            }
            return result.map(|begun| Begun {
                took: now - asked,
                ..begun
            });
        }
    }

    /// Notes that no majority answers; tells whether that is new.
    fn lately_lost(&self, now: Instant) -> bool {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        if lost.is_none() {
            tracing::warn!(event = "keepers_lost", view = self.view.borrow().version);
        }
        let since = *lost.get_or_insert(now);
        now.saturating_duration_since(since) < LATELY
    }

    fn found(&self, now: Instant) {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = lost.take() {
            tracing::info!(
                event = "keepers_regained",
                view = self.view.borrow().version,
                after_ms = (now - since).as_millis()
            );
        }
    }

    /// `None` when the view turned out to be old.
    async fn begin_under(
        &self,
        view: &View,
        ask: &Ask,
        doubt: &mut bool,
    ) -> Option<Result<Begun, Refusal>> {
        let nearest = self.nearest(view).map(|m| m.disk);
        let patience_ms = u32::try_from(ask.time.as_millis()).unwrap_or(u32::MAX);
        let request = |member: &Member| {
            message::encode(&Request::Begin(Begin {
                view: view.version,
                reserve: ask.reserve.as_ref().map(|(r, _)| r.clone()),
                parent: ask.parent.clone(),
                nearest: Some(member.disk) == nearest,
                load: ask.load.clone(),
                usage: ask.usage.clone(),
                patience_ms,
            }))
        };
        let mut gathered = Gathered::new(view);
        let mut answers = self.ask(view, request);
        let end = ask.until.min(Instant::now() + ask.time);
        let mut patience = None;
        while !gathered.complete(ask) {
            let until = patience.unwrap_or(end);
            let Ok(Some((member, reply))) =
                tokio::time::timeout_at(until, answers.receiver.recv()).await
            else {
                break;
            };
            if let Some(Reply::Stale(view)) = &reply {
                self.learn(view);
                *doubt = true;
                return None;
            }
            gathered.take(&member, reply);
            if gathered.has_quorum() && patience.is_none() && gathered.holder.is_some() {
                patience = Some(end.min(Instant::now() + PATIENCE));
            }
        }
        answers.leave(&self.late);
        *doubt |= gathered.in_doubt();
        Some(self.conclude(gathered, ask, answers.asked).await)
    }

    async fn conclude(
        &self,
        gathered: Gathered,
        ask: &Ask,
        asked: usize,
    ) -> Result<Begun, Refusal> {
        let (answered, needed) = (gathered.answered, gathered.needed);
        if !gathered.has_quorum() && gathered.starting {
            return Err(Refusal::Starting);
        }
        if !gathered.has_quorum() && gathered.busy {
            return Err(Refusal::Busy);
        }
        if !gathered.has_quorum() {
            return Err(Refusal::NoQuorum { answered, needed });
        }
        if let Some((reserved, budget)) = &ask.reserve {
            gathered.afford(reserved, *budget)?;
        }
        let late = self.late.take();
        let load = gathered.load.or(late);
        let usage = gathered.usage;
        if ask.parent.is_none() {
            return Ok(Begun {
                load,
                usage,
                ..Begun::default()
            });
        }
        let chain = match (gathered.chain, gathered.holder) {
            (Some(chain), _) => Ok(chain),
            (None, Some(holder)) => self.fetch(&holder, ask).await.ok_or(Refusal::Unsure),
            (None, None) if gathered.missing == asked && asked >= needed => Err(Refusal::NoTurn),
            (None, None) => Err(Refusal::Unsure),
        };
        chain.map(|chain| Begun {
            chain: Some(chain),
            load,
            usage,
            ..Begun::default()
        })
    }

    async fn fetch(&self, holder: &Member, ask: &Ask) -> Option<Chain> {
        let request = Request::Chain(ask.parent.clone()?);
        let way = self.way(&self.view(), holder.address);
        let call = way.call(message::encode(&request), CALL);
        let reply = tokio::time::timeout(ask.time, call).await.ok()?;
        match message::decode(&reply?)? {
            Reply::Chain(chain) => chain,
            _ => None,
        }
    }

    /// Keeps a record; returns once a majority has it on disk, with the sum of use that
    /// `usage` asks for.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoQuorum`]; the record may be kept all the same.
    pub async fn keep(
        &self,
        record: &Record,
        usage: Option<&usage::Report>,
        until: Instant,
    ) -> Result<Option<Total>, Refusal> {
        let mut backoff = Backoff::endless(KEPT_AGAIN, LONGEST);
        loop {
            let view = self.view();
            let request = message::encode(&Request::Keep {
                view: view.version,
                record: record.clone(),
                usage: usage.cloned(),
            });
            metrics::counter!("gradedyke_kept_tries_total").increment(1);
            match self.tell(&view, request, until).await {
                Some(Err(_)) if Instant::now() < until => {
                    tokio::time::sleep(backoff.step(rand::random())).await;
                }
                Some(result) => return result,
                None => {}
            }
        }
    }

    /// Tells what was let through for client accounts, and asks a majority for a sum.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoQuorum`].
    pub async fn used(
        &self,
        report: &usage::Report,
        until: Instant,
    ) -> Result<Option<Total>, Refusal> {
        let request = message::encode(&Request::Usage(report.clone()));
        let view = self.view();
        let told = self.tell(&view, request, until).await;
        told.unwrap_or(Err(Refusal::Unsure))
    }

    /// Sends a request to all members and waits for a majority; `None` when the view
    /// turned out to be old.
    async fn tell(
        &self,
        view: &View,
        request: Bytes,
        until: Instant,
    ) -> Option<Result<Option<Total>, Refusal>> {
        let mut gathered = Gathered::new(view);
        let mut answers = self.ask(view, |_| request.clone());
        while !gathered.has_quorum() {
            let next = tokio::time::timeout_at(until, answers.receiver.recv()).await;
            let Ok(Some((member, reply))) = next else {
                break;
            };
            if let Some(Reply::Stale(view)) = &reply {
                self.learn(view);
                return None;
            }
            gathered.take(&member, reply);
        }
        if gathered.has_quorum() {
            return Some(Ok(gathered.usage));
        }
        let (answered, needed) = (gathered.answered, gathered.needed);
        Some(Err(Refusal::NoQuorum { answered, needed }))
    }
}
