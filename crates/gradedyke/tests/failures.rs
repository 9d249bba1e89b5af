//! Tests of crashed processes, lost responses and draining instances.

mod support;

use gradedyke_base::problem::Kind;
use gradedyke_client::Options;
use gradedyke_standin::engine;
use gradedyke_standin::service::Mode;
use gradedyke_world::{Config, World, chat, text_of, user};
use serde_json::json;
use support::{
    entry_address, kill_instance, non_owner_index, open_program, owner_index, rejection_kind,
    run_test,
};

/// Number of tokens after which the engines pause until the test resumes them.
const PAUSE_AFTER_TOKENS: u64 = 5;

/// Options of a call that appends to the history.
fn append(request: &str) -> Options {
    Options {
        append: true,
        ..Options::request(request)
    }
}

/// Makes the engines pause after a number of tokens, or resume on `None`.
fn pause_engines_after(world: &World, tokens: Option<u64>) {
    world.engines.iter().for_each(|e| e.hold_at(tokens));
}

/// Returns the attempts of a call that the engines have received.
fn attempts(world: &World, program: &str, request: &str) -> Vec<engine::Run> {
    let prefix = format!("{program}:{request}:");
    let runs = world.engines.iter().flat_map(|e| e.runs());
    runs.filter(|r| r.attempt.starts_with(&prefix)).collect()
}

#[test]
fn an_answer_is_fetched_through_another_entry_after_a_crash() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let program = open_program(&caller, world.entry(0), "minutes").await;
        let killed = non_owner_index(&world, &program);
        pause_engines_after(&world, Some(PAUSE_AFTER_TOKENS));
        let body = chat(&[user("Draft the minutes.")]);
        let options = Options::request("draft");
        let streaming = caller.stream(
            entry_address(&world, killed),
            &program,
            &body,
            options.clone(),
        );
        let mut stream = streaming.await.unwrap();
        let received = stream.next().await.unwrap().unwrap();
        let offset = stream.offset;
        assert_eq!(offset, received.len() as u64);

        kill_instance(&mut world, killed).await;
        pause_engines_after(&world, None);
        let result = stream.rest().await;
        assert!(result.is_err(), "the stream should have broken");

        let other_entry = entry_address(&world, owner_index(&world, &program));
        let whole = caller.fetch(other_entry, &program, "draft").await.unwrap();
        let resuming = caller.resume(other_entry, &program, "draft", offset);
        let rest = resuming.await.unwrap().rest().await.unwrap();
        assert_eq!(format!("{received}{rest}"), text_of(&whole));
        let runs = attempts(&world, &program, "draft");
        assert_eq!(runs.len(), 1, "the engine must get the call only once");
        assert_eq!(runs[0].text, text_of(&whole));
        world.stop().await;
    });
}

#[test]
fn a_stream_continues_after_the_owner_crashes() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let address = world.entry(0);
        let program = open_program(&caller, address, "minutes").await;
        let body = chat(&[user("Draft the minutes.")]);
        let options = Options::request("first");
        let first = caller
            .chat(address, &program, &body, options.clone())
            .await
            .unwrap();

        let entry = entry_address(&world, non_owner_index(&world, &program));
        let killed = owner_index(&world, &program);
        pause_engines_after(&world, Some(PAUSE_AFTER_TOKENS));
        let body = chat(&[user("And item four?")]);
        let options = append("second");
        let streaming = caller.stream(entry, &program, &body, options.clone());
        let mut stream = streaming.await.unwrap();
        stream.next().await.unwrap().unwrap();
        kill_instance(&mut world, killed).await;
        pause_engines_after(&world, None);
        let mut text = stream.text.clone();
        while let Some(more) = stream.next().await.unwrap() {
            text.push_str(&more);
        }

        let runs = attempts(&world, &program, "second");
        assert_eq!(
            runs.len(),
            1,
            "the attempt should have been resumed: {runs:?}"
        );
        assert_eq!(runs[0].text, text);
        let reading = caller.program(entry, &program, "history");
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
fn engine_memory_is_released_after_the_owner_crashes() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let program = open_program(&caller, world.entry(0), "minutes").await;
        let entry = entry_address(&world, non_owner_index(&world, &program));
        let killed = owner_index(&world, &program);
        let body = chat(&[user("Draft.")]);
        let call = caller.chat(entry, &program, &body, Options::request("draft"));
        call.await.unwrap();
        for engine in &world.engines {
            let ran = !engine.runs().is_empty();
            engine.until(|e| !ran || !e.pins().is_empty()).await;
        }
        kill_instance(&mut world, killed).await;
        // The new owner has no record of which engines hold memory for the
        // program, and must ask all of them.
        caller.program(entry, &program, "end").await.unwrap();
        world.released().await;
        world.stop().await;
    });
}

