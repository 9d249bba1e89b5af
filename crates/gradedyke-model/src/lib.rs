//! A model of model engines, entries and agent programs in virtual time.
//!
//! The entries' part is the real code: each has a [`Fleet`], which learns, weighs
//! and chooses as in service, and they exchange load over the real [`Aggregator`], as
//! late as in service. Modelled are the engines, which run requests in batches and
//! read prompts between the tokens of others, and the programs that call them. A
//! run needs no clock and no network, and the same seed gives the same run, so that
//! policies can be compared over loads, speeds and sizes that no test machine has.
//!
//! - [`engine`]: one engine.
//! - [`program`]: what programs ask for.
//! - [`world`]: all of it over time, and what came of it.
//!
//! [`Fleet`]: gradedyke_gateway::fleet::Fleet
//! [`Aggregator`]: gradedyke_turns::load::Aggregator

pub mod engine;
pub mod program;
pub mod world;
