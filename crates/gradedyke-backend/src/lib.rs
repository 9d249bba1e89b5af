//! Clients of backend servers: model engines and plain services.
//!
//! - [`chat`]: the published chat-completions format, as far as it is read here.
//! - [`prefix`]: names for the prefixes of a conversation in an engine's cache.
//! - [`engine`]: the trait of a model engine; [`engine_http`] is its adapter.
//! - [`service`]: the trait of a plain service and its adapter.
//! - [`error`]: what a call fails with, and whether it may have run.

pub mod chat;
pub mod engine;
pub mod engine_http;
pub mod error;
pub mod prefix;
pub mod service;

pub use engine::Engine;
pub use error::Error;
pub use service::Service;
