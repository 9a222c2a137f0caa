//! Jobs of which nothing runs while most of the room of their service is free.
//!
//! Guards against preferences that keep a step from room which nobody else uses: the headroom, quarantines and drains.

mod support;

use lycheeyard_jobs::{Resources, Step};
use lycheeyard_protocol::{Timestamp, WorkerId};
use lycheeyard_standin::SimulatedSite;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, ORDINARY, URGENT, assert_no_violations, gang, id, ids, job, list_workers,
    rack, secs, site, step,
};

/// Callers are promised that nothing of a job waits for longer than 14 s although most of the room is free; less 3 s.
const LIMIT: Duration = Duration::from_secs(14 - 3);
const RARE_LABEL: &str = "rare";

fn has_begun(site: &SimulatedSite, job: &str) -> bool {
    site.begun_at.contains_key(&id(job))
}

/// Gives a worker a label that others do not have.
fn label(site: &mut SimulatedSite, worker: &WorkerId) {
    let worker = site.workers.get_mut(worker).expect("worker exists");
    worker.info.labels.insert(RARE_LABEL.to_owned());
    list_workers(site);
}

fn labelled(step: Step) -> Step {
    Step {
        required_label: Some(RARE_LABEL.to_owned()),
        ..step
    }
}

/// Labels one worker, and submits jobs with that label which fail there.
fn submit_failing(site: &mut SimulatedSite, jobs: u32) {
    let rare = ids(site).remove(0);
    label(site, &rare);
    for number in 0..jobs {
        let name = format!("fails-{number}");
        site.failing_jobs.insert(id(&name));
        let failing = job(site, &name, ORDINARY, vec![labelled(step(1, 1, 100))]);
        site.submit(failing);
    }
}

// Guards against a gang that waits for as long as urgent work is expected: it needs more than what is free less the headroom, and is not
// split. Half of the accelerators are in use, but less than half of the capacity.
#[test]
fn gang_takes_the_headroom_while_most_of_the_capacity_is_free() {
    let mut site = site(1, 4);
    for worker in site.workers.values_mut() {
        worker.info.capacity.cpu_milli = 256_000;
    }
    list_workers(&mut site);
    let half = job(&site, "half", BULK, vec![step(16, 1, 60_000)]);
    site.submit(half);
    for number in 0..5 {
        let urgent = job(
            &site,
            &format!("urgent-{number}"),
            URGENT,
            vec![gang(8, 1, 100)],
        );
        site.submit(urgent);
        site.advance(Duration::from_millis(500));
    }
    site.submit(job(&site, "wide", BULK, vec![gang(2, 6, 60_000)]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "wide"));
    assert_no_violations(&site);
}

// Guards against a step whose label only workers in quarantine have, for which it waits up to 64 s.
#[test]
fn step_starts_in_quarantine_if_it_fits_nowhere_else() {
    let mut site = site(1, 4);
    submit_failing(&mut site, 2);
    site.advance(secs(6));
    site.submit(job(&site, "sound", BULK, vec![labelled(step(2, 1, 500))]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "sound"));
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a step that waits for the rack of its data for twice its run time while another rack is empty.
#[test]
fn step_leaves_the_rack_of_its_data_while_most_of_the_capacity_is_free() {
    let mut site = site(4, 1);
    let near = Step {
        data_rack: Some(rack(0)),
        ..step(1, ACCELERATORS, 30_000)
    };
    site.submit(job(&site, "first", BULK, vec![near.clone()]));
    site.advance(secs(1));
    site.submit(job(&site, "second", BULK, vec![near]));
    site.advance(LIMIT);
    assert!(has_begun(&site, "second"));
    assert_no_violations(&site);
}

// Guards against LOST on a site that goes quiet: a step whose result is of no use any more begins to wait for its deadline only once less than
// half is in use, so that the wait and a late planning round exceed the 3 s that callers are promised.
#[test]
fn step_of_no_more_use_starts_as_soon_as_most_is_free() {
    let mut site = site(1, 4);
    submit_failing(&mut site, 8);
    site.advance(Duration::from_millis(800));
    let whole = Resources {
        cpu_milli: 32_000,
        memory_mb: 1000,
        accelerators: ACCELERATORS,
    };
    for name in ["fill-0", "fill-1"] {
        let fill = Step {
            demand: whole,
            ..step(1, ACCELERATORS, 120_000)
        };
        site.submit(job(&site, name, ORDINARY, vec![fill]));
    }
    let mut old = job(&site, "old", BULK, vec![labelled(step(1, 1, 500))]);
    old.submitted_at = Timestamp(site.now.wall.0 - 100_000);
    site.submit(old);
    site.advance(LIMIT);
    assert!(!has_begun(&site, "old"));
    site.cancel(&id("fill-0"));
    site.advance(secs(2));
    assert!(has_begun(&site, "old"));
    assert_no_violations(&site);
}

// Guards against a quarantine without effect: what fits on other workers goes there, also if it has to wait for them.
#[test]
fn workers_in_quarantine_get_nothing_while_others_have_room() {
    let mut site = site(1, 2);
    let bad = ids(&site).remove(0);
    let worker = site.workers.get_mut(&bad).expect("worker exists");
    worker.faults.fails = true;
    for number in 0..8 {
        let name = format!("a{number}");
        site.submit(job(
            &site,
            &name,
            BULK,
            vec![step(1, ACCELERATORS / 2, 300)],
        ));
    }
    assert!(site.settle(secs(10)));
    let failures = site.workers[&bad].tasks().count();
    assert_eq!(failures, 0);
    assert_no_violations(&site);
}
