//! How records are kept, and sums of use asked for.

use std::time::Duration;

use bytes::Bytes;
use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::gathered::Gathered;
use super::{Quorum, Refusal};
use crate::message::{self, Reply, Request};
use crate::record::Record;
use crate::usage::{self, Total};
use crate::view::View;

/// Wait before a record is brought to a majority again, the first time: a few syncs of a
/// slow disk.
const KEPT_AGAIN: Duration = Duration::from_millis(50);
/// The longest such wait: callers are held meanwhile, for 2 s at most.
const LONGEST: Duration = Duration::from_millis(1_000);

impl Quorum {
    /// Keeps a record; returns once a majority has it on disk, with the sum of use that
    /// `usage` asks for.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoQuorum`]; the record may be kept all the same.
    pub async fn keep(
        &self,
        record: &Record,
        usage: Option<&usage::Report>,
        until: Instant,
    ) -> Result<Option<Total>, Refusal> {
        let mut backoff = Backoff::endless(KEPT_AGAIN, LONGEST);
        loop {
            let view = self.view();
            let request = message::encode(&Request::Keep {
                view: view.version,
                record: record.clone(),
                usage: usage.cloned(),
            });
            metrics::counter!("gradedyke_kept_tries_total").increment(1);
            match self.tell(&view, request, until).await {
                Some(Err(_)) if Instant::now() < until => {
                    tokio::time::sleep(backoff.step(rand::random())).await;
                }
                Some(result) => return result,
                None => {}
            }
        }
    }

    /// Tells what was let through for client accounts, and asks a majority for a sum.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoQuorum`].
    pub async fn used(
        &self,
        report: &usage::Report,
        until: Instant,
    ) -> Result<Option<Total>, Refusal> {
        let request = message::encode(&Request::Usage(report.clone()));
        let view = self.view();
        let told = self.tell(&view, request, until).await;
        told.unwrap_or(Err(Refusal::Unsure))
    }

    /// Sends a request to all members and waits for a majority; `None` when the view
    /// turned out to be old.
    pub(super) async fn tell(
        &self,
        view: &View,
        request: Bytes,
        until: Instant,
    ) -> Option<Result<Option<Total>, Refusal>> {
        let mut gathered = Gathered::new(view);
        let mut answers = self.ask(view, |_| request.clone());
        while !gathered.has_quorum() {
            let next = tokio::time::timeout_at(until, answers.receiver.recv()).await;
            let Ok(Some((member, reply))) = next else {
                break;
            };
            if let Some(Reply::Stale(view)) = &reply {
                self.learn(view);
                return None;
            }
            gathered.take(&member, reply);
        }
        if gathered.has_quorum() {
            return Some(Ok(gathered.usage));
        }
        let (answered, needed) = (gathered.answered, gathered.needed);
        Some(Err(Refusal::NoQuorum { answered, needed }))
    }
}
