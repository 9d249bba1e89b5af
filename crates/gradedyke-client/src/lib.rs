//! A client for callers of gradedyke.
//!
//! Agent programs need no special client: any client of the chat-completions
//! format works with another base URL and a header. This one adds what such
//! clients lack: programs, plain services, and taking an answer up again at the
//! place where a stream broke off.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use gradedyke_base::id;
use gradedyke_base::problem::Problem;
use gradedyke_http::client::{self, Error};
use gradedyke_http::{Client, body};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::BodyDataStream;
use serde_json::{Value, json};

/// Names the program of a call.
pub const PROGRAM: &str = "gradedyke-program";
/// Names the request; the same again gives the same answer.
pub const REQUEST: &str = "idempotency-key";
/// Says how the messages relate to the history.
pub const HISTORY: &str = "gradedyke-history";
/// Gives the call's place in its program.
pub const SEQUENCE: &str = "gradedyke-sequence";
/// Says whether a call to a plain service may run more than once.
pub const REPEATABLE: &str = "gradedyke-repeatable";
/// Says how much of a stream the caller has.
pub const LAST_EVENT: &str = "last-event-id";

/// A caller with its key. Each call names the entry to go through.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    key: String,
    time: Duration,
}

/// What a request carries besides its body.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The request's id; a fresh one where there is none.
    pub request: Option<String>,
    /// The call's place in its program, from 1.
    pub sequence: Option<u64>,
    /// Whether the messages are only what is new.
    pub append: bool,
    /// Bytes of the answer's text that the caller has.
    pub offset: Option<u64>,
    /// Whether a call to a plain service may run more than once.
    pub repeatable: Option<bool>,
}

impl Options {
    /// Options with a request id.
    pub fn request(id: impl Into<String>) -> Self {
        Self {
            request: Some(id.into()),
            ..Self::default()
        }
    }
}

/// The problem stated in an error reply, if there is one.
pub fn problem(error: &Error) -> Option<&Problem> {
    match error {
        Error::Status { problem, .. } => problem.as_deref(),
        _ => None,
    }
}

impl Caller {
    /// A caller with `key`; a whole call takes at most `time`.
    pub fn new(key: &str, time: Duration) -> Self {
        Self {
            http: Client::new(&client::Config::default()),
            key: key.to_owned(),
            time,
        }
    }

    fn request(
        &self,
        method: Method,
        entry: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: impl Into<Bytes>,
    ) -> Result<Request<body::Body>, Error> {
        let mut request = client::build(method, entry, path, body::full(body))?;
        let invalid = |e: &dyn std::fmt::Display| Error::NotSent {
            address: entry,
            cause: e.to_string(),
        };
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key));
        let bearer = bearer.map_err(|e| invalid(&e))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|e| invalid(&e))?;
            request.headers_mut().insert(*name, value);
        }
        Ok(request)
    }

    async fn json(
        &self,
        method: Method,
        entry: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        value: &Value,
    ) -> Result<Value, Error> {
        let body = match value {
            Value::Null => String::new(),
            value => value.to_string(),
        };
        let request = self.request(method, entry, path, headers, body)?;
        let (_, bytes) = self.http.whole(entry, request, self.time).await?;
        serde_json::from_slice(&bytes).map_err(|e| Error::Broken {
            address: entry,
            cause: e.to_string(),
        })
    }

    /// Opens a program, under `parent` if one is named, and returns its id.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; opening it again with the same request is harmless.
    pub async fn open(
        &self,
        entry: SocketAddr,
        agent: &str,
        budget: Option<u64>,
        parent: Option<&str>,
        request: &str,
    ) -> Result<String, Error> {
        let path = match parent {
            Some(parent) => format!("/v1/programs/{parent}/children"),
            None => "/v1/programs".to_owned(),
        };
        let body = json!({ "agent": agent, "budget_tokens": budget });
        let headers = [(REQUEST, request.to_owned())];
        let opened = self
            .json(Method::POST, entry, &path, &headers, &body)
            .await?;
        Ok(opened["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Tells of a program: `what` is empty, `history`, `end` or `cancel`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; repeating it is harmless.
    pub async fn program(&self, entry: SocketAddr, id: &str, what: &str) -> Result<Value, Error> {
        let method = match what {
            "end" | "cancel" => Method::POST,
            _ => Method::GET,
        };
        let path = format!("/v1/programs/{id}/{what}");
        let path = path.trim_end_matches('/');
        self.json(method, entry, path, &[], &Value::Null).await
    }

    /// Issues a model call and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the same request id gives the same answer later.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        program: &str,
        body: &Value,
        options: Options,
    ) -> Result<Value, Error> {
        let headers = headers(program, options);
        self.json(Method::POST, entry, "/v1/chat/completions", &headers, body)
            .await
    }

    /// Issues a model call and streams the answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the same request id gives the same answer later.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        program: &str,
        body: &Value,
        options: Options,
    ) -> Result<Answer, Error> {
        let mut body = body.clone();
        body["stream"] = true.into();
        let headers = headers(program, options);
        let path = "/v1/chat/completions";
        let request = self.request(Method::POST, entry, path, &headers, body.to_string())?;
        self.events(entry, request).await
    }

    /// Fetches the answer of an earlier request, whole.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; repeating it is harmless.
    pub async fn fetch(
        &self,
        entry: SocketAddr,
        program: &str,
        request: &str,
    ) -> Result<Value, Error> {
        let path = format!("/v1/programs/{program}/requests/{request}");
        self.json(Method::GET, entry, &path, &[], &Value::Null)
            .await
    }

    /// Streams the answer of an earlier request from `offset` on.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; repeating it is harmless.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        program: &str,
        request: &str,
        offset: u64,
    ) -> Result<Answer, Error> {
        let path = format!("/v1/programs/{program}/requests/{request}");
        let headers = [
            (LAST_EVENT, offset.to_string()),
            ("accept", "text/event-stream".to_owned()),
        ];
        let request = self.request(Method::GET, entry, &path, &headers, "")?;
        self.events(entry, request).await
    }

    /// Issues a call to a plain service and returns the body of its reply.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the same request id gives the same answer later.
    pub async fn service(
        &self,
        entry: SocketAddr,
        program: &str,
        path: &str,
        body: &str,
        options: Options,
    ) -> Result<String, Error> {
        let path = format!("/v1/services/{path}");
        let headers = headers(program, options);
        let request = self.request(Method::POST, entry, &path, &headers, body.to_owned())?;
        let (_, bytes) = self.http.whole(entry, request, self.time).await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn events(
        &self,
        entry: SocketAddr,
        request: Request<body::Body>,
    ) -> Result<Answer, Error> {
        let reply = self.http.send(entry, request).await?;
        let status = reply.status();
        if !status.is_success() {
            let bytes = client::collect(entry, reply.into_body()).await?;
            return Err(client::status(entry, status, &bytes));
        }
        let headers = reply.headers().clone();
        let events = BodyDataStream::new(reply.into_body()).eventsource();
        Ok(Answer {
            entry,
            headers,
            events: Box::pin(events),
            text: String::new(),
            offset: 0,
            whole: false,
        })
    }
}

