//! The HTTP API for callers.
//!
//! | method and path | action |
//! |---|---|
//! | `POST /v1/programs` | opens a program |
//! | `GET /v1/programs/{id}` | returns its state |
//! | `GET /v1/programs/{id}/history` | returns its history |
//! | `POST /v1/programs/{id}/children` | opens a child program |
//! | `POST /v1/programs/{id}/end`, `.../cancel` | ends it |
//! | `GET /v1/programs/{id}/requests/{request}` | returns the answer to a request |
//! | `POST /v1/chat/completions` | calls a model |
//! | any `/v1/services/{name}/{path}` | calls a plain service |
//! | `GET /v1/models` | lists the models that the client account may use |

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
use crate::program::record::Reason;
use crate::wire::{Call, History, Operation, Outcome};

/// Request header: the id of the call's program.
pub const PROGRAM_HEADER: &str = "gradedyke-program";
/// Request and response header: the request id. Requests with the same id get
/// the same answer.
pub const REQUEST_HEADER: &str = "idempotency-key";
/// Request header: the call's sequence number within its program, from 1.
pub const SEQUENCE_HEADER: &str = "gradedyke-sequence";
/// Request header: `whole` if the messages contain the history, `append` if they
/// are only the new messages.
pub const HISTORY_HEADER: &str = "gradedyke-history";
/// Request header: `yes` or `no`, whether a call to a plain service may run more
/// than once.
pub const REPEATABLE_HEADER: &str = "gradedyke-repeatable";
/// Request header: the id of the last event that the caller has received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Number of chunks buffered for a caller that reads slowly.
const STREAM_BUFFER_LEN: usize = 2;

/// Handles callers' requests.
pub struct CallerHandler {
    entry: Arc<Entry>,
}

/// The body of a request to open a program.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    agent: String,
    #[serde(default)]
    budget_tokens: Option<u64>,
}

/// A model in a [`ModelList`].
#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// The response that lists models.
#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

/// An authenticated request.
struct AuthenticatedRequest {
    entry: Arc<Entry>,
    account: id::Account,
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    body: bytes::Bytes,
}

impl CallerHandler {
    /// Creates the handler of `entry`.
    pub fn new(entry: Arc<Entry>) -> Self {
        Self { entry }
    }

    /// Authenticates a request, reads its body and handles it.
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let (head, incoming) = request.into_parts();
        let settings = self.entry.active_settings.get();
        let account = self.entry.keys.authenticate(&head.headers, &settings)?;
        let limits = &self.entry.limits;
        let timeout = Duration::from_millis(limits.body_ms);
        let body = body::collect(incoming, limits.body_bytes, timeout).await?;
        let authenticated = AuthenticatedRequest {
            entry: self.entry.clone(),
            account,
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().map(str::to_owned),
            headers: head.headers,
            body,
        };
        authenticated.dispatch().await
    }
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let result = self.respond(request).await;
        result.unwrap_or_else(|problem| {
            metrics::counter!("gradedyke_refusals_total", "kind" => problem.kind.name())
                .increment(1);
            reply::problem(&problem)
        })
    }
}

