//! How long the tasks of a worker that has fallen silent wait until they start elsewhere.
//!
//! Guards against waits that are too short for what a late copy of an order may have begun, and against waits that are longer than
//! that.

mod support;

use lycheeyard_jobs::{
    JobScheduler, Now, Order, RunNumber, StartAnswer, StartOrder, WorkerInfo, WorkerKey,
    WorkerReport,
};
use lycheeyard_protocol::{Incarnation, WorkerId};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{ACCELERATORS, BULK, assert_no_violations, gang, id, job, secs, site, step, worker};

/// Longer than the wait of runs whose start order was answered, which is one lease with its margins: 6.62 s.
const AFTER_LEASE: Duration = Duration::from_secs(7);
/// Shorter than the wait of runs whose start order got no answer: 15 s for its copies, and one lease.
const BEFORE_LATE_LEASE: Duration = Duration::from_secs(21);
const AFTER_LATE_LEASE: Duration = Duration::from_secs(23);

fn worker_ids(site: &SimulatedSite) -> Vec<WorkerId> {
    site.workers.keys().cloned().collect()
}

/// Leaves orders to a worker unanswered; they are executed long after they are due.
fn leave_orders_unanswered(site: &mut SimulatedSite, id: &WorkerId) {
    let worker = site.workers.get_mut(id).expect("worker exists");
    worker.faults.order_delay = Some(secs(10));
}

fn cut_off(site: &mut SimulatedSite, id: &WorkerId) {
    set_cut_off(site, id, true);
}

fn set_cut_off(site: &mut SimulatedSite, id: &WorkerId, is_cut_off: bool) {
    let worker = site.workers.get_mut(id).expect("worker exists");
    worker.faults.is_partitioned = is_cut_off;
}

/// The jobs that have tasks on a worker.
fn jobs_on(site: &SimulatedSite, id: &WorkerId) -> Vec<String> {
    let tasks = site.workers[id].tasks();
    tasks.map(|task| task.step.job.to_string()).collect()
}

