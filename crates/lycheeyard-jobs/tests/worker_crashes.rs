//! Tasks that crash the workers that start them.
//!
//! A crash is seen when the worker is back as a newer incarnation. A task under which three workers have crashed is given
//! up; a worker that is only silent has not crashed.

mod support;

use lycheeyard_jobs::Step;
use lycheeyard_standin::{SiteFault, StartCallOutcome};
use rstest::rstest;
use std::time::Duration;
use support::{assert_given_up, gang, secs, site, step, submit_crashing};

/// Guards against a task that crashes worker after worker, because the end of a run with its worker counts for nothing.
#[rstest]
#[case(StartCallOutcome::Answered, 10)]
#[case(StartCallOutcome::Answered, 1500)]
#[case(StartCallOutcome::Answered, 5000)]
#[case(StartCallOutcome::Lost, 10)]
fn gives_up_task_that_crashes_its_workers(
    #[case] start_call: StartCallOutcome,
    #[case] run_time_ms: u64,
) {
    let mut site = site(1, 8);
    site.crashing_tasks.start_call = start_call;
    site.crashing_tasks.run_time = Duration::from_millis(run_time_ms);
    submit_crashing(&mut site, "crashing", step(1, 8, 9000), 0);
    site.advance(secs(60));
    assert_given_up(&site, "crashing", 0);
}

/// Guards against a count of crashes that a takeover loses: only the durable record outlives it.
#[rstest]
fn counts_crashes_across_takeovers(#[values(1300, 2900, 3400, 5000)] interval_ms: u64) {
    let mut site = site(1, 8);
    submit_crashing(&mut site, "crashing", step(1, 8, 1000), 0);
    for _ in 0..60_000 / interval_ms {
        site.advance(Duration::from_millis(interval_ms));
        site.inject_fault(SiteFault::Takeover);
    }
    assert_given_up(&site, "crashing", 0);
}

/// Guards against crashes that no holder counts: the earlier holder could not write what it saw, and the next one knows the
/// crashed incarnation from the record of the run only.
#[test]
fn counts_crash_that_only_next_holder_sees() {
    let mut site = site(1, 8);
    submit_crashing(&mut site, "crashing", step(1, 8, 1000), 0);
    for _ in 0..20 {
        // The task starts and crashes its worker in this time; the worker is back while the store is down.
        site.advance(Duration::from_millis(2500));
        site.inject_fault(SiteFault::StoreDown);
        site.advance(secs(3));
        site.inject_fault(SiteFault::Takeover);
        site.inject_fault(SiteFault::StoreUp);
    }
    assert_given_up(&site, "crashing", 0);
}

/// Guards against a gang of which one member crashes its worker each time that the gang starts.
#[rstest]
fn gives_up_gang_with_member_that_crashes_its_workers(
    #[values(StartCallOutcome::Answered, StartCallOutcome::Lost)] start_call: StartCallOutcome,
    #[values(2, 8)] accelerators: u32,
) {
    let mut site = site(1, 8);
    site.allows_missing_peers = true;
    site.crashing_tasks.start_call = start_call;
    submit_crashing(&mut site, "gang", gang(3, accelerators, 1000), 1);
    site.advance(secs(90));
    assert_given_up(&site, "gang", 1);
}

/// Guards against a long-running task that crashes its workers, since the failures of such tasks do not count.
#[test]
fn gives_up_long_running_task_that_crashes_its_workers() {
    let mut site = site(1, 8);
    let service = Step {
        long_running: true,
        ..step(1, 8, 500)
    };
    submit_crashing(&mut site, "service", service, 0);
    site.advance(secs(60));
    assert_given_up(&site, "service", 0);
}
