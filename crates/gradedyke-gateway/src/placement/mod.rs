//! Which backend server runs a request.
//!
//! A policy sees numbers only, so that any two can be compared on the same
//! inputs. Policies register themselves by name.

use std::collections::BTreeMap;
use std::sync::Arc;

/// What a policy knows of a server that could run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests in progress there: this entry's, and those that others told of.
    pub in_flight: u32,
    /// Tokens of their prompts.
    pub tokens: u64,
    /// Tokens that its memory holds; 0 for a service that runs no model.
    pub room: u64,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether it stands in this entry's data centre.
    pub near: bool,
    /// Tokens of the prompt that have to be read there; 0 for a service that
    /// runs no model.
    pub unread_tokens: u64,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Whether it has lately seen the object of the request.
    pub familiar: bool,
    /// Whether a connection to it rests that the request could use.
    pub warm: bool,
    /// Whether it is slow still, because it has just started.
    pub cold: bool,
    /// How long its answers take, relative to those of its service as a whole.
    pub slowness: f64,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Share of requests that are expected to fail there, 0 to 1.
    pub risk: f64,
    /// A number that follows from the request's name and the server's.
    pub draw: u64,
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
    /// Makes one.
    pub build: fn() -> Arc<dyn Policy>,
}

inventory::collect!(Plugin);

/// One of each registered policy, by name.
///
/// ```
/// let policies = gradedyke_gateway::placement::policies();
/// assert!(policies.contains_key("cost"));
/// assert!(policies.contains_key("least_loaded"));
/// ```
pub fn policies() -> BTreeMap<&'static str, Arc<dyn Policy>> {
    let plugins = inventory::iter::<Plugin>.into_iter();
    plugins.map(|p| (p.name, (p.build)())).collect()
}

/// Weighs reading the prompt, waiting, and the way against each other.
pub struct Cost;

/// Prompt tokens that an engine reads in a millisecond: the slower of the two
/// kinds of engine in use (38 and 57).
const READ_PER_MS: f64 = 38.0;
/// What one more request in an engine's batch costs each other one, in
/// milliseconds over an answer of about a dozen steps of 0.09 ms and the share
/// of its prompt that is read in between.
const BATCH_MS: f64 = 3.0;
/// What a request ahead of this one costs when all places are taken, times the
/// places: the usual time of a request, of either kind, in milliseconds.
const QUEUE_MS: f64 = 300.0;
/// What a request beside this one at a plain service costs while places are
/// free: it may be one of many that other entries sent there.
const BESIDE_MS: f64 = 12.0;
/// What the way to another data centre costs: the time of a round trip, and the
/// price of the bytes.
const FAR_MS: f64 = 6.0;
/// What a server that has just started costs.
const COLD_MS: f64 = 100.0;
/// What it saves that a server has lately seen the object. Any server has seen
/// the few shared beginnings of prompts soon, so that this must not draw all to
/// the first.
const FAMILIAR_MS: f64 = 8.0;
/// Share of a server's memory that running prompts may fill before it is
/// expected to put some back; answers grow, and estimates are rough.
const FULL: f64 = 0.8;
/// What it costs to go where memory is full, in milliseconds: the reading of a
/// prompt of usual length again.
const FULL_MS: f64 = 150.0;
/// What a resting connection saves: opening one, and its price. A tenth of the
/// work of a call at a plain service, so that it never outweighs a queue.
const WARM_MS: f64 = 15.0;
/// Usual time of a request at a server, which its slowness multiplies.
const USUAL_MS: f64 = 100.0;

/// What it costs that a request which must not run twice is lost at a plain
/// service, in milliseconds: its program, the shortest of which take 2 s.
const LOST_ONCE_MS: f64 = 5_000.0;
/// What it costs that a turn is lost: its caller sends it again after 0.1 to 0.4 s
/// and has waited in vain, and a third loss ends its program. At an engine that
/// loses one turn in twenty it stays below the reading of a prompt (100 ms).
const LOST_TURN_MS: f64 = 1_500.0;
/// What it costs that a request is lost that can be sent to another server.
const LOST_MS: f64 = 200.0;

impl Cost {
    /// What is expected to be lost by failures.
    fn loss(candidate: &Candidate) -> f64 {
        let loss = match (candidate.engine, candidate.repeatable) {
            (true, _) => LOST_TURN_MS,
            (false, false) => LOST_ONCE_MS,
            (false, true) => LOST_MS,
        };
        candidate.risk * loss
    }

    fn of(candidate: &Candidate) -> f64 {
        let taken = f64::from(candidate.in_flight);
        let slots = f64::from(candidate.slots.max(1));
        let waiting = (taken + 1.0 - slots).max(0.0) * QUEUE_MS / slots;
        let beside = if candidate.engine {
            BATCH_MS
        } else {
            BESIDE_MS
        };
        let far = if candidate.near { 0.0 } else { FAR_MS };
        let cold = if candidate.cold { COLD_MS } else { 0.0 };
        let familiar = if candidate.familiar { FAMILIAR_MS } else { 0.0 };
        let room = FULL * candidate.room as f64;
        let full = candidate.room > 0 && candidate.tokens as f64 > room;
        let full = if full { FULL_MS } else { 0.0 };
        let warm = if candidate.warm { WARM_MS } else { 0.0 };
        let slow = (candidate.slowness - 1.0).max(0.0) * USUAL_MS;
        let read = candidate.unread_tokens as f64 / READ_PER_MS;
        let loss = Self::loss(candidate);
        loss + read + full + waiting + taken * beside + far + cold + slow - familiar - warm
    }
}

impl Policy for Cost {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let key = |c: &Candidate| (Self::of(c), c.draw);
        let places = candidates.iter().enumerate();
        let least = places.min_by(|(_, a), (_, b)| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        });
        least.map(|(place, _)| place)
    }
}

inventory::submit! {
    Plugin {
        name: "cost",
        build: || Arc::new(Cost),
    }
}

/// The naive policy: fewest requests in progress.
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let places = candidates.iter().enumerate();
        let least = places.min_by_key(|(_, c)| (c.in_flight, c.draw));
        least.map(|(place, _)| place)
    }
}

inventory::submit! {
    Plugin {
        name: "least_loaded",
        build: || Arc::new(LeastLoaded),
    }
}
