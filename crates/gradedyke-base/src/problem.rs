//! The error that callers and operators see.
//!
//! One type serves every listener, so that a caller can rely on its shape. The
//! kind decides the HTTP status and whether the request may have run; the
//! message names the remedy. A message never tells anything about another
//! client account: an unknown program and somebody else's look the same.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What went wrong, for programs to act upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed. Correct it; sent as it is it never succeeds.
    BadRequest,
    /// The key is missing or unknown.
    Unauthorized,
    /// The key is known but may not do this.
    Forbidden,
    /// No such program, request, model or service for this client account.
    NotFound,
    /// No such path on this listener.
    NoRoute,
    /// The method is not served on this path.
    BadMethod,
    /// The request contradicts what is already there.
    Conflict,
    /// The body is larger than the listener takes.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The program has ended or was cancelled.
    Ended,
    /// The program's budget does not cover the worst case of this call.
    OverBudget,
    /// Too much is under way for this client account. Come back later.
    Overloaded,
    /// No place to run it can be reached now. Come back later.
    Unavailable,
    /// The owner of the program is changing. Retry soon.
    Moving,
    /// A backend server failed the request; it may be sent again as a new one.
    BackendFailed,
    /// It was sent, and nobody can tell whether it ran. It will not be sent again.
    OutcomeUnknown,
    /// The deadline passed.
    DeadlineExceeded,
    /// A fault in gradedyke itself.
    Internal,
}

impl Kind {
    /// The HTTP status for this kind.
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

    /// Whether a request refused with this kind certainly did not run.
    pub fn not_run(self) -> bool {
        !matches!(
            self,
            Kind::BackendFailed
                | Kind::OutcomeUnknown
                | Kind::DeadlineExceeded
                | Kind::Internal
                | Kind::Ended
        )
    }

    /// The kind's name on the wire.
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

/// An error as a caller or operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct Problem {
    /// What went wrong.
    pub kind: Kind,
    /// What went wrong and what to do about it, in a sentence.
    pub message: String,
    /// When to come back, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the request certainly did not run.
    pub not_run: bool,
}

/// The body of an error reply: the problem under the key that clients of the
/// chat-completions format look for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    /// The problem.
    pub error: Problem,
}

impl Problem {
    /// A problem of `kind` with a message that names the remedy.
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
            not_run: kind.not_run(),
        }
    }

    /// The same problem, telling the caller when to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// The same problem, marked as one whose request may have run.
    pub fn may_have_run(mut self) -> Self {
        self.not_run = false;
        self
    }

    /// The JSON body of the reply.
    pub fn body(&self) -> Vec<u8> {
        let body = Body {
            error: self.clone(),
        };
        serde_json::to_vec(&body).expect("a problem has only strings, numbers and booleans")
    }

    /// Reads a problem from the body of a reply, if it holds one.
    pub fn from_body(body: &[u8]) -> Option<Self> {
        let body: Body = serde_json::from_slice(body).ok()?;
        Some(body.error)
    }
}
