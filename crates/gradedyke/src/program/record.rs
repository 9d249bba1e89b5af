//! Journal records of programs.
//!
//! A call that is sent to a backend server has two records: an intent, appended
//! before it is sent, and its outcome, appended before the caller gets it. After a
//! crash, an intent without an outcome is a call that may have run.

use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use super::state::Snapshot;
use crate::wire::{Operation, Outcome};

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The caller ended it.
    Done,
    /// The caller cancelled it.
    Cancelled,
    /// No call arrived within its idle timeout.
    Idle,
    /// Its parent ended.
    Parent,
}

/// A call that is about to be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// The call. A model call has only the messages after the history.
    pub work: Operation,
    /// Hash of the call as the caller sent it, to detect a reused request id.
    pub fingerprint: String,
    /// The backend server it is sent to first.
    pub backend: Option<id::Backend>,
    /// Id of the first attempt, or the idempotency key for a plain service.
    pub attempt: String,
    /// Tokens reserved for one attempt.
    pub reserved: u64,
}

/// A journal record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A new owner took the slot over. It changes no program; appending it commits
    /// the recovered records before it under the new owner's epoch.
    Taken,
    /// A program was opened.
    Opened {
        /// The program.
        program: id::Program,
        /// Its client account.
        account: id::Account,
        /// Its agent program.
        agent: String,
        /// Token budget of its tree; used only if the program is a root.
        budget_tokens: u64,
    },
    /// A call is about to be sent.
    Intended {
        /// The program.
        program: id::Program,
        /// The request.
        request: id::Request,
        /// The call.
        intent: Intent,
    },
    /// An intended call certainly did not run; the caller may send it again.
    Withdrawn {
        /// The program.
        program: id::Program,
        /// The request.
        request: id::Request,
    },
    /// A call ended.
    Answered {
        /// The program.
        program: id::Program,
        /// The request.
        request: id::Request,
        /// How it ended.
        outcome: Outcome,
        /// Tokens spent, including those of lost attempts.
        spent: u64,
    },
    /// A program ended.
    Ended {
        /// The program.
        program: id::Program,
        /// The reason.
        why: Reason,
    },
    /// The whole state of a tree, which replaces all earlier records of it.
    Restated(Box<Snapshot>),
    /// A tree was removed; its answers can no longer be fetched.
    Forgotten {
        /// The tree's root.
        program: id::Program,
    },
}
