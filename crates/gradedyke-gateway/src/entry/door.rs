//! HTTP handlers of an entry: callers' requests, and the readiness check of the platform.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_http::{Body, Handler, body};
use gradedyke_turns::record::Id;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::provenance::Provenance;
use super::refusal::Refusal;
use crate::dialect::Meta;

/// Guard that counts a request as in progress until the guard is dropped.
struct ActiveRequest(Arc<Entry>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that the entry answers with an error response.
pub(super) struct RefusedRequest {
    pub(super) refusal: Refusal,
    pub(super) meta: Meta,
    /// Expected time until a backend server has a free slot, the delay from
    /// `Throttle::retry_after`, or that from `outage::History::delay`.
    pub(super) expected_wait: Duration,
}

impl RefusedRequest {
    fn response(&self, waited: Duration, provenance: &Provenance) -> Response<Body> {
        let id_text = |id: Option<&Id>| id.map_or_else(String::new, |id| id.as_str().to_owned());
        let retry_after = self.refusal.retry_after(self.expected_wait, rand::random());
        tracing::info!(
            event = "refused",
            request = id_text(self.meta.request_id.as_ref()),
            program = id_text(self.meta.program.as_ref()),
            why = self.refusal.name(),
            waited_ms = waited.as_millis(),
            drain_ms = self.expected_wait.as_millis(),
            retry_after_ms = retry_after.map(|a| a.as_millis()),
            config = provenance.version,
            config_age_ms = provenance.age_ms(),
            config_source = provenance.source_text()
        );
        self.refusal.response(retry_after)
    }
}

/// Handles callers' requests.
pub struct CallerHandler(pub Arc<Entry>);

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let entry = &self.0;
        let arrived = Instant::now();
        entry.active_requests.fetch_add(1, Ordering::Relaxed);
        let active = ActiveRequest(entry.clone());
        let result = entry.serve(request, arrived).await;
        let seconds = arrived.elapsed().as_secs_f64();
        let outcome = match &result {
            Ok(_) => "answered",
            Err(refused) => refused.refusal.name(),
        };
        metrics::counter!("gradedyke_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("gradedyke_head_seconds").record(seconds);
        let mut response = result.unwrap_or_else(|refused| {
            let config = entry.config.load();
            let age = entry.data_age_upper_bound(arrived);
            let provenance = entry.provenance(config.as_deref(), age);
            refused.response(arrived.elapsed(), &provenance)
        });
        // After an error response while this entry is not ready, the connection is closed, so
        // that the caller connects to another entry.
        let should_reconnect = outcome != "answered" && !entry.is_ready();
        if entry.drain.is_cancelled() || should_reconnect {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let (head, body) = response.into_parts();
        Response::from_parts(head, count_until_end(body, active))
    }
}

/// Wraps a body so that its request counts as in progress until the body is dropped.
fn count_until_end(body: Body, active: ActiveRequest) -> Body {
    use http_body_util::BodyExt;
    body.map_frame(move |frame| {
        let _ = &active;
        frame
    })
    .boxed_unsync()
}

/// Answers the platform's readiness check.
pub struct ReadinessHandler(pub Arc<Entry>);

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let is_ready_path = request.uri().path() == self.0.dialect.ready_path();
        let status = match (is_ready_path, self.0.is_ready()) {
            (false, _) => http::StatusCode::NOT_FOUND,
            (true, true) => http::StatusCode::OK,
            (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(body::empty());
        *response.status_mut() = status;
        response
    }
}
