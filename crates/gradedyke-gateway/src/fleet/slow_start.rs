//! Which servers that warm up may run a request.
//!
//! A server that has just started bears few requests a second, from all entries together.
//! Entries do not ask each other before each request. Each lets a server that warms up take
//! part in a random share of the requests, so small that all entries together stay below
//! what it bears, also where some of them know the load a few seconds late.

use crate::health::Counts;
use crate::window;

/// Share of what a server bears while it warms up that it is sent on average. Requests come
/// at random, and the sum over any one second must stay below what it bears.
const USED: f64 = 0.6;

/// The load of a service, over all entries.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Whether the other entries' load is known.
    pub shared: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that ended in the last [`window::SPAN`] or a little longer.
    pub ended_lately: u32,
    /// Usual time of a request, in milliseconds.
    pub answer_ms: f64,
    /// Servers that warm up and may run the request, weighed for it or not.
    pub warming: u32,
    /// Requests of late at this entry, with those that found no server as failures.
    pub asked: Counts,
}

impl Load {
    /// Requests a second: what ended lately, or what is in progress if that is more, as at
    /// the beginning of a burst; and what found no server, if others fare as this entry.
    fn per_second(&self) -> f64 {
        let asked = f64::from(self.asked.requests.max(1));
        let found = f64::from((self.asked.requests - self.asked.failures).max(1));
        self.served_per_second() * asked / found
    }

    fn served_per_second(&self) -> f64 {
        let ended = f64::from(self.ended_lately) / window::SPAN.as_secs_f64();
        let started = f64::from(self.in_flight) * 1e3 / self.answer_ms.max(1.0);
        ended.max(started).max(1.0)
    }
}

/// A server that warms up.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in progress there.
    pub in_flight: u32,
    /// A random number that follows from the request's name and the server's.
    pub draw: u64,
}

/// Whether a random number lies in the first `share` of all numbers.
fn drawn(draw: u64, share: f64) -> bool {
    (draw as f64) < share * u64::MAX as f64
}

/// The places of the candidates that may run the request, where each bears `rate` requests a
/// second. `warm` says whether there are servers that have warmed up.
///
/// ```
/// use gradedyke_gateway::fleet::slow_start::{Candidate, Load, choose};
/// use gradedyke_gateway::health::Counts;
///
/// let asked = Counts::default();
/// let load = Load {
///     shared: true, in_flight: 60, ended_lately: 900, answer_ms: 200.0, warming: 1, asked,
/// };
/// let candidate = |draw| Candidate { in_flight: 0, draw };
/// // 12 of 300 requests a second.
/// assert_eq!(choose(&[candidate(u64::MAX / 30)], 20.0, &load, true), [0]);
/// assert!(choose(&[candidate(u64::MAX / 20)], 20.0, &load, true).is_empty());
/// ```
pub fn choose(candidates: &[Candidate], rate: f64, load: &Load, warm: bool) -> Vec<usize> {
    if warm && !load.shared {
        return Vec::new();
    }
    let share = (rate * USED / load.per_second()).min(1.0);
    let most = (rate * USED * load.answer_ms / 1e3).max(1.0);
    let room = |place: &usize| f64::from(candidates[*place].in_flight) < most;
    let roomy: Vec<usize> = (0..candidates.len()).filter(room).collect();
    let chosen = roomy.iter().copied();
    let chosen: Vec<usize> = chosen
        .filter(|place| drawn(candidates[*place].draw, share))
        .collect();
    let enough = share * f64::from(load.warming) >= 1.0;
    if !chosen.is_empty() || warm || !enough {
        return chosen;
    }
    // All servers warm up, and together they bear the load.
    let least = roomy
        .into_iter()
        .min_by_key(|place| candidates[*place].draw);
    least.into_iter().collect()
}
