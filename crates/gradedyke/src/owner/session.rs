//! The in-memory state of a served tree of programs: its journaled state, its
//! budget, the call queue of each program and the calls in flight.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};

use gradedyke_backend::chat::{self, Message};
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer::{Answer, End};
use super::lock;
use crate::program::budget::{Budget, MAX_TEMPLATE_TOKENS};
use crate::program::record::{Intent, Reason, Record};
use crate::program::state::{Program, ProgramKey, Tree};
use crate::routing::fleet;
use crate::wire::{History, Outcome};

/// Queue of the calls of one program, which run one at a time by number.
#[derive(Debug)]
struct CallQueue {
    /// Number for the next call that arrives without a sequence number.
    next: u64,
    /// Number of the call that may run now.
    current: watch::Sender<u64>,
    /// Numbers assigned by the caller, with their requests, while these are queued.
    caller_numbered: BTreeMap<u64, id::Request>,
    /// Numbers of calls that left the queue before all earlier ones had.
    finished: BTreeSet<u64>,
}

/// A call's place in its program's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its number, from 0.
    pub number: u64,
    /// Whether the caller assigned the number.
    pub by_caller: bool,
}

struct Inner {
    tree: Tree,
    budget: Budget,
    queues: HashMap<ProgramKey, CallQueue>,
    calls: HashMap<(ProgramKey, id::Request), Arc<Answer>>,
    /// Engines that have cache prefixes pinned for a program.
    pinned: HashMap<ProgramKey, BTreeSet<fleet::ServerKey>>,
    last_activity: Instant,
}

/// A served tree of programs.
pub struct Session {
    /// The client account.
    pub account: id::Account,
    inner: Mutex<Inner>,
}

/// Result of [`Session::submit`].
pub enum Submission {
    /// A repeat of a known request, with its answer, possibly still in progress.
    Known(Arc<Answer>),
    /// A new call, with its empty answer and its place in the queue.
    New(Arc<Answer>, Ticket),
}

/// A conversation to send to a model.
pub struct Conversation {
    /// The messages after the history.
    pub new_messages: Vec<Message>,
    /// All messages, history included.
    pub messages: Vec<Message>,
    /// Tokens reserved for the call: the most that it can spend.
    pub reserved: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}

impl Session {
    /// Creates a session of a tree and reserves tokens for its open calls.
    pub fn new(tree: Tree, now: Instant) -> Self {
        let mut budget = Budget::new(tree.budget_tokens, tree.spent);
        let open = tree.programs().flat_map(|(_, p)| p.open.values());
        let reserved: u64 = open.map(|intent| intent.reserved).sum();
        // Always fits: the owner that sent these calls reserved the same tokens.
        budget.reserve(reserved);
        Self {
            account: tree.account.clone(),
            inner: Mutex::new(Inner {
                tree,
                budget,
                queues: HashMap::new(),
                calls: HashMap::new(),
                pinned: HashMap::new(),
                last_activity: now,
            }),
        }
    }

    /// Returns the key of a program.
    pub fn find(&self, program: &id::Program) -> Option<ProgramKey> {
        lock(&self.inner).tree.find(program)
    }

    /// Calls `read` with a program, or returns `None` if there is no such program.
    pub fn read<T>(&self, key: ProgramKey, read: impl FnOnce(&Program) -> T) -> Option<T> {
        lock(&self.inner).tree.get(key).map(read)
    }

    /// Returns a copy of the budget.
    pub fn budget(&self) -> Budget {
        lock(&self.inner).budget
    }

    /// Applies a record that has been appended to the journal.
    pub fn apply(&self, record: &Record) {
        lock(&self.inner).tree.apply(record);
    }

    /// Returns whether no call is queued or running.
    pub fn is_idle(&self) -> bool {
        lock(&self.inner).calls.is_empty()
    }

    /// Returns whether every program of the tree has ended.
    pub fn has_ended(&self) -> bool {
        lock(&self.inner).tree.has_ended()
    }

    /// Returns when a call last arrived or ended.
    pub fn last_activity(&self) -> Instant {
        lock(&self.inner).last_activity
    }

    /// Records that a call arrived or ended.
    pub fn record_activity(&self, now: Instant) {
        lock(&self.inner).last_activity = now;
    }

