//! Tests of programs: call order, idempotency, history, budgets and limits.

mod support;

use gradedyke_base::problem::Kind;
use gradedyke_client::Options;
use gradedyke_standin::service::Mode;
use gradedyke_world::{Config, Deployment, chat_body, response_text, user_message};
use serde_json::json;
use support::{open_program, rejection_kind, run_test};

/// Options of a call that appends to the history and has a sequence number.
fn append_with_sequence(request: &str, sequence: u64) -> Options {
    Options {
        append: true,
        sequence: Some(sequence),
        ..Options::request(request)
    }
}

/// Options of a call that appends to the history.
fn append(request: &str) -> Options {
    Options {
        append: true,
        ..Options::request(request)
    }
}

#[test]
fn calls_run_in_the_order_of_their_sequence_numbers() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        let calls = [3, 1, 4, 2].map(|number| {
            let (caller, program) = (caller.clone(), program.clone());
            let address = deployment.entry_address(usize::try_from(number).unwrap());
            tokio::spawn(async move {
                let body = chat_body(&[user_message(&format!("call {number}"))]);
                let options = append_with_sequence(&format!("r{number}"), number);
                caller
                    .chat(address, &program, &body, options.clone())
                    .await
                    .unwrap();
            })
        });
        for call in calls {
            call.await.unwrap();
        }
        let history = caller
            .program_action(address, &program, "history")
            .await
            .unwrap();
        let messages = history["messages"].as_array().unwrap().iter();
        let user_messages: Vec<_> = messages.filter(|m| m["role"] == "user").collect();
        let expected: Vec<_> = (1..=4)
            .map(|n| user_message(&format!("call {n}")))
            .collect();
        assert_eq!(user_messages, expected.iter().collect::<Vec<_>>());
        // A sequence number that was already used is rejected.
        let body = chat_body(&[user_message("late")]);
        let late = caller.chat(address, &program, &body, append_with_sequence("late", 2));
        assert_eq!(rejection_kind(late.await), Kind::Conflict);
        deployment.stop().await;
    });
}

#[test]
fn repeated_requests_get_the_same_answer() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let program = {
            // Opening a program is idempotent too.
            let one =
                caller.open_program(deployment.entry_address(0), "minutes", None, None, "open");
            let two =
                caller.open_program(deployment.entry_address(1), "minutes", None, None, "open");
            let (one, two) = tokio::join!(one, two);
            assert_eq!(one.as_ref().unwrap(), two.as_ref().unwrap());
            one.unwrap()
        };
        let body = chat_body(&[user_message("Draft.")]);
        let options = Options::request("draft");
        deployment.engines.iter().for_each(|e| e.stall_at(Some(3)));
        let streaming = caller.stream(
            deployment.entry_address(0),
            &program,
            &body,
            options.clone(),
        );
        let mut first = streaming.await.unwrap();
        first.next().await.unwrap().unwrap();
        // The same request is sent to other entries while the first stream is
        // open, once for the complete answer and once as a stream.
        let whole = {
            let (caller, program, body) = (caller.clone(), program.clone(), body.clone());
            let (address, options) = (deployment.entry_address(1), options.clone());
            tokio::spawn(
                async move { caller.chat(address, &program, &body, options.clone()).await },
            )
        };
        let second = caller.stream(
            deployment.entry_address(2),
            &program,
            &body,
            options.clone(),
        );
        let second = second.await.unwrap();
        deployment.engines.iter().for_each(|e| e.stall_at(None));
        let text = response_text(&whole.await.unwrap().unwrap());
        assert_eq!(second.read_to_end().await.unwrap(), text);
        assert_eq!(first.read_to_end().await.unwrap(), text);
        // The same request is sent again after the call has ended.
        let later = caller
            .chat(
                deployment.entry_address(1),
                &program,
                &body,
                options.clone(),
            )
            .await;
        assert_eq!(response_text(&later.unwrap()), text);
        let runs: usize = deployment.engines.iter().map(|e| e.runs().len()).sum();
        assert_eq!(runs, 1);
        // A different call with the same request id is rejected.
        let other = chat_body(&[user_message("Something else.")]);
        let other = caller.chat(
            deployment.entry_address(0),
            &program,
            &other,
            options.clone(),
        );
        assert_eq!(rejection_kind(other.await), Kind::Conflict);
        deployment.stop().await;
    });
}

