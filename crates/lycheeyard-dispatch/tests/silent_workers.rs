//! Workers whose answers to report requests are missing.

mod support;

use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};
use support::{Fleet, first_worker, job, step, urgent_job};
use tokio::time::{Instant, sleep};

/// Longer than a worker holds a report request, and shorter than its call may take.
const ONE_REQUEST: Duration = Duration::from_millis(1600);
/// A report request is answered up to 1.5 s after the worker falls silent, and the next one fails 2.2 s later.
const REQUEST_FAILED_AFTER: Duration = Duration::from_millis(3750);
const START_LIMIT: Duration = Duration::from_millis(400);

// Guards against start orders to a worker after a report request to it has failed. Only in some of the cases the worker does not count as
// unresponsive by then.
#[rstest]
#[tokio::test(start_paused = true)]
async fn nothing_is_placed_on_worker_after_its_report_request_has_failed(
    #[values(0, 300, 600, 900, 1200)] since_report_ms: u64,
) {
    let fleet = Fleet::start(1, 2).await;
    sleep(Duration::from_secs(3)).await;
    sleep(Duration::from_millis(since_report_ms)).await;
    let worker = first_worker();
    fleet.instances[0].store.link.silence_worker(&worker);
    sleep(REQUEST_FAILED_AFTER).await;
    for number in 0..6 {
        let job = urgent_job(&format!("a{number}"), 3000, vec![step(1)]);
        fleet.submit(&job).await;
        fleet.await_first_start(&job.id).await;
    }
    assert_eq!(fleet.workers.last_start_call(&worker), None);
}

// Guards against a healthy worker that gets no new runs for as long as it may hold a report request, because the answer to the
// one before was lost.
#[tokio::test(start_paused = true)]
async fn one_lost_report_keeps_new_runs_from_worker_only_briefly() {
    let fleet = Fleet::start(1, 1).await;
    sleep(Duration::from_secs(3)).await;
    let worker = first_worker();
    fleet.workers.set_late_reports(&worker, Some(ONE_REQUEST));
    sleep(ONE_REQUEST).await;
    fleet.workers.set_late_reports(&worker, None);
    for number in 0..7 {
        let job = job(&format!("a{number}"), 10_000, vec![step(1)]);
        let submitted_at = Instant::now();
        fleet.submit(&job).await;
        fleet.await_first_start(&job.id).await;
        let took = submitted_at.elapsed();
        assert!(took < START_LIMIT, "{} took {took:?}", job.id);
        sleep(Duration::from_millis(450)).await;
    }
}

/// Ends the process of a worker that has a task of a job, some time after it has announced this, if that is given. Returns how long it takes until
/// the task starts elsewhere.
async fn restart_time(announced: Option<Duration>) -> Duration {
    let fleet = Fleet::start(1, 2).await;
    let job = job("a1", 60_000, vec![step(2)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(5)).await;
    let task = format!("{}.0.0.0", job.id);
    let task = task.parse().expect("task key is valid");
    let worker = fleet.workers.worker_of(&task).expect("task runs");
    let before = fleet.workers.starts().len();
    if let Some(announced) = announced {
        fleet.drain_worker(&worker);
        sleep(announced).await;
    }
    fleet.instances[0].store.link.end_worker(&worker);
    let ended_at = Instant::now();
    while fleet.workers.starts().len() == before {
        sleep(Duration::from_millis(10)).await;
    }
    ended_at.elapsed()
}

/// Guards against a job that waits longer than the lease of its runs on a worker whose process has ended: requests that could not be sent
/// extend no lease.
#[tokio::test(start_paused = true)]
async fn requests_that_were_not_sent_do_not_prolong_the_wait_for_a_lease() {
    /// The lease of 6 s that the last request has extended, on a clock that is 2% slow, and the scheduler's margin of 500 ms.
    const LEASE_OVER_AFTER: Duration = Duration::from_millis(6620);
    let took = restart_time(None).await;
    assert!(took < LEASE_OVER_AFTER + START_LIMIT, "{took:?}");
}

/// Guards against a job that waits as long after the end of a worker that had announced it as after any other: from the announcement on,
/// leases there are extended for 5 s at a time.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_worker_that_has_announced_its_end_wait_for_a_shorter_lease() {
    /// The lease of 5 s of the last request, on a clock that is 2% slow, and the scheduler's margin of 500 ms.
    const LEASE_OVER_AFTER: Duration = Duration::from_millis(5600);
    let took = restart_time(Some(Duration::from_secs(3))).await;
    assert!(took < LEASE_OVER_AFTER + START_LIMIT, "{took:?}");
}

/// Guards against a lease that is extended after a worker has fallen silent by more than the request that was under way: the time at which
/// its runs are over would move.
#[rstest]
#[tokio::test(start_paused = true)]
async fn request_after_a_failed_one_extends_no_lease(
    #[values(0, 300, 600, 900, 1200)] since_report_ms: u64,
) {
    let fleet = Fleet::start(1, 1).await;
    let worker = first_worker();
    let job = job("a1", 60_000, vec![step(1)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(4)).await;
    sleep(Duration::from_millis(since_report_ms)).await;
    // Requests are carried out, and get no answer.
    let delay = Duration::from_millis(1);
    fleet.workers.set_late_reports(&worker, Some(delay));
    let silent_at = Instant::now();
    let mut leases = BTreeSet::new();
    while silent_at.elapsed() < Duration::from_secs(5) {
        leases.insert(fleet.workers.lease_until(&worker));
        sleep(Duration::from_millis(5)).await;
    }
    assert!(leases.len() <= 2, "{leases:?}");
}