    /// Returns the programs of the tree with the reason why they ended, root first.
    pub fn programs(&self) -> Vec<(ProgramKey, id::Program, Option<Reason>)> {
        let inner = lock(&self.inner);
        let program = |(key, p): (ProgramKey, &Program)| (key, p.id.clone(), p.ended);
        let mut programs: Vec<_> = inner.tree.programs().map(program).collect();
        programs.sort_by(|a, b| a.1.cmp(&b.1));
        programs
    }

    /// Returns the calls that an earlier owner had sent or was about to send and
    /// that have no outcome yet.
    pub fn open_calls(&self) -> Vec<(ProgramKey, id::Request, Intent)> {
        let inner = lock(&self.inner);
        let programs = inner.tree.programs();
        let open = programs.flat_map(|(key, program)| {
            let intents = program.open.iter();
            intents.map(move |(request, intent)| (key, request.clone(), intent.clone()))
        });
        open.collect()
    }

    /// Returns the answer of a request that is in progress or has ended.
    pub fn find_answer(&self, key: ProgramKey, request: &id::Request) -> Option<Arc<Answer>> {
        lock(&self.inner).find_answer(key, request)
    }

    /// Submits a call: returns the answer of a known request, or queues a new call
    /// with the answer that `answer` creates.
    ///
    /// # Errors
    ///
    /// `conflict` when another call has the same request id or sequence number.
    pub fn submit(
        &self,
        key: ProgramKey,
        request: &id::Request,
        sequence: Option<u64>,
        fingerprint: &str,
        answer: impl FnOnce() -> Answer,
    ) -> Result<Submission, Problem> {
        let mut inner = lock(&self.inner);
        if let Some(known) = inner.find_answer(key, request) {
            if known.fingerprint != fingerprint {
                let message =
                    "this request id stands for another call; use a new id for a new call";
                return Err(Problem::new(Kind::Conflict, message));
            }
            return Ok(Submission::Known(known));
        }
        let answered = inner.tree.get(key).map_or(0, |p| p.answers.len() as u64);
        let queue = inner
            .queues
            .entry(key)
            .or_insert_with(|| CallQueue::new(answered));
        let ticket = queue.join(request, sequence)?;
        let answer = Arc::new(answer());
        inner.calls.insert((key, request.clone()), answer.clone());
        Ok(Submission::New(answer, ticket))
    }

    /// Waits until a queued call may run.
    pub async fn wait_turn(&self, key: ProgramKey, ticket: Ticket) {
        let current = {
            let inner = lock(&self.inner);
            inner
                .queues
                .get(&key)
                .map(|queue| queue.current.subscribe())
        };
        if let Some(mut current) = current {
            // Can't fail: the queue lives as long as the session.
            let _ = current.wait_for(|number| *number >= ticket.number).await;
        }
    }

    /// Builds the conversation for a chat request and reserves the most tokens
    /// that it can spend.
    ///
    /// # Errors
    ///
    /// `conflict` when the messages do not continue the history, `bad_request`
    /// when there is no new message, `over_budget` when the budget is too small.
    pub fn prepare_conversation(
        &self,
        key: ProgramKey,
        request: &chat::Request,
        history: History,
        max_tokens: u64,
    ) -> Result<Conversation, Problem> {
        let mut inner = lock(&self.inner);
        let program = inner
            .tree
            .get(key)
            .ok_or_else(super::holding::program_not_found)?;
        let new_messages = messages_after_history(&program.history, &request.messages, history)?;
        let mut messages = program.history.clone();
        messages.extend(new_messages.iter().cloned());
        let prompt =
            program.history_tokens + new_messages.iter().map(max_message_tokens).sum::<u64>();
        let reserved = prompt + max_tokens;
        if !inner.budget.reserve(reserved) {
            return Err(over_budget(reserved, inner.budget.available()));
        }
        Ok(Conversation {
            new_messages,
            messages,
            reserved,
            max_tokens,
        })
    }

    /// Reserves tokens for a further attempt.
    ///
    /// # Errors
    ///
    /// `over_budget` when the budget has too few tokens left.
    pub fn reserve(&self, tokens: u64) -> Result<(), Problem> {
        let mut inner = lock(&self.inner);
        if inner.budget.reserve(tokens) {
            return Ok(());
        }
        Err(over_budget(tokens, inner.budget.available()))
    }

    /// Releases a reservation and charges the tokens that were spent.
    pub fn settle(&self, reserved: u64, spent: u64) {
        lock(&self.inner).budget.settle(reserved, spent);
    }

