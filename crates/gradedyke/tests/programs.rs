//! Programs through the real path: order, repeats, history, budget, limits.

mod support;

use gradedyke_base::problem::Kind;
use gradedyke_client::Options;
use gradedyke_standin::service::Mode;
use gradedyke_world::{Config, World, chat, text_of, user};
use serde_json::json;
use support::{kind, open, run};

fn numbered(request: &str, sequence: u64) -> Options {
    Options {
        append: true,
        sequence: Some(sequence),
        ..Options::request(request)
    }
}

fn append(request: &str) -> Options {
    Options {
        append: true,
        ..Options::request(request)
    }
}

#[test]
fn numbered_calls_run_in_order_whichever_way_they_come() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        let calls = [3, 1, 4, 2].map(|number| {
            let (caller, program) = (caller.clone(), program.clone());
            let at = world.entry(usize::try_from(number).unwrap());
            tokio::spawn(async move {
                let body = chat(&[user(&format!("call {number}"))]);
                let options = numbered(&format!("r{number}"), number);
                caller
                    .chat(at, &program, &body, options.clone())
                    .await
                    .unwrap();
            })
        });
        for call in calls {
            call.await.unwrap();
        }
        let history = caller.program(at, &program, "history").await.unwrap();
        let asked = history["messages"].as_array().unwrap().iter();
        let asked: Vec<_> = asked.filter(|m| m["role"] == "user").collect();
        let expected: Vec<_> = (1..=4).map(|n| user(&format!("call {n}"))).collect();
        assert_eq!(asked, expected.iter().collect::<Vec<_>>());
        // A number that was used stands for that call.
        let body = chat(&[user("late")]);
        let late = caller.chat(at, &program, &body, numbered("late", 2));
        assert_eq!(kind(late.await), Kind::Conflict);
        world.stop().await;
    });
}

#[test]
fn a_request_gives_one_answer_however_often_it_comes() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let program = {
            // Opening is a request like any other.
            let one = caller.open(world.entry(0), "minutes", None, None, "open");
            let two = caller.open(world.entry(1), "minutes", None, None, "open");
            let (one, two) = tokio::join!(one, two);
            assert_eq!(one.as_ref().unwrap(), two.as_ref().unwrap());
            one.unwrap()
        };
        let body = chat(&[user("Draft.")]);
        let options = Options::request("draft");
        world.engines.iter().for_each(|e| e.hold_at(Some(3)));
        let streaming = caller.stream(world.entry(0), &program, &body, options.clone());
        let mut first = streaming.await.unwrap();
        first.next().await.unwrap().unwrap();
        // The same request elsewhere while the first still streams, whole and
        // streamed.
        let whole = {
            let (caller, program, body) = (caller.clone(), program.clone(), body.clone());
            let (at, options) = (world.entry(1), options.clone());
            tokio::spawn(async move { caller.chat(at, &program, &body, options.clone()).await })
        };
        let second = caller.stream(world.entry(2), &program, &body, options.clone());
        let second = second.await.unwrap();
        world.engines.iter().for_each(|e| e.hold_at(None));
        let text = text_of(&whole.await.unwrap().unwrap());
        assert_eq!(second.rest().await.unwrap(), text);
        assert_eq!(first.rest().await.unwrap(), text);
        // And after it has ended.
        let later = caller
            .chat(world.entry(1), &program, &body, options.clone())
            .await;
        assert_eq!(text_of(&later.unwrap()), text);
        let runs: usize = world.engines.iter().map(|e| e.runs().len()).sum();
        assert_eq!(runs, 1);
        // Another call under the same id is refused.
        let other = chat(&[user("Something else.")]);
        let other = caller.chat(world.entry(0), &program, &other, options.clone());
        assert_eq!(kind(other.await), Kind::Conflict);
        world.stop().await;
    });
}