// Guards against a wait for late copies that holds up the other runs of a silent worker: every copy of their orders was answered.
#[test]
fn only_the_run_whose_start_is_unanswered_waits_longer_than_the_lease() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    site.submit(job(&site, "answered", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    leave_orders_unanswered(&mut site, &silent);
    site.submit(job(&site, "unanswered", BULK, vec![step(1, 4, 30_000)]));
    site.advance(Duration::from_millis(200));
    assert_eq!(jobs_on(&site, &silent), ["answered"]);
    cut_off(&mut site, &silent);
    site.add_worker(worker(1, 0));
    let other = worker_ids(&site).remove(1);
    site.advance(AFTER_LEASE);
    assert_eq!(jobs_on(&site, &other), ["answered"]);
    site.advance(BEFORE_LATE_LEASE.saturating_sub(AFTER_LEASE));
    assert_eq!(jobs_on(&site, &other), ["answered"]);
    site.advance(AFTER_LATE_LEASE.saturating_sub(BEFORE_LATE_LEASE));
    assert_eq!(jobs_on(&site, &other), ["answered", "unanswered"]);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a run of the holder before that starts elsewhere while a late copy of its order may begin it on an incarnation that
// nobody has seen, also if its worker has reported it in this term; and against runs of this term that wait for those copies.
#[test]
fn only_the_run_of_the_former_term_waits_for_late_copies_of_its_order() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    site.submit(job(&site, "inherited", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    site.inject_fault(SiteFault::Takeover);
    site.submit(job(&site, "own", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    assert_eq!(jobs_on(&site, &silent), ["inherited", "own"]);
    cut_off(&mut site, &silent);
    site.add_worker(worker(1, 0));
    let other = worker_ids(&site).remove(1);
    site.advance(AFTER_LEASE);
    assert_eq!(jobs_on(&site, &other), ["own"]);
    site.advance(BEFORE_LATE_LEASE.saturating_sub(AFTER_LEASE));
    assert_eq!(jobs_on(&site, &other), ["own"]);
    site.advance(AFTER_LATE_LEASE.saturating_sub(BEFORE_LATE_LEASE));
    assert_eq!(jobs_on(&site, &other), ["inherited", "own"]);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a start without an answer that keeps the record from telling that the orders of the other tasks of its step were
// answered, so that a successor waits for late copies of these too.
#[test]
fn start_without_an_answer_makes_no_other_task_wait_after_a_takeover() {
    let mut site = site(1, 2);
    let ids = worker_ids(&site);
    leave_orders_unanswered(&mut site, &ids[0]);
    let tasks = step(2, ACCELERATORS, 60_000);
    site.submit(job(&site, "a", BULK, vec![tasks]));
    site.advance(Duration::from_millis(200));
    assert_eq!(jobs_on(&site, &ids[1]), ["a"]);
    cut_off(&mut site, &ids[0]);
    site.advance(secs(1));
    cut_off(&mut site, &ids[1]);
    site.inject_fault(SiteFault::Takeover);
    site.add_worker(worker(2, 0));
    site.add_worker(worker(3, 0));
    site.advance(AFTER_LEASE);
    let begun: Vec<String> = [2, 3]
        .into_iter()
        .flat_map(|number| jobs_on(&site, &worker(number, 0).info.key.id))
        .collect();
    assert_eq!(begun, ["a"]);
    site.advance(AFTER_LATE_LEASE);
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}

/// Lists an incarnation of a worker at another address than the present one has.
fn list_elsewhere(site: &mut SimulatedSite, id: &WorkerId, incarnation: u64) -> WorkerInfo {
    let mut info = site.workers[id].info.clone();
    info.key.incarnation = Incarnation(incarnation);
    info.address.set_port(info.address.port() + 1);
    site.scheduler.worker_listed(info.clone(), site.now);
    info
}

// Guards against tasks that wait for the end of their leases although their worker has started again at another address, which the
// list has.
#[test]
fn worker_that_has_started_again_is_asked_at_its_listed_address() {
    let mut site = site(1, 1);
    let id = worker_ids(&site).remove(0);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    let info = list_elsewhere(&mut site, &id, 2);
    site.workers.insert(id.clone(), SimulatedWorker::new(info));
    site.advance(secs(4));
    assert_eq!(jobs_on(&site, &id), ["a"]);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against runs that end since a report request failed while an outdated entry of the list names another address.
#[test]
fn run_continues_while_requests_fail_and_the_list_is_outdated() {
    let mut site = site(1, 1);
    let id = worker_ids(&site).remove(0);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    cut_off(&mut site, &id);
    list_elsewhere(&mut site, &id, 9);
    site.add_worker(worker(1, 0));
    site.advance(secs(4));
    set_cut_off(&mut site, &id, false);
    assert!(site.settle(secs(32)));
    assert_no_violations(&site);
}

// Guards against tasks that wait longer than for the lease of a silent worker, since the list names another incarnation of it that
// does not answer either.
#[test]
fn listing_of_unreachable_incarnation_lengthens_no_wait() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(1));
    cut_off(&mut site, &silent);
    list_elsewhere(&mut site, &silent, 2);
    site.add_worker(worker(1, 0));
    let other = worker_ids(&site).remove(1);
    site.advance(AFTER_LEASE);
    assert_eq!(jobs_on(&site, &other), ["a"]);
    assert_no_violations(&site);
}

// Guards against a gang that waits longer than for the leases of one term after takeovers in a row, since a worker of it is gone: all
// copies of its start orders were answered, which the records tell each successor.
#[rstest]
fn takeovers_lengthen_no_wait_for_answered_starts(
    #[values(1, 2, 3)] takeovers: usize,
    #[values(200, 1000, 4000)] started_before_ms: u64,
) {
    let mut site = site(1, 2);
    site.allows_missing_peers = true;
    let gone = worker_ids(&site).remove(1);
    site.submit(job(&site, "a", BULK, vec![gang(2, ACCELERATORS, 30_000)]));
    while !site.begun_at.contains_key(&id("a")) {
        site.advance(Duration::from_millis(10));
    }
    site.advance(Duration::from_millis(started_before_ms));
    cut_off(&mut site, &gone);
    site.add_worker(worker(2, 0));
    for _ in 0..takeovers {
        site.advance(secs(5));
        site.inject_fault(SiteFault::Takeover);
    }
    site.advance(AFTER_LEASE);
    let other = worker_ids(&site).remove(2);
    assert_eq!(jobs_on(&site, &other), ["a"]);
    assert_no_violations(&site);
}

// Guards against a wait for late copies that a takeover begins anew, although the time for them has passed before it: the worker was seen
// since.
#[test]
fn takeover_begins_no_wait_for_copies_that_are_too_old() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 60_000)]));
    while !site.begun_at.contains_key(&id("a")) {
        site.advance(Duration::from_millis(10));
    }
    // The record does not say yet that the start was answered.
    site.inject_fault(SiteFault::Takeover);
    site.advance(secs(18));
    cut_off(&mut site, &silent);
    site.add_worker(worker(1, 0));
    site.inject_fault(SiteFault::Takeover);
    let other = worker_ids(&site).remove(1);
    site.advance(AFTER_LEASE);
    assert_eq!(jobs_on(&site, &other), ["a"]);
    assert_no_violations(&site);
}

