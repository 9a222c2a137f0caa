//! Guards against restarts, duplicates and leaks of gangs when a scheduler crashes in the middle of a step and another
//! instance takes over.

use crate::support::{TestCluster, deadline};
use lycheeyard_clients::{HttpWorkers, Workers};
use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, Epoch, JobRecord, JobState, Placement, StopNote, Timestamp,
    platform::{StartRequest, TaskRequest},
};
use lycheeyard_scheduler::task_id;
use rstest::rstest;
use std::time::Duration;

const TASK_LEASE: Duration = Duration::from_secs(10);

/// The record of a gang on the workers `w1` and `w2`, as a scheduler of epoch 1 left it when it crashed.
fn placed(record: &JobRecord, state: JobState) -> JobRecord {
    let allocations = ["w1", "w2"].map(|worker| Allocation {
        worker: worker.parse().expect("identifier is valid"),
        accelerators: (0..8).map(AcceleratorIndex).collect(),
    });
    JobRecord {
        state,
        placement: Some(Placement {
            allocations: allocations.into(),
        }),
        epoch: Epoch(1),
        attempts: 1,
        ..record.clone()
    }
}

async fn prepare(cluster: &TestCluster, record: &JobRecord, worker: &str, start: bool) {
    let workers = HttpWorkers::default();
    let id = worker.parse().expect("identifier is valid");
    let task = task_id(record, &id).expect("identifier is valid");
    let lease_until = Timestamp::now().after(TASK_LEASE);
    let req = TaskRequest {
        task: task.clone(),
        organisation: record.spec.organisation.clone(),
        job: record.spec.job.clone(),
        accelerators: (0..8).map(AcceleratorIndex).collect(),
        epoch: record.epoch,
        lease_until,
        checkpoint_ms: 0,
        payload: record.spec.payload.clone(),
    };
    let address = cluster.worker(worker).address();
    let prepared = workers.prepare(address, req, deadline()).await;
    prepared.expect("worker answers");
    if start {
        let req = StartRequest {
            task,
            epoch: record.epoch,
            lease_until,
        };
        let started = workers.start(address, req, deadline()).await;
        started.expect("worker answers");
    }
}

#[tokio::test]
async fn successor_adopts_running_gangs_without_a_restart() {
    let mut cluster = TestCluster::start(2).await;
    cluster.task_lease = TASK_LEASE;
    let first = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    let before = cluster.wait_for("build", JobState::Running).await;
    drop(first);
    let second = cluster.scheduler("e2");
    let mut status = second.status.clone();
    // Drop the returned reference at once: it holds the lock of the status channel.
    let taken = status.wait_for(|status| status.held.is_some()).await;
    taken.map(|_| ()).expect("scheduler is running");
    cluster.submit("next", 1, "").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = cluster.record("build");
    assert_eq!(after.state, JobState::Running);
    assert_eq!((after.attempts, after.started_at), (1, before.started_at));
    assert_eq!(cluster.running_tasks().len(), 2);
}

#[rstest]
#[case::nothing_prepared(&[], 2)]
#[case::one_prepared(&[("w1", false)], 2)]
#[case::all_prepared(&[("w1", false), ("w2", false)], 1)]
#[case::one_started(&[("w1", true), ("w2", false)], 1)]
#[case::all_started(&[("w1", true), ("w2", true)], 1)]
#[tokio::test]
async fn successor_finishes_or_undoes_interrupted_start(
    #[case] done: &[(&str, bool)],
    #[case] attempts: u32,
) {
    let cluster = TestCluster::start(2).await;
    let stored = cluster.submit("build", 2, "").await;
    let record = placed(&stored.record, JobState::Starting);
    cluster.save(&stored, record.clone()).await;
    for (worker, start) in done {
        prepare(&cluster, &record, worker, *start).await;
    }
    let _scheduler = cluster.scheduler("e2");
    let record = cluster.wait_for("build", JobState::Running).await;
    assert_eq!(record.attempts, attempts);
    assert_eq!(cluster.running_tasks().len(), 2);
}

#[tokio::test]
async fn successor_finishes_interrupted_stop() {
    let cluster = TestCluster::start(2).await;
    let stored = cluster.submit("build", 2, "").await;
    let mut record = placed(&stored.record, JobState::Stopping);
    record.stopping = Some(StopNote::immediate(Timestamp::now()));
    prepare(&cluster, &record, "w1", true).await;
    prepare(&cluster, &record, "w2", true).await;
    cluster.save(&stored, record).await;
    let _scheduler = cluster.scheduler("e2");
    let record = cluster.wait_for("build", JobState::Running).await;
    assert_eq!(record.attempts, 2);
    cluster.assert_one_attempt_per_job();
}

#[tokio::test]
async fn gang_survives_loss_of_all_instances_within_task_lease() {
    let mut cluster = TestCluster::start(2).await;
    cluster.task_lease = TASK_LEASE;
    let first = cluster.scheduler("e1");
    cluster.submit("build", 2, "run-ms=4000").await;
    cluster.wait_for("build", JobState::Running).await;
    drop(first);
    cluster
        .eventually("the gang ended by itself", || {
            cluster.running_tasks().is_empty()
        })
        .await;
    let _second = cluster.scheduler("e2");
    let record = cluster.wait_for("build", JobState::Succeeded).await;
    assert_eq!(record.attempts, 1);
}

#[tokio::test]
async fn graceful_shutdown_releases_lease_immediately() {
    let cluster = TestCluster::start(1).await;
    let first = cluster.scheduler("e1");
    cluster.submit("build", 1, "").await;
    cluster.wait_for("build", JobState::Running).await;
    first.stop().await;
    let second = cluster.scheduler("e2");
    let mut status = second.status.clone();
    let held = status.wait_for(|status| status.held.is_some()).await;
    let held = held
        .map(|status| status.held)
        .expect("scheduler is running");
    assert_eq!(held.map(|held| held.epoch), Some(Epoch(2)));
}

#[tokio::test]
async fn worker_rejects_calls_of_older_epoch_after_takeover() {
    let cluster = TestCluster::start(1).await;
    let stored = cluster.submit("build", 1, "fail").await;
    let old = placed(&stored.record, JobState::Starting);
    let _first = cluster.scheduler("e1");
    cluster.wait_for("build", JobState::Failed).await;
    let worker = cluster.worker("w1");
    cluster
        .eventually("the worker has received the epoch", || {
            worker.report().epoch == Epoch(1)
        })
        .await;
    let late = JobRecord {
        epoch: Epoch(0),
        ..old
    };
    prepare(&cluster, &late, "w1", true).await;
    assert!(cluster.running_tasks().is_empty());
}
