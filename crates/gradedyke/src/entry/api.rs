//! The paths callers use.
//!
//! | method and path | does |
//! |---|---|
//! | `POST /v1/programs` | opens a program |
//! | `GET /v1/programs/{id}` | tells of it |
//! | `GET /v1/programs/{id}/history` | reads its history |
//! | `POST /v1/programs/{id}/children` | opens a sub-agent under it |
//! | `POST /v1/programs/{id}/end`, `.../cancel` | ends it |
//! | `GET /v1/programs/{id}/requests/{request}` | fetches an answer |
//! | `POST /v1/chat/completions` | issues a model call |
//! | any `/v1/services/{name}/{path}` | issues a call to a plain service |
//! | `GET /v1/models` | lists the models open to the client account |

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use gradedyke_backend::{chat, service};
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_http::body::{self, Sender};
use gradedyke_http::{Body, Handler, reply};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::OwnedSemaphorePermit;

use super::Entry;
use super::relay::{Part, Relay};
use super::render::{self, Renderer};
use crate::owner::rpc::{ApiClient, Info, Opening};
use crate::program::record::Why;
use crate::wire::{Call, History, Outcome, Work};

/// Names the program of a call.
pub const PROGRAM: &str = "gradedyke-program";
/// Names the request; the same again gives the same answer.
pub const REQUEST: &str = "idempotency-key";
/// Gives the call's place in its program, from 1.
pub const SEQUENCE: &str = "gradedyke-sequence";
/// Says how the messages relate to the history: `whole` or `append`.
pub const HISTORY: &str = "gradedyke-history";
/// Says whether a call to a plain service may run more than once: `yes`, `no`.
pub const REPEATABLE: &str = "gradedyke-repeatable";
/// Says how much of a stream the caller has.
pub const LAST_EVENT: &str = "last-event-id";

/// Chunks that may wait for a slow caller.
const CHUNKS: usize = 2;

/// The listener for callers.
pub struct Callers {
    entry: Arc<Entry>,
}

/// A request to open a program.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    agent: String,
    #[serde(default)]
    budget_tokens: Option<u64>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

/// A request whose caller is known.
struct Asked {
    entry: Arc<Entry>,
    account: id::Account,
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    body: bytes::Bytes,
}

impl Callers {
    /// The listener of `entry`.
    pub fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let (head, incoming) = request.into_parts();
        let settings = self.entry.current.get();
        let account = self.entry.keys.account(&head.headers, &settings)?;
        let limits = &self.entry.limits;
        let time = Duration::from_millis(limits.body_ms);
        let body = body::collect(incoming, limits.body_bytes, time).await?;
        let asked = Asked {
            entry: self.entry.clone(),
            account,
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().map(str::to_owned),
            headers: head.headers,
            body,
        };
        asked.answer().await
    }
}

#[async_trait]
impl Handler for Callers {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let result = self.answer(request).await;
        result.unwrap_or_else(|problem| {
            metrics::counter!("gradedyke_refusals_total", "kind" => problem.kind.name())
                .increment(1);
            reply::problem(&problem)
        })
    }
}

