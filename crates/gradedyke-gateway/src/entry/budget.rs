//! Reports token usage against a program's budget to the keepers.

use std::time::Duration;

use gradedyke_turns::record::{Id, Reserved, Settled};

use super::Entry;
use super::call::Call;

/// Retention of budget records on routes that store no turns.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// Tokens that a request reserved in its program's budget; empty without a budget.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    reserved: Option<Reserved>,
}

impl Reservation {
    /// Creates a reservation. `reserved` is `None` if the request has no budget.
    pub(super) fn new(reserved: Option<Reserved>) -> Self {
        Self { reserved }
    }

    /// Returns the program, if the request has a budget.
    pub(super) fn program(&self) -> Option<Id> {
        self.reserved.as_ref().map(|r| r.program.clone())
    }

    /// Reports in the background how many of the reserved tokens were used.
    pub(super) fn settle(&self, entry: &Entry, tokens: u32) {
        let Some(reserved) = &self.reserved else {
            return;
        };
        entry.quorum.settle(Settled {
            tokens,
            ..Settled::release(reserved)
        });
    }
}

/// Returns how long records of the call are stored, in milliseconds.
pub(super) fn retention_ms(call: &Call) -> u32 {
    let retention = call.route.retention.unwrap_or(DEFAULT_RETENTION);
    u32::try_from(retention.as_millis()).unwrap_or(u32::MAX)
}
