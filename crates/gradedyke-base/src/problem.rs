//! The error type that is returned to callers and operators.
//!
//! All listeners use the same type. The kind determines the HTTP status and whether
//! the request may have run; the message says what to do. A message reveals nothing
//! about other client accounts: a program of another client account is reported like
//! one that does not exist.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The machine-readable category of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed; a retry without a correction fails again.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The API key is valid but doesn't permit this request.
    Forbidden,
    /// The client account has no such program, request, model or service.
    NotFound,
    /// The listener doesn't serve this path.
    NoRoute,
    /// The path doesn't support this HTTP method.
    BadMethod,
    /// The request conflicts with the current state.
    Conflict,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The request body did not arrive before the timeout.
    TooSlow,
    /// The program has ended or was cancelled.
    Ended,
    /// The program's remaining budget doesn't cover the most that this call may use.
    OverBudget,
    /// The client account has too many requests in progress; retry later.
    Overloaded,
    /// No instance or backend server that could run the request is reachable now; retry
    /// later.
    Unavailable,
    /// The program is moving to another owner; retry shortly.
    Moving,
    /// A backend server failed the request; the caller may send it again as a new
    /// request.
    BackendFailed,
    /// The request was sent, and it is unknown whether it ran. It is not retried.
    OutcomeUnknown,
    /// The deadline passed.
    DeadlineExceeded,
    /// An internal error of gradedyke.
    Internal,
}

impl Kind {
    /// Returns the HTTP status for this kind.
    pub fn status(self) -> u16 {
        match self {
            Kind::BadRequest => 400,
            Kind::Unauthorized => 401,
            Kind::Forbidden => 403,
            Kind::NotFound | Kind::NoRoute => 404,
            Kind::BadMethod => 405,
            Kind::TooSlow => 408,
            Kind::Conflict => 409,
            Kind::Ended => 410,
            Kind::TooLarge => 413,
            Kind::OverBudget => 402,
            Kind::Overloaded => 429,
            Kind::Internal => 500,
            Kind::BackendFailed | Kind::OutcomeUnknown => 502,
            Kind::Unavailable | Kind::Moving => 503,
            Kind::DeadlineExceeded => 504,
        }
    }

    /// Returns whether a request that failed with this kind certainly did not run.
    pub fn is_not_run(self) -> bool {
        !matches!(
            self,
            Kind::BackendFailed
                | Kind::OutcomeUnknown
                | Kind::DeadlineExceeded
                | Kind::Internal
                | Kind::Ended
        )
    }

    /// Returns the name used in JSON bodies.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad_request",
            Kind::Unauthorized => "unauthorized",
            Kind::Forbidden => "forbidden",
            Kind::NotFound => "not_found",
            Kind::NoRoute => "no_route",
            Kind::BadMethod => "bad_method",
            Kind::Conflict => "conflict",
            Kind::TooLarge => "too_large",
            Kind::TooSlow => "too_slow",
            Kind::Ended => "ended",
            Kind::OverBudget => "over_budget",
            Kind::Overloaded => "overloaded",
            Kind::Unavailable => "unavailable",
            Kind::Moving => "moving",
            Kind::BackendFailed => "backend_failed",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::DeadlineExceeded => "deadline_exceeded",
            Kind::Internal => "internal",
        }
    }
}

/// An error as it is returned to a caller or operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct Problem {
    /// The category of the error.
    pub kind: Kind,
    /// What went wrong and what to do about it.
    pub message: String,
    /// Delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the request certainly did not run.
    pub not_run: bool,
}

/// The JSON body of an error response, in the layout that clients of the
/// chat-completions format expect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Problem,
}

impl Problem {
    /// Creates an error of `kind`; the message should say what to do about it.
    ///
    /// ```
    /// use gradedyke_base::problem::{Kind, Problem};
    ///
    /// let problem = Problem::new(Kind::NotFound, "no such program; open one first");
    /// assert_eq!(problem.kind.status(), 404);
    /// assert!(problem.not_run);
    /// ```
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
            not_run: kind.is_not_run(),
        }
    }

    /// Sets the delay before a retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Marks the request as one that may have run.
    pub fn with_unknown_outcome(mut self) -> Self {
        self.not_run = false;
        self
    }

    /// Encodes the JSON body of the error response.
    pub fn body(&self) -> Vec<u8> {
        let body = Body {
            error: self.clone(),
        };
        serde_json::to_vec(&body).expect("a problem consists of strings, numbers and booleans")
    }

    /// Decodes an error from the body of a response; `None` if it isn't one.
    pub fn parse_body(body: &[u8]) -> Option<Self> {
        let body: Body = serde_json::from_slice(body).ok()?;
        Some(body.error)
    }
}
