//! Best-effort tasks on workers that also run tasks that serve requests.
//!
//! Best-effort tasks use the CPU time that other tasks leave. The tests guard against response times over their limit
//! because the throttle reacts too late or is lost at a takeover, and against tasks that stay throttled without need.

mod support;

use lycheeyard_jobs::{Step, StepKey};
use lycheeyard_protocol::{JobState, Percent};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_no_violations, id, job, secs, site, step};

const TARGET_MS: u64 = 100;

fn serving(tasks: u32) -> Step {
    Step {
        target_tail_ms: Some(TARGET_MS),
        long_running: true,
        ..step(tasks, 1, 500)
    }
}

fn best_effort(tasks: u32, expected_ms: u64) -> Step {
    let mut step = Step {
        best_effort: true,
        checkpointing: true,
        ..step(tasks, 0, expected_ms)
    };
    step.demand.cpu_milli = 20_000;
    step
}

fn first_step(name: &str) -> StepKey {
    StepKey {
        job: id(name),
        occurrence: 0,
        step: 0,
    }
}

fn set_load(site: &mut SimulatedSite, base_tail_ms: u64, interference_ms: u64) {
    for worker in site.workers.values_mut() {
        worker.base_tail_ms = base_tail_ms;
        worker.interference_ms = interference_ms;
    }
}

/// Returns the CPU shares of the best-effort runs of a job.
fn cpu_shares(site: &SimulatedSite, name: &str) -> Vec<Percent> {
    let workers = site.workers.values();
    let shares = workers.flat_map(|worker| {
        let tasks = worker.tasks().filter(|task| task.step.job == id(name));
        tasks.filter_map(|task| worker.cpu_share(task))
    });
    shares.collect()
}

#[test]
fn best_effort_task_reserves_no_cpu_time() {
    let mut site = site(1, 2);
    let mut whole = step(2, 1, 3000);
    whole.demand.cpu_milli = 32_000;
    site.submit(job(&site, "whole", ORDINARY, vec![whole]));
    site.submit(job(&site, "fill", BULK, vec![best_effort(4, 1000)]));
    site.advance(secs(2));
    assert_eq!(site.state(&id("fill")), JobState::Succeeded);
    assert!(site.settle(secs(5)));
    assert_no_violations(&site);
}

#[test]
fn best_effort_task_is_throttled_while_response_times_are_near_limit_and_then_released() {
    let mut site = site(1, 1);
    set_load(&mut site, 40, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.advance(secs(2));
    site.submit(job(&site, "fill", BULK, vec![best_effort(4, 60_000)]));
    site.advance(Duration::from_millis(200));
    for _ in 0..98 {
        site.advance(Duration::from_millis(100));
        assert!(
            site.workers
                .values()
                .all(|worker| worker.tail_ms() < TARGET_MS)
        );
    }
    let throttled = cpu_shares(&site, "fill");
    assert_eq!(throttled.len(), 4);
    assert!(
        throttled.iter().all(|share| (5..60).contains(&share.0)),
        "{throttled:?}"
    );
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tail_ms() < TARGET_MS)
    );
    set_load(&mut site, 20, 5);
    site.advance(secs(6));
    assert_eq!(cpu_shares(&site, "fill"), [Percent(100); 4]);
    site.cancel(&id("fill"));
    assert_no_violations(&site);
}

#[test]
fn best_effort_task_runs_at_full_speed_once_no_run_serves_requests() {
    let mut site = site(1, 1);
    set_load(&mut site, 80, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![best_effort(2, 8000)]));
    site.advance(secs(4));
    site.cancel(&id("web"));
    site.advance(secs(3));
    assert!(
        cpu_shares(&site, "fill")
            .iter()
            .all(|share| *share == Percent(100))
    );
    assert_no_violations(&site);
}

#[test]
fn best_effort_task_moves_when_its_worker_leaves_it_no_cpu_time() {
    let mut site = site(1, 2);
    set_load(&mut site, 95, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(1)]));
    site.advance(secs(1));
    let mut other = step(1, 1, 6000);
    other.demand.cpu_milli = 32_000;
    other.demand.memory_mb = 131_000;
    site.submit(job(&site, "whole", ORDINARY, vec![other]));
    site.advance(secs(1));
    site.submit(job(&site, "fill", BULK, vec![best_effort(1, 2000)]));
    assert!(site.progress(&id("fill")).is_none());
    site.advance(secs(30));
    assert_eq!(site.state(&id("fill")), JobState::Succeeded);
    assert_no_violations(&site);
}

#[test]
fn new_leaseholder_keeps_best_effort_tasks_throttled() {
    let mut site = site(1, 1);
    set_load(&mut site, 60, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![best_effort(4, 60_000)]));
    site.advance(secs(6));
    site.inject_fault(SiteFault::Takeover);
    for _ in 0..50 {
        site.advance(Duration::from_millis(100));
        assert!(
            site.workers
                .values()
                .all(|worker| worker.tail_ms() < 2 * TARGET_MS)
        );
    }
    assert_no_violations(&site);
}

#[test]
fn late_throttle_orders_are_corrected_quickly() {
    let mut site = site(1, 1);
    set_load(&mut site, 20, 10);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![best_effort(4, 90_000)]));
    site.advance(secs(2));
    // The orders that raise the CPU share are executed only after the load has risen and all tasks are throttled.
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = Some(secs(8));
    }
    site.advance(secs(2));
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = None;
    }
    set_load(&mut site, 95, 60);
    site.advance(secs(4));
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tail_ms() < TARGET_MS)
    );
    site.advance(secs(2));
    // The runs that get no CPU time are stopped only later.
    assert_eq!(cpu_shares(&site, "fill").len(), 4);
    let mut over_limit = Duration::ZERO;
    let tick = Duration::from_millis(50);
    for _ in 0..200 {
        site.advance(tick);
        if site
            .workers
            .values()
            .any(|worker| worker.tail_ms() > TARGET_MS)
        {
            over_limit += tick;
        }
    }
    // The next report of a worker corrects a late order.
    assert!(over_limit < secs(1), "{over_limit:?} over the limit");
    assert_no_violations(&site);
}

#[test]
fn new_leaseholder_repeats_unconfirmed_throttle_order() {
    let mut site = site(1, 1);
    set_load(&mut site, 60, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![best_effort(2, 60_000)]));
    site.advance(secs(4));
    site.cancel(&id("web"));
    site.advance(Duration::from_millis(50));
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = Some(secs(60));
    }
    site.advance(secs(1));
    assert_eq!(site.ready_tasks(&first_step("web")), 0);
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = None;
    }
    site.inject_fault(SiteFault::Takeover);
    site.advance(secs(3));
    assert_eq!(cpu_shares(&site, "fill"), [Percent(100); 2]);
    assert_no_violations(&site);
}

#[test]
fn best_effort_task_starts_only_where_serving_runs_leave_cpu_time() {
    let mut site = site(1, 1);
    set_load(&mut site, 95, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(1)]));
    site.submit(job(&site, "first", BULK, vec![best_effort(1, 2000)]));
    site.advance(secs(12));
    let submitted = site.now.wall;
    site.submit(job(&site, "second", BULK, vec![best_effort(1, 2000)]));
    site.advance(secs(5));
    assert!(!site.begun_at.contains_key(&id("second")));
    set_load(&mut site, 20, 30);
    assert!(site.state(&id("second")) == JobState::Queued);
    site.advance(secs(20));
    assert_eq!(site.state(&id("second")), JobState::Succeeded);
    assert!(site.ended_at[&id("second")].since(submitted) < secs(20));
    assert_no_violations(&site);
}
