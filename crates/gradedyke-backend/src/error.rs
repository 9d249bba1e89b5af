//! What a call to a backend server fails with.

use std::time::Duration;

use gradedyke_http::client;

/// A failed call. The kinds differ in what may be tried again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was sent; it may be tried anywhere.
    #[error("the call was not sent ({0}); check that the backend server runs")]
    NotSent(String),
    /// The backend server says that it did not run the call.
    #[error("the backend server is busy ({message}); try later or elsewhere")]
    Busy {
        /// What it said.
        message: String,
        /// When it wants to be asked again.
        after: Option<Duration>,
    },
    /// The call itself is at fault; it fails anywhere.
    #[error("the backend server refuses the call ({status}: {message}); correct the call")]
    Invalid {
        /// The status it answered.
        status: u16,
        /// What it said.
        message: String,
    },
    /// The backend server fenced an order off.
    #[error("a newer order was given (fencing number {0}); read the present state first")]
    Fenced(u64),
    /// It was sent and broke off: it may have run.
    #[error("the call broke off ({0}); it may have run")]
    Broken(String),
}

impl Error {
    /// Whether the call certainly did not run.
    pub fn not_run(&self) -> bool {
        !matches!(self, Error::Broken(_))
    }
}

const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        let text = error.to_string();
        match error {
            client::Error::NotSent { .. } => Error::NotSent(text),
            client::Error::Broken { .. } | client::Error::TimedOut { .. } => Error::Broken(text),
            client::Error::Status {
                status,
                message,
                problem,
                ..
            } => match status.as_u16() {
                TOO_MANY_REQUESTS | UNAVAILABLE => Error::Busy {
                    message,
                    after: problem
                        .and_then(|p| p.retry_after_ms)
                        .map(Duration::from_millis),
                },
                status @ 400..=499 => Error::Invalid { status, message },
                _ => Error::Broken(text),
            },
        }
    }
}
