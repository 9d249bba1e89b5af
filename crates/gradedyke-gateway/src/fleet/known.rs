//! One backend server, with what is known and learned of it.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_turns::load::{self, Busy};
use gradedyke_turns::record::Id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Server;
use crate::estimate::Pace;
use crate::health::{Counts, Health, Told};
use crate::link::Pool;
use crate::prefix::Cache;
use crate::window::Window;

/// Other entries that could not reach a server lately from which on it gets
/// nothing while others do: more than one, because a single one may be cut off.
const AGREED: u32 = 2;
/// Time after the directory's return in which living servers write their items
/// again: twice their heartbeat, and the way.
const RETURN: Duration = Duration::from_millis(2_500);
/// How long a server that vanished in calm times stays as a last resort: below
/// the 2 s in which requests must have stopped.
const VANISHED: Duration = Duration::from_millis(1_000);

/// Former processes of a server that are remembered: as many as may be replaced within the
/// seconds that a write of one takes to arrive late.
const FORMER: usize = 8;

/// What the directory says of a server's item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Listed,
    /// Its item vanished, which was learned then; it is a last resort for a
    /// while.
    Vanished(Instant),
}

/// A server and what is believed of it.
pub(super) struct Known {
    pub(super) server: Server,
    /// The name of its process.
    pub(super) process: Id,
    /// When processes of the server started that this one replaced, the latest last.
    pub(super) former_ms: Vec<u64>,
    /// Cancelled when the process has ended.
    pub(super) ended: CancellationToken,
    /// Its entry cannot be read: it gets nothing new.
    pub(super) unread: bool,
    pub(super) state: State,
    /// Until when it warms up.
    pub(super) warm_at: Instant,
    pub(super) pool: Arc<Pool>,
    pub(super) in_flight: u32,
    /// What other entries have in progress there, as last told.
    pub(super) others: Busy,
    pub(super) health: Health,
    /// How long its answers take relative to what is expected of the service.
    pub(super) pace: Window<Pace>,
    /// What it holds of prompts, if it is an engine.
    pub(super) cache: Cache,
    /// Another server has its address; its item only has not vanished yet.
    pub(super) replaced: bool,
}

impl Known {
    /// A server that was listed just now, of which nothing is known yet.
    pub(super) fn new(server: Server, learned: Instant) -> Self {
        Self {
            state: State::Listed,
            warm_at: Self::warm_at(&server, learned),
            process: server.process(),
            former_ms: Vec::new(),
            ended: CancellationToken::new(),
            unread: false,
            pool: Arc::new(Pool::new(server.address)),
            in_flight: 0,
            others: Busy::default(),
            health: Health::default(),
            pace: Window::default(),
            cache: Cache::default(),
            replaced: false,
            server,
        }
    }

    /// Until when a server warms up whose entry was learned then. The entry is older than
    /// that, so it is warm by then.
    pub(super) fn warm_at(server: &Server, learned: Instant) -> Instant {
        learned.checked_add(server.warm_up).unwrap_or(learned)
    }

    /// Whether it has warmed up.
    pub(super) fn warm(&self, now: Instant) -> bool {
        now >= self.warm_at
    }

    /// Requests that ended there lately, at all entries.
    pub(super) fn ended_lately(&self, now: Instant) -> u32 {
        self.health.told(now).counts.requests + self.others.ended
    }

    /// Whether an entry is that of a process which this one replaced: a write of it may
    /// arrive late. Neither the store's order of writes nor the times of the starts tell
    /// that, since clocks may be set back.
    pub(super) fn replaced_before(&self, server: &Server) -> bool {
        let started_ms = server.started_ms;
        started_ms.is_some_and(|ms| self.former_ms.contains(&ms))
    }

    /// Whether an entry is that of another process than this one.
    pub(super) fn another(&self, server: &Server) -> bool {
        self.server.started_ms != server.started_ms
    }

    /// The process that starts after this one has ended.
    pub(super) fn successor(&self, server: Server, learned: Instant) -> Self {
        let mut former_ms = self.former_ms.clone();
        former_ms.extend(self.server.started_ms);
        let extra = former_ms.len().saturating_sub(FORMER);
        former_ms.drain(..extra);
        Self {
            former_ms,
            ..Self::new(server, learned)
        }
    }

    /// Whether a server that vanished is no longer even a last resort. Without
    /// the directory nothing is certain; after its return, living servers need
    /// a moment to write their items again.
    pub(super) fn gone(&self, steady: Option<Instant>, now: Instant) -> bool {
        let State::Vanished(learned) = self.state else {
            return false;
        };
        let calm = learned + VANISHED;
        match steady {
            None => false,
            Some(steady) if learned < steady + RETURN => now >= calm.max(steady + RETURN),
            Some(_) => now >= calm,
        }
    }

    /// What this entry tells others of it.
    pub(super) fn report(&self, now: Instant) -> Busy {
        let told = self.health.told(now);
        let pace = self.pace.sum(now);
        Busy {
            server: load::server(&self.process),
            requests: self.in_flight,
            failures: told.counts.failures,
            ended: told.counts.requests,
            unreached: told.unreached,
            paced: pace.answers,
            pace: pace.hundredths,
        }
    }

    /// Requests in progress there, as far as is known.
    pub(super) fn taken(&self) -> u32 {
        self.in_flight + self.others.requests
    }

    /// How slow it is by what this entry and others saw; 1 is as expected.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let told = Pace {
            answers: self.others.paced,
            hundredths: self.others.pace,
        };
        (self.pace.sum(now) + told).slowness()
    }

    /// This entry's share of the requests that the server ran lately, 0 to 1: what
    /// others send fills its memory unseen.
    pub(super) fn own_share(&self, now: Instant) -> f64 {
        let own = f64::from(self.health.told(now).counts.requests + 1);
        own / (own + f64::from(self.others.ended))
    }

    /// What other entries told of its failures.
    pub(super) fn told(&self) -> Told {
        Told {
            counts: Counts {
                failures: self.others.failures,
                requests: self.others.ended,
            },
            unreached: self.others.unreached,
        }
    }

    pub(super) fn risk(&self, now: Instant) -> f64 {
        self.health.risk(self.told(), now)
    }

    /// Whether others should run requests, as long as there are any.
    pub(super) fn resting(&self, now: Instant) -> bool {
        self.health.resting(now) || self.others.unreached >= AGREED
    }
}
