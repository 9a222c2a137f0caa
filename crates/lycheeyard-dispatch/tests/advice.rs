//! Queues whose steps may run only where the advisor allows it, over instances that come and go.

mod support;

use lycheeyard_jobs::{AdvicePolicy, Job};
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(30);

fn advised(id: &str, run_ms: u64, tasks: u32) -> Job {
    let mut job = job(id, run_ms, vec![step(tasks)]);
    // The configuration does not name the queue, so the policy of the submission holds.
    job.queue = "guided".parse().expect("a queue");
    job.policy.advice = Some(AdvicePolicy {
        decision_ms: 40,
        per_worker_ms: 5,
        validity_ms: 3000,
    });
    job
}

#[tokio::test(start_paused = true)]
async fn a_job_starts_once_the_advisor_has_answered() {
    let fleet = Fleet::start(2, 3).await;
    let job = advised("a1", 500, 10);
    fleet.submit(&job).await;
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
    // The first request is refused.
    assert_eq!(fleet.advisor.calls(), 2);
    assert_eq!(fleet.workers.starts().len(), 10);
    assert!(fleet.workers.faults().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_successor_asks_the_advisor_itself() {
    let fleet = Fleet::start(3, 3).await;
    let job = advised("a1", 800, 20);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(1)).await;
    let before = fleet.advisor.calls();
    fleet.kill(0);
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
    assert!(fleet.advisor.calls() > before);
    assert!(fleet.workers.faults().is_empty());
}
