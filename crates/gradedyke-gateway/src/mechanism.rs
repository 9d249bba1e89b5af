//! The mechanisms of the decisions, each of which the settings can switch off.
//!
//! That is for measuring what each is worth: the same day is played with and
//! without one. In service all are on.

use serde::Deserialize;

/// A mechanism that decides, or brings what decisions weigh.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Placement weighs the time for which a request waits for a place.
    Waiting,
    /// Placement weighs the reading of a prompt by an engine.
    Reading,
    /// Placement weighs the delay of others by that reading.
    ReadingForOthers,
    /// Placement prefers servers of the own data centre.
    Distance,
    /// Placement prefers servers to which a connection rests.
    Warm,
    /// Placement looks at a sample of the servers that hold nothing of a prompt.
    Sample,
    /// Placement weighs how slow a server is.
    Slowness,
    /// Placement weighs the share of requests that fail at a server.
    Risk,
    /// It is remembered which parts of prompts were sent where.
    Prefixes,
    /// Entries tell each other what they have in progress.
    SharedLoad,
    /// Usual times follow what is observed.
    LearnedTimes,
    /// A server that lost a request gets nothing for a while.
    Rests,
    /// What may be repeated is sent beside an answer that is far too late.
    SentBeside,
    /// Engines are told the rank of a request.
    Urgency,
    /// Programs that an account's allowance has no room for are refused at their first turn.
    WholePrograms,
    /// Fewer programs begin while keepers have more to do than they can.
    Throttle,
}

/// The mechanisms that are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Enabled(u32);

impl Default for Enabled {
    fn default() -> Self {
        Self(u32::MAX)
    }
}

impl Enabled {
    /// All but those in `off`.
    ///
    /// ```
    /// use gradedyke_gateway::mechanism::{Enabled, Mechanism};
    ///
    /// let enabled = Enabled::without(&[Mechanism::Warm]);
    /// assert!(!enabled.has(Mechanism::Warm));
    /// assert!(enabled.has(Mechanism::Risk));
    /// ```
    pub fn without(off: &[Mechanism]) -> Self {
        let bits = off.iter().fold(0, |bits, m| bits | bit(*m));
        Self(!bits)
    }

    /// Whether a mechanism is on.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) != 0
    }

    /// `value` if a mechanism is on, and nothing otherwise.
    pub fn weigh(self, mechanism: Mechanism, value: f64) -> f64 {
        if self.has(mechanism) { value } else { 0.0 }
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << (mechanism as u32)
}