impl Asked {
    async fn answer(self) -> Result<Response<Body>, Problem> {
        let path = self.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["v1", "programs"] => self.only(&Method::POST)?.open(None).await,
            ["v1", "programs", id] => self.only(&Method::GET)?.show(id).await,
            ["v1", "programs", id, "history"] => self.only(&Method::GET)?.history(id).await,
            ["v1", "programs", id, "children"] => self.only(&Method::POST)?.open(Some(id)).await,
            ["v1", "programs", id, "end"] => self.only(&Method::POST)?.end(id, Why::Done).await,
            ["v1", "programs", id, "cancel"] => {
                self.only(&Method::POST)?.end(id, Why::Cancelled).await
            }
            ["v1", "programs", id, "requests", request] => {
                self.only(&Method::GET)?.fetch(id, request).await
            }
            ["v1", "chat", "completions"] => self.only(&Method::POST)?.chat().await,
            ["v1", "services", name, rest @ ..] => {
                let rest = rest.join("/");
                self.service(name, &rest).await
            }
            ["v1", "models"] => self.only(&Method::GET)?.models(),
            _ => Ok(reply::no_route(&path)),
        }
    }

    fn only(&self, method: &Method) -> Result<&Self, Problem> {
        if self.method == *method {
            return Ok(self);
        }
        let message = format!("{} takes {method} only; use that", self.path);
        Err(Problem::new(Kind::BadMethod, message))
    }

    fn header(&self, name: &str) -> Result<Option<&str>, Problem> {
        let value = self.headers.get(name).map(HeaderValue::to_str).transpose();
        value.map_err(|_| {
            let message = format!("the header {name} is not plain text; correct it");
            Problem::new(Kind::BadRequest, message)
        })
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Problem> {
        let number = self.header(name)?.map(str::parse).transpose();
        number.map_err(|_| {
            let message = format!("the header {name} is not a number; correct it");
            Problem::new(Kind::BadRequest, message)
        })
    }

    fn request(&self) -> Result<id::Request, Problem> {
        match self.header(REQUEST)? {
            Some(text) => id::Request::parse(text),
            None => Ok(id::Request::fresh()),
        }
    }

    fn program(&self) -> Result<id::Program, Problem> {
        let Some(text) = self.header(PROGRAM)? else {
            let message = "the header gradedyke-program is missing; open a program with POST \
                           /v1/programs and send its id";
            return Err(Problem::new(Kind::BadRequest, message));
        };
        id::Program::parse(text)
    }

    async fn open(&self, parent: Option<&str>) -> Result<Response<Body>, Problem> {
        let open: Open = reply::parse(&self.body)?;
        let request = self.request()?;
        let program = match parent {
            None => id::Program::opened(&self.account, &request),
            Some(parent) => {
                let child = id::Program::parse(parent)?.child(&request);
                // A child's name is longer than its parent's.
                id::Program::parse(child.as_str()).map_err(|_| {
                    let message = "sub-agents are nested too deep; open this one further up";
                    Problem::new(Kind::BadRequest, message)
                })?
            }
        };
        let opening = Opening {
            account: self.account.clone(),
            program: program.clone(),
            agent: open.agent,
            budget_tokens: open.budget_tokens,
        };
        let ask = |client| {
            let opening = opening.clone();
            async move { ApiClient::open(&client, opening).await }
        };
        let info: Info = self.entry.ask(program.slot(), ask).await?;
        Ok(reply::json(StatusCode::CREATED, &info))
    }

    async fn show(&self, id: &str) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let ask = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::show(&client, account, program).await }
        };
        let info: Info = self.entry.ask(program.slot(), ask).await?;
        Ok(reply::json(StatusCode::OK, &info))
    }

    async fn history(&self, id: &str) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let ask = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::history(&client, account, program).await }
        };
        let history = self.entry.ask(program.slot(), ask).await?;
        let document = serde_json::json!({ "messages": history });
        Ok(reply::json(StatusCode::OK, &document))
    }

    async fn end(&self, id: &str, why: Why) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let ask = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::end(&client, account, program, why).await }
        };
        let info: Info = self.entry.ask(program.slot(), ask).await?;
        Ok(reply::json(StatusCode::OK, &info))
    }

    fn models(&self) -> Result<Response<Body>, Problem> {
        let settings = self.entry.current.get();
        let account = settings.tree.accounts.get(self.account.as_str());
        let agents = account.map(|a| a.agents.values()).into_iter().flatten();
        let names: std::collections::BTreeSet<&str> = agents
            .flat_map(|agent| agent.models.iter().map(String::as_str))
            .collect();
        let model = |id| Model {
            id,
            object: "model",
            owned_by: "gradedyke",
        };
        let models = Models {
            object: "list",
            data: names.into_iter().map(model).collect(),
        };
        Ok(reply::json(StatusCode::OK, &models))
    }

    async fn chat(&self) -> Result<Response<Body>, Problem> {
        let program = self.program()?;
        let request: chat::Request = reply::parse(&self.body)?;
        request.check()?;
        let history = match self.header(HISTORY)? {
            None | Some("whole") => History::Whole,
            Some("append") => History::Append,
            Some(_) => {
                let message = "the header gradedyke-history is neither whole nor append; use one";
                return Err(Problem::new(Kind::BadRequest, message));
            }
        };
        let stream = request.stream;
        let options = request.rest.get("stream_options");
        let usage = options.and_then(|o| o.get("include_usage"));
        let usage = usage.is_some_and(|u| u == true);
        let work = Work::Chat { request, history };
        self.issue(program, work, stream, usage).await
    }

    async fn service(&self, name: &str, rest: &str) -> Result<Response<Body>, Problem> {
        let program = self.program()?;
        // A method that HTTP defines as safe to repeat may be repeated; any
        // other must not be, unless the caller says so.
        let safe = matches!(self.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let repeatable = match self.header(REPEATABLE)? {
            None => safe,
            Some("yes") => true,
            Some("no") => false,
            Some(_) => {
                let message = "the header gradedyke-repeatable is neither yes nor no; use one";
                return Err(Problem::new(Kind::BadRequest, message));
            }
        };
        let text = String::from_utf8(self.body.to_vec()).map_err(|_| {
            let message = "the body is not UTF-8 text; services here take JSON or text";
            Problem::new(Kind::BadRequest, message)
        })?;
        let query = self.query.as_ref().map(|q| format!("?{q}"));
        let kind = self.header(header::CONTENT_TYPE.as_str())?;
        let call = service::Call {
            method: self.method.to_string(),
            path: format!("/{rest}{}", query.unwrap_or_default()),
            content_type: kind.map(str::to_owned),
            body: text,
        };
        let work = Work::Service {
            service: name.to_owned(),
            call,
            repeatable,
        };
        self.issue(program, work, false, false).await
    }

    async fn issue(
        &self,
        program: id::Program,
        work: Work,
        stream: bool,
        usage: bool,
    ) -> Result<Response<Body>, Problem> {
        let sequence = self.number(SEQUENCE)?;
        if sequence == Some(0) {
            let message = "gradedyke-sequence is 0; number calls from 1";
            return Err(Problem::new(Kind::BadRequest, message));
        }
        let call = Call {
            account: self.account.clone(),
            program,
            request: self.request()?,
            sequence,
            work: Some(work),
            offset: self.number(LAST_EVENT)?.unwrap_or(0),
            seen: None,
            whole: !stream,
        };
        self.relay(call, usage).await
    }

    async fn fetch(&self, id: &str, request: &str) -> Result<Response<Body>, Problem> {
        let accept = self.header(header::ACCEPT.as_str())?.unwrap_or_default();
        let call = Call {
            account: self.account.clone(),
            program: id::Program::parse(id)?,
            request: id::Request::parse(request)?,
            sequence: None,
            work: None,
            offset: self.number(LAST_EVENT)?.unwrap_or(0),
            seen: None,
            whole: !accept.contains("text/event-stream"),
        };
        self.relay(call, true).await
    }

    /// Relays a call and replies once its first part is there, so that a
    /// refusal still has its own status.
    async fn relay(&self, call: Call, usage: bool) -> Result<Response<Body>, Problem> {
        let permit = self.admit()?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let created = now.map_or(0, |d| d.as_secs());
        let renderer = Renderer::new(&call.request, created);
        let request = call.request.clone();
        let whole = call.whole;
        let mut relay = Relay::new(self.entry.clone(), call);
        let first = relay.next().await?;
        let mut response = match first {
            Part::End(Outcome::Failed(problem)) => return Err(problem),
            Part::End(Outcome::Service(reply)) => render::service(&reply),
            Part::End(Outcome::Chat(completion)) if whole => renderer.whole(&completion),
            first => {
                let state = State {
                    model: relay.model.clone(),
                    renderer,
                    usage,
                    _permit: permit,
                };
                stream(relay, first, state)
            }
        };
        if let Ok(value) = HeaderValue::from_str(request.as_str()) {
            response.headers_mut().insert(REQUEST, value);
        }
        Ok(response)
    }

    fn admit(&self) -> Result<OwnedSemaphorePermit, Problem> {
        let settings = self.entry.current.get();
        let account = settings.tree.accounts.get(self.account.as_str());
        let limit = account.map_or(0, |a| a.concurrent);
        self.entry.admission.admit(&self.account, limit)
    }
}

