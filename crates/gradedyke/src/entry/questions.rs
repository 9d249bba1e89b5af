//! Short questions to the owner of a program, by JSON-RPC.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use gradedyke_base::id::Slot;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_journal::rpc::{MAX_MESSAGE, PATH};
use jsonrpsee::core::client;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::time::Instant;

use super::Entry;
use super::relay::{PATIENCE, patience};
use crate::owner::rpc;

/// Longest time for one question.
const TIME: Duration = Duration::from_secs(10);

/// Clients of owners, by address.
#[derive(Debug, Default)]
pub struct Questions {
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl Questions {
    fn client(&self, address: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let built = HttpClientBuilder::default()
            .request_timeout(TIME)
            .max_request_size(MAX_MESSAGE)
            .max_response_size(MAX_MESSAGE)
            .build(format!("http://{address}{PATH}"));
        let client = built.ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }
}

impl Entry {
    /// Asks the owner of a slot, and asks again while the owner changes. The
    /// questions are idempotent, so a lost answer is no harm.
    ///
    /// # Errors
    ///
    /// The owner's problem, or `unavailable` when none answers in time.
    pub(super) async fn ask<T, F>(
        &self,
        slot: Slot,
        ask: impl Fn(HttpClient) -> F,
    ) -> Result<T, Problem>
    where
        F: Future<Output = Result<T, client::Error>>,
    {
        let until = Instant::now() + PATIENCE;
        let mut backoff = patience();
        loop {
            let address = self.owner(slot).map(|member| member.peer);
            if let Some(client) = address.and_then(|a| self.questions.client(a)) {
                match ask(client).await {
                    Ok(answer) => return Ok(answer),
                    Err(error) => match rpc::problem(error) {
                        Ok(problem) if problem.kind == Kind::Moving => {}
                        Ok(problem) => return Err(problem),
                        Err(error) => tracing::debug!(event = "owner_not_asked", %slot, %error),
                    },
                }
            }
            let wait = backoff.wait(rand::random());
            match wait {
                Some(wait) if Instant::now() + wait < until => tokio::time::sleep(wait).await,
                _ => return Err(super::relay::no_owner().may_have_run()),
            }
        }
    }
}
