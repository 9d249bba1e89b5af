//! A model engine as gradedyke sees it: the published chat-completions format
//! and a small control API.

use async_trait::async_trait;
use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use crate::chat::{Chunk, Request};
use crate::error::Error;
use crate::prefix::{Chain, Key};

/// A call to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The name of this attempt, by which it is cancelled or resumed.
    pub attempt: String,
    /// The request with the whole conversation.
    pub request: Request,
    /// The conversation's prefixes.
    pub chain: Chain,
    /// How urgent it is; lower runs first.
    pub priority: i32,
}

/// What an engine says about its load. It lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that generate.
    #[serde(default)]
    pub running: u32,
    /// Calls that wait.
    #[serde(default)]
    pub waiting: u32,
    /// Tokens that wait to be computed or generated.
    #[serde(default)]
    pub pending_tokens: u64,
    /// Whether it is going and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A change in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a gap in the numbers means that events were lost.
    pub number: u64,
    /// The prefix.
    pub key: Key,
    /// Whether it is cached now, or no longer.
    pub cached: bool,
}

/// A prefix kept in an engine's memory for a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The program it is kept for.
    pub holder: id::Program,
    /// The prefix: its keys from the first message on.
    pub keys: Vec<Key>,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version of a model.
    Load {
        /// The model.
        model: String,
        /// The version.
        version: String,
    },
    /// Load an adapter over a model.
    Adapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Take a role, such as `prefill` or `decode`.
    Role {
        /// The role.
        role: String,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of who orders; engines that check refuse older ones.
    pub fencing: u64,
    /// What to do.
    pub action: Action,
}

/// A streamed answer. Dropping it closes the connection.
#[async_trait]
pub trait Chunks: Send {
    /// The next chunk, or `None` when the answer is whole.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the stream broke off.
    async fn next(&mut self) -> Result<Option<Chunk>, Error>;
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a call and streams its answer.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn chat(&self, call: &Call) -> Result<Box<dyn Chunks>, Error>;

    /// Streams the answer of an attempt from a byte offset of its text on.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] when the engine does not know the attempt any more.
    async fn resume(&self, attempt: &str, offset: u64) -> Result<Box<dyn Chunks>, Error>;

    /// Cancels an attempt. Cancelling one that is not there succeeds.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; repeat it.
    async fn cancel(&self, attempt: &str) -> Result<(), Error>;

    /// Reads the engine's load.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn load(&self) -> Result<Load, Error>;

    /// Reads the cache events after number `after`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Keeps a prefix in memory for a program.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a prefix that is not cached cannot be kept.
    async fn pin(&self, pin: &Pin) -> Result<(), Error>;

    /// Releases all that is kept for a program. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; repeat it until the engine confirms.
    async fn release(&self, holder: &id::Program) -> Result<(), Error>;

    /// Lists what is kept.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn pins(&self) -> Result<Vec<Pin>, Error>;

    /// Writes a prefix out and returns a handle for [`Engine::import`].
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a prefix that is not cached cannot be exported.
    async fn export(&self, key: Key) -> Result<String, Error>;

    /// Reads a prefix in that another engine has exported.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn import(&self, key: Key, handle: &str) -> Result<(), Error>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] from an engine that checks.
    async fn order(&self, order: &Order) -> Result<(), Error>;
}
