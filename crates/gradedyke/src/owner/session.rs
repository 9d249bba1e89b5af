//! A tree of programs while it is served: its state, its budget, the lines in
//! which calls wait, and the calls under way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

use gradedyke_backend::chat::{self, Message};
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer::{Answer, End};
use super::lock;
use crate::program::budget::{Budget, TEMPLATE_TOKENS};
use crate::program::record::{Intent, Record, Why};
use crate::program::state::{Key, Program, Tree};
use crate::routing::fleet;
use crate::wire::{History, Outcome};

/// The line in which the calls of one program wait for their turn.
#[derive(Debug)]
struct Line {
    /// The number that the next call without one gets.
    next: u64,
    /// The number whose turn it is.
    turn: watch::Sender<u64>,
    /// Numbers that the caller gave, with the requests they stand for.
    given: BTreeMap<u64, id::Request>,
    /// Numbers whose calls have left before their turn came.
    left: BTreeSet<u64>,
}

/// A call's place in its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its number.
    pub number: u64,
    /// Whether the caller gave the number.
    pub given: bool,
}

struct Inner {
    tree: Tree,
    budget: Budget,
    lines: HashMap<Key, Line>,
    calls: HashMap<(Key, id::Request), Arc<Answer>>,
    /// Engines that hold memory for a program.
    held: HashMap<Key, BTreeSet<fleet::Key>>,
    touched: Instant,
}

/// A tree of programs while it is served.
pub struct Session {
    /// The client account.
    pub account: id::Account,
    inner: Mutex<Inner>,
}

/// What a call finds when it arrives.
pub enum Arrival {
    /// The answer exists or is on its way.
    Known(Arc<Answer>),
    /// A new call with its place in the line.
    New(Arc<Answer>, Ticket),
}

/// A conversation ready to be sent.
pub struct Conversation {
    /// What is new in it.
    pub new: Vec<Message>,
    /// All of it.
    pub whole: Vec<Message>,
    /// The most tokens the call can spend, which have been reserved.
    pub reserved: u64,
    /// The most tokens to generate.
    pub max_tokens: u64,
}

impl Session {
    /// A session over a tree.
    pub fn new(tree: Tree, now: Instant) -> Self {
        let mut budget = Budget::new(tree.budget_tokens, tree.spent);
        let open = tree.programs().flat_map(|(_, p)| p.open.values());
        let reserved: u64 = open.map(|intent| intent.reserved).sum();
        // It was reserved before, by the owner that sent these calls.
        budget.reserve(reserved);
        Self {
            account: tree.account.clone(),
            inner: Mutex::new(Inner {
                tree,
                budget,
                lines: HashMap::new(),
                calls: HashMap::new(),
                held: HashMap::new(),
                touched: now,
            }),
        }
    }

    /// The key of a program.
    pub fn find(&self, program: &id::Program) -> Option<Key> {
        lock(&self.inner).tree.find(program)
    }

    /// Reads a program.
    pub fn read<T>(&self, key: Key, read: impl FnOnce(&Program) -> T) -> Option<T> {
        lock(&self.inner).tree.get(key).map(read)
    }

    /// The budget as it stands.
    pub fn budget(&self) -> Budget {
        lock(&self.inner).budget
    }

    /// Takes in a record that the journal keeps.
    pub fn apply(&self, record: &Record) {
        lock(&self.inner).tree.apply(record);
    }

    /// Whether no call is in progress.
    pub fn idle(&self) -> bool {
        lock(&self.inner).calls.is_empty()
    }

    /// Whether every program has ended.
    pub fn ended(&self) -> bool {
        lock(&self.inner).tree.ended()
    }

    /// When a call last came or ended.
    pub fn touched(&self) -> Instant {
        lock(&self.inner).touched
    }

    /// Notes that a call came or ended.
    pub fn touch(&self, now: Instant) {
        lock(&self.inner).touched = now;
    }

    /// The programs of the tree, the root first.
    pub fn programs(&self) -> Vec<(Key, id::Program, Option<Why>)> {
        let inner = lock(&self.inner);
        let program = |(key, p): (Key, &Program)| (key, p.id.clone(), p.ended);
        let mut programs: Vec<_> = inner.tree.programs().map(program).collect();
        programs.sort_by(|a, b| a.1.cmp(&b.1));
        programs
    }

