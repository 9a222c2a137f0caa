//! Which instance schedules, and what becomes of work when that changes.

mod support;

use lycheeyard_protocol::JobState;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, gang, job, step};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(60);

fn assert_nothing_ran_twice(fleet: &Fleet) {
    let faults = fleet.workers.faults();
    assert!(faults.is_empty(), "{faults:?}");
}

#[tokio::test(start_paused = true)]
async fn one_instance_schedules_and_jobs_end() {
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
    assert_nothing_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn idle_instances_make_few_calls_after_the_history_is_gone() {
    let fleet = Fleet::start(4, 2).await;
    sleep(Duration::from_secs(2)).await;
    // The scheduler's key is older than all that is still known.
    fleet.store.put("other", b"1");
    fleet.store.forget_history();
    let before = fleet.store.calls();
    sleep(Duration::from_secs(14)).await;
    let made = fleet.store.calls() - before;
    // Renewals and watches of the holder, and one long watch for each of the others.
    assert!(made < 100, "{made} calls");
}

#[tokio::test(start_paused = true)]
async fn a_term_that_is_given_back_is_taken_over_at_once() {
    let mut fleet = Fleet::start(3, 2).await;
    let job = job("a1", 4000, vec![step(4)]);
    fleet.submit(&job).await;
    sleep(Duration::from_secs(1)).await;
    fleet.stop(0).await;
    sleep(Duration::from_millis(300)).await;
    assert!(fleet.holder().is_some_and(|holder| holder != 0));
    fleet.await_success(&job.id, Duration::from_secs(5)).await;
    assert_eq!(fleet.workers.starts().len(), 4);
    assert_nothing_ran_twice(&fleet);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_killed_holder_loses_nothing_at_any_moment(
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
    assert_nothing_ran_twice(&fleet);
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_suspended_holder_changes_nothing_when_it_wakes(
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
    assert_nothing_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_the_store_turns_away_loses_its_term() {
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
    assert_nothing_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn work_goes_on_while_the_store_is_away_and_ends_are_kept() {
    let fleet = Fleet::start(2, 3).await;
    let job = job("a1", 12_000, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(500)).await;
    for instance in &fleet.instances {
        instance.store.link.change(|link| link.store_silent = true);
    }
    sleep(Duration::from_secs(9)).await;
    for instance in &fleet.instances {
        instance.store.link.heal();
    }
    fleet.await_success(&job.id, Duration::from_secs(8)).await;
    // Nothing lapsed: each task was started once.
    assert_eq!(fleet.workers.starts().len(), 6);
    assert_nothing_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn lost_answers_of_the_store_cost_time_and_nothing_else() {
    let fleet = Fleet::start(2, 3).await;
    fleet.instances[0]
        .store
        .link
        .change(|link| link.answers_lost = true);
    let job = job("a1", 300, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(1500)).await;
    fleet.instances[0].store.link.heal();
    fleet.await_success(&job.id, LIMIT).await;
    assert_eq!(fleet.workers.starts().len(), 6);
    assert_nothing_ran_twice(&fleet);
}

#[tokio::test(start_paused = true)]
async fn workers_that_are_out_of_reach_are_given_up_after_their_lease() {
    let fleet = Fleet::start(2, 3).await;
    let job = job("a1", 3000, vec![step(6)]);
    fleet.submit(&job).await;
    sleep(Duration::from_millis(500)).await;
    fleet.instances[0]
        .store
        .link
        .change(|link| link.workers_silent = true);
    sleep(Duration::from_secs(12)).await;
    fleet.instances[0].store.link.heal();
    fleet.await_success(&job.id, LIMIT).await;
    assert_nothing_ran_twice(&fleet);
    assert_eq!(fleet.state(&job.id).await, JobState::Succeeded);
}

#[tokio::test(start_paused = true)]
async fn what_watches_did_not_hear_is_read_again() {
    let fleet = Fleet::start(2, 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.deafen();
    let kept = job("kept", 300, vec![step(2)]);
    let cancelled = job("cancelled", 300, vec![step(2)]);
    fleet.submit(&kept).await;
    fleet.submit(&cancelled).await;
    fleet.cancel(&cancelled.id).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.drop_unheard();
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
async fn a_holder_that_dies_while_watches_are_deaf_is_succeeded() {
    let fleet = Fleet::start(3, 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.deafen();
    fleet.kill(0);
    sleep(Duration::from_secs(6)).await;
    fleet.store.drop_unheard();
    let job = job("a1", 300, vec![step(2)]);
    fleet.submit(&job).await;
    fleet.await_success(&job.id, Duration::from_secs(10)).await;
}
