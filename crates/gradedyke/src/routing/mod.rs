//! Where a call runs.
//!
//! A policy chooses among candidates that the fleet prepares; it sees numbers
//! only and the present time is an argument, so that any two policies can be
//! compared on the same inputs. Policies register themselves by name and are
//! chosen in the settings for each client account and agent program.
//!
//! - [`fleet`]: the backend servers, with what is known and guessed of them.
//! - [`prefix`]: the policy that weighs load against cached prefixes.
//! - [`round_robin`]: the naive policy, to compare with.

pub mod fleet;
pub mod prefix;
pub mod round_robin;

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::time::Instant;

/// What a policy knows of the call.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub answer_tokens: u64,
    /// The present time.
    pub now: Instant,
}

/// What a policy knows of a backend server that could run the call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The backend server.
    pub key: fleet::Key,
    /// Tokens that wait there: its last report, and what was sent since.
    pub pending_tokens: u64,
    /// Calls of this owner in progress there.
    pub in_flight: u32,
    /// Tokens of the prompt that are probably cached there.
    pub cached_tokens: u64,
    /// Whether it stands in this owner's data centre.
    pub near: bool,
}

/// Decides where a call runs.
pub trait Policy: Send + Sync {
    /// The place in `candidates` of the one to run the call, or `None` when
    /// there are none.
    fn choose(&self, question: &Question, candidates: &[Candidate]) -> Option<usize>;
}

/// A policy that registers itself.
pub struct Plugin {
    /// The name settings know it by.
    pub name: &'static str,
    /// Makes one.
    pub build: fn() -> Arc<dyn Policy>,
}

inventory::collect!(Plugin);

/// One of each registered policy, by name.
///
/// ```
/// let policies = gradedyke::routing::policies();
/// assert!(policies.contains_key("prefix"));
/// assert!(policies.contains_key("round_robin"));
/// ```
pub fn policies() -> BTreeMap<&'static str, Arc<dyn Policy>> {
    let plugins = inventory::iter::<Plugin>.into_iter();
    plugins.map(|p| (p.name, (p.build)())).collect()
}
