//! Clients of the platform's services.
//!
//! Each service is a trait, which tests can implement with a fake, and has one
//! HTTP adapter for a published API.
//!
//! - [`kv`]: the key-value service; [`etcd`] is its adapter.
//! - [`listing`]: reads all keys of a service that returns them in pages.
//! - [`instances`]: the instance list; its adapter reads Consul's health API.
//! - [`weights`]: the weight store, read over plain HTTP.

pub mod etcd;
pub mod instances;
pub mod kv;
pub mod listing;
pub mod weights;
