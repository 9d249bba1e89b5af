//! How busy each backend server is, over all entries.
//!
//! An entry alone sees a small part of the load: with fifty of them, some chose
//! the same server by chance and its queue grew unseen. So each tells the
//! keepers, with the exchange that begins a turn, what it has in progress where,
//! and gets the sum of what the others told. No call is made for it, and the
//! sum is as fresh as the exchange. Asking the servers was given up: their own
//! reports lag and are priced.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::record::Id;

/// A server's name in short, which travels with every turn.
pub type Server = u32;

/// The short name of a server.
pub fn server(id: &Id) -> Server {
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    // The upper half; two servers that share it only look busier than they are.
    u32::try_from(hasher.finish() >> 32).unwrap_or_default()
}

/// What is in progress at one server, and how it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// The server.
    pub server: Server,
    /// Requests.
    pub requests: u32,
    /// Requests that failed lately by the server's fault.
    pub failures: u32,
    /// Requests that ended lately, one way or the other.
    pub ended: u32,
    /// Entries that could not reach the server lately.
    pub unreached: u32,
    /// Answers whose pace was seen lately.
    pub paced: u32,
    /// How long these took relative to what was expected, in hundredths, added up.
    pub pace: u32,
}

/// What one entry has in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The entry, by the start of its process.
    pub entry: u64,
    /// Where it passes requests of other entries on.
    pub address: Option<SocketAddr>,
    /// Servers where it has something in progress.
    pub busy: Vec<Busy>,
}

/// How long a report counts. An entry with something in progress tells more
/// often; one that is gone must not look busy for longer.
const FRESH: Duration = Duration::from_millis(1_500);

/// How long an entry that told something is taken for one that runs.
const NEIGHBOUR: Duration = Duration::from_secs(20);
/// Entries that are named to another at a time: enough that one is not cut.
const NEIGHBOURS: usize = 6;

/// The reports of all entries.
#[derive(Debug, Default)]
pub struct Board {
    reports: HashMap<u64, (Instant, Vec<Busy>)>,
    addresses: HashMap<SocketAddr, Instant>,
}

impl Board {
    /// Takes a report in.
    pub fn put(&mut self, report: Report, now: Instant) {
        self.reports
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < FRESH);
        self.reports.insert(report.entry, (now, report.busy));
        self.note(report.address, now);
    }

    /// Notes an entry that runs.
    pub fn note(&mut self, address: Option<SocketAddr>, now: Instant) {
        if let Some(address) = address {
            self.addresses.insert(address, now);
        }
    }

    /// Some of the entries that told something lately, chosen at random.
    pub fn neighbours(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.addresses
            .retain(|_, at| now.saturating_duration_since(*at) < NEIGHBOUR);
        let mut all: Vec<SocketAddr> = self.addresses.keys().copied().collect();
        all.shuffle(&mut rand::rng());
        all.truncate(NEIGHBOURS);
        all
    }

    /// What all entries but `entry` have in progress.
    ///
    /// ```
    /// use gradedyke_turns::load::{Board, Busy, Report};
    ///
    /// let now = tokio::time::Instant::now();
    /// let busy = |requests| vec![Busy { server: 7, requests, ..Busy::default() }];
    /// let mut board = Board::default();
    /// board.put(Report { entry: 1, address: None, busy: busy(2) }, now);
    /// board.put(Report { entry: 2, address: None, busy: busy(3) }, now);
    /// assert_eq!(board.others(1, now), busy(3));
    /// ```
    pub fn others(&self, entry: u64, now: Instant) -> Vec<Busy> {
        let mut sums: HashMap<Server, Busy> = HashMap::new();
        let fresh = |at: Instant| now.saturating_duration_since(at) < FRESH;
        let others = self
            .reports
            .iter()
            .filter(|(e, (at, _))| **e != entry && fresh(*at));
        for busy in others.flat_map(|(_, (_, busy))| busy) {
            let sum = sums.entry(busy.server).or_default();
            sum.server = busy.server;
            sum.requests += busy.requests;
            sum.failures += busy.failures;
            sum.ended += busy.ended;
            sum.unreached += busy.unreached;
            sum.paced += busy.paced;
            sum.pace += busy.pace;
        }
        sums.into_values().collect()
    }
}
