//! What replicas answered, and what follows from it.

use std::collections::HashMap;

use super::{Ask, Refusal};
use crate::conversation::Chain;
use crate::index::Attempt;
use crate::load::Busy;
use crate::message::{Found, Reply};
use crate::pressure::Pressure;
use crate::record::{Id, Reserved};
use crate::usage::Total;
use crate::view::{Member, View};

/// What the replicas said so far.
pub(super) struct Gathered {
    pub(super) needed: usize,
    copies: usize,
    asked: usize,
    heard: usize,
    /// Members that said that they have done nothing.
    idle: usize,
    /// Active members that answered.
    pub(super) answered: usize,
    /// Members that have the record on disk.
    kept: usize,
    attempts: HashMap<Id, Attempt>,
    pub(super) chain: Option<Chain>,
    pub(super) holder: Option<Member>,
    pub(super) missing: usize,
    /// Whether one reads its disk still.
    pub(super) starting: bool,
    /// Whether one has too much to do.
    pub(super) busy: bool,
    pub(super) load: Option<Vec<Busy>>,
    /// How members keep up that said so.
    pressures: Vec<Pressure>,
    /// The greatest sum that was told.
    pub(super) usage: Option<Total>,
}

impl Gathered {
    pub(super) fn new(view: &View) -> Self {
        Self {
            needed: view.quorum(),
            copies: view.copies(),
            kept: 0,
            asked: view.members.len(),
            heard: 0,
            idle: 0,
            answered: 0,
            attempts: HashMap::new(),
            chain: None,
            holder: None,
            missing: 0,
            starting: false,
            busy: false,
            load: None,
            pressures: Vec::new(),
            usage: None,
        }
    }

    pub(super) fn has_quorum(&self) -> bool {
        self.answered >= self.needed && self.kept >= self.copies
    }

    /// How the majority keeps up that is least pressed, if so many said.
    pub(super) fn pressure(&self) -> Option<Pressure> {
        let mut told = self.pressures.clone();
        told.sort_unstable();
        told.get(self.needed.saturating_sub(1)).copied()
    }

    /// Whether a member may have done what was asked.
    pub(super) fn in_doubt(&self) -> bool {
        self.idle < self.asked
    }

    /// Counts a member that has done what was asked.
    fn count(&mut self, member: &Member) {
        self.answered += usize::from(member.active);
        self.kept += 1;
    }

    /// Whether nothing more is worth waiting for.
    pub(super) fn complete(&self, ask: &Ask) -> bool {
        let parent = ask.parent.is_none() || self.chain.is_some();
        self.has_quorum() && parent || self.heard == self.asked
    }

    pub(super) fn take(&mut self, member: &Member, reply: Option<Reply>) {
        self.heard += 1;
        match reply {
            Some(Reply::Began {
                attempts,
                parent,
                load,
                usage,
                pressure,
            }) => {
                self.pressures.push(pressure);
                self.used(usage);
                self.load = self.load.take().or(load);
                self.count(member);
                attempts.into_iter().for_each(|a| self.merge(a));
                self.found(member, parent);
            }
            Some(Reply::Kept { usage }) => {
                self.used(usage);
                self.count(member);
            }
            Some(Reply::Usage(usage)) => {
                self.used(Some(usage));
                self.count(member);
            }
            Some(Reply::Starting) => {
                self.idle += 1;
                self.starting = true;
            }
            Some(Reply::Busy(pressure)) => {
                self.pressures.push(pressure);
                self.idle += 1;
                self.busy = true;
            }
            Some(Reply::Failed(error)) => {
                tracing::warn!(event = "replica_failed", replica = member.name, %error);
            }
            _ => {}
        }
    }

    fn used(&mut self, told: Option<Total>) {
        let known = self.usage.unwrap_or_default();
        self.usage = told.map(|t| t.max(known)).or(self.usage);
    }

    fn found(&mut self, member: &Member, parent: Option<Found>) {
        match parent {
            Some(Found::Whole(chain)) => self.chain = Some(chain),
            Some(Found::Here) => self.holder = Some(member.clone()),
            Some(Found::Missing) => self.missing += 1,
            None => {}
        }
    }

    fn merge(&mut self, attempt: Attempt) {
        let known = self.attempts.get(&attempt.request);
        if known.is_none_or(|k| attempt.settled && !k.settled) {
            self.attempts.insert(attempt.request.clone(), attempt);
        }
    }

    /// Whether the budget has room for the reservation beside all others.
    pub(super) fn afford(&self, reserved: &Reserved, budget: u64) -> Result<(), Refusal> {
        let others = self.attempts.values();
        let others = others.filter(|a| a.request != reserved.request);
        let used: u64 = others.map(|a| u64::from(a.tokens)).sum();
        if used + u64::from(reserved.tokens) <= budget {
            return Ok(());
        }
        Err(Refusal::Spent {
            budget,
            used,
            asked: reserved.tokens,
        })
    }
}