/// Replies with a stream that goes on in a task of its own.
fn stream(mut relay: Relay, first: Part, state: State) -> Response<Body> {
    let (sender, body) = body::channel(CHUNKS);
    tokio::spawn(async move { pass_on(&mut relay, first, &state, &sender).await });
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, no_cache);
    response
}

/// What a stream needs besides its relay.
struct State {
    model: String,
    renderer: Renderer,
    usage: bool,
    _permit: OwnedSemaphorePermit,
}

/// Passes parts on to the caller until the end, or until the caller goes.
async fn pass_on(relay: &mut Relay, first: Part, state: &State, sender: &Sender) {
    let mut part = Ok(first);
    loop {
        let (bytes, last) = match &part {
            Ok(Part::Text(text, offset)) => {
                (state.renderer.text(&state.model, text, *offset), false)
            }
            Ok(Part::End(Outcome::Chat(completion))) => {
                (state.renderer.end(completion, state.usage), true)
            }
            Ok(Part::End(Outcome::Failed(problem))) | Err(problem) => {
                (render::broken(problem), true)
            }
            Ok(Part::End(Outcome::Service(_))) => return,
        };
        if sender.send(Ok(bytes)).await.is_err() || last {
            return;
        }
        part = tokio::select! {
            next = relay.next() => next,
            () = sender.closed() => return,
        };
    }
}
