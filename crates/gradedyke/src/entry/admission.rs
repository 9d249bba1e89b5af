//! Limits how many calls of a client account run concurrently through this
//! entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Retry delay sent with a rejection.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits concurrent calls per client account.
#[derive(Debug, Default)]
pub struct Admission {
    accounts: Mutex<HashMap<id::Account, (usize, Arc<Semaphore>)>>,
}

impl Admission {
    /// Admits a call of `account`, of which at most `limit` may run at a time.
    /// The call counts until the returned permit is dropped.
    ///
    /// # Errors
    ///
    /// `overloaded`, with a retry delay, when the limit is reached. This method
    /// never waits.
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
        let semaphore = self.semaphore(account, limit);
        semaphore.try_acquire_owned().map_err(|_| {
            let message = format!(
                "{limit} calls of your client account are in progress here, its limit; send it \
                 again when some have ended"
            );
            Problem::new(Kind::Overloaded, message).with_retry_after(RETRY_AFTER)
        })
    }

    /// Returns the semaphore of `account`, which is replaced when `limit` has
    /// changed.
    fn semaphore(&self, account: &id::Account, limit: usize) -> Arc<Semaphore> {
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        match accounts.get(account) {
            Some((known_limit, semaphore)) if *known_limit == limit => semaphore.clone(),
            // Calls in progress keep their permits of the old semaphore and do
            // not count against the new limit.
            _ => {
                let semaphore = Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS)));
                accounts.insert(account.clone(), (limit, semaphore.clone()));
                semaphore
            }
        }
    }
}
