//! Queues whose steps may run only on workers that the advisor allows, also across a change of the scheduling instance.
//! Guards against steps that start without advice, and against a successor that never requests its own.

mod support;

use lycheeyard_jobs::{AdvicePolicy, Job};
use std::time::Duration;
use support::{Fleet, job, step};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(30);

fn advised_job(id: &str, run_ms: u64, tasks: u32) -> Job {
    let mut job = job(id, run_ms, vec![step(tasks)]);
    // The configuration does not name the queue, so the policy stored with the submission applies.
    job.queue = "guided".parse().expect("queue id is valid");
    job.policy.advice = Some(AdvicePolicy {
        decision_ms: 40,
        per_worker_ms: 5,
        validity_ms: 3000,
    });
    job
}

#[tokio::test(start_paused = true)]
async fn starts_job_once_advisor_has_answered() {
    let fleet = Fleet::start(2, 3).await;
    let job = advised_job("a1", 500, 10);
    fleet.submit(&job).await;
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
    // The fake advisor refuses the first request.
    assert_eq!(fleet.advisor.calls(), 2);
    assert_eq!(fleet.workers.starts().len(), 10);
    assert!(fleet.workers.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn successor_requests_its_own_advice() {
    let fleet = Fleet::start(3, 3).await;
    let job = advised_job("a1", 800, 20);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(1)).await;
    let before = fleet.advisor.calls();
    fleet.kill(0);
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
    assert!(fleet.advisor.calls() > before);
    assert!(fleet.workers.violations().is_empty());
}
