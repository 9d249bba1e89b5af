//! The settings that all instances share: client accounts, agent programs, backend
//! servers and defaults.
//!
//! A value that an agent program doesn't set is inherited from its client account,
//! else from `defaults`, else from the constants below. [`Tree::agent`] resolves it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// The priority class of a program.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Interactive: a person waits for the result.
    #[default]
    Staff,
    /// Not interactive: runs after `Staff` work.
    Batch,
}

impl Class {
    /// Returns the name used in settings and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Class::Staff => "staff",
            Class::Batch => "batch",
        }
    }
}

/// Settings that defaults, client accounts and agent programs may each set; unset values
/// are inherited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Token budget of one program and its sub-agents.
    pub budget_tokens: Option<u64>,
    /// Maximum number of tokens that a model call may generate, unless the caller sets one.
    pub max_tokens: Option<u64>,
    /// Maximum number of calls of one program.
    pub max_turns: Option<u32>,
    /// Time without a call after which a program is ended, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Timeout of a call, in milliseconds.
    pub call_ms: Option<u64>,
    /// The priority class.
    pub class: Option<Class>,
    /// The name of the routing policy.
    pub routing: Option<String>,
}

/// An API key of a client account or operator. Only its hash is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// BLAKE3 hash of the key in hexadecimal, as `gradedyke key` prints it.
    pub hash: String,
    /// A note for operators, such as who uses the key.
    #[serde(default)]
    pub note: String,
}

/// An agent program that a client account may run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Agent {
    /// Models that it may call.
    pub models: Vec<String>,
    /// Plain services that it may call.
    pub services: Vec<String>,
    /// Values that override those of its client account.
    pub policy: Policy,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// API keys of its callers.
    pub keys: Vec<Key>,
    /// Values that override the defaults.
    #[serde(default)]
    pub policy: Policy,
    /// Maximum number of concurrent calls of this client account at one entry.
    #[serde(default = "concurrent")]
    pub concurrent: usize,
    /// Its agent programs, by name.
    pub agents: BTreeMap<String, Agent>,
}

fn concurrent() -> usize {
    1_024
}

/// A backend server, by its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields, tag = "kind")]
pub enum Backend {
    /// A server that runs models.
    Engine {
        /// The address that it listens on.
        address: SocketAddr,
        /// The data centre that it is in.
        data_centre: String,
        /// Models that it serves.
        models: Vec<String>,
        /// Whether it rejects orders with an outdated fencing token.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain HTTP service, such as a tool of agent programs.
    Service {
        /// The address that it listens on.
        address: SocketAddr,
        /// The data centre that it is in.
        data_centre: String,
        /// The service name that callers use; several backend servers may share it.
        service: String,
        /// Path to query the outcome of a request, with `{key}` as the placeholder
        /// of its idempotency key, if the service supports that.
        #[serde(default)]
        outcome_path: Option<String>,
    },
}

impl Backend {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        match self {
            Backend::Engine { address, .. } | Backend::Service { address, .. } => *address,
        }
    }

    /// Returns the data centre that it is in.
    pub fn data_centre(&self) -> &str {
        match self {
            Backend::Engine { data_centre, .. } | Backend::Service { data_centre, .. } => {
                data_centre
            }
        }
    }
}

/// All shared settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Values for client accounts and agent programs that don't set their own.
    #[serde(default)]
    pub defaults: Policy,
    /// API keys of operators.
    #[serde(default)]
    pub operators: Vec<Key>,
    /// Client accounts, by name.
    #[serde(default)]
    pub accounts: BTreeMap<String, Account>,
    /// Backend servers, by name.
    #[serde(default)]
    pub backends: BTreeMap<String, Backend>,
    /// Data centres whose backend servers get no new calls.
    #[serde(default)]
    pub evacuated: BTreeSet<String>,
}

