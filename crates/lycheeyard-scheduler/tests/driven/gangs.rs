//! Guards against gangs that start or stop only in part, or twice, when workers or the store fail during a step.

use crate::support::{TestCluster, deadline};
use lycheeyard_clients::{HttpWorkers, Workers};
use lycheeyard_protocol::{
    Epoch, JobState, Timestamp,
    platform::{PrepareReply, StartRequest, TaskRequest, TaskState},
};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

#[tokio::test]
async fn gang_starts_on_all_workers_and_succeeds() {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "run-ms=300").await;
    let record = cluster.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
    assert!(record.placement.is_none());
}

#[tokio::test]
async fn starts_gang_on_other_workers_when_one_is_down() {
    let cluster = TestCluster::start(4).await;
    cluster
        .worker("w1")
        .faults()
        .change(|faults| faults.down = true);
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 3, "").await;
    cluster.wait_for("build", JobState::Running).await;
    let workers: BTreeSet<String> = cluster
        .running_tasks()
        .iter()
        .map(|(w, _)| w.to_string())
        .collect();
    assert_eq!(workers, ["w2", "w3", "w4"].map(String::from).into());
}

#[tokio::test]
async fn releases_prepared_tasks_when_one_worker_does_not_answer() {
    let cluster = TestCluster::start(3).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("first", 1, "").await;
    cluster.wait_for("first", JobState::Running).await;
    // The worker answered polls until now, so the gang is placed on it, but it answers no further call.
    cluster
        .worker("w3")
        .faults()
        .change(|faults| faults.paused = true);
    cluster.submit("build", 2, "").await;
    cluster
        .wait_until("build", "abandoned once", |record| {
            record.state == JobState::Stopping || record.attempts > 1
        })
        .await;
    cluster
        .eventually("the prepared task is released", || {
            let report = cluster.worker("w2").report();
            let holds = |state| matches!(state, TaskState::Prepared | TaskState::Running);
            !report.tasks.iter().any(|task| holds(task.state))
        })
        .await;
    cluster
        .worker("w3")
        .faults()
        .change(|faults| faults.paused = false);
    cluster.wait_for("build", JobState::Running).await;
    cluster.assert_one_attempt_per_job();
}

#[tokio::test]
async fn stops_and_requeues_gang_when_one_task_is_lost() {
    let cluster = TestCluster::start(3).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 3, "").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.worker("w2").restart();
    let record = cluster
        .wait_until("build", "running again", |record| {
            record.state == JobState::Running && record.attempts == 2
        })
        .await;
    assert_eq!(
        record.failures, 0,
        "a worker restart does not count as a failure of the job"
    );
}

#[rstest]
#[case::worker(1)]
#[case::rack(3)]
#[tokio::test]
async fn restarts_gang_elsewhere_only_after_leases_of_silent_workers_expire(#[case] silent: usize) {
    let cluster = TestCluster::start(6).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 3, "").await;
    cluster.wait_for("build", JobState::Running).await;
    let first: Vec<_> = cluster
        .running_tasks()
        .into_iter()
        .map(|(worker, _)| worker)
        .collect();
    for worker in &first[..silent] {
        cluster.workers[worker]
            .faults()
            .change(|faults| faults.paused = true);
    }
    // `wait_until` checks that the silent workers' tasks have ended when the gang runs elsewhere.
    cluster
        .wait_until("build", "running elsewhere", |record| {
            record.state == JobState::Running && record.attempts > 1
        })
        .await;
    let second: BTreeSet<_> = cluster
        .running_tasks()
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
async fn starts_each_task_once_when_worker_responses_are_lost(#[case] lost: u32) {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("warm", 1, "run-ms=1").await;
    cluster.wait_for("warm", JobState::Succeeded).await;
    for worker in cluster.workers.values() {
        worker.faults().change(|faults| faults.lose_answers = lost);
    }
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    cluster.assert_one_attempt_per_job();
    assert_eq!(cluster.running_tasks().len(), 2);
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[tokio::test]
async fn keeps_first_attempt_when_store_responses_are_lost(#[case] lost: u32) {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "run-ms=1500").await;
    cluster
        .wait_until("build", "placed", |record| record.attempts == 1)
        .await;
    cluster
        .store
        .faults()
        .change(|faults| faults.lose_answers = lost);
    let record = cluster.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
}

#[tokio::test]
async fn stop_waits_for_checkpoint_and_keeps_it() {
    let cluster = TestCluster::start(1).await;
    let _scheduler = cluster.scheduler("e1");
    let stored = cluster.submit("build", 1, "checkpoint-ms=400").await;
    cluster.wait_for("build", JobState::Running).await;
    let since = Instant::now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let stored = cluster
        .jobs
        .get(
            &stored.record.spec.organisation,
            &stored.record.spec.job,
            deadline(),
        )
        .await
        .expect("store answers")
        .expect("job exists");
    let mut record = stored.record.clone();
    record.state = JobState::Stopping;
    record.stopping = Some(lycheeyard_protocol::StopNote {
        checkpoint_until: Timestamp::now().after(Duration::from_secs(30)),
        ..lycheeyard_protocol::StopNote::immediate(Timestamp::now())
    });
    cluster.save(&stored, record).await;
    let record = cluster
        .wait_until("build", "running again", |record| {
            record.state == JobState::Running && record.attempts == 2
        })
        .await;
    assert!(record.checkpoint_ms >= 200, "kept {}", record.checkpoint_ms);
    assert!(u128::from(record.checkpoint_ms) <= since.elapsed().as_millis() + 100);
}

#[tokio::test]
async fn stops_task_that_no_record_names() {
    let cluster = TestCluster::start(1).await;
    let worker = cluster.worker("w1");
    let task: lycheeyard_protocol::TaskId =
        "org-x.gone.1.abc".parse().expect("identifier is valid");
    let lease_until = Timestamp::now().after(Duration::from_secs(600));
    let workers = HttpWorkers::default();
    let req = TaskRequest {
        task: task.clone(),
        organisation: "org-x".parse().expect("identifier is valid"),
        job: "gone".parse().expect("identifier is valid"),
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
        .expect("worker answers");
    assert_eq!(cluster.running_tasks().len(), 1);
    let _scheduler = cluster.scheduler("e1");
    cluster
        .eventually("the task is stopped", || cluster.running_tasks().is_empty())
        .await;
}
