//! How an attempt is begun: its budget reserved, and what it continues read.

use std::sync::PoisonError;
use std::time::Duration;

use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::gathered::Gathered;
use super::{Ask, Begun, CALL, Quorum, Refusal};
use crate::conversation::Chain;
use crate::message::{self, Begin, Reply, Request};
use crate::record::Settled;
use crate::view::{Member, View};

/// How long the nearest replica's copy of a conversation is waited for after
/// the majority has answered, before another is asked.
const PATIENCE: Duration = Duration::from_millis(25);
/// Wait before a majority that was lost is asked again, the first time.
const AGAIN: Duration = Duration::from_millis(40);
/// Wait before replicas that have too much to do are asked once more: what an exchange
/// may take in a burst. Asked every 40 ms, they got seven requests for one, and
/// had more to do the more they refused.
const RELIEF: Duration = Duration::from_millis(100);
/// The longest wait for replicas that start: they serve a tenth of a second after their
/// start, and a thousand turns that wait for them must not be their first load.
const SOONEST: Duration = Duration::from_millis(160);
/// How long after its loss a majority is waited for at all: what replicas that
/// were killed together take to come back. Later the caller is told at once.
const LATELY: Duration = Duration::from_millis(1_500);

impl Quorum {
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
                first: ask.first,
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
        self.press(gathered.pressure(), Instant::now());
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
}
