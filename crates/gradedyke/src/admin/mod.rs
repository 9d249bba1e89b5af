//! The admin listener: health and metrics of every process, and the operators'
//! API where the role runs.
//!
//! | method and path | does |
//! |---|---|
//! | `GET /healthz` | says that the process lives |
//! | `GET /readyz` | says whether callers may be sent here |
//! | `GET /metrics` | shows the metrics in Prometheus' text format |
//! | `GET /admin/v1/status` | tells of this instance and the members it sees |
//! | `GET /admin/v1/settings` | reads the settings in force |
//! | `PUT /admin/v1/settings` | puts new ones in force; `if-match` names the revision they replace |

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
use crate::entry::keys::bearer;
use crate::kernel::{self, Kernel, Mounts, Plugin};
use crate::membership::Member;
use crate::routing;

/// Largest settings that are taken, in bytes.
const SETTINGS_BYTES: usize = 4 << 20;
/// Longest time for settings to arrive.
const SETTINGS_TIME: Duration = Duration::from_secs(10);

/// What an instance tells of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// This instance.
    pub own: Member,
    /// The deployment it belongs to.
    pub deployment: String,
    /// The revision of the settings in force here.
    pub revision: u64,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Slots this instance owns, by the map it sees.
    pub slots: usize,
    /// Whether what it keeps survives a power cut: `disk`, `memory` or `none`.
    pub keeps: String,
    /// The members it sees.
    pub members: Vec<Member>,
}

/// The pages that every process serves, and the operators' API behind them.
pub(crate) struct Pages {
    kernel: Arc<Kernel>,
    operators: Option<Arc<dyn Handler>>,
}

impl Pages {
    pub(crate) fn new(kernel: Arc<Kernel>, operators: Option<Arc<dyn Handler>>) -> Self {
        Self { kernel, operators }
    }

    fn ready(&self) -> Response<Body> {
        if self.kernel.ready() {
            return reply::bytes_of(StatusCode::OK, "text/plain", "ready\n");
        }
        let reason = match (self.kernel.drain.is_cancelled(), self.kernel.map.loaded()) {
            (true, _) => "draining",
            (_, false) => "the key-value service has not been read yet",
            _ if !self.kernel.map.assigned() => {
                "programs have no owners yet; see whether enough keepers run"
            }
            _ => "no settings are in force; apply some with gradedyke settings apply",
        };
        let problem = Problem::new(Kind::Unavailable, reason);
        reply::problem(&problem.retry_after(Duration::from_secs(1)))
    }
}

#[async_trait]
impl Handler for Pages {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => reply::bytes_of(StatusCode::OK, "text/plain", "lives\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => {
                let kind = "text/plain; version=0.0.4";
                reply::bytes_of(StatusCode::OK, kind, kernel::render())
            }
            (_, path) => match &self.operators {
                Some(operators) => operators.handle(request).await,
                None => reply::no_route(path),
            },
        }
    }
}

/// The operators' API.
struct Operators {
    kernel: Arc<Kernel>,
}

#[async_trait]
impl Handler for Operators {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let result = self.answer(request).await;
        result.unwrap_or_else(|problem| reply::problem(&problem))
    }
}

impl Operators {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        self.authorize(request.headers())?;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/v1/status") => Ok(reply::json(StatusCode::OK, &self.status())),
            (&Method::GET, "/admin/v1/settings") => {
                Ok(reply::json(StatusCode::OK, &*self.kernel.current.get()))
            }
            (&Method::PUT, "/admin/v1/settings") => self.apply(request).await,
            (method, "/admin/v1/status" | "/admin/v1/settings") => {
                let message = format!("{path} does not take {method}; see docs/API.md");
                Err(Problem::new(Kind::BadMethod, message))
            }
            _ => Ok(reply::no_route(&path)),
        }
    }

    /// Only operators may go on: those in the settings in force, or the one in
    /// this instance's own settings, who is there before any are.
    fn authorize(&self, headers: &HeaderMap) -> Result<(), Problem> {
        let key = bearer(headers).unwrap_or_default();
        let first = self.kernel.settings.operator_hash.as_deref();
        let settings = self.kernel.current.get();
        if settings.tree.is_operator(key) || first == Some(hash_key(key).as_str()) {
            return Ok(());
        }
        let message = "the key is missing or no operator's; send authorization: Bearer KEY with \
                       an operator's key";
        Err(Problem::new(Kind::Unauthorized, message))
    }

    fn status(&self) -> Status {
        let kernel = &self.kernel;
        let own = kernel.members.own();
        let view = kernel.map.view();
        let shards = view.iter().map(|version| {
            let places = 0..u16::try_from(version.shard.slots.len()).unwrap_or(0);
            let holders = places.filter_map(|place| version.shard.holder(place));
            holders.filter(|holder| holder.owner == own.id).count()
        });
        let keeps = match (own.runs(Role::Keeper), own.disk) {
            (false, _) => "none",
            (true, false) => "memory",
            (true, true) => "disk",
        };
        Status {
            deployment: kernel.settings.deployment.clone(),
            revision: kernel.current.get().revision,
            ready: kernel.ready(),
            slots: shards.sum(),
            keeps: keeps.to_owned(),
            members: kernel.members.view().values().cloned().collect(),
            own,
        }
    }

    async fn apply(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let known = request.headers().get(header::IF_MATCH);
        let known = known.and_then(|v| v.to_str().ok()?.parse().ok());
        let bytes = body::collect(request.into_body(), SETTINGS_BYTES, SETTINGS_TIME).await?;
        let Some(known) = known else {
            let message = "the header if-match is missing; name the revision you read and changed";
            return Err(Problem::new(Kind::BadRequest, message));
        };
        let text = String::from_utf8_lossy(&bytes);
        let tree = check::read_with("settings", &text, routing::faults).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
            Problem::new(Kind::BadRequest, lines.join("\n"))
        })?;
        let applied = current::apply(&*self.kernel.kv, tree, known).await;
        let snapshot = applied.map_err(|error| match error {
            current::Error::Conflict(_) => Problem::new(Kind::Conflict, error.to_string()),
            other => Problem::new(Kind::Unavailable, other.to_string())
                .may_have_run()
                .retry_after(Duration::from_secs(1)),
        })?;
        tracing::info!(event = "settings_applied", revision = snapshot.revision);
        self.kernel.current.take(snapshot.clone());
        Ok(reply::json(StatusCode::OK, &snapshot))
    }
}

inventory::submit! {
    Plugin {
        role: Role::Admin,
        mount: |kernel: &Arc<Kernel>, mounts: &mut Mounts| {
            mounts.operators(Arc::new(Operators { kernel: kernel.clone() }));
            Ok(())
        },
    }
}
