//! Has the keepers retain what a turn needs while it runs.
//!
//! A turn may take longer than the rest of the time for which the turn that it continues is
//! retained, or its program's use of tokens. Beginning it holds both for a time that covers nearly
//! all turns without another call; longer ones report at an interval.

use std::sync::Arc;

use gradedyke_turns::quorum::Coordinator;
use gradedyke_turns::record::Id;
use gradedyke_turns::replica::HOLD_INTERVAL;
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// The turn that a running one continues, and its program.
pub(super) struct Hold {
    quorum: Arc<Coordinator>,
    parent: Option<Id>,
    program: Option<Id>,
    interval: Interval,
}

impl Hold {
    /// Creates the hold of a turn that began at `now`.
    pub(super) fn new(
        quorum: &Arc<Coordinator>,
        parent: Option<Id>,
        program: Option<Id>,
        now: Instant,
    ) -> Self {
        let mut interval = tokio::time::interval_at(now + HOLD_INTERVAL, HOLD_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            quorum: quorum.clone(),
            parent,
            program,
            interval,
        }
    }

    /// Runs `future`, a part of the turn, and reports meanwhile that the turn runs.
    pub(super) async fn during<F: Future>(&mut self, future: F) -> F::Output {
        tokio::pin!(future);
        let needs_nothing = self.parent.is_none() && self.program.is_none();
        loop {
            tokio::select! {
                biased;
                output = &mut future => return output,
                _ = self.interval.tick(), if !needs_nothing => {
                    self.quorum.hold(self.parent.as_ref(), self.program.as_ref());
                }
            }
        }
    }
}
