//! The platform's instance list: which instances are live and which leave.
//!
//! The list lags, so it is one sign among several and never proof that an
//! instance is gone.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::client::{self, Client};
use http::Method;
use serde::Deserialize;

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Live,
    /// It is going and must get no new work.
    Leaving,
}

/// One instance in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether it stays.
    pub state: State,
}

/// The instance list.
#[async_trait]
pub trait Instances: Send + Sync {
    /// The instances of `service` as the platform sees them.
    ///
    /// # Errors
    ///
    /// The list could not be read; what was read before still holds, lagging.
    async fn list(&self, service: &str) -> Result<Vec<Instance>, client::Error>;
}

/// Adapter for a list published in the format of Consul's health API. An
/// instance leaves when its metadata say `state=leaving` or a check is critical.
#[derive(Debug)]
pub struct Consul {
    address: SocketAddr,
    time: Duration,
    client: Client,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    #[serde(default)]
    datacenter: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    address: IpAddr,
    port: u16,
    #[serde(default)]
    meta: std::collections::BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    status: String,
}

impl Consul {
    /// An adapter for the list at `address`; a read takes at most `time`.
    pub fn new(address: SocketAddr, time: Duration) -> Self {
        Self {
            address,
            time,
            client: Client::new(&client::Config::default()),
        }
    }
}

impl From<Row> for Instance {
    fn from(row: Row) -> Self {
        let leaving = row
            .service
            .meta
            .get("state")
            .is_some_and(|s| s == "leaving")
            || row.checks.iter().any(|c| c.status == "critical");
        Self {
            id: row.service.id,
            address: SocketAddr::new(row.service.address, row.service.port),
            data_centre: row.node.datacenter,
            state: if leaving { State::Leaving } else { State::Live },
        }
    }
}

#[async_trait]
impl Instances for Consul {
    async fn list(&self, service: &str) -> Result<Vec<Instance>, client::Error> {
        let path = format!("/v1/health/service/{service}");
        let rows: Vec<Row> = self
            .client
            .json(Method::GET, self.address, &path, None::<&()>, self.time)
            .await?;
        Ok(rows.into_iter().map(Instance::from).collect())
    }
}
