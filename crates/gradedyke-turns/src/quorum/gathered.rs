//! Combines the replies of replicas to one request.

use std::collections::HashMap;

use super::{BeginParams, Error};
use crate::conversation::Transcript;
use crate::index::Attempt;
use crate::load::ServerLoad;
use crate::message::{Found, Reply};
use crate::pressure::Pressure;
use crate::record::{Id, Reserved, Settled};
use crate::usage::Total;
use crate::view::{Member, View};

/// Replies to one request that were received so far.
pub(super) struct CollectedReplies {
    /// Number of active members that must acknowledge.
    pub(super) required_acks: usize,
    /// Number of members that must have the record on disk.
    required_copies: usize,
    /// The version since which records may be missing; `None` if none is.
    pub(super) incomplete_since: Option<u64>,
    /// Number of members that the request was sent to.
    member_count: usize,
    /// Number of members that replied or failed.
    finished_members: usize,
    /// Number of members that replied that they did not execute the request.
    not_executed: usize,
    /// Number of active members that acknowledged.
    pub(super) active_acks: usize,
    /// Number of members, active or not, that acknowledged and so have the request's record, if
    /// any, on disk.
    all_acks: usize,
    /// All known attempts of the program.
    attempts: HashMap<Id, Attempt>,
    /// The conversation up to the parent turn.
    pub(super) transcript: Option<Transcript>,
    /// Members that have the parent turn but did not send the conversation.
    pub(super) parent_holders: Vec<Member>,
    /// Size of the conversation in bytes, if it must be read in pages.
    pub(super) conversation_bytes: Option<u64>,
    /// Number of members that do not have the parent turn.
    pub(super) members_without_parent: usize,
    /// Whether a member is still recovering from its disk.
    pub(super) is_any_starting: bool,
    /// Whether a member is overloaded.
    pub(super) is_any_busy: bool,
    /// Requests that other entries have in flight.
    pub(super) load: Option<Vec<ServerLoad>>,
    /// Pressure of each member that reported it.
    pressures: Vec<Pressure>,
    /// The largest usage total that a member reported.
    pub(super) usage: Option<Total>,
}

impl CollectedReplies {
    pub(super) fn new(view: &View) -> Self {
        Self {
            required_acks: view.quorum_size(),
            required_copies: view.required_copies(),
            incomplete_since: view.incomplete_since(),
            all_acks: 0,
            member_count: view.members.len(),
            finished_members: 0,
            not_executed: 0,
            active_acks: 0,
            attempts: HashMap::new(),
            transcript: None,
            parent_holders: Vec::new(),
            conversation_bytes: None,
            members_without_parent: 0,
            is_any_starting: false,
            is_any_busy: false,
            load: None,
            pressures: Vec::new(),
            usage: None,
        }
    }

    /// Returns whether enough active members acknowledged and enough members have the record.
    pub(super) fn has_quorum(&self) -> bool {
        self.active_acks >= self.required_acks && self.all_acks >= self.required_copies
    }

    /// Returns the highest pressure within the least loaded majority; `None` if fewer members
    /// than a majority reported it.
    pub(super) fn pressure(&self) -> Option<Pressure> {
        let mut sorted = self.pressures.clone();
        sorted.sort_unstable();
        sorted.get(self.required_acks.saturating_sub(1)).copied()
    }

    /// Returns whether any member may have executed the request.
    pub(super) fn may_have_executed(&self) -> bool {
        self.not_executed < self.member_count
    }

    /// Counts a member that executed the request.
    fn count_ack(&mut self, member: &Member) {
        self.active_acks += usize::from(member.active);
        self.all_acks += 1;
    }

    /// Returns whether no further reply is needed or expected.
    pub(super) fn is_complete(&self, params: &BeginParams) -> bool {
        let is_known = self.transcript.is_some() || self.conversation_bytes.is_some();
        let has_parent = params.parent.is_none() || is_known;
        self.has_quorum() && has_parent || self.finished_members == self.member_count
    }

