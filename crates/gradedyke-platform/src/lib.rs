//! The platform's services as gradedyke sees them.
//!
//! Each service is a trait object at the border, with one HTTP adapter that
//! follows a published format, so that tests can put small fakes in its place.
//!
//! - [`kv`]: the key-value service; [`etcd`] is its adapter.
//! - [`instances`]: the instance list; its adapter reads Consul's health API.
//! - [`weights`]: the weight store, read over plain HTTP.

pub mod etcd;
pub mod instances;
pub mod kv;
pub mod weights;