    /// Calls that were sent by an earlier owner and have not ended.
    pub fn open_calls(&self) -> Vec<(Key, id::Request, Intent)> {
        let inner = lock(&self.inner);
        let programs = inner.tree.programs();
        let open = programs.flat_map(|(key, program)| {
            let intents = program.open.iter();
            intents.map(move |(request, intent)| (key, request.clone(), intent.clone()))
        });
        open.collect()
    }

    /// Looks a request up.
    pub fn known(&self, key: Key, request: &id::Request) -> Option<Arc<Answer>> {
        lock(&self.inner).known(key, request)
    }

    /// Takes a call in: finds its answer, or gives it a place in the line.
    ///
    /// # Errors
    ///
    /// `conflict` when the request's id or number stands for another call.
    pub fn arrive(
        &self,
        key: Key,
        request: &id::Request,
        sequence: Option<u64>,
        fingerprint: &str,
        answer: impl FnOnce() -> Answer,
    ) -> Result<Arrival, Problem> {
        let mut inner = lock(&self.inner);
        if let Some(known) = inner.known(key, request) {
            if known.fingerprint != fingerprint {
                let message =
                    "this request id stands for another call; use a new id for a new call";
                return Err(Problem::new(Kind::Conflict, message));
            }
            return Ok(Arrival::Known(known));
        }
        let answered = inner.tree.get(key).map_or(0, |p| p.answers.len() as u64);
        let line = inner
            .lines
            .entry(key)
            .or_insert_with(|| Line::new(answered));
        let ticket = line.join(request, sequence)?;
        let answer = Arc::new(answer());
        inner.calls.insert((key, request.clone()), answer.clone());
        Ok(Arrival::New(answer, ticket))
    }

    /// Waits for a call's turn.
    pub async fn turn(&self, key: Key, ticket: Ticket) {
        let turn = {
            let inner = lock(&self.inner);
            inner.lines.get(&key).map(|line| line.turn.subscribe())
        };
        if let Some(mut turn) = turn {
            // The line lives as long as the session, which the caller holds.
            let _ = turn.wait_for(|number| *number >= ticket.number).await;
        }
    }

    /// Gives a conversation for a chat request and reserves its worst case.
    ///
    /// # Errors
    ///
    /// `conflict` when the messages do not go on from the history,
    /// `over_budget` when the budget does not cover the worst case.
    pub fn converse(
        &self,
        key: Key,
        request: &chat::Request,
        history: History,
        max_tokens: u64,
    ) -> Result<Conversation, Problem> {
        let mut inner = lock(&self.inner);
        let program = inner.tree.get(key).ok_or_else(super::holding::unknown)?;
        let new = news(&program.history, &request.messages, history)?;
        let mut whole = program.history.clone();
        whole.extend(new.iter().cloned());
        let prompt = program.history_tokens + new.iter().map(most_tokens).sum::<u64>();
        let reserved = prompt + max_tokens;
        if !inner.budget.reserve(reserved) {
            return Err(over_budget(reserved, inner.budget.left()));
        }
        Ok(Conversation {
            new,
            whole,
            reserved,
            max_tokens,
        })
    }

    /// Reserves tokens for a further attempt.
    ///
    /// # Errors
    ///
    /// `over_budget`.
    pub fn reserve(&self, tokens: u64) -> Result<(), Problem> {
        let mut inner = lock(&self.inner);
        if inner.budget.reserve(tokens) {
            return Ok(());
        }
        Err(over_budget(tokens, inner.budget.left()))
    }

    /// Gives a reservation back and takes what was spent of it.
    pub fn settle(&self, reserved: u64, spent: u64) {
        lock(&self.inner).budget.settle(reserved, spent);
    }

    /// Ends a call: publishes how, and lets the next one have its turn. A call
    /// with a given number that did not run keeps its number free.
    pub fn finish(&self, key: Key, request: &id::Request, ticket: Ticket, end: End, ran: bool) {
        let mut inner = lock(&self.inner);
        if let Some(line) = inner.lines.get_mut(&key) {
            line.leave(ticket, ran);
        }
        if let Some(answer) = inner.calls.remove(&(key, request.clone())) {
            answer.finish(end);
        }
    }