// Guards against an inherited run that starts elsewhere while a copy of its start order, which got no answer, may begin it on an
// incarnation that nobody has seen; and against a wait that is longer than for those copies and one lease.
#[test]
fn inherited_run_waits_for_unanswered_copies_of_its_order() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    leave_orders_unanswered(&mut site, &silent);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(Duration::from_millis(300));
    cut_off(&mut site, &silent);
    site.inject_fault(SiteFault::Takeover);
    site.add_worker(worker(1, 0));
    let other = worker_ids(&site).remove(1);
    site.advance(BEFORE_LATE_LEASE);
    assert!(jobs_on(&site, &other).is_empty());
    site.advance(AFTER_LATE_LEASE.saturating_sub(BEFORE_LATE_LEASE));
    assert_eq!(jobs_on(&site, &other), ["a"]);
    assert_no_violations(&site);
}

/// Plans and writes, and returns the start orders.
fn start_orders(scheduler: &mut JobScheduler, now: Now) -> Vec<StartOrder> {
    scheduler.tick(now);
    scheduler.plan(now);
    while let Some(batch) = scheduler.take_batch(10) {
        scheduler.batch_committed(batch, now);
    }
    let orders = scheduler.take_orders().into_iter();
    let starts = orders.filter_map(|order| match order {
        Order::Start(order) => Some(order),
        Order::Stop(_) | Order::Throttle(_) => None,
    });
    starts.collect()
}

fn report(worker: &WorkerKey, now: Now) -> WorkerReport {
    WorkerReport {
        worker: worker.clone(),
        polled_at: now.boot,
        received_at: now.boot,
        running: Vec::new(),
        ended: Vec::new(),
        is_partial: false,
    }
}

// Guards against a run that counts as lost with its worker's lease while the outcome of its start order is not known, as when this
// process was suspended meanwhile.
#[test]
fn run_waits_while_the_outcome_of_its_start_order_is_unknown() {
    let mut site = site(1, 1);
    let mut now = site.now;
    let silent = site.workers[&worker_ids(&site)[0]].info.key.clone();
    let job = job(&site, "a", BULK, vec![step(1, 4, 30_000)]);
    site.scheduler.add_job(job, None, now);
    let orders = start_orders(&mut site.scheduler, now);
    assert_eq!(orders[0].worker, silent);
    let other = worker(1, 0).info;
    site.scheduler.worker_listed(other.clone(), now);
    let ordered_at = now.boot;
    let starts_after = loop {
        now.boot = now.boot.after(Duration::from_millis(100));
        site.scheduler
            .worker_reported(&report(&other.key, now), now);
        let orders = start_orders(&mut site.scheduler, now);
        if let Some(order) = orders.first() {
            assert_eq!(order.worker, other.key);
            break now.boot.since(ordered_at);
        }
        assert!(!ordered_at.after(secs(60)).is_past(now.boot));
    };
    assert!(starts_after > BEFORE_LATE_LEASE, "{starts_after:?}");
}

// Guards against a gang that starts again, or in part, while one of its members may still be started by a late copy.
#[test]
fn gang_waits_as_a_whole_for_the_member_whose_start_is_unanswered() {
    let mut site = site(1, 2);
    site.allows_missing_peers = true;
    let [answers, silent] = worker_ids(&site).try_into().expect("two workers");
    leave_orders_unanswered(&mut site, &silent);
    site.submit(job(&site, "a", BULK, vec![gang(2, ACCELERATORS, 30_000)]));
    while !site.begun_at.contains_key(&id("a")) {
        site.advance(Duration::from_millis(10));
    }
    cut_off(&mut site, &answers);
    cut_off(&mut site, &silent);
    for number in [2, 3] {
        site.add_worker(worker(number, 0));
    }
    let others = worker_ids(&site).split_off(2);
    site.advance(BEFORE_LATE_LEASE);
    assert!(others.iter().all(|id| jobs_on(&site, id).is_empty()));
    site.advance(AFTER_LATE_LEASE.saturating_sub(BEFORE_LATE_LEASE));
    assert!(others.iter().all(|id| jobs_on(&site, id) == ["a"]));
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against an unanswered copy that holds up a run for ever: a worker that has answered a report request after the copies could
// be executed last has not started again before that.
#[test]
fn copy_that_is_too_old_does_not_lengthen_the_wait() {
    let mut site = site(1, 1);
    let silent = worker_ids(&site).remove(0);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 60_000)]));
    site.advance(Duration::from_millis(100));
    let task = site.workers[&silent].tasks().next().cloned();
    let task = task.expect("the task has begun");
    let key = site.workers[&silent].info.key.clone();
    let answer = StartAnswer::PresentByLaterCopy;
    site.scheduler
        .start_answered(&task, RunNumber(1), &key, answer, site.now);
    site.advance(secs(18));
    cut_off(&mut site, &silent);
    site.add_worker(worker(1, 0));
    let other = worker_ids(&site).remove(1);
    site.advance(AFTER_LEASE);
    assert_eq!(jobs_on(&site, &other), ["a"]);
    assert_no_violations(&site);
}
