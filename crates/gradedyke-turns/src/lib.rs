//! Replicated storage for conversation turns and token budgets.
//!
//! A program is a group of turns that share a token budget. A turn may continue an
//! earlier turn, and several turns may continue the same one. The replicas store the
//! input and output of each turn, and the tokens that each attempt of a program reserved
//! or used. Records are immutable: a turn is identified by its request, and an attempt
//! goes from reserved to settled. Replicas may therefore receive records in any order,
//! and a program needs no leader. An `entry` writes the records of a turn to all members of the
//! [`view`] and continues when a majority has synced them to disk. Two majorities
//! always share a member, so later reservations see every earlier one.
//!
//! Concurrent reservations of a program may each count the other, so both may be refused
//! near the end of a budget.
//!
//! - [`record`]: the records; [`message`]: requests to a replica and their replies.
//! - [`log`]: the records on disk; [`index`]: the records in memory; [`body`]: cache
//!   of turn bodies; [`conversation`]: all turns up to a given one.
//! - [`desk`] and [`replica`]: the server side; [`pending`] and [`recovery`]: serving
//!   requests before all records on disk are indexed; [`sync`]: replication between
//!   replicas; [`stats`]: request statistics; [`backlog`]: rejects requests while those in
//!   flight take too long; [`pressure`]: load feedback to callers; [`decay`]: decaying counters.
//! - [`view`]: the set of replicas; [`membership`]: changes of the view.
//! - [`quorum`]: the client side; [`detour`]: calls replicas through other entries during a
//!   network partition; [`load`]: load of the backend servers; [`usage`]: usage of the client
//!   accounts; [`crash`]: requests under which backend servers ended.
//! - [`mirror`]: a local copy of the platform's key-value store; [`feed`]: updates of
//!   the mirror from a replica; [`snapshot`]: the mirror and the usage of client accounts
//!   on disk.

pub mod backlog;
pub mod body;
pub mod conversation;
pub mod crash;
pub mod decay;
pub mod desk;
pub mod detour;
pub mod feed;
pub mod index;
pub mod load;
pub mod log;
pub mod membership;
pub mod message;
pub mod mirror;
pub mod pending;
pub mod pressure;
pub mod quorum;
pub mod record;
pub mod recovery;
pub mod replica;
pub mod snapshot;
pub mod stats;
pub mod sync;
pub mod usage;
pub mod view;
