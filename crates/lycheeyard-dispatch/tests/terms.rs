//! Election of the scheduling instance, and jobs across its change and across failures of the store and the workers.
//! Guards against tasks that run twice at a time, and against jobs that are lost or stall after a takeover.

mod support;

use lycheeyard_protocol::JobState;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, gang, job, step};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(60);
/// How long a planned change of the holder may take.
const HANDOVER: Duration = Duration::from_millis(300);

fn assert_no_task_ran_twice(fleet: &Fleet) {
    let violations = fleet.workers.violations();
    assert!(violations.is_empty(), "{violations:?}");
}

#[tokio::test(start_paused = true)]
async fn one_instance_schedules_and_jobs_succeed() {
    let fleet = Fleet::start(3, 3).await;
    assert_eq!(fleet.holder(), Some(0));
    let first = job("a1", 500, vec![step(10)]);
    let second = job("a2", 800, vec![gang(4)]);
    fleet.submit(&first).await;
    fleet.submit(&second).await;
    fleet.await_success(&first.id, Duration::from_secs(3)).await;
    fleet
        .await_success(&second.id, Duration::from_secs(3))
        .await;
    assert_eq!(fleet.workers.starts().len(), 14);
    assert_no_task_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn idle_instances_make_few_calls_after_history_is_compacted() {
    let fleet = Fleet::start(4, 2).await;
    sleep(Duration::from_secs(2)).await;
    // The scheduler's key is now older than the history that the store keeps.
    fleet.store.put("other", b"1");
    fleet.store.compact_history();
    let before = fleet.store.calls();
    sleep(Duration::from_secs(14)).await;
    let calls = fleet.store.calls() - before;
    // The renewals and watches of the holder, and the long watches of the other instances.
    assert!(calls < 100, "{calls} calls");
}

#[tokio::test(start_paused = true)]
async fn released_term_is_taken_over_at_once() {
    let mut fleet = Fleet::start(3, 2).await;
    let job = job("a1", 4000, vec![step(4)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(1)).await;
    fleet.stop(0).await;
    sleep(Duration::from_millis(300)).await;
    assert!(fleet.holder().is_some_and(|holder| holder != 0));
    fleet.await_success(&job.id, Duration::from_secs(5)).await;
    assert_eq!(fleet.workers.starts().len(), 4);
    assert_no_task_ran_twice(&fleet);
}

/// Guards against a holder that gives its term back while its records and orders are under way: the successor finds runs that
/// are recorded and not present, and waits for the longest stop before it starts their tasks.
#[rstest]
#[tokio::test(start_paused = true)]
async fn stopped_holder_completes_what_it_has_begun(
    #[values(0, 2, 4, 6, 8, 10, 12, 14, 16, 18, 20)] moment: u64,
) {
    let mut fleet = Fleet::start(3, 3).await;
    let first = job("a1", 300, vec![step(6)]);
    let second = job("a2", 300, vec![gang(4)]);
    fleet.submit(&first).await;
    fleet.submit(&second).await;
    sleep(Duration::from_millis(moment)).await;
    fleet.stop(0).await;
    let limit = HANDOVER + Duration::from_millis(400);
    fleet.await_success(&first.id, limit).await;
    fleet.await_success(&second.id, limit).await;
    assert_eq!(fleet.workers.starts().len(), 10);
    assert_no_task_ran_twice(&fleet);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn jobs_succeed_when_holder_is_killed_at_any_moment(
    #[values(
        0, 3, 6, 9, 12, 15, 18, 21, 25, 30, 40, 80, 200, 495, 500, 505, 510, 515, 520, 530
    )]
    moment: u64,
) {
    let fleet = Fleet::start(3, 3).await;
    let first = job("a1", 500, vec![step(6)]);
    let second = job("a2", 500, vec![gang(4)]);
    fleet.submit(&first).await;
    fleet.submit(&second).await;
    sleep(Duration::from_millis(moment)).await;
    fleet.kill(0);
    fleet.await_success(&first.id, LIMIT).await;
    fleet.await_success(&second.id, LIMIT).await;
    assert_no_task_ran_twice(&fleet);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn resumed_holder_does_not_disturb_its_successor(
    #[values(0, 5, 10, 15, 20, 30, 500, 510)] moment: u64,
    #[values(1500, 3000, 6000)] suspended: u64,
) {
    let fleet = Fleet::start(3, 3).await;
    let first = job("a1", 500, vec![step(6)]);
    fleet.submit(&first).await;
    sleep(Duration::from_millis(moment)).await;
    fleet.instances[0].store.link.freeze(true);
    sleep(Duration::from_millis(suspended)).await;
    fleet.instances[0].store.link.freeze(false);
    fleet.await_success(&first.id, LIMIT).await;
    let second = job("a2", 300, vec![step(6)]);
    fleet.submit(&second).await;
    fleet.await_success(&second.id, LIMIT).await;
    assert_no_task_ran_twice(&fleet);
}

/// Guards against a holder that was suspended while its data centre was cut off, and that counts the time for which it still
/// extends the leases of workers there from its resumption: a run continues there while the successor, which cannot reach
/// the worker, starts its task elsewhere.
#[rstest]
#[tokio::test(start_paused = true)]
async fn resumed_holder_extends_no_lease_beyond_what_its_successor_expects(
    #[values(1000, 2500, 4000, 5000, 5500, 5900)] suspended: u64,
) {
    let fleet = Fleet::start(2, 2).await;
    let job = job("a1", 60_000, vec![step(1)]);
    fleet.submit(&job).await;
    fleet.await_first_start(&job.id).await;
    sleep(Duration::from_millis(1500)).await;
    let (task, ..) = fleet.workers.starts()[0].clone();
    let worker = fleet.workers.worker_of(&task).expect("task is running");
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.store_silent = true);
    for other in ["w-0", "w-1"] {
        let other = other.parse().expect("worker id is valid");
        let is_cut_off = other == worker;
        let instance = &fleet.instances[usize::from(is_cut_off)];
        instance.store.link.silence_worker(&other);
    }
    fleet.suspend(0, true);
    sleep(Duration::from_millis(suspended)).await;
    fleet.suspend(0, false);
    sleep(Duration::from_secs(30)).await;
    assert_no_task_ran_twice(&fleet);
    assert!(fleet.workers.starts().len() > 1);
}

/// Guards against a holder that was suspended while an order was not answered, and sends it again although its lease has
/// ended meanwhile and neither the store nor a worker tells it so.
#[rstest]
#[tokio::test(start_paused = true)]
async fn resumed_holder_sends_no_order_after_its_lease(#[values(2500, 4000)] suspended: u64) {
    let fleet = Fleet::start(2, 2).await;
    let link = &fleet.instances[0].store.link;
    link.change(|link| link.starts_lost = true);
    let job = job("a1", 300, vec![step(4)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(100)).await;
    let sent = fleet.workers.start_calls_of_first_term();
    assert!(sent > 0);
    link.change(|link| {
        link.store_silent = true;
        link.workers_silent = true;
    });
    fleet.suspend(0, true);
    sleep(Duration::from_millis(suspended)).await;
    fleet.suspend(0, false);
    fleet.await_success(&job.id, LIMIT).await;
    assert_eq!(fleet.workers.start_calls_of_first_term(), sent);
    assert_no_task_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn holder_that_the_store_refuses_loses_its_term() {
    let fleet = Fleet::start(3, 3).await;
    fleet.instances[0]
        .store
        .link
        .change(|link| link.store_refuses = true);
    let job = job("a1", 500, vec![step(6)]);
    fleet.submit(&job).await;
    let submitted = Instant::now();
    fleet.await_success(&job.id, LIMIT).await;
    assert!(submitted.elapsed() < Duration::from_secs(5));
    assert!(fleet.holder().is_some_and(|holder| holder != 0));
    assert_no_task_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn runs_continue_and_ends_are_kept_while_store_is_unresponsive() {
    let fleet = Fleet::start(2, 3).await;
    let job = job("a1", 12_000, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(500)).await;
    for instance in &fleet.instances {
        instance.store.link.change(|link| link.store_silent = true);
    }
    sleep(Duration::from_secs(9)).await;
    for instance in &fleet.instances {
        instance.store.link.clear_faults();
    }
    fleet.await_success(&job.id, Duration::from_secs(8)).await;
    // No lease expired: each task was started once.
    assert_eq!(fleet.workers.starts().len(), 6);
    assert_no_task_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn lost_store_answers_only_cause_a_delay() {
    let fleet = Fleet::start(2, 3).await;
    fleet.instances[0]
        .store
        .link
        .change(|link| link.answers_lost = true);
    let job = job("a1", 300, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(1500)).await;
    fleet.instances[0].store.link.clear_faults();
    fleet.await_success(&job.id, LIMIT).await;
    assert_eq!(fleet.workers.starts().len(), 6);
    assert_no_task_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn unreachable_workers_are_presumed_lost_after_their_lease() {
    let fleet = Fleet::start(2, 3).await;
    let job = job("a1", 3000, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(500)).await;
    fleet.instances[0]
        .store
        .link
        .change(|link| link.workers_silent = true);
    sleep(Duration::from_secs(12)).await;
    fleet.instances[0].store.link.clear_faults();
    fleet.await_success(&job.id, LIMIT).await;
    assert_no_task_ran_twice(&fleet);
    assert_eq!(fleet.state(&job.id).await, JobState::Succeeded);
}

#[tokio::test(start_paused = true)]
async fn lists_again_requests_that_watches_missed() {
    let fleet = Fleet::start(2, 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.suppress_watch_events();
    let kept = job("kept", 300, vec![step(2)]);
    let cancelled = job("cancelled", 300, vec![step(2)]);
    fleet.submit(&kept).await;
    fleet.submit(&cancelled).await;
    fleet.cancel(&cancelled.id).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.resume_watch_events();
    fleet.await_success(&kept.id, Duration::from_secs(5)).await;
    assert_eq!(fleet.state(&cancelled.id).await, JobState::Cancelled);
    let starts = fleet.workers.starts();
    assert!(
        starts
            .iter()
            .all(|(task, ..)| task.step.job != cancelled.id)
    );
}

#[tokio::test(start_paused = true)]
async fn killed_holder_is_replaced_while_watches_miss_changes() {
    let fleet = Fleet::start(3, 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.suppress_watch_events();
    fleet.kill(0);
    sleep(Duration::from_secs(6)).await;
    fleet.store.resume_watch_events();
    let job = job("a1", 300, vec![step(2)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(10)).await;
}
