//! Conversation turns and token budgets, kept on several disks.
//!
//! A program is a tree of turns: each turn names the one it continues, and
//! several may continue the same one. What has to outlast any process is, for
//! each turn, its input and its answer, and for each program the tokens its
//! attempts may have used. Both are records that never change once written:
//! a turn is named by its request, and an attempt's use only goes from reserved
//! to settled. So copies need no order among them, and no process has to be the
//! owner of a program. Whoever serves a turn writes its records to all members
//! of the [`view`] and goes on when a majority has them on disk; any two
//! majorities share a member, so a reservation is seen by every later one.
//!
//! Weighed against a log with one owner for each program ([`gradedyke_journal`]
//! in this repository): the owner is a hop more for each turn, and each of its
//! deaths costs a takeover before the next turn. Given up: with two
//! reservations at the same moment each may count the other, so the last turns
//! of a budget can be refused to both.
//!
//! - [`record`]: the records; [`message`]: what processes ask of a replica.
//! - [`log`]: records on a disk; [`index`]: what follows from them;
//!   [`body`]: what was said, as far as it is in memory; [`conversation`]: all of
//!   it up to a turn.
//! - [`desk`] and [`replica`]: the answering side; [`archive`] and [`recovery`]: how it serves
//!   before it has read its disk; [`sync`]: replicas bring each other up to date; [`tally`]
//!   and [`backlog`]: what one is asked, and has begun; [`pressure`]: how it
//!   keeps up; [`decay`]: counts that forget.
//! - [`view`]: who the replicas are; [`membership`]: how that changes.
//! - [`quorum`]: the asking side; [`detour`]: ways around a cut;
//!   [`load`]: how busy backend servers are; [`usage`]: what client accounts have had.
//! - [`mirror`]: a copy of the platform's service; [`feed`]: how it spreads;
//!   [`snapshot`]: its copy on disk.
//!
//! [`gradedyke_journal`]: https://docs.rs/gradedyke-journal

pub mod archive;
pub mod backlog;
pub mod body;
pub mod conversation;
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
pub mod pressure;
pub mod quorum;
pub mod record;
pub mod recovery;
pub mod replica;
pub mod snapshot;
pub mod sync;
pub mod tally;
pub mod usage;
pub mod view;
