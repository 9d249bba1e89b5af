//! A caller's request after routing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gradedyke_turns::record::Id;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use super::provenance::Provenance;
use crate::config::{Config, Route};
use crate::dialect::Meta;
use crate::memory::Lease;
use gradedyke_policy::account::Account;
use gradedyke_policy::allowance::Charge;

/// A response is considered slow after the route's latency objective times this factor.
const SLOW_RATIO: f64 = 1.5;

/// A request whose body was read and whose route is known.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier that the caller gave this request.
    pub id: Id,
    /// The configuration that was active when the request was routed.
    pub config: Arc<Config>,
    /// Where that configuration came from, and its age.
    pub provenance: Provenance,
    /// The matched route.
    pub route: Arc<Route>,
    /// Name of the service whose backend servers run the request.
    pub service: String,
    /// The client account whose key was sent; `None` if the request was accepted without a
    /// key.
    pub account: Option<Arc<Account>>,
    /// The charge to its account; `None` if the account has no limit.
    pub charge: Option<Charge>,
    /// Regions in which the request may run; `None` for all.
    pub allowed_regions: Option<Vec<String>>,
    /// Request properties from the caller's headers.
    pub meta: Meta,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Memory of the body.
    pub(super) _body_memory: Arc<Lease>,
    /// When the request head arrived.
    pub arrived: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
}

impl Call {
    /// Returns the identifier under which the caller's `id` is stored. It includes the client
    /// account, so that accounts cannot reach each other's data.
    pub fn scoped_id(&self, id: &Id) -> Id {
        match &self.account {
            Some(account) => account.scoped_id(id),
            None => id.clone(),
        }
    }

    /// Whether the request is the first turn of a stored conversation, which begins a program.
    pub fn is_program_start(route: &Route, meta: &Meta) -> bool {
        route.retention.is_some() && meta.parent.is_none()
    }

    /// Returns the combined priority of account and route; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        self.config.priority(account, &self.route)
    }

    /// Returns the time left until the program should be over; `None` if the caller stated none.
    pub fn program_time_left(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.arrived);
        Some(self.meta.program_deadline?.saturating_sub(elapsed))
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns when the response to a request sent at `now` is considered slow.
    pub fn slow_at(&self, now: Instant) -> Instant {
        now + self.slow_threshold()
    }

    /// Returns the time after which a response whose head has not arrived is considered slow.
    pub fn slow_threshold(&self) -> Duration {
        self.route.latency_objective.mul_f64(SLOW_RATIO)
    }

    /// Returns the maximum request rate of a server of the service that is warming up; `None`
    /// for no limit.
    pub fn max_warm_up_rate_per_s(&self) -> Option<f64> {
        self.config
            .services
            .get(&self.service)?
            .max_warm_up_rate_per_s
    }

    /// Returns the regions that both the route and the account allow; `None` for all.
    pub fn allowed_regions(route: &Route, account: Option<&Account>) -> Option<Vec<String>> {
        let account = account.and_then(|a| a.allowed_regions.as_ref());
        let Some((route, account)) = route.allowed_regions.as_ref().zip(account) else {
            return route.allowed_regions.as_ref().or(account).cloned();
        };
        let common = route.iter().filter(|region| account.contains(region));
        Some(common.cloned().collect())
    }

    /// Returns the parameters of the service's engines, which are backend servers that run a
    /// model; `None` if it runs no models.
    pub fn engine(&self) -> Option<crate::config::Engine> {
        self.config.services.get(&self.service)?.engine
    }
}
