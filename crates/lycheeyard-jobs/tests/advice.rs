//! Queues whose steps may run only on the workers that the advisor allows.
//!
//! The tests guard against tasks that start without a valid ticket, and against steps that wait because advice is
//! requested too late, too often, or for the wrong workers.

mod support;

use lycheeyard_jobs::{AdvicePolicy, SchedulingPolicy, Step};
use lycheeyard_protocol::{JobState, WorkerId};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, gang, id, job, organisation, policy, secs,
    site_with, step,
};

const ADVICE: AdvicePolicy = AdvicePolicy {
    decision_ms: 100,
    per_worker_ms: 5,
    validity_ms: 3000,
};

fn advised(queues: &[&str]) -> SchedulingPolicy {
    let mut policy = policy();
    for queue in queues {
        let queue = queue.parse().expect("queue name is valid");
        policy
            .queues
            .get_mut(&queue)
            .expect("queue is configured")
            .advice = Some(ADVICE);
    }
    policy
}

fn worker_id(number: usize) -> WorkerId {
    format!("w-{number:02}")
        .parse()
        .expect("worker name is valid")
}

fn deny(site: &mut SimulatedSite, numbers: impl IntoIterator<Item = usize>) {
    site.advisor.denied = numbers.into_iter().map(worker_id).collect();
}

