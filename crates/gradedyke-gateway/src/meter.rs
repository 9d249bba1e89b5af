//! Counters and latency histograms, and the page that shows them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use async_trait::async_trait;
use gradedyke_http::body::Body;
use gradedyke_http::server::Config;
use gradedyke_http::{Handler, Server, reply};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio_util::sync::CancellationToken;

/// Bounds of the histograms, in seconds: from a millisecond, the least that the
/// way between two processes takes, to a minute, above any route's limit.
const BOUNDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5.0, 15.0, 60.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder, once for the process.
pub fn install() {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&BOUNDS).ok()?;
        builder
            .install_recorder()
            .inspect_err(|error| {
                tracing::warn!(event = "metrics_not_installed", %error,
                    remedy = "another recorder of this process serves");
            })
            .ok()
    });
}

struct Page;

#[async_trait]
impl Handler for Page {
    async fn handle(&self, _: Request<Incoming>) -> Response<Body> {
        let handle = HANDLE.get().and_then(Option::as_ref);
        let text = handle.map(PrometheusHandle::render).unwrap_or_default();
        reply::bytes_of(StatusCode::OK, "text/plain; version=0.0.4", text)
    }
}

/// Connections to the metrics page at a time: scrapers are few.
const CONNECTIONS: usize = 16;

/// Serves the page on `address` until `stop`.
pub async fn serve(address: SocketAddr, stop: CancellationToken) {
    let config = Config {
        connections: CONNECTIONS,
        ..Config::default()
    };
    match Server::bind(address, config).await {
        Ok(server) => server.serve(Arc::new(Page), stop).await,
        Err(error) => tracing::warn!(event = "metrics_not_served", %address, %error,
            remedy = "free the address or change listen.metrics"),
    }
}
