//! Limits the request rate of servers that are warming up.
//!
//! A server that has just started can handle only a few requests per second, over all
//! entries together. Entries do not coordinate each request. Instead, each one
//! considers a warming server for a random fraction of its requests, chosen so that the average
//! total rate is `TARGET_UTILIZATION` of the limit.

use gradedyke_policy::health::Counts;
use gradedyke_policy::window;

/// Target average rate, as a fraction of the maximum rate.
const TARGET_UTILIZATION: f64 = 0.6;

/// The load of a service over all entries.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Whether the load from other entries is known.
    pub has_peer_load: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that ended within the window, which covers one to three times
    /// [`window::BUCKET_DURATION`].
    pub recently_ended: u32,
    /// Expected duration of a request, in milliseconds.
    pub response_ms: f64,
    /// Number of warming servers that could run the request, including those that are
    /// not in its sample.
    pub warming_servers: u32,
    /// Recent requests at this entry; those that found no server count as failures.
    pub recent_requests: Counts,
}

impl ServiceLoad {
    /// Arrival rate of requests, per second. Requests that found no server are included
    /// on the assumption that other entries have the same share of them.
    fn requests_per_s(&self) -> f64 {
        let requests = f64::from(self.recent_requests.requests.max(1));
        let placed =
            f64::from((self.recent_requests.requests - self.recent_requests.failures).max(1));
        self.served_per_s() * requests / placed
    }

    /// Rate of requests that run, per second: the larger of the completion rate and the
    /// rate implied by the requests in flight, which rises first in a burst.
    fn served_per_s(&self) -> f64 {
        let ended = f64::from(self.recently_ended) / window::BUCKET_DURATION.as_secs_f64();
        let started = f64::from(self.in_flight) * 1e3 / self.response_ms.max(1.0);
        ended.max(started).max(1.0)
    }
}

/// A server that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct WarmingServer {
    /// Requests in flight at the server.
    pub in_flight: u32,
    /// Hash of the request and server IDs, used as a random number.
    pub hash: u64,
}

/// Whether a hash lies in the lowest `fraction` of all values.
fn is_selected(hash: u64, fraction: f64) -> bool {
    (hash as f64) < fraction * u64::MAX as f64
}

/// Indices of the candidates that may run the request, where each can handle `max_rate_per_s`
/// requests per second. `has_warm_server` says whether a server that has warmed up is
/// available.
///
/// ```
/// use gradedyke_gateway::fleet::slow_start::{WarmingServer, ServiceLoad, eligible_indices};
/// use gradedyke_policy::health::Counts;
///
/// let recent_requests = Counts::default();
/// let load = ServiceLoad {
///     has_peer_load: true, in_flight: 60, recently_ended: 900, response_ms: 200.0,
///     warming_servers: 1, recent_requests,
/// };
/// let candidate = |hash| WarmingServer { in_flight: 0, hash };
/// // The server gets 12 of 300 requests per second.
/// assert_eq!(eligible_indices(&[candidate(u64::MAX / 30)], 20.0, &load, true), [0]);
/// assert!(eligible_indices(&[candidate(u64::MAX / 20)], 20.0, &load, true).is_empty());
/// ```
pub fn eligible_indices(
    candidates: &[WarmingServer],
    max_rate_per_s: f64,
    load: &ServiceLoad,
    has_warm_server: bool,
) -> Vec<usize> {
    if has_warm_server && !load.has_peer_load {
        return Vec::new();
    }
    let fraction = (max_rate_per_s * TARGET_UTILIZATION / load.requests_per_s()).min(1.0);
    let max_in_flight = (max_rate_per_s * TARGET_UTILIZATION * load.response_ms / 1e3).max(1.0);
    let has_room = |index: &usize| f64::from(candidates[*index].in_flight) < max_in_flight;
    let with_room: Vec<usize> = (0..candidates.len()).filter(has_room).collect();
    let selected = with_room.iter().copied();
    let selected: Vec<usize> = selected
        .filter(|index| is_selected(candidates[*index].hash, fraction))
        .collect();
    let has_capacity = fraction * f64::from(load.warming_servers) >= 1.0;
    if !selected.is_empty() || has_warm_server || !has_capacity {
        return selected;
    }
    // All servers are warming up and together can handle the load, so one of them must
    // take the request.
    let lowest = with_room
        .into_iter()
        .min_by_key(|index| candidates[*index].hash);
    lowest.into_iter().collect()
}
