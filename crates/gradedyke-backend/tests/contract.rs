//! The HTTP clients of engines and services, run against the stand-in servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_backend::chat::{Completion, Message};
use gradedyke_backend::engine::{Action, Call, ChunkStream, Order, Pin};
use gradedyke_backend::prefix::Chain;
use gradedyke_backend::{Engine, Error, Service, engine_http, service};
use gradedyke_base::id;
use gradedyke_http::{Client, client};
use gradedyke_standin::engine::{self, Config};
use gradedyke_standin::service::Mode;
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start(config: Config) -> (Arc<engine::Engine>, engine_http::Http) {
    let engine = engine::Engine::start(config);
    let handler = Arc::new(engine::EngineHandler(engine.clone()));
    let stop = CancellationToken::new();
    let address = gradedyke_standin::serve(handler, any_port(), &stop)
        .await
        .unwrap();
    let client = Client::new(&client::Config::default());
    (engine, engine_http::Http::new(address, client, TIMEOUT))
}

fn message(text: &str) -> Message {
    serde_json::from_value(json!({ "role": "user", "content": text })).unwrap()
}

fn call(attempt: &str, texts: &[&str]) -> Call {
    let messages: Vec<_> = texts.iter().map(|t| message(t)).collect();
    let account = id::Account::parse("kestrel").unwrap();
    Call {
        attempt_id: attempt.to_owned(),
        chain: Chain::from_messages(&account, "m", &messages),
        request: serde_json::from_value(
            json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": 16 }),
        )
        .unwrap(),
        priority: 0,
    }
}

async fn collect(mut chunks: Box<dyn ChunkStream>) -> Result<Completion, Error> {
    let mut completion = Completion::default();
    while let Some(chunk) = chunks.next().await? {
        for choice in chunk.choices {
            completion
                .content
                .push_str(&choice.delta.content.unwrap_or_default());
            completion.finish_reason = choice.finish_reason.unwrap_or_default();
        }
        completion.usage = chunk.usage.unwrap_or(completion.usage);
    }
    Ok(completion)
}

#[tokio::test]
async fn a_response_is_complete_with_usage() {
    let (stand_in, engine) = start(Config::default()).await;
    let response = collect(engine.chat(&call("a", &["hello there"])).await.unwrap());
    let response = response.await.unwrap();
    let run = &stand_in.runs()[0];
    assert_eq!(response.content, run.text);
    assert_eq!(response.usage.completion_tokens, 16);
    assert_eq!(response.usage.prompt_tokens, 3);
    assert_eq!(response.finish_reason, "stop");
}

#[tokio::test]
async fn a_stream_can_be_resumed_at_any_offset() {
    let (stand_in, engine) = start(Config::default()).await;
    let response = collect(engine.chat(&call("a", &["hello"])).await.unwrap());
    let text = response.await.unwrap().content;
    for offset in [0, 1, text.len() / 2, text.len()] {
        let resumed = engine.resume("a", offset as u64).await.unwrap();
        assert_eq!(collect(resumed).await.unwrap().content, text[offset..]);
    }
    assert_eq!(stand_in.runs().len(), 1);
    let unknown = engine.resume("b", 0).await;
    assert!(matches!(unknown, Err(Error::Invalid { .. })));
}

#[tokio::test]
async fn a_cancelled_stream_ends_with_an_error() {
    let (stand_in, engine) = start(Config::default()).await;
    stand_in.stall_at(Some(2));
    let mut chunks = engine.chat(&call("a", &["hello"])).await.unwrap();
    chunks.next().await.unwrap().unwrap();
    engine.cancel("a").await.unwrap();
    engine.cancel("a").await.unwrap();
    assert!(matches!(collect(chunks).await, Err(Error::Interrupted(_))));
}

#[tokio::test]
async fn a_longer_conversation_reuses_its_cached_prefix() {
    let (stand_in, engine) = start(Config::default()).await;
    for texts in [&["one two three"][..], &["one two three", "four"]] {
        let name = texts.len().to_string();
        collect(engine.chat(&call(&name, texts)).await.unwrap())
            .await
            .unwrap();
    }
    let cached: Vec<_> = stand_in.runs().iter().map(|r| r.cached_tokens).collect();
    assert_eq!(cached, [0, 4]);
}

