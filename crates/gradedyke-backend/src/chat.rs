//! The chat-completions format, as far as gradedyke reads it.
//!
//! Requests keep fields that are not read here and pass them on as they came,
//! so that engines may offer more than gradedyke knows of. Messages stay JSON
//! for the same reason; [`same`] tells when two of them say the same.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use gradedyke_base::problem::{Kind, Problem};

/// A message of a conversation, as it came.
pub type Message = Map<String, Value>;

/// A request of the chat-completions format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model to use.
    pub model: String,
    /// The conversation, or what is new in it.
    pub messages: Vec<Message>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl Request {
    /// Checks what gradedyke cannot carry out.
    ///
    /// # Errors
    ///
    /// `bad_request` for no message, for more than one choice, and for log
    /// probabilities, which a resumed stream could not repeat.
    pub fn check(&self) -> Result<(), Problem> {
        let refuse = |message: &str| Err(Problem::new(Kind::BadRequest, message));
        if self.messages.is_empty() {
            return refuse("messages is empty; send one message at least");
        }
        if self.messages.iter().any(|m| !m.contains_key("role")) {
            return refuse("a message has no role; give each one a role");
        }
        if self.rest.get("n").is_some_and(|n| n != 1) {
            return refuse("n is not 1; issue a call for each choice");
        }
        if self.rest.get("logprobs").is_some_and(|l| l != false) {
            return refuse("logprobs is not served; leave it out");
        }
        if self.limit() == Some(0) {
            return refuse("max_tokens is 0; use 1 or more");
        }
        Ok(())
    }

    /// The most tokens to generate, if the caller said.
    pub fn limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// Fields in which two messages are compared; clients add others at will.
const COMPARED: [&str; 5] = ["role", "content", "tool_calls", "tool_call_id", "name"];

/// Whether two messages say the same.
///
/// ```
/// use gradedyke_backend::chat::{Message, same};
///
/// let a: Message = serde_json::from_str(r#"{"role":"user","content":"hi"}"#).unwrap();
/// let mut b = a.clone();
/// b.insert("refusal".to_owned(), serde_json::Value::Null);
/// assert!(same(&a, &b));
/// ```
pub fn same(a: &Message, b: &Message) -> bool {
    let field = |m: &Message, name: &str| m.get(name).cloned().unwrap_or(Value::Null);
    COMPARED.iter().all(|name| field(a, name) == field(b, name))
}

/// Tokens used by a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Their sum.
    #[serde(default)]
    pub total_tokens: u64,
    /// Where the prompt's tokens came from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<Details>,
}

/// Where a prompt's tokens came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// Tokens found in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Tokens found in the engine's cache.
    pub fn cached(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |d| d.cached_tokens)
    }
}

/// One chunk of a streamed answer, as an engine sends it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Chunk {
    /// The choices; empty in the chunk that carries the usage.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Tokens used, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Choice {
    /// What is new.
    #[serde(default)]
    pub delta: Delta,
    /// Why generation ended, when it has.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// What is new in a chunk.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default)]
    pub content: Option<String>,
    /// Parts of tool calls.
    #[serde(default)]
    pub tool_calls: Option<Vec<Map<String, Value>>>,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The model that answered.
    pub model: String,
    /// Its text.
    pub content: String,
    /// Its tool calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Map<String, Value>>,
    /// Why generation ended.
    pub finish_reason: String,
    /// Tokens used.
    pub usage: Usage,
}

impl Completion {
    /// The answer as the next message of the conversation.
    pub fn message(&self) -> Message {
        let mut message = Map::new();
        message.insert("role".to_owned(), "assistant".into());
        message.insert("content".to_owned(), self.content.clone().into());
        if !self.tool_calls.is_empty() {
            let calls = self.tool_calls.iter().cloned().map(Value::Object);
            message.insert("tool_calls".to_owned(), calls.collect());
        }
        message
    }

    /// Adds what is new in a streamed tool call to those gathered so far. Parts
    /// belong together by `index`; the arguments come in pieces.
    pub fn merge_tool_call(&mut self, mut part: Map<String, Value>) {
        let index = part.remove("index").and_then(|i| i.as_u64()).unwrap_or(0);
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(call) = self.tool_calls.get_mut(index) else {
            self.tool_calls.push(part);
            return;
        };
        let piece = part
            .get("function")
            .and_then(|f| f.get("arguments"))
            .and_then(Value::as_str);
        let arguments = call
            .get_mut("function")
            .and_then(|f| f.get_mut("arguments"));
        if let (Some(piece), Some(Value::String(arguments))) = (piece, arguments) {
            arguments.push_str(piece);
        }
    }
}
