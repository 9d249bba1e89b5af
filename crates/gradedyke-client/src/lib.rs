//! A client for callers of gradedyke.
//!
//! Agent programs can use any client of the chat-completions format, with gradedyke's
//! base URL and a header that names the program. This client adds calls to open and end
//! programs, to call plain services and to resume interrupted streams.

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

/// The header that has the program ID of a call.
pub const PROGRAM_HEADER: &str = "gradedyke-program";
/// The header that has the request ID. A retry with the same ID returns the same response.
pub const REQUEST_HEADER: &str = "idempotency-key";
/// The header that says how the messages relate to the history.
pub const HISTORY_HEADER: &str = "gradedyke-history";
/// The header that has the sequence number of the call in its program.
pub const SEQUENCE_HEADER: &str = "gradedyke-sequence";
/// The header that says whether a call to a plain service may run more than once.
pub const REPEATABLE_HEADER: &str = "gradedyke-repeatable";
/// The header that has the offset from which to resume a stream.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// A caller with its API key. Each method takes the address of the entry to use.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    key: String,
    timeout: Duration,
}

/// The options of a call.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The request ID; generated if `None`.
    pub request: Option<String>,
    /// The sequence number of the call in its program, from 1.
    pub sequence: Option<u64>,
    /// Whether the messages are to be appended to the program's history.
    pub append: bool,
    /// The offset in the response's text, in bytes, from which to stream.
    pub offset: Option<u64>,
    /// Whether a call to a plain service may run more than once.
    pub repeatable: Option<bool>,
}

impl Options {
    /// Creates options with a request ID.
    pub fn request(id: impl Into<String>) -> Self {
        Self {
            request: Some(id.into()),
            ..Self::default()
        }
    }
}

/// Returns the problem in an error response, if there is one.
pub fn problem(error: &Error) -> Option<&Problem> {
    match error {
        Error::Status { problem, .. } => problem.as_deref(),
        _ => None,
    }
}

impl Caller {
    /// Creates a caller that authenticates with `key`. `timeout` applies to each call that
    /// isn't streamed.
    pub fn new(key: &str, timeout: Duration) -> Self {
        Self {
            http: Client::new(&client::Config::default()),
            key: key.to_owned(),
            timeout,
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
        let mut request = client::build_request(method, entry, path, body::full(body))?;
        let not_sent = |e: &dyn std::fmt::Display| Error::NotSent {
            address: entry,
            cause: e.to_string(),
        };
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key));
        let bearer = bearer.map_err(|e| not_sent(&e))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|e| not_sent(&e))?;
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
        let (_, bytes) = self
            .http
            .send_and_read(entry, request, self.timeout)
            .await?;
        serde_json::from_slice(&bytes).map_err(|e| Error::ConnectionLost {
            address: entry,
            cause: e.to_string(),
        })
    }

    /// Opens a program, or a sub-agent of `parent`, and returns its ID.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry with the same `request` is safe.
    pub async fn open_program(
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
        let headers = [(REQUEST_HEADER, request.to_owned())];
        let response = self
            .json(Method::POST, entry, &path, &headers, &body)
            .await?;
        Ok(response["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns a program's state if `what` is empty or its history if it is `history`; ends
    /// or cancels the program if it is `end` or `cancel`.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry is safe.
    pub async fn program_action(
        &self,
        entry: SocketAddr,
        id: &str,
        what: &str,
    ) -> Result<Value, Error> {
        let method = match what {
            "end" | "cancel" => Method::POST,
            _ => Method::GET,
        };
        let path = format!("/v1/programs/{id}/{what}");
        let path = path.trim_end_matches('/');
        self.json(method, entry, path, &[], &Value::Null).await
    }

    /// Makes a model call and returns the complete response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry with the same request ID is safe and returns the same response.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        program: &str,
        body: &Value,
        options: Options,
    ) -> Result<Value, Error> {
        let headers = build_headers(program, options);
        self.json(Method::POST, entry, "/v1/chat/completions", &headers, body)
            .await
    }

    /// Makes a model call and streams the response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry with the same request ID is safe and returns the same response.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        program: &str,
        body: &Value,
        options: Options,
    ) -> Result<ResponseStream, Error> {
        let mut body = body.clone();
        body["stream"] = true.into();
        let headers = build_headers(program, options);
        let path = "/v1/chat/completions";
        let request = self.request(Method::POST, entry, path, &headers, body.to_string())?;
        self.start_stream(entry, request).await
    }

    /// Fetches the complete response of an earlier request.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry is safe.
    pub async fn fetch_response(
        &self,
        entry: SocketAddr,
        program: &str,
        request: &str,
    ) -> Result<Value, Error> {
        let path = format!("/v1/programs/{program}/requests/{request}");
        self.json(Method::GET, entry, &path, &[], &Value::Null)
            .await
    }

    /// Streams the response of an earlier request from `offset` on, in bytes of its text.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry is safe.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        program: &str,
        request: &str,
        offset: u64,
    ) -> Result<ResponseStream, Error> {
        let path = format!("/v1/programs/{program}/requests/{request}");
        let headers = [
            (LAST_EVENT_ID_HEADER, offset.to_string()),
            ("accept", "text/event-stream".to_owned()),
        ];
        let request = self.request(Method::GET, entry, &path, &headers, "")?;
        self.start_stream(entry, request).await
    }

    /// Calls a plain service and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a retry with the same request ID is safe and returns the same response.
    pub async fn call_service(
        &self,
        entry: SocketAddr,
        program: &str,
        path: &str,
        body: &str,
        options: Options,
    ) -> Result<String, Error> {
        let path = format!("/v1/services/{path}");
        let headers = build_headers(program, options);
        let request = self.request(Method::POST, entry, &path, &headers, body.to_owned())?;
        let (_, bytes) = self
            .http
            .send_and_read(entry, request, self.timeout)
            .await?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn start_stream(
        &self,
        entry: SocketAddr,
        request: Request<body::Body>,
    ) -> Result<ResponseStream, Error> {
        let response = self.http.send(entry, request).await?;
        let status = response.status();
        if !status.is_success() {
            let bytes = client::read_body(entry, response.into_body()).await?;
            return Err(client::status_error(entry, status, &bytes));
        }
        let headers = response.headers().clone();
        let events = BodyDataStream::new(response.into_body()).eventsource();
        Ok(ResponseStream {
            entry,
            headers,
            events: Box::pin(events),
            text: String::new(),
            offset: 0,
            is_complete: false,
        })
    }
}

