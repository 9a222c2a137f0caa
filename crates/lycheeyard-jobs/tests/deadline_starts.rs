//! Who may stop work that began at a deadline of preferences, on a site of which half is in use.
//!
//! Guards against work that is stopped at once although it has waited for its start, and against guaranteed jobs that wait for such
//! work.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, organisation,
    policy, secs, site_with, step,
};

const RECLAIM_LIMIT: Duration = Duration::from_millis(2700);

fn has_begun(site: &SimulatedSite, job: &str) -> bool {
    site.begun_at.contains_key(&id(job))
}

fn of(owner: &str, job: Job) -> Job {
    Job {
        organisation: organisation(owner),
        ..job
    }
}

/// A site of four workers. Two are in use by a job of a queue, and a job that has waited for urgent work has just begun on another.
fn site_with_late_start(queue: &str) -> SimulatedSite {
    let mut policy = policy();
    policy.guarantees = ["owner", "other"]
        .map(|owner| (organisation(owner), 2 * ACCELERATORS))
        .into();
    let mut site = site_with(1, 4, policy);
    let half = job(&site, "half", queue, vec![step(2, ACCELERATORS, 60_000)]);
    site.submit(of("other", half));
    site.advance(secs(1));
    for number in 0..5 {
        let name = format!("urgent-{number}");
        site.submit(job(&site, &name, URGENT, vec![gang(8, 1, 100)]));
        site.advance(Duration::from_millis(500));
    }
    let waits = step(1, ACCELERATORS, 10_000);
    site.submit(job(&site, "waits", ORDINARY, vec![waits]));
    for _ in 0..30 {
        site.advance(Duration::from_millis(100));
        if has_begun(&site, "waits") {
            return site;
        }
    }
    panic!("does not begin");
}

fn runs_so_far(site: &SimulatedSite, job: &str) -> u32 {
    let progress = site.progress(&id(job)).expect("job is open");
    progress.open[&0][0].tasks[0].run.0
}

/// Submits a guaranteed gang that needs two workers, and asserts that it begins in time.
fn reclaim(site: &mut SimulatedSite) {
    let owner = job(site, "owner", URGENT, vec![gang(2, ACCELERATORS, 1000)]);
    site.submit(of("owner", owner));
    site.advance(RECLAIM_LIMIT);
    assert!(has_begun(site, "owner"));
    assert_no_violations(site);
}

#[test]
fn guaranteed_gang_stops_work_that_has_just_begun_if_nothing_else_can_be_stopped() {
    let mut site = site_with_late_start(URGENT);
    reclaim(&mut site);
}

#[test]
fn guaranteed_gang_stops_other_work_before_what_has_just_begun() {
    let mut site = site_with_late_start(BULK);
    reclaim(&mut site);
    site.advance(secs(1));
    assert_eq!(runs_so_far(&site, "waits"), 1);
}
