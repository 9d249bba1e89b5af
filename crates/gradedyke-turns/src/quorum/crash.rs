//! Reports requests under which backend servers ended.

use std::time::Duration;

use tokio::time::Instant;

use super::Coordinator;
use crate::crash::{Exchange, Report};
use crate::message::{self, Reply, Request};

/// How often a report is repeated that no majority has received.
const MAX_TRIES: u32 = 8;
/// Timeout of one try.
const TRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a try is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

impl Coordinator {
    /// Sends `reports` to all members. Returns whether a majority has received them; those who
    /// follow any of these learn them from it.
    pub async fn report_crashes(&self, reports: &[Report]) -> bool {
        for attempt in 0..MAX_TRIES {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            if self.try_report_crashes(reports).await {
                return true;
            }
        }
        tracing::warn!(
            event = "crashes_not_reported",
            reports = reports.len(),
            remedy = "check the keepers; other entries learn of them when they are back"
        );
        false
    }

    async fn try_report_crashes(&self, reports: &[Report]) -> bool {
        let view = self.view();
        let request = message::encode(&Request::Crashes(Exchange {
            reports: reports.to_vec(),
            ..Exchange::default()
        }));
        let deadline = Instant::now() + TRY_TIMEOUT;
        let mut replies = self.send_to_all(&view, |_| request.clone());
        let mut received = Vec::new();
        while let Ok(Some((member, reply))) =
            tokio::time::timeout_at(deadline, replies.receiver.recv()).await
        {
            if matches!(reply, Some(Reply::Crashes(_))) {
                received.push(member.disk);
            }
            if view.has_quorum(|m| received.contains(&m.disk)) {
                return true;
            }
        }
        false
    }
}
