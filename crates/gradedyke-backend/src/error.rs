//! Errors of calls to backend servers.

use std::time::Duration;

use gradedyke_http::client;

/// The error of a failed call. The variants differ in whether a retry is safe.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call was not sent; it may be retried at any backend server.
    #[error("the call was not sent ({0}); check that the backend server runs")]
    NotSent(String),
    /// The backend server rejected the call without running it.
    #[error("the backend server is busy ({message}); try later or elsewhere")]
    Busy {
        /// The message of the backend server.
        message: String,
        /// The delay before a retry that the backend server asked for.
        retry_after: Option<Duration>,
    },
    /// The call is invalid; a retry at any backend server would fail.
    #[error("the backend server refuses the call ({status}: {message}); correct the call")]
    Invalid {
        /// The HTTP status of the response.
        status: u16,
        /// The message of the backend server.
        message: String,
    },
    /// The backend server rejected an order because of an outdated fencing token.
    #[error("a newer order was given (fencing number {0}); read the present state first")]
    Fenced(u64),
    /// The call was sent, then interrupted: it may have run.
    #[error("the call broke off ({0}); it may have run")]
    Interrupted(String),
}

impl Error {
    /// Returns whether the call certainly did not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Error::Interrupted(_))
    }
}

const TOO_MANY_REQUESTS_STATUS: u16 = 429;
const UNAVAILABLE_STATUS: u16 = 503;

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        let text = error.to_string();
        match error {
            client::Error::NotSent { .. } | client::Error::Invalid { .. } => Error::NotSent(text),
            client::Error::ConnectionLost { .. }
            | client::Error::InvalidReply { .. }
            | client::Error::ReplyTooLarge { .. }
            | client::Error::TimedOut { .. } => Error::Interrupted(text),
            client::Error::Status {
                status,
                message,
                problem,
                ..
            } => match status.as_u16() {
                TOO_MANY_REQUESTS_STATUS | UNAVAILABLE_STATUS => Error::Busy {
                    message,
                    retry_after: problem
                        .and_then(|p| p.retry_after_ms)
                        .map(Duration::from_millis),
                },
                status @ 400..=499 => Error::Invalid { status, message },
                _ => Error::Interrupted(text),
            },
        }
    }
}
