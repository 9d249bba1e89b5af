//! Which backend server runs a request.
//!
//! A policy sees numbers only, so that any two can be compared on the same
//! inputs. Policies register themselves by name.
//!
//! - [`cost`]: weighs in milliseconds what a request waits and what it costs
//!   others.
//! - [`least_loaded`]: the naive policy, for comparison.

pub mod cost;
pub mod least_loaded;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::estimate::Times;
use crate::mechanism::Enabled;

/// What a policy knows of a server that could run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in progress there: this entry's, and those that others told of.
    pub in_flight: u32,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether it stands in this entry's data centre.
    pub near: bool,
    /// Tokens of the prompt that have to be read there; 0 for a service that
    /// runs no model.
    pub unread_tokens: u64,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Whether a connection to it rests that the request could use.
    pub warm: bool,
    /// Usual times at its service.
    pub times: Times,
    /// How long its answers take, relative to those of its service as a whole.
    pub slowness: f64,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Share of requests that are expected to fail there, 0 to 1.
    pub risk: f64,
    /// A number that follows from the request's name and the server's.
    pub draw: u64,
}

impl Candidate {
    /// Time for which a request waits for a place there, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        wait_ms(self.in_flight, self.slots, &self.times)
    }

    /// Requests that run beside this one, once it runs.
    pub fn running(&self) -> u32 {
        running(self.in_flight, self.slots)
    }

    /// Expected time to the first event of an engine's answer, in milliseconds.
    pub fn first_ms(&self) -> f64 {
        let read = self.unread_tokens as f64 * self.times.read_ms;
        self.wait_ms() + self.times.first_ms + read
    }
}

/// Time for which a request waits for one of `slots` places at a server where
/// `in_flight` others are, in milliseconds.
///
/// ```
/// use gradedyke_gateway::estimate::Service;
/// use gradedyke_gateway::placement::wait_ms;
///
/// let times = Service::default().times(false);
/// assert_eq!(wait_ms(3, 4, &times), 0.0);
/// assert_eq!(wait_ms(7, 4, &times), times.answer_ms);
/// ```
pub fn wait_ms(in_flight: u32, slots: u32, times: &Times) -> f64 {
    let answer_ms = times.answer_ms(running(in_flight, slots));
    let slots = f64::from(slots.max(1));
    let ahead = (f64::from(in_flight) + 1.0 - slots).max(0.0);
    ahead * answer_ms / slots
}

fn running(in_flight: u32, slots: u32) -> u32 {
    in_flight.min(slots.max(1) - 1)
}

/// Decides where a request runs.
pub trait Policy: Send + Sync {
    /// The place in `candidates` of the one to run the request, or `None` when
    /// there are none.
    fn choose(&self, candidates: &[Candidate]) -> Option<usize>;
}

/// A policy that registers itself.
pub struct Plugin {
    /// Its name.
    pub name: &'static str,
    /// Makes one that uses the mechanisms which are on.
    pub build: fn(Enabled) -> Arc<dyn Policy>,
}

inventory::collect!(Plugin);

/// One of each registered policy, by name.
///
/// ```
/// use gradedyke_gateway::{mechanism::Enabled, placement};
///
/// let policies = placement::policies(Enabled::default());
/// assert!(policies.contains_key("cost"));
/// assert!(policies.contains_key("least_loaded"));
/// ```
pub fn policies(enabled: Enabled) -> BTreeMap<&'static str, Arc<dyn Policy>> {
    let plugins = inventory::iter::<Plugin>.into_iter();
    plugins.map(|p| (p.name, (p.build)(enabled))).collect()
}
