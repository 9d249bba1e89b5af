//! Tests of crashed processes, lost responses and draining instances.

mod support;

use gradedyke_base::problem::Kind;
use gradedyke_client::Options;
use gradedyke_standin::engine;
use gradedyke_standin::service::Mode;
use gradedyke_world::{Config, Deployment, chat_body, response_text, user_message};
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
fn pause_engines_after(deployment: &Deployment, tokens: Option<u64>) {
    deployment.engines.iter().for_each(|e| e.stall_at(tokens));
}

/// Returns the attempts of a call that the engines have received.
fn attempts(deployment: &Deployment, program: &str, request: &str) -> Vec<engine::Record> {
    let prefix = format!("{program}:{request}:");
    let runs = deployment.engines.iter().flat_map(|e| e.runs());
    runs.filter(|r| r.attempt.starts_with(&prefix)).collect()
}

#[test]
fn an_answer_is_fetched_through_another_entry_after_a_crash() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let program = open_program(&caller, deployment.entry_address(0), "minutes").await;
        let killed = non_owner_index(&deployment, &program);
        pause_engines_after(&deployment, Some(PAUSE_AFTER_TOKENS));
        let body = chat_body(&[user_message("Draft the minutes.")]);
        let options = Options::request("draft");
        let streaming = caller.stream(
            entry_address(&deployment, killed),
            &program,
            &body,
            options.clone(),
        );
        let mut stream = streaming.await.unwrap();
        let received = stream.next().await.unwrap().unwrap();
        let offset = stream.offset;
        assert_eq!(offset, received.len() as u64);

        kill_instance(&mut deployment, killed).await;
        pause_engines_after(&deployment, None);
        let result = stream.read_to_end().await;
        assert!(result.is_err(), "the stream should have broken");

        let other_entry = entry_address(&deployment, owner_index(&deployment, &program));
        let whole = caller
            .fetch_response(other_entry, &program, "draft")
            .await
            .unwrap();
        let resuming = caller.resume(other_entry, &program, "draft", offset);
        let rest = resuming.await.unwrap().read_to_end().await.unwrap();
        assert_eq!(format!("{received}{rest}"), response_text(&whole));
        let runs = attempts(&deployment, &program, "draft");
        assert_eq!(runs.len(), 1, "the engine must get the call only once");
        assert_eq!(runs[0].text, response_text(&whole));
        deployment.stop().await;
    });
}

#[test]
fn a_stream_continues_after_the_owner_crashes() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        let body = chat_body(&[user_message("Draft the minutes.")]);
        let options = Options::request("first");
        let first = caller
            .chat(address, &program, &body, options.clone())
            .await
            .unwrap();

        let entry = entry_address(&deployment, non_owner_index(&deployment, &program));
        let killed = owner_index(&deployment, &program);
        pause_engines_after(&deployment, Some(PAUSE_AFTER_TOKENS));
        let body = chat_body(&[user_message("And item four?")]);
        let options = append("second");
        let streaming = caller.stream(entry, &program, &body, options.clone());
        let mut stream = streaming.await.unwrap();
        stream.next().await.unwrap().unwrap();
        kill_instance(&mut deployment, killed).await;
        pause_engines_after(&deployment, None);
        let mut text = stream.text.clone();
        while let Some(more) = stream.next().await.unwrap() {
            text.push_str(&more);
        }

        let runs = attempts(&deployment, &program, "second");
        assert_eq!(
            runs.len(),
            1,
            "the attempt should have been resumed: {runs:?}"
        );
        assert_eq!(runs[0].text, text);
        let reading = caller.program_action(entry, &program, "history");
        let expected = json!([
            user_message("Draft the minutes."),
            first["choices"][0]["message"],
            user_message("And item four?"),
            { "role": "assistant", "content": text },
        ]);
        assert_eq!(reading.await.unwrap()["messages"], expected);
        deployment.stop().await;
    });
}

#[test]
fn engine_memory_is_released_after_the_owner_crashes() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let program = open_program(&caller, deployment.entry_address(0), "minutes").await;
        let entry = entry_address(&deployment, non_owner_index(&deployment, &program));
        let killed = owner_index(&deployment, &program);
        let body = chat_body(&[user_message("Draft.")]);
        let call = caller.chat(entry, &program, &body, Options::request("draft"));
        call.await.unwrap();
        for engine in &deployment.engines {
            let ran = !engine.runs().is_empty();
            engine.wait_until(|e| !ran || !e.pins().is_empty()).await;
        }
        kill_instance(&mut deployment, killed).await;
        // The new owner has no record of which engines hold memory for the
        // program, and must ask all of them.
        caller.program_action(entry, &program, "end").await.unwrap();
        deployment.wait_until_released().await;
        deployment.stop().await;
    });
}

#[test]
fn a_lost_response_to_a_non_repeatable_call_is_recovered() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.jordan_caller();
        let (one, two) = (deployment.entry_address(0), deployment.entry_address(1));
        let program = open_program(&caller, one, "valuation").await;
        deployment.orders.set_mode(Mode::LoseAnswer);
        let options = Options::request("order");
        let path = "orders/place";
        let first = caller
            .call_service(one, &program, path, "{}", options.clone())
            .await;
        let second = caller
            .call_service(two, &program, path, "{}", options.clone())
            .await;
        assert_eq!(first.unwrap(), second.unwrap());
        assert_eq!(deployment.orders.runs().len(), 1);
        deployment.stop().await;
    });
}

