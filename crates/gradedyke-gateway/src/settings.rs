//! Settings of one process, read from its settings file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gradedyke_base::settings::parse::{Error, Source};
use serde::Deserialize;

use crate::fleet::Topology;
use gradedyke_policy::mechanism::{Mechanism, Mechanisms};
use gradedyke_policy::placement;

/// Addresses a process listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (entries).
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// For readiness checks of the platform (entries).
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For other processes of the deployment (required for keepers, optional for entries).
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Address at which other processes reach `peer`, if it differs.
    #[serde(default)]
    pub peer_public: Option<SocketAddr>,
    /// For the metrics page.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// The data centre that the instance runs in.
    pub data_centre: String,
    /// All data centres of the deployment. The keepers that store data are spread evenly over
    /// them.
    #[serde(default)]
    pub data_centres: Vec<String>,
    /// The region of each data centre. Routes and client accounts may be restricted to
    /// regions.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's key-value store.
    pub platform: SocketAddr,
    /// Keepers to contact at the start; some may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Folder for stored data (keepers).
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether the deployment starts for the first time, with no stored data.
    #[serde(default)]
    pub first_start: bool,
    /// Number of disks that may fail at the same time without loss of data.
    #[serde(default = "default_tolerate")]
    pub tolerate: usize,
    /// Time from the request to stop until the process is killed, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// Maximum time from the removal of a server until it receives its last new request, in
    /// milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Maximum time from the confirmation of a configuration change until it is in effect at
    /// every entry, in milliseconds.
    #[serde(default = "default_in_force_ms")]
    pub in_force_ms: u64,
    /// Time after which a revoked key is rejected by every entry, including those that are cut
    /// off, in milliseconds. If unset, an entry accepts the key until it learns of the
    /// revocation.
    #[serde(default)]
    pub revocation_ms: Option<u64>,
    /// Length of the window to which the allowance of a client account applies, in seconds.
    #[serde(default = "default_allowance_window_s")]
    pub allowance_window_s: f64,
    /// Memory of the instance, in MB (10^6 bytes). An entry holds bodies of requests and responses
    /// in part of it. If unset, 256.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// How an entry chooses servers.
    #[serde(default)]
    pub decisions: Decisions,
}

/// How an entry chooses servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Decisions {
    /// Registered name of the policy that chooses the server of a request.
    pub placement: String,
    /// Mechanisms to switch off, to measure their effect.
    pub off: Vec<Mechanism>,
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            placement: DEFAULT_PLACEMENT.to_owned(),
            off: Vec::new(),
        }
    }
}

/// Placement policy used if the settings name none.
const DEFAULT_PLACEMENT: &str = "cost";

/// Part of an instance's memory for bodies. The rest is for the entry itself, its connections and
/// the copies that are made while a body is received and sent.
const BODY_MEMORY_RATIO: f64 = 0.3;

fn default_memory_mb() -> usize {
    256
}

fn default_tolerate() -> usize {
    1
}

fn default_grace_s() -> f64 {
    8.0
}

fn default_allowance_window_s() -> f64 {
    5.0
}

fn default_drain_ms() -> u64 {
    2_000
}

fn default_in_force_ms() -> u64 {
    2_000
}

/// Lower bound of [`Settings::propagation_limit`], in milliseconds: the longest time that a change
/// takes to reach an entry.
const MIN_PROPAGATION_LIMIT_MS: u64 = 2_000;

/// Minimum of `grace_s`, in seconds.
const MIN_GRACE_S: f64 = 1.0;

/// Minimum of `allowance_window_s`, in seconds. The window must be much longer than the exchange
/// of usage between entries takes. Other entries know about 0.1 s later what an entry admitted.
const MIN_ALLOWANCE_WINDOW_S: f64 = 1.0;

/// Minimum of `revocation_ms`, in milliseconds. With a smaller value, an entry could reject valid
/// keys. The data of an entry is up to 2.0 s old in normal operation.
const MIN_REVOCATION_MS: u64 = 3_000;

impl Settings {
    /// The memory for bodies of requests and responses, in bytes.
    pub fn body_memory(&self) -> usize {
        (self.memory_mb as f64 * 1e6 * BODY_MEMORY_RATIO) as usize
    }

    /// Reads and checks the settings in `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting, with its position and how to correct it.
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
            return Err(source.error("name", "must not be empty; set it to the instance's name"));
        }
        if settings.grace_s < MIN_GRACE_S {
            return Err(source.error(
                "grace_s",
                "too short for a graceful shutdown; set 1 or more",
            ));
        }
        if settings
            .revocation_ms
            .is_some_and(|ms| ms < MIN_REVOCATION_MS)
        {
            return Err(source.error("revocation_ms", "too short; set 3000 or more"));
        }
        if settings.allowance_window_s < MIN_ALLOWANCE_WINDOW_S {
            return Err(source.error(
                "allowance_window_s",
                "too short for entries to exchange their usage; set 1 or more",
            ));
        }
        let policies = placement::policies(Mechanisms::default());
        if !policies.contains_key(settings.decisions.placement.as_str()) {
            let names: Vec<&str> = policies.into_keys().collect();
            let remedy = format!("no such policy; give one of {}", names.join(", "));
            return Err(source.error("decisions.placement", &remedy));
        }
        Ok(settings)
    }

    /// The data centre of the process, and the region of each data centre.
    pub fn topology(&self) -> Topology {
        Topology {
            data_centre: self.data_centre.clone(),
            regions: self.regions.clone(),
        }
    }

    /// Length of the window to which an allowance applies.
    pub fn allowance_window(&self) -> Duration {
        Duration::from_secs_f64(self.allowance_window_s)
    }

    /// Time within which any change in the platform's store must take effect: the shortest of
    /// the configured times, but at least `MIN_PROPAGATION_LIMIT_MS`. Only half of
    /// `revocation_ms` counts, because the other half is for the entry to confirm its data.
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
    /// assert_eq!(settings.propagation_limit(), Duration::from_secs(4));
    /// ```
    pub fn propagation_limit(&self) -> Duration {
        let configured_ms = self.in_force_ms.min(self.drain_ms);
        let revocation_ms = self.revocation_ms.map_or(configured_ms, |ms| ms / 2);
        let required_ms = configured_ms.min(revocation_ms);
        if required_ms < MIN_PROPAGATION_LIMIT_MS {
            tracing::warn!(
                event = "changes_too_late",
                wanted_ms = required_ms,
                least_ms = MIN_PROPAGATION_LIMIT_MS,
                remedy = "increase in_force_ms, drain_ms or revocation_ms"
            );
        }
        Duration::from_millis(required_ms.max(MIN_PROPAGATION_LIMIT_MS))
    }

    /// Time after which a revoked key is rejected by every entry.
    pub fn revocation(&self) -> Option<Duration> {
        self.revocation_ms.map(Duration::from_millis)
    }

    /// Time from the request to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
