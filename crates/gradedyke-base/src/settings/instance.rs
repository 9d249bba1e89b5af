//! Settings of one process: its identity, addresses and roles.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::parse::{Error, Source};
use crate::id;

/// A role that a process may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Authenticates and relays callers' requests.
    Entry,
    /// Runs programs: orders their calls, holds their state and dispatches the calls to
    /// backend servers.
    Owner,
    /// Stores a replica of the journal.
    Keeper,
    /// Serves the operators' API.
    Admin,
}

impl Role {
    /// Returns the role's name, as in settings.
    pub fn name(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Owner => "owner",
            Role::Keeper => "keeper",
            Role::Admin => "admin",
        }
    }
}

/// The addresses that a process listens on. Port 0 selects a free port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (role `entry`).
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// For other gradedyke processes.
    pub peer: SocketAddr,
    /// For operators (role `admin`), health checks and metrics.
    pub admin: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Addresses of the key-value store, tried in order.
    pub key_value: Vec<SocketAddr>,
    /// Address of the instance list, if the deployment has one.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// Address of the weight store, if the deployment has one.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}

/// Limits on callers' connections and requests, and timeouts of the shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a whole request, in milliseconds.
    pub body_ms: u64,
    /// Timeout for receiving a request's headers, in milliseconds.
    pub head_ms: u64,
    /// Maximum number of concurrent connections on the caller listener.
    pub connections: usize,
    /// Delay between reporting not ready and refusing connections, in milliseconds.
    /// Gives the load balancer time to stop sending requests.
    pub leave_ms: u64,
    /// Timeout for open streams to finish in a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            body_ms: 10_000,
            head_ms: 5_000,
            connections: 8_192,
            leave_ms: 2_000,
            drain_ms: 600_000,
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name, unique within the deployment.
    pub id: id::Instance,
    /// The name of the deployment that the instance belongs to.
    pub deployment: String,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The roles of this process.
    pub roles: BTreeSet<Role>,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The folder for persistent data, on instances that have a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Duration of this process's lease, in milliseconds.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Number of keepers that store each part of the journal. Must be the same on all
    /// instances.
    #[serde(default = "copies")]
    pub copies: usize,
    /// Hash of the key of the operator who applies the first settings tree.
    #[serde(default)]
    pub operator_hash: Option<String>,
    /// Limits on callers' connections and requests, and timeouts of the shutdown.
    #[serde(default)]
    pub limits: Limits,
}

fn lease_ms() -> u64 {
    5_000
}

fn copies() -> usize {
    3
}

/// Minimum duration of a lease, in milliseconds. A shorter one would expire during
/// ordinary scheduling pauses.
const MIN_LEASE_MS: u64 = 1_000;

impl Instance {
    /// Parses and validates the settings in `text`, the content of `file`.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn read(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text);
        let instance: Self = source.read()?;
        match instance.first_error() {
            Some((path, message)) => Err(source.error(path, message)),
            None => Ok(instance),
        }
    }

    fn first_error(&self) -> Option<(&'static str, &'static str)> {
        if id::Instance::parse(self.id.as_str()).is_err() {
            return Some(("id", "not a usable name; use letters, digits and - _ . :"));
        }
        if self.roles.is_empty() {
            return Some((
                "roles",
                "no role; name at least one of entry, owner, keeper, admin",
            ));
        }
        if self.roles.contains(&Role::Entry) && self.listen.caller.is_none() {
            return Some((
                "listen",
                "role entry needs listen.caller; add an address and port",
            ));
        }
        if self.platform.key_value.is_empty() {
            return Some(("platform.key_value", "no address; name at least one"));
        }
        if self.lease_ms < MIN_LEASE_MS {
            return Some(("lease_ms", "the lease is too short; use 1000 or more"));
        }
        if self.copies == 0 {
            return Some((
                "copies",
                "the journal would not be stored; use 1 or more, usually 3",
            ));
        }
        None
    }

    /// Returns whether the process has `role`.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}
