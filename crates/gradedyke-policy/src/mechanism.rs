//! Feature flags for the parts of placement and admission decisions.
//!
//! The settings can disable each one, so that its effect can be measured by comparing runs
//! with and without it. All are enabled by default.

use serde::Deserialize;

/// A part of the decisions that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Placement accounts for the time a request waits for a slot.
    Waiting,
    /// Placement accounts for the time an engine takes to read the prompt.
    Reading,
    /// Placement accounts for the delay of other requests while the prompt is read.
    ReadingForOthers,
    /// Placement prefers servers in the local data centre.
    Distance,
    /// Placement prefers servers with an idle connection.
    Warm,
    /// Placement considers only a sample of the servers that have none of the prompt cached.
    Sample,
    /// Placement accounts for servers that are slower than others.
    Slowness,
    /// Placement accounts for the failure rate of a server.
    Risk,
    /// The prompt prefixes that each engine has cached are tracked.
    Prefixes,
    /// Entries report their requests in flight to each other.
    SharedLoad,
    /// Expected times are learned from observed ones.
    LearnedTimes,
    /// A server is avoided for a time after a connection failure or a timeout (backoff).
    Rests,
    /// A repeatable request whose response is late is also sent to another server (hedging).
    SentBeside,
    /// Requests carry a priority for the engine's queue.
    Urgency,
    /// A program is rejected at its first turn if the client account's allowance does not
    /// cover all of its expected requests.
    WholePrograms,
    /// Fewer new programs are admitted while keepers are overloaded.
    Throttle,
    /// Expected times of a server follow its own pace where servers of a service differ.
    ServerPace,
    /// Shared prompt parts are assigned to some of the engines.
    PrefixOwners,
    /// Programs under way have the requests that they still need reserved in their account's
    /// allowance.
    ProgramPlan,
    /// The retry delay of a refusal for outdated data follows the length of the outage.
    OutageRetry,
    /// Fewer new programs are admitted while the engines of a service are full.
    CapacityAdmission,
    /// The urgency at an engine depends on whether the program can still end in time.
    SlackUrgency,
}

/// The set of enabled mechanisms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms(u32);

impl Default for Mechanisms {
    fn default() -> Self {
        Self(u32::MAX)
    }
}

impl Mechanisms {
    /// Enables all mechanisms except those in `disabled`.
    ///
    /// ```
    /// use gradedyke_policy::mechanism::{Mechanisms, Mechanism};
    ///
    /// let mechanisms = Mechanisms::all_except(&[Mechanism::Warm]);
    /// assert!(!mechanisms.is_enabled(Mechanism::Warm));
    /// assert!(mechanisms.is_enabled(Mechanism::Risk));
    /// ```
    pub fn all_except(disabled: &[Mechanism]) -> Self {
        let bits = disabled.iter().fold(0, |bits, m| bits | bit(*m));
        Self(!bits)
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) != 0
    }

    /// Returns `value` if a mechanism is enabled, and 0 otherwise.
    pub fn value_if_enabled(self, mechanism: Mechanism, value: f64) -> f64 {
        if self.is_enabled(mechanism) {
            value
        } else {
            0.0
        }
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << (mechanism as u32)
}
