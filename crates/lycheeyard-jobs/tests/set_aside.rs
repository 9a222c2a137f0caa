//! The ends of runs whose job is set aside.

mod support;

use lycheeyard_jobs::{
    EndNumber, EndReport, JobScheduler, RunEnd, RunNumber, WorkerKey, WorkerReport,
};
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use support::{id, site};

/// A site whose scheduler has set the job `held` aside, and its only worker.
fn site_with_job_set_aside() -> (SimulatedSite, WorkerKey) {
    let mut site = site(1, 1);
    site.scheduler.set_job_aside(id("held"));
    let worker = site.workers.values().next().expect("there is a worker");
    let key = worker.info.key.clone();
    (site, key)
}

/// A report that lists one end of each of these tasks, numbered from 1.
fn report(site: &SimulatedSite, worker: &WorkerKey, tasks: &[&str]) -> WorkerReport {
    let ended = (1..).zip(tasks).map(|(number, task)| EndReport {
        number: EndNumber(number),
        task: task.parse().expect("task key is valid"),
        run: RunNumber(1),
        outcome: RunEnd::Done,
        checkpoint: None,
    });
    WorkerReport {
        worker: worker.clone(),
        polled_at: site.now.boot,
        received_at: site.now.boot,
        running: Vec::new(),
        ended: ended.collect(),
        is_partial: false,
    }
}

fn acknowledged(scheduler: &JobScheduler, site: &SimulatedSite) -> EndNumber {
    let mut sent = scheduler.acknowledgements(site.now);
    sent.next().expect("there is a worker").through
}

/// Guards against an acknowledgement of an end whose job is set aside, also through one of a later end.
#[test]
fn acknowledges_no_end_from_the_first_of_a_job_set_aside() {
    let (mut site, worker) = site_with_job_set_aside();
    let tasks = ["a.0.0.0", "a.0.0.1", "held.0.0.0", "a.0.0.2"];
    let report = report(&site, &worker, &tasks);
    site.scheduler.worker_reported(&report, site.now);
    assert_eq!(acknowledged(&site.scheduler, &site), EndNumber(2));
    assert_eq!(site.scheduler.recorded_end(&worker), EndNumber(4));
    assert!(site.scheduler.take_given_up_ends().is_empty());
}

/// Guards against a worker whose new ends are no longer listed, since it lists a limited number of ends at a time and keeps those of a
/// job that is set aside.
#[rstest]
#[case::few_others(300, EndNumber(0), false)]
#[case::too_many_others(301, EndNumber(302), true)]
fn gives_withheld_ends_up_when_too_many_others_follow(
    #[case] others: usize,
    #[case] through: EndNumber,
    #[case] is_given_up: bool,
) {
    let (mut site, worker) = site_with_job_set_aside();
    let mut tasks = vec!["held.0.0.0"];
    tasks.resize(1 + others, "a.0.0.0");
    let report = report(&site, &worker, &tasks);
    site.scheduler.worker_reported(&report, site.now);
    assert_eq!(acknowledged(&site.scheduler, &site), through);
    let given_up = site.scheduler.take_given_up_ends();
    assert_eq!(!given_up.is_empty(), is_given_up);
}
