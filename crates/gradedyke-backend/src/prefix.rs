//! Names for the prefixes of a conversation in an engine's cache.
//!
//! Each message boundary gets a key that covers all messages before it and a
//! salt for the client account, so that two accounts never share cache, even
//! where they say the same. Engines take the keys with a call and name them in
//! their cache events. Keys by message are coarser than by block of tokens, but
//! need no tokenizer here, and agent programs grow by whole messages.

use std::fmt;

use gradedyke_base::id;
use serde::{Deserialize, Serialize};

use crate::chat::Message;

/// The name of a prefix.
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

/// The salt under which `account`'s prefixes stand in an engine's cache.
pub fn salt(account: &id::Account) -> String {
    let hash = blake3::derive_key("gradedyke cache salt v1", account.as_str().as_bytes());
    hash[..16].iter().map(|b| format!("{b:02x}")).collect()
}

/// The chain of keys of a conversation.
#[derive(Clone, Debug)]
pub struct Chain {
    salt: String,
    model: String,
    keys: Vec<Key>,
}

impl Chain {
    /// The empty chain of `account` on `model`.
    pub fn new(account: &id::Account, model: &str) -> Self {
        Self {
            salt: salt(account),
            model: model.to_owned(),
            keys: Vec::new(),
        }
    }

    /// The chain over `messages`.
    ///
    /// ```
    /// use gradedyke_backend::{chat::Message, prefix::Chain};
    /// use gradedyke_base::id::Account;
    ///
    /// let hi: Message = serde_json::from_str(r#"{"role":"user","content":"hi"}"#).unwrap();
    /// let of = |name| Chain::over(&Account::parse(name).unwrap(), "m", std::slice::from_ref(&hi));
    /// assert_ne!(of("kestrel").keys(), of("jordan").keys());
    /// ```
    pub fn over(account: &id::Account, model: &str, messages: &[Message]) -> Self {
        let mut chain = Self::new(account, model);
        messages.iter().for_each(|m| chain.push(m));
        chain
    }

    /// Extends the chain by a message.
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
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        self.keys.push(Key(u64::from_le_bytes(head)));
    }

    /// The salt of the client account.
    pub fn salt(&self) -> &str {
        &self.salt
    }

    /// The model the chain is for.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// The keys, one for each message.
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }
}