#[test]
fn one_entry_and_one_owner_relay_hundreds_of_concurrent_streams() {
    run_test(async {
        let engine = gradedyke_standin::engine::Config {
            batch: 1_000,
            ..Default::default()
        };
        let config = Config {
            instances: 1,
            engines: vec![engine],
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        deployment.engines.iter().for_each(|e| e.stall_at(Some(1)));
        let mut streams = Vec::new();
        for number in 0..300 {
            let opened = format!("open-{number}");
            let opening = caller.open_program(address, "minutes-plain", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat_body(&[user_message("Draft.")]);
            let options = Options::request("draft");
            let mut stream = caller
                .stream(address, &program, &body, options)
                .await
                .unwrap();
            stream.next().await.unwrap().unwrap();
            streams.push(stream);
        }
        deployment.engines.iter().for_each(|e| e.stall_at(None));
        for stream in streams {
            stream.read_to_end().await.unwrap();
        }
        deployment.stop().await;
    });
}

#[test]
fn messages_must_continue_the_stored_history() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        let first = user_message("one");
        let body = chat_body(std::slice::from_ref(&first));
        let answer = caller.chat(address, &program, &body, Options::request("1"));
        let mut answer = answer.await.unwrap()["choices"][0]["message"].clone();
        // Clients may add fields to the messages that they received.
        answer["refusal"] = json!(null);
        let body = chat_body(&[first.clone(), answer.clone(), user_message("two")]);
        let second = caller.chat(address, &program, &body, Options::request("2"));
        second.await.unwrap();
        // Each case: messages that do not continue the history, and the expected
        // rejection.
        let cases = [
            (vec![user_message("two")], Kind::Conflict),
            (vec![first.clone(), user_message("two")], Kind::Conflict),
            (vec![first.clone(), answer.clone()], Kind::Conflict),
            (vec![], Kind::BadRequest),
        ];
        for (i, (messages, expected)) in cases.into_iter().enumerate() {
            let options = Options::request(format!("bad-{i}"));
            let body = chat_body(&messages);
            let result = caller.chat(address, &program, &body, options.clone()).await;
            assert_eq!(rejection_kind(result), expected, "{messages:?}");
        }
        let history = caller
            .program_action(address, &program, "history")
            .await
            .unwrap();
        assert_eq!(history["messages"].as_array().unwrap().len(), 4);
        deployment.stop().await;
    });
}

#[test]
fn a_program_and_its_children_never_exceed_their_budget() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let budget = 600;
        let opening = caller.open_program(address, "minutes", Some(budget), None, "open");
        let program = opening.await.unwrap();
        // A program and two children spend the same budget concurrently.
        let mut programs = vec![program.clone()];
        for name in ["one", "two"] {
            let child = caller.open_program(address, "minutes", Some(9_999), Some(&program), name);
            programs.push(child.await.unwrap());
        }
        let spenders = programs.iter().cloned().map(|program| {
            let caller = caller.clone();
            tokio::spawn(async move {
                for turn in 0..20 {
                    let body = chat_body(&[user_message("more")]);
                    let options = append(&format!("r{turn}"));
                    let call = caller.chat(address, &program, &body, options.clone());
                    if let Err(error) = call.await {
                        return rejection_kind::<()>(Err(error));
                    }
                }
                panic!("the budget was not exhausted")
            })
        });
        let spenders: Vec<_> = spenders.collect();
        for spender in spenders {
            assert_eq!(spender.await.unwrap(), Kind::OverBudget);
        }
        let runs = deployment.engines.iter().flat_map(|e| e.runs());
        let spent: u64 = runs.map(|r| r.prompt_tokens + r.completion_tokens).sum();
        assert!(spent <= budget, "{spent}");
        let info = caller.program_action(address, &program, "").await.unwrap();
        assert_eq!(info["spent_tokens"], spent);
        deployment.stop().await;
    });
}

