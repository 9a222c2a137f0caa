//! How long a job waits for runs on workers that are gone: they do not report, and the list of workers lacks them.

mod support;

use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, assert_no_violations, first_worker, gang, id, ids, job, secs, site, step,
    worker,
};

/// Longer than a lease with its margins and the time until a silent worker is noticed.
const AFTER_LEASE: Duration = Duration::from_secs(8);
/// What callers are promised: no job is kept from running from 14 s after the end of all trouble on.
const LIMIT: Duration = Duration::from_secs(14);
const UNTIL_UNLISTED: Duration = Duration::from_secs(2);

/// Leaves orders to a worker unanswered; they are executed long after they are due.
fn leave_orders_unanswered(site: &mut SimulatedSite, id: &WorkerId) {
    let worker = site.workers.get_mut(id).expect("worker exists");
    worker.faults.order_delay = Some(secs(10));
}

/// Ends a worker for good. Its entry is removed from the list later.
fn lose(site: &mut SimulatedSite, id: &WorkerId) {
    site.workers.remove(id);
}

fn unlist(site: &mut SimulatedSite, id: &WorkerId) {
    site.scheduler.worker_unlisted(id);
}

/// The workers on which tasks of a job run.
fn workers_of(site: &SimulatedSite, job: &str) -> Vec<WorkerId> {
    let job = id(job);
    let has_task = |id: &&WorkerId| site.workers[*id].tasks().any(|task| task.step.job == job);
    site.workers.keys().filter(has_task).cloned().collect()
}

/// Submits a job whose start on the only worker gets no answer, and ends that worker. Another one joins.
fn lose_worker_of_unanswered_start(site: &mut SimulatedSite) {
    let lost = first_worker(site);
    leave_orders_unanswered(site, &lost);
    site.submit(job(site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(Duration::from_millis(300));
    lose(site, &lost);
    site.add_worker(worker(1, 0));
    site.advance(UNTIL_UNLISTED);
    unlist(site, &lost);
}

// Guards against a job that waits for what late copies of a start order may begin on a worker that is gone, for as long as such a run may last.
#[test]
fn job_waits_for_no_run_of_a_late_copy_on_a_worker_that_is_gone() {
    let mut site = site(1, 1);
    lose_worker_of_unanswered_start(&mut site);
    site.advance(LIMIT.saturating_sub(UNTIL_UNLISTED));
    assert_eq!(workers_of(&site, "a"), [worker(1, 0).info.key.id]);
    assert_no_violations(&site);
}

// Guards against a wait for a worker that is gone which each takeover begins anew.
#[rstest]
fn takeovers_begin_no_wait_anew_for_a_worker_that_is_gone(#[values(1, 2, 4)] takeovers: u32) {
    let mut site = site(1, 1);
    lose_worker_of_unanswered_start(&mut site);
    for _ in 0..takeovers {
        site.inject_fault(SiteFault::Takeover);
        site.advance(secs(1));
    }
    let rest = LIMIT.saturating_sub(UNTIL_UNLISTED);
    site.advance(rest.saturating_sub(secs(1) * takeovers));
    assert_eq!(workers_of(&site, "a"), [worker(1, 0).info.key.id]);
    assert_no_violations(&site);
}

// Guards against a gang that waits for longer than callers accept, since the start on one of its workers got no answer before that worker was
// gone, beside takeovers.
#[test]
fn gang_does_not_wait_for_the_lease_of_a_late_copy_on_a_member_that_is_gone() {
    let mut site = site(1, 3);
    site.allows_missing_peers = true;
    let lost = first_worker(&site);
    leave_orders_unanswered(&mut site, &lost);
    site.submit(job(&site, "a", BULK, vec![gang(3, ACCELERATORS, 30_000)]));
    site.advance(Duration::from_millis(300));
    lose(&mut site, &lost);
    site.add_worker(worker(3, 0));
    site.advance(UNTIL_UNLISTED);
    unlist(&mut site, &lost);
    site.inject_fault(SiteFault::Takeover);
    site.advance(LIMIT.saturating_sub(UNTIL_UNLISTED));
    assert_eq!(workers_of(&site, "a"), ids(&site));
    assert_no_violations(&site);
}

// Guards against a wait for a worker that is gone which each takeover begins anew, since no term lasts long enough to name it.
#[rstest]
fn short_terms_begin_no_wait_anew_for_a_worker_that_is_gone(#[values(1, 8)] takeovers: u32) {
    const TERM: Duration = Duration::from_millis(900);
    let mut site = site(1, 1);
    let lost = first_worker(&site);
    site.submit(job(&site, "a", BULK, vec![step(1, 4, 30_000)]));
    site.advance(secs(2));
    lose(&mut site, &lost);
    site.add_worker(worker(1, 0));
    for _ in 0..takeovers {
        site.inject_fault(SiteFault::Takeover);
        site.advance(TERM);
    }
    site.advance((AFTER_LEASE + secs(1)).saturating_sub(TERM * takeovers));
    assert_eq!(workers_of(&site, "a"), [worker(1, 0).info.key.id]);
    assert_no_violations(&site);
}

// Guards against a wait for the list that each takeover begins anew: the record says that the leases on a worker are over, and its entry was
// missing in each term.
#[test]
fn takeovers_do_not_begin_the_wait_for_an_entry_of_a_worker_anew() {
    let mut site = site(1, 1);
    lose_worker_of_unanswered_start(&mut site);
    let mut waited = UNTIL_UNLISTED;
    while waited < LIMIT {
        site.inject_fault(SiteFault::Takeover);
        site.advance(secs(1));
        waited += secs(1);
    }
    assert_eq!(workers_of(&site, "a"), [worker(1, 0).info.key.id]);
}
