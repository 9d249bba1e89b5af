//! Commands that send requests to an admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use gradedyke::admin::Status;
use gradedyke::current::Snapshot;
use gradedyke::routing;
use gradedyke_base::settings::check;
use gradedyke_http::{Client, body, client};
use http::{HeaderValue, Method, header};
use serde::de::DeserializeOwned;

use crate::{Failure, build_runtime, expect_no_more_args, settings};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the settings tree.
const SETTINGS_PATH: &str = "/admin/v1/settings";

/// A client of an admin listener, with an operator's key.
pub struct AdminClient {
    address: SocketAddr,
    key: String,
    client: Client,
}

impl AdminClient {
    /// Creates a client of the listener at `address` that authenticates with `key`.
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

    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body_text: String,
        revision: Option<u64>,
    ) -> eyre::Result<T> {
        let mut request = client::build_request(method, self.address, path, body::full(body_text))?;
        let headers = request.headers_mut();
        let bearer = HeaderValue::from_str(&format!("Bearer {}", self.key))?;
        headers.insert(header::AUTHORIZATION, bearer);
        if let Some(revision) = revision {
            headers.insert(header::IF_MATCH, revision.into());
        }
        let (_, bytes) = self
            .client
            .send_and_read(self.address, request, REQUEST_TIMEOUT)
            .await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Requests the status of the instance.
    pub async fn status(&self) -> eyre::Result<Status> {
        let path = "/admin/v1/status";
        self.send(Method::GET, path, String::new(), None).await
    }

    /// Requests the active settings tree.
    async fn settings(&self) -> eyre::Result<Snapshot> {
        self.send(Method::GET, SETTINGS_PATH, String::new(), None)
            .await
    }

    /// Applies the settings tree in `text` if the active revision is still `revision`;
    /// `None` stands for the revision that is active now. Returns the new revision.
    pub async fn apply(&self, text: String, revision: Option<u64>) -> eyre::Result<u64> {
        let revision = match revision {
            Some(revision) => revision,
            None => self.settings().await?.revision,
        };
        let applied: Snapshot = self
            .send(Method::PUT, SETTINGS_PATH, text, Some(revision))
            .await?;
        Ok(applied.revision)
    }

    /// Evacuates a data centre, or withdraws that. Returns the revision that is active
    /// afterwards.
    async fn evacuate(&self, data_centre: &str, withdraw: bool) -> eyre::Result<u64> {
        let current = self.settings().await?;
        let mut tree = current.tree;
        let changed = match withdraw {
            true => tree.evacuated.remove(data_centre),
            false => tree.evacuated.insert(data_centre.to_owned()),
        };
        if !changed {
            return Ok(current.revision);
        }
        let text = serde_json::to_string(&tree)?;
        self.apply(text, Some(current.revision)).await
    }
}

/// `gradedyke settings apply`.
pub fn apply(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = AdminClient::from_args(args)?;
    let revision: Option<u64> = args.opt_value_from_str("--if-revision")?;
    let (file, text) = settings::read_file(args)?;
    expect_no_more_args(args)?;
    if let Err(errors) = check::read_with_checks(&file, &text, routing::check_policies) {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        return Err(Failure::Usage(lines.join("\n")));
    }
    let revision = build_runtime()?.block_on(admin.apply(text, revision))?;
    println!("revision={revision}");
    Ok(())
}

/// `gradedyke evacuate`.
pub fn evacuate(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = AdminClient::from_args(args)?;
    let withdraw = args.contains("--withdraw");
    let data_centre: String = args.free_from_str()?;
    expect_no_more_args(args)?;
    let revision = build_runtime()?.block_on(admin.evacuate(&data_centre, withdraw))?;
    println!("revision={revision}");
    Ok(())
}

/// `gradedyke status`.
pub fn status(args: &mut pico_args::Arguments) -> Result<(), Failure> {
    let admin = AdminClient::from_args(args)?;
    let json = args.contains("--json");
    expect_no_more_args(args)?;
    let runtime = build_runtime()?;
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
        let member_client = AdminClient::new(member.admin, &admin.key);
        let revision = runtime
            .block_on(member_client.status())
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
