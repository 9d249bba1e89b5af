//! One sending of a request to one backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::call::Call;
use crate::dialect::{Answer, Outbound};
use crate::fleet::{Choice, Question};
use crate::link::{self, Link};

/// Least time left with which a request is sent: below it a server could not
/// even take it in.
const LEAST: Duration = Duration::from_millis(5);

/// The head of an answer that belongs to the request.
pub struct Answered {
    /// The server.
    pub choice: Choice,
    /// The connection, to be rested after the body.
    pub link: Link,
    /// The head, and the body to be read.
    pub response: Response<Incoming>,
    /// What the head says.
    pub answer: Answer,
}

/// How an attempt ended.
pub enum Outcome {
    /// The server answers.
    Answered(Box<Answered>),
    /// The request certainly did not run there.
    NotRun(&'static str),
    /// It may have run.
    Unknown(&'static str),
    /// Its time is over; it may have run.
    TimedOut,
}

/// Sends the request to a chosen server and waits for the head of the answer.
pub async fn send(entry: &Entry, call: &Call, choice: Choice, body: Bytes) -> Outcome {
    let now = Instant::now();
    let left = call.left(now);
    if left < LEAST {
        return Outcome::NotRun("no time left");
    }
    let outbound = Outbound {
        server: &choice.id,
        left,
        urgency: call.engine().map(|_| call.route.priority),
    };
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = entry.dialect.outbound(&call.headers, &outbound);
    let sending = choice.pool.send(request, now);
    let sent = tokio::time::timeout_at(call.until, sending).await;
    let (response, link) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) => return failed(entry, call, &choice, &error),
        Err(_) => {
            entry.fleet.failed(choice.key, "no answer", Instant::now());
            return Outcome::TimedOut;
        }
    };
    judge(entry, call, choice, link, response, now)
}

fn failed(entry: &Entry, call: &Call, choice: &Choice, error: &link::Error) -> Outcome {
    let now = Instant::now();
    tracing::info!(event = "attempt_failed", request = %call.id, server = %choice.id, %error);
    match error {
        link::Error::NotSent(..) => {
            entry.fleet.failed(choice.key, "unreachable", now);
            Outcome::NotRun("unreachable")
        }
        link::Error::Broken(..) => {
            entry.fleet.failed(choice.key, "broke off", now);
            Outcome::Unknown("broke off")
        }
    }
}

fn judge(
    entry: &Entry,
    call: &Call,
    choice: Choice,
    link: Link,
    response: Response<Incoming>,
    sent: Instant,
) -> Outcome {
    let answer = entry.dialect.answer(response.status(), response.headers());
    if answer.misdirected {
        entry.fleet.misdirected(choice.key);
        return Outcome::NotRun("another server has the address");
    }
    // A surplus answer to an earlier request stands where ours is due. Ours
    // would come after it, but a connection that is out of step is not trusted.
    if answer.request.as_ref() != Some(&call.id) {
        tracing::info!(event = "answer_of_another", request = %call.id, server = %choice.id);
        return Outcome::Unknown("answered another request");
    }
    if answer.not_run {
        choice.pool.rest(link, answer.idle, Instant::now());
        return Outcome::NotRun("refused");
    }
    entry.fleet.answered(choice.key, sent.elapsed());
    Outcome::Answered(Box::new(Answered {
        choice,
        link,
        response,
        answer,
    }))
}

/// Chooses a server for the request, with a line that says what decided.
pub fn choose(entry: &Entry, call: &Call, question: &Question<'_>, number: u32) -> Option<Choice> {
    let choice = entry.fleet.choose(question);
    let age = entry.mirror.age(question.now);
    tracing::info!(event = "placed", request = %call.id, attempt = number,
        server = choice.as_ref().map_or("none", |c| c.id.as_str()),
        holder = question.holder.map_or("none", Id::as_str),
        route = call.route.name, config = call.config.version,
        directory_age_ms = age.map(|a| a.as_millis()),
        left_ms = call.left(question.now).as_millis());
    choice
}

use gradedyke_turns::record::Id;
