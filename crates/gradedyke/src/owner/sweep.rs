//! Periodically ends idle programs, removes programs that ended long ago and trims
//! logs.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Owner;
use super::holding::Holding;
use super::session::Session;
use crate::program::record::{Record, Why};

/// Interval between sweeps.
const ROUND: Duration = Duration::from_secs(5);
/// How long the answers of an ended program stay available.
const RETENTION: Duration = Duration::from_secs(600);

/// Sweeps until the process stops.
pub(super) async fn run(owner: Arc<Owner>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(ROUND) => {}
            () = owner.stop.cancelled() => return,
        }
        owner.sweep(Instant::now()).await;
    }
}

impl Owner {
    /// Ends trees that have been idle for too long as of `now`, removes trees that
    /// ended long ago, and trims the logs of slots that have become empty.
    pub async fn sweep(self: &Arc<Self>, now: Instant) {
        for holding in self.all() {
            for session in holding.sessions() {
                if !session.idle() {
                    continue;
                }
                let quiet = now.saturating_duration_since(session.touched());
                if session.ended() {
                    forget(&holding, &session, quiet).await;
                } else if quiet >= self.idle_time(&session) {
                    self.end_idle(&holding, &session).await;
                }
            }
            if let Some(before) = holding.trimmable() {
                holding.log.trim(&self.journal, before).await;
            }
        }
    }

    /// Returns the idle timeout of a tree, which is that of its root's agent
    /// program.
    fn idle_time(&self, session: &Session) -> Duration {
        let programs = session.programs();
        let root = programs.first().map(|(key, ..)| *key);
        let effective = root.and_then(|key| self.effective(session, key).ok());
        let ms = effective.map_or(gradedyke_base::settings::tree::IDLE_MS, |e| e.idle_ms);
        Duration::from_millis(ms)
    }

    async fn end_idle(self: &Arc<Self>, holding: &Arc<Holding>, session: &Arc<Session>) {
        let programs = session.programs();
        let Some((_, root, _)) = programs.first() else {
            return;
        };
        tracing::info!(event = "program_idle", account = %session.account, program = %root);
        // If the slot moves meanwhile, the new owner ends the programs.
        let _ = self.end(holding, session, root, Why::Idle).await;
    }
}

async fn forget(holding: &Holding, session: &Session, quiet: Duration) {
    if quiet < RETENTION {
        return;
    }
    let programs = session.programs();
    let Some((_, root, _)) = programs.first() else {
        return;
    };
    let record = Record::Forgotten {
        program: root.clone(),
    };
    if holding.keep(&record).await.is_ok() {
        holding.remove(root);
    }
}
