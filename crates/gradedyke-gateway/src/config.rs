//! The operator's configuration of routes, services, limits and client accounts, replaced
//! as a whole with each version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_turns::record::Id;

use gradedyke_policy::account::Directory;

/// Number of urgency classes that engines tell apart.
const URGENCY_CLASS_COUNT: u8 = 10;

/// Whether requests of a route may run more than once, and whether their responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events. A request may run more than once only if the route
    /// is [resumable](Route::resumable).
    Stream,
}

impl Kind {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Idempotent => "idempotent",
            Kind::AtMostOnce => "once",
            Kind::Stream => "stream",
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: f64,
}

/// A rule that maps requests by host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, unique in the configuration.
    pub name: String,
    /// Host name of the requests.
    pub host: String,
    /// Path prefix of the requests.
    pub path_prefix: String,
    /// Whether requests may run more than once, and whether their responses are streams.
    pub kind: Kind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Target latency of a response.
    pub latency_objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Maximum number of servers that a request is sent to.
    pub max_attempts: u32,
    /// How long turns are stored; `None` if they are not stored.
    pub retention: Option<Duration>,
    /// Whether an interrupted stream may be resumed at another server, after the last
    /// event received.
    pub resumable: bool,
    /// Whether callers may send requests without a key.
    pub public: bool,
    /// The regions in which requests may run; `None` for all.
    pub allowed_regions: Option<Vec<String>>,
}

/// Parameters of a service's engines, the backend servers that run a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that an engine runs at the same time.
    pub slots: u32,
    /// Number of tokens that fit in the cache of an engine.
    pub cache_capacity_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub max_event_tokens: u32,
}

/// A group of backend servers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name, unique in the configuration.
    pub name: String,
    /// Maximum number of connections to one server, over all entries.
    pub max_connections: u32,
    /// Maximum requests per second to a server that is warming up, over all entries; `None`
    /// for no limit.
    pub max_warm_up_rate_per_s: Option<f64>,
    /// Parameters of the service's engines, if it runs models.
    pub engine: Option<Engine>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Number of route priorities, which are `0..priority_count`.
    priority_count: u8,
    /// Number of combined priorities of accounts and routes.
    rank_count: u8,
    /// The routes by host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// The client accounts; `None` if callers need no keys.
    pub accounts: Option<Directory>,
}

impl Config {
    /// Builds a configuration and indexes its routes by host and its services by name.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        accounts: Option<Directory>,
    ) -> Self {
        let priority_count = routes.iter().map(|r| r.priority.saturating_add(1)).max();
        let priority_count = priority_count.unwrap_or(1);
        let max_account_priority = accounts.as_ref().map_or(0, Directory::max_priority);
        let rank_count = priority_count.saturating_mul(max_account_priority.saturating_add(1));
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let by_name = |s: Service| (s.name.clone(), s);
        Self {
            version,
            priority_count,
            rank_count,
            routes: by_host,
            services: services.into_iter().map(by_name).collect(),
            limits,
            accounts,
        }
    }

    /// Finds the route of a request: the one with the longest matching path prefix among the
    /// routes of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The priority of a request at an engine; 0 is the highest. The priority of the account
    /// takes precedence over that of the route, so that an account's long conversations do not wait
    /// behind short requests of another account with the same priority.
    pub fn priority(&self, account: Option<u8>, route: &Route) -> u8 {
        priority(account, route.priority, self.priority_count)
    }

    /// The urgency of a request of this [priority](Self::priority) at an engine; see [`urgency`].
    pub fn urgency(&self, priority: u8, is_late: bool) -> u8 {
        urgency(priority, self.rank_count, is_late)
    }

    /// Returns the longest time for which a route has turns stored; `None` if none does.
    pub fn longest_retention(&self) -> Option<Duration> {
        self.routes
            .values()
            .flatten()
            .filter_map(|r| r.retention)
            .max()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Combines the priorities of an account and a route, where the latter is in
/// `0..route_priority_count`. The account's priority takes precedence.
///
/// ```
/// use gradedyke_gateway::config::priority;
///
/// // Routes have the priorities 0 to 2.
/// assert_eq!(priority(None, 1, 3), 1);
/// assert_eq!(priority(Some(0), 2, 3), 2);
/// assert_eq!(priority(Some(1), 0, 3), 3);
/// ```
pub fn priority(account_priority: Option<u8>, route_priority: u8, route_priority_count: u8) -> u8 {
    let account_priority = account_priority.unwrap_or(0);
    account_priority
        .saturating_mul(route_priority_count)
        .saturating_add(route_priority)
}

/// The urgency of a request at an engine, of a priority in `0..rank_count`; 0 is the highest. If
/// each priority fits twice, it has two classes, the second one for programs that are late.
///
/// ```
/// use gradedyke_gateway::config::urgency;
///
/// assert_eq!([urgency(2, 5, false), urgency(2, 5, true)], [4, 5]);
/// assert_eq!([urgency(2, 6, false), urgency(2, 6, true)], [2, 2]);
/// ```
pub fn urgency(priority: u8, rank_count: u8, is_late: bool) -> u8 {
    if u16::from(rank_count) * 2 > u16::from(URGENCY_CLASS_COUNT) {
        return priority;
    }
    priority.saturating_mul(2).saturating_add(u8::from(is_late))
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || self.resumable
    }

    /// Chooses the service for a request by the targets' weights. Requests with the same
    /// `affinity_id`, a session or program ID, get the same service.
    pub fn choose_service(&self, affinity_id: Option<&Id>) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = total * affinity_fraction(affinity_id);
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        self.targets.last().map(|t| t.service.as_str())
    }
}

/// Hashes an ID to a number in `0.0..1.0`; without an ID the number is random.
fn affinity_fraction(id: Option<&Id>) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let Some(id) = id else {
        return rand::random();
    };
    let mut hasher = DefaultHasher::new();
    id.as_str().hash(&mut hasher);
    // The upper 32 bits of the hash, divided by 2^32.
    let upper = u32::try_from(hasher.finish() >> 32).unwrap_or_default();
    f64::from(upper) / (f64::from(u32::MAX) + 1.0)
}
