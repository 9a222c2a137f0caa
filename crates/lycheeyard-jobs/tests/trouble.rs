//! Workers, stores and scheduling instances that fail.

mod support;

use lycheeyard_protocol::{Incarnation, JobState};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, second, site, step};

fn busiest(site: &SimulatedSite) -> lycheeyard_protocol::WorkerId {
    let workers = site.workers.values();
    let busiest = workers.max_by_key(|worker| worker.tasks().count());
    busiest.expect("a worker").info.key.id.clone()
}

fn faults<'a>(
    site: &'a mut SimulatedSite,
    id: &lycheeyard_protocol::WorkerId,
) -> &'a mut SimulatedWorker {
    site.workers.get_mut(id).expect("a worker")
}

#[test]
fn a_run_that_is_being_stopped_is_not_taken_for_lost() {
    let mut site = site(1, 2);
    site.submit(job(&site, "bulk", BULK, vec![step(8, 2, 20_000)]));
    site.advance(second(1));
    site.submit(job(&site, "urgent", URGENT, vec![step(2, 8, 1000)]));
    site.advance(second(3));
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn work_on_a_worker_that_is_cut_off_starts_elsewhere_after_its_lease() {
    let mut site = site(1, 3);
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 30_000)]));
    site.advance(second(4));
    let worker = busiest(&site);
    faults(&mut site, &worker).faults.is_cut = true;
    site.advance(second(12));
    assert_eq!(site.workers[&worker].tasks().count(), 0);
    let elsewhere = site.workers.values().map(|worker| worker.tasks().count());
    assert_eq!(elsewhere.sum::<usize>(), 4);
    assert!(site.settle(second(120)));
    assert_no_violations(&site);
}

#[test]
fn a_cut_that_heals_before_the_lease_ends_loses_nothing() {
    let mut site = site(1, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 10_000)]));
    site.advance(second(2));
    let worker = busiest(&site);
    faults(&mut site, &worker).faults.is_cut = true;
    site.advance(second(4));
    faults(&mut site, &worker).faults.is_cut = false;
    assert!(site.settle(second(30)));
    assert!(site.ended_at[&id("a")].since(submitted) < second(11));
    assert_no_violations(&site);
}

#[test]
fn a_worker_that_restarts_under_its_name_has_lost_its_runs() {
    let mut site = site(1, 2);
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 5000)]));
    site.advance(second(2));
    let worker = busiest(&site);
    let mut info = site.workers[&worker].info.clone();
    info.key.incarnation = Incarnation(2);
    site.add_worker(SimulatedWorker::new(info));
    assert!(site.settle(second(30)));
    assert_no_violations(&site);
}

#[test]
fn an_order_that_is_carried_out_late_runs_nothing_twice() {
    let mut site = site(1, 3);
    site.allows_alone = true;
    let worker = site.workers.keys().next().expect("a worker").clone();
    faults(&mut site, &worker).faults.order_delay = Some(Duration::from_millis(1800));
    site.submit(job(&site, "a", BULK, vec![step(12, 2, 3000)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 4, 3000)]));
    site.advance(second(5));
    faults(&mut site, &worker).faults.order_delay = None;
    assert!(site.settle(second(90)));
    assert_no_violations(&site);
}

#[test]
fn a_takeover_between_any_two_steps_runs_nothing_twice() {
    for moment in 0..60 {
        let mut site = site(1, 3);
        site.allows_alone = true;
        site.submit(job(&site, "a", BULK, vec![step(10, 2, 400)]));
        site.submit(job(&site, "b", ORDINARY, vec![gang(2, 4, 300)]));
        site.advance(Duration::from_millis(10 * moment));
        site.strike(SiteFault::Takeover);
        assert!(site.settle(second(60)), "takeover after {moment} steps");
        assert_eq!(site.state(&id("a")), JobState::Succeeded);
        assert_no_violations(&site);
    }
}

#[test]
fn while_the_store_is_down_work_goes_on_and_nothing_starts() {
    let mut site = site(1, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(2, 8, 6000)]));
    site.advance(second(1));
    site.strike(SiteFault::StoreDown);
    site.advance(second(8));
    site.strike(SiteFault::StoreUp);
    assert!(site.settle(second(5)));
    assert!(site.ended_at[&id("a")].since(submitted) < second(10));
    assert_no_violations(&site);
}

#[test]
fn a_worker_that_fails_all_it_starts_is_put_aside() {
    let mut site = site(2, 3);
    let worker = site.workers.keys().next().expect("a worker").clone();
    faults(&mut site, &worker).faults.fails = true;
    for number in 0..20 {
        site.submit(job(
            &site,
            &format!("job-{number}"),
            ORDINARY,
            vec![step(3, 1, 500)],
        ));
        site.advance(Duration::from_millis(300));
    }
    assert!(site.settle(second(60)));
    let failed =
        (0..20).filter(|number| site.state(&id(&format!("job-{number}"))) == JobState::Failed);
    assert_eq!(failed.count(), 0);
    assert_no_violations(&site);
}

#[test]
fn work_that_stands_still_is_run_elsewhere() {
    let mut site = site(1, 3);
    let worker = site.workers.keys().next().expect("a worker").clone();
    faults(&mut site, &worker).faults.hangs = true;
    site.submit(job(&site, "a", ORDINARY, vec![step(9, 2, 2000)]));
    assert!(site.settle(second(30)));
    assert_eq!(site.state(&id("a")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn a_worker_that_leaves_gets_nothing_new() {
    let mut site = site(1, 3);
    site.submit(job(&site, "before", BULK, vec![step(6, 2, 3000)]));
    site.advance(second(1));
    let leaving = site.workers.keys().next().expect("a worker").clone();
    let present: Vec<_> = site.workers[&leaving].tasks().cloned().collect();
    let mut info = site.workers[&leaving].info.clone();
    info.draining = true;
    let now = site.now;
    site.scheduler.worker_listed(info, now);
    for number in 0..10 {
        site.submit(job(
            &site,
            &format!("after-{number}"),
            URGENT,
            vec![step(2, 1, 500)],
        ));
        site.advance(Duration::from_millis(200));
        let new = site.workers[&leaving].tasks();
        assert_eq!(new.filter(|task| !present.contains(task)).count(), 0);
    }
    assert!(site.settle(second(30)));
    assert_no_violations(&site);
}

#[test]
fn a_job_that_was_taken_by_a_clock_that_is_ahead_starts_at_once() {
    let mut site = site(1, 2);
    let mut ahead = job(&site, "a", BULK, vec![step(2, 1, 500)]);
    ahead.submitted_at = site.now.wall.after(second(3));
    site.submit(ahead);
    site.advance(second(1));
    assert!(site.begun_at.contains_key(&id("a")));
    assert!(site.settle(second(5)));
    assert_no_violations(&site);
}