#[test]
fn hundreds_of_streams_pass_between_one_entry_and_one_owner() {
    run(async {
        let engine = gradedyke_standin::engine::Config {
            batch: 1_000,
            ..Default::default()
        };
        let config = Config {
            instances: 1,
            engines: vec![engine],
            ..Config::default()
        };
        let world = World::start(config).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        world.engines.iter().for_each(|e| e.hold_at(Some(1)));
        let mut streams = Vec::new();
        for number in 0..300 {
            let opened = format!("open-{number}");
            let opening = caller.open(at, "minutes-plain", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user("Draft.")]);
            let options = Options::request("draft");
            let mut stream = caller.stream(at, &program, &body, options).await.unwrap();
            stream.next().await.unwrap().unwrap();
            streams.push(stream);
        }
        world.engines.iter().for_each(|e| e.hold_at(None));
        for stream in streams {
            stream.rest().await.unwrap();
        }
        world.stop().await;
    });
}

#[test]
fn a_history_is_kept_and_must_be_gone_on_from() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        let first = user("one");
        let body = chat(std::slice::from_ref(&first));
        let answer = caller.chat(at, &program, &body, Options::request("1"));
        let mut answer = answer.await.unwrap()["choices"][0]["message"].clone();
        // Clients add fields of their own to what they were sent.
        answer["refusal"] = json!(null);
        let body = chat(&[first.clone(), answer.clone(), user("two")]);
        let second = caller.chat(at, &program, &body, Options::request("2"));
        second.await.unwrap();
        // Each case: messages that do not go on from the history.
        let cases = [
            (vec![user("two")], Kind::Conflict),
            (vec![first.clone(), user("two")], Kind::Conflict),
            (vec![first.clone(), answer.clone()], Kind::Conflict),
            (vec![], Kind::BadRequest),
        ];
        for (i, (messages, expected)) in cases.into_iter().enumerate() {
            let options = Options::request(format!("bad-{i}"));
            let body = chat(&messages);
            let refused = caller.chat(at, &program, &body, options.clone()).await;
            assert_eq!(kind(refused), expected, "{messages:?}");
        }
        let history = caller.program(at, &program, "history").await.unwrap();
        assert_eq!(history["messages"].as_array().unwrap().len(), 4);
        world.stop().await;
    });
}

#[test]
fn a_tree_never_spends_beyond_its_budget() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let budget = 600;
        let opening = caller.open(at, "minutes", Some(budget), None, "open");
        let program = opening.await.unwrap();
        // Two sub-agents and their parent draw on it together, at once.
        let mut programs = vec![program.clone()];
        for name in ["one", "two"] {
            let child = caller.open(at, "minutes", Some(9_999), Some(&program), name);
            programs.push(child.await.unwrap());
        }
        let spenders = programs.iter().cloned().map(|program| {
            let caller = caller.clone();
            tokio::spawn(async move {
                for turn in 0..20 {
                    let body = chat(&[user("more")]);
                    let options = append(&format!("r{turn}"));
                    let call = caller.chat(at, &program, &body, options.clone());
                    if let Err(error) = call.await {
                        return kind::<()>(Err(error));
                    }
                }
                panic!("the budget was never used up")
            })
        });
        let spenders: Vec<_> = spenders.collect();
        for spender in spenders {
            assert_eq!(spender.await.unwrap(), Kind::OverBudget);
        }
        let runs = world.engines.iter().flat_map(|e| e.runs());
        let spent: u64 = runs.map(|r| r.prompt_tokens + r.completion_tokens).sum();
        assert!(spent <= budget, "{spent}");
        let info = caller.program(at, &program, "").await.unwrap();
        assert_eq!(info["spent_tokens"], spent);
        world.stop().await;
    });
}