fn build_headers(program: &str, options: Options) -> Vec<(&'static str, String)> {
    let request = options.request;
    let request = request.unwrap_or_else(|| id::Request::generate().to_string());
    let mut headers = vec![
        (PROGRAM_HEADER, program.to_owned()),
        (REQUEST_HEADER, request),
    ];
    if let Some(sequence) = options.sequence {
        headers.push((SEQUENCE_HEADER, sequence.to_string()));
    }
    if options.append {
        headers.push((HISTORY_HEADER, "append".to_owned()));
    }
    if let Some(offset) = options.offset {
        headers.push((LAST_EVENT_ID_HEADER, offset.to_string()));
    }
    if let Some(repeatable) = options.repeatable {
        let value = if repeatable { "yes" } else { "no" };
        headers.push((REPEATABLE_HEADER, value.to_owned()));
    }
    headers
}

type Events = dyn Stream<Item = Result<Event, EventStreamError<hyper::Error>>> + Send;

/// A streamed response.
pub struct ResponseStream {
    entry: SocketAddr,
    /// The headers of the response.
    pub headers: HeaderMap,
    events: Pin<Box<Events>>,
    /// The text received through this stream.
    pub text: String,
    /// The ID of the last event: the offset from which to resume.
    pub offset: u64,
    /// Whether the end of the response was received.
    pub is_complete: bool,
}

impl ResponseStream {
    /// Waits for the next chunk of text; returns `None` at the end of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was interrupted or the call failed.
    pub async fn next(&mut self) -> Result<Option<String>, Error> {
        loop {
            let interrupted = |cause: String| Error::ConnectionLost {
                address: self.entry,
                cause,
            };
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(e)) => return Err(interrupted(e.to_string())),
                None if self.is_complete => return Ok(None),
                None => return Err(interrupted("the stream ended without [DONE]".to_owned())),
            };
            if event.data == "[DONE]" {
                self.is_complete = true;
                continue;
            }
            if event.event == "error" {
                let status = http::StatusCode::BAD_GATEWAY;
                return Err(client::status_error(
                    self.entry,
                    status,
                    event.data.as_bytes(),
                ));
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

    /// Reads to the end and returns all text received through this stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was interrupted or the call failed.
    pub async fn read_to_end(mut self) -> Result<String, Error> {
        while self.next().await?.is_some() {}
        Ok(self.text)
    }
}
