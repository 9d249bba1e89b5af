//! Load of each backend server, summed over all entries.
//!
//! A single entry sees only its own requests, so several could pick the same server at once
//! without noticing. Each entry therefore reports its requests in flight to the replicas
//! when it begins an attempt, and the nearest replica replies with the sum over the other
//! entries.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::record::Id;

/// A 32-bit hash of the ID of a backend server's incarnation, to keep messages small.
pub type ServerHash = u32;

/// Returns the hash of the ID of a backend server's incarnation.
pub fn server_hash(id: &Id) -> ServerHash {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    // On a collision both servers only seem busier than they are.
    u32::try_from(hasher.finish() >> 32).unwrap_or_default()
}

/// Load and recent results of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Hash of the ID of the server's incarnation.
    pub server: ServerHash,
    /// Requests in flight.
    pub requests: u32,
    /// Recent requests that failed because of the server.
    pub failures: u32,
    /// Recent requests that completed, successfully or not.
    pub ended: u32,
    /// Entries that recently could not reach the server.
    pub unreached: u32,
    /// Recent responses whose speed was measured.
    pub paced: u32,
    /// Sum of the ratios of actual to expected duration of these responses, in hundredths.
    pub pace: u32,
}

/// One entry's report: its requests in flight and recent results by server, and its forwarding
/// address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Random ID of the entry's incarnation.
    pub entry: u64,
    /// Where it forwards requests of other entries, if it does.
    pub address: Option<SocketAddr>,
    /// Load and recent results of the servers that it uses.
    pub busy: Vec<ServerLoad>,
}

/// Age at which a report expires. Entries with requests in flight report more often than this.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// How long an entry is considered running after it was last heard from.
const NEIGHBOUR_TTL: Duration = Duration::from_secs(20);
/// Maximum number of neighbours sent to an entry.
const MAX_NEIGHBOURS: usize = 6;

/// The latest reports of all entries.
#[derive(Debug, Default)]
pub struct Aggregator {
    reports: HashMap<u64, (Instant, Vec<ServerLoad>)>,
    addresses: HashMap<SocketAddr, Instant>,
}

impl Aggregator {
    /// Stores an entry's report, replacing its previous one.
    pub fn record_report(&mut self, report: Report, now: Instant) {
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < REPORT_TTL);
        self.reports.insert(report.entry, (now, report.busy));
        self.record_address(report.address, now);
    }

    /// Records that the entry at `address` is running.
    pub fn record_address(&mut self, address: Option<SocketAddr>, now: Instant) {
        if let Some(address) = address {
            self.addresses.insert(address, now);
        }
    }

    /// Returns the addresses of some running entries, chosen at random.
    pub fn sample_neighbours(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.addresses
            .retain(|_, at| now.saturating_duration_since(*at) < NEIGHBOUR_TTL);
        let mut chosen: Vec<SocketAddr> = self.addresses.keys().copied().collect();
        chosen.shuffle(&mut rand::rng());
        chosen.truncate(MAX_NEIGHBOURS);
        chosen
    }

    /// Returns the load of each server, summed over all entries but `entry`.
    ///
    /// ```
    /// use gradedyke_turns::load::{Aggregator, Report, ServerLoad};
    ///
    /// let now = tokio::time::Instant::now();
    /// let busy = |requests| vec![ServerLoad { server: 7, requests, ..ServerLoad::default() }];
    /// let mut aggregator = Aggregator::default();
    /// aggregator.record_report(Report { entry: 1, address: None, busy: busy(2) }, now);
    /// aggregator.record_report(Report { entry: 2, address: None, busy: busy(3) }, now);
    /// assert_eq!(aggregator.total_excluding(1, now), busy(3));
    /// ```
    pub fn total_excluding(&self, entry: u64, now: Instant) -> Vec<ServerLoad> {
        let mut sums: HashMap<ServerHash, ServerLoad> = HashMap::new();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REPORT_TTL;
        let others = self
            .reports
            .iter()
            .filter(|(id, (at, _))| **id != entry && is_fresh(*at));
        for server_load in others.flat_map(|(_, (_, servers))| servers) {
            let sum = sums.entry(server_load.server).or_default();
            sum.server = server_load.server;
            sum.requests += server_load.requests;
            sum.failures += server_load.failures;
            sum.ended += server_load.ended;
            sum.unreached += server_load.unreached;
            sum.paced += server_load.paced;
            sum.pace += server_load.pace;
        }
        sums.into_values().collect()
    }
}
