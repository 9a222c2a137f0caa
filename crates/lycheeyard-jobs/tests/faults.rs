//! Faults of workers, of the store and of scheduling instances.
//!
//! Guards against tasks that run twice or get lost when a worker is unreachable, restarts, stalls or executes an order
//! late, when another instance takes over, and when the store is down.

mod support;

use lycheeyard_jobs::EndNumber;
use lycheeyard_protocol::{Incarnation, JobState};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, delay_orders, first_worker, gang, id, job, secs,
    site, step,
};

fn busiest_worker(site: &SimulatedSite) -> lycheeyard_protocol::WorkerId {
    let workers = site.workers.values();
    let busiest = workers.max_by_key(|worker| worker.tasks().count());
    busiest.expect("site has workers").info.key.id.clone()
}

fn worker_mut<'a>(
    site: &'a mut SimulatedSite,
    id: &lycheeyard_protocol::WorkerId,
) -> &'a mut SimulatedWorker {
    site.workers.get_mut(id).expect("worker exists")
}

#[test]
fn does_not_presume_a_run_lost_while_it_is_being_stopped() {
    let mut site = site(1, 2);
    site.submit(job(&site, "bulk", BULK, vec![step(8, 2, 20_000)]));
    site.advance(secs(1));
    site.submit(job(&site, "urgent", URGENT, vec![step(2, 8, 1000)]));
    site.advance(secs(3));
    assert_eq!(site.refused_starts, 0);
    assert_no_violations(&site);
}

#[test]
fn restarts_work_of_an_unreachable_worker_elsewhere_after_its_lease() {
    let mut site = site(1, 3);
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 30_000)]));
    site.advance(secs(4));
    let worker = busiest_worker(&site);
    worker_mut(&mut site, &worker).faults.is_partitioned = true;
    site.advance(secs(12));
    assert_eq!(site.workers[&worker].tasks().count(), 0);
    let elsewhere = site.workers.values().map(|worker| worker.tasks().count());
    assert_eq!(elsewhere.sum::<usize>(), 4);
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}

#[test]
fn loses_no_work_when_a_worker_is_reachable_again_before_its_lease_expires() {
    let mut site = site(1, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 10_000)]));
    site.advance(secs(2));
    let worker = busiest_worker(&site);
    worker_mut(&mut site, &worker).faults.is_partitioned = true;
    site.advance(secs(4));
    worker_mut(&mut site, &worker).faults.is_partitioned = false;
    assert!(site.settle(secs(30)));
    assert!(site.ended_at[&id("a")].since(submitted) < secs(11));
    assert_no_violations(&site);
}

#[test]
fn reruns_the_tasks_of_a_worker_that_restarts_under_the_same_id() {
    let mut site = site(1, 2);
    site.submit(job(&site, "a", BULK, vec![step(4, 4, 5000)]));
    site.advance(secs(2));
    let worker = busiest_worker(&site);
    let mut info = site.workers[&worker].info.clone();
    info.key.incarnation = Incarnation(2);
    site.add_worker(SimulatedWorker::new(info));
    assert!(site.settle(secs(30)));
    assert_no_violations(&site);
}

#[test]
fn runs_no_task_twice_when_orders_are_executed_late() {
    let mut site = site(1, 3);
    site.allows_missing_peers = true;
    let worker = first_worker(&site);
    worker_mut(&mut site, &worker).faults.order_delay = Some(Duration::from_millis(1800));
    site.submit(job(&site, "a", BULK, vec![step(12, 2, 3000)]));
    site.submit(job(&site, "b", ORDINARY, vec![gang(3, 4, 3000)]));
    site.advance(secs(5));
    worker_mut(&mut site, &worker).faults.order_delay = None;
    assert!(site.settle(secs(90)));
    assert_no_violations(&site);
}

#[test]
fn runs_no_task_twice_when_another_instance_takes_over_at_any_moment() {
    for moment in 0..60 {
        let mut site = site(1, 3);
        site.allows_missing_peers = true;
        site.submit(job(&site, "a", BULK, vec![step(10, 2, 400)]));
        site.submit(job(&site, "b", ORDINARY, vec![gang(2, 4, 300)]));
        site.advance(Duration::from_millis(10 * moment));
        site.inject_fault(SiteFault::Takeover);
        assert!(site.settle(secs(60)), "takeover after {} ms", 10 * moment);
        assert_eq!(site.state(&id("a")), JobState::Succeeded);
        assert_no_violations(&site);
    }
}

