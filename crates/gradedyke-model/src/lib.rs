//! A discrete-event simulation of model engines, entries and agent programs, for comparing
//! placement policies.
//!
//! The entries run the production code: each has a [`Fleet`], which chooses an engine for
//! each turn, and they share their load through the production [`Aggregator`]. The engines,
//! which batch requests and interleave prefill with generation, and the programs that call
//! them are simulated. Time is virtual, there is no network, and runs with the same seed are
//! identical.
//!
//! - [`engine`]: simulates one engine.
//! - [`program`]: generates the workload of agent programs.
//! - [`uneven`]: engines that differ in speed, and load that moves between entries.
//! - [`simulation`]: runs engines, entries and programs over time and collects the results.
//!
//! [`Fleet`]: gradedyke_gateway::fleet::Fleet
//! [`Aggregator`]: gradedyke_turns::load::Aggregator

pub mod engine;
pub mod program;
pub mod simulation;
pub mod uneven;
