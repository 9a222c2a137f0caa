//! Tasks that run until their job is cancelled.

mod support;

use lycheeyard_jobs::{RunEnd, Step, StepKey};
use lycheeyard_protocol::JobState;
use rstest::rstest;
use std::time::Duration;
use support::{BULK, ORDINARY, assert_no_violations, gang, id, job, second, site, step};

fn lasting(tasks: u32, accelerators: u32) -> Step {
    Step {
        long_running: true,
        ..step(tasks, accelerators, 500)
    }
}

fn first_step(name: &str) -> StepKey {
    StepKey {
        job: id(name),
        occurrence: 0,
        step: 0,
    }
}

#[rstest]
fn a_long_running_task_is_started_again_however_it_ends(
    #[values(RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed)] how: RunEnd,
) {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(3, 2)]));
    site.advance(second(5));
    assert_eq!(site.at_work(&first_step("web")), 3);
    site.end_run(&first_step("web").task(1), how);
    site.advance(second(1));
    assert_eq!(site.at_work(&first_step("web")), 3);
    assert_eq!(site.state(&id("web")), JobState::Running);
    assert_no_violations(&site);
}

#[test]
fn a_whole_gang_of_long_running_tasks_is_started_again() {
    let mut site = site(1, 3);
    let together = Step {
        long_running: true,
        ..gang(3, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![together]));
    site.advance(second(5));
    site.end_run(&first_step("web").task(1), RunEnd::Done);
    site.advance(second(2));
    assert_eq!(site.at_work(&first_step("web")), 3);
    assert_no_violations(&site);
}

#[test]
fn long_running_tasks_end_with_the_cancellation() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(4, 1)]));
    site.advance(second(2));
    site.cancel(&id("web"));
    site.advance(second(1));
    assert_eq!(site.state(&id("web")), JobState::Cancelled);
    assert_eq!(site.at_work(&first_step("web")), 0);
    assert_no_violations(&site);
}

#[test]
fn a_task_that_fails_at_once_is_tried_again_and_again_but_not_all_the_time() {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(1, 1)]));
    let task = first_step("web").task(0);
    for _ in 0..300 {
        site.advance(Duration::from_millis(100));
        site.end_run(&task, RunEnd::Failed);
    }
    let progress = site.progress(&id("web")).expect("a record");
    let runs = progress.task(&task).expect("a task").run.0;
    // A pause of 2 s at most between two starts.
    assert!((12..25).contains(&runs), "{runs} runs in 30 s");
    // Its failures say nothing of the workers.
    site.submit(job(&site, "other", ORDINARY, vec![gang(3, 4, 500)]));
    site.advance(second(2));
    assert_eq!(site.state(&id("other")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn long_running_tasks_come_back_before_other_work_of_their_priority_also_after_long() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(2, 8)]));
    site.advance(second(60));
    site.submit(job(&site, "queue", ORDINARY, vec![step(20, 8, 2000)]));
    site.advance(second(1));
    site.end_run(&first_step("web").task(0), RunEnd::Failed);
    site.advance(second(1));
    assert_eq!(site.at_work(&first_step("web")), 2);
    assert_no_violations(&site);
}

#[test]
fn long_running_tasks_are_spread_over_the_workers() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(8, 1)]));
    site.advance(second(1));
    for worker in site.workers.values() {
        assert_eq!(worker.tasks().count(), 2);
    }
    assert_no_violations(&site);
}

#[test]
fn long_running_tasks_leave_a_worker_that_is_about_to_go_one_at_a_time() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(8, 1)]));
    site.advance(second(5));
    let (leaving, worker) = site.workers.iter().next().expect("a worker");
    let (leaving, mut info) = (leaving.clone(), worker.info.clone());
    info.draining = true;
    let now = site.now;
    site.scheduler.worker_listed(info, now);
    for _ in 0..300 {
        site.advance(Duration::from_millis(10));
        assert!(site.at_work(&first_step("web")) >= 7);
    }
    assert_eq!(site.at_work(&first_step("web")), 8);
    assert_eq!(site.workers[&leaving].tasks().count(), 0);
    assert_no_violations(&site);
}

#[test]
fn no_room_is_kept_for_work_that_waits_for_long_running_tasks() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(2, 8)]));
    site.advance(second(3));
    site.submit(job(&site, "never", BULK, vec![gang(2, 8, 1000)]));
    // It needs the processor time that would be kept.
    let mut large = step(2, 0, 5000);
    large.demand.cpu_milli = 30_500;
    site.submit(job(&site, "large", BULK, vec![large]));
    site.advance(second(6));
    assert_eq!(site.state(&id("large")), JobState::Succeeded);
    assert_eq!(site.state(&id("never")), JobState::Queued);
    assert_eq!(site.at_work(&first_step("web")), 2);
    assert_no_violations(&site);
}