/// Default token budget of a program.
pub const DEFAULT_BUDGET_TOKENS: u64 = 1_000_000;
/// Default maximum number of tokens that a model call may generate.
pub const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Default maximum number of calls of a program.
pub const DEFAULT_MAX_TURNS: u32 = 170;
/// Default idle timeout of a program, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT_MS: u64 = 1_800_000;
/// Default timeout of a call, in milliseconds.
pub const DEFAULT_CALL_TIMEOUT_MS: u64 = 300_000;
/// Default routing policy.
pub const DEFAULT_ROUTING_POLICY: &str = "prefix";

/// The effective settings of an agent program, inherited values included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Effective {
    /// Models that it may call.
    pub models: Vec<String>,
    /// Plain services that it may call.
    pub services: Vec<String>,
    /// Token budget of one program and its sub-agents.
    pub budget_tokens: u64,
    /// Maximum number of tokens that a model call may generate, unless the caller sets one.
    pub max_tokens: u64,
    /// Maximum number of calls of one program.
    pub max_turns: u32,
    /// Time without a call after which a program is ended, in milliseconds.
    pub idle_ms: u64,
    /// Timeout of a call, in milliseconds.
    pub call_ms: u64,
    /// The priority class.
    pub class: Class,
    /// The name of the routing policy.
    pub routing: String,
}

impl Default for Effective {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            services: Vec::new(),
            budget_tokens: DEFAULT_BUDGET_TOKENS,
            max_tokens: DEFAULT_MAX_TOKENS,
            max_turns: DEFAULT_MAX_TURNS,
            idle_ms: DEFAULT_IDLE_TIMEOUT_MS,
            call_ms: DEFAULT_CALL_TIMEOUT_MS,
            class: Class::default(),
            routing: DEFAULT_ROUTING_POLICY.to_owned(),
        }
    }
}

impl Tree {
    /// Returns the effective settings of the agent program `agent` of `account`.
    ///
    /// ```
    /// use gradedyke_base::{id, settings::tree::{Account, Agent, Tree, DEFAULT_MAX_TURNS}};
    ///
    /// let mut tree = Tree::default();
    /// let agents = [("minutes".to_owned(), Agent::default())].into();
    /// let account = Account { keys: vec![], policy: Default::default(), concurrent: 1, agents };
    /// tree.accounts.insert("kestrel".to_owned(), account);
    /// let kestrel = id::Account::parse("kestrel").unwrap();
    /// assert_eq!(tree.agent(&kestrel, "minutes").unwrap().max_turns, DEFAULT_MAX_TURNS);
    /// ```
    pub fn agent(&self, account: &id::Account, agent: &str) -> Option<Effective> {
        let account = self.accounts.get(account.as_str())?;
        let agent = account.agents.get(agent)?;
        let levels = [&agent.policy, &account.policy, &self.defaults];
        Some(Effective {
            models: agent.models.clone(),
            services: agent.services.clone(),
            budget_tokens: first_set(levels, |p| p.budget_tokens).unwrap_or(DEFAULT_BUDGET_TOKENS),
            max_tokens: first_set(levels, |p| p.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS),
            max_turns: first_set(levels, |p| p.max_turns).unwrap_or(DEFAULT_MAX_TURNS),
            idle_ms: first_set(levels, |p| p.idle_ms).unwrap_or(DEFAULT_IDLE_TIMEOUT_MS),
            call_ms: first_set(levels, |p| p.call_ms).unwrap_or(DEFAULT_CALL_TIMEOUT_MS),
            class: first_set(levels, |p| p.class).unwrap_or_default(),
            routing: first_set(levels, |p| p.routing.clone())
                .unwrap_or_else(|| DEFAULT_ROUTING_POLICY.to_owned()),
        })
    }

    /// Returns whether any backend server is in `data_centre`.
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        let mut backends = self.backends.values();
        backends.any(|b| b.data_centre() == data_centre)
    }

    /// Returns whether `key` is the API key of an operator.
    pub fn is_operator(&self, key: &str) -> bool {
        let hash = hash_key(key);
        self.operators.iter().any(|k| k.hash == hash)
    }
}

fn first_set<T>(levels: [&Policy; 3], get: impl Fn(&Policy) -> Option<T>) -> Option<T> {
    levels.into_iter().find_map(get)
}

/// Returns the hash of `key` as stored in settings.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
