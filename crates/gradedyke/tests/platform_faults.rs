//! Tests of failures of the platform's key-value service and of concurrent
//! changes by operators.

mod support;

use std::sync::atomic::Ordering;

use gradedyke::current;
use gradedyke_base::settings::check;
use gradedyke_client::Options;
use gradedyke_world::{Config, Deployment, chat_body, user_message};
use serde_json::json;
use support::{open_program, run_test};

#[test]
fn calls_succeed_while_the_key_value_service_is_down() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        deployment
            .platform
            .faults
            .down
            .store(true, Ordering::Relaxed);
        for number in 0..4 {
            let opened = format!("open-{number}");
            let address = deployment.entry_address(number);
            let opening = caller.open_program(address, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat_body(&[user_message("Draft.")]);
            let call = caller.chat(address, &program, &body, Options::request("draft"));
            call.await.unwrap();
            caller
                .program_action(address, &program, "end")
                .await
                .unwrap();
        }
        deployment.wait_until_released().await;
        deployment.stop().await;
    });
}

#[test]
fn calls_succeed_when_all_leases_expire() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let caller = deployment.kestrel_caller();
        let address = deployment.entry_address(0);
        let program = open_program(&caller, address, "minutes").await;
        for turn in 0..3 {
            deployment.platform.expire_all_leases();
            let body = chat_body(&[user_message("More.")]);
            let options = Options {
                append: true,
                ..Options::request(format!("r{turn}"))
            };
            caller
                .chat(address, &program, &body, options)
                .await
                .unwrap();
        }
        let history = caller
            .program_action(address, &program, "history")
            .await
            .unwrap();
        assert_eq!(history["messages"].as_array().unwrap().len(), 6);
        deployment.stop().await;
    });
}

#[test]
fn concurrent_settings_changes_have_one_winner() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let tree = |max_tokens: u64| {
            let mut tree = deployment.tree.clone();
            tree["defaults"]["max_tokens"] = json!(max_tokens);
            check::read("race", &tree.to_string()).unwrap()
        };
        for round in 0..10 {
            let base_revision = 1 + round;
            let processes = deployment.processes.iter().flatten();
            let changes: Vec<_> = processes
                .zip(100..)
                .map(|(process, max_tokens)| {
                    let kv = process.kernel().kv.clone();
                    let tree = tree(max_tokens);
                    tokio::spawn(async move { current::apply(&*kv, tree, base_revision).await })
                })
                .collect();
            let mut winners = Vec::new();
            for change in changes {
                match change.await.unwrap() {
                    Ok(snapshot) => winners.push(snapshot),
                    Err(current::Error::Conflict(revision)) => assert!(revision > base_revision),
                    Err(other) => panic!("applying the settings failed: {other}"),
                }
            }
            assert_eq!(winners.len(), 1);
            // The winner's settings become active on every instance.
            for process in deployment.processes.iter().flatten() {
                let mut revision = process.kernel().active_settings.subscribe();
                revision.wait_for(|r| *r > base_revision).await.unwrap();
                let active = process.kernel().active_settings.get();
                assert_eq!(*active, winners[0]);
            }
        }
        deployment.stop().await;
    });
}

#[test]
fn a_settings_change_whose_response_is_lost_is_applied_once() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let process = deployment.processes[0].as_ref().unwrap();
        let kv = &process.kernel().kv;
        let tree = check::read("lost", &deployment.tree.to_string()).unwrap();
        deployment
            .platform
            .faults
            .replies_to_lose
            .store(1, Ordering::Relaxed);
        let applied = current::apply(&**kv, tree, 1).await;
        let (active, _) = current::read(&**kv).await.unwrap();
        match applied {
            Ok(snapshot) => assert_eq!(active, snapshot),
            Err(error) => panic!("applying the settings failed: {error}"),
        }
        assert_eq!(active.revision, 2);
        deployment.stop().await;
    });
}
