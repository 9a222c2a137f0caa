//! Acknowledgements that reach another incarnation of a worker than they are meant for, and discard ends that no report has listed.

mod support;

use lycheeyard_jobs::Job;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, StartFault, first_worker, job, step};
use tokio::time::{Instant, sleep, sleep_until};

/// The workers have run for so long that the deadlines of orders are far ahead on the clock of a new incarnation.
const UPTIME: Duration = Duration::from_secs(60);
const FIRST_RUN: Duration = Duration::from_secs(1);
const FIRST_RUN_MS: u64 = 1000;
const SECOND_RUN_MS: u64 = 100;
/// How long the start order of the second job takes to reach the worker.
const START_DELAY: Duration = Duration::from_millis(400);

/// Starts the first worker again and lists its new incarnation.
fn restart_and_list(fleet: &Fleet) {
    fleet.workers.restart(&first_worker());
    fleet.store.put("workers/w-0", b"2");
}

fn second_job() -> Job {
    job("a2", SECOND_RUN_MS, vec![step(1)])
}

/// Submits the second job, whose start order takes some time, and returns once it was sent.
async fn send_delayed_start(fleet: &Fleet, delay: Duration) {
    let worker = first_worker();
    let job = second_job();
    let delayed = StartFault::DelayedBy(delay);
    fleet.workers.set_start_faults(&job.id, &[delayed]);
    let former = fleet.workers.last_start_call(&worker);
    fleet.submit(&job).await;
    while fleet.workers.last_start_call(&worker) == former {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Starts the run of the first job; returns when it ends.
async fn start_first_job(fleet: &Fleet) -> Instant {
    sleep(UPTIME).await;
    let job = job("a1", FIRST_RUN_MS, vec![step(1)]);
    fleet.submit(&job).await;
    let has_begun = || {
        let starts = fleet.workers.starts();
        starts.iter().any(|(task, ..)| task.step.job == job.id)
    };
    while !has_begun() {
        sleep(Duration::from_millis(1)).await;
    }
    Instant::now() + FIRST_RUN
}

/// Lets the first job end, its record take long, and the worker start again before the start order of the second job reaches it.
async fn restart_before_start(
    fleet: &Fleet,
    holder: usize,
    first_end: Instant,
    restart_after: Duration,
) {
    sleep_until(first_end - Duration::from_millis(100)).await;
    send_delayed_start(fleet, START_DELAY).await;
    let link = &fleet.instances[holder].store.link;
    link.change(|state| state.answer_time = Duration::from_millis(700));
    sleep_until(first_end + restart_after).await;
    restart_and_list(fleet);
    sleep_until(first_end + Duration::from_secs(1)).await;
    link.change(|state| state.answer_time = Duration::ZERO);
}

async fn assert_second_job_runs_once(fleet: &Fleet) {
    let job = second_job();
    fleet.await_success(&job.id, Duration::from_secs(30)).await;
    sleep(Duration::from_secs(5)).await;
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
    let starts = fleet.workers.starts();
    let starts = starts.iter().filter(|(task, ..)| task.step.job == job.id);
    assert_eq!(starts.count(), 1);
}

// Guards against an acknowledgement that is sent after the worker has started again, while the record of an end takes long, and
// discards the end of a run that its start order has begun on the next incarnation: the task ran twice.
#[rstest]
#[tokio::test(start_paused = true)]
async fn acknowledgement_after_an_unseen_restart_discards_no_end(
    #[values(20, 80, 140, 200)] restart_after_ms: u64,
) {
    let fleet = Fleet::start(1, 1).await;
    let first_end = start_first_job(&fleet).await;
    let restart_after = Duration::from_millis(restart_after_ms);
    restart_before_start(&fleet, 0, first_end, restart_after).await;
    assert_second_job_runs_once(&fleet).await;
}

// Guards against ends that count as too many to wait for, since the worker numbered more before the present holder's term.
#[tokio::test(start_paused = true)]
async fn acknowledgement_after_many_ends_and_a_takeover_discards_no_end() {
    let fleet = Fleet::start(2, 1).await;
    let many = job("a0", 10, vec![step(400)]);
    fleet.submit(&many).await;
    fleet
        .await_success(&many.id, Duration::from_secs(200))
        .await;
    fleet.kill(fleet.holder().expect("an instance schedules"));
    sleep(Duration::from_secs(10)).await;
    let holder = fleet.holder().expect("the other instance schedules");
    let first_end = start_first_job(&fleet).await;
    restart_before_start(&fleet, holder, first_end, Duration::from_millis(80)).await;
    assert_second_job_runs_once(&fleet).await;
}

// Guards against an acknowledgement that got no answer, was sent again, and discards an end of the next incarnation when its first copy
// is carried out: the task ran twice.
#[tokio::test(start_paused = true)]
async fn acknowledgement_that_is_carried_out_late_discards_no_end_of_the_next_incarnation() {
    let worker = first_worker();
    let fleet = Fleet::start(1, 1).await;
    let first_end = start_first_job(&fleet).await;
    let delay_acknowledgements = |delay| fleet.workers.set_late_reports(&worker, delay);
    sleep_until(first_end - Duration::from_millis(50)).await;
    delay_acknowledgements(Some(Duration::from_secs(5)));
    sleep_until(first_end + Duration::from_millis(500)).await;
    delay_acknowledgements(None);
    sleep_until(first_end + Duration::from_secs(4)).await;
    delay_acknowledgements(Some(Duration::from_secs(60)));
    send_delayed_start(&fleet, Duration::from_millis(200)).await;
    fleet.workers.restart(&worker);
    sleep_until(first_end + Duration::from_millis(5500)).await;
    fleet.store.put("workers/w-0", b"2");
    delay_acknowledgements(None);
    assert_second_job_runs_once(&fleet).await;
}
