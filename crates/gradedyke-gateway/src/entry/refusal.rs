//! Error responses that an entry sends itself.

use std::time::Duration;

use bytes::Bytes;
use gradedyke_http::Body;
use gradedyke_http::body;
use gradedyke_policy::{MIN_RETRY_AFTER, outage};
use http::{HeaderValue, Response, StatusCode, header};

/// Why an entry responded to a request with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or belongs to no client account.
    Unauthorized,
    /// The local copy of keys and configuration may be outdated. The request has not run.
    StaleData,
    /// The request exceeds the allowance of its client account.
    AllowanceExceeded,
    /// The request is not well formed.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// No backend server is available for the request. It has not run.
    NoServer,
    /// The backend servers that were tried refused the request or could not be reached, or
    /// no slot is expected before its deadline. It has not run.
    NoCapacity,
    /// The keepers cannot be reached, are starting or are overloaded. The request has not run.
    NoKeepers,
    /// The request may begin a program, and the throttle does not admit it because the keepers
    /// are overloaded.
    Throttled,
    /// The request begins a program, and the servers of its service are full; with the time after
    /// which there is room for it. It has not run.
    ServiceFull(Duration),
    /// The turn that the request continues does not exist.
    TurnNotFound,
    /// Keepers that are down may have the only records of the turn that the request continues, or of
    /// its program. The request has not run.
    RecordsAbsent,
    /// The conversation with the new input is larger than can be sent to a server. The request
    /// has not run.
    ConversationTooLarge,
    /// The token budget of the program is used up.
    BudgetExceeded,
    /// Several backend servers ended while they ran the same request before. It has not run
    /// again.
    EndsServers,
    /// The bodies of other requests take all memory for them. The request has not run.
    NoMemory,
    /// The process stops, and the request may not end before. It has not run.
    Stopping,
    /// The deadline passed before the request could be sent.
    TooLate,
    /// The request was sent, but no complete response arrived. It may have run.
    Interrupted,
    /// The request was sent, and its deadline passed. It may have run.
    TimedOut,
}

