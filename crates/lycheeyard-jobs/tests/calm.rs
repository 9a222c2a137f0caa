//! Work on a site where nothing fails.

mod support;

use lycheeyard_jobs::{Schedule, Step};
use lycheeyard_protocol::{JobState, Timestamp};
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, rack, second, site, step, time_of,
};

#[test]
fn a_job_runs_all_its_tasks_and_ends() {
    let mut site = site(2, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(40, 1, 2000)]));
    assert!(site.settle(second(10)));
    assert_eq!(site.state(&id("a")), JobState::Succeeded);
    // 32 accelerators: two rounds of 2 s each.
    assert!(time_of(&site, "a", submitted) < second(5));
    assert_no_violations(&site);
}

#[test]
fn steps_wait_for_those_that_they_come_after() {
    let mut site = site(2, 2);
    let last = Step {
        after: [0, 1].into(),
        ..step(4, 1, 500)
    };
    let steps = vec![step(4, 1, 1000), step(2, 2, 1500), last];
    site.submit(job(&site, "a", ORDINARY, steps));
    assert!(site.settle(second(10)));
    assert_no_violations(&site);
}

#[test]
fn a_gang_starts_whole_and_ends_by_the_end_of_one_member() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", ORDINARY, vec![gang(3, 8, 2000)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 8, 2000)]));
    assert!(site.settle(second(10)));
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn a_gang_that_asks_for_one_rack_waits_for_one() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", URGENT, vec![step(1, 8, 2000)]));
    let tight = Step {
        same_rack: true,
        ..gang(2, 8, 2000)
    };
    site.submit(job(&site, "b", URGENT, vec![tight]));
    site.advance(second(1));
    let racks: std::collections::BTreeSet<_> = site
        .workers
        .values()
        .filter(|worker| worker.tasks().any(|task| task.step.job == id("b")))
        .map(|worker| worker.info.rack.clone())
        .collect();
    assert_eq!(racks.len(), 1);
    assert!(site.settle(second(10)));
    assert_no_violations(&site);
}

#[test]
fn tasks_run_on_the_rack_of_their_data() {
    let mut site = site(3, 2);
    let near = Step {
        data_rack: Some(rack(2)),
        ..step(4, 1, 1000)
    };
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![near]));
    assert!(site.settle(second(10)));
    assert!(time_of(&site, "a", submitted) < second(2));
    assert_no_violations(&site);
}

#[test]
fn a_label_is_respected() {
    let mut site = site(3, 2);
    let labelled = Step {
        required_label: Some("r1-1".to_owned()),
        ..step(20, 1, 500)
    };
    site.submit(job(&site, "a", BULK, vec![labelled]));
    assert!(site.settle(second(10)));
    assert_no_violations(&site);
}

#[test]
fn a_spread_limit_holds_where_a_step_is_placed_near_and_far_in_one_round() {
    let mut site = site(3, 2);
    let spread = Step {
        spread_limit: Some(1),
        data_rack: Some(rack(0)),
        ..step(6, 1, 300)
    };
    let mut late = job(&site, "a", BULK, vec![spread]);
    // Waiting for the rack of the data is not worth it any more.
    late.submitted_at = Timestamp(site.now.wall.0 - 60_000);
    site.submit(late);
    site.advance(second(1));
    assert_no_violations(&site);
    assert!(site.settle(second(10)));
    assert_no_violations(&site);
}

#[test]
fn occurrences_start_at_their_times_and_may_overlap() {
    let mut site = site(2, 2);
    let mut timed = job(&site, "a", ORDINARY, vec![step(2, 1, 3000)]);
    timed.schedule = Some(Schedule {
        repetitions: 4,
        first_at: site.now.wall.after(second(2)),
        interval_ms: 1000,
    });
    site.submit(timed);
    site.advance(second(1));
    assert_eq!(site.state(&id("a")), JobState::Queued);
    assert!(site.settle(second(12)));
    let ended = site.ended_at[&id("a")];
    assert!(ended.since(site.begun_at[&id("a")]) < second(8));
    assert_no_violations(&site);
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut site = site(2, 2);
    site.submit(job(&site, "a", BULK, vec![step(60, 1, 5000)]));
    site.advance(second(1));
    site.cancel(&id("a"));
    site.advance(second(2));
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tasks().count() == 0)
    );
    assert_eq!(site.state(&id("a")), JobState::Cancelled);
    assert_no_violations(&site);
}

#[test]
fn a_hopeless_job_ends_as_failed_after_its_attempts() {
    let mut site = site(2, 2);
    site.hopeless.insert(id("a"));
    site.hopeless.insert(id("b"));
    site.submit(job(&site, "a", ORDINARY, vec![step(1, 1, 500)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 1, 500)]));
    assert!(site.settle(second(20)));
    assert_eq!(site.state(&id("a")), JobState::Failed);
    assert_eq!(site.state(&id("b")), JobState::Failed);
    assert_no_violations(&site);
}
