//! Tasks that run until their job is cancelled, and work that fills beside them.

mod support;

use lycheeyard_jobs::{RunEnd, Step, StepKey};
use lycheeyard_protocol::{JobState, Percent};
use lycheeyard_standin::{SimulatedSite, SiteFault};
use rstest::rstest;
use std::time::Duration;
use support::{BULK, ORDINARY, URGENT, assert_kept, gang, id, job, second, site, step};

const TARGET_MS: u64 = 100;

fn lasting(tasks: u32, accelerators: u32) -> Step {
    Step {
        long_running: true,
        ..step(tasks, accelerators, 500)
    }
}

fn serving(tasks: u32) -> Step {
    Step {
        target_tail_ms: Some(TARGET_MS),
        ..lasting(tasks, 1)
    }
}

fn filling(tasks: u32, expected_ms: u64) -> Step {
    let mut filling = Step {
        fills: true,
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

#[rstest]
fn a_long_running_task_is_started_again_however_it_ends(
    #[values(RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed)] how: RunEnd,
) {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(3, 2)]));
    site.advance(second(5));
    assert_eq!(site.at_work(&first_step("web")), 3);
    site.end_run(&first_step("web").task(1), how);
    site.advance(second(1));
    assert_eq!(site.at_work(&first_step("web")), 3);
    assert_eq!(site.state(&id("web")), JobState::Running);
    assert_kept(&site);
}

#[test]
fn a_whole_gang_of_long_running_tasks_is_started_again() {
    let mut site = site(1, 3);
    let together = Step {
        long_running: true,
        ..gang(3, 8, 500)
    };
    site.submit(job(&site, "web", ORDINARY, vec![together]));
    site.advance(second(5));
    site.end_run(&first_step("web").task(1), RunEnd::Done);
    site.advance(second(2));
    assert_eq!(site.at_work(&first_step("web")), 3);
    assert_kept(&site);
}

#[test]
fn long_running_tasks_end_with_the_cancellation() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(4, 1)]));
    site.advance(second(2));
    site.cancel(&id("web"));
    site.advance(second(1));
    assert_eq!(site.state(&id("web")), JobState::Cancelled);
    assert_eq!(site.at_work(&first_step("web")), 0);
    assert_kept(&site);
}

#[test]
fn a_task_that_fails_at_once_is_tried_again_and_again_but_not_all_the_time() {
    let mut site = site(1, 3);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(1, 1)]));
    let task = first_step("web").task(0);
    for _ in 0..300 {
        site.advance(Duration::from_millis(100));
        site.end_run(&task, RunEnd::Failed);
    }
    let progress = site.progress(&id("web")).expect("a record");
    let runs = progress.task(&task).expect("a task").run.0;
    // A pause of 2 s at most between two starts.
    assert!((12..25).contains(&runs), "{runs} runs in 30 s");
    // Its failures say nothing of the workers.
    site.submit(job(&site, "other", ORDINARY, vec![gang(3, 4, 500)]));
    site.advance(second(2));
    assert_eq!(site.state(&id("other")), JobState::Succeeded);
    assert_kept(&site);
}

#[test]
fn long_running_tasks_come_back_before_other_work_of_their_priority_also_after_long() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(2, 8)]));
    site.advance(second(60));
    site.submit(job(&site, "queue", ORDINARY, vec![step(20, 8, 2000)]));
    site.advance(second(1));
    site.end_run(&first_step("web").task(0), RunEnd::Failed);
    site.advance(second(1));
    assert_eq!(site.at_work(&first_step("web")), 2);
    assert_kept(&site);
}

#[test]
fn long_running_tasks_are_spread_over_the_workers() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(8, 1)]));
    site.advance(second(1));
    for worker in site.workers.values() {
        assert_eq!(worker.tasks().count(), 2);
    }
    assert_kept(&site);
}

#[test]
fn long_running_tasks_leave_a_worker_that_is_about_to_go_one_at_a_time() {
    let mut site = site(1, 4);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(8, 1)]));
    site.advance(second(5));
    let (leaving, worker) = site.workers.iter().next().expect("a worker");
    let (leaving, mut info) = (leaving.clone(), worker.info.clone());
    info.draining = true;
    let now = site.now;
    site.scheduler.worker_listed(info, now);
    for _ in 0..300 {
        site.advance(Duration::from_millis(10));
        assert!(site.at_work(&first_step("web")) >= 7);
    }
    assert_eq!(site.at_work(&first_step("web")), 8);
    assert_eq!(site.workers[&leaving].tasks().count(), 0);
    assert_kept(&site);
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

#[test]
fn no_room_is_kept_for_work_that_waits_for_long_running_tasks() {
    let mut site = site(1, 2);
    site.submit(job(&site, "web", ORDINARY, vec![lasting(2, 8)]));
    site.advance(second(3));
    site.submit(job(&site, "never", BULK, vec![gang(2, 8, 1000)]));
    // It needs the processor time that would be kept.
    let mut large = step(2, 0, 5000);
    large.demand.cpu_milli = 30_500;
    site.submit(job(&site, "large", BULK, vec![large]));
    site.advance(second(6));
    assert_eq!(site.state(&id("large")), JobState::Succeeded);
    assert_eq!(site.state(&id("never")), JobState::Queued);
    assert_eq!(site.at_work(&first_step("web")), 2);
    assert_kept(&site);
}
