//! Replicas that continued without others, which may have the only copies of records, and replicas that lost
//! their disk.

use std::time::Duration;

use gradedyke_turns::load::Report;
use gradedyke_turns::mirror::Item;
use gradedyke_turns::quorum::{BeginParams, Error};
use gradedyke_turns::record::Reserved;
use gradedyke_turns::view::{self, Absence, Member, View};
use tokio::time::Instant;

use super::{Deployment, RunningReplica, id, operation_deadline};

/// Publishes a view with these versions of absences.
fn publish_absences(deployment: &Deployment, version: u64, absences: &[u64]) {
    let absence = |version: &u64| Absence {
        version: *version,
        members: vec![Member {
            name: "absent".to_owned(),
            disk: *version,
            ..deployment.replicas[0].member.clone()
        }],
        required: 1,
    };
    let view = View {
        absences: absences.iter().map(absence).collect(),
        ..deployment.view(version)
    };
    publish(deployment, &view);
}

fn publish(deployment: &Deployment, view: &View) {
    let item = Item {
        key: view::VIEW_KEY.to_owned(),
        value: Some(serde_json::to_vec(view).unwrap().into()),
        revision: view.version,
    };
    deployment.mirror.apply(vec![item], Instant::now());
    let replicas = deployment.replicas.iter();
    replicas.for_each(|r| r.replica.update_view(view));
}

/// Begins an attempt that reserves 40 of 100 tokens of a program.
async fn begin(
    deployment: &Deployment,
    program: &str,
    request: &str,
    parent: Option<&str>,
) -> Result<(), Error> {
    let reserved = Reserved {
        program: id(program),
        request: id(request),
        tokens: 40,
        keep_ms: 60_000,
    };
    let params = BeginParams {
        reservation: Some((reserved, 100)),
        parent: parent.map(id),
        input_bytes: 0,
        is_first_turn: parent.is_none(),
        load: Report::default(),
        usage: None,
        try_timeout: Duration::from_secs(1),
        deadline: operation_deadline(),
        conversation_deadline: operation_deadline(),
    };
    deployment.coordinator.begin(&params).await.map(|_| ())
}

/// Replicas that had continued without two others, which were down, said that there was no such
/// turn.
#[tokio::test]
async fn missing_turn_is_not_reported_while_records_are_absent() {
    let deployment = Deployment::start(2).await;
    deployment.store("a", None).await.unwrap();
    publish_absences(&deployment, 2, &[2]);
    assert_eq!(deployment.transcript("no").await, Err(Error::RecordsAbsent));
    assert_eq!(deployment.transcript("a").await.unwrap().unwrap(), "a?a!");
    publish_absences(&deployment, 3, &[]);
    assert_eq!(deployment.transcript("no").await, Err(Error::TurnNotFound));
}

/// What a program had used before was counted as far as the replicas that were left knew it.
#[tokio::test]
async fn program_goes_on_only_if_all_its_attempts_are_known() {
    let deployment = Deployment::start(2).await;
    deployment.store("t", None).await.unwrap();
    begin(&deployment, "old", "o1", None).await.unwrap();
    publish_absences(&deployment, 2, &[2]);
    let absent = Err(Error::RecordsAbsent);
    assert_eq!(begin(&deployment, "old", "o2", None).await, absent);
    // A program that continues a turn has begun before.
    assert_eq!(begin(&deployment, "other", "r1", Some("t")).await, absent);
    // A new one need not wait, and its budget holds.
    begin(&deployment, "new", "n1", None).await.unwrap();
    begin(&deployment, "new", "n2", Some("t")).await.unwrap();
    let spent = begin(&deployment, "new", "n3", None).await;
    assert!(
        matches!(spent, Err(Error::BudgetExceeded { used: 80, .. })),
        "{spent:?}"
    );
    // Others were given up since the program began.
    begin(&deployment, "newer", "m1", None).await.unwrap();
    publish_absences(&deployment, 3, &[2, 3]);
    assert_eq!(begin(&deployment, "newer", "m2", Some("t")).await, absent);
    publish_absences(&deployment, 4, &[]);
    begin(&deployment, "other", "r2", Some("t")).await.unwrap();
}

/// An empty replica at the address of the member that it was counted as that member, so that used
/// tokens that another one still knew were forgotten.
#[tokio::test]
async fn replica_with_a_new_disk_does_not_answer_for_the_former_member() {
    let mut deployment = Deployment::start(3).await;
    // The third replica was down.
    let down = deployment.replicas[2].member.clone();
    deployment.replicas[2].member.address = "127.0.0.1:9".parse().unwrap();
    deployment.publish(2);
    begin(&deployment, "p", "a", None).await.unwrap();
    begin(&deployment, "p", "b", None).await.unwrap();
    deployment.replicas[2].member = down;
    // The first replica lost its disk, and another one answers at its address.
    let empty = tempfile::tempdir().unwrap();
    let new_replica = RunningReplica::start(empty, "n0", &mut deployment.tasks).await;
    deployment.replicas[0].stop.cancel();
    deployment.replicas[0].member.address = new_replica.member.address;
    deployment.publish(3);
    deployment.stop(1);
    new_replica.replica.update_view(&deployment.view(3));
    let result = begin(&deployment, "p", "c", None).await;
    assert!(
        matches!(result, Err(Error::Starting | Error::NoQuorum { .. })),
        "{result:?}"
    );
}
