//! Scheduling on a site without faults.
//!
//! Guards against jobs that never end, and against placements that violate what a step asks for: order, gang, rack,
//! label, spread limit or schedule.

mod support;

use lycheeyard_jobs::{Schedule, Step, StepSet};
use lycheeyard_protocol::{JobState, Timestamp};
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, completion_time, gang, id, job, rack, secs, site,
    step,
};

#[test]
fn runs_all_tasks_of_a_job() {
    let mut site = site(2, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(40, 1, 2000)]));
    assert!(site.settle(secs(10)));
    assert_eq!(site.state(&id("a")), JobState::Succeeded);
    // 40 tasks on 32 accelerators need two rounds of 2 s each.
    assert!(completion_time(&site, "a", submitted) < secs(5));
    assert_no_violations(&site);
}

#[test]
fn starts_a_step_after_the_steps_it_depends_on() {
    let mut site = site(2, 2);
    let last = Step {
        after: StepSet::new([0, 1]).expect("steps exist"),
        ..step(4, 1, 500)
    };
    let steps = vec![step(4, 1, 1000), step(2, 2, 1500), last];
    site.submit(job(&site, "a", ORDINARY, steps));
    assert!(site.settle(secs(10)));
    assert_no_violations(&site);
}

#[test]
fn starts_a_gang_as_a_whole_and_ends_it_with_one_member() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", ORDINARY, vec![gang(3, 8, 2000)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 8, 2000)]));
    assert!(site.settle(secs(10)));
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn places_a_same_rack_gang_on_one_rack() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", URGENT, vec![step(1, 8, 2000)]));
    let same_rack = Step {
        same_rack: true,
        ..gang(2, 8, 2000)
    };
    site.submit(job(&site, "b", URGENT, vec![same_rack]));
    site.advance(secs(1));
    let racks: std::collections::BTreeSet<_> = site
        .workers
        .values()
        .filter(|worker| worker.tasks().any(|task| task.step.job == id("b")))
        .map(|worker| worker.info.rack.clone())
        .collect();
    assert_eq!(racks.len(), 1);
    assert!(site.settle(secs(10)));
    assert_no_violations(&site);
}

#[test]
fn runs_tasks_on_the_rack_of_their_data() {
    let mut site = site(3, 2);
    let near = Step {
        data_rack: Some(rack(2)),
        ..step(4, 1, 1000)
    };
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![near]));
    assert!(site.settle(secs(10)));
    assert!(completion_time(&site, "a", submitted) < secs(2));
    assert_no_violations(&site);
}

#[test]
fn places_tasks_on_workers_with_the_required_label() {
    let mut site = site(3, 2);
    let labelled = Step {
        required_label: Some("r1-1".to_owned()),
        ..step(20, 1, 500)
    };
    site.submit(job(&site, "a", BULK, vec![labelled]));
    assert!(site.settle(secs(10)));
    assert_no_violations(&site);
}

#[test]
fn respects_the_spread_limit_when_a_step_is_placed_near_and_far_in_one_round() {
    let mut site = site(3, 2);
    let spread = Step {
        spread_limit: Some(1),
        data_rack: Some(rack(0)),
        ..step(6, 1, 300)
    };
    let mut late = job(&site, "a", BULK, vec![spread]);
    // The job is so late that it no longer pays to wait for the rack of the data.
    late.submitted_at = Timestamp(site.now.wall.0 - 60_000);
    site.submit(late);
    site.advance(secs(1));
    assert_no_violations(&site);
    assert!(site.settle(secs(10)));
    assert_no_violations(&site);
}

#[test]
fn starts_occurrences_on_schedule_and_lets_them_overlap() {
    let mut site = site(2, 2);
    let mut scheduled = job(&site, "a", ORDINARY, vec![step(2, 1, 3000)]);
    scheduled.schedule = Some(Schedule {
        repetitions: 4,
        first_at: site.now.wall.after(secs(2)),
        interval_ms: 1000,
    });
    site.submit(scheduled);
    site.advance(secs(1));
    assert_eq!(site.state(&id("a")), JobState::Queued);
    assert!(site.settle(secs(12)));
    let ended = site.ended_at[&id("a")];
    assert!(ended.since(site.begun_at[&id("a")]) < secs(8));
    assert_no_violations(&site);
}

#[test]
fn stops_all_runs_of_a_cancelled_job_and_starts_no_more() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", BULK, vec![step(60, 1, 5000)]));
    site.advance(secs(1));
    site.cancel(&id("a"));
    site.advance(secs(2));
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tasks().count() == 0)
    );
    assert_eq!(site.state(&id("a")), JobState::Cancelled);
    assert_no_violations(&site);
}

#[test]
fn fails_a_job_after_its_maximum_attempts() {
    let mut site = site(2, 2);
    site.failing_jobs.insert(id("a"));
    site.failing_jobs.insert(id("b"));
    site.submit(job(&site, "a", ORDINARY, vec![step(1, 1, 500)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 1, 500)]));
    assert!(site.settle(secs(20)));
    assert_eq!(site.state(&id("a")), JobState::Failed);
    assert_eq!(site.state(&id("b")), JobState::Failed);
    assert_no_violations(&site);
}
