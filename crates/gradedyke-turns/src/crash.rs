//! Requests under which backend servers ended.
//!
//! A request may crash each server that runs it. Its caller sends it again under another ID, at
//! any entry, so neither the ID nor one entry's memory tells how many servers it has cost.
//! Requests are therefore recognized by a [`Fingerprint`] of their content.

mod fingerprint;

pub use fingerprint::{Fingerprint, Scope};
