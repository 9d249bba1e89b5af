//! The trait of a model engine: chat completions, and a control API for cancellation,
//! load reports, the cache and orders.

use async_trait::async_trait;
use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use crate::chat::{Chunk, Request};
use crate::error::Error;
use crate::prefix::{Chain, Key};

/// A model call to an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The ID of this attempt, used to cancel or resume it.
    pub attempt_id: String,
    /// The request with the whole conversation.
    pub request: Request,
    /// The keys of the conversation's prefixes.
    pub chain: Chain,
    /// The scheduling priority; lower values run first.
    pub priority: i32,
}

/// The load that an engine reports. It may be slightly out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of calls that are being run.
    #[serde(default)]
    pub running: u32,
    /// Number of calls in the queue.
    #[serde(default)]
    pub waiting: u32,
    /// Number of tokens still to be processed or generated.
    #[serde(default)]
    pub pending_tokens: u64,
    /// Whether the engine is shutting down and should get no new calls.
    #[serde(default)]
    pub leaving: bool,
}

/// A change in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means that events were lost.
    pub number: u64,
    /// The prefix that was added or evicted.
    pub key: Key,
    /// Whether the prefix is cached now.
    pub cached: bool,
}

/// A prefix that an engine must keep in its cache for a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pin {
    /// The program that the prefix is pinned for.
    pub holder: id::Program,
    /// The keys of the prefix, from the first message on.
    pub keys: Vec<Key>,
}

/// An operation that an engine can be ordered to run.
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
    /// Load an adapter for a model.
    Adapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Switch to a role, such as `prefill` or `decode`.
    Role {
        /// The role.
        role: String,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The sender's fencing token. Engines that check it reject an order with a lower one
    /// than the highest they have seen.
    pub fencing: u64,
    /// The operation to run.
    pub action: Action,
}

/// A streamed response. Dropping it closes the connection.
#[async_trait]
pub trait ChunkStream: Send {
    /// Waits for the next chunk; returns `None` at the end of the response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Interrupted`] if the stream was interrupted.
    async fn next(&mut self) -> Result<Option<Chunk>, Error>;
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a call and streams its response.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn chat(&self, call: &Call) -> Result<Box<dyn ChunkStream>, Error>;

    /// Streams the response of an attempt, starting at a byte offset of its text.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if the engine no longer has the attempt.
    async fn resume(&self, attempt: &str, offset: u64) -> Result<Box<dyn ChunkStream>, Error>;

    /// Cancels an attempt. Succeeds if there is no such attempt.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; it may be retried.
    async fn cancel(&self, attempt: &str) -> Result<(), Error>;

    /// Returns the engine's load.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn load(&self) -> Result<Load, Error>;

    /// Returns the cache events with sequence numbers above `after`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Pins a prefix in the engine's cache for a program.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a prefix that isn't cached can't be pinned.
    async fn pin(&self, pin: &Pin) -> Result<(), Error>;

    /// Releases all pins of a program. Idempotent.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; retry until it succeeds.
    async fn release(&self, holder: &id::Program) -> Result<(), Error>;

    /// Lists all pins.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn pins(&self) -> Result<Vec<Pin>, Error>;

    /// Exports a cached prefix and returns a handle for [`Engine::import`].
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a prefix that isn't cached can't be exported.
    async fn export(&self, key: Key) -> Result<String, Error>;

    /// Imports a prefix that another engine has exported.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    async fn import(&self, key: Key, handle: &str) -> Result<(), Error>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] if the engine has received an order with a higher
    /// fencing token.
    async fn order(&self, order: &Order) -> Result<(), Error>;
}
