//! Small stand-ins for the systems around gradedyke, for the demo and for tests.
//!
//! They implement the same published HTTP protocols as the real systems, record
//! the calls they ran, and inject faults on request. Networks and hosts are not
//! modelled. The library does not depend on this crate.
//!
//! - [`platform`]: the platform: key-value service, instance list and weight store.
//! - [`engine`]: a model engine with batching and a bounded prefix cache.
//! - [`service`]: a plain service.

pub mod engine;
pub mod platform;
pub mod service;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use gradedyke_http::server::{Config, Handler, Protocol, Server};
use tokio_util::sync::CancellationToken;

/// Serves `handler` on `address` in the background until `stop` is cancelled, and returns the
/// bound address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn serve(
    handler: Arc<dyn Handler>,
    address: SocketAddr,
    stop: &CancellationToken,
) -> io::Result<SocketAddr> {
    let config = Config {
        protocol: Protocol::Both,
        ..Config::default()
    };
    let server = Server::bind(address, config).await?;
    let bound = server.address()?;
    tokio::spawn(server.serve(handler, stop.clone()));
    Ok(bound)
}

/// Creates a stand-in of this kind: `platform`, `engine` or `service`. Returns `None` for any
/// other name.
pub fn create_handler(kind: &str) -> Option<Arc<dyn Handler>> {
    match kind {
        "platform" => Some(Arc::new(platform::PlatformHandler(
            platform::Platform::start(),
        ))),
        "engine" => {
            let engine = engine::Engine::start(engine::Config::default());
            Some(Arc::new(engine::EngineHandler(engine)))
        }
        "service" => Some(Arc::new(service::Service::default())),
        _ => None,
    }
}

/// A response whose body fails, as if the server had crashed while it was responding.
fn aborted_response() -> http::Response<gradedyke_http::Body> {
    let (sender, body) = gradedyke_http::body::channel(1);
    let _ = sender.try_send(Err("aborted by the test".into()));
    http::Response::new(body)
}