    /// Ends a call: publishes how it ended and lets the next one run. If the
    /// caller assigned the number and the call did not run, the number is not used
    /// up, so the caller can send the call again with it.
    pub fn finish(
        &self,
        key: ProgramKey,
        request: &id::Request,
        ticket: Ticket,
        end: End,
        ran: bool,
    ) {
        let mut inner = lock(&self.inner);
        if let Some(queue) = inner.queues.get_mut(&key) {
            queue.leave(ticket, ran);
        }
        if let Some(answer) = inner.calls.remove(&(key, request.clone())) {
            answer.finish(end);
        }
    }

    /// Records that an engine has a cache prefix pinned for a program.
    pub fn add_pinned(&self, key: ProgramKey, engine: fleet::ServerKey) {
        lock(&self.inner)
            .pinned
            .entry(key)
            .or_default()
            .insert(engine);
    }

    /// Removes and returns the engines that have cache prefixes pinned for a
    /// program.
    pub fn take_pinned(&self, key: ProgramKey) -> BTreeSet<fleet::ServerKey> {
        lock(&self.inner).pinned.remove(&key).unwrap_or_default()
    }

    /// Returns the answers of a program's queued and running calls.
    pub fn active_answers(&self, key: ProgramKey) -> Vec<Arc<Answer>> {
        let inner = lock(&self.inner);
        let calls = inner.calls.iter().filter(|((k, _), _)| *k == key);
        calls.map(|(_, answer)| answer.clone()).collect()
    }

    /// Cancels the queued and running calls of a program.
    pub fn cancel(&self, key: ProgramKey) {
        for answer in self.active_answers(key) {
            answer.cancel.cancel();
        }
    }
}

impl Inner {
    fn find_answer(&self, key: ProgramKey, request: &id::Request) -> Option<Arc<Answer>> {
        if let Some(answer) = self.calls.get(&(key, request.clone())) {
            return Some(answer.clone());
        }
        let answer = self.tree.get(key)?.answers.get(request)?;
        let outcome: Outcome = answer.outcome.clone();
        Some(Arc::new(Answer::finished(
            answer.fingerprint.clone(),
            outcome,
        )))
    }
}

impl CallQueue {
    fn new(answered: u64) -> Self {
        Self {
            next: answered,
            current: watch::Sender::new(answered),
            caller_numbered: BTreeMap::new(),
            finished: BTreeSet::new(),
        }
    }

    fn join(&mut self, request: &id::Request, sequence: Option<u64>) -> Result<Ticket, Problem> {
        let Some(sequence) = sequence else {
            self.next += 1;
            return Ok(Ticket {
                number: self.next - 1,
                by_caller: false,
            });
        };
        let number = sequence.saturating_sub(1);
        if number < *self.current.borrow() || self.caller_numbered.contains_key(&number) {
            let message =
                format!("call {sequence} of this program was issued already under another id");
            let message = format!("{message}; number each call once, from 1");
            return Err(Problem::new(Kind::Conflict, message));
        }
        self.caller_numbered.insert(number, request.clone());
        self.next = self.next.max(number + 1);
        Ok(Ticket {
            number,
            by_caller: true,
        })
    }

    fn leave(&mut self, ticket: Ticket, ran: bool) {
        self.caller_numbered.remove(&ticket.number);
        if !ran && ticket.by_caller {
            return;
        }
        self.finished.insert(ticket.number);
        let mut current = *self.current.borrow();
        while self.finished.remove(&current) {
            current += 1;
        }
        self.current.send_replace(current);
    }
}

/// Returns the messages of a request that are not in the history yet.
fn messages_after_history(
    known: &[Message],
    sent: &[Message],
    history: History,
) -> Result<Vec<Message>, Problem> {
    if history == History::Append {
        return Ok(sent.to_vec());
    }
    let agrees = known.len() <= sent.len()
        && known
            .iter()
            .zip(sent)
            .all(|(a, b)| chat::is_same_message(a, b));
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

/// Returns an upper bound on the tokens of a message: a token has at least one
/// byte.
fn max_message_tokens(message: &Message) -> u64 {
    let bytes: usize = message.values().map(|v| v.to_string().len()).sum();
    bytes as u64 + MAX_TEMPLATE_TOKENS
}

fn over_budget(needed: u64, left: u64) -> Problem {
    let message = format!(
        "the call may spend up to {needed} tokens and the program has {left} left; lower \
         max_tokens, end the program, or have its budget raised"
    );
    Problem::new(Kind::OverBudget, message)
}