    /// Notes that an engine holds memory for a program.
    pub fn hold(&self, key: Key, engine: fleet::Key) {
        lock(&self.inner)
            .held
            .entry(key)
            .or_default()
            .insert(engine);
    }

    /// Takes the engines that hold memory for a program, to release it there.
    pub fn take_held(&self, key: Key) -> BTreeSet<fleet::Key> {
        lock(&self.inner).held.remove(&key).unwrap_or_default()
    }

    /// The answers under way of a program.
    pub fn under_way(&self, key: Key) -> Vec<Arc<Answer>> {
        let inner = lock(&self.inner);
        let calls = inner.calls.iter().filter(|((k, _), _)| *k == key);
        calls.map(|(_, answer)| answer.clone()).collect()
    }

    /// Cancels the calls of a program.
    pub fn cancel(&self, key: Key) {
        for answer in self.under_way(key) {
            answer.cancel.cancel();
        }
    }
}

impl Inner {
    fn known(&self, key: Key, request: &id::Request) -> Option<Arc<Answer>> {
        if let Some(answer) = self.calls.get(&(key, request.clone())) {
            return Some(answer.clone());
        }
        let answer = self.tree.get(key)?.answers.get(request)?;
        let outcome: Outcome = answer.outcome.clone();
        Some(Arc::new(Answer::ended(answer.fingerprint.clone(), outcome)))
    }
}

impl Line {
    fn new(answered: u64) -> Self {
        Self {
            next: answered,
            turn: watch::Sender::new(answered),
            given: BTreeMap::new(),
            left: BTreeSet::new(),
        }
    }

    fn join(&mut self, request: &id::Request, sequence: Option<u64>) -> Result<Ticket, Problem> {
        let Some(sequence) = sequence else {
            self.next += 1;
            return Ok(Ticket {
                number: self.next - 1,
                given: false,
            });
        };
        let number = sequence.saturating_sub(1);
        if number < *self.turn.borrow() || self.given.contains_key(&number) {
            let message =
                format!("call {sequence} of this program was issued already under another id");
            let message = format!("{message}; number each call once, from 1");
            return Err(Problem::new(Kind::Conflict, message));
        }
        self.given.insert(number, request.clone());
        self.next = self.next.max(number + 1);
        Ok(Ticket {
            number,
            given: true,
        })
    }

    fn leave(&mut self, ticket: Ticket, ran: bool) {
        self.given.remove(&ticket.number);
        if !ran && ticket.given {
            return;
        }
        self.left.insert(ticket.number);
        let mut turn = *self.turn.borrow();
        while self.left.remove(&turn) {
            turn += 1;
        }
        self.turn.send_replace(turn);
    }
}

/// The messages of a request that the history does not have yet.
fn news(known: &[Message], sent: &[Message], history: History) -> Result<Vec<Message>, Problem> {
    if history == History::Append {
        return Ok(sent.to_vec());
    }
    let agrees = known.len() <= sent.len() && known.iter().zip(sent).all(|(a, b)| chat::same(a, b));
    if !agrees {
        let message = "the messages do not go on from the program's history; read it with GET \
                       /v1/programs/{id}/history, or send only what is new with the header \
                       gradedyke-history: append";
        return Err(Problem::new(Kind::Conflict, message));
    }
    let new = sent[known.len()..].to_vec();
    if new.is_empty() {
        let message = "there is no message after the program's history; add one";
        return Err(Problem::new(Kind::BadRequest, message));
    }
    Ok(new)
}

/// The most tokens a message can have: no token is shorter than a byte.
fn most_tokens(message: &Message) -> u64 {
    let bytes: usize = message.values().map(|v| v.to_string().len()).sum();
    bytes as u64 + TEMPLATE_TOKENS
}

fn over_budget(needed: u64, left: u64) -> Problem {
    let message = format!(
        "the call may spend up to {needed} tokens and the program has {left} left; lower \
         max_tokens, end the program, or have its budget raised"
    );
    Problem::new(Kind::OverBudget, message)
}
