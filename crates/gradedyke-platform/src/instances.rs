//! The platform's instance list: which instances are live and which are leaving.
//!
//! The list may be out of date, so it does not prove that an instance has gone.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::client::{self, Client};
use http::Method;
use serde::Deserialize;

/// The state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts work.
    Live,
    /// It is shutting down and must not get new work.
    Leaving,
}

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its identifier.
    pub id: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// Its state.
    pub state: State,
}

/// The instance list.
#[async_trait]
pub trait List: Send + Sync {
    /// Returns the instances of `service`.
    ///
    /// # Errors
    ///
    /// The list could not be read. The list read before can still be used.
    async fn list(&self, service: &str) -> Result<Vec<Instance>, client::Error>;
}

/// A client of an instance list in the format of Consul's health API. An instance
/// is leaving if its metadata has `state=leaving` or one of its checks is critical.
#[derive(Debug)]
pub struct Consul {
    address: SocketAddr,
    timeout: Duration,
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
    /// Creates a client of the list at `address`. A read takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: Client::new(&client::Config::default()),
        }
    }
}

impl From<Row> for Instance {
    fn from(row: Row) -> Self {
        let is_leaving = row
            .service
            .meta
            .get("state")
            .is_some_and(|s| s == "leaving")
            || row.checks.iter().any(|c| c.status == "critical");
        Self {
            id: row.service.id,
            address: SocketAddr::new(row.service.address, row.service.port),
            data_centre: row.node.datacenter,
            state: if is_leaving {
                State::Leaving
            } else {
                State::Live
            },
        }
    }
}

#[async_trait]
impl List for Consul {
    async fn list(&self, service: &str) -> Result<Vec<Instance>, client::Error> {
        let path = format!("/v1/health/service/{service}");
        let rows: Vec<Row> = self
            .client
            .send_json(Method::GET, self.address, &path, None::<&()>, self.timeout)
            .await?;
        Ok(rows.into_iter().map(Instance::from).collect())
    }
}