fn headers(program: &str, options: Options) -> Vec<(&'static str, String)> {
    let request = options.request;
    let request = request.unwrap_or_else(|| id::Request::fresh().to_string());
    let mut headers = vec![(PROGRAM, program.to_owned()), (REQUEST, request)];
    if let Some(sequence) = options.sequence {
        headers.push((SEQUENCE, sequence.to_string()));
    }
    if options.append {
        headers.push((HISTORY, "append".to_owned()));
    }
    if let Some(offset) = options.offset {
        headers.push((LAST_EVENT, offset.to_string()));
    }
    if let Some(repeatable) = options.repeatable {
        let word = if repeatable { "yes" } else { "no" };
        headers.push((REPEATABLE, word.to_owned()));
    }
    headers
}

type Events = dyn Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Send;

/// A streamed answer.
pub struct Answer {
    entry: SocketAddr,
    /// The headers of the reply.
    pub headers: HeaderMap,
    events: Pin<Box<Events>>,
    /// The text that has come through this stream.
    pub text: String,
    /// The id of the last event: where to go on.
    pub offset: u64,
    /// Whether the end mark has come.
    pub whole: bool,
}

impl Answer {
    /// Waits for the next piece of text; `None` at the end.
    ///
    /// # Errors
    ///
    /// The stream broke off, or the call failed.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            let broken = |cause: String| Error::Broken {
                address: self.entry,
                cause,
            };
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(e)) => return Err(broken(e.to_string())),
                None if self.whole => return Ok(None),
                None => return Err(broken("the stream ended before its end mark".to_owned())),
            };
            if event.data == "[DONE]" {
                self.whole = true;
                continue;
            }
            if event.event == "error" {
                let status = http::StatusCode::BAD_GATEWAY;
                return Err(client::status(self.entry, status, event.data.as_bytes()));
            }
            self.offset = event.id.parse().unwrap_or(self.offset);
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let text = chunk["choices"][0]["delta"]["content"].as_str();
            if let Some(text) = text.filter(|t| !t.is_empty()) {
                self.text.push_str(text);
                return Ok(Some(text.to_owned()));
            }
        }
    }

    /// Reads to the end and returns all text that came through this stream.
    ///
    /// # Errors
    ///
    /// The stream broke off, or the call failed.
    pub async fn rest(mut self) -> Result<String, Error> {
        while self.next().await?.is_some() {}
        Ok(self.text)
    }
}
