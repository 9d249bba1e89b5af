//! The operators' shared settings: client accounts, agent programs, backend
//! servers, and the defaults they inherit from.
//!
//! A value that an agent program leaves out comes from its client account, then
//! from `defaults`, then from the constants below; [`Tree::agent`] resolves it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// How urgent a program's work is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for it.
    #[default]
    Staff,
    /// Nobody waits; it goes behind staff work.
    Batch,
}

impl Class {
    /// The class's name, as in settings and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Class::Staff => "staff",
            Class::Batch => "batch",
        }
    }
}

/// Values that each level may set and the next one inherits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Most tokens that one program and its sub-agents may spend.
    pub budget_tokens: Option<u64>,
    /// Tokens that one model call may generate when the caller names none.
    pub max_tokens: Option<u64>,
    /// Most calls that one program may issue.
    pub max_turns: Option<u32>,
    /// How long a program may stay without a call, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Longest time for one call, in milliseconds.
    pub call_ms: Option<u64>,
    /// How urgent the work is.
    pub class: Option<Class>,
    /// The routing policy, by its registered name.
    pub routing: Option<String>,
}

/// A key of a client account or operator, kept only as its hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// BLAKE3 hash of the key in hexadecimal, as `gradedyke key` prints it.
    pub hash: String,
    /// A note for operators, such as who holds the key.
    #[serde(default)]
    pub note: String,
}

/// An agent program that a client account may run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Agent {
    /// Models it may call.
    pub models: Vec<String>,
    /// Plain services it may call.
    pub services: Vec<String>,
    /// What it sets over its client account.
    pub policy: Policy,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Keys its callers may use.
    pub keys: Vec<Key>,
    /// What it sets over the defaults.
    #[serde(default)]
    pub policy: Policy,
    /// Most calls of this client account in progress at one entry.
    #[serde(default = "concurrent")]
    pub concurrent: usize,
    /// Its agent programs, by name.
    pub agents: BTreeMap<String, Agent>,
}

fn concurrent() -> usize {
    1_024
}

/// What a backend server is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields, tag = "kind")]
pub enum Backend {
    /// A model engine.
    Engine {
        /// Where it listens.
        address: SocketAddr,
        /// The data centre it stands in.
        data_centre: String,
        /// Models it serves.
        models: Vec<String>,
        /// Whether it refuses an order with an old fencing number.
        #[serde(default)]
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Where it listens.
        address: SocketAddr,
        /// The data centre it stands in.
        data_centre: String,
        /// The name callers know it by; several backend servers may share it.
        service: String,
        /// Path that tells the outcome of a request by its idempotency key,
        /// with `{key}` in the key's place, if the service has one.
        #[serde(default)]
        outcome_path: Option<String>,
    },
}

impl Backend {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Backend::Engine { address, .. } | Backend::Service { address, .. } => *address,
        }
    }

    /// The data centre it stands in.
    pub fn data_centre(&self) -> &str {
        match self {
            Backend::Engine { data_centre, .. } | Backend::Service { data_centre, .. } => {
                data_centre
            }
        }
    }
}

/// The whole tree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// Values for all that does not set its own.
    #[serde(default)]
    pub defaults: Policy,
    /// Keys of operators.
    #[serde(default)]
    pub operators: Vec<Key>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<String, Account>,
    /// Backend servers by name.
    #[serde(default)]
    pub backends: BTreeMap<String, Backend>,
    /// Data centres whose backend servers get nothing new.
    #[serde(default)]
    pub evacuated: BTreeSet<String>,
}

/// Used when no level sets a budget, in tokens.
pub const BUDGET_TOKENS: u64 = 1_000_000;
/// Used when no level sets a length for answers, in tokens.
pub const MAX_TOKENS: u64 = 1_024;
/// Used when no level sets a number of turns.
pub const MAX_TURNS: u32 = 170;
/// Used when no level sets an idle time: half an hour.
pub const IDLE_MS: u64 = 1_800_000;
/// Used when no level sets a longest call: five minutes.
pub const CALL_MS: u64 = 300_000;
/// Used when no level names a routing policy.
pub const ROUTING: &str = "prefix";

/// An agent program with everything it inherits filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Effective {
    /// Models it may call.
    pub models: Vec<String>,
    /// Plain services it may call.
    pub services: Vec<String>,
    /// Most tokens that one program and its sub-agents may spend.
    pub budget_tokens: u64,
    /// Tokens that one model call may generate when the caller names none.
    pub max_tokens: u64,
    /// Most calls that one program may issue.
    pub max_turns: u32,
    /// How long a program may stay without a call, in milliseconds.
    pub idle_ms: u64,
    /// Longest time for one call, in milliseconds.
    pub call_ms: u64,
    /// How urgent the work is.
    pub class: Class,
    /// The routing policy, by its registered name.
    pub routing: String,
}

impl Default for Effective {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            services: Vec::new(),
            budget_tokens: BUDGET_TOKENS,
            max_tokens: MAX_TOKENS,
            max_turns: MAX_TURNS,
            idle_ms: IDLE_MS,
            call_ms: CALL_MS,
            class: Class::default(),
            routing: ROUTING.to_owned(),
        }
    }
}

impl Tree {
    /// The agent program `agent` of `account`, with inherited values filled in.
    ///
    /// ```
    /// use gradedyke_base::{id, settings::tree::{Account, Agent, Tree, MAX_TURNS}};
    ///
    /// let mut tree = Tree::default();
    /// let agents = [("minutes".to_owned(), Agent::default())].into();
    /// let account = Account { keys: vec![], policy: Default::default(), concurrent: 1, agents };
    /// tree.accounts.insert("kestrel".to_owned(), account);
    /// let kestrel = id::Account::parse("kestrel").unwrap();
    /// assert_eq!(tree.agent(&kestrel, "minutes").unwrap().max_turns, MAX_TURNS);
    /// ```
    pub fn agent(&self, account: &id::Account, agent: &str) -> Option<Effective> {
        let account = self.accounts.get(account.as_str())?;
        let agent = account.agents.get(agent)?;
        let levels = [&agent.policy, &account.policy, &self.defaults];
        Some(Effective {
            models: agent.models.clone(),
            services: agent.services.clone(),
            budget_tokens: first(levels, |p| p.budget_tokens).unwrap_or(BUDGET_TOKENS),
            max_tokens: first(levels, |p| p.max_tokens).unwrap_or(MAX_TOKENS),
            max_turns: first(levels, |p| p.max_turns).unwrap_or(MAX_TURNS),
            idle_ms: first(levels, |p| p.idle_ms).unwrap_or(IDLE_MS),
            call_ms: first(levels, |p| p.call_ms).unwrap_or(CALL_MS),
            class: first(levels, |p| p.class).unwrap_or_default(),
            routing: first(levels, |p| p.routing.clone()).unwrap_or_else(|| ROUTING.to_owned()),
        })
    }

    /// Whether a backend server stands in `data_centre`.
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        let mut backends = self.backends.values();
        backends.any(|b| b.data_centre() == data_centre)
    }

    /// Whether `key` is an operator's.
    pub fn is_operator(&self, key: &str) -> bool {
        let hash = hash_key(key);
        self.operators.iter().any(|k| k.hash == hash)
    }
}

fn first<T>(levels: [&Policy; 3], get: impl Fn(&Policy) -> Option<T>) -> Option<T> {
    levels.into_iter().find_map(get)
}

/// The hash under which settings keep `key`.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
