//! Keys of a conversation's prefixes in an engine's cache.
//!
//! Each message has a key: a hash of this and all earlier messages, the model and a
//! salt of the client account, so that client accounts never share cache entries.
//! Engines receive the keys with a call and use them in cache events. Keys are per
//! message, not per block of tokens, so that no tokenizer is needed; conversations grow
//! by whole messages.

use std::fmt;

use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use crate::chat::Message;

/// The key of a prefix: a hash, written as 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Key(u64);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for Key {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Key)
    }
}

/// Returns the salt of `account`, which separates its cache entries from those of other
/// client accounts.
pub fn account_salt(account: &id::Account) -> String {
    let hash = blake3::derive_key("gradedyke cache salt v1", account.as_str().as_bytes());
    hash[..16].iter().map(|b| format!("{b:02x}")).collect()
}

/// The prefix keys of a conversation, one per message; each depends on the one before.
#[derive(Clone, Debug)]
pub struct Chain {
    salt: String,
    model: String,
    keys: Vec<Key>,
}

impl Chain {
    /// Creates the chain of an empty conversation of `account` with `model`.
    pub fn new(account: &id::Account, model: &str) -> Self {
        Self {
            salt: account_salt(account),
            model: model.to_owned(),
            keys: Vec::new(),
        }
    }

    /// Creates the chain of a conversation of `messages`.
    ///
    /// ```
    /// use gradedyke_backend::{chat::Message, prefix::Chain};
    /// use gradedyke_base::id::Account;
    ///
    /// let hi: Message = serde_json::from_str(r#"{"role":"user","content":"hi"}"#).unwrap();
    /// let chain = |name| Chain::from_messages(&Account::parse(name).unwrap(), "m", std::slice::from_ref(&hi));
    /// assert_ne!(chain("kestrel").keys(), chain("jordan").keys());
    /// ```
    pub fn from_messages(account: &id::Account, model: &str, messages: &[Message]) -> Self {
        let mut chain = Self::new(account, model);
        messages.iter().for_each(|m| chain.push(m));
        chain
    }

    /// Appends the key of the next message.
    pub fn push(&mut self, message: &Message) {
        let mut hasher = blake3::Hasher::new();
        let parent = self.keys.last().map_or(0, |key| key.0);
        hasher.update(self.salt.as_bytes());
        hasher.update(self.model.as_bytes());
        hasher.update(&parent.to_le_bytes());
        for (name, value) in message {
            hasher.update(name.as_bytes());
            hasher.update(value.to_string().as_bytes());
        }
        let hash = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        self.keys.push(Key(u64::from_le_bytes(bytes)));
    }

    /// Returns the salt of the client account.
    pub fn salt(&self) -> &str {
        &self.salt
    }

    /// Returns the model.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Returns the keys, one for each message.
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }
}
