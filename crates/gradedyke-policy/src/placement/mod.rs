//! Placement policies: choose the backend server that runs a request.
//!
//! A policy decides from the fields of [`Candidate`] alone, so that policies can be
//! compared on the same inputs. Policies are registered by name at link time.
//!
//! - [`cost`]: minimizes the estimated delay of the request and of the requests that
//!   share its server.
//! - [`least_loaded`]: a simple baseline for comparison.
//! - [`pace`]: how fast each server is, and whether the servers of a service differ.
//! - [`spread`]: divides requests among similar servers when the load figures are out of date.

pub mod cost;
pub mod least_loaded;
pub mod pace;
pub mod spread;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::estimate::Times;
use crate::mechanism::Mechanisms;
use pace::Pace;

/// A server that could run the request, as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in flight at the server, from this entry and as reported by others.
    pub in_flight: u32,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it is in this entry's data centre.
    pub is_local: bool,
    /// Tokens of the prompt that are not in its cache; 0 for a service that runs no
    /// model.
    pub uncached_tokens: u64,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Whether an idle connection to it is open that the request could use.
    pub has_idle_connection: bool,
    /// Expected times at the server: those of its service, scaled by its `pace` if that is known.
    pub times: Times,
    /// How long its responses take relative to the whole service; 1 is normal.
    pub slowness: f64,
    /// The server's own pace; `None` while the servers of its service are treated as equally fast.
    pub pace: Option<Pace>,
    /// Whether the request may be run more than once.
    pub is_repeatable: bool,
    /// Expected share of requests that fail at the server, 0 to 1.
    pub failure_rate: f64,
    /// Hash of the request and server IDs, to break ties and draw samples.
    pub hash: u64,
}

impl Candidate {
    /// Expected time the request waits for a free slot, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        wait_ms(self.in_flight, self.slots, &self.times)
    }

    /// Number of other requests that run concurrently with this one once it has started.
    pub fn concurrent(&self) -> u32 {
        concurrent(self.in_flight, self.slots)
    }

    /// Expected time to the first event of an engine's response, in milliseconds.
    pub fn first_event_ms(&self) -> f64 {
        let read_ms = self.uncached_tokens as f64 * self.times.read_ms_per_token;
        self.wait_ms() + self.times.first_event_ms + read_ms
    }
}

/// Expected time a request waits for one of a server's `slots` when `in_flight` others
/// are there, in milliseconds.
///
/// ```
/// use gradedyke_policy::estimate::ServiceEstimate;
/// use gradedyke_policy::placement::wait_ms;
///
/// let times = ServiceEstimate::default().times(false);
/// assert_eq!(wait_ms(3, 4, &times), 0.0);
/// assert_eq!(wait_ms(7, 4, &times), times.unloaded_response_ms);
/// ```
pub fn wait_ms(in_flight: u32, slots: u32, times: &Times) -> f64 {
    let response_ms = times.response_ms(concurrent(in_flight, slots));
    let slots = f64::from(slots.max(1));
    let queued = (f64::from(in_flight) + 1.0 - slots).max(0.0);
    queued * response_ms / slots
}

fn concurrent(in_flight: u32, slots: u32) -> u32 {
    in_flight.min(slots.max(1) - 1)
}

/// Chooses the server that runs a request.
pub trait Policy: Send + Sync {
    /// Returns the index of the chosen candidate, or `None` if there are none.
    fn choose(&self, candidates: &[Candidate]) -> Option<usize>;
}

/// A named policy, registered with [`inventory::submit!`].
pub struct PolicyRegistration {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Builds the policy with the mechanisms that are enabled.
    pub build: fn(Mechanisms) -> Arc<dyn Policy>,
}

inventory::collect!(PolicyRegistration);

/// Builds every registered policy, keyed by name.
///
/// ```
/// use gradedyke_policy::{mechanism::Mechanisms, placement};
///
/// let policies = placement::policies(Mechanisms::default());
/// assert!(policies.contains_key("cost"));
/// assert!(policies.contains_key("least_loaded"));
/// ```
pub fn policies(mechanisms: Mechanisms) -> BTreeMap<&'static str, Arc<dyn Policy>> {
    let registrations = inventory::iter::<PolicyRegistration>.into_iter();
    registrations
        .map(|p| (p.name, (p.build)(mechanisms)))
        .collect()
}
