//! The listeners of an entry: callers' requests, and the platform's question whether
//! callers may come.

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
use super::refusal::Refusal;
use crate::dialect::Meta;

/// Counts a request as in progress until it is dropped.
struct Active(Arc<Entry>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that gets an answer of the gateway's own.
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) meta: Meta,
    /// In how long what it lacks is expected to be there: a place at its service, or
    /// keepers that keep up.
    pub(super) drain: Duration,
}

impl Refused {
    fn answer(
        &self,
        waited: Duration,
        config: Option<u64>,
        age: Option<Duration>,
    ) -> Response<Body> {
        let name = |id: Option<&Id>| id.map_or_else(String::new, |id| id.as_str().to_owned());
        let after = self.refusal.retry_after(self.drain, rand::random());
        tracing::info!(
            event = "refused",
            request = name(self.meta.request.as_ref()),
            program = name(self.meta.program.as_ref()),
            why = self.refusal.name(),
            waited_ms = waited.as_millis(),
            drain_ms = self.drain.as_millis(),
            retry_after_ms = after.map(|a| a.as_millis()),
            config,
            config_age_ms = age.map(|a| a.as_millis())
        );
        self.refusal.answer(after)
    }
}

/// Answers callers' requests.
pub struct Door(pub Arc<Entry>);

#[async_trait]
impl Handler for Door {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let entry = &self.0;
        let arrived = Instant::now();
        entry.active.fetch_add(1, Ordering::Relaxed);
        let active = Active(entry.clone());
        let served = entry.serve(request, arrived).await;
        let seconds = arrived.elapsed().as_secs_f64();
        let outcome = match &served {
            Ok(_) => "answered",
            Err(refused) => refused.refusal.name(),
        };
        metrics::counter!("gradedyke_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("gradedyke_head_seconds").record(seconds);
        let mut response = served.unwrap_or_else(|refused| {
            let config = entry.config.load().as_ref().map(|c| c.version);
            refused.answer(arrived.elapsed(), config, entry.age(arrived))
        });
        // Callers that stay on this connection are better served elsewhere.
        let elsewhere = outcome != "answered" && !entry.ready();
        if entry.drain.is_cancelled() || elsewhere {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let (head, body) = response.into_parts();
        Response::from_parts(head, hold(body, active))
    }
}

/// A body that counts its request as in progress until it has ended.
fn hold(body: Body, active: Active) -> Body {
    use http_body_util::BodyExt;
    body.map_frame(move |frame| {
        let _ = &active;
        frame
    })
    .boxed_unsync()
}

/// Answers the platform's question whether callers may come.
pub struct Readiness(pub Arc<Entry>);

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let asked = request.uri().path() == self.0.dialect.ready_path();
        let status = match (asked, self.0.ready()) {
            (false, _) => http::StatusCode::NOT_FOUND,
            (true, true) => http::StatusCode::OK,
            (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(body::empty());
        *response.status_mut() = status;
        response
    }
}
