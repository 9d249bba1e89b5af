//! Clients of the platform's services.
//!
//! Each service is a trait, which tests can implement with a fake, and has one
//! HTTP adapter for a published API.
//!
//! - [`kv`]: the key-value service; [`etcd`] is its adapter.
//! - [`instances`]: the instance list; its adapter reads Consul's health API.
//! - [`weights`]: the weight store, read over plain HTTP.

pub mod etcd;
pub mod instances;
pub mod kv;
pub mod weights;