#[test]
fn tasks_run_only_on_allowed_workers() {
    let mut site = site_with(2, 4, advised(&[ORDINARY]));
    deny(&mut site, [0, 1, 2, 5, 6]);
    site.submit(job(&site, "advised", ORDINARY, vec![step(24, 2, 1000)]));
    site.submit(job(&site, "free", BULK, vec![step(24, 1, 1000)]));
    for _ in 0..100 {
        site.advance(Duration::from_millis(100));
        for denied in &site.advisor.denied {
            let mut tasks = site.workers[denied].tasks();
            assert!(!tasks.any(|task| task.step.job == id("advised")));
        }
    }
    assert!(site.settle(secs(20)));
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

#[test]
fn step_waits_while_advisor_is_silent_and_starts_once_it_answers() {
    let mut site = site_with(1, 4, advised(&[ORDINARY]));
    site.advisor.is_silent = true;
    site.submit(job(&site, "advised", ORDINARY, vec![gang(4, 8, 1000)]));
    site.advance(secs(5));
    assert!(!site.begun_at.contains_key(&id("advised")));
    site.advisor.is_silent = false;
    assert!(site.settle(secs(6)));
    assert_no_violations(&site);
}

#[test]
fn valid_tickets_are_reused() {
    let mut site = site_with(1, 4, advised(&[ORDINARY]));
    // One task at a time fits on each worker, so the tasks start in several groups.
    site.submit(job(&site, "advised", ORDINARY, vec![step(12, 8, 500)]));
    assert!(site.settle(secs(10)));
    assert_eq!(site.advisor.request_sizes, [4]);
    assert_no_violations(&site);
}

#[test]
fn tickets_are_renewed_for_step_that_waited() {
    let mut site = site_with(1, 4, advised(&[ORDINARY]));
    site.submit(job(&site, "before", ORDINARY, vec![gang(4, 8, 8000)]));
    site.advance(secs(1));
    site.submit(job(&site, "after", ORDINARY, vec![gang(4, 8, 1000)]));
    let submitted = site.now.wall;
    assert!(site.settle(secs(20)));
    let took = site.ended_at[&id("after")].since(submitted);
    // The first job runs for 7 s more; a renewal takes 120 ms.
    assert!(took < Duration::from_millis(8500), "{took:?}");
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

#[test]
fn advice_requests_are_bounded_in_size() {
    let mut site = site_with(20, 8, advised(&[ORDINARY]));
    deny(&mut site, 0..150);
    site.submit(job(&site, "narrow", ORDINARY, vec![step(2, 8, 1000)]));
    assert!(site.settle(secs(20)));
    assert!(site.advisor.request_sizes.iter().all(|&asked| asked <= 30));
    site.submit(job(&site, "wide", ORDINARY, vec![step(94, 1, 1000)]));
    assert!(site.settle(secs(60)));
    assert!(site.advisor.request_sizes.iter().all(|&asked| asked <= 100));
    assert_no_violations(&site);
}

#[test]
fn gang_starts_on_rack_that_is_allowed_to_run_all_of_it() {
    let mut site = site_with(3, 4, advised(&[ORDINARY]));
    deny(&mut site, [0, 5, 6]);
    let together = Step {
        same_rack: true,
        ..gang(4, 8, 1000)
    };
    let submitted = site.now.wall;
    site.submit(job(&site, "advised", ORDINARY, vec![together]));
    assert!(site.settle(secs(10)));
    let took = site.ended_at[&id("advised")].since(submitted);
    assert!(took < secs(2), "{took:?}");
    assert_no_violations(&site);
}

#[test]
fn guarantee_is_reclaimed_on_workers_that_the_owner_may_use() {
    let mut policy = advised(&[URGENT]);
    policy.guarantees.insert(organisation("owner"), 16);
    let mut site = site_with(1, 4, policy);
    deny(&mut site, [0]);
    site.submit(job(&site, "bulk", BULK, vec![step(32, 1, 30_000)]));
    site.advance(secs(1));
    let mut owner = job(&site, "owner", URGENT, vec![gang(2, 8, 1000)]);
    owner.organisation = organisation("owner");
    let submitted = site.now.wall;
    site.submit(owner);
    site.advance(secs(3));
    let begun = site.begun_at[&id("owner")].since(submitted);
    assert!(begun < Duration::from_millis(1500), "{begun:?}");
    assert!(site.settle(secs(120)));
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

#[test]
fn step_that_needs_many_requests_does_not_block_advice_for_others() {
    let mut site = site_with(20, 8, advised(&[ORDINARY, BULK]));
    deny(&mut site, 2..160);
    // This job can never run: two workers are allowed, and it needs three at once.
    site.submit(job(&site, "never", ORDINARY, vec![gang(3, 8, 1000)]));
    site.advance(Duration::from_millis(400));
    let submitted = site.now.wall;
    site.submit(job(&site, "small", BULK, vec![step(1, 1, 500)]));
    site.advance(secs(3));
    assert_eq!(site.state(&id("small")), JobState::Succeeded);
    // Two requests of 250 ms each, and the run.
    let took = site.ended_at[&id("small")].since(submitted);
    assert!(took < Duration::from_millis(1200), "{took:?}");
    assert_no_violations(&site);
}

// Guards against requests for the most urgent steps which fail each time, so that none is made for the others.
#[rstest]
#[case(1, secs(3))]
#[case(3, secs(14))]
fn step_whose_requests_fail_does_not_block_advice_for_others(
    #[case] unanswered: usize,
    #[case] limit: Duration,
) {
    let mut site = site_with(1, 4, advised(&[ORDINARY, BULK]));
    for number in 0..unanswered {
        let name = format!("unanswered-{number}");
        site.advisor.unanswered_jobs.insert(id(&name));
        let step = step(1, 1, 60_000);
        site.submit(job(&site, &name, ORDINARY, vec![step]));
    }
    site.submit(job(&site, "answered", BULK, vec![step(1, 1, 60_000)]));
    site.advance(limit);
    assert!(site.begun_at.contains_key(&id("answered")));
    assert_no_violations(&site);
}

#[test]
fn start_orders_arrive_before_their_tickets_expire() {
    // With some of these run times the third group of tasks starts just when the tickets expire.
    for run_ms in (900..1100).step_by(10) {
        let mut site = site_with(1, 4, advised(&[ORDINARY]));
        site.submit(job(&site, "advised", ORDINARY, vec![step(16, 8, run_ms)]));
        assert!(site.settle(secs(20)));
        assert_eq!(site.advisor.refused_tickets, 0, "{run_ms} ms");
        assert_no_violations(&site);
    }
}

#[test]
fn tickets_with_short_validity_are_usable() {
    let mut policy = advised(&[ORDINARY]);
    let queue = ORDINARY.parse().expect("queue name is valid");
    policy
        .queues
        .get_mut(&queue)
        .expect("queue is configured")
        .advice = Some(AdvicePolicy {
        validity_ms: 300,
        ..ADVICE
    });
    let mut site = site_with(1, 4, policy);
    site.submit(job(&site, "advised", ORDINARY, vec![step(12, 8, 500)]));
    assert!(site.settle(secs(20)));
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

#[test]
fn new_leaseholder_requests_advice_again() {
    let mut site = site_with(1, 4, advised(&[ORDINARY]));
    site.submit(job(&site, "advised", ORDINARY, vec![step(12, 8, 1500)]));
    site.advance(secs(1));
    site.inject_fault(SiteFault::Takeover);
    assert!(site.settle(secs(30)));
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

#[test]
fn restarted_worker_needs_new_ticket() {
    let mut site = site_with(1, 2, advised(&[ORDINARY]));
    site.submit(job(&site, "advised", ORDINARY, vec![step(8, 8, 800)]));
    site.advance(secs(1));
    let mut restarted = support::worker(0, 0);
    restarted.info.key.incarnation.0 += 1;
    site.add_worker(restarted);
    assert!(site.settle(secs(20)));
    assert_eq!(site.advisor.refused_tickets, 0);
    assert_no_violations(&site);
}

/// A site whose urgent jobs need advice. One of them fills it, and another one has tickets that the advisor does not renew.
fn site_without_renewals() -> SimulatedSite {
    let mut policy = advised(&[URGENT]);
    policy.guarantees.insert(organisation("owner"), 32);
    let mut site = site_with(1, 4, policy);
    for (name, run_ms) in [("first", 6000), ("second", 60_000)] {
        let mut owned = job(&site, name, URGENT, vec![gang(4, 8, run_ms)]);
        owned.organisation = organisation("owner");
        site.submit(owned);
        site.advance(secs(1));
    }
    site.advisor.is_silent = true;
    while !site.ended_at.contains_key(&id("first")) {
        site.advance(Duration::from_millis(50));
    }
    site
}

// Guards against room that is reserved again and again for a step whose tickets are not renewed.
#[test]
fn step_starts_beside_room_that_is_held_without_tickets() {
    let mut site = site_without_renewals();
    let submitted = site.now.wall;
    site.submit(job(&site, "waits", ORDINARY, vec![step(1, 1, 1000)]));
    site.advance(secs(14));
    let begun = site.begun_at.get(&id("waits"));
    let begun = begun.map(|at| at.since(submitted));
    assert!(begun.is_some_and(|begun| begun < secs(3)), "{begun:?}");
    assert_no_violations(&site);
}

// Guards against a step for which no room is held until its tickets are renewed, which is never requested for full workers.
#[test]
fn guarantee_is_reclaimed_after_a_time_without_renewals() {
    let mut site = site_without_renewals();
    site.submit(job(&site, "bulk", BULK, vec![step(32, 1, 60_000)]));
    site.advance(secs(10));
    assert!(site.begun_at.contains_key(&id("bulk")));
    site.advisor.is_silent = false;
    site.advance(Duration::from_millis(3400));
    assert!(site.begun_at.contains_key(&id("second")));
    assert_no_violations(&site);
}
