//! Ends of workers that do not count as crashes under a task.

mod support;

use lycheeyard_jobs::Step;
use lycheeyard_protocol::JobState;
use lycheeyard_standin::SimulatedSite;
use rstest::rstest;
use support::{
    assert_no_violations, assert_succeeds, await_placement, await_start, delay_orders, id, secs,
    site, step, submit, task,
};

/// Guards against a job that is shown as failed because workers were cut off until their leases expired.
#[rstest]
fn counts_no_crash_while_workers_are_only_silent(#[values(4, 12)] silent_s: u64) {
    let mut site = site(1, 3);
    submit(&mut site, "long", step(1, 8, 40_000));
    for _ in 0..5 {
        let worker = await_start(&mut site, &task("long", 0));
        site.advance(secs(1));
        let set_partitioned = |site: &mut SimulatedSite, is_partitioned| {
            let worker = site.workers.get_mut(&worker).expect("worker exists");
            worker.faults.is_partitioned = is_partitioned;
        };
        set_partitioned(&mut site, true);
        site.advance(secs(silent_s));
        set_partitioned(&mut site, false);
    }
    assert_succeeds(&mut site, "long", secs(60));
}

/// Guards against crashes that are counted although the run had ended before: the worker was away for longer than its leases
/// last, so that its runs may have expired first.
#[test]
fn counts_no_crash_after_lease_has_expired() {
    let mut site = site(1, 3);
    site.crashing_tasks.downtime = secs(9);
    submit(&mut site, "long", step(1, 8, 15_000));
    for _ in 0..5 {
        let worker = await_start(&mut site, &task("long", 0));
        site.advance(secs(1));
        site.crash_worker(&worker);
        site.advance(secs(10));
    }
    assert_succeeds(&mut site, "long", secs(60));
}

/// Guards against a planned shutdown that counts as a crash: the worker announced that it leaves, and is back under its id.
#[test]
fn counts_no_crash_of_worker_that_announced_that_it_leaves() {
    let mut site = site(1, 3);
    submit(&mut site, "long", step(1, 8, 15_000));
    for _ in 0..5 {
        let worker = await_start(&mut site, &task("long", 0));
        let mut info = site.workers[&worker].info.clone();
        info.draining = true;
        let now = site.now;
        site.scheduler.worker_listed(info, now);
        site.advance(secs(1));
        site.crash_worker(&worker);
        site.advance(secs(4));
    }
    assert_succeeds(&mut site, "long", secs(60));
}

/// Guards against a service that is given up because several of its workers crashed in the course of its life.
#[test]
fn keeps_long_running_task_whose_workers_crash_long_after_its_start() {
    let mut site = site(1, 3);
    let service = Step {
        long_running: true,
        ..step(1, 8, 500)
    };
    submit(&mut site, "service", service);
    for _ in 0..5 {
        let worker = await_start(&mut site, &task("service", 0));
        site.advance(secs(5));
        site.crash_worker(&worker);
        site.advance(secs(4));
    }
    await_start(&mut site, &task("service", 0));
    assert_ne!(site.state(&id("service")), JobState::Failed);
    assert_no_violations(&site);
}

/// Guards against a job that is given up because workers crashed to which its start orders were on their way: they were cut off
/// before, or carried the orders out late, and the task never began there.
#[test]
fn counts_no_crash_during_start_that_got_no_answer() {
    let mut site = site(1, 6);
    delay_orders(&mut site, Some(secs(10)));
    submit(&mut site, "unlucky", step(1, 8, 1000));
    let task = task("unlucky", 0);
    for _ in 0..4 {
        let worker = await_placement(&mut site, &task);
        site.crash_worker(&worker);
        // The worker is back.
        site.advance(secs(4));
    }
    delay_orders(&mut site, None);
    assert_succeeds(&mut site, "unlucky", secs(60));
}