#[test]
fn a_lost_response_to_a_non_repeatable_call_is_recovered() {
    run_test(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let (one, two) = (world.entry(0), world.entry(1));
        let program = open_program(&caller, one, "valuation").await;
        world.orders.set(Mode::LoseAnswer);
        let options = Options::request("order");
        let path = "orders/place";
        let first = caller
            .service(one, &program, path, "{}", options.clone())
            .await;
        let second = caller
            .service(two, &program, path, "{}", options.clone())
            .await;
        assert_eq!(first.unwrap(), second.unwrap());
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_lost_response_that_cannot_be_recovered_is_an_unknown_outcome() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        world.tree["backends"]["orders"]["outcome_path"] = json!(null);
        world.apply().await.unwrap();
        let caller = world.jordan();
        let address = world.entry(0);
        let program = open_program(&caller, address, "valuation").await;
        // On the second request the service would respond, but must not be
        // called.
        for mode in [Mode::LoseAnswer, Mode::Well] {
            world.orders.set(mode);
            let options = Options::request("order");
            let calling = caller.service(address, &program, "orders/place", "{}", options.clone());
            assert_eq!(rejection_kind(calling.await), Kind::OutcomeUnknown);
        }
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_non_repeatable_call_runs_once_when_its_owner_crashes() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let program = open_program(&caller, world.entry(0), "valuation").await;
        let entry = entry_address(&world, non_owner_index(&world, &program));
        let killed = owner_index(&world, &program);
        world.orders.set(Mode::Hang);
        let ordering = tokio::spawn(async move {
            let options = Options::request("order");
            let calling = caller.service(entry, &program, "orders/place", "{}", options.clone());
            calling.await
        });
        world.orders.until(|s| !s.runs().is_empty()).await;
        kill_instance(&mut world, killed).await;
        world.orders.set(Mode::Well);
        let answer = ordering.await.unwrap().unwrap();
        assert!(answer.contains("/place"), "{answer}");
        assert_eq!(world.orders.runs().len(), 1);
        world.stop().await;
    });
}

#[test]
fn a_call_sent_by_an_earlier_owner_is_never_reported_as_not_run() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.jordan();
        let program = open_program(&caller, world.entry(0), "valuation").await;
        let entry = entry_address(&world, non_owner_index(&world, &program));
        let killed = owner_index(&world, &program);
        world.orders.set(Mode::Hang);
        let calling = tokio::spawn(async move {
            let options = Options {
                repeatable: Some(true),
                ..Options::request("order")
            };
            let calling = caller.service(entry, &program, "orders/place", "{}", options);
            calling.await
        });
        world.orders.until(|s| !s.runs().is_empty()).await;
        // The new owner cannot connect to the service.
        world.tree["backends"]["orders"]["address"] = json!("127.0.0.1:1");
        world.apply().await.unwrap();
        kill_instance(&mut world, killed).await;
        let error = calling.await.unwrap().unwrap_err();
        let problem = gradedyke_client::problem(&error).unwrap();
        assert!(!problem.not_run, "the call ran: {problem}");
        world.stop().await;
    });
}

#[test]
fn draining_breaks_no_stream_and_loses_no_history() {
    run_test(async {
        let mut world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        pause_engines_after(&world, Some(PAUSE_AFTER_TOKENS));
        let mut streams = Vec::new();
        for number in 0..9 {
            let opened = format!("open-{number}");
            let address = world.entry(number);
            let opening = caller.open(address, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user(&format!("Draft number {number}."))]);
            let options = Options::request("draft");
            let streaming = caller.stream(address, &program, &body, options.clone());
            let mut stream = streaming.await.unwrap();
            stream.next().await.unwrap().unwrap();
            streams.push((program, stream));
        }
        let process = world.processes[0].take().unwrap();
        let drain_started = process.kernel().draining.clone();
        let draining = tokio::spawn(process.drain());
        drain_started.cancelled().await;
        pause_engines_after(&world, None);
        let mut texts = Vec::new();
        for (program, stream) in streams {
            texts.push((
                program,
                stream.rest().await.expect("the stream should not break"),
            ));
        }
        assert!(
            draining.await.unwrap(),
            "the process should have drained in time"
        );
        for (number, (program, text)) in texts.iter().enumerate() {
            let runs = attempts(&world, program, "draft");
            assert_eq!(runs.len(), 1);
            assert_eq!(&runs[0].text, text);
            let address = world.entry(number);
            let body = chat(&[user("Go on.")]);
            let options = append("next");
            caller
                .chat(address, program, &body, options.clone())
                .await
                .unwrap();
            let reading = caller.program(address, program, "history");
            let history = reading.await.unwrap();
            let messages = history["messages"].as_array().unwrap();
            assert_eq!(messages.len(), 4);
            assert_eq!(messages[1]["content"], text.as_str());
        }
        world.stop().await;
    });
}
