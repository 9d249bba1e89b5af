//! A keeper between processes: JSON-RPC by jsonrpsee.
//!
//! JSON-RPC fits here: calls are few because appends are gathered, answers are
//! short, and every call is idempotent. Entries are JSON already and travel as
//! they are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_base::id::Slot;
use jsonrpsee::core::{RpcResult, client};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use crate::entry::{Append, Index, Outcome, Page, Seal, Sealed, Trim};
use crate::keeper::{Error, Keeper};

/// Path of the JSON-RPC endpoint on the listener for peers.
pub const PATH: &str = "/rpc";
/// Largest message, in bytes: a full batch of the largest bodies.
pub const MAX_MESSAGE: u32 = 64 << 20;
/// Code of the JSON-RPC error for a failed store.
const STORE_FAILED: i32 = -32_001;

/// Code of the JSON-RPC error for a call that was meant for another store.
const OTHER_STORE: i32 = -32_002;

/// The methods of a keeper. Each call names the store it is meant for: at the
/// same address there may by now be one that was made anew and is empty.
#[rpc(server, client, namespace = "keeper")]
pub trait Api {
    /// Appends entries to several logs.
    #[method(name = "append")]
    async fn append(&self, store: String, appends: Vec<Append>) -> RpcResult<Vec<Outcome>>;

    /// Promises to refuse lower epochs.
    #[method(name = "seal")]
    async fn seal(&self, store: String, seals: Vec<Seal>) -> RpcResult<Vec<Sealed>>;

    /// Reads a part of a log.
    #[method(name = "read")]
    async fn read(&self, store: String, slot: Slot, from: Index) -> RpcResult<Page>;

    /// Drops entries that are no longer needed.
    #[method(name = "trim")]
    async fn trim(&self, store: String, trims: Vec<Trim>) -> RpcResult<()>;
}

/// Serves a keeper's methods.
pub struct Service {
    keeper: Arc<dyn Keeper>,
    identity: String,
}

impl Service {
    /// Serves `keeper`, whose store has the given identity.
    pub fn new(keeper: Arc<dyn Keeper>, identity: &str) -> Self {
        Self {
            keeper,
            identity: identity.to_owned(),
        }
    }

    fn check(&self, store: &str) -> RpcResult<()> {
        if store == self.identity {
            return Ok(());
        }
        let message = "this keeper has another store; look its registration up again";
        Err(ErrorObjectOwned::owned(OTHER_STORE, message, None::<()>))
    }
}

fn failed(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STORE_FAILED, error.to_string(), None::<()>)
}

#[async_trait]
impl ApiServer for Service {
    async fn append(&self, store: String, appends: Vec<Append>) -> RpcResult<Vec<Outcome>> {
        self.check(&store)?;
        self.keeper.append(appends).await.map_err(|e| failed(&e))
    }

    async fn seal(&self, store: String, seals: Vec<Seal>) -> RpcResult<Vec<Sealed>> {
        self.check(&store)?;
        self.keeper.seal(seals).await.map_err(|e| failed(&e))
    }

    async fn read(&self, store: String, slot: Slot, from: Index) -> RpcResult<Page> {
        self.check(&store)?;
        self.keeper.read(slot, from).await.map_err(|e| failed(&e))
    }

    async fn trim(&self, store: String, trims: Vec<Trim>) -> RpcResult<()> {
        self.check(&store)?;
        self.keeper.trim(trims).await.map_err(|e| failed(&e))
    }
}

/// A keeper in another process.
#[derive(Clone, Debug)]
pub struct Remote {
    client: HttpClient,
    store: String,
}

impl Remote {
    /// A client of the keeper whose peer listener is at `address` and whose
    /// store has the given identity.
    ///
    /// # Errors
    ///
    /// The address cannot be used in a URL.
    pub fn new(address: SocketAddr, store: &str, time: Duration) -> Result<Self, Error> {
        let client = HttpClientBuilder::default()
            .request_timeout(time)
            .max_request_size(MAX_MESSAGE)
            .max_response_size(MAX_MESSAGE)
            .build(format!("http://{address}{PATH}"))
            .map_err(|e| Error::Unreachable(e.to_string()))?;
        Ok(Self {
            client,
            store: store.to_owned(),
        })
    }
}

fn lost(error: client::Error) -> Error {
    match error {
        client::Error::Call(call) if call.code() == STORE_FAILED => {
            Error::Store(call.message().to_owned())
        }
        other => Error::Unreachable(other.to_string()),
    }
}

#[async_trait]
impl Keeper for Remote {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        ApiClient::append(&self.client, self.store.clone(), appends)
            .await
            .map_err(lost)
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        ApiClient::seal(&self.client, self.store.clone(), seals)
            .await
            .map_err(lost)
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        ApiClient::read(&self.client, self.store.clone(), slot, from)
            .await
            .map_err(lost)
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        ApiClient::trim(&self.client, self.store.clone(), trims)
            .await
            .map_err(lost)
    }
}
