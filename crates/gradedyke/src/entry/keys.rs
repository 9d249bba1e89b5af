//! Finds the client account of an API key.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::tree::hash_key;
use http::{HeaderMap, header};

use crate::current::Snapshot;

/// Client accounts by the hash of their API keys, for one settings revision.
#[derive(Debug, Default)]
struct Index {
    revision: u64,
    accounts: HashMap<String, id::Account>,
}

/// Finds client accounts by API key. The index is rebuilt when the settings
/// change.
#[derive(Debug, Default)]
pub struct Keys {
    index: ArcSwap<Index>,
}

impl Keys {
    /// Returns the client account of the API key in a request's headers.
    ///
    /// # Errors
    ///
    /// `unauthorized`, with the same message for a missing and an unknown key.
    pub fn authenticate(
        &self,
        headers: &HeaderMap,
        settings: &Snapshot,
    ) -> Result<id::Account, Problem> {
        let key = bearer_key(headers).ok_or_else(unauthorized)?;
        let index = self.index(settings);
        let account = index.accounts.get(&hash_key(key));
        account.cloned().ok_or_else(unauthorized)
    }

    /// Returns the index for `settings`, rebuilding it if their revision is not
    /// the indexed one.
    fn index(&self, settings: &Snapshot) -> Arc<Index> {
        let index = self.index.load_full();
        if index.revision == settings.revision {
            return index;
        }
        let mut accounts = HashMap::new();
        for (name, account) in &settings.tree.accounts {
            let Ok(id) = id::Account::parse(name) else {
                continue;
            };
            let keys = account.keys.iter();
            accounts.extend(keys.map(|key| (key.hash.clone(), id.clone())));
        }
        let index = Arc::new(Index {
            revision: settings.revision,
            accounts,
        });
        self.index.store(index.clone());
        index
    }
}

/// Returns the key in `authorization: Bearer KEY`.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn unauthorized() -> Problem {
    let message = "the key is missing or not known; send authorization: Bearer KEY with a key of \
                   your client account";
    Problem::new(Kind::Unauthorized, message)
}
