//! What must hold when processes die, answers are lost and instances leave.

mod support;

use gradedyke_base::problem::Kind;
use gradedyke_client::Options;
use gradedyke_standin::engine;
use gradedyke_standin::service::Mode;
use gradedyke_world::{Config, World, chat, text_of, user};
use serde_json::json;
use support::{entry, kill, kind, open, other, owner, run};

/// Tokens after which the engines stand still until they are let go on.
const HELD_AT: u64 = 5;

fn append(request: &str) -> Options {
    Options {
        append: true,
        ..Options::request(request)
    }
}

fn hold(world: &World, tokens: Option<u64>) {
    world.engines.iter().for_each(|e| e.hold_at(tokens));
}

/// Attempts that engines have seen of a call.
fn attempts(world: &World, program: &str, request: &str) -> Vec<engine::Run> {
    let prefix = format!("{program}:{request}:");
    let runs = world.engines.iter().flat_map(|e| e.runs());
    runs.filter(|r| r.attempt.starts_with(&prefix)).collect()
}

#[test]
fn an_answer_is_fetched_whole_elsewhere_when_its_entry_dies() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let program = open(&caller, world.entry(0), "minutes").await;
        let dies = other(&world, &program);
        hold(&world, Some(HELD_AT));
        let body = chat(&[user("Draft the minutes.")]);
        let options = Options::request("draft");
        let streaming = caller.stream(entry(&world, dies), &program, &body, options.clone());
        let mut stream = streaming.await.unwrap();
        let first = stream.next().await.unwrap().unwrap();
        let offset = stream.offset;
        assert_eq!(offset, first.len() as u64);

        kill(&mut world, dies).await;
        hold(&world, None);
        let broken = stream.rest().await;
        assert!(broken.is_err(), "the stream should have been cut");

        let elsewhere = entry(&world, owner(&world, &program));
        let whole = caller.fetch(elsewhere, &program, "draft").await.unwrap();
        let resuming = caller.resume(elsewhere, &program, "draft", offset);
        let rest = resuming.await.unwrap().rest().await.unwrap();
        assert_eq!(format!("{first}{rest}"), text_of(&whole));
        let runs = attempts(&world, &program, "draft");
        assert_eq!(runs.len(), 1, "the call must not have been sent again");
        assert_eq!(runs[0].text, text_of(&whole));
        world.stop().await;
    });
}

#[test]
fn a_stream_goes_on_when_the_owner_dies() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        let body = chat(&[user("Draft the minutes.")]);
        let options = Options::request("first");
        let first = caller
            .chat(at, &program, &body, options.clone())
            .await
            .unwrap();

        let through = entry(&world, other(&world, &program));
        let dies = owner(&world, &program);
        hold(&world, Some(HELD_AT));
        let body = chat(&[user("And item four?")]);
        let options = append("second");
        let streaming = caller.stream(through, &program, &body, options.clone());
        let mut stream = streaming.await.unwrap();
        stream.next().await.unwrap().unwrap();
        kill(&mut world, dies).await;
        hold(&world, None);
        let mut text = stream.text.clone();
        while let Some(more) = stream.next().await.unwrap() {
            text.push_str(&more);
        }

        let runs = attempts(&world, &program, "second");
        assert_eq!(runs.len(), 1, "it should have been resumed: {runs:?}");
        assert_eq!(runs[0].text, text);
        let reading = caller.program(through, &program, "history");
        let expected = json!([
            user("Draft the minutes."),
            first["choices"][0]["message"],
            user("And item four?"),
            { "role": "assistant", "content": text },
        ]);
        assert_eq!(reading.await.unwrap()["messages"], expected);
        world.stop().await;
    });
}

#[test]
fn memory_is_released_when_the_owner_that_had_it_held_is_dead() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let program = open(&caller, world.entry(0), "minutes").await;
        let through = entry(&world, other(&world, &program));
        let dies = owner(&world, &program);
        let body = chat(&[user("Draft.")]);
        let call = caller.chat(through, &program, &body, Options::request("draft"));
        call.await.unwrap();
        for engine in &world.engines {
            let ran = !engine.runs().is_empty();
            engine.until(|e| !ran || !e.pins().is_empty()).await;
        }
        kill(&mut world, dies).await;
        // The new owner does not know where memory is held; it asks the engines.
        caller.program(through, &program, "end").await.unwrap();
        world.released().await;
        world.stop().await;
    });
}

