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

use gradedyke_base::settings::check::Fault;
use gradedyke_base::settings::tree::Tree;
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

/// The places of a tree that name a policy which is not registered.
///
/// ```
/// use gradedyke_base::settings::tree::Tree;
///
/// let mut tree = Tree::default();
/// tree.defaults.routing = Some("fastest".to_owned());
/// assert_eq!(gradedyke::routing::faults(&tree)[0].path, "defaults.routing");
/// ```
pub fn faults(tree: &Tree) -> Vec<Fault> {
    let mut named = vec![("defaults".to_owned(), &tree.defaults)];
    for (name, account) in &tree.accounts {
        named.push((format!("accounts.{name}.policy"), &account.policy));
        for (agent, settings) in &account.agents {
            let path = format!("accounts.{name}.agents.{agent}.policy");
            named.push((path, &settings.policy));
        }
    }
    let policies = policies();
    let names: Vec<&str> = policies.keys().copied().collect();
    let unknown = named.into_iter().filter_map(|(path, policy)| {
        let routing = policy.routing.as_deref()?;
        let known = policies.contains_key(routing);
        (!known).then(|| Fault {
            path: format!("{path}.routing"),
            message: format!(
                "no routing policy {routing}; use one of {}",
                names.join(", ")
            ),
        })
    });
    unknown.collect()
}

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
