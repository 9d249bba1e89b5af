//! JSON-RPC requests to the owners of programs.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id::Slot;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_journal::rpc::{MAX_MESSAGE_BYTES, RPC_PATH};
use jsonrpsee::core::client;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::time::Instant;

use super::Entry;
use super::relay::{OWNER_TIMEOUT, owner_backoff};
use crate::owner::rpc;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// JSON-RPC clients by the owner's address.
#[derive(Debug, Default)]
pub struct RpcClients {
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl RpcClients {
    /// Returns the client for an address, creating it on first use. Returns
    /// `None` if it cannot be built.
    fn client(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let built = HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}{RPC_PATH}"));
        let client = built.ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }
}

impl Entry {
    /// Sends a request to the owner of a slot, and retries while the owner
    /// changes or cannot be reached. Requests must be idempotent, because one
    /// whose response was lost is sent again.
    ///
    /// # Errors
    ///
    /// The problem that the owner returned, or `unavailable` when no owner
    /// responds in time.
    pub(super) async fn call_owner<T, F>(
        &self,
        slot: Slot,
        send: impl Fn(HttpClient) -> F,
    ) -> Result<T, Problem>
    where
        F: Future<Output = Result<T, client::Error>>,
    {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        let mut backoff = owner_backoff();
        loop {
            let address = self.find_owner(slot).map(|member| member.peer);
            if let Some(client) = address.and_then(|a| self.rpc_clients.client(a)) {
                match send(client).await {
                    Ok(response) => return Ok(response),
                    Err(error) => match rpc::into_problem(error) {
                        Ok(problem) if problem.kind == Kind::Moving => {}
                        Ok(problem) => return Err(problem),
                        Err(error) => tracing::debug!(event = "owner_not_asked", %slot, %error),
                    },
                }
            }
            let delay = backoff.next_retry_delay(rand::random());
            match delay {
                Some(delay) if Instant::now() + delay < deadline => tokio::time::sleep(delay).await,
                _ => return Err(super::relay::owner_unavailable().with_unknown_outcome()),
            }
        }
    }
}