#[test]
fn ended_programs_hold_no_engine_memory() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        for (number, how) in ["end", "cancel"].into_iter().enumerate() {
            let opened = format!("open-{number}");
            let opening = caller.open(at, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let child = caller.open(at, "minutes", None, Some(&program), "sub");
            let child = child.await.unwrap();
            for program in [&program, &child] {
                let body = chat(&[user("Draft.")]);
                let call = caller.chat(at, program, &body, Options::request("draft"));
                call.await.unwrap();
            }
            for engine in &world.engines {
                engine.until(|e| e.runs().iter().all(|r| r.whole)).await;
            }
            caller.program(at, &program, how).await.unwrap();
            world.released().await;
            let body = chat(&[user("More.")]);
            for program in [&program, &child] {
                let late = caller.chat(at, program, &body, append("late"));
                assert_eq!(kind(late.await), Kind::Ended);
            }
        }
        world.stop().await;
    });
}

#[test]
fn a_program_whose_caller_has_gone_is_ended_and_holds_no_memory() {
    run(async {
        let config = Config {
            defaults: json!({ "idle_ms": 100, "max_tokens": 4 }),
            ..Config::default()
        };
        let world = World::start(config).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        let body = chat(&[user("Draft.")]);
        let call = caller.chat(at, &program, &body, Options::request("draft"));
        call.await.unwrap();
        world.released().await;
        let info = caller.program(at, &program, "").await.unwrap();
        assert_eq!(info["ended"], "idle");
        world.stop().await;
    });
}

#[test]
fn a_cancelled_program_stops_its_call() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        world.engines.iter().for_each(|e| e.hold_at(Some(2)));
        let body = chat(&[user("Draft.")]);
        let options = Options::request("draft");
        let mut stream = caller
            .stream(at, &program, &body, options.clone())
            .await
            .unwrap();
        stream.next().await.unwrap().unwrap();
        caller.program(at, &program, "cancel").await.unwrap();
        assert_eq!(kind(stream.rest().await), Kind::Ended);
        world.stop().await;
    });
}

#[test]
fn a_program_comes_to_its_turn_limit_and_its_calls_to_their_time() {
    run(async {
        let config = Config {
            defaults: json!({ "max_turns": 2, "call_ms": 3_000, "max_tokens": 4 }),
            ..Config::default()
        };
        let world = World::start(config).await.unwrap();
        let caller = world.jordan();
        let at = world.entry(0);
        let program = open(&caller, at, "valuation").await;
        let body = chat(&[user("Value.")]);
        let options = Options::request("value");
        caller
            .chat(at, &program, &body, options.clone())
            .await
            .unwrap();
        world.orders.set(Mode::Hang);
        let options = Options::request("order");
        let hung = caller.service(at, &program, "orders/place", "{}", options.clone());
        // It ran, and the service tells so.
        hung.await.unwrap();
        let third = caller.service(at, &program, "orders/place", "{}", Options::request("more"));
        assert_eq!(kind(third.await), Kind::Overloaded);
        world.stop().await;
    });
}

#[test]
fn calls_go_elsewhere_when_an_engine_is_not_there_and_none_go_to_one_that_leaves() {
    run(async {
        let mut world = World::start(Config::default()).await.unwrap();
        world.tree["backends"]["engine-1"]["address"] = json!("127.0.0.1:1");
        world.apply().await.unwrap();
        world.engines[1].leave(true);
        let caller = world.kestrel();
        let at = world.entry(0);
        // Its next reports tell every owner; each asks in turn.
        let enough = world.engines[1].reports() + 3 * world.processes.len() as u64;
        world.engines[1].until(|e| e.reports() >= enough).await;
        for number in 0..12 {
            let opened = format!("open-{number}");
            let opening = caller.open(at, "minutes-plain", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user("Draft.")]);
            let call = caller.chat(at, &program, &body, Options::request("draft"));
            call.await.unwrap();
        }
        let runs: Vec<_> = world.engines.iter().map(|e| e.runs().len()).collect();
        assert_eq!(runs, [0, 0, 12]);
        world.stop().await;
    });
}
