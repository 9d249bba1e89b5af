//! Handles requests of peers: calls from entries, JSON-RPC, and liveness checks.

use std::sync::Arc;

use async_trait::async_trait;
use gradedyke_base::id;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_http::{Body, Handler, reply};
use gradedyke_journal::rpc::{MAX_MESSAGE_BYTES, RPC_PATH};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jsonrpsee::Methods;
use jsonrpsee::server::{ServerConfig, StopHandle, TowerServiceBuilder};
use tower::Service;

use crate::wire::CALLS_PATH;

/// Path prefix of liveness checks, followed by an instance's name.
const LIVENESS_PATH: &str = "/lives/";

/// Handles requests on the listener for peers.
pub(super) struct PeerHandler {
    id: id::Instance,
    call_handler: Option<Arc<dyn Handler>>,
    methods: Methods,
    stop: StopHandle,
    builder: TowerServiceBuilder<tower::layer::util::Identity, tower::layer::util::Identity>,
}

impl PeerHandler {
    pub(super) fn new(
        id: id::Instance,
        call_handler: Option<Arc<dyn Handler>>,
        methods: Methods,
        stop: StopHandle,
    ) -> Self {
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(u32::MAX)
            .http_only()
            .build();
        let builder = jsonrpsee::server::Server::builder()
            .set_config(config)
            .to_service_builder();
        Self {
            id,
            call_handler,
            methods,
            stop,
            builder,
        }
    }

    /// Handles a JSON-RPC request.
    async fn rpc(&self, request: Request<Incoming>) -> Response<Body> {
        let builder = self.builder.clone();
        let mut service = builder.build(self.methods.clone(), self.stop.clone());
        match service.call(request).await {
            Ok(reply) => reply.map(|body| body.map_err(Into::into).boxed_unsync()),
            Err(error) => reply::problem(&Problem::new(Kind::Internal, error.to_string())),
        }
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path == RPC_PATH {
            return self.rpc(request).await;
        }
        if let Some(name) = path.strip_prefix(LIVENESS_PATH) {
            return reply::json(StatusCode::OK, &(name == self.id.as_str()));
        }
        match &self.call_handler {
            Some(handler) if path == CALLS_PATH => handler.handle(request).await,
            _ => reply::no_route(path),
        }
    }
}