#[test]
fn ended_programs_release_engine_memory() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        for (number, action) in ["end", "cancel"].into_iter().enumerate() {
            let opened = format!("open-{number}");
            let opening = caller.open_program(address, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let child = caller.open_program(address, "minutes", None, Some(&program), "sub");
            let child = child.await.unwrap();
            for program in [&program, &child] {
                let body = chat_body(&[user_message("Draft.")]);
                let call = caller.chat(address, program, &body, Options::request("draft"));
                call.await.unwrap();
            }
            for engine in &deployment.engines {
                engine
                    .wait_until(|e| e.runs().iter().all(|r| r.is_complete))
                    .await;
            }
            caller
                .program_action(address, &program, action)
                .await
                .unwrap();
            deployment.wait_until_released().await;
            let body = chat_body(&[user_message("More.")]);
            for program in [&program, &child] {
                let late = caller.chat(address, program, &body, append("late"));
                assert_eq!(rejection_kind(late.await), Kind::Ended);
            }
        }
        deployment.stop().await;
    });
}

#[test]
fn an_idle_program_is_ended_and_releases_its_memory() {
    run_test(async {
        let config = Config {
            defaults: json!({ "idle_ms": 100, "max_tokens": 4 }),
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        let body = chat_body(&[user_message("Draft.")]);
        let call = caller.chat(address, &program, &body, Options::request("draft"));
        call.await.unwrap();
        deployment.wait_until_released().await;
        let info = caller.program_action(address, &program, "").await.unwrap();
        assert_eq!(info["ended"], "idle");
        deployment.stop().await;
    });
}

#[test]
fn cancelling_a_program_stops_its_call() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        deployment.engines.iter().for_each(|e| e.stall_at(Some(2)));
        let body = chat_body(&[user_message("Draft.")]);
        let options = Options::request("draft");
        let mut stream = caller
            .stream(address, &program, &body, options.clone())
            .await
            .unwrap();
        stream.next().await.unwrap().unwrap();
        caller
            .program_action(address, &program, "cancel")
            .await
            .unwrap();
        assert_eq!(rejection_kind(stream.read_to_end().await), Kind::Ended);
        deployment.stop().await;
    });
}

#[test]
fn turn_limits_and_call_timeouts_are_enforced() {
    run_test(async {
        let config = Config {
            defaults: json!({ "max_turns": 2, "call_ms": 3_000, "max_tokens": 4 }),
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        let caller = deployment.jordan_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "valuation").await;
        let body = chat_body(&[user_message("Value.")]);
        let options = Options::request("value");
        caller
            .chat(address, &program, &body, options.clone())
            .await
            .unwrap();
        deployment.orders.set_mode(Mode::Hang);
        let options = Options::request("order");
        let calling = caller.call_service(address, &program, "orders/place", "{}", options.clone());
        // The call timed out, but the service reports the outcome when asked.
        calling.await.unwrap();
        let third = caller.call_service(
            address,
            &program,
            "orders/place",
            "{}",
            Options::request("more"),
        );
        assert_eq!(rejection_kind(third.await), Kind::Overloaded);
        deployment.stop().await;
    });
}

#[test]
fn unreachable_and_draining_engines_get_no_calls() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        deployment.tree["backends"]["engine-1"]["address"] = json!("127.0.0.1:1");
        deployment.apply_settings().await.unwrap();
        deployment.engines[1].set_leaving(true);
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        // Waits until every owner has polled the engine since it began to drain.
        let expected_reports =
            deployment.engines[1].load_report_count() + 3 * deployment.processes.len() as u64;
        deployment.engines[1]
            .wait_until(|e| e.load_report_count() >= expected_reports)
            .await;
        for number in 0..12 {
            let opened = format!("open-{number}");
            let opening = caller.open_program(address, "minutes-plain", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat_body(&[user_message("Draft.")]);
            let call = caller.chat(address, &program, &body, Options::request("draft"));
            call.await.unwrap();
        }
        let runs: Vec<_> = deployment.engines.iter().map(|e| e.runs().len()).collect();
        assert_eq!(runs, [0, 0, 12]);
        deployment.stop().await;
    });
}
