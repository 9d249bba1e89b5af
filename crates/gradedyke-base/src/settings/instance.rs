//! Settings of one process: who it is, where it listens, what it runs.

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
    /// Takes callers' requests and relays the answers.
    Entry,
    /// Owns programs: orders their calls, keeps their state, dispatches.
    Owner,
    /// Keeps copies of the journal.
    Keeper,
    /// Serves operators.
    Admin,
}

impl Role {
    /// The role's name, as in settings.
    pub fn name(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Owner => "owner",
            Role::Keeper => "keeper",
            Role::Admin => "admin",
        }
    }
}

/// The addresses a process listens on. Port 0 takes a free one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (role `entry`).
    #[serde(default)]
    pub caller: Option<SocketAddr>,
    /// For other processes of the system.
    pub peer: SocketAddr,
    /// For operators (role `admin`), and for the health and metrics pages.
    pub admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Addresses of the key-value service, tried in turn.
    pub key_value: Vec<SocketAddr>,
    /// Address of the instance list, if the deployment has one.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// Address of the weight store, if the deployment has one.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
}

/// Limits on what callers may send and how long they may take.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a whole request to arrive, in milliseconds.
    pub body_ms: u64,
    /// Longest time for a request's head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Most connections at a time on the caller listener.
    pub connections: usize,
    /// Time between saying that this process leaves and refusing connections,
    /// in milliseconds: as long as the balancer takes to notice.
    pub leave_ms: u64,
    /// Longest time that a planned stop waits for streams, in milliseconds.
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
    /// The deployment's name: processes of another deployment are strangers.
    pub deployment: String,
    /// The data centre the instance stands in.
    pub data_centre: String,
    /// What this process runs.
    pub roles: BTreeSet<Role>,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// The folder for bulk data, on instances that have a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Length of this process's lease, in milliseconds.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// Keepers that each part of the journal has; the same everywhere.
    #[serde(default = "copies")]
    pub copies: usize,
    /// Hash of the key of the first operator, who applies the first settings.
    #[serde(default)]
    pub operator_hash: Option<String>,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
}

fn lease_ms() -> u64 {
    5_000
}

fn copies() -> usize {
    3
}

/// Shortest sensible lease: below it, an ordinary pause loses the lease.
const SHORTEST_LEASE_MS: u64 = 1_000;

impl Instance {
    /// Reads and checks the settings in `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// The first fault found, with its place and remedy.
    pub fn read(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text);
        let instance: Self = source.read()?;
        match instance.fault() {
            Some((path, message)) => Err(source.error(path, message)),
            None => Ok(instance),
        }
    }

    fn fault(&self) -> Option<(&'static str, &'static str)> {
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
        if self.lease_ms < SHORTEST_LEASE_MS {
            return Some(("lease_ms", "too short to hold; use 1000 or more"));
        }
        if self.copies == 0 {
            return Some((
                "copies",
                "nothing would be kept; use 1 or more, 3 as a rule",
            ));
        }
        None
    }

    /// Whether the process runs `role`.
    pub fn runs(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }
}
