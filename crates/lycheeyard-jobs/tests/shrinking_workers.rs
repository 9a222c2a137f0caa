//! Workers whose capacity shrinks and grows again while they run.
//!
//! A worker that does not reject what exceeds its capacity carries out each start, so that the scheduler must not order one. A
//! run that is being stopped still counts.

mod support;

use lycheeyard_jobs::{Resources, SchedulingPolicy, Step, StepKey};
use lycheeyard_protocol::{JobState, WorkerId};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{
    ACCELERATORS, BULK, URGENT, assert_no_violations, gang, id, job, organisation, policy, secs,
    site_with, step,
};

/// Longer than a capacity that has shrunk takes to count.
const PAST_GRACE: Duration = Duration::from_secs(5);

fn worker_id(number: usize) -> WorkerId {
    format!("w-{number:02}")
        .parse()
        .expect("worker ID is valid")
}

/// A site of one rack whose workers carry out each start, whether it fits or not.
fn lenient_site(workers: usize) -> SimulatedSite {
    lenient_site_with(workers, policy())
}

fn lenient_site_with(workers: usize, policy: SchedulingPolicy) -> SimulatedSite {
    let mut site = site_with(1, workers, policy);
    for worker in site.workers.values_mut() {
        worker.enforces_capacity = false;
    }
    site
}

fn guaranteed(accelerators: u32) -> SchedulingPolicy {
    let mut policy = policy();
    let organisation = organisation("north-survey");
    policy.guarantees.insert(organisation, accelerators);
    policy
}

fn accelerators(site: &SimulatedSite, worker: &WorkerId, accelerators: u32) -> Resources {
    Resources {
        accelerators,
        ..site.workers[worker].info.capacity
    }
}

/// Changes the number of accelerators of a worker; the scheduler is not told.
fn resize(site: &mut SimulatedSite, worker: usize, count: u32) {
    let worker = worker_id(worker);
    let capacity = accelerators(site, &worker, count);
    site.resize_worker(&worker, capacity);
}

/// Changes the number of accelerators of a worker and lists it.
fn resize_and_list(site: &mut SimulatedSite, worker: usize, count: u32) {
    resize(site, worker, count);
    site.list_worker(&worker_id(worker));
}

fn used(site: &SimulatedSite, worker: usize) -> u32 {
    site.workers[&worker_id(worker)].used().accelerators
}

/// The time until the first task of a job runs.
fn time_to_start(site: &mut SimulatedSite, name: &str, limit: Duration) -> Duration {
    let from = site.now.boot;
    while !site.begun_at.contains_key(&id(name)) {
        assert!(site.now.boot.since(from) < limit, "{name} does not start");
        site.advance(Duration::from_millis(10));
    }
    site.now.boot.since(from)
}