#[test]
fn keeps_runs_going_while_the_store_is_down() {
    let mut site = site(1, 2);
    let submitted = site.now.wall;
    site.submit(job(&site, "a", BULK, vec![step(2, 8, 6000)]));
    site.advance(secs(1));
    site.inject_fault(SiteFault::StoreDown);
    site.advance(secs(8));
    site.inject_fault(SiteFault::StoreUp);
    assert!(site.settle(secs(5)));
    assert!(site.ended_at[&id("a")].since(submitted) < secs(10));
    assert_no_violations(&site);
}

#[test]
fn quarantines_a_worker_on_which_every_run_fails() {
    let mut site = site(2, 3);
    let worker = first_worker(&site);
    worker_mut(&mut site, &worker).faults.fails = true;
    for number in 0..20 {
        site.submit(job(
            &site,
            &format!("job-{number}"),
            ORDINARY,
            vec![step(3, 1, 500)],
        ));
        site.advance(Duration::from_millis(300));
    }
    assert!(site.settle(secs(60)));
    let failed =
        (0..20).filter(|number| site.state(&id(&format!("job-{number}"))) == JobState::Failed);
    assert_eq!(failed.count(), 0);
    assert_no_violations(&site);
}

#[test]
fn restarts_stalled_work_elsewhere() {
    let mut site = site(1, 3);
    let worker = first_worker(&site);
    worker_mut(&mut site, &worker).faults.hangs = true;
    site.submit(job(&site, "a", ORDINARY, vec![step(9, 2, 2000)]));
    assert!(site.settle(secs(30)));
    assert_eq!(site.state(&id("a")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn starts_nothing_on_a_draining_worker() {
    let mut site = site(1, 3);
    site.submit(job(&site, "before", BULK, vec![step(6, 2, 3000)]));
    site.advance(secs(1));
    let leaving = first_worker(&site);
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
    assert!(site.settle(secs(30)));
    assert_no_violations(&site);
}

/// Guards against an order to start on a worker that announced while the record was being written that it leaves.
#[test]
fn starts_nothing_on_worker_that_begins_to_drain_while_record_is_written() {
    let mut site = site(1, 3);
    site.record_time = secs(2);
    let gang_job = job(&site, "gang", URGENT, vec![gang(8, 2, 500)]);
    site.submit(gang_job);
    site.advance(secs(1));
    let mut info = site
        .workers
        .values()
        .next()
        .expect("there are workers")
        .info
        .clone();
    info.draining = true;
    let (leaving, now) = (info.key.id.clone(), site.now);
    site.scheduler.worker_listed(info, now);
    for _ in 0..100 {
        site.advance(Duration::from_millis(100));
        assert_eq!(site.workers[&leaving].tasks().count(), 0);
    }
    assert_eq!(site.state(&id("gang")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn starts_a_job_at_once_when_its_submission_time_is_in_the_future() {
    let mut site = site(1, 2);
    let mut ahead = job(&site, "a", BULK, vec![step(2, 1, 500)]);
    ahead.submitted_at = site.now.wall.after(secs(3));
    site.submit(ahead);
    site.advance(secs(1));
    assert!(site.begun_at.contains_key(&id("a")));
    assert!(site.settle(secs(5)));
    assert_no_violations(&site);
}

/// Guards against ends that are logged again with each report while the store is down and they cannot be acknowledged.
#[test]
fn ends_listed_before_are_known_while_store_is_down() {
    let mut site = site(1, 1);
    site.submit(job(&site, "bulk", BULK, vec![step(2, 1, 1000)]));
    site.advance(Duration::from_millis(500));
    site.inject_fault(SiteFault::StoreDown);
    site.advance(secs(1));
    let worker = site.workers.values().next().expect("there is a worker");
    assert_eq!(site.scheduler.recorded_end(&worker.info.key), EndNumber(2));
    let acknowledged = site.scheduler.acknowledgements(site.now);
    assert!(
        acknowledged
            .into_iter()
            .all(|sent| sent.through == EndNumber(0))
    );
    site.inject_fault(SiteFault::StoreUp);
    assert!(site.settle(secs(5)));
    assert_no_violations(&site);
}

/// Guards against a gang that begins again seconds after a lost start order, because reports that show that the run did not
/// start are requested too rarely.
#[rstest]
fn starts_gang_again_soon_after_lost_start_order(
    #[values(0, 300, 600, 900, 1200)] since_report_ms: u64,
) {
    let mut site = site(1, 4);
    site.advance(secs(3));
    site.advance(Duration::from_millis(since_report_ms));
    delay_orders(&mut site, Some(secs(60)));
    let submitted = site.now.wall;
    site.submit(job(&site, "urgent", URGENT, vec![gang(4, 8, 1000)]));
    site.advance(Duration::from_millis(50));
    delay_orders(&mut site, None);
    site.advance(secs(8));
    let begun = site.begun_at[&id("urgent")].since(submitted);
    assert!(begun < Duration::from_millis(2700), "{begun:?}");
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}