    /// Adds a member's reply; `None` if the call failed.
    pub(super) fn add(&mut self, member: &Member, reply: Option<Reply>) {
        self.finished_members += 1;
        match reply {
            Some(Reply::Began {
                attempts,
                parent,
                load,
                usage,
                pressure,
            }) => {
                self.pressures.push(pressure);
                self.merge_usage(usage);
                self.load = self.load.take().or(load);
                self.count_ack(member);
                attempts.into_iter().for_each(|a| self.merge_attempt(a));
                self.record_parent(member, parent);
            }
            Some(Reply::Kept { usage }) => {
                self.merge_usage(usage);
                self.count_ack(member);
            }
            Some(Reply::Usage(usage)) => {
                self.merge_usage(Some(usage));
                self.count_ack(member);
            }
            Some(Reply::Starting) => {
                self.not_executed += 1;
                self.is_any_starting = true;
            }
            Some(Reply::Busy(pressure)) => {
                self.pressures.push(pressure);
                self.not_executed += 1;
                self.is_any_busy = true;
            }
            Some(Reply::Failed(error)) => {
                tracing::warn!(event = "replica_failed", replica = member.name, %error);
            }
            _ => {}
        }
    }

    fn merge_usage(&mut self, reported: Option<Total>) {
        let known = self.usage.unwrap_or_default();
        self.usage = reported.map(|t| t.max(known)).or(self.usage);
    }

    fn record_parent(&mut self, member: &Member, parent: Option<Found>) {
        match parent {
            Some(Found::Whole(transcript)) => self.transcript = Some(transcript),
            Some(Found::Here) => self.parent_holders.push(member.clone()),
            Some(Found::Large(bytes)) => {
                self.conversation_bytes = Some(bytes);
                // It is the nearest member.
                self.parent_holders.insert(0, member.clone());
            }
            Some(Found::Missing) => self.members_without_parent += 1,
            None => {}
        }
    }

    /// Adds an attempt; a settled one replaces its reservation.
    fn merge_attempt(&mut self, attempt: Attempt) {
        let known = self.attempts.get(&attempt.request);
        if known.is_none_or(|k| attempt.settled && !k.settled) {
            self.attempts.insert(attempt.request.clone(), attempt);
        }
    }

    /// Number of attempts of the program that used tokens or may use them. An attempt that was
    /// refused after it began is settled with 0 tokens and was no turn of the program.
    pub(super) fn program_attempts(&self) -> usize {
        let attempts = self.attempts.values();
        attempts.filter(|a| a.tokens > 0 || !a.settled).count()
    }

    /// Whether all attempts of the program are known. If records may be missing, they are those of
    /// a program whose first attempt began since.
    pub(super) fn has_all_attempts(&self) -> bool {
        let Some(since) = self.incomplete_since else {
            return true;
        };
        let requests = self.attempts.keys();
        let mut first_attempts = requests.filter_map(Settled::first_attempt_version);
        first_attempts.any(|version| version >= since)
    }

    /// Whether no attempt of the program but this one is known, apart from those that used no
    /// tokens.
    pub(super) fn is_first_attempt(&self, reserved: &Reserved) -> bool {
        let mut others = self.attempts.values();
        others.all(|a| a.request == reserved.request || a.settled && a.tokens == 0)
    }

    /// Checks that the budget has room for the reservation in addition to all other attempts.
    pub(super) fn check_budget(&self, reserved: &Reserved, budget: u64) -> Result<(), Error> {
        let others = self.attempts.values();
        let others = others.filter(|a| a.request != reserved.request);
        let used: u64 = others.map(|a| u64::from(a.tokens)).sum();
        if used + u64::from(reserved.tokens) <= budget {
            return Ok(());
        }
        Err(Error::BudgetExceeded {
            budget,
            used,
            requested: reserved.tokens,
        })
    }
}
