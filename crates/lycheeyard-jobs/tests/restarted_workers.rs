//! Workers that start again under the id that they had.
//!
//! Orders name a worker by its id, so that an order for one incarnation may be carried out by the next one.

mod support;

use lycheeyard_jobs::{JobScheduler, Placement, Progress, RunNumber, StepProgress, TaskProgress};
use lycheeyard_protocol::{Incarnation, JobState, WorkerId};
use lycheeyard_standin::{SimulatedWorker, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{
    BULK, assert_no_violations, first_worker, gang, job, limits, list_workers, policy, restart,
    restart_all, secs, site, step,
};

// Guards against a second run of a task whose start order was carried out by an incarnation of the worker that the
// scheduler did not know yet.
#[rstest]
fn runs_no_task_twice_when_orders_reach_the_next_incarnation(
    #[values(20, 100, 300, 700)] listed_after_ms: u64,
) {
    let mut site = site(1, 3);
    site.allows_missing_peers = true;
    restart_all(&mut site);
    site.submit(job(&site, "a", BULK, vec![step(9, 2, 3000)]));
    site.submit(job(&site, "b", BULK, vec![gang(2, 2, 3000)]));
    site.advance(Duration::from_millis(listed_after_ms));
    list_workers(&mut site);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a second run of a task whose start order got no answer and was carried out late, after the worker had
// started again.
#[rstest]
fn runs_no_task_twice_when_late_orders_reach_the_next_incarnation(
    #[values(200, 900, 1500)] restarted_after_ms: u64,
) {
    let mut site = site(1, 3);
    site.allows_missing_peers = true;
    let late = first_worker(&site);
    if let Some(worker) = site.workers.get_mut(&late) {
        worker.faults.order_delay = Some(Duration::from_millis(1800));
    }
    site.submit(job(&site, "a", BULK, vec![step(9, 2, 3000)]));
    site.submit(job(&site, "b", BULK, vec![gang(2, 2, 3000)]));
    site.advance(Duration::from_millis(restarted_after_ms));
    restart(&mut site, &late);
    list_workers(&mut site);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a second run of a task that the holder before started on an incarnation which its successor does not
// know yet.
#[rstest]
fn successor_runs_no_task_twice_when_orders_reached_the_next_incarnation(
    #[values(20, 100, 300, 700)] listed_after_ms: u64,
) {
    let mut site = site(1, 3);
    site.allows_missing_peers = true;
    restart_all(&mut site);
    site.submit(job(&site, "a", BULK, vec![step(9, 2, 3000)]));
    site.advance(Duration::from_millis(listed_after_ms));
    // The successor lists the workers that run now, while the records name their former incarnations.
    site.inject_fault(SiteFault::Takeover);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a task that is never started again after its worker has crashed under it.
#[test]
fn reruns_the_work_of_a_restarted_worker_within_seconds() {
    let mut site = site(1, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 3000)]));
    site.advance(secs(2));
    let restarted = first_worker(&site);
    restart(&mut site, &restarted);
    list_workers(&mut site);
    assert!(site.settle(secs(30)));
    assert!(site.now.wall.since(submitted) < secs(7));
    assert_no_violations(&site);
}

/// The progress of a job of one task that runs on an incarnation of a worker.
fn running_on(worker: &WorkerId, incarnation: u64) -> Progress {
    let task = TaskProgress {
        run: RunNumber(1),
        placement: Some(Placement(worker.clone(), Incarnation(incarnation))),
        ..TaskProgress::default()
    };
    let step = StepProgress {
        tasks: vec![task],
        ..StepProgress::default()
    };
    Progress {
        state: JobState::Running,
        ended_at: None,
        open: [(0, vec![step])].into(),
        opened: 1,
    }
}

// Guards against a task that is never started again because the records name two incarnations of its worker: only one of
// them had an entry, and the run on the other one was never looked for.
#[rstest]
fn successor_ends_the_runs_on_each_recorded_incarnation(
    #[values([1, 2], [2, 1], [1, 3])] recorded: [u64; 2],
) {
    let mut site = site(1, 2);
    let worker = first_worker(&site);
    restart(&mut site, &worker);
    let jobs = ["a", "b"].map(|name| job(&site, name, BULK, vec![step(1, 1, 3000)]));
    let mut successor = JobScheduler::new(limits(), policy(), site.now.boot);
    for (job, incarnation) in jobs.into_iter().zip(recorded) {
        let progress = running_on(&worker, incarnation);
        successor.add_job(job.clone(), Some(progress), site.now);
        site.submit(job);
    }
    site.scheduler = successor;
    list_workers(&mut site);
    assert!(site.settle(secs(20)), "recorded: {recorded:?}");
    assert_no_violations(&site);
}

// Guards against a job that is given up although none of its tasks was on a worker that crashed: a run that a new incarnation had
// started, before the scheduler knew it, counted as one that had crashed the former incarnation.
#[test]
fn counts_no_crash_for_a_run_that_the_next_incarnation_has_started() {
    let mut site = site(1, 4);
    restart_all(&mut site);
    site.submit(job(&site, "a", BULK, vec![step(4, 8, 3000)]));
    while !site.workers.values().all(is_running) {
        site.advance(Duration::from_millis(10));
    }
    list_workers(&mut site);
    assert!(site.settle(secs(30)));
    assert_eq!(site.state(&support::id("a")), JobState::Succeeded);
    assert_eq!(site.scheduler.take_worker_crashes(), []);
    assert_no_violations(&site);
}

fn is_running(worker: &SimulatedWorker) -> bool {
    worker.tasks().next().is_some()
}
