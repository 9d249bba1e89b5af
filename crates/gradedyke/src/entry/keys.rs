//! From a caller's key to its client account.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::tree::hash_key;
use http::{HeaderMap, header};

use crate::current::Snapshot;

/// Client accounts by the hash of their keys, for one revision of the settings.
#[derive(Debug, Default)]
struct Table {
    revision: u64,
    accounts: HashMap<String, id::Account>,
}

/// Looks keys up. The table is made anew when the settings change.
#[derive(Debug, Default)]
pub struct Keys {
    table: ArcSwap<Table>,
}

impl Keys {
    /// The client account of the key in a request's headers.
    ///
    /// # Errors
    ///
    /// `unauthorized`, in the same words for a missing key and a wrong one.
    pub fn account(
        &self,
        headers: &HeaderMap,
        settings: &Snapshot,
    ) -> Result<id::Account, Problem> {
        let key = bearer(headers).ok_or_else(refused)?;
        let table = self.table(settings);
        let account = table.accounts.get(&hash_key(key));
        account.cloned().ok_or_else(refused)
    }

    fn table(&self, settings: &Snapshot) -> Arc<Table> {
        let table = self.table.load_full();
        if table.revision == settings.revision {
            return table;
        }
        let mut accounts = HashMap::new();
        for (name, account) in &settings.tree.accounts {
            let Ok(id) = id::Account::parse(name) else {
                continue;
            };
            let keys = account.keys.iter();
            accounts.extend(keys.map(|key| (key.hash.clone(), id.clone())));
        }
        let table = Arc::new(Table {
            revision: settings.revision,
            accounts,
        });
        self.table.store(table.clone());
        table
    }
}

/// The key in `authorization: Bearer KEY`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn refused() -> Problem {
    let message = "the key is missing or not known; send authorization: Bearer KEY with a key of \
                   your client account";
    Problem::new(Kind::Unauthorized, message)
}
