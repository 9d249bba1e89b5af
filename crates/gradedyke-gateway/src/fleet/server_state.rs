//! The state of one backend server as this entry sees it.

use std::sync::Arc;
use std::time::Duration;

use gradedyke_turns::load::{self, ServerLoad};
use gradedyke_turns::record::Id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Server;
use crate::link::Pool;
use gradedyke_policy::estimate::{LatencyRatioSum, Times};
use gradedyke_policy::health::{Counts, Health, HealthReport};
use gradedyke_policy::owners;
use gradedyke_policy::placement::pace::Pace;
use gradedyke_policy::prefix::Cache;
use gradedyke_policy::window::Window;

/// Number of other entries that must report a server as unreachable before it is avoided. More
/// than one, because a single entry may be partitioned.
const MIN_UNREACHABLE_REPORTS: u32 = 2;
/// Time that servers have to renew their records after the directory becomes available again.
/// Twice the interval at which they write them, and network latency.
const DIRECTORY_RECOVERY_GRACE: Duration = Duration::from_millis(2_500);
/// How long a server is kept as a fallback after its record was deleted while the
/// directory was available. The server must get no requests later than
/// [`Settings::drain_ms`](crate::settings::Settings::drain_ms) after the deletion.
const UNLISTED_GRACE: Duration = Duration::from_millis(1_000);

/// Bucket duration of the latencies that a server's own pace follows from. With 3 s, turns took 7%
/// to 11% longer than with equal treatment after fast engines had become slow.
const PACE_BUCKET_DURATION: Duration = Duration::from_millis(750);

/// Maximum number of previous incarnations of a server whose start times are remembered, to
/// recognize records that arrive late.
const MAX_PREVIOUS_START_TIMES: usize = 8;

/// Whether the directory has a record of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DirectoryState {
    Listed,
    /// The record was found deleted at this time. The server remains a fallback for a while.
    Unlisted(Instant),
}

/// A backend server with its connections, load and health.
pub(super) struct ServerState {
    pub(super) server: Server,
    /// ID of the current run of the server's process.
    pub(super) incarnation: Id,
    /// Hash of the incarnation that orders the owners of prompt parts.
    pub(super) owner_hash: u64,
    /// Start times of previous incarnations in Unix milliseconds, oldest first.
    pub(super) previous_starts_ms: Vec<u64>,
    /// Cancelled when the process has ended.
    pub(super) process_ended: CancellationToken,
    /// Whether its current record is invalid. It then gets no new requests.
    pub(super) is_unreadable: bool,
    pub(super) directory_state: DirectoryState,
    /// When its warm-up ends.
    pub(super) warm_up_end: Instant,
    pub(super) pool: Arc<Pool>,
    /// Requests in flight from this entry.
    pub(super) in_flight: u32,
    /// Load from other entries, as last reported.
    pub(super) peer_load: ServerLoad,
    pub(super) health: Health,
    /// Recent latencies relative to those expected for the service.
    pub(super) latency: Window<LatencyRatioSum>,
    /// The same over a shorter time, so that a change of the server's pace is soon noticed.
    pub(super) recent_latency: Window<LatencyRatioSum>,
    /// Whether the servers of its service differ in pace. Then `recent_latency` is used instead of
    /// `latency`.
    pub(super) has_own_pace: bool,
    /// Estimated contents of its prompt cache, if it is an engine.
    pub(super) cache: Cache,
    /// Whether another server responds at its address, although its record still exists.
    pub(super) is_replaced: bool,
}

impl ServerState {
    /// Creates the state of a server whose record was read at `read_at`.
    pub(super) fn new(server: Server, read_at: Instant) -> Self {
        Self {
            directory_state: DirectoryState::Listed,
            warm_up_end: Self::warm_up_end(&server, read_at),
            owner_hash: owners::hash(&server.incarnation()),
            incarnation: server.incarnation(),
            previous_starts_ms: Vec::new(),
            process_ended: CancellationToken::new(),
            is_unreadable: false,
            pool: Arc::new(Pool::new(server.address)),
            in_flight: 0,
            peer_load: ServerLoad::default(),
            health: Health::default(),
            latency: Window::default(),
            recent_latency: Window::new(PACE_BUCKET_DURATION),
            has_own_pace: false,
            cache: Cache::default(),
            is_replaced: false,
            server,
        }
    }

    /// When a server's warm-up ends, if its record was read at `read_at`. The record was
    /// written earlier, so the warm-up ends no later than this.
    pub(super) fn warm_up_end(server: &Server, read_at: Instant) -> Instant {
        read_at
            .checked_add(server.remaining_warm_up)
            .unwrap_or(read_at)
    }

    pub(super) fn is_warm(&self, now: Instant) -> bool {
        now >= self.warm_up_end
    }

    /// Number of requests that ended at the server recently, over all entries.
    pub(super) fn recently_ended(&self, now: Instant) -> u32 {
        self.health.report(now).counts.requests + self.peer_load.ended
    }

