//! The short questions that entries and the admin role put to an owner, as
//! JSON-RPC.

use std::sync::Arc;

use async_trait::async_trait;
use gradedyke_backend::chat::Message;
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use jsonrpsee::core::{RpcResult, client};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Methods, RpcModule};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::holding::{Holding, unknown};
use super::session::Session;
use super::{Owner, moving};
use crate::program::record::{Record, Why};
use crate::program::state::Tree;

/// Code of the JSON-RPC error that carries a [`Problem`] as its data.
const PROBLEM: i32 = -32_010;

/// A program to open.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Opening {
    /// The client account.
    pub account: id::Account,
    /// The program's identifier, which the entry made from the request.
    pub program: id::Program,
    /// The agent program.
    pub agent: String,
    /// A budget below the settings', in tokens.
    pub budget_tokens: Option<u64>,
}

/// What can be told of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Info {
    /// The program.
    pub id: id::Program,
    /// Its parent, if it is a sub-agent.
    pub parent: Option<id::Program>,
    /// Its agent program.
    pub agent: String,
    /// Calls that ended.
    pub calls: usize,
    /// Messages in its history.
    pub messages: usize,
    /// What its tree may spend, in tokens.
    pub budget_tokens: u64,
    /// What its tree has spent, in tokens.
    pub spent_tokens: u64,
    /// Why it ended, if it has.
    pub ended: Option<Why>,
}

/// The methods of an owner.
#[rpc(server, client, namespace = "owner")]
pub trait Api {
    /// Opens a program; opening it again changes nothing.
    #[method(name = "open")]
    async fn open(&self, opening: Opening) -> RpcResult<Info>;

    /// Tells of a program.
    #[method(name = "show")]
    async fn show(&self, account: id::Account, program: id::Program) -> RpcResult<Info>;

    /// Reads a program's history.
    #[method(name = "history")]
    async fn history(&self, account: id::Account, program: id::Program) -> RpcResult<Vec<Message>>;

    /// Ends a program and its sub-agents; ending it again changes nothing.
    #[method(name = "end")]
    async fn end(&self, account: id::Account, program: id::Program, why: Why) -> RpcResult<Info>;
}

/// The methods of `owner`.
pub fn methods(owner: Arc<Owner>) -> Methods {
    let module: RpcModule<Service> = Service { owner }.into_rpc();
    module.into()
}

struct Service {
    owner: Arc<Owner>,
}

fn error(problem: Problem) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(PROBLEM, problem.message.clone(), Some(problem))
}

/// The problem in a failed call of this API, or the call's own failure.
///
/// # Errors
///
/// The failure of the call itself, after which it may have taken effect.
pub fn problem(error: client::Error) -> Result<Problem, client::Error> {
    let client::Error::Call(call) = &error else {
        return Err(error);
    };
    let data = call.data().map(|d| serde_json::from_str(d.get()));
    match data {
        Some(Ok(problem)) if call.code() == PROBLEM => Ok(problem),
        _ => Err(error),
    }
}

#[async_trait]
impl ApiServer for Service {
    async fn open(&self, opening: Opening) -> RpcResult<Info> {
        self.owner.open(&opening).await.map_err(error)
    }

    async fn show(&self, account: id::Account, program: id::Program) -> RpcResult<Info> {
        let shown = self.owner.find(&account, &program);
        let shown = shown.and_then(|(_, session)| info(&session, &program));
        shown.map_err(error)
    }

    async fn history(&self, account: id::Account, program: id::Program) -> RpcResult<Vec<Message>> {
        let (_, session) = self.owner.find(&account, &program).map_err(error)?;
        let key = session.find(&program);
        let history = key.and_then(|key| session.read(key, |p| p.history.clone()));
        history.ok_or_else(|| error(unknown()))
    }

    async fn end(&self, account: id::Account, program: id::Program, why: Why) -> RpcResult<Info> {
        let found = self.owner.find(&account, &program);
        let (holding, session) = found.map_err(error)?;
        let ended = self.owner.end(&holding, &session, &program, why).await;
        ended.map_err(error)?;
        info(&session, &program).map_err(error)
    }
}

fn info(session: &Session, program: &id::Program) -> Result<Info, Problem> {
    let key = session.find(program).ok_or_else(unknown)?;
    let budget = session.budget();
    let info = session.read(key, |p| Info {
        id: p.id.clone(),
        parent: p.id.parent(),
        agent: p.agent.clone(),
        calls: p.answers.len(),
        messages: p.history.len(),
        budget_tokens: budget.limit(),
        spent_tokens: budget.spent(),
        ended: p.ended,
    });
    info.ok_or_else(unknown)
}

impl Owner {
    fn find(
        &self,
        account: &id::Account,
        program: &id::Program,
    ) -> Result<(Arc<Holding>, Arc<Session>), Problem> {
        let holding = self.holding(program.slot())?;
        let session = holding.find(account, program)?;
        Ok((holding, session))
    }

