//! Gangs on worker stand-ins that fail in the middle of a step.

use crate::support::{Rig, deadline};
use lycheeyard_clients::{HttpWorkers, Workers};
use lycheeyard_protocol::{
    Epoch, JobState, Timestamp,
    platform::{PrepareReply, StartRequest, TaskRequest, TaskState},
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

#[tokio::test]
async fn gang_starts_whole_and_ends_well() {
    let rig = Rig::start(2).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("build", 2, "run-ms=300").await;
    let record = rig.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
    assert!(record.placement.is_none());
}

#[tokio::test]
async fn worker_that_refuses_every_call_holds_no_gang_back() {
    let rig = Rig::start(4).await;
    rig.worker("w1")
        .faults()
        .change(|faults| faults.down = true);
    let _scheduler = rig.scheduler("e1");
    rig.submit("build", 3, "").await;
    rig.wait_for("build", JobState::Running).await;
    let workers: BTreeSet<String> = rig.running().iter().map(|(w, _)| w.to_string()).collect();
    assert_eq!(workers, ["w2", "w3", "w4"].map(String::from).into());
}

#[tokio::test]
async fn refusal_in_the_middle_releases_all() {
    let rig = Rig::start(3).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("first", 1, "").await;
    rig.wait_for("first", JobState::Running).await;
    // The worker answers the scheduler's polls until the gang is placed, and then nothing any more.
    rig.worker("w3")
        .faults()
        .change(|faults| faults.paused = true);
    rig.submit("build", 2, "").await;
    rig.wait_until("build", "given up once", |record| {
        record.state == JobState::Stopping || record.attempts > 1
    })
    .await;
    rig.eventually("the prepared task is released", || {
        let report = rig.worker("w2").report();
        let holds = |state| matches!(state, TaskState::Prepared | TaskState::Running);
        !report.tasks.iter().any(|task| holds(task.state))
    })
    .await;
    rig.worker("w3")
        .faults()
        .change(|faults| faults.paused = false);
    rig.wait_for("build", JobState::Running).await;
    rig.check_workers();
}

#[tokio::test]
async fn lost_task_stops_the_whole_gang_and_requeues_it() {
    let rig = Rig::start(3).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("build", 3, "").await;
    rig.wait_for("build", JobState::Running).await;
    rig.worker("w2").restart();
    let record = rig
        .wait_until("build", "running again", |record| {
            record.state == JobState::Running && record.attempts == 2
        })
        .await;
    assert_eq!(
        record.failures, 0,
        "a restarted worker is not the job's fault"
    );
}

#[rstest]
#[case::worker(1)]
#[case::rack(3)]
#[tokio::test]
async fn silent_workers_are_waited_for_until_their_leases_lapse(#[case] silent: usize) {
    let rig = Rig::start(6).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("build", 3, "").await;
    rig.wait_for("build", JobState::Running).await;
    let first: Vec<_> = rig
        .running()
        .into_iter()
        .map(|(worker, _)| worker)
        .collect();
    for worker in &first[..silent] {
        rig.workers[worker]
            .faults()
            .change(|faults| faults.paused = true);
    }
    // `wait_until` checks that the silent workers' tasks have ended when the gang runs elsewhere.
    rig.wait_until("build", "running elsewhere", |record| {
        record.state == JobState::Running && record.attempts > 1
    })
    .await;
    let second: BTreeSet<_> = rig
        .running()
        .into_iter()
        .map(|(worker, _)| worker)
        .collect();
    assert!(
        first[..silent]
            .iter()
            .all(|worker| !second.contains(worker))
    );
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[tokio::test]
async fn lost_answers_of_workers_start_nothing_twice(#[case] lost: u32) {
    let rig = Rig::start(2).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("warm", 1, "run-ms=1").await;
    rig.wait_for("warm", JobState::Succeeded).await;
    for worker in rig.workers.values() {
        worker.faults().change(|faults| faults.lose_answers = lost);
    }
    rig.submit("build", 2, "").await;
    rig.wait_for("build", JobState::Running).await;
    rig.check_workers();
    assert_eq!(rig.running().len(), 2);
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[tokio::test]
async fn lost_answers_of_the_store_do_not_restart_a_job(#[case] lost: u32) {
    let rig = Rig::start(2).await;
    let _scheduler = rig.scheduler("e1");
    rig.submit("build", 2, "run-ms=1500").await;
    rig.wait_until("build", "placed", |record| record.attempts == 1)
        .await;
    rig.store
        .faults()
        .change(|faults| faults.lose_answers = lost);
    let record = rig.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
}

#[tokio::test]
async fn checkpoint_is_waited_for_and_kept() {
    let rig = Rig::start(1).await;
    let _scheduler = rig.scheduler("e1");
    let stored = rig.submit("build", 1, "checkpoint-ms=400").await;
    rig.wait_for("build", JobState::Running).await;
    let since = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stored = rig
        .jobs
        .get(
            &stored.record.spec.organisation,
            &stored.record.spec.job,
            deadline(),
        )
        .await
        .expect("the store answers")
        .expect("the job exists");
    let mut record = stored.record.clone();
    record.state = JobState::Stopping;
    record.stopping = Some(lycheeyard_protocol::StopNote {
        since: Timestamp::now(),
        checkpoint_until: Timestamp::now().after(Duration::from_secs(30)),
        checkpoint_ms: None,
        failed_on: BTreeSet::new(),
        never_started: false,
        lost: false,
    });
    rig.save(&stored, record).await;
    let record = rig
        .wait_until("build", "running again", |record| {
            record.state == JobState::Running && record.attempts == 2
        })
        .await;
    assert!(record.checkpoint_ms >= 200, "kept {}", record.checkpoint_ms);
    assert!(u128::from(record.checkpoint_ms) <= since.elapsed().as_millis() + 100);
}

#[tokio::test]
async fn task_that_no_record_names_is_stopped() {
    let rig = Rig::start(1).await;
    let worker = rig.worker("w1");
    let task: lycheeyard_protocol::TaskId = "org-x.gone.1.abc".parse().expect("a name");
    let lease_until = Timestamp::now().after(Duration::from_secs(600));
    let workers = HttpWorkers::default();
    let req = TaskRequest {
        task: task.clone(),
        organisation: "org-x".parse().expect("a name"),
        job: "gone".parse().expect("a name"),
        accelerators: [0, 1].map(lycheeyard_protocol::AcceleratorIndex).into(),
        epoch: Epoch(0),
        lease_until,
        checkpoint_ms: 0,
        payload: String::new(),
    };
    let address = worker.address();
    let prepared = workers.prepare(address, req, deadline()).await;
    assert_eq!(prepared, Ok(PrepareReply::Prepared));
    let req = StartRequest {
        task,
        epoch: Epoch(0),
        lease_until,
    };
    workers
        .start(address, req, deadline())
        .await
        .expect("the worker answers");
    assert_eq!(rig.running().len(), 1);
    let _scheduler = rig.scheduler("e1");
    rig.eventually("the task is stopped", || rig.running().is_empty())
        .await;
}
