//! What must hold while the platform's key-value service fails, and when
//! operators race.

mod support;

use std::sync::atomic::Ordering;

use gradedyke::current;
use gradedyke_base::settings::check;
use gradedyke_client::Options;
use gradedyke_world::{Config, World, chat, user};
use serde_json::json;
use support::{open, run};

#[test]
fn calls_go_on_while_the_key_value_service_is_down() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        world.platform.faults.down.store(true, Ordering::Relaxed);
        for number in 0..4 {
            let opened = format!("open-{number}");
            let at = world.entry(number);
            let opening = caller.open(at, "minutes", None, None, &opened);
            let program = opening.await.unwrap();
            let body = chat(&[user("Draft.")]);
            let call = caller.chat(at, &program, &body, Options::request("draft"));
            call.await.unwrap();
            caller.program(at, &program, "end").await.unwrap();
        }
        world.released().await;
        world.stop().await;
    });
}

#[test]
fn calls_go_on_when_every_lease_lapses() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let caller = world.kestrel();
        let at = world.entry(0);
        let program = open(&caller, at, "minutes").await;
        for turn in 0..3 {
            world.platform.lapse();
            let body = chat(&[user("More.")]);
            let options = Options {
                append: true,
                ..Options::request(format!("r{turn}"))
            };
            caller.chat(at, &program, &body, options).await.unwrap();
        }
        let history = caller.program(at, &program, "history").await.unwrap();
        assert_eq!(history["messages"].as_array().unwrap().len(), 6);
        world.stop().await;
    });
}

#[test]
fn operators_that_race_get_one_winner_and_one_clear_conflict() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let tree = |mark: u64| {
            let mut tree = world.tree.clone();
            tree["defaults"]["max_tokens"] = json!(mark);
            check::read("race", &tree.to_string()).unwrap()
        };
        for round in 0..10 {
            let known = 1 + round;
            let processes = world.processes.iter().flatten();
            let race: Vec<_> = processes
                .zip(100..)
                .map(|(process, mark)| {
                    let kv = process.kernel().kv.clone();
                    let tree = tree(mark);
                    tokio::spawn(async move { current::apply(&*kv, tree, known).await })
                })
                .collect();
            let mut winners = Vec::new();
            for racer in race {
                match racer.await.unwrap() {
                    Ok(snapshot) => winners.push(snapshot),
                    Err(current::Error::Conflict(revision)) => assert!(revision > known),
                    Err(other) => panic!("{other}"),
                }
            }
            assert_eq!(winners.len(), 1);
            // In force everywhere, and it never reverts.
            for process in world.processes.iter().flatten() {
                let mut revision = process.kernel().current.subscribe();
                revision.wait_for(|r| *r > known).await.unwrap();
                let seen = process.kernel().current.get();
                assert_eq!(*seen, winners[0]);
            }
        }
        world.stop().await;
    });
}

#[test]
fn an_accepted_change_whose_answer_is_lost_is_in_force_once() {
    run(async {
        let world = World::start(Config::default()).await.unwrap();
        let process = world.processes[0].as_ref().unwrap();
        let kv = &process.kernel().kv;
        let tree = check::read("lost", &world.tree.to_string()).unwrap();
        world.platform.faults.lose.store(1, Ordering::Relaxed);
        let applied = current::apply(&**kv, tree, 1).await;
        let (present, _) = current::read(&**kv).await.unwrap();
        match applied {
            Ok(snapshot) => assert_eq!(present, snapshot),
            // A renewal in between may have been the write that lost its answer.
            Err(error) => panic!("{error}"),
        }
        assert_eq!(present.revision, 2);
        world.stop().await;
    });
}
