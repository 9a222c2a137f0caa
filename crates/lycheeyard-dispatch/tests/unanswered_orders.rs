//! Start orders that a worker executes although it did not answer them in time, possibly after newer calls.

mod support;

use lycheeyard_dispatch::StartReply;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, StartFault, job, step, urgent_job};
use tokio::time::sleep;

/// Shorter than the time for which a start order is valid.
const EXECUTION_DELAY: Duration = Duration::from_millis(2300);
const LIMIT: Duration = Duration::from_secs(20);

/// Starts a fleet whose workers report often, since the runs of a backlog end all the time.
async fn start_busy_fleet() -> Fleet {
    let fleet = Fleet::start(1, 2).await;
    let backlog = job("backlog", 150, vec![step(600)]);
    fleet.submit(&backlog).await;
    sleep(Duration::from_secs(1)).await;
    fleet
}

/// Guards against a start order that is forgotten because a later copy of it was refused: the task was started elsewhere, and
/// ran twice once the worker executed the first copy, which it had not answered.
#[rstest]
#[tokio::test(start_paused = true)]
async fn unanswered_start_is_not_forgotten_when_later_copy_is_refused(
    #[values(StartReply::NoRoom, StartReply::NoTicket, StartReply::Invalid)] refusal: StartReply,
) {
    let fleet = start_busy_fleet().await;
    let job = urgent_job("a1", 6000, vec![step(1)]);
    let faults = [
        StartFault::ExecutedAfter(EXECUTION_DELAY),
        StartFault::Refused(refusal),
    ];
    fleet.workers.set_start_faults(&job.id, &faults);
    fleet.submit(&job).await;
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a task that waits for the deadline of an unanswered start order although a later copy has shown that no copy
/// is executed any more.
#[rstest]
#[tokio::test(start_paused = true)]
async fn task_starts_again_soon_after_refusal_that_rules_out_execution(
    #[values(StartReply::Superseded, StartReply::Late)] refusal: StartReply,
) {
    let fleet = start_busy_fleet().await;
    let job = urgent_job("a1", 300, vec![step(1)]);
    let faults = [
        StartFault::ExecutedAfter(LIMIT),
        StartFault::Refused(refusal),
    ];
    fleet.workers.set_start_faults(&job.id, &faults);
    fleet.submit(&job).await;
    fleet
        .await_success_in(&job.queue, &job.id, Duration::from_secs(3))
        .await;
    let starts = fleet.workers.starts();
    let starts = starts.iter().filter(|(task, ..)| task.step.job == job.id);
    assert_eq!(starts.count(), 1);
}

/// Guards against a job that is given up because its start orders reached other workers at the addresses of workers that had
/// crashed before: its task never ran there.
#[tokio::test(start_paused = true)]
async fn start_that_another_worker_refused_counts_as_no_crash() {
    let fleet = Fleet::start(1, 6).await;
    let job = urgent_job("a1", 300, vec![step(1)]);
    fleet
        .workers
        .set_start_faults(&job.id, &[StartFault::OtherWorker; 4]);
    fleet.submit(&job).await;
    fleet.await_success_in(&job.queue, &job.id, LIMIT).await;
}
