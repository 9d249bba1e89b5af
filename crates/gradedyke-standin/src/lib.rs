//! Small stand-ins for what surrounds gradedyke, for the demo and for tests.
//!
//! They speak the same published formats over HTTP as the real things, keep
//! their own records of what they ran, and fail when told to. They model no
//! network and no hosts. The library never depends on them.
//!
//! - [`platform`]: key-value service, instance list and weight store.
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

/// Serves `handler` on `address` until `stop` and returns the bound address.
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

/// The stand-in named `kind`: `platform`, `engine` or `service`.
pub fn handler(kind: &str) -> Option<Arc<dyn Handler>> {
    match kind {
        "platform" => Some(Arc::new(platform::Listener(platform::Platform::start()))),
        "engine" => {
            let engine = engine::Engine::start(engine::Config::default());
            Some(Arc::new(engine::Listener(engine)))
        }
        "service" => Some(Arc::new(service::Service::default())),
        _ => None,
    }
}

/// A reply that breaks off, as a process does that dies while answering.
fn cut() -> http::Response<gradedyke_http::Body> {
    let (sender, body) = gradedyke_http::body::channel(1);
    let _ = sender.try_send(Err("cut on request of a test".into()));
    http::Response::new(body)
}