#[test]
fn a_lost_answer_of_a_call_not_to_be_repeated_is_asked_for() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let (one, two) = (world.entry(0), world.entry(1));
        let program = open(&caller, one, "valuation").await;
        world.orders.set(Mode::LoseAnswer);
        let options = Options::request("order");
        let path = "orders/place";
        let first = caller
            .service(one, &program, path, "{}", options.clone())
            .await;
        let again = caller
            .service(two, &program, path, "{}", options.clone())
            .await;
        assert_eq!(first.unwrap(), again.unwrap());
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_lost_answer_that_nobody_can_tell_is_an_unknown_outcome() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        world.tree["backends"]["orders"]["outcome_path"] = json!(null);
        world.apply().await.unwrap();
        let caller = world.jordan();
        let at = world.entry(0);
        let program = open(&caller, at, "valuation").await;
        // The second time the service would answer, but must not be called.
        for mode in [Mode::LoseAnswer, Mode::Well] {
            world.orders.set(mode);
            let options = Options::request("order");
            let calling = caller.service(at, &program, "orders/place", "{}", options.clone());
            assert_eq!(kind(calling.await), Kind::OutcomeUnknown);
        }
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_call_not_to_be_repeated_runs_once_when_its_owner_dies() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let program = open(&caller, world.entry(0), "valuation").await;
        let through = entry(&world, other(&world, &program));
        let dies = owner(&world, &program);
        world.orders.set(Mode::Hang);
        let ordering = tokio::spawn(async move {
            let options = Options::request("order");
            let calling = caller.service(through, &program, "orders/place", "{}", options.clone());
            calling.await
        });
        world.orders.until(|s| !s.runs().is_empty()).await;
        kill(&mut world, dies).await;
        world.orders.set(Mode::Well);
        let answer = ordering.await.unwrap().unwrap();
        assert!(answer.contains("/place"), "{answer}");
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_call_that_an_earlier_owner_sent_is_never_called_not_run() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let program = open(&caller, world.entry(0), "valuation").await;
        let through = entry(&world, other(&world, &program));
        let dies = owner(&world, &program);
        world.orders.set(Mode::Hang);
        let calling = tokio::spawn(async move {
            let options = Options {
                repeatable: Some(true),
                ..Options::request("order")
            };
            let calling = caller.service(through, &program, "orders/place", "{}", options);
            calling.await
        });
        world.orders.until(|s| !s.runs().is_empty()).await;
        // From now on nobody can be connected to.
        world.tree["backends"]["orders"]["address"] = json!("127.0.0.1:1");
        world.apply().await.unwrap();
        kill(&mut world, dies).await;
        let refused = calling.await.unwrap().unwrap_err();
        let problem = gradedyke_client::problem(&refused).unwrap();
        assert!(!problem.not_run, "it ran: {problem}");
        world.stop().await;
    });
}

#[test]
fn a_planned_stop_cuts_no_stream_and_loses_no_history() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        hold(&world, Some(HELD_AT));
        let mut streams = Vec::new();
        for number in 0..9 {
            let opened = format!("open-{number}");
            let at = world.entry(number);
            let opening = caller.open(at, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user(&format!("Draft number {number}."))]);
            let options = Options::request("draft");
            let streaming = caller.stream(at, &program, &body, options.clone());
            let mut stream = streaming.await.unwrap();
            stream.next().await.unwrap().unwrap();
            streams.push((program, stream));
        }
        let leaving = world.processes[0].take().unwrap();
        let drain = leaving.kernel().drain.clone();
        let draining = tokio::spawn(leaving.drain());
        drain.cancelled().await;
        hold(&world, None);
        let mut texts = Vec::new();
        for (program, stream) in streams {
            texts.push((program, stream.rest().await.expect("a stream was cut")));
        }
        assert!(draining.await.unwrap(), "it should have drained in time");
        for (number, (program, text)) in texts.iter().enumerate() {
            let runs = attempts(&world, program, "draft");
            assert_eq!(runs.len(), 1);
            assert_eq!(&runs[0].text, text);
            let at = world.entry(number);
            let body = chat(&[user("Go on.")]);
            let options = append("next");
            caller
                .chat(at, program, &body, options.clone())
                .await
                .unwrap();
            let reading = caller.program(at, program, "history");
            let history = reading.await.unwrap();
            let messages = history["messages"].as_array().unwrap();
            assert_eq!(messages.len(), 4);
            assert_eq!(messages[1]["content"], text.as_str());
        }
        world.stop().await;
    });
}