// Guards against a start on a worker that is over its capacity because it has shrunk: a task that needs none of the resource that
// is exceeded counted as fitting.
#[rstest]
fn nothing_starts_on_a_worker_that_has_shrunk_below_its_runs(#[values(0, 1)] demand: u32) {
    let mut site = lenient_site(1);
    site.submit(job(&site, "a", BULK, vec![step(8, 1, 12_000)]));
    site.advance(secs(1));
    resize_and_list(&mut site, 0, 4);
    site.advance(PAST_GRACE);
    site.submit(job(&site, "b", URGENT, vec![step(2, demand, 500)]));
    site.advance(secs(2));
    assert_no_violations(&site);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against work that waits for a worker that is over its capacity, since it needs none of the resource that is exceeded there,
// although another worker has room.
#[rstest]
fn work_starts_beside_a_worker_that_is_over_its_capacity(#[values(BULK, URGENT)] queue: &str) {
    let mut site = lenient_site(2);
    site.submit(job(&site, "a", BULK, vec![step(8, 1, 12_000)]));
    site.advance(secs(1));
    let shrunk = usize::from(used(&site, 0) == 0);
    resize_and_list(&mut site, shrunk, 4);
    site.advance(PAST_GRACE);
    site.submit(job(&site, "b", queue, vec![step(2, 0, 500)]));
    time_to_start(&mut site, "b", secs(1));
    assert_no_violations(&site);
}

// Guards against runs that are stopped, or restarted, because their worker has shrunk below what it runs.
#[test]
fn runs_go_on_when_their_worker_shrinks_below_them() {
    let mut site = lenient_site(1);
    site.submit(job(&site, "a", BULK, vec![step(8, 1, 12_000)]));
    site.advance(secs(1));
    resize_and_list(&mut site, 0, 4);
    site.advance(PAST_GRACE);
    assert_eq!(used(&site, 0), 8);
    assert!(site.settle(secs(12)));
    assert_no_violations(&site);
}

// Guards against a start whose record took so long to write that its worker has shrunk meanwhile.
#[rstest]
fn planned_starts_are_withdrawn_when_their_worker_has_shrunk(
    #[values(0, 2, 4)] count: u32,
    #[values(1, 2)] workers: usize,
) {
    let mut site = lenient_site(workers);
    site.inject_fault(SiteFault::StoreDown);
    let tasks = ACCELERATORS * u32::try_from(workers).expect("number is small");
    site.submit(job(&site, "a", BULK, vec![step(tasks, 1, 8000)]));
    site.advance(Duration::from_millis(500));
    resize_and_list(&mut site, 0, count);
    site.advance(PAST_GRACE);
    site.inject_fault(SiteFault::StoreUp);
    site.advance(secs(2));
    assert_no_violations(&site);
    // Starts that still fit are not withdrawn.
    assert_eq!(used(&site, 0), count);
    resize_and_list(&mut site, 0, ACCELERATORS);
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against the start of a part of a gang whose other members were withdrawn, since their worker has shrunk.
#[test]
fn gangs_are_withdrawn_as_a_whole_when_a_worker_has_shrunk() {
    let mut site = lenient_site(3);
    site.inject_fault(SiteFault::StoreDown);
    site.submit(job(&site, "a", BULK, vec![gang(16, 1, 3000)]));
    site.advance(Duration::from_millis(500));
    resize_and_list(&mut site, 0, 7);
    site.advance(PAST_GRACE);
    site.inject_fault(SiteFault::StoreUp);
    site.advance(secs(2));
    assert_eq!(used(&site, 0) + used(&site, 1) + used(&site, 2), 16);
    assert!(site.settle(secs(20)));
    assert_no_violations(&site);
}

// Guards against a start that takes the resources of runs that are being stopped as free while the capacity changes.
#[rstest]
fn runs_that_are_being_stopped_count_while_a_worker_shrinks_and_grows(
    #[values(0, 4, 7)] count: u32,
    #[values(10, 50, 200, 2000, 5000)] grows_after_ms: u64,
) {
    let mut site = lenient_site_with(1, guaranteed(8));
    site.submit(job(&site, "a", BULK, vec![step(8, 1, 20_000)]));
    site.advance(secs(1));
    site.submit(job(&site, "b", URGENT, vec![gang(4, 1, 1000)]));
    site.advance(Duration::from_millis(20));
    resize_and_list(&mut site, 0, count);
    site.advance(Duration::from_millis(grows_after_ms));
    resize_and_list(&mut site, 0, ACCELERATORS);
    time_to_start(&mut site, "b", secs(2));
    assert!(site.settle(secs(120)));
    assert_no_violations(&site);
}

// Guards against guaranteed work that waits for a reservation on a worker that has become too small for it, although other runs
// could make room.
#[rstest]
fn reservation_is_dropped_when_its_worker_has_become_too_small(
    #[values(0, 4, 7)] count: u32,
    #[values(true, false)] is_gang: bool,
) {
    let mut site = lenient_site_with(2, guaranteed(8));
    site.submit(job(&site, "a", BULK, vec![step(16, 1, 60_000)]));
    site.advance(secs(1));
    let tasks = if is_gang {
        gang(2, 4, 1000)
    } else {
        step(1, 8, 1000)
    };
    site.submit(job(&site, "b", URGENT, vec![tasks]));
    site.advance(Duration::from_millis(20));
    let reserved = stopped_worker(&site).expect("runs are stopped");
    resize_and_list(&mut site, reserved, count);
    let waited = time_to_start(&mut site, "b", secs(10));
    assert!(waited < secs(2), "{waited:?}");
    assert_no_violations(&site);
}

/// The worker of which the scheduler stops runs.
fn stopped_worker(site: &SimulatedSite) -> Option<usize> {
    (0..site.workers.len()).find(|&number| {
        let worker = &site.workers[&worker_id(number)];
        worker.ending_runs() > 0
    })
}

// Guards against starts by a successor on a worker whose inherited runs exceed its capacity, whichever list it reads first.
#[rstest]
fn successor_starts_nothing_where_inherited_runs_exceed_the_capacity(
    #[values(true, false)] is_older_list: bool,
    #[values(100, 1000, 4000)] listed_after_ms: u64,
) {
    let mut site = lenient_site(1);
    site.submit(job(&site, "a", BULK, vec![step(6, 1, 12_000)]));
    site.advance(secs(1));
    site.submit(job(&site, "b", URGENT, vec![step(4, 1, 500)]));
    if is_older_list {
        site.inject_fault(SiteFault::Takeover);
        resize(&mut site, 0, 4);
    } else {
        resize(&mut site, 0, 4);
        site.inject_fault(SiteFault::Takeover);
    }
    site.advance(Duration::from_millis(listed_after_ms));
    site.list_worker(&worker_id(0));
    assert!(site.settle(secs(60)));
    assert_no_violations(&site);
}

// Guards against a successor that starts work beside a run whose start was under way at the takeover.
#[rstest]
fn successor_counts_starts_that_were_under_way(
    #[values(0, 20, 100, 500)] taken_over_after_ms: u64,
    #[values(0, 500, 3000)] order_delay_ms: u64,
) {
    let mut site = lenient_site(2);
    if order_delay_ms > 0 {
        for worker in site.workers.values_mut() {
            worker.faults.order_delay = Some(Duration::from_millis(order_delay_ms));
        }
    }
    site.submit(job(&site, "a", BULK, vec![step(16, 1, 9000)]));
    site.advance(Duration::from_millis(taken_over_after_ms));
    resize(&mut site, 0, 4);
    site.inject_fault(SiteFault::Takeover);
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = None;
    }
    site.submit(job(&site, "b", URGENT, vec![step(4, 2, 500)]));
    assert!(site.settle(secs(90)));
    assert_no_violations(&site);
}

// Guards against work that is started again and again on a worker that refuses it, since its entry does not show yet that it has
// shrunk, while another worker has room.
#[rstest]
fn work_refused_for_lack_of_room_starts_elsewhere(#[values(true, false)] is_gang: bool) {
    let mut site = site_with(1, 3, policy());
    site.allows_missing_peers = true;
    for number in 0..2 {
        resize(&mut site, number, 0);
    }
    let tasks = if is_gang {
        gang(2, 1, 1000)
    } else {
        step(4, 1, 1000)
    };
    site.submit(job(&site, "a", URGENT, vec![tasks]));
    assert!(site.settle(secs(6)), "refused {}", site.refused_starts);
    assert!(site.refused_starts < 20, "refused {}", site.refused_starts);
    assert_no_violations(&site);
}

// Guards against a long-running task that is not restarted elsewhere when its worker has no room for it any more.
#[test]
fn long_running_task_moves_when_its_worker_has_shrunk_and_it_fails() {
    let mut site = lenient_site(2);
    let web = Step {
        long_running: true,
        ..step(2, 4, 500)
    };
    site.submit(job(&site, "web", BULK, vec![web]));
    site.advance(secs(3));
    resize_and_list(&mut site, 0, 2);
    site.advance(PAST_GRACE);
    let key = StepKey {
        job: id("web"),
        occurrence: 0,
        step: 0,
    };
    assert_eq!(site.ready_tasks(&key), 2);
    for index in 0..2 {
        site.end_run(&key.task(index), lycheeyard_jobs::RunEnd::Failed);
    }
    site.advance(secs(8));
    assert_eq!(site.ready_tasks(&key), 2);
    assert_eq!(used(&site, 0), 0);
    assert_eq!(site.state(&id("web")), JobState::Running);
    assert_no_violations(&site);
}
