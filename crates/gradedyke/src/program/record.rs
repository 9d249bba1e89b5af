//! Journal records of programs.
//!
//! A call leaves two records: an intent before anything is sent, and its
//! outcome before the caller is answered. Everything else can be told from
//! these: after a crash, an intent without an outcome is a call that may have
//! run.

use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use super::state::Snapshot;
use crate::wire::{Outcome, Work};

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// The caller ended it.
    Done,
    /// The caller cancelled it.
    Cancelled,
    /// No call came for its idle time.
    Idle,
    /// Its parent ended.
    Parent,
}

/// A call that is about to be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// What is sent; of a conversation, only the new messages.
    pub work: Work,
    /// Hash of the work as the caller sent it.
    pub fingerprint: String,
    /// The backend server it is sent to first.
    pub backend: Option<id::Backend>,
    /// The attempt's name there.
    pub attempt: String,
    /// Tokens reserved for it.
    pub reserved: u64,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A new owner took the slot over. It says nothing of programs, but its
    /// epoch settles which of the records before it count.
    Taken,
    /// A program was opened.
    Opened {
        /// The program.
        program: id::Program,
        /// Its client account.
        account: id::Account,
        /// Its agent program.
        agent: String,
        /// What its tree may spend, in tokens, if it is a root.
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
    /// A call that was to be sent certainly did not run; it may come again.
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
        /// Tokens it spent, lost attempts included.
        spent: u64,
    },
    /// A program ended.
    Ended {
        /// The program.
        program: id::Program,
        /// Why.
        why: Why,
    },
    /// The whole state of a tree, which makes its earlier records useless.
    Restated(Box<Snapshot>),
    /// A tree was forgotten: its answers can no longer be fetched.
    Forgotten {
        /// The tree's root.
        program: id::Program,
    },
}
