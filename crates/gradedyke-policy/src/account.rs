//! Client accounts and their API keys.
//!
//! Callers choose the IDs of their turns and programs themselves, and two accounts may choose
//! the same ID. Data is therefore stored under [`Account::scoped_id`], so that no account can
//! read data of another.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use gradedyke_turns::record::Id;

/// The hash of an API key. The key itself is never stored, logged or passed on.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key([u8; 32]);

impl Key {
    /// Hashes the key that a caller sent as `text`.
    ///
    /// ```
    /// use gradedyke_policy::account::Key;
    ///
    /// assert_eq!(Key::hash("8wuakn2f"), Key::hash("8wuakn2f"));
    /// assert_eq!(format!("{:?}", Key::hash("8wuakn2f")), "Key");
    /// ```
    pub fn hash(text: &str) -> Self {
        Self(*blake3::hash(text.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

/// Rate limit of an account, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Requests allowed in a window beyond that rate.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The account's name, unique in the configuration.
    pub name: Id,
    /// Priority, which takes precedence over that of a route; 0 is the highest.
    pub priority: Option<u8>,
    /// The rate limit; `None` if the account has none.
    pub allowance: Option<Allowance>,
    /// The regions in which its requests may run; `None` for all.
    pub allowed_regions: Option<Vec<String>>,
}

impl Account {
    /// The ID under which data is stored for the `id` that callers of this account chose.
    ///
    /// ```
    /// use gradedyke_policy::account::Account;
    /// use gradedyke_turns::record::Id;
    ///
    /// let account = |name| Account {
    ///     name: Id::parse(name).unwrap(),
    ///     priority: None,
    ///     allowance: None,
    ///     allowed_regions: None,
    /// };
    /// let turn = Id::parse("t1").unwrap();
    /// assert_ne!(account("a").scoped_id(&turn), account("b").scoped_id(&turn));
    /// ```
    pub fn scoped_id(&self, id: &Id) -> Id {
        id.scoped_to(&self.name)
    }
}

/// Client accounts, indexed by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    by_key: HashMap<Key, Arc<Account>>,
}

impl Directory {
    /// Builds a directory of accounts, each with its keys.
    pub fn new(accounts: impl IntoIterator<Item = (Account, Vec<Key>)>) -> Self {
        let mut by_key = HashMap::new();
        for (account, keys) in accounts {
            let account = Arc::new(account);
            by_key.extend(keys.into_iter().map(|key| (key, account.clone())));
        }
        Self { by_key }
    }

    /// The account that a key belongs to.
    pub fn find(&self, key: Key) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }

    /// The greatest number of a priority among the accounts; 0 if none has one.
    pub fn max_priority(&self) -> u8 {
        let priorities = self.by_key.values().filter_map(|a| a.priority);
        priorities.max().unwrap_or(0)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
