//! The admin listener: health checks and metrics on every process, and the
//! operator API on processes with the admin role.
//!
//! | method and path | action |
//! |---|---|
//! | `GET /healthz` | reports that the process is running |
//! | `GET /readyz` | reports whether callers may send requests to this process |
//! | `GET /metrics` | returns the metrics in the Prometheus text format |
//! | `GET /admin/v1/status` | returns the state of this instance and the members that it knows |
//! | `GET /admin/v1/settings` | returns the active settings |
//! | `PUT /admin/v1/settings` | applies new settings; `if-match` names the revision that they replace |

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gradedyke_base::problem::{Kind, Problem};
use gradedyke_base::settings::check;
use gradedyke_base::settings::instance::Role;
use gradedyke_base::settings::tree::hash_key;
use gradedyke_http::{Body, Handler, body, reply};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::current;
use crate::entry::keys::bearer_key;
use crate::kernel::{self, Kernel, Mounts, Plugin};
use crate::membership::Member;
use crate::routing;

/// Maximum size of uploaded settings, in bytes.
const MAX_SETTINGS_BYTES: usize = 4 << 20;
/// Timeout for receiving uploaded settings.
const SETTINGS_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The status of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// This instance.
    pub own: Member,
    /// The deployment it belongs to.
    pub deployment: String,
    /// The revision of the settings that are active on this instance.
    pub revision: u64,
    /// Whether callers may send requests to this instance.
    pub ready: bool,
    /// Number of slots that this instance owns according to its slot map.
    pub slots: usize,
    /// Where its keeper stores the journal: `disk`, `memory`, or `none` without
    /// a keeper.
    pub keeps: String,
    /// The members that this instance knows.
    pub members: Vec<Member>,
}

/// Handles health checks and metrics, and passes other requests to the operator
/// API if it is mounted.
pub(crate) struct AdminHandler {
    kernel: Arc<Kernel>,
    operator_handler: Option<Arc<dyn Handler>>,
}

impl AdminHandler {
    pub(crate) fn new(kernel: Arc<Kernel>, operator_handler: Option<Arc<dyn Handler>>) -> Self {
        Self {
            kernel,
            operator_handler,
        }
    }

    /// Answers a readiness check. While not ready, says why.
    fn readiness(&self) -> Response<Body> {
        if self.kernel.is_ready() {
            return reply::with_bytes(StatusCode::OK, "text/plain", "ready\n");
        }
        let reason = match (
            self.kernel.draining.is_cancelled(),
            self.kernel.slot_map.is_loaded(),
        ) {
            (true, _) => "draining",
            (_, false) => "the key-value service has not been read yet",
            _ if !self.kernel.slot_map.is_assigned() => {
                "programs have no owners yet; see whether enough keepers run"
            }
            _ => "no settings are in force; apply some with gradedyke settings apply",
        };
        let problem = Problem::new(Kind::Unavailable, reason);
        reply::problem(&problem.with_retry_after(Duration::from_secs(1)))
    }
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => {
                reply::with_bytes(StatusCode::OK, "text/plain", "lives\n")
            }
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => {
                let content_type = "text/plain; version=0.0.4";
                reply::with_bytes(StatusCode::OK, content_type, kernel::render_metrics())
            }
            (_, path) => match &self.operator_handler {
                Some(handler) => handler.handle(request).await,
                None => reply::no_route(path),
            },
        }
    }
}

/// Handles requests to the operator API.
struct OperatorHandler {
    kernel: Arc<Kernel>,
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let result = self.dispatch(request).await;
        result.unwrap_or_else(|problem| reply::problem(&problem))
    }
}

impl OperatorHandler {
    /// Authorizes a request and handles it according to its path and method.
    async fn dispatch(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        self.authorize(request.headers())?;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/v1/status") => Ok(reply::json(StatusCode::OK, &self.status())),
            (&Method::GET, "/admin/v1/settings") => Ok(reply::json(
                StatusCode::OK,
                &*self.kernel.active_settings.get(),
            )),
            (&Method::PUT, "/admin/v1/settings") => self.apply(request).await,
            (method, "/admin/v1/status" | "/admin/v1/settings") => {
                let message = format!("{path} does not take {method}; see docs/API.md");
                Err(Problem::new(Kind::BadMethod, message))
            }
            _ => Ok(reply::no_route(&path)),
        }
    }

    /// Checks the request's operator key, which must be one of those in the
    /// active settings or the one in this instance's own settings. The latter
    /// makes it possible to apply the first settings.
    fn authorize(&self, headers: &HeaderMap) -> Result<(), Problem> {
        let key = bearer_key(headers).unwrap_or_default();
        let local_hash = self.kernel.settings.operator_hash.as_deref();
        let settings = self.kernel.active_settings.get();
        if settings.tree.is_operator(key) || local_hash == Some(hash_key(key).as_str()) {
            return Ok(());
        }
        let message = "the key is missing or no operator's; send authorization: Bearer KEY with \
                       an operator's key";
        Err(Problem::new(Kind::Unauthorized, message))
    }

    /// Returns the status of this instance.
    fn status(&self) -> Status {
        let kernel = &self.kernel;
        let own = kernel.members.own();
        let view = kernel.slot_map.view();
        let slot_counts = view.iter().map(|version| {
            let slots = 0..u16::try_from(version.shard.slots.len()).unwrap_or(0);
            let holders = slots.filter_map(|slot| version.shard.holder(slot));
            holders.filter(|holder| holder.owner == own.id).count()
        });
        let keeps = match (own.has_role(Role::Keeper), own.disk) {
            (false, _) => "none",
            (true, false) => "memory",
            (true, true) => "disk",
        };
        Status {
            deployment: kernel.settings.deployment.clone(),
            revision: kernel.active_settings.get().revision,
            ready: kernel.is_ready(),
            slots: slot_counts.sum(),
            keeps: keeps.to_owned(),
            members: kernel.members.view().values().cloned().collect(),
            own,
        }
    }

    /// Applies uploaded settings on top of the revision in `if-match`.
    async fn apply(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let base_revision = request.headers().get(header::IF_MATCH);
        let base_revision = base_revision.and_then(|v| v.to_str().ok()?.parse().ok());
        let bytes = body::collect(
            request.into_body(),
            MAX_SETTINGS_BYTES,
            SETTINGS_READ_TIMEOUT,
        )
        .await?;
        let Some(base_revision) = base_revision else {
            let message = "the header if-match is missing; name the revision you read and changed";
            return Err(Problem::new(Kind::BadRequest, message));
        };
        let text = String::from_utf8_lossy(&bytes);
        let tree = check::read_with_checks("settings", &text, routing::check_policies).map_err(
            |errors| {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                Problem::new(Kind::BadRequest, lines.join("\n"))
            },
        )?;
        let applied = current::apply(&*self.kernel.kv, tree, base_revision).await;
        let snapshot = applied.map_err(|error| match error {
            current::Error::Conflict(_) => Problem::new(Kind::Conflict, error.to_string()),
            other => Problem::new(Kind::Unavailable, other.to_string())
                .with_unknown_outcome()
                .with_retry_after(Duration::from_secs(1)),
        })?;
        tracing::info!(event = "settings_applied", revision = snapshot.revision);
        self.kernel.active_settings.update(snapshot.clone());
        Ok(reply::json(StatusCode::OK, &snapshot))
    }
}

inventory::submit! {
    Plugin {
        role: Role::Admin,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            mounts.set_operator_handler(Arc::new(OperatorHandler { kernel: kernel.clone() }));
            Ok(())
        },
    }
}
