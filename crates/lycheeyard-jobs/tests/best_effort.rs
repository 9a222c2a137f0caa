//! Work that fills the processor time that others leave, beside tasks that answer requests.

mod support;

use lycheeyard_jobs::{Step, StepKey};
use lycheeyard_protocol::{JobState, Percent};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_kept, id, job, second, site, step};

const TARGET_MS: u64 = 100;

fn serving(tasks: u32) -> Step {
    Step {
        target_tail_ms: Some(TARGET_MS),
        long_running: true,
        ..step(tasks, 1, 500)
    }
}

fn filling(tasks: u32, expected_ms: u64) -> Step {
    let mut filling = Step {
        best_effort: true,
        checkpointing: true,
        ..step(tasks, 0, expected_ms)
    };
    filling.demand.cpu_milli = 20_000;
    filling
}

fn first_step(name: &str) -> StepKey {
    StepKey {
        job: id(name),
        occurrence: 0,
        step: 0,
    }
}

fn set_load(site: &mut SimulatedSite, base_tail_ms: u64, disturbance_ms: u64) {
    for worker in site.workers.values_mut() {
        worker.base_tail_ms = base_tail_ms;
        worker.disturbance_ms = disturbance_ms;
    }
}

/// The shares of the filling runs of a job.
fn shares(site: &SimulatedSite, name: &str) -> Vec<Percent> {
    let workers = site.workers.values();
    let shares = workers.flat_map(|worker| {
        let tasks = worker.tasks().filter(|task| task.step.job == id(name));
        tasks.filter_map(|task| worker.share(task))
    });
    shares.collect()
}

#[test]
fn what_fills_takes_no_processor_time_from_the_count() {
    let mut site = site(1, 2);
    let mut whole = step(2, 1, 3000);
    whole.demand.cpu_milli = 32_000;
    site.submit(job(&site, "whole", ORDINARY, vec![whole]));
    site.submit(job(&site, "fill", BULK, vec![filling(4, 1000)]));
    site.advance(second(2));
    assert_eq!(site.state(&id("fill")), JobState::Succeeded);
    assert!(site.settle(second(5)));
    assert_kept(&site);
}

#[test]
fn what_fills_is_held_back_while_response_times_are_near_their_limit_and_then_released() {
    let mut site = site(1, 1);
    set_load(&mut site, 40, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.advance(second(2));
    site.submit(job(&site, "fill", BULK, vec![filling(4, 60_000)]));
    site.advance(Duration::from_millis(200));
    for _ in 0..98 {
        site.advance(Duration::from_millis(100));
        assert!(
            site.workers
                .values()
                .all(|worker| worker.tail_ms() < TARGET_MS)
        );
    }
    let held_back = shares(&site, "fill");
    assert_eq!(held_back.len(), 4);
    assert!(
        held_back.iter().all(|share| (5..60).contains(&share.0)),
        "{held_back:?}"
    );
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tail_ms() < TARGET_MS)
    );
    set_load(&mut site, 20, 5);
    site.advance(second(6));
    assert_eq!(shares(&site, "fill"), [Percent(100); 4]);
    site.cancel(&id("fill"));
    assert_kept(&site);
}

#[test]
fn what_fills_gets_its_whole_speed_back_once_nothing_answers_requests() {
    let mut site = site(1, 1);
    set_load(&mut site, 80, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![filling(2, 8000)]));
    site.advance(second(4));
    site.cancel(&id("web"));
    site.advance(second(3));
    assert!(
        shares(&site, "fill")
            .iter()
            .all(|share| *share == Percent(100))
    );
    assert_kept(&site);
}

#[test]
fn what_fills_goes_elsewhere_when_it_gets_nothing() {
    let mut site = site(1, 2);
    set_load(&mut site, 95, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(1)]));
    site.advance(second(1));
    let mut other = step(1, 1, 6000);
    other.demand.cpu_milli = 32_000;
    other.demand.memory_mb = 131_000;
    site.submit(job(&site, "whole", ORDINARY, vec![other]));
    site.advance(second(1));
    site.submit(job(&site, "fill", BULK, vec![filling(1, 2000)]));
    assert!(site.progress(&id("fill")).is_none());
    site.advance(second(30));
    assert_eq!(site.state(&id("fill")), JobState::Succeeded);
    assert_kept(&site);
}

#[test]
fn a_successor_holds_back_what_fills_as_well() {
    let mut site = site(1, 1);
    set_load(&mut site, 60, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![filling(4, 60_000)]));
    site.advance(second(6));
    site.strike(SiteFault::Takeover);
    for _ in 0..50 {
        site.advance(Duration::from_millis(100));
        assert!(
            site.workers
                .values()
                .all(|worker| worker.tail_ms() < 2 * TARGET_MS)
        );
    }
    assert_kept(&site);
}

#[test]
fn orders_that_come_late_do_not_undo_the_pace_for_long() {
    let mut site = site(1, 1);
    set_load(&mut site, 20, 10);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![filling(4, 90_000)]));
    site.advance(second(2));
    // The orders that raise the share are carried out after the load has risen and all is held back.
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = Some(second(8));
    }
    site.advance(second(2));
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = None;
    }
    set_load(&mut site, 95, 60);
    site.advance(second(4));
    assert!(
        site.workers
            .values()
            .all(|worker| worker.tail_ms() < TARGET_MS)
    );
    site.advance(second(2));
    // The runs that get nothing are stopped only later.
    assert_eq!(shares(&site, "fill").len(), 4);
    let mut over = Duration::ZERO;
    let tick = Duration::from_millis(50);
    for _ in 0..200 {
        site.advance(tick);
        if site
            .workers
            .values()
            .any(|worker| worker.tail_ms() > TARGET_MS)
        {
            over += tick;
        }
    }
    // What comes late is undone with the next report.
    assert!(over < second(1), "{over:?} over the limit");
    assert_kept(&site);
}

#[test]
fn a_pace_that_was_not_confirmed_is_set_by_the_successor() {
    let mut site = site(1, 1);
    set_load(&mut site, 60, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(2)]));
    site.submit(job(&site, "fill", BULK, vec![filling(2, 60_000)]));
    site.advance(second(4));
    site.cancel(&id("web"));
    site.advance(Duration::from_millis(50));
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = Some(second(60));
    }
    site.advance(second(1));
    assert_eq!(site.at_work(&first_step("web")), 0);
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = None;
    }
    site.strike(SiteFault::Takeover);
    site.advance(second(3));
    assert_eq!(shares(&site, "fill"), [Percent(100); 2]);
    assert_kept(&site);
}

#[test]
fn what_fills_starts_beside_others_only_where_it_gets_something() {
    let mut site = site(1, 1);
    set_load(&mut site, 95, 30);
    site.submit(job(&site, "web", URGENT, vec![serving(1)]));
    site.submit(job(&site, "first", BULK, vec![filling(1, 2000)]));
    site.advance(second(12));
    let submitted = site.now.wall;
    site.submit(job(&site, "second", BULK, vec![filling(1, 2000)]));
    site.advance(second(5));
    assert!(!site.begun_at.contains_key(&id("second")));
    set_load(&mut site, 20, 30);
    assert!(site.state(&id("second")) == JobState::Queued);
    site.advance(second(20));
    assert_eq!(site.state(&id("second")), JobState::Succeeded);
    assert!(site.ended_at[&id("second")].since(submitted) < second(20));
    assert_kept(&site);
}
