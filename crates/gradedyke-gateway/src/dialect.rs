//! Interface between the gateway and the formats of callers, backend servers and the
//! platform.
//!
//! A [`Dialect`] decodes headers and stored values into the types of this module, and
//! encodes outgoing headers. It contains no routing or retry logic.

use std::time::Duration;

use gradedyke_turns::membership::Retirement;
use gradedyke_turns::record::Id;
use http::{HeaderMap, StatusCode};

use crate::config::Config;
use crate::fleet::Server;
use gradedyke_policy::account::{Account, Key};
use gradedyke_policy::prefix::Part;

/// Metadata of a caller's request, taken from its headers.
#[derive(Clone, Debug, Default)]
pub struct Meta {
    /// The request's ID. A retry by the caller has a new one.
    pub request_id: Option<Id>,
    /// How long the caller waits, from the request's arrival.
    pub timeout: Option<Duration>,
    /// The program that the request belongs to.
    pub program: Option<Id>,
    /// The conversation within the program.
    pub session: Option<Id>,
    /// Time within which the whole program should finish.
    pub program_deadline: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate together.
    pub token_budget: Option<u64>,
    /// Size of the prompt and maximum size of the response.
    pub size: Option<Size>,
    /// The turn that this request continues.
    pub parent: Option<Id>,
    /// The object that the request concerns, if the caller names one.
    pub affinity: Option<Id>,
    /// The parts of the prompt, in order; parts shared by many requests come first.
    pub parts: Vec<Part>,
    /// The caller's API key, hashed.
    pub key: Option<Key>,
}

/// Size of the prompt and maximum size of the response of a turn, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Size of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum size of the response.
    pub max_response_tokens: u32,
}

/// What an entry adds to the headers of a request to a backend server.
#[derive(Clone, Debug)]
pub struct Outbound<'a> {
    /// The intended server; any other must refuse the request.
    pub server: &'a Id,
    /// Remaining time, after which the server cancels the request.
    pub time_left: Duration,
    /// Priority at the server; 0 is the highest.
    pub priority: Option<u8>,
    /// The client account of the request.
    pub account: Option<&'a Account>,
    /// ID of the event after which a stream is resumed.
    pub last_event_id: Option<&'a [u8]>,
}

/// Metadata of a backend server's response, taken from its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// ID of the request that the response belongs to.
    pub request_id: Option<Id>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the intended one responded.
    pub misdirected: bool,
    /// Whether the response carries the header that marks responses of backend servers.
    pub from_backend: bool,
    /// Whether the connection must not be used again.
    pub close: bool,
    /// The server's idle timeout for the connection.
    pub idle_timeout: Option<Duration>,
}

/// Result of decoding a backend server's directory record.
pub type ServerResult = Result<Server, Error>;

/// A value in the platform's key-value store that cannot be decoded.
#[derive(Clone, Debug, thiserror::Error)]
#[error("cannot decode {item}: {cause}; correct the value")]
pub struct Error {
    /// The item that cannot be decoded.
    pub item: String,
    /// Why it cannot be decoded.
    pub cause: String,
}

/// Decodes and encodes the formats of callers, backend servers and the platform.
pub trait Dialect: Retirement {
    /// Decodes the headers of a caller's request.
    fn meta(&self, headers: &HeaderMap) -> Meta;

    /// The headers of a request to a backend server: the caller's headers without hop-by-hop
    /// headers and those reserved for the gateway, plus the headers for `outbound`.
    fn request_headers(&self, headers: &HeaderMap, outbound: &Outbound<'_>) -> HeaderMap;

    /// Decodes the status and headers of a backend server's response.
    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> Head;

    /// The headers of the response to the caller: the server's headers without hop-by-hop
    /// headers.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// The text that the data line of an event adds to the conversation.
    fn event_data<'a>(&self, event: &'a [u8]) -> Option<&'a [u8]>;

    /// The ID of an event, from which a stream can be resumed.
    fn event_id<'a>(&self, event: &'a [u8]) -> Option<&'a [u8]>;

    /// The path of the platform's readiness checks.
    fn ready_path(&self) -> &str;

    /// The key under which the configuration is stored.
    fn config_key(&self) -> &str;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// [`Error`] if the value is not a valid configuration.
    fn config(&self, value: &[u8]) -> Result<Config, Error>;

    /// The prefix of the keys of backend servers.
    fn server_prefix(&self) -> &str;

    /// Decodes a backend server's directory record.
    ///
    /// # Errors
    ///
    /// [`Error`] if the record does not describe a backend server.
    fn server(&self, key: &str, value: &[u8]) -> ServerResult;

    /// The prefix of the keys by which the evacuation of data centres is requested; the rest of
    /// a key is the data centre's name.
    fn evacuation_prefix(&self) -> &str;

    /// The prefixes of all keys that processes mirror.
    fn prefixes(&self) -> Vec<&str>;
}