#[test]
fn a_lost_response_that_cannot_be_recovered_is_an_unknown_outcome() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        deployment.tree["backends"]["orders"]["outcome_path"] = json!(null);
        deployment.apply_settings().await.unwrap();
        let caller = deployment.jordan_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "valuation").await;
        // On the second request the service would respond, but must not be
        // called.
        for mode in [Mode::LoseAnswer, Mode::Normal] {
            deployment.orders.set_mode(mode);
            let options = Options::request("order");
            let calling =
                caller.call_service(address, &program, "orders/place", "{}", options.clone());
            assert_eq!(rejection_kind(calling.await), Kind::OutcomeUnknown);
        }
        assert_eq!(deployment.orders.runs().len(), 1);
        deployment.stop().await;
    });
}

/// An answer that the journal could not carry was sent to the keepers without end, and no program
/// of its slot went on.
#[test]
fn an_answer_too_large_to_be_stored_ends_its_call_only() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.jordan_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "valuation").await;
        deployment.orders.set_mode(Mode::Large((64 << 20) - 100));
        for _ in 0..2 {
            let options = Options::request("large");
            let calling = caller.call_service(address, &program, "orders/place", "{}", options);
            assert_eq!(rejection_kind(calling.await), Kind::OutcomeUnknown);
        }
        deployment.orders.set_mode(Mode::Normal);
        let options = Options::request("next");
        let calling = caller.call_service(address, &program, "orders/place", "{}", options);
        assert!(calling.await.is_ok());
        assert_eq!(deployment.orders.runs().len(), 2);
        deployment.stop().await;
    });
}

#[test]
fn a_non_repeatable_call_runs_once_when_its_owner_crashes() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.jordan_caller();
        let program = open_program(&caller, deployment.entry_address(0), "valuation").await;
        let entry = entry_address(&deployment, non_owner_index(&deployment, &program));
        let killed = owner_index(&deployment, &program);
        deployment.orders.set_mode(Mode::Hang);
        let ordering = tokio::spawn(async move {
            let options = Options::request("order");
            let calling =
                caller.call_service(entry, &program, "orders/place", "{}", options.clone());
            calling.await
        });
        deployment.orders.wait_until(|s| !s.runs().is_empty()).await;
        kill_instance(&mut deployment, killed).await;
        deployment.orders.set_mode(Mode::Normal);
        let answer = ordering.await.unwrap().unwrap();
        assert!(answer.contains("/place"), "{answer}");
        assert_eq!(deployment.orders.runs().len(), 1);
        deployment.stop().await;
    });
}

#[test]
fn a_call_sent_by_an_earlier_owner_is_never_reported_as_not_run() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.jordan_caller();
        let program = open_program(&caller, deployment.entry_address(0), "valuation").await;
        let entry = entry_address(&deployment, non_owner_index(&deployment, &program));
        let killed = owner_index(&deployment, &program);
        deployment.orders.set_mode(Mode::Hang);
        let calling = tokio::spawn(async move {
            let options = Options {
                repeatable: Some(true),
                ..Options::request("order")
            };
            let calling = caller.call_service(entry, &program, "orders/place", "{}", options);
            calling.await
        });
        deployment.orders.wait_until(|s| !s.runs().is_empty()).await;
        // The new owner cannot connect to the service.
        deployment.tree["backends"]["orders"]["address"] = json!("127.0.0.1:1");
        deployment.apply_settings().await.unwrap();
        kill_instance(&mut deployment, killed).await;
        let error = calling.await.unwrap().unwrap_err();
        let problem = gradedyke_client::problem(&error).unwrap();
        assert!(!problem.not_run, "the call ran: {problem}");
        deployment.stop().await;
    });
}

#[test]
fn draining_breaks_no_stream_and_loses_no_history() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        pause_engines_after(&deployment, Some(PAUSE_AFTER_TOKENS));
        let mut streams = Vec::new();
        for number in 0..9 {
            let opened = format!("open-{number}");
            let address = deployment.entry_address(number);
            let opening = caller.open_program(address, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat_body(&[user_message(&format!("Draft number {number}."))]);
            let options = Options::request("draft");
            let streaming = caller.stream(address, &program, &body, options.clone());
            let mut stream = streaming.await.unwrap();
            stream.next().await.unwrap().unwrap();
            streams.push((program, stream));
        }
        let process = deployment.processes[0].take().unwrap();
        let drain_started = process.kernel().draining.clone();
        let draining = tokio::spawn(process.drain());
        drain_started.cancelled().await;
        pause_engines_after(&deployment, None);
        let mut texts = Vec::new();
        for (program, stream) in streams {
            texts.push((
                program,
                stream
                    .read_to_end()
                    .await
                    .expect("the stream should not break"),
            ));
        }
        assert!(
            draining.await.unwrap(),
            "the process should have drained in time"
        );
        for (number, (program, text)) in texts.iter().enumerate() {
            let runs = attempts(&deployment, program, "draft");
            assert_eq!(runs.len(), 1);
            assert_eq!(&runs[0].text, text);
            let address = deployment.entry_address(number);
            let body = chat_body(&[user_message("Go on.")]);
            let options = append("next");
            caller
                .chat(address, program, &body, options.clone())
                .await
                .unwrap();
            let reading = caller.program_action(address, program, "history");
            let history = reading.await.unwrap();
            let messages = history["messages"].as_array().unwrap();
            assert_eq!(messages.len(), 4);
            assert_eq!(messages[1]["content"], text.as_str());
        }
        deployment.stop().await;
    });
}
