//! Settings of one process: who it is, where it listens, what is around it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gradedyke_base::settings::parse::{Error, Source};
use serde::Deserialize;

use crate::fleet::Location;
use crate::mechanism::{Enabled, Mechanism};
use crate::placement;

/// Addresses a process listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (entries).
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// For the platform's question whether callers may come (entries).
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For other processes of the system (keepers).
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Where others reach `peer`, if that is another address.
    #[serde(default)]
    pub peer_public: Option<SocketAddr>,
    /// For metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// All data centres of the deployment. Keepers take part evenly over these.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// The region of each data centre. Routes and client accounts may be bound to regions.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Keepers to ask first; they may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The folder for bulk data, on instances that have a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Disks that may be lost at a time with nothing lost.
    #[serde(default = "tolerate")]
    pub tolerate: usize,
    /// Time from a request to stop until the process is killed, in seconds.
    #[serde(default = "grace_s")]
    pub grace_s: f64,
    /// Time from the moment a server is known to leave to its last new request,
    /// in milliseconds.
    #[serde(default = "drain_ms")]
    pub drain_ms: u64,
    /// Time from the moment a change of the configuration is confirmed until it must be in
    /// force everywhere, in milliseconds.
    #[serde(default = "in_force_ms")]
    pub in_force_ms: u64,
    /// Time after which a key that was withdrawn has no effect at any entry, also one that
    /// is cut off, in milliseconds. Without it a key holds until the entry hears of it.
    #[serde(default)]
    pub revocation_ms: Option<u64>,
    /// Length of the windows in each of which the allowance of a client account holds, in
    /// seconds.
    #[serde(default = "allowance_window_s")]
    pub allowance_window_s: f64,
    /// How an entry decides.
    #[serde(default)]
    pub decisions: Decisions,
}

/// How an entry decides.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Decisions {
    /// The policy that chooses a request's server, by its registered name.
    pub placement: String,
    /// Mechanisms that are switched off, to measure what they are worth.
    pub off: Vec<Mechanism>,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            placement: PLACEMENT.to_owned(),
            off: Vec::new(),
        }
    }
}

/// The policy for placement where none is named.
const PLACEMENT: &str = "cost";

fn tolerate() -> usize {
    1
}

fn grace_s() -> f64 {
    8.0
}

fn allowance_window_s() -> f64 {
    5.0
}

fn drain_ms() -> u64 {
    2_000
}

fn in_force_ms() -> u64 {
    2_000
}

/// Shortest time in which a change can be in force, in milliseconds: what news take to an
/// entry by the longest way.
const SHORTEST_IN_FORCE_MS: u64 = 2_000;

/// Shortest time to stop in: the balancer notices within two seconds.
const SHORTEST_GRACE_S: f64 = 1.0;

/// Shortest window of an allowance, in seconds: what an entry lets through is known to the
/// others about 0.1 s later.
const SHORTEST_WINDOW_S: f64 = 1.0;

/// Shortest time for a withdrawn key, in milliseconds: what an entry knows is up to 2.0 s
/// old by the way that news take, and nothing could run otherwise.
const SHORTEST_REVOCATION_MS: u64 = 3_000;

impl Settings {
    /// Reads and checks the settings in `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// The first fault found, with its place and remedy.
    ///
    /// ```
    /// use gradedyke_gateway::settings::Settings;
    ///
    /// let text = r#"{
    ///     // An entry.
    ///     "name": "a-1", "data_centre": "a",
    ///     "listen": { "caller": "127.0.0.1:80" },
    ///     "platform": "127.0.0.1:81",
    /// }"#;
    /// assert_eq!(Settings::read("a.jsonc", text).unwrap().tolerate, 1);
    /// ```
    pub fn read(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text);
        let settings: Self = source.read()?;
        if settings.name.is_empty() {
            return Err(source.error("name", "empty; give the instance's name"));
        }
        if settings.grace_s < SHORTEST_GRACE_S {
            return Err(source.error("grace_s", "too short to stop in; give 1 or more"));
        }
        if settings
            .revocation_ms
            .is_some_and(|ms| ms < SHORTEST_REVOCATION_MS)
        {
            return Err(source.error(
                "revocation_ms",
                "shorter than news take to an entry; give 3000 or more",
            ));
        }
        if settings.allowance_window_s < SHORTEST_WINDOW_S {
            return Err(source.error(
                "allowance_window_s",
                "shorter than what entries tell each other takes; give 1 or more",
            ));
        }
        let policies = placement::policies(Enabled::default());
        if !policies.contains_key(settings.decisions.placement.as_str()) {
            let names: Vec<&str> = policies.into_keys().collect();
            let remedy = format!("no such policy; give one of {}", names.join(", "));
            return Err(source.error("decisions.placement", &remedy));
        }
        Ok(settings)
    }

    /// Where the process stands, and the region of each data centre.
    pub fn location(&self) -> Location {
        Location {
            data_centre: self.data_centre.clone(),
            regions: self.regions.clone(),
        }
    }

    /// Length of the windows in each of which an allowance holds.
    pub fn allowance_window(&self) -> Duration {
        Duration::from_secs_f64(self.allowance_window_s)
    }

    /// Time in which a change of what the platform's service holds must be in force: the
    /// shortest that any kind of change has, as far as news can be in time. A withdrawn key
    /// must be confirmed as well, which takes as long again.
    ///
    /// ```
    /// use gradedyke_gateway::settings::Settings;
    /// use std::time::Duration;
    ///
    /// let text = r#"{
    ///     "name": "a-1", "data_centre": "a", "platform": "127.0.0.1:81", "listen": {},
    ///     "in_force_ms": 5000, "drain_ms": 4000,
    /// }"#;
    /// let settings = Settings::read("a.jsonc", text).unwrap();
    /// assert_eq!(settings.in_force(), Duration::from_secs(4));
    /// ```
    pub fn in_force(&self) -> Duration {
        let shortest = self.in_force_ms.min(self.drain_ms);
        let revocation = self.revocation_ms.map_or(shortest, |ms| ms / 2);
        let wanted = shortest.min(revocation);
        if wanted < SHORTEST_IN_FORCE_MS {
            tracing::warn!(
                event = "changes_too_late",
                wanted_ms = wanted,
                least_ms = SHORTEST_IN_FORCE_MS,
                remedy = "allow more in in_force_ms, drain_ms and revocation_ms"
            );
        }
        Duration::from_millis(wanted.max(SHORTEST_IN_FORCE_MS))
    }

    /// Time after which a withdrawn key has no effect at any entry.
    pub fn revocation(&self) -> Option<Duration> {
        self.revocation_ms.map(Duration::from_millis)
    }

    /// Time from a request to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