    /// Opens a program.
    ///
    /// # Errors
    ///
    /// The problem for the caller; nothing was opened, unless the problem says
    /// `moving`, after which opening it again settles it.
    pub async fn open(&self, opening: &Opening) -> Result<Info, Problem> {
        let holding = self.holding(opening.program.slot())?;
        let _one_at_a_time = holding.opening.lock().await;
        if let Ok(session) = holding.find(&opening.account, &opening.program) {
            let info = info(&session, &opening.program)?;
            if info.agent != opening.agent {
                let message = "this request id has opened a program of another agent program; \
                               use a new id";
                return Err(Problem::new(Kind::Conflict, message));
            }
            return Ok(info);
        }
        if holding.closing() {
            return Err(moving());
        }
        let limit = self.budget_of(opening)?;
        let parent = self.parent(&holding, opening)?;
        let record = Record::Opened {
            program: opening.program.clone(),
            account: opening.account.clone(),
            agent: opening.agent.clone(),
            budget_tokens: limit,
        };
        holding.keep(&record).await?;
        let session = parent.unwrap_or_else(|| {
            let tree = Tree::new(opening.account.clone(), limit);
            holding.insert(&opening.program, tree, Instant::now())
        });
        session.apply(&record);
        session.touch(Instant::now());
        tracing::info!(event = "program_opened", account = %opening.account,
            program = %opening.program, agent = opening.agent);
        info(&session, &opening.program)
    }

    /// The budget of a program to open.
    fn budget_of(&self, opening: &Opening) -> Result<u64, Problem> {
        let settings = self.current.get();
        let effective = settings.tree.agent(&opening.account, &opening.agent);
        let Some(effective) = effective else {
            let message = format!(
                "agent program {} is not yours to run; use one of your client account's",
                opening.agent
            );
            return Err(Problem::new(Kind::NotFound, message));
        };
        let limit = effective.budget_tokens;
        Ok(opening
            .budget_tokens
            .map_or(limit, |asked| asked.min(limit)))
    }

    /// The session under which a sub-agent is opened; `None` for a root.
    fn parent(
        &self,
        holding: &Holding,
        opening: &Opening,
    ) -> Result<Option<Arc<Session>>, Problem> {
        let Some(parent) = opening.program.parent() else {
            return Ok(None);
        };
        let session = holding.find(&opening.account, &parent)?;
        let key = session.find(&parent).ok_or_else(unknown)?;
        if session.read(key, |p| p.ended.is_some()).unwrap_or(true) {
            let message = "the parent program has ended; open a new one";
            let mut problem = Problem::new(Kind::Ended, message);
            problem.not_run = true;
            return Err(problem);
        }
        Ok(Some(session))
    }

    /// Ends a program and its sub-agents: cancels what is under way and has the
    /// memory that engines hold for them released.
    ///
    /// # Errors
    ///
    /// `moving`, after which ending it again settles it.
    pub async fn end(
        self: &Arc<Self>,
        holding: &Arc<Holding>,
        session: &Arc<Session>,
        program: &id::Program,
        why: Why,
    ) -> Result<(), Problem> {
        let below = format!("{program}.");
        for (key, id, ended) in session.programs() {
            let itself = id == *program;
            if ended.is_some() || !(itself || id.as_str().starts_with(&below)) {
                continue;
            }
            let why = if itself { why } else { Why::Parent };
            let record = Record::Ended {
                program: id.clone(),
                why,
            };
            holding.keep(&record).await?;
            session.apply(&record);
            session.cancel(key);
            session.touch(Instant::now());
            tracing::info!(event = "program_ended", account = %session.account, program = %id, ?why);
            let owner = self.clone();
            let session = session.clone();
            self.tasks
                .spawn(async move { owner.release(&session, key, &id).await });
        }
        Ok(())
    }

    /// Has the memory that engines hold for an ended program released, once its
    /// last call is over, and goes on until each of them confirms.
    async fn release(
        self: &Arc<Self>,
        session: &Session,
        key: crate::program::state::Key,
        program: &id::Program,
    ) {
        for answer in session.under_way(key) {
            let mut changes = answer.subscribe();
            while answer.end().is_none() && changes.changed().await.is_ok() {}
        }
        let held = session.take_held(key);
        let engines = self.fleet.all_engines();
        for (_, backend, engine) in engines.into_iter().filter(|(key, ..)| held.contains(key)) {
            if let Err(error) = engine.release(program).await {
                // The engine's own list will bring it up again.
                tracing::warn!(event = "release_failed", %program, %backend, %error);
            }
        }
    }

    /// Whether memory held for `program` is to be released: its slot is served
    /// here, and it has ended or is not known.
    pub(super) fn is_over(&self, program: &id::Program) -> bool {
        let Ok(holding) = self.holding(program.slot()) else {
            return false;
        };
        let Some(session) = holding.session(program) else {
            return true;
        };
        let Some(key) = session.find(program) else {
            return true;
        };
        let ended = session.read(key, |p| p.ended.is_some()).unwrap_or(true);
        ended && session.under_way(key).is_empty()
    }
}
