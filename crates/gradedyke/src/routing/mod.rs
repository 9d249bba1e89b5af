//! Routing: chooses the backend server for a call.
//!
//! A policy chooses among candidates from the fleet. It sees only numbers, and the
//! current time is an argument, so that different policies can be compared on the
//! same inputs. Policies register themselves by name and are selected in the
//! settings for each client account and agent program.
//!
//! - [`fleet`]: the backend servers and their estimated load and cache contents.
//! - [`prefix`]: the policy that weighs load against cached prefixes.
//! - [`round_robin`]: takes each candidate in turn, as a baseline for comparisons.

pub mod fleet;
pub mod prefix;
pub mod round_robin;

use std::collections::BTreeMap;
use std::sync::Arc;

use gradedyke_base::settings::check::Violation;
use gradedyke_base::settings::tree::Tree;
use tokio::time::Instant;

/// What a policy knows about the call.
#[derive(Clone, Copy, Debug)]
pub struct CallInfo {
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub answer_tokens: u64,
    /// The current time.
    pub now: Instant,
}

/// What a policy knows about a backend server that can run the call.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The backend server.
    pub key: fleet::ServerKey,
    /// Tokens pending there: as last reported, plus those of calls from this owner
    /// that are in flight.
    pub pending_tokens: u64,
    /// Calls from this owner in flight there.
    pub in_flight: u32,
    /// Estimated tokens of the prompt that are cached there.
    pub cached_tokens: u64,
    /// Whether it is in this owner's data centre.
    pub is_local: bool,
}

/// A routing policy: chooses the backend server that runs a call.
pub trait Policy: Send + Sync {
    /// Returns the index in `candidates` of the backend server that runs the call,
    /// or `None` if there are no candidates.
    fn choose(&self, call_info: &CallInfo, candidates: &[Candidate]) -> Option<usize>;
}

/// The registration of a policy.
pub struct Plugin {
    /// Its name in the settings.
    pub name: &'static str,
    /// Creates an instance of the policy.
    pub build: fn() -> Arc<dyn Policy>,
}

inventory::collect!(Plugin);

/// Returns a violation for each routing policy in the settings that is not registered.
///
/// ```
/// use gradedyke_base::settings::tree::Tree;
///
/// let mut tree = Tree::default();
/// tree.defaults.routing = Some("fastest".to_owned());
/// assert_eq!(gradedyke::routing::check_policies(&tree)[0].path, "defaults.routing");
/// ```
pub fn check_policies(tree: &Tree) -> Vec<Violation> {
    let mut policy_settings = vec![("defaults".to_owned(), &tree.defaults)];
    for (name, account) in &tree.accounts {
        policy_settings.push((format!("accounts.{name}.policy"), &account.policy));
        for (agent, settings) in &account.agents {
            let path = format!("accounts.{name}.agents.{agent}.policy");
            policy_settings.push((path, &settings.policy));
        }
    }
    let policies = policies();
    let names: Vec<&str> = policies.keys().copied().collect();
    let unknown = policy_settings.into_iter().filter_map(|(path, policy)| {
        let routing = policy.routing.as_deref()?;
        let is_registered = policies.contains_key(routing);
        (!is_registered).then(|| Violation {
            path: format!("{path}.routing"),
            message: format!(
                "no routing policy {routing}; use one of {}",
                names.join(", ")
            ),
        })
    });
    unknown.collect()
}

/// Creates one instance of each registered policy, by name.
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