    /// Whether a record was written by a previous incarnation of this server and arrived late.
    /// Neither the order of writes in the store nor the order of start times shows that,
    /// because clocks may be set back.
    pub(super) fn is_from_previous_incarnation(&self, server: &Server) -> bool {
        let started_ms = server.started_ms;
        started_ms.is_some_and(|ms| self.previous_starts_ms.contains(&ms))
    }

    /// Whether a record was written by another incarnation than the current one.
    pub(super) fn is_other_incarnation(&self, server: &Server) -> bool {
        self.server.started_ms != server.started_ms
    }

    /// Creates the state of the incarnation that replaces this one.
    pub(super) fn successor(&self, server: Server, read_at: Instant) -> Self {
        let mut previous_starts_ms = self.previous_starts_ms.clone();
        previous_starts_ms.extend(self.server.started_ms);
        let excess = previous_starts_ms
            .len()
            .saturating_sub(MAX_PREVIOUS_START_TIMES);
        previous_starts_ms.drain(..excess);
        Self {
            previous_starts_ms,
            ..Self::new(server, read_at)
        }
    }

    /// Whether an unlisted server is to be removed. `available_since` is when the directory
    /// became available, or `None` if it is not: then no server expires. After an outage,
    /// running servers get time to renew their records.
    pub(super) fn is_expired(&self, available_since: Option<Instant>, now: Instant) -> bool {
        let DirectoryState::Unlisted(unlisted) = self.directory_state else {
            return false;
        };
        let expiry = unlisted + UNLISTED_GRACE;
        match available_since {
            None => false,
            Some(since) if unlisted < since + DIRECTORY_RECOVERY_GRACE => {
                now >= expiry.max(since + DIRECTORY_RECOVERY_GRACE)
            }
            Some(_) => now >= expiry,
        }
    }

    /// The load and failures that this entry reports to others.
    pub(super) fn load_report(&self, now: Instant) -> ServerLoad {
        let health = self.health.report(now);
        let latency = self.own_latency(now);
        ServerLoad {
            server: load::server_hash(&self.incarnation),
            requests: self.in_flight,
            failures: health.counts.failures,
            ended: health.counts.requests,
            unreached: health.unreachable,
            paced: latency.responses,
            pace: latency.ratio_hundredths,
        }
    }

    /// Known number of requests in flight at the server, over all entries.
    pub(super) fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peer_load.requests
    }

    /// This entry's recent latencies relative to those expected.
    fn own_latency(&self, now: Instant) -> LatencyRatioSum {
        if self.has_own_pace {
            self.recent_latency.sum(now)
        } else {
            self.latency.sum(now)
        }
    }

    /// Records a latency relative to the expected one.
    pub(super) fn record_latency(&mut self, ratio: f64, now: Instant) {
        let sum = LatencyRatioSum::from_ratio(ratio);
        self.latency.add(sum, now);
        self.recent_latency.add(sum, now);
    }

    /// Recent latencies relative to those expected, over all entries.
    pub(super) fn latency_sum(&self, now: Instant) -> LatencyRatioSum {
        let peer_latency = LatencyRatioSum {
            responses: self.peer_load.paced,
            ratio_hundredths: self.peer_load.pace,
        };
        self.own_latency(now) + peer_latency
    }

    /// Recent latency relative to what is expected, over all entries; 1 is normal.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        self.latency_sum(now).slowness()
    }

    /// Its pace relative to its service, whose times are `times`. The load of the other entries
    /// was received at `load_known_at`.
    pub(super) fn pace(&self, times: &Times, load_known_at: Instant, now: Instant) -> Pace {
        let ratio = self.slowness(now);
        let age = now.saturating_duration_since(load_known_at);
        let peer_requests = self.peer_load.requests;
        Pace::new(
            ratio,
            peer_requests,
            self.server.slots,
            &times.scaled(ratio),
            age,
        )
    }

    /// This entry's share of the server's recent requests, 0 to 1. Estimates how much
    /// of the server's prompt cache this entry's requests occupy.
    pub(super) fn own_request_share(&self, now: Instant) -> f64 {
        let own = f64::from(self.health.report(now).counts.requests + 1);
        own / (own + f64::from(self.peer_load.ended))
    }

    /// Health as reported by other entries.
    pub(super) fn peer_health(&self) -> HealthReport {
        HealthReport {
            counts: Counts {
                failures: self.peer_load.failures,
                requests: self.peer_load.ended,
            },
            unreachable: self.peer_load.unreached,
        }
    }

    /// Estimated share of requests that fail at the server, 0 to 1.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        self.health.failure_rate(self.peer_health(), now)
    }

    /// Whether it was announced that the server ends.
    pub(super) fn is_leaving(&self) -> bool {
        self.server.is_draining || self.directory_state != DirectoryState::Listed
    }

    /// Whether the server gets requests now, apart from evacuations.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let has_left = self.server.is_draining || self.is_unreadable || self.is_replaced;
        !has_left && self.directory_state == DirectoryState::Listed && !self.is_avoided(now)
    }

    /// Whether the server is to be avoided while others are available.
    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        self.health.is_backing_off(now) || self.peer_load.unreached >= MIN_UNREACHABLE_REPORTS
    }
}