/// Longest retry delay that callers are given, apart from the jitter. Callers retry for a few
/// seconds only, and an estimate further ahead is a guess.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Range of the random factor applied to retry delays, so that callers that were refused
/// together do not retry together.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Retry delay while the process has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Refusal {
    /// Name in logs, metrics and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoConfig => "not_started",
            Refusal::NoRoute => "no_route",
            Refusal::Unauthorized => "unauthorized",
            Refusal::StaleData => "unconfirmed",
            Refusal::AllowanceExceeded => "exceeded",
            Refusal::Malformed => "malformed",
            Refusal::TooLarge => "too_large",
            Refusal::NoServer => "no_server",
            Refusal::NoCapacity => "full",
            Refusal::NoKeepers => "no_keepers",
            Refusal::Throttled => "overload",
            Refusal::ServiceFull(_) => "service_full",
            Refusal::TurnNotFound => "no_turn",
            Refusal::RecordsAbsent => "records_absent",
            Refusal::ConversationTooLarge => "conversation_too_large",
            Refusal::BudgetExceeded => "spent",
            Refusal::EndsServers => "ends_servers",
            Refusal::NoMemory => "no_memory",
            Refusal::Stopping => "stopping",
            Refusal::TooLate => "too_late",
            Refusal::Interrupted => "broken",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Whether it is certain that the request has not run and will not run.
    pub fn is_unexecuted(self) -> bool {
        !matches!(self, Refusal::Interrupted | Refusal::TimedOut)
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute | Refusal::TurnNotFound => StatusCode::NOT_FOUND,
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::AllowanceExceeded => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::TooLarge | Refusal::ConversationTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BudgetExceeded => StatusCode::PAYMENT_REQUIRED,
            Refusal::Interrupted => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::NoConfig
            | Refusal::StaleData
            | Refusal::NoServer
            | Refusal::NoCapacity
            | Refusal::NoKeepers
            | Refusal::RecordsAbsent
            | Refusal::Throttled
            | Refusal::ServiceFull(_)
            | Refusal::EndsServers
            | Refusal::NoMemory
            | Refusal::Stopping
            | Refusal::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the delay after which the caller should retry; `None` if a retry does not
    /// help. `expected_wait` is the estimated time until a backend server has a free slot or the
    /// allowance has room, the delay from `Throttle::retry_after`, or for outdated data the
    /// shortest useful delay, zero if nothing is known about it. `random`, from 0 to 1, selects
    /// the jitter.
    ///
    /// ```
    /// use gradedyke_gateway::entry::refusal::Refusal;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// assert_eq!(Refusal::NoCapacity.retry_after(second, 0.5), Some(second));
    /// assert_eq!(Refusal::NoCapacity.retry_after(second, 0.0), Some(second.mul_f64(0.75)));
    /// assert_eq!(Refusal::BudgetExceeded.retry_after(second, 0.5), None);
    /// ```
    pub fn retry_after(self, expected_wait: Duration, random: f64) -> Option<Duration> {
        // The times of callers that wait for room differ already; a random factor would change
        // their order.
        if let Refusal::ServiceFull(wait) = self {
            return Some(wait);
        }
        let jitter = match self {
            Refusal::StaleData if !expected_wait.is_zero() => outage::JITTER,
            _ => RETRY_AFTER_JITTER,
        };
        let wait = match self {
            Refusal::NoConfig => STARTUP_RETRY_AFTER,
            Refusal::NoCapacity
            | Refusal::NoKeepers
            | Refusal::Throttled
            | Refusal::AllowanceExceeded => expected_wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            Refusal::StaleData => expected_wait.max(MIN_RETRY_AFTER),
            // Instances take seconds to come back.
            Refusal::RecordsAbsent => MAX_RETRY_AFTER,
            // The caller's next connection goes to another instance.
            Refusal::NoServer | Refusal::NoMemory | Refusal::Stopping => MIN_RETRY_AFTER,
            _ => return None,
        };
        let factor = jitter.start + (jitter.end - jitter.start) * random;
        Some(wait.mul_f64(factor))
    }

    fn message(self) -> &'static str {
        match self {
            Refusal::NoConfig => "no configuration is known yet; come back soon",
            Refusal::NoRoute => "no route for this host and path; correct them",
            Refusal::Unauthorized => {
                "the key is missing or not known; send a key of your client account"
            }
            Refusal::StaleData => {
                "whether it is allowed cannot be checked here now; come back soon"
            }
            Refusal::AllowanceExceeded => {
                "the allowance of the client account is used; come back soon"
            }
            Refusal::Malformed => "the request is not well formed; correct its headers or body",
            Refusal::TooLarge => "the body is larger than allowed; send less",
            Refusal::NoServer => "no backend server is available; come back soon",
            Refusal::NoCapacity => "the backend servers are full; come back soon",
            Refusal::NoKeepers => "the conversation cannot be kept now; come back soon",
            Refusal::Throttled => {
                "no program can begin now, others under way go first; come back soon"
            }
            Refusal::ServiceFull(_) => {
                "no program can begin now because the backend servers are full; come back then"
            }
            Refusal::TurnNotFound => "there is no such turn; start a new conversation",
            Refusal::RecordsAbsent => {
                "what it continues may be on a keeper that is down; come back soon"
            }
            Refusal::ConversationTooLarge => {
                "the conversation is too large to be continued; start a new one"
            }
            Refusal::BudgetExceeded => "the program's budget is spent; end it",
            Refusal::EndsServers => {
                "several backend servers ended while they ran it; change its content"
            }
            Refusal::NoMemory => "too much is being received here; come back soon or send less",
            Refusal::Stopping => "this instance stops; send the request again",
            Refusal::TooLate => "the time was over before the request could be sent",
            Refusal::Interrupted => "the backend server broke off; the request may have run",
            Refusal::TimedOut => "the time is over; the request may have run",
        }
    }

    /// Builds the response, with a `retry-after` header in seconds if a delay is given.
    ///
    /// ```
    /// use gradedyke_gateway::entry::refusal::Refusal;
    /// use std::time::Duration;
    ///
    /// let response = Refusal::NoServer.response(Some(Duration::from_millis(250)));
    /// assert_eq!(response.status(), 503);
    /// assert_eq!(response.headers()["retry-after"], "0.250");
    /// ```
    pub fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let text = format!("{}: {}\n", self.name(), self.message());
        let mut response = Response::new(body::full(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, content_type);
        let retry_after = retry_after.map(|d| format!("{:.3}", d.as_secs_f64()));
        if let Some(Ok(retry_after)) = retry_after.map(|a| HeaderValue::from_str(&a)) {
            headers.insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}
