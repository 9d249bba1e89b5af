//! The part of the chat-completions format that gradedyke reads.
//!
//! Unknown fields of requests are preserved and forwarded unchanged, so that engines
//! may support more than gradedyke does. Messages are kept as JSON for the same reason;
//! [`is_same_message`] compares two of them.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use gradedyke_base::problem::{Kind, Problem};

/// A message of a conversation, as received.
pub type Message = Map<String, Value>;

/// A request of the chat-completions format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model to use.
    pub model: String,
    /// The whole conversation, or the messages to append to it.
    pub messages: Vec<Message>,
    /// Whether to stream the response.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub other_fields: Map<String, Value>,
}

impl Request {
    /// Rejects requests that gradedyke doesn't support.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` if there is no message, a message without a role, more
    /// than one choice or a token limit of 0, or if log probabilities are requested,
    /// which a resumed stream could not repeat.
    pub fn validate(&self) -> Result<(), Problem> {
        let reject = |message: &str| Err(Problem::new(Kind::BadRequest, message));
        if self.messages.is_empty() {
            return reject("messages is empty; send one message at least");
        }
        if self.messages.iter().any(|m| !m.contains_key("role")) {
            return reject("a message has no role; give each one a role");
        }
        if self.other_fields.get("n").is_some_and(|n| n != 1) {
            return reject("n is not 1; issue a call for each choice");
        }
        if self
            .other_fields
            .get("logprobs")
            .is_some_and(|l| l != false)
        {
            return reject("logprobs is not served; leave it out");
        }
        if self.token_limit() == Some(0) {
            return reject("max_tokens is 0; use 1 or more");
        }
        Ok(())
    }

    /// Returns the maximum number of tokens to generate, if the caller set one.
    pub fn token_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// Fields of messages that [`is_same_message`] compares. Clients may add others.
const COMPARED_FIELDS: [&str; 5] = ["role", "content", "tool_calls", "tool_call_id", "name"];

/// Returns whether two messages have the same role, content and tool calls.
///
/// ```
/// use gradedyke_backend::chat::{Message, is_same_message};
///
/// let a: Message = serde_json::from_str(r#"{"role":"user","content":"hi"}"#).unwrap();
/// let mut b = a.clone();
/// b.insert("refusal".to_owned(), serde_json::Value::Null);
/// assert!(is_same_message(&a, &b));
/// ```
pub fn is_same_message(a: &Message, b: &Message) -> bool {
    let field = |m: &Message, name: &str| m.get(name).cloned().unwrap_or(Value::Null);
    COMPARED_FIELDS
        .iter()
        .all(|name| field(a, name) == field(b, name))
}

/// Token usage of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    #[serde(default)]
    pub total_tokens: u64,
    /// Details on the prompt tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens_details: Option<Details>,
}

/// Details on the prompt tokens of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// Number of prompt tokens that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Returns the number of prompt tokens that were in the engine's cache.
    pub fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.map_or(0, |d| d.cached_tokens)
    }
}

/// One chunk of a streamed response, as an engine sends it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Chunk {
    /// The choices; empty in the chunk that has the usage.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// The token usage, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of a chunk.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Choice {
    /// The text and tool calls to append.
    #[serde(default)]
    pub delta: Delta,
    /// Why generation ended, in the last chunk with a choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The text and tool calls that a chunk appends to the response.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Delta {
    /// Text to append.
    #[serde(default)]
    pub content: Option<String>,
    /// Fragments of tool calls.
    #[serde(default)]
    pub tool_calls: Option<Vec<Map<String, Value>>>,
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The model that generated it.
    pub model: String,
    /// Its text.
    pub content: String,
    /// Its tool calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Map<String, Value>>,
    /// Why generation ended.
    pub finish_reason: String,
    /// The token usage.
    pub usage: Usage,
}

impl Completion {
    /// Returns the response as the next message of the conversation.
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

    /// Merges a streamed fragment of a tool call into those received so far. Fragments
    /// with the same `index` belong to the same call; their arguments are concatenated.
    pub fn merge_tool_call(&mut self, mut fragment: Map<String, Value>) {
        let index = fragment
            .remove("index")
            .and_then(|i| i.as_u64())
            .unwrap_or(0);
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(call) = self.tool_calls.get_mut(index) else {
            self.tool_calls.push(fragment);
            return;
        };
        let new_arguments = fragment
            .get("function")
            .and_then(|f| f.get("arguments"))
            .and_then(Value::as_str);
        let arguments = call
            .get_mut("function")
            .and_then(|f| f.get_mut("arguments"));
        if let (Some(new_arguments), Some(Value::String(arguments))) = (new_arguments, arguments) {
            arguments.push_str(new_arguments);
        }
    }
}