#[tokio::test]
async fn pins_last_until_they_are_released() {
    let (stand_in, engine) = start(Config::default()).await;
    let call = call("a", &["hello"]);
    collect(engine.chat(&call).await.unwrap()).await.unwrap();
    let holder = id::Program::parse("p").unwrap();
    let pin = Pin {
        holder: holder.clone(),
        keys: call.chain.keys().to_vec(),
    };
    engine.pin(&pin).await.unwrap();
    assert_eq!(engine.pins().await.unwrap(), [pin]);
    for _ in 0..2 {
        engine.release(&holder).await.unwrap();
        assert!(stand_in.pins().is_empty());
    }
    let handle = engine.export(call.chain.keys()[0]).await.unwrap();
    engine.import(call.chain.keys()[0], &handle).await.unwrap();
}

#[tokio::test]
async fn outdated_orders_are_rejected_by_engines_that_check_fencing() {
    for checks_fencing in [true, false] {
        let (stand_in, engine) = start(Config {
            checks_fencing,
            ..Config::default()
        })
        .await;
        let order = |fencing| Order {
            fencing,
            action: Action::Role {
                role: "decode".to_owned(),
            },
        };
        engine.order(&order(7)).await.unwrap();
        let outdated = engine.order(&order(6)).await;
        assert_eq!(matches!(outdated, Err(Error::Fenced(7))), checks_fencing);
        let accepted = if checks_fencing { 1 } else { 2 };
        assert_eq!(stand_in.orders().len(), accepted);
    }
}

#[tokio::test]
async fn a_call_to_an_unreachable_engine_did_not_run() {
    let client = Client::new(&client::Config::default());
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    let engine = engine_http::Http::new(closed_port, client, TIMEOUT);
    let error = engine.chat(&call("a", &["hello"])).await.err().unwrap();
    assert!(error.is_not_run(), "{error}");
}

#[tokio::test]
async fn a_service_reports_whether_a_call_ran() {
    let stand_in = gradedyke_standin::service::Service::default();
    let stop = CancellationToken::new();
    let handler = Arc::new(stand_in.clone());
    let address = gradedyke_standin::serve(handler, any_port(), &stop)
        .await
        .unwrap();
    let path = Some("/outcomes/{key}".to_owned());
    let service = service::Http::new(address, path, TIMEOUT);
    let call = service::Call {
        method: "POST".to_owned(),
        path: "/place".to_owned(),
        content_type: None,
        body: "{}".to_owned(),
    };
    // Behaviour of the service, status that the caller gets, whether the call ran.
    let cases = [
        (Mode::Normal, Some(200), true),
        (Mode::Late(1), Some(200), true),
        (Mode::Fail(500), Some(500), false),
        (Mode::LoseAnswer, None, true),
        (Mode::Hang, None, true),
    ];
    for (i, (mode, status, ran)) in cases.into_iter().enumerate() {
        stand_in.set_mode(mode);
        let key = i.to_string();
        let timeout = Duration::from_millis(if status.is_some() { 5_000 } else { 50 });
        let reply = service.call(&key, &call, timeout).await;
        match (&reply, status) {
            (Ok(reply), Some(status)) => assert_eq!(reply.status, status),
            (Err(error), None) => assert!(!error.is_not_run(), "{mode:?}: {error}"),
            _ => panic!("{mode:?}: {reply:?}"),
        }
        if ran {
            // The caller may have timed out before the call arrived.
            let has_arrived =
                |s: &gradedyke_standin::service::Service| s.runs().iter().any(|r| r.key == key);
            stand_in.wait_until(has_arrived).await;
        }
        let runs = stand_in.runs();
        assert_eq!(runs.iter().any(|r| r.key == key), ran, "{mode:?}");
        let outcome = service.outcome(&key).await.unwrap();
        assert_eq!(outcome.is_some(), ran, "{mode:?}");
    }
    let without_outcomes = service::Http::new(address, None, TIMEOUT);
    assert!(matches!(
        without_outcomes.outcome("0").await,
        Err(Error::Invalid { .. })
    ));
}
