//! How many calls of a client account run at a time through this entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// When to come back after a refusal.
const COME_BACK: Duration = Duration::from_secs(1);

/// Counts calls in progress.
#[derive(Debug, Default)]
pub struct Admission {
    accounts: Mutex<HashMap<id::Account, (usize, Arc<Semaphore>)>>,
}

impl Admission {
    /// Admits a call of `account`, of which `limit` may be in progress. The
    /// call is over when the permit is dropped.
    ///
    /// # Errors
    ///
    /// `overloaded`, at once, with when to come back.
    ///
    /// ```
    /// use gradedyke::entry::admission::Admission;
    /// use gradedyke_base::id::Account;
    ///
    /// let admission = Admission::default();
    /// let jordan = Account::parse("jordan").unwrap();
    /// let first = admission.admit(&jordan, 1).unwrap();
    /// assert!(admission.admit(&jordan, 1).is_err());
    /// drop(first);
    /// assert!(admission.admit(&jordan, 1).is_ok());
    /// ```
    pub fn admit(
        &self,
        account: &id::Account,
        limit: usize,
    ) -> Result<OwnedSemaphorePermit, Problem> {
        let permits = self.permits(account, limit);
        permits.try_acquire_owned().map_err(|_| {
            let message = format!(
                "{limit} calls of your client account are in progress here, its limit; send it \
                 again when some have ended"
            );
            Problem::new(Kind::Overloaded, message).retry_after(COME_BACK)
        })
    }

    fn permits(&self, account: &id::Account, limit: usize) -> Arc<Semaphore> {
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        match accounts.get(account) {
            Some((known, permits)) if *known == limit => permits.clone(),
            // A changed limit counts anew; calls in progress end under the old one.
            _ => {
                let permits = Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS)));
                accounts.insert(account.clone(), (limit, permits.clone()));
                permits
            }
        }
    }
}
