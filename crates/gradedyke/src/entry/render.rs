//! The format of answers towards callers: chat completions, whole or as
//! server-sent events, and plain services' replies.
//!
//! The id of an event is the number of bytes of text up to and including it. A
//! caller that comes back with it in `last-event-id`, at any entry, gets the
//! rest. Tying the id to the text in place of counting events leaves the owner
//! free to send a slow reader larger pieces, and to drop the pieces when the
//! answer is whole.

use bytes::Bytes;
use gradedyke_backend::chat::Completion;
use gradedyke_backend::service;
use gradedyke_base::id;
use gradedyke_base::problem::{Body as ProblemBody, Problem};
use gradedyke_http::{Body, body, reply};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};

/// Ends a stream of the chat-completions format.
const DONE: &str = "data: [DONE]\n\n";

/// Renders the answer of one request.
#[derive(Clone, Debug)]
pub struct Renderer {
    id: String,
    created: u64,
}

impl Renderer {
    /// A renderer for `request`, which came at `created` seconds of Unix time.
    pub fn new(request: &id::Request, created: u64) -> Self {
        Self {
            id: format!("chatcmpl-{request}"),
            created,
        }
    }

    fn chunk(&self, model: &str, choices: &Value, usage: Option<&Value>) -> Value {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage.clone();
        }
        chunk
    }

    /// A piece of text as an event; `offset` is the number of bytes up to its
    /// end.
    pub fn text(&self, model: &str, text: &str, offset: u64) -> Bytes {
        let delta = json!([{
            "index": 0,
            "delta": { "role": "assistant", "content": text },
            "finish_reason": null,
        }]);
        let chunk = self.chunk(model, &delta, None);
        format!("id: {offset}\ndata: {chunk}\n\n").into()
    }

    /// The end of a stream as events.
    pub fn end(&self, completion: &Completion, usage: bool) -> Bytes {
        let mut delta = json!({});
        if !completion.tool_calls.is_empty() {
            let calls = completion.tool_calls.iter().enumerate();
            let calls = calls.map(|(index, call)| {
                let mut call = Value::Object(call.clone());
                call["index"] = index.into();
                call
            });
            delta["tool_calls"] = calls.collect();
        }
        let choice = json!([{
            "index": 0,
            "delta": delta,
            "finish_reason": completion.finish_reason,
        }]);
        let last = self.chunk(&completion.model, &choice, None);
        let offset = completion.content.len();
        let mut events = format!("id: {offset}\ndata: {last}\n\n");
        if usage {
            let counted = json!(completion.usage);
            let chunk = self.chunk(&completion.model, &json!([]), Some(&counted));
            events.push_str(&format!("id: {offset}\ndata: {chunk}\n\n"));
        }
        events.push_str(DONE);
        events.into()
    }

    /// A whole answer as one document.
    pub fn whole(&self, completion: &Completion) -> Response<Body> {
        let document = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": completion.model,
            "choices": [{
                "index": 0,
                "message": completion.message(),
                "finish_reason": completion.finish_reason,
            }],
            "usage": completion.usage,
        });
        reply::json(StatusCode::OK, &document)
    }
}

/// A problem in the middle of a stream, as an event.
pub fn broken(problem: &Problem) -> Bytes {
    let body = ProblemBody {
        error: problem.clone(),
    };
    let json = serde_json::to_string(&body).unwrap_or_default();
    format!("event: error\ndata: {json}\n\n").into()
}

/// A plain service's reply, as the service gave it.
pub fn service(reply: &service::Reply) -> Response<Body> {
    let mut response = Response::new(body::full(reply.body.clone()));
    let status = StatusCode::from_u16(reply.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = reply.content_type.as_deref();
    if let Some(Ok(kind)) = kind.map(HeaderValue::from_str) {
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    response
}
