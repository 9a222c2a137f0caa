//! Jobs whose tasks crash their workers, and what becomes of them.

use super::{ORDINARY, assert_no_violations, id, job};
use lycheeyard_jobs::{Step, StepKey, TaskKey};
use lycheeyard_protocol::{JobState, WorkerId};
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;

/// How many workers a task may crash before its job is given up.
const MAX_CRASHES: u32 = 3;

/// The task at `index` of the only step of a job.
pub fn task(job: &str, index: usize) -> TaskKey {
    let step = StepKey {
        job: id(job),
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

/// Submits a job whose task at `index` crashes its workers.
pub fn submit_crashing(site: &mut SimulatedSite, name: &str, step: Step, index: usize) {
    site.crashing_tasks.crashes.insert(task(name, index), 0);
    site.submit(job(site, name, ORDINARY, vec![step]));
}

/// Submits an ordinary job of one step.
pub fn submit(site: &mut SimulatedSite, name: &str, step: Step) {
    site.submit(job(site, name, ORDINARY, vec![step]));
}

fn worker_of(site: &SimulatedSite, task: &TaskKey) -> Option<WorkerId> {
    let mut workers = site.workers.values();
    let worker = workers.find(|worker| worker.tasks().any(|other| other == task));
    worker.map(|worker| worker.info.key.id.clone())
}

/// Advances until a task runs.
pub fn await_start(site: &mut SimulatedSite, task: &TaskKey) -> WorkerId {
    for _ in 0..3000 {
        if let Some(worker) = worker_of(site, task) {
            return worker;
        }
        site.advance(Duration::from_millis(10));
    }
    panic!("{task} does not start");
}

/// Advances until a task's start is recorded, whether its worker carries the order out or not.
pub fn await_placement(site: &mut SimulatedSite, task: &TaskKey) -> WorkerId {
    for _ in 0..3000 {
        site.advance(Duration::from_millis(10));
        let progress = site.progress(&task.step.job);
        let placement = progress.and_then(|progress| progress.task(task)?.placement.clone());
        if let Some(placement) = placement {
            return placement.0;
        }
    }
    panic!("{task} is not placed");
}

/// Asserts that a job succeeds within the time in which all jobs end, without a violation.
pub fn assert_succeeds(site: &mut SimulatedSite, name: &str, limit: Duration) {
    assert!(site.settle(limit));
    assert_eq!(site.state(&id(name)), JobState::Succeeded);
    assert_no_violations(site);
}

/// Asserts that the task at `index` of a job has crashed as many workers as it may, and that the job was given up.
pub fn assert_given_up(site: &SimulatedSite, name: &str, index: usize) {
    let crashes = site.crashing_tasks.crashes[&task(name, index)];
    assert_eq!(crashes, MAX_CRASHES);
    assert_eq!(site.state(&id(name)), JobState::Failed);
    assert_no_violations(site);
}
