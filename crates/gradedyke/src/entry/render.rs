//! Formats answers for callers: chat completions as one document or as
//! server-sent events, and responses of plain services.
//!
//! The id of an event is the number of bytes of answer text up to and including
//! the event. A caller that sends this id in `last-event-id`, to any entry, gets
//! the remaining text. The id is a byte offset and not an event count, so that
//! the owner can merge events for a slow reader and need not store them once the
//! answer is complete.

use bytes::Bytes;
use gradedyke_backend::chat::Completion;
use gradedyke_backend::service;
use gradedyke_base::id;
use gradedyke_base::problem::{Body as ProblemBody, Problem};
use gradedyke_http::{Body, body, reply};
use http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};

/// The last event of a chat completion stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Formats the answer to one chat request.
#[derive(Clone, Debug)]
pub struct Renderer {
    id: String,
    created: u64,
}

impl Renderer {
    /// Creates a renderer for `request`, received at `created`, in seconds since
    /// the Unix epoch.
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

    /// Formats a piece of text as an event. `offset` is the number of bytes of
    /// the answer up to the end of the piece.
    pub fn text_event(&self, model: &str, text: &str, offset: u64) -> Bytes {
        let choices = json!([{
            "index": 0,
            "delta": { "role": "assistant", "content": text },
            "finish_reason": null,
        }]);
        let chunk = self.chunk(model, &choices, None);
        format!("id: {offset}\ndata: {chunk}\n\n").into()
    }

    /// Formats the events that end a stream, with the token usage if
    /// `include_usage` is set.
    pub fn end_events(&self, completion: &Completion, include_usage: bool) -> Bytes {
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
        let choices = json!([{
            "index": 0,
            "delta": delta,
            "finish_reason": completion.finish_reason,
        }]);
        let last = self.chunk(&completion.model, &choices, None);
        let offset = completion.content.len();
        let mut events = format!("id: {offset}\ndata: {last}\n\n");
        if include_usage {
            let usage = json!(completion.usage);
            let chunk = self.chunk(&completion.model, &json!([]), Some(&usage));
            events.push_str(&format!("id: {offset}\ndata: {chunk}\n\n"));
        }
        events.push_str(DONE_EVENT);
        events.into()
    }

    /// Formats a complete answer as one document.
    pub fn document(&self, completion: &Completion) -> Response<Body> {
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

/// Formats a problem that ends a stream as an event.
pub fn error_event(problem: &Problem) -> Bytes {
    let body = ProblemBody {
        error: problem.clone(),
    };
    let json = serde_json::to_string(&body).unwrap_or_default();
    format!("event: error\ndata: {json}\n\n").into()
}

/// Passes a plain service's response on to the caller.
pub fn service_response(reply: &service::Reply) -> Response<Body> {
    let mut response = Response::new(body::full(reply.body.clone()));
    let status = StatusCode::from_u16(reply.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = reply.content_type.as_deref();
    if let Some(Ok(content_type)) = content_type.map(HeaderValue::from_str) {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}
