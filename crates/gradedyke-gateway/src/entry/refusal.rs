//! Answers of the gateway's own.

use std::time::Duration;

use bytes::Bytes;
use gradedyke_http::Body;
use gradedyke_http::body;
use http::{HeaderValue, Response, StatusCode, header};

/// Why a request gets an answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotStarted,
    /// No route fits.
    NoRoute,
    /// The key is missing, or no account holds it.
    Unauthorized,
    /// Whether the key or the configuration still holds has not been confirmed lately; it has
    /// not run.
    Unconfirmed,
    /// It is beyond the allowance of its account.
    Exceeded,
    /// The request is not well formed.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
    /// No server may take it now; it has not run.
    NoServer,
    /// The servers that were asked did not run it.
    Full,
    /// The turns cannot be read or kept now; it has not run.
    NoKeepers,
    /// The keepers have more to do than they can, and it would begin a program.
    Overload,
    /// The turn that it continues does not exist.
    NoTurn,
    /// The program's budget is spent.
    Spent,
    /// Its time was over before it was sent.
    TooLate,
    /// It was sent, and what became of it is not known.
    Broken,
    /// It was sent, and its time is over.
    TimedOut,
}

/// Wait asked of a caller whose request has not run, where the cause may go
/// away with a single server or replica: a connect's time.
pub(crate) const SOON: Duration = Duration::from_millis(250);
/// Longest wait asked for servers that are full: callers have tries for a few
/// seconds, and what is expected that far ahead is a guess.
const LONGEST: Duration = Duration::from_secs(2);
/// The same of an account whose allowance is used: a fifth of it comes free in this time
/// where windows are 5 s long.
const ROOM: Duration = Duration::from_secs(1);
/// How far waits differ, as shares of what they would be: callers that were refused
/// together must not come back together.
const SPREAD: std::ops::Range<f64> = 0.75..1.25;
/// The same where the whole process has just started.
const STARTING: Duration = Duration::from_millis(400);

impl Refusal {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotStarted => "not_started",
            Refusal::NoRoute => "no_route",
            Refusal::Unauthorized => "unauthorized",
            Refusal::Unconfirmed => "unconfirmed",
            Refusal::Exceeded => "exceeded",
            Refusal::Malformed => "malformed",
            Refusal::TooLarge => "too_large",
            Refusal::NoServer => "no_server",
            Refusal::Full => "full",
            Refusal::NoKeepers => "no_keepers",
            Refusal::Overload => "overload",
            Refusal::NoTurn => "no_turn",
            Refusal::Spent => "spent",
            Refusal::TooLate => "too_late",
            Refusal::Broken => "broken",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// Whether the request certainly has not run and never will.
    pub fn unrun(self) -> bool {
        !matches!(self, Refusal::Broken | Refusal::TimedOut)
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute | Refusal::NoTurn => StatusCode::NOT_FOUND,
            Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
            Refusal::Exceeded => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Spent => StatusCode::PAYMENT_REQUIRED,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::NotStarted
            | Refusal::Unconfirmed
            | Refusal::NoServer
            | Refusal::Full
            | Refusal::NoKeepers
            | Refusal::Overload
            | Refusal::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// How long a caller should wait before it comes back, if that may help. Where
    /// servers are full they are expected to have a place in `drain`, and where keepers
    /// have too much to do they are expected to keep up by then. `draw`, 0 to 1, spreads
    /// callers.
    ///
    /// ```
    /// use gradedyke_gateway::entry::refusal::Refusal;
    /// use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// assert_eq!(Refusal::Full.retry_after(second, 0.5), Some(second));
    /// assert_eq!(Refusal::Full.retry_after(second, 0.0), Some(second.mul_f64(0.75)));
    /// assert_eq!(Refusal::Spent.retry_after(second, 0.5), None);
    /// ```
    pub fn retry_after(self, drain: Duration, draw: f64) -> Option<Duration> {
        let wait = match self {
            Refusal::NotStarted => STARTING,
            Refusal::Exceeded => ROOM,
            Refusal::Full | Refusal::NoKeepers | Refusal::Overload => drain.clamp(SOON, LONGEST),
            Refusal::NoServer | Refusal::Unconfirmed => SOON,
            _ => return None,
        };
        let spread = SPREAD.start + (SPREAD.end - SPREAD.start) * draw;
        Some(wait.mul_f64(spread))
    }

    fn message(self) -> &'static str {
        match self {
            Refusal::NotStarted => "no configuration is known yet; come back soon",
            Refusal::NoRoute => "no route for this host and path; correct them",
            Refusal::Unauthorized => {
                "the key is missing or not known; send a key of your client account"
            }
            Refusal::Unconfirmed => {
                "whether it is allowed cannot be checked here now; come back soon"
            }
            Refusal::Exceeded => "the allowance of the client account is used; come back soon",
            Refusal::Malformed => "the request is not well formed; correct its headers or body",
            Refusal::TooLarge => "the body is larger than allowed; send less",
            Refusal::NoServer => "no backend server is available; come back soon",
            Refusal::Full => "the backend servers are full; come back soon",
            Refusal::NoKeepers => "the conversation cannot be kept now; come back soon",
            Refusal::Overload => {
                "no program can begin now, others under way go first; come back soon"
            }
            Refusal::NoTurn => "there is no such turn; start a new conversation",
            Refusal::Spent => "the program's budget is spent; end it",
            Refusal::TooLate => "the time was over before the request could be sent",
            Refusal::Broken => "the backend server broke off; the request may have run",
            Refusal::TimedOut => "the time is over; the request may have run",
        }
    }

    /// The answer, with when to come back.
    ///
    /// ```
    /// use gradedyke_gateway::entry::refusal::Refusal;
    /// use std::time::Duration;
    ///
    /// let answer = Refusal::NoServer.answer(Some(Duration::from_millis(250)));
    /// assert_eq!(answer.status(), 503);
    /// assert_eq!(answer.headers()["retry-after"], "0.250");
    /// ```
    pub fn answer(self, after: Option<Duration>) -> Response<Body> {
        let text = format!("{}: {}\n", self.name(), self.message());
        let mut answer = Response::new(body::full(Bytes::from(text)));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        let plain = HeaderValue::from_static("text/plain");
        headers.insert(header::CONTENT_TYPE, plain);
        let after = after.map(|d| format!("{:.3}", d.as_secs_f64()));
        if let Some(Ok(after)) = after.map(|a| HeaderValue::from_str(&a)) {
            headers.insert(header::RETRY_AFTER, after);
        }
        answer
    }
}
