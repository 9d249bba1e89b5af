//! The contract of backend servers, through the real adapters against the
//! stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gradedyke_backend::chat::{Completion, Message};
use gradedyke_backend::engine::{Action, Call, Chunks, Order, Pin};
use gradedyke_backend::prefix::Chain;
use gradedyke_backend::{Engine, Error, Service, engine_http, service};
use gradedyke_base::id;
use gradedyke_http::{Client, client};
use gradedyke_standin::engine::{self, Config};
use gradedyke_standin::service::Mode;
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TIME: Duration = Duration::from_secs(5);

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start(config: Config) -> (Arc<engine::Engine>, engine_http::Http) {
    let engine = engine::Engine::start(config);
    let listener = Arc::new(engine::Listener(engine.clone()));
    let stop = CancellationToken::new();
    let address = gradedyke_standin::serve(listener, any(), &stop)
        .await
        .unwrap();
    let client = Client::new(&client::Config::default());
    (engine, engine_http::Http::new(address, client, TIME))
}

fn message(text: &str) -> Message {
    serde_json::from_value(json!({ "role": "user", "content": text })).unwrap()
}

fn call(attempt: &str, texts: &[&str]) -> Call {
    let messages: Vec<_> = texts.iter().map(|t| message(t)).collect();
    let account = id::Account::parse("kestrel").unwrap();
    Call {
        attempt: attempt.to_owned(),
        chain: Chain::over(&account, "m", &messages),
        request: serde_json::from_value(
            json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": 16 }),
        )
        .unwrap(),
        priority: 0,
    }
}

async fn whole(mut chunks: Box<dyn Chunks>) -> Result<Completion, Error> {
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
async fn an_answer_is_whole_and_counted() {
    let (stand_in, engine) = start(Config::default()).await;
    let answer = whole(engine.chat(&call("a", &["hello there"])).await.unwrap());
    let answer = answer.await.unwrap();
    let run = &stand_in.runs()[0];
    assert_eq!(answer.content, run.text);
    assert_eq!(answer.usage.completion_tokens, 16);
    assert_eq!(answer.usage.prompt_tokens, 3);
    assert_eq!(answer.finish_reason, "stop");
}

#[tokio::test]
async fn a_stream_is_resumed_at_any_offset() {
    let (stand_in, engine) = start(Config::default()).await;
    let answer = whole(engine.chat(&call("a", &["hello"])).await.unwrap());
    let text = answer.await.unwrap().content;
    for offset in [0, 1, text.len() / 2, text.len()] {
        let rest = engine.resume("a", offset as u64).await.unwrap();
        assert_eq!(whole(rest).await.unwrap().content, text[offset..]);
    }
    assert_eq!(stand_in.runs().len(), 1);
    let unknown = engine.resume("b", 0).await;
    assert!(matches!(unknown, Err(Error::Invalid { .. })));
}

#[tokio::test]
async fn a_cancelled_call_ends_without_its_end_mark() {
    let (stand_in, engine) = start(Config::default()).await;
    stand_in.hold_at(Some(2));
    let mut chunks = engine.chat(&call("a", &["hello"])).await.unwrap();
    chunks.next().await.unwrap().unwrap();
    engine.cancel("a").await.unwrap();
    engine.cancel("a").await.unwrap();
    assert!(matches!(whole(chunks).await, Err(Error::Broken(_))));
}

#[tokio::test]
async fn a_longer_conversation_finds_its_prefix_cached() {
    let (stand_in, engine) = start(Config::default()).await;
    for texts in [&["one two three"][..], &["one two three", "four"]] {
        let name = texts.len().to_string();
        whole(engine.chat(&call(&name, texts)).await.unwrap())
            .await
            .unwrap();
    }
    let cached: Vec<_> = stand_in.runs().iter().map(|r| r.cached_tokens).collect();
    assert_eq!(cached, [0, 4]);
}

#[tokio::test]
async fn pins_hold_until_they_are_released() {
    let (stand_in, engine) = start(Config::default()).await;
    let call = call("a", &["hello"]);
    whole(engine.chat(&call).await.unwrap()).await.unwrap();
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
async fn an_old_order_is_refused_where_fencing_is_checked() {
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
        let old = engine.order(&order(6)).await;
        assert_eq!(matches!(old, Err(Error::Fenced(7))), checks_fencing);
        let carried_out = if checks_fencing { 1 } else { 2 };
        assert_eq!(stand_in.orders().len(), carried_out);
    }
}

#[tokio::test]
async fn an_engine_that_is_not_there_was_sent_nothing() {
    let client = Client::new(&client::Config::default());
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let engine = engine_http::Http::new(nobody, client, TIME);
    let failed = engine.chat(&call("a", &["hello"])).await.err().unwrap();
    assert!(failed.not_run(), "{failed}");
}

#[tokio::test]
async fn a_service_tells_what_may_have_run() {
    let stand_in = gradedyke_standin::service::Service::default();
    let stop = CancellationToken::new();
    let listener = Arc::new(stand_in.clone());
    let address = gradedyke_standin::serve(listener, any(), &stop)
        .await
        .unwrap();
    let path = Some("/outcomes/{key}".to_owned());
    let service = service::Http::new(address, path, TIME);
    let call = service::Call {
        method: "POST".to_owned(),
        path: "/place".to_owned(),
        content_type: None,
        body: "{}".to_owned(),
    };
    // Each case: what the service does, whether the caller gets a reply, and
    // whether it ran.
    let cases = [
        (Mode::Well, Some(200), true),
        (Mode::Late(1), Some(200), true),
        (Mode::Fail(500), Some(500), false),
        (Mode::LoseAnswer, None, true),
        (Mode::Hang, None, true),
    ];
    for (i, (mode, status, ran)) in cases.into_iter().enumerate() {
        stand_in.set(mode);
        let key = i.to_string();
        let short = Duration::from_millis(if status.is_some() { 5_000 } else { 50 });
        let reply = service.call(&key, &call, short).await;
        match (&reply, status) {
            (Ok(reply), Some(status)) => assert_eq!(reply.status, status),
            (Err(error), None) => assert!(!error.not_run(), "{mode:?}: {error}"),
            _ => panic!("{mode:?}: {reply:?}"),
        }
        if ran {
            // The caller may have given up before the call got there.
            let arrived =
                |s: &gradedyke_standin::service::Service| s.runs().iter().any(|r| r.key == key);
            stand_in.until(arrived).await;
        }
        let runs = stand_in.runs();
        assert_eq!(runs.iter().any(|r| r.key == key), ran, "{mode:?}");
        let outcome = service.outcome(&key).await.unwrap();
        assert_eq!(outcome.is_some(), ran, "{mode:?}");
    }
    let mute = service::Http::new(address, None, TIME);
    assert!(matches!(
        mute.outcome("0").await,
        Err(Error::Invalid { .. })
    ));
}
