//! Random jobs and random faults in virtual time: no invariant of the scheduler is violated, and all jobs end.
//!
//! Guards against failures that need several faults at once, such as a takeover while orders are late and the store
//! is down.

mod support;

use lycheeyard_jobs::{AdvicePolicy, SchedulingPolicy, Step, StepKey};
use lycheeyard_standin::SimulatedSite;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::time::Duration;
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, id, ids, job, list_workers, organisation, policy,
    random::{PER_RACK, RACKS, clear_faults, inject_random_fault, submit_random},
    restart, secs, site_with, step,
};

const TICKS: u64 = 150;
const TICK: Duration = Duration::from_millis(200);

/// A round skips steps that cannot fit because a smaller step did not fit; it must not skip a step that fits.
#[rstest]
fn places_nothing_in_a_second_round_right_after_the_first(
    #[values(21, 22, 23, 24, 25, 26)] seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = site_with(RACKS, PER_RACK, policy());
    for number in 0..60 {
        submit_random(&mut site, &mut rng, number);
        site.advance(Duration::from_millis(60));
        let mut scheduler = site.scheduler.clone();
        scheduler.request_plan();
        scheduler.plan(site.now);
        let once = scheduler.stats().runs;
        scheduler.request_plan();
        scheduler.plan(site.now);
        assert_eq!(scheduler.stats().runs, once, "seed {seed}, job {number}");
    }
}

#[rstest]
fn holds_invariants_with_guarantees(
    #[values(
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 31, 32, 33, 34, 35,
        36, 37, 38, 39, 40
    )]
    seed: u64,
) {
    let mut policy = policy();
    policy.guarantees.insert(organisation("north"), 16);
    run_random_load(seed, policy);
}

#[rstest]
fn holds_invariants_when_the_advisor_decides(
    #[values(
        51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62, 63, 64, 65, 66, 67, 68, 69, 70
    )]
    seed: u64,
) {
    let mut policy = policy();
    policy.guarantees.insert(organisation("north"), 16);
    for queue in [URGENT, BULK] {
        let queue = queue.parse().expect("queue ID is valid");
        policy
            .queues
            .get_mut(&queue)
            .expect("policy has the queue")
            .advice = Some(AdvicePolicy {
            decision_ms: 60,
            per_worker_ms: 5,
            validity_ms: 3000,
        });
    }
    run_random_load(seed, policy);
}

/// Tasks that serve requests run all the time, and best-effort tasks run beside them.
#[rstest]
fn holds_invariants_beside_long_running_tasks(
    #[values(
        71, 72, 73, 74, 75, 76, 77, 78, 79, 80, 81, 82, 83, 84, 85, 86, 87, 88, 89, 90
    )]
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = site_with(RACKS, PER_RACK, policy());
    site.allows_missing_peers = true;
    let web = Step {
        long_running: true,
        target_tail_ms: Some(100),
        ..step(6, 1, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![web]));
    let mut submitted = 0;
    for tick in 0..TICKS {
        if rng.random_bool(0.2) {
            submit_random(&mut site, &mut rng, submitted);
            submitted += 1;
        }
        if rng.random_bool(0.1) {
            let mut best_effort = Step {
                best_effort: true,
                ..step(rng.random_range(1..8), 0, rng.random_range(500..6000))
            };
            best_effort.demand.cpu_milli = 16_000;
            let new = job(&site, &format!("fill-{tick}"), BULK, vec![best_effort]);
            site.submit(new);
        }
        if rng.random_bool(0.1) {
            let number = rng.random_range(0..RACKS * PER_RACK);
            let worker = site
                .workers
                .values_mut()
                .nth(number)
                .expect("worker exists");
            worker.base_tail_ms = rng.random_range(10..120);
            worker.interference_ms = rng.random_range(0..60);
        }
        if rng.random_bool(0.06) {
            inject_random_fault(&mut site, &mut rng);
        }
        site.advance(TICK);
    }
    clear_faults(&mut site);
    for worker in site.workers.values_mut() {
        worker.base_tail_ms = 10;
    }
    site.advance(secs(20));
    let web = StepKey {
        job: id("web"),
        occurrence: 0,
        step: 0,
    };
    assert_eq!(site.ready_tasks(&web), 6, "seed {seed}");
    site.cancel(&id("web"));
    assert!(site.settle(secs(300)), "seed {seed}: jobs do not end");
    assert_no_violations(&site);
}

// Guards against tasks that run twice or get lost when workers start again under their ids, which the scheduler learns
// later, beside late orders, takeovers and outages of the store.
#[rstest]
fn holds_invariants_when_workers_start_again(
    #[values(
        101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112, 113, 114, 115, 116, 117, 118,
        119, 120, 121, 122, 123, 124, 125, 126, 127, 128, 129, 130
    )]
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = site_with(RACKS, PER_RACK, policy());
    site.allows_missing_peers = true;
    let mut submitted = 0;
    for _ in 0..TICKS {
        if rng.random_bool(0.4) {
            submit_random(&mut site, &mut rng, submitted);
            submitted += 1;
        }
        if rng.random_bool(0.1) {
            inject_random_fault(&mut site, &mut rng);
        }
        if rng.random_bool(0.1) {
            start_random_worker_again(&mut site, &mut rng);
        }
        if rng.random_bool(0.5) {
            list_workers(&mut site);
        }
        site.advance(TICK);
    }
    clear_faults(&mut site);
    list_workers(&mut site);
    assert!(site.settle(secs(300)), "seed {seed}: jobs do not end");
    assert_no_violations(&site);
}

/// Starts a worker again under its id. The scheduler is not told, and late orders are still carried out.
fn start_random_worker_again(site: &mut SimulatedSite, rng: &mut SmallRng) {
    let number = rng.random_range(0..RACKS * PER_RACK);
    let id = ids(site).swap_remove(number);
    restart(site, &id);
}

fn run_random_load(seed: u64, policy: SchedulingPolicy) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = site_with(RACKS, PER_RACK, policy);
    site.allows_missing_peers = true;
    let mut submitted = 0;
    for _ in 0..TICKS {
        if rng.random_bool(0.3) {
            submit_random(&mut site, &mut rng, submitted);
            submitted += 1;
        }
        if rng.random_bool(0.08) {
            inject_random_fault(&mut site, &mut rng);
        }
        if site.has_advice() && rng.random_bool(0.03) {
            site.advisor.is_silent = !site.advisor.is_silent;
        }
        if submitted > 0 && rng.random_bool(0.02) {
            site.cancel(&id(&format!("job-{}", rng.random_range(0..submitted))));
        }
        site.advance(TICK);
    }
    clear_faults(&mut site);
    assert!(site.settle(secs(300)), "seed {seed}: jobs do not end");
    assert_eq!(site.advisor.refused_tickets, 0, "seed {seed}");
    assert_no_violations(&site);
}
