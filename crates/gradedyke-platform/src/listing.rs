//! Reads all keys of a key-value service that returns them in pages.
//!
//! The service is shared with other writers, and nothing that they write may keep this process
//! from its own keys. A page that the service answers with an error or cannot be read is skipped:
//! the listing goes on at the next of some known keys, and the keys that must be known are read one
//! by one. What was left out is part of the result, so that no key counts as deleted that was not
//! read. While the service does not answer at all, the listing fails.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;

use crate::kv::{Entry, Error, KeyRange, Listing, Revision};

/// Largest size of the keys and values that are read between two resume points, in bytes. It limits
/// the memory for keys of other writers.
const MAX_SEGMENT_BYTES: usize = 16 << 20;
/// Number of failures in a row at the same page after which it is skipped, although the failure may
/// be that of the network.
const MAX_PAGE_FAILURES: u32 = 3;
/// Number of failed pages that are remembered.
const MAX_FAILED_PAGES: usize = 64;

/// A page of keys in their order.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// The service's revision when the page was read.
    pub revision: Revision,
    /// The key after which the next page starts; `None` if this is the last page.
    pub next: Option<String>,
}

/// Calls that read a service in pages.
#[async_trait]
pub trait Pages: Send + Sync {
    /// Reads the page that starts after the key `after`.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read.
    async fn page(&self, after: &str) -> Result<Page, Error>;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;
}

/// Reads listings of one service.
#[derive(Debug)]
pub struct Reader {
    /// Keys in ascending order after which a listing may go on.
    resume_points: Vec<String>,
    /// Keys without which a listing is of no use.
    required: Vec<String>,
    /// How often in a row pages failed, by the key after which each starts.
    failures: Mutex<HashMap<String, u32>>,
}

impl Reader {
    /// Creates a reader that goes on at `resume_points` after a page that cannot be read, and reads
    /// the `required` keys by themselves if they are on such a page.
    pub fn new(resume_points: &[&str], required: &[&str]) -> Self {
        let mut resume_points: Vec<String> =
            resume_points.iter().map(|p| (*p).to_owned()).collect();
        resume_points.sort_unstable();
        Self {
            resume_points,
            required: required.iter().map(|k| (*k).to_owned()).collect(),
            failures: Mutex::default(),
        }
    }

    /// Reads all keys that begin with `prefix`, as far as `pages` has them.
    ///
    /// # Errors
    ///
    /// Any [`Error`] of a read, if the service does not answer, or a required key cannot be read.
    pub async fn list(&self, pages: &dyn Pages, prefix: &str) -> Result<Listing, Error> {
        let mut listing = Listing::default();
        let mut last_error = None;
        let mut after = String::new();
        let mut segment_bytes = 0;
        loop {
            let error = match read_page(pages, &after, &mut listing, &mut segment_bytes).await {
                Ok(next) => {
                    self.lock_failures().remove(&after);
                    let Some(next) = next else { break };
                    after = next;
                    continue;
                }
                Err(error) => error,
            };
            if !self.is_to_be_skipped(&error, &after, listing.revision > 0) {
                return Err(error);
            }
            let resume_at = self.resume_point_after(&after, prefix);
            tracing::warn!(event = "page_not_read", after, resume_at, %error,
                remedy = "find out which key of the store follows, and who writes it");
            listing.unread.push(KeyRange {
                after,
                until: resume_at.map(str::to_owned),
            });
            last_error = Some(error);
            let Some(resume_at) = resume_at else { break };
            after = resume_at.to_owned();
            segment_bytes = 0;
        }
        // Without any page there is no revision from which changes could be followed.
        if let Some(error) = last_error.filter(|_| listing.revision == 0) {
            return Err(error);
        }
        self.read_required(pages, &mut listing).await?;
        Ok(listing)
    }

    fn lock_failures(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the listing goes on behind a page that failed. `is_answering` says whether the
    /// service answered in this listing before.
    fn is_to_be_skipped(&self, error: &Error, after: &str, is_answering: bool) -> bool {
        let mut failures = self.lock_failures();
        if failures.len() >= MAX_FAILED_PAGES {
            failures.clear();
        }
        let count = failures.entry(after.to_owned()).or_default();
        *count += 1;
        let may_be_network = matches!(error, Error::OutcomeUnknown(_));
        let failed_again = *count >= MAX_PAGE_FAILURES;
        error.is_persistent() || (may_be_network && is_answering && failed_again)
    }

    fn resume_point_after(&self, after: &str, prefix: &str) -> Option<&str> {
        let mut points = self.resume_points.iter().map(String::as_str);
        points.find(|p| *p > after && p.starts_with(prefix))
    }

    /// Reads the required keys that are on pages that were not read.
    async fn read_required(&self, pages: &dyn Pages, listing: &mut Listing) -> Result<(), Error> {
        for key in &self.required {
            let is_listed = listing.entries.iter().any(|e| e.key == *key);
            if listing.is_unread(key) && !is_listed {
                listing.entries.extend(pages.get(key).await?);
            }
        }
        Ok(())
    }
}

/// Reads the page after `after` into `listing`. Returns the key after which the next one starts.
async fn read_page(
    pages: &dyn Pages,
    after: &str,
    listing: &mut Listing,
    segment_bytes: &mut usize,
) -> Result<Option<String>, Error> {
    let page = pages.page(after).await?;
    // The pages are not one snapshot, so a watch must start at the first page's revision.
    if listing.revision == 0 {
        listing.revision = page.revision;
    }
    let sizes = page.entries.iter().map(|e| e.key.len() + e.value.len());
    *segment_bytes += sizes.sum::<usize>();
    listing.entries.extend(page.entries);
    let Some(next) = page.next else {
        return Ok(None);
    };
    if next.as_str() <= after {
        let cause =
            format!("the page after {after:?} ends at {next:?}, so the next one repeats it");
        return Err(Error::Unreadable(cause));
    }
    if *segment_bytes > MAX_SEGMENT_BYTES {
        let cause = format!("the keys up to {next:?} have over {MAX_SEGMENT_BYTES} bytes");
        return Err(Error::Unreadable(cause));
    }
    Ok(Some(next))
}
