//! Guards against store overload and disturbed work when many jobs are cancelled at once, and against jobs and workers
//! that fail forever.

use crate::support::TestCluster;
use lycheeyard_protocol::{AuditEvent, JobState};

#[tokio::test]
async fn burst_of_cancellations_does_not_disturb_running_job() {
    const JOBS: usize = 120;
    let cluster = TestCluster::start(2).await;
    cluster.submit("keeps", 1, "").await;
    let scheduler = cluster.scheduler("e1");
    cluster.wait_for("keeps", JobState::Running).await;
    drop(scheduler);
    for number in 0..JOBS {
        let stored = cluster.submit(&format!("wave-{number}"), 2, "").await;
        let mut record = stored.record.clone();
        record.cancel_requested = true;
        cluster.save(&stored, record).await;
    }
    let writes = cluster.store.counts().writes;
    let _scheduler = cluster.scheduler("e2");
    for number in 0..JOBS {
        cluster
            .wait_for(&format!("wave-{number}"), JobState::Cancelled)
            .await;
    }
    let written = cluster.store.counts().writes - writes;
    let most = u64::try_from(JOBS + JOBS / 2).expect("job count fits in u64");
    assert!(written < most, "{written} writes for {JOBS} cancellations");
    assert_eq!(cluster.record("keeps").attempts, 1);
}

#[tokio::test]
async fn stops_running_job_on_cancellation() {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("build", 2, "").await;
    cluster.wait_for("build", JobState::Running).await;
    let spec = cluster.spec("build", 2, "");
    let stored = cluster
        .jobs
        .get(&spec.organisation, &spec.job, crate::support::deadline())
        .await
        .expect("store answers")
        .expect("job exists");
    let mut record = stored.record.clone();
    record.cancel_requested = true;
    cluster.save(&stored, record).await;
    cluster.wait_for("build", JobState::Cancelled).await;
    assert!(cluster.running_tasks().is_empty());
}

#[tokio::test]
async fn fails_job_that_fits_nowhere_with_the_reason() {
    let cluster = TestCluster::start(2).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("huge", 3, "").await;
    let record = cluster.wait_for("huge", JobState::Failed).await;
    assert!(record.reason.contains("3x8"), "{}", record.reason);
}

#[tokio::test]
async fn fails_job_that_failed_on_three_workers() {
    let cluster = TestCluster::start(4).await;
    let _scheduler = cluster.scheduler("e1");
    cluster.submit("broken", 3, "fail").await;
    let record = cluster.wait_for("broken", JobState::Failed).await;
    assert!(record.failed_on.len() >= 3);
    assert!(record.reason.contains("failed on"), "{}", record.reason);
}

#[tokio::test]
async fn quarantines_worker_that_fails_every_task() {
    let cluster = TestCluster::start(4).await;
    cluster
        .worker("w1")
        .faults()
        .change(|faults| faults.fail_tasks = true);
    let _scheduler = cluster.scheduler("e1");
    let mut quarantined = false;
    for number in 0..200 {
        let job = format!("job-{number}");
        cluster.submit(&job, 1, "run-ms=100").await;
        let record = cluster.wait_for(&job, JobState::Succeeded).await;
        assert!(
            record.failures <= 1,
            "{job} was placed on the faulty worker again: {record:?}"
        );
        quarantined = cluster.audit.take(1000).iter().any(|entry| {
            matches!(&entry.event, AuditEvent::WorkerQuarantined { worker } if worker.as_str() == "w1")
        });
        if quarantined {
            break;
        }
    }
    assert!(quarantined);
}
