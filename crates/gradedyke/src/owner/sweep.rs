//! Periodically ends idle programs, removes programs that ended long ago and trims
//! logs.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Owner;
use super::holding::ServedSlot;
use super::session::Session;
use crate::program::record::{Reason, Record};

/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// How long the answers of an ended program stay available.
const ANSWER_RETENTION: Duration = Duration::from_secs(600);

/// Sweeps until the process stops.
pub(super) async fn run(owner: Arc<Owner>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = owner.stop.cancelled() => return,
        }
        owner.sweep(Instant::now()).await;
    }
}

impl Owner {
    /// Ends trees that have been idle for too long as of `now`, removes trees that
    /// ended long ago, and trims the logs of slots that have become empty.
    pub async fn sweep(self: &Arc<Self>, now: Instant) {
        for served_slot in self.all_served_slots() {
            for session in served_slot.sessions() {
                if !session.is_idle() {
                    continue;
                }
                let idle_time = now.saturating_duration_since(session.last_activity());
                if session.has_ended() {
                    remove_expired(&served_slot, &session, idle_time).await;
                } else if idle_time >= self.idle_timeout(&session) {
                    self.end_idle(&served_slot, &session).await;
                }
            }
            if let Some(before) = served_slot.take_trim_index() {
                served_slot.log.trim(&self.journal, before).await;
            }
        }
    }

    /// Returns the idle timeout of a tree, which is that of its root's agent
    /// program.
    fn idle_timeout(&self, session: &Session) -> Duration {
        let programs = session.programs();
        let root = programs.first().map(|(key, ..)| *key);
        let effective = root.and_then(|key| self.effective_settings(session, key).ok());
        let ms = effective.map_or(
            gradedyke_base::settings::tree::DEFAULT_IDLE_TIMEOUT_MS,
            |e| e.idle_ms,
        );
        Duration::from_millis(ms)
    }

    async fn end_idle(self: &Arc<Self>, served_slot: &Arc<ServedSlot>, session: &Arc<Session>) {
        let programs = session.programs();
        let Some((_, root, _)) = programs.first() else {
            return;
        };
        tracing::info!(event = "program_idle", account = %session.account, program = %root);
        // If the slot moves meanwhile, the new owner ends the programs.
        let _ = self.end(served_slot, session, root, Reason::Idle).await;
    }
}

async fn remove_expired(served_slot: &ServedSlot, session: &Session, idle_time: Duration) {
    if idle_time < ANSWER_RETENTION {
        return;
    }
    let programs = session.programs();
    let Some((_, root, _)) = programs.first() else {
        return;
    };
    let record = Record::Forgotten {
        program: root.clone(),
    };
    if served_slot.append(&record).await.is_ok() {
        served_slot.remove(root);
    }
}
