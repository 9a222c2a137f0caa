//! Tasks that run until their job is cancelled.
//!
//! Guards against tasks that are not restarted after an end, and against evacuation of more tasks of a step at a time
//! than its definition allows.

mod support;

use lycheeyard_jobs::{RunEnd, Step, StepKey};
use lycheeyard_protocol::JobState;
use rstest::rstest;
use std::time::Duration;
use support::{BULK, ORDINARY, assert_no_violations, gang, id, job, secs, site, step};

fn long_running_step(tasks: u32, accelerators: u32) -> Step {
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
fn restarts_a_long_running_task_however_it_ends(
    #[values(RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed)] outcome: RunEnd,
) {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(3, 2)]));
    site.advance(secs(5));
    assert_eq!(site.ready_tasks(&first_step("web")), 3);
    site.end_run(&first_step("web").task(1), outcome);
    site.advance(secs(1));
    assert_eq!(site.ready_tasks(&first_step("web")), 3);
    assert_eq!(site.state(&id("web")), JobState::Running);
    assert_no_violations(&site);
}

#[test]
fn restarts_a_long_running_gang_as_a_whole() {
    let mut site = site(1, 3);
    let long_running_gang = Step {
        long_running: true,
        ..gang(3, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![long_running_gang]));
    site.advance(secs(5));
    site.end_run(&first_step("web").task(1), RunEnd::Done);
    site.advance(secs(2));
    assert_eq!(site.ready_tasks(&first_step("web")), 3);
    assert_no_violations(&site);
}

#[test]
fn stops_long_running_tasks_when_the_job_is_cancelled() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(4, 1)]));
    site.advance(secs(2));
    site.cancel(&id("web"));
    site.advance(secs(1));
    assert_eq!(site.state(&id("web")), JobState::Cancelled);
    assert_eq!(site.ready_tasks(&first_step("web")), 0);
    assert_no_violations(&site);
}

#[test]
fn delays_restarts_of_a_task_that_fails_at_once() {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(1, 1)]));
    let task = first_step("web").task(0);
    for _ in 0..300 {
        site.advance(Duration::from_millis(100));
        site.end_run(&task, RunEnd::Failed);
    }
    let progress = site
        .progress(&id("web"))
        .expect("job has a progress record");
    let runs = progress.task(&task).expect("task has progress").run.0;
    // The delay between two starts is 2 s at most.
    assert!((12..25).contains(&runs), "{runs} runs in 30 s");
    // Its failures do not count against the workers: the other job can use all of them.
    site.submit(job(&site, "other", ORDINARY, vec![gang(3, 4, 500)]));
    site.advance(secs(2));
    assert_eq!(site.state(&id("other")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn restarts_long_running_tasks_before_other_work_of_the_same_priority_even_after_a_long_run() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(2, 8)]));
    site.advance(secs(60));
    site.submit(job(&site, "queue", ORDINARY, vec![step(20, 8, 2000)]));
    site.advance(secs(1));
    site.end_run(&first_step("web").task(0), RunEnd::Failed);
    site.advance(secs(1));
    assert_eq!(site.ready_tasks(&first_step("web")), 2);
    assert_no_violations(&site);
}

#[test]
fn spreads_long_running_tasks_over_the_workers() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(8, 1)]));
    site.advance(secs(1));
    for worker in site.workers.values() {
        assert_eq!(worker.tasks().count(), 2);
    }
    assert_no_violations(&site);
}

#[test]
fn evacuates_long_running_tasks_from_a_draining_worker_one_at_a_time() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(8, 1)]));
    site.advance(secs(5));
    let (leaving, worker) = site.workers.iter().next().expect("worker exists");
    let (leaving, mut info) = (leaving.clone(), worker.info.clone());
    info.draining = true;
    let now = site.now;
    site.scheduler.worker_listed(info, now);
    for _ in 0..300 {
        site.advance(Duration::from_millis(10));
        assert!(site.ready_tasks(&first_step("web")) >= 7);
    }
    assert_eq!(site.ready_tasks(&first_step("web")), 8);
    assert_eq!(site.workers[&leaving].tasks().count(), 0);
    assert_no_violations(&site);
}

#[test]
fn keeps_no_capacity_for_work_that_waits_for_long_running_tasks() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![long_running_step(2, 8)]));
    site.advance(secs(3));
    site.submit(job(&site, "never", BULK, vec![gang(2, 8, 1000)]));
    // This job needs CPU time that would stay unused if the workers were drained for the gang.
    let mut large = step(2, 0, 5000);
    large.demand.cpu_milli = 30_500;
    site.submit(job(&site, "large", BULK, vec![large]));
    site.advance(secs(6));
    assert_eq!(site.state(&id("large")), JobState::Succeeded);
    assert_eq!(site.state(&id("never")), JobState::Queued);
    assert_eq!(site.ready_tasks(&first_step("web")), 2);
    assert_no_violations(&site);
}
