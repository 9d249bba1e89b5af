//! The state of a tree of programs, built by applying its journal records in order.
//!
//! An owner applies each record once it is appended to the journal. A new owner
//! replays the same records with the same code and gets the same state.

use std::collections::{BTreeMap, HashMap};

use gradedyke_backend::chat::Message;
use gradedyke_base::id;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::record::{Intent, Reason, Record};
use crate::wire::{Operation, Outcome};

new_key_type! {
    /// Key of a program in its tree.
    pub struct ProgramKey;
}

/// The stored answer of a call that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Hash of the call as the caller sent it, to detect a reused request id.
    pub fingerprint: String,
    /// How the call ended.
    pub outcome: Outcome,
}

/// The state of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// Its id.
    pub id: id::Program,
    /// Its agent program.
    pub agent: String,
    /// The conversation so far.
    pub history: Vec<Message>,
    /// Tokens of the conversation, as last reported by an engine.
    pub history_tokens: u64,
    /// Answers of calls that have ended, by request.
    pub answers: BTreeMap<id::Request, StoredAnswer>,
    /// Calls with an intent and no outcome yet, by request.
    pub open: BTreeMap<id::Request, Intent>,
    /// Why it ended, if it has.
    pub ended: Option<Reason>,
}

/// A program and its sub-agents, which share a budget and an owner.
#[derive(Clone, Debug)]
pub struct Tree {
    /// The client account.
    pub account: id::Account,
    /// Token budget of the tree.
    pub budget_tokens: u64,
    /// Tokens spent by the tree.
    pub spent: u64,
    programs: SlotMap<ProgramKey, Program>,
    keys: HashMap<id::Program, ProgramKey>,
}

/// The whole state of a tree, as written to the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The client account.
    pub account: id::Account,
    /// Token budget of the tree.
    pub budget_tokens: u64,
    /// Tokens spent by the tree.
    pub spent: u64,
    /// Its programs.
    pub programs: Vec<Program>,
}

impl Program {
    fn new(id: id::Program, agent: String) -> Self {
        Self {
            id,
            agent,
            history: Vec::new(),
            history_tokens: 0,
            answers: BTreeMap::new(),
            open: BTreeMap::new(),
            ended: None,
        }
    }

    fn record_outcome(&mut self, request: &id::Request, outcome: &Outcome) {
        let Some(intent) = self.open.remove(request) else {
            return;
        };
        if let (Operation::Chat { request, .. }, Outcome::Chat(completion)) = (intent.work, outcome)
        {
            self.history.extend(request.messages);
            self.history.push(completion.message());
            self.history_tokens = completion.usage.total_tokens;
        }
        let answer = StoredAnswer {
            fingerprint: intent.fingerprint,
            outcome: outcome.clone(),
        };
        self.answers.insert(request.clone(), answer);
    }
}

impl Tree {
    /// Creates a tree without programs.
    pub fn new(account: id::Account, budget_tokens: u64) -> Self {
        Self {
            account,
            budget_tokens,
            spent: 0,
            programs: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Creates a tree from a snapshot.
    pub fn from_snapshot(snapshot: Snapshot) -> Self {
        let mut tree = Self::new(snapshot.account, snapshot.budget_tokens);
        tree.spent = snapshot.spent;
        snapshot.programs.into_iter().for_each(|p| tree.insert(p));
        tree
    }

    /// Returns a snapshot of the tree.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            account: self.account.clone(),
            budget_tokens: self.budget_tokens,
            spent: self.spent,
            programs: self.programs.values().cloned().collect(),
        }
    }

    fn insert(&mut self, program: Program) {
        let id = program.id.clone();
        let key = self.programs.insert(program);
        self.keys.insert(id, key);
    }

    /// Returns the key of a program of this tree.
    pub fn find(&self, id: &id::Program) -> Option<ProgramKey> {
        self.keys.get(id).copied()
    }

    /// Returns a program by its key.
    pub fn get(&self, key: ProgramKey) -> Option<&Program> {
        self.programs.get(key)
    }

    /// Iterates over the programs of the tree, in no particular order.
    pub fn programs(&self) -> impl Iterator<Item = (ProgramKey, &Program)> {
        self.programs.iter()
    }

    /// Returns whether every program of the tree has ended.
    pub fn has_ended(&self) -> bool {
        self.programs.values().all(|p| p.ended.is_some())
    }

    /// Applies a record to the tree. Records about whole trees or slots are ignored.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened { program, agent, .. } => {
                if !self.keys.contains_key(program) {
                    self.insert(Program::new(program.clone(), agent.clone()));
                }
            }
            Record::Intended {
                program,
                request,
                intent,
            } => {
                if let Some(program) = self.find_mut(program) {
                    program.open.insert(request.clone(), intent.clone());
                }
            }
            Record::Withdrawn { program, request } => {
                if let Some(program) = self.find_mut(program) {
                    program.open.remove(request);
                }
            }
            Record::Answered {
                program,
                request,
                outcome,
                spent,
            } => {
                self.spent += spent;
                if let Some(program) = self.find_mut(program) {
                    program.record_outcome(request, outcome);
                }
            }
            Record::Ended { program, why } => {
                if let Some(program) = self.find_mut(program) {
                    program.ended.get_or_insert(*why);
                }
            }
            Record::Taken | Record::Restated(_) | Record::Forgotten { .. } => {}
        }
    }

    fn find_mut(&mut self, id: &id::Program) -> Option<&mut Program> {
        let key = *self.keys.get(id)?;
        self.programs.get_mut(key)
    }
}

/// All trees of a slot, by the id of their root program.
pub type Trees = HashMap<String, Tree>;

/// Applies a record of a slot to its trees.
pub fn apply_record(trees: &mut Trees, record: Record) {
    match record {
        Record::Taken => {}
        Record::Restated(snapshot) => {
            let Some(first) = snapshot.programs.first() else {
                return;
            };
            let root = first.id.root().to_owned();
            trees.insert(root, Tree::from_snapshot(*snapshot));
        }
        Record::Forgotten { program } => {
            trees.remove(program.root());
        }
        Record::Opened {
            ref program,
            ref account,
            budget_tokens,
            ..
        } => {
            let new_tree = || Tree::new(account.clone(), budget_tokens);
            let tree = trees
                .entry(program.root().to_owned())
                .or_insert_with(new_tree);
            tree.apply(&record);
        }
        Record::Intended { ref program, .. }
        | Record::Withdrawn { ref program, .. }
        | Record::Answered { ref program, .. }
        | Record::Ended { ref program, .. } => {
            if let Some(tree) = trees.get_mut(program.root()) {
                tree.apply(&record);
            }
        }
    }
}
