//! Clients of backend servers: model engines and plain services.
//!
//! - [`chat`]: the part of the chat-completions format that gradedyke reads.
//! - [`prefix`]: keys of a conversation's prefixes in an engine's cache.
//! - [`engine`]: the trait of a model engine; [`engine_http`] implements it over HTTP.
//! - [`service`]: the trait of a plain service, and its implementation over HTTP.
//! - [`error`]: errors of calls; they say whether the call may have run.

pub mod chat;
pub mod engine;
pub mod engine_http;
pub mod error;
pub mod prefix;
pub mod service;

pub use engine::Engine;
pub use error::Error;
pub use service::Service;