impl AuthenticatedRequest {
    /// Handles the request according to its path and method.
    async fn dispatch(self) -> Result<Response<Body>, Problem> {
        let path = self.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["v1", "programs"] => self.require_method(&Method::POST)?.open(None).await,
            ["v1", "programs", id] => self.require_method(&Method::GET)?.show(id).await,
            ["v1", "programs", id, "history"] => {
                self.require_method(&Method::GET)?.history(id).await
            }
            ["v1", "programs", id, "children"] => {
                self.require_method(&Method::POST)?.open(Some(id)).await
            }
            ["v1", "programs", id, "end"] => {
                self.require_method(&Method::POST)?
                    .end(id, Reason::Done)
                    .await
            }
            ["v1", "programs", id, "cancel"] => {
                self.require_method(&Method::POST)?
                    .end(id, Reason::Cancelled)
                    .await
            }
            ["v1", "programs", id, "requests", request] => {
                self.require_method(&Method::GET)?.fetch(id, request).await
            }
            ["v1", "chat", "completions"] => self.require_method(&Method::POST)?.chat().await,
            ["v1", "services", name, rest @ ..] => {
                let rest = rest.join("/");
                self.service(name, &rest).await
            }
            ["v1", "models"] => self.require_method(&Method::GET)?.models(),
            _ => Ok(reply::no_route(&path)),
        }
    }

    /// Returns `self` if the request has the given method.
    fn require_method(&self, method: &Method) -> Result<&Self, Problem> {
        if self.method == *method {
            return Ok(self);
        }
        let message = format!("{} takes {method} only; use that", self.path);
        Err(Problem::new(Kind::BadMethod, message))
    }

    /// Returns the value of a header, if it is present.
    fn header(&self, name: &str) -> Result<Option<&str>, Problem> {
        let value = self.headers.get(name).map(HeaderValue::to_str).transpose();
        value.map_err(|_| {
            let message = format!("the header {name} is not plain text; correct it");
            Problem::new(Kind::BadRequest, message)
        })
    }

    /// Returns the value of a header that holds a number, if it is present.
    fn number_header(&self, name: &str) -> Result<Option<u64>, Problem> {
        let number = self.header(name)?.map(str::parse).transpose();
        number.map_err(|_| {
            let message = format!("the header {name} is not a number; correct it");
            Problem::new(Kind::BadRequest, message)
        })
    }

    /// Returns the request id that the caller sent, or a new one.
    fn request_id(&self) -> Result<id::Request, Problem> {
        match self.header(REQUEST_HEADER)? {
            Some(text) => id::Request::parse(text),
            None => Ok(id::Request::generate()),
        }
    }

    /// Returns the id of the program that the request names.
    fn program_id(&self) -> Result<id::Program, Problem> {
        let Some(text) = self.header(PROGRAM_HEADER)? else {
            let message = "the header gradedyke-program is missing; open a program with POST \
                           /v1/programs and send its id";
            return Err(Problem::new(Kind::BadRequest, message));
        };
        id::Program::parse(text)
    }

    /// Opens a program, or a child program if `parent` is given.
    async fn open(&self, parent: Option<&str>) -> Result<Response<Body>, Problem> {
        let open: Open = reply::parse(&self.body)?;
        let request = self.request_id()?;
        let program = match parent {
            None => id::Program::from_request(&self.account, &request),
            Some(parent) => {
                let child = id::Program::parse(parent)?.sub_agent(&request);
                // A child's id contains its parent's and may exceed the maximum length.
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
        let send = |client| {
            let opening = opening.clone();
            async move { ApiClient::open(&client, opening).await }
        };
        let info: Info = self.entry.call_owner(program.slot(), send).await?;
        Ok(reply::json(StatusCode::CREATED, &info))
    }

    /// Returns the state of a program.
    async fn show(&self, id: &str) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let send = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::show(&client, account, program).await }
        };
        let info: Info = self.entry.call_owner(program.slot(), send).await?;
        Ok(reply::json(StatusCode::OK, &info))
    }

    /// Returns the messages of a program's history.
    async fn history(&self, id: &str) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let send = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::history(&client, account, program).await }
        };
        let history = self.entry.call_owner(program.slot(), send).await?;
        let document = serde_json::json!({ "messages": history });
        Ok(reply::json(StatusCode::OK, &document))
    }

    /// Ends a program for the given reason.
    async fn end(&self, id: &str, why: Reason) -> Result<Response<Body>, Problem> {
        let program = id::Program::parse(id)?;
        let send = |client| {
            let (account, program) = (self.account.clone(), program.clone());
            async move { ApiClient::end(&client, account, program, why).await }
        };
        let info: Info = self.entry.call_owner(program.slot(), send).await?;
        Ok(reply::json(StatusCode::OK, &info))
    }

    /// Lists the models that the client account's agents may use.
    fn models(&self) -> Result<Response<Body>, Problem> {
        let settings = self.entry.active_settings.get();
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
        let models = ModelList {
            object: "list",
            data: names.into_iter().map(model).collect(),
        };
        Ok(reply::json(StatusCode::OK, &models))
    }

    /// Calls a model.
    async fn chat(&self) -> Result<Response<Body>, Problem> {
        let program = self.program_id()?;
        let request: chat::Request = reply::parse(&self.body)?;
        request.validate()?;
        let history = match self.header(HISTORY_HEADER)? {
            None | Some("whole") => History::Whole,
            Some("append") => History::Append,
            Some(_) => {
                let message = "the header gradedyke-history is neither whole nor append; use one";
                return Err(Problem::new(Kind::BadRequest, message));
            }
        };
        let stream = request.stream;
        let options = request.other_fields.get("stream_options");
        let usage = options.and_then(|o| o.get("include_usage"));
        let include_usage = usage.is_some_and(|u| u == true);
        let work = Operation::Chat { request, history };
        self.submit(program, work, stream, include_usage).await
    }

    /// Calls a plain service with the path `rest`.
    async fn service(&self, name: &str, rest: &str) -> Result<Response<Body>, Problem> {
        let program = self.program_id()?;
        // Calls with a method that HTTP defines as safe are repeatable by
        // default, all others only if the caller says so.
        let is_safe = matches!(self.method, Method::GET | Method::HEAD | Method::OPTIONS);
        let repeatable = match self.header(REPEATABLE_HEADER)? {
            None => is_safe,
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
        let content_type = self.header(header::CONTENT_TYPE.as_str())?;
        let call = service::Call {
            method: self.method.to_string(),
            path: format!("/{rest}{}", query.unwrap_or_default()),
            content_type: content_type.map(str::to_owned),
            body: text,
        };
        let work = Operation::Service {
            service: name.to_owned(),
            call,
            repeatable,
        };
        self.submit(program, work, false, false).await
    }

    /// Sends a new call to its program's owner and relays the answer.
    async fn submit(
        &self,
        program: id::Program,
        work: Operation,
        stream: bool,
        include_usage: bool,
    ) -> Result<Response<Body>, Problem> {
        let sequence = self.number_header(SEQUENCE_HEADER)?;
        if sequence == Some(0) {
            let message = "gradedyke-sequence is 0; number calls from 1";
            return Err(Problem::new(Kind::BadRequest, message));
        }
        let call = Call {
            account: self.account.clone(),
            program,
            request: self.request_id()?,
            sequence,
            work: Some(work),
            offset: self.number_header(LAST_EVENT_ID_HEADER)?.unwrap_or(0),
            text_hash: None,
            outcome_only: !stream,
        };
        self.relay(call, include_usage).await
    }

    /// Relays the answer to an earlier request.
    async fn fetch(&self, id: &str, request: &str) -> Result<Response<Body>, Problem> {
        let accept = self.header(header::ACCEPT.as_str())?.unwrap_or_default();
        let call = Call {
            account: self.account.clone(),
            program: id::Program::parse(id)?,
            request: id::Request::parse(request)?,
            sequence: None,
            work: None,
            offset: self.number_header(LAST_EVENT_ID_HEADER)?.unwrap_or(0),
            text_hash: None,
            outcome_only: !accept.contains("text/event-stream"),
        };
        self.relay(call, true).await
    }

    /// Relays a call. Waits for the first part before the response starts, so
    /// that an error then still gets its own HTTP status.
    async fn relay(&self, call: Call, include_usage: bool) -> Result<Response<Body>, Problem> {
        let permit = self.admit()?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let created = now.map_or(0, |d| d.as_secs());
        let renderer = Renderer::new(&call.request, created);
        let request = call.request.clone();
        let outcome_only = call.outcome_only;
        let mut relay = Relay::new(self.entry.clone(), call);
        let first = relay.next().await?;
        let mut response = match first {
            Part::End(Outcome::Failed(problem)) => return Err(problem),
            Part::End(Outcome::Service(reply)) => render::service_response(&reply),
            Part::End(Outcome::Chat(completion)) if outcome_only => renderer.document(&completion),
            first => {
                let context = StreamContext {
                    model: relay.model.clone(),
                    renderer,
                    include_usage,
                    _permit: permit,
                };
                stream_response(relay, first, context)
            }
        };
        if let Ok(value) = HeaderValue::from_str(request.as_str()) {
            response.headers_mut().insert(REQUEST_HEADER, value);
        }
        Ok(response)
    }

    /// Admits a call within the client account's limit.
    fn admit(&self) -> Result<OwnedSemaphorePermit, Problem> {
        let settings = self.entry.active_settings.get();
        let account = settings.tree.accounts.get(self.account.as_str());
        let limit = account.map_or(0, |a| a.concurrent);
        self.entry.admission.admit(&self.account, limit)
    }
}

/// Returns a streaming response, which a separate task writes.
fn stream_response(mut relay: Relay, first: Part, context: StreamContext) -> Response<Body> {
    let (sender, body) = body::channel(STREAM_BUFFER_LEN);
    tokio::spawn(async move { forward_parts(&mut relay, first, &context, &sender).await });
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, content_type);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, no_cache);
    response
}

/// What the task that writes a stream needs besides the relay.
struct StreamContext {
    model: String,
    renderer: Renderer,
    include_usage: bool,
    _permit: OwnedSemaphorePermit,
}

/// Sends parts to the caller until the answer ends or the caller disconnects.
async fn forward_parts(relay: &mut Relay, first: Part, context: &StreamContext, sender: &Sender) {
    let mut part = Ok(first);
    loop {
        let (bytes, last) = match &part {
            Ok(Part::Text(text, offset)) => (
                context.renderer.text_event(&context.model, text, *offset),
                false,
            ),
            Ok(Part::End(Outcome::Chat(completion))) => (
                context
                    .renderer
                    .end_events(completion, context.include_usage),
                true,
            ),
            Ok(Part::End(Outcome::Failed(problem))) | Err(problem) => {
                (render::error_event(problem), true)
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
