//! Commands that speak to an admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use gradedyke::admin::Status;
use gradedyke::current::Snapshot;
use gradedyke::routing;
use gradedyke_base::settings::check;
use gradedyke_http::{Client, body, client};
use http::{HeaderValue, Method, header};
use serde::de::DeserializeOwned;

use crate::{Failure, no_more, runtime, settings};

/// Longest time for one question.
const TIME: Duration = Duration::from_secs(10);

/// Path of the tree.
const SETTINGS: &str = "/admin/v1/settings";

/// An admin listener with an operator's key.
pub struct Admin {
    address: SocketAddr,
    key: String,
    client: Client,
}

impl Admin {
    /// The listener at `address`, asked with `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
            client: Client::new(&client::Config::default()),
        }
    }

    fn from_args(args: &mut pico_args::Arguments) -> Result<Self, Failure> {
        let address = args.value_from_str("--admin")?;
        let key: String = args.value_from_str("--key")?;
        Ok(Self::new(address, &key))
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        text: String,
        revision: Option<u64>,
    ) -> eyre::Result<T> {
        let mut request = client::build(method, self.address, path, body::full(text))?;
        let headers = request.headers_mut();
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key))?;
        headers.insert(header::AUTHORIZATION, bearer);
        if let Some(revision) = revision {
            headers.insert(header::IF_MATCH, revision.into());
        }
        let (_, bytes) = self.client.whole(self.address, request, TIME).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Reads the status.
    pub async fn status(&self) -> eyre::Result<Status> {
        let path = "/admin/v1/status";
        self.ask(Method::GET, path, String::new(), None).await
    }

    /// Reads the tree in force.
    async fn settings(&self) -> eyre::Result<Snapshot> {
        self.ask(Method::GET, SETTINGS, String::new(), None).await
    }

    /// Puts the tree in `text` in force after `revision`, or after the one that
    /// is in force.
    pub async fn apply(&self, text: String, revision: Option<u64>) -> eyre::Result<u64> {
        let revision = match revision {
            Some(revision) => revision,
            None => self.settings().await?.revision,
        };
        let applied: Snapshot = self
            .ask(Method::PUT, SETTINGS, text, Some(revision))
            .await?;
        Ok(applied.revision)
    }

    /// Evacuates a data centre, or takes that back. Returns the revision in force then.
    async fn evacuate(&self, data_centre: &str, withdraw: bool) -> eyre::Result<u64> {
        let present = self.settings().await?;
        let mut tree = present.tree;
        let changed = match withdraw {
            true => tree.evacuated.remove(data_centre),
            false => tree.evacuated.insert(data_centre.to_owned()),
        };
        if !changed {
            return Ok(present.revision);
        }
        let text = serde_json::to_string(&tree)?;
        self.apply(text, Some(present.revision)).await
    }
}

/// `gradedyke settings apply`.
pub fn apply(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = Admin::from_args(args)?;
    let revision: Option<u64> = args.opt_value_from_str("--if-revision")?;
    let (file, text) = settings::read(args)?;
    no_more(args)?;
    if let Err(errors) = check::read_with(&file, &text, routing::faults) {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        return Err(Failure::Usage(lines.join("\n")));
    }
    let revision = runtime()?.block_on(admin.apply(text, revision))?;
    println!("revision={revision}");
    Ok(())
}

/// `gradedyke evacuate`.
pub fn evacuate(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = Admin::from_args(args)?;
    let withdraw = args.contains("--withdraw");
    let data_centre: String = args.free_from_str()?;
    no_more(args)?;
    let revision = runtime()?.block_on(admin.evacuate(&data_centre, withdraw))?;
    println!("revision={revision}");
    Ok(())
}

/// `gradedyke status`.
pub fn status(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = Admin::from_args(args)?;
    let json = args.contains("--json");
    no_more(args)?;
    let runtime = runtime()?;
    let status = runtime.block_on(admin.status())?;
    if json {
        let text = serde_json::to_string(&status).map_err(|e| Failure::Failed(e.into()))?;
        println!("{text}");
        return Ok(());
    }
    println!(
        "deployment={} instance={} revision={} ready={} slots={} keeps={}",
        status.deployment, status.own.id, status.revision, status.ready, status.slots, status.keeps
    );
    for member in &status.members {
        let other = Admin::new(member.admin, &admin.key);
        let revision = runtime
            .block_on(other.status())
            .map(|s| s.revision.to_string());
        println!(
            "member={} data_centre={} roles={} draining={} revision={}",
            member.id,
            member.data_centre,
            member
                .roles
                .iter()
                .map(|r| r.name())
                .collect::<Vec<_>>()
                .join(","),
            member.draining,
            revision.unwrap_or_else(|_| "unreachable".to_owned()),
        );
    }
    Ok(())
}
