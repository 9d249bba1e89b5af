//! Writes records to a majority and reads usage totals.

use std::time::Duration;

use bytes::Bytes;
use gradedyke_base::retry::Backoff;
use tokio::time::Instant;

use super::gathered::CollectedReplies;
use super::{Coordinator, Error};
use crate::message::{self, Reply, Request};
use crate::record::{Id, Record};
use crate::usage::{self, Total};
use crate::view::View;

/// First delay before a failed write is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between retries; callers wait meanwhile.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Writes a record; returns once a majority has it on disk. If `usage` is given, reports
    /// that usage and returns the client account's total.
    ///
    /// # Errors
    ///
    /// [`Error::TurnTooLarge`] at once, if no replica can store the record; [`Error::NoQuorum`] if
    /// no majority acknowledged by the deadline. After the latter replicas may have stored the
    /// record nevertheless.
    pub async fn store(
        &self,
        record: &Record,
        usage: Option<&usage::Report>,
        deadline: Instant,
    ) -> Result<Option<Total>, Error> {
        if !record.is_storable() {
            return Err(Error::TurnTooLarge(record.body_bytes()));
        }
        let mut backoff = Backoff::unlimited(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            let view = self.view();
            let request = message::encode(&Request::Keep {
                view: view.version,
                record: record.clone(),
                usage: usage.cloned(),
            });
            metrics::counter!("gradedyke_kept_tries_total").increment(1);
            match self.send_to_quorum(&view, request, deadline).await {
                Some(Err(_)) if Instant::now() < deadline => {
                    tokio::time::sleep(backoff.next_delay(rand::random())).await;
                }
                Some(result) => return result,
                None => {}
            }
        }
    }

    /// Reports usage admitted for client accounts to all members and returns the largest total
    /// among the replies of a majority.
    ///
    /// # Errors
    ///
    /// [`Error::NoQuorum`] if no majority acknowledged by the deadline.
    pub async fn report_usage(
        &self,
        report: &usage::Report,
        deadline: Instant,
    ) -> Result<Option<Total>, Error> {
        let request = message::encode(&Request::Usage(report.clone()));
        let view = self.view();
        let result = self.send_to_quorum(&view, request, deadline).await;
        // Replicas never reply `Stale` to `Usage`, so there always is a result.
        result.unwrap_or(Err(Error::Indeterminate))
    }

    /// Reports to all members that a turn still runs, so that they retain the turn `parent` and
    /// the attempts of `program`. Doesn't wait for them; a member that misses it retains both until
    /// some time after the last report, or gets them from the others.
    pub fn hold(&self, parent: Option<&Id>, program: Option<&Id>) {
        let request = message::encode(&Request::Hold {
            parent: parent.cloned(),
            program: program.cloned(),
        });
        self.send_to_all(&self.view(), |_| request.clone());
    }

    /// Sends a request to all members and waits for a majority; `None` if a replica reported
    /// that `view` is stale.
    pub(super) async fn send_to_quorum(
        &self,
        view: &View,
        request: Bytes,
        deadline: Instant,
    ) -> Option<Result<Option<Total>, Error>> {
        let mut collected = CollectedReplies::new(view);
        let mut replies = self.send_to_all(view, |_| request.clone());
        while !collected.has_quorum() {
            let next = tokio::time::timeout_at(deadline, replies.receiver.recv()).await;
            let Ok(Some((member, reply))) = next else {
                break;
            };
            if let Some(Reply::Stale(view)) = &reply {
                self.update_view(view);
                return None;
            }
            collected.add(&member, reply);
        }
        if collected.has_quorum() {
            return Some(Ok(collected.usage));
        }
        let (acknowledged, needed) = (collected.active_acks, collected.required_acks);
        Some(Err(Error::NoQuorum {
            acknowledged,
            needed,
        }))
    }
}
