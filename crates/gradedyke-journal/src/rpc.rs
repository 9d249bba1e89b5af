//! Calls to a keeper in another process, by JSON-RPC.
//!
//! Appends are batched, so there are few calls. Entries are already JSON and are
//! embedded unchanged.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_base::id::Slot;
use jsonrpsee::core::{RpcResult, client};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder, transport};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::{OVERSIZED_REQUEST_CODE, OVERSIZED_RESPONSE_CODE};

use crate::entry::{Append, Index, Outcome, Page, Seal, Sealed, Trim};
use crate::keeper::{Error, Keeper};

/// Path of the JSON-RPC endpoint on the peer listener.
pub const RPC_PATH: &str = "/rpc";
/// Maximum size of a request or response, in bytes. A batch of appends fits, and a page that was
/// read, each with an entry of the largest size.
pub const MAX_MESSAGE_BYTES: u32 = 64 << 20;
/// JSON-RPC error code for a failure of the keeper's store.
const STORE_FAILED_CODE: i32 = -32_001;

/// JSON-RPC error code for a call that names a different store.
const STORE_MISMATCH_CODE: i32 = -32_002;

/// The methods of a keeper. Each call names the identity of the store it is meant
/// for, because the keeper at an address may have been replaced by one with a
/// new, empty store.
#[rpc(server, client, namespace = "keeper")]
pub trait Api {
    /// Appends entries to several logs.
    #[method(name = "append")]
    async fn append(&self, store: String, appends: Vec<Append>) -> RpcResult<Vec<Outcome>>;

    /// Promises to reject lower epochs.
    #[method(name = "seal")]
    async fn seal(&self, store: String, seals: Vec<Seal>) -> RpcResult<Vec<Sealed>>;

    /// Reads one page of a log.
    #[method(name = "read")]
    async fn read(&self, store: String, slot: Slot, from: Index) -> RpcResult<Page>;

    /// Deletes entries that are no longer needed.
    #[method(name = "trim")]
    async fn trim(&self, store: String, trims: Vec<Trim>) -> RpcResult<()>;
}

/// The JSON-RPC service of a keeper.
pub struct Service {
    keeper: Arc<dyn Keeper>,
    identity: String,
}

impl Service {
    /// Creates a service for `keeper`, whose store has the given identity.
    pub fn new(keeper: Arc<dyn Keeper>, identity: &str) -> Self {
        Self {
            keeper,
            identity: identity.to_owned(),
        }
    }

    /// Rejects a call that is meant for a different store.
    fn check_identity(&self, store: &str) -> RpcResult<()> {
        if store == self.identity {
            return Ok(());
        }
        let message = "this keeper has a different store; look up its registration again";
        Err(ErrorObjectOwned::owned(
            STORE_MISMATCH_CODE,
            message,
            None::<()>,
        ))
    }
}

fn store_failed(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STORE_FAILED_CODE, error.to_string(), None::<()>)
}

#[async_trait]
impl ApiServer for Service {
    async fn append(&self, store: String, appends: Vec<Append>) -> RpcResult<Vec<Outcome>> {
        self.check_identity(&store)?;
        self.keeper
            .append(appends)
            .await
            .map_err(|e| store_failed(&e))
    }

    async fn seal(&self, store: String, seals: Vec<Seal>) -> RpcResult<Vec<Sealed>> {
        self.check_identity(&store)?;
        self.keeper.seal(seals).await.map_err(|e| store_failed(&e))
    }

    async fn read(&self, store: String, slot: Slot, from: Index) -> RpcResult<Page> {
        self.check_identity(&store)?;
        self.keeper
            .read(slot, from)
            .await
            .map_err(|e| store_failed(&e))
    }

    async fn trim(&self, store: String, trims: Vec<Trim>) -> RpcResult<()> {
        self.check_identity(&store)?;
        self.keeper.trim(trims).await.map_err(|e| store_failed(&e))
    }
}

/// A client of a keeper in another process.
#[derive(Clone, Debug)]
pub struct Remote {
    client: HttpClient,
    store: String,
}

impl Remote {
    /// Creates a client of the keeper whose peer listener is at `address` and
    /// whose store has the identity `store`. Each call takes at most `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the HTTP client cannot be created.
    pub fn new(address: SocketAddr, store: &str, timeout: Duration) -> Result<Self, Error> {
        let client = HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}{RPC_PATH}"))
            .map_err(|e| Error::Unreachable(e.to_string()))?;
        Ok(Self {
            client,
            store: store.to_owned(),
        })
    }
}

/// Whether this is the code with which a server answers a call whose request or response is too
/// large.
fn is_oversized(code: i32) -> bool {
    [OVERSIZED_REQUEST_CODE, OVERSIZED_RESPONSE_CODE].contains(&code)
}

/// Whether the client did not send a request because it is too large.
fn is_request_too_large(error: &(dyn std::error::Error + 'static)) -> bool {
    let error = error.downcast_ref::<transport::Error>();
    matches!(error, Some(transport::Error::RequestTooLarge))
}

fn client_error(error: client::Error) -> Error {
    match error {
        client::Error::Call(call) if call.code() == STORE_FAILED_CODE => {
            Error::Store(call.message().to_owned())
        }
        client::Error::Call(call) if is_oversized(call.code()) => {
            Error::TooLarge(call.message().to_owned())
        }
        client::Error::Transport(error) if is_request_too_large(&*error) => {
            Error::TooLarge(error.to_string())
        }
        other => Error::Unreachable(other.to_string()),
    }
}

#[async_trait]
impl Keeper for Remote {
    async fn append(&self, appends: Vec<Append>) -> Result<Vec<Outcome>, Error> {
        ApiClient::append(&self.client, self.store.clone(), appends)
            .await
            .map_err(client_error)
    }

    async fn seal(&self, seals: Vec<Seal>) -> Result<Vec<Sealed>, Error> {
        ApiClient::seal(&self.client, self.store.clone(), seals)
            .await
            .map_err(client_error)
    }

    async fn read(&self, slot: Slot, from: Index) -> Result<Page, Error> {
        ApiClient::read(&self.client, self.store.clone(), slot, from)
            .await
            .map_err(client_error)
    }

    async fn trim(&self, trims: Vec<Trim>) -> Result<(), Error> {
        ApiClient::trim(&self.client, self.store.clone(), trims)
            .await
            .map_err(client_error)
    }
}
