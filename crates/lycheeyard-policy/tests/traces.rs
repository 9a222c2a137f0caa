//! Random traces in virtual time: invariants of every plan, and comparisons with the baseline planners.
//!
//! The simulator rejects overlapping accelerators, partial or scattered gangs, unusable workers and stops of jobs that
//! may not be stopped, and it fails when a job never ends.

mod support;

use lycheeyard_bench::jobs::{Planner, Simulation, Trace, simulate};
use lycheeyard_protocol::{Timestamp, WorkerId};
use proptest::{
    prelude::{Strategy, any, prop, proptest},
    prop_assert, prop_assert_eq,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;
use support::{JobDraw, SHAPES, small_trace};

/// Upper bound of a reclaim: the grace period, the confirmation of the workers and one planning round.
const RECLAIM_BOUND: Duration = Duration::from_millis(2_000 + 300 + 200);

fn draws() -> impl Strategy<Value = Vec<JobDraw>> {
    let one = (
        0..3_usize,
        0..SHAPES.len(),
        0..400_000_u64,
        30_000..3_000_000_u64,
        1..100_u64,
        any::<u8>(),
    );
    prop::collection::vec(one, 1..60)
}

fn losses() -> impl Strategy<Value = Vec<(WorkerId, Timestamp, Timestamp)>> {
    let one = (1..10_u32, 0..10_000_000_u64, 1_000..2_000_000_u64).prop_map(
        |(worker, from_ms, duration_ms)| {
            let worker = format!("w{worker:03}").parse().unwrap();
            (worker, Timestamp(from_ms), Timestamp(from_ms + duration_ms))
        },
    );
    prop::collection::vec(one, 0..4)
}

fn run_simulation(planner: Planner, trace: &Trace) -> Simulation {
    simulate(planner, trace, &[]).unwrap_or_else(|err| panic!("{planner}: {err}"))
}

/// The time that all jobs would take if they ran one after the other.
fn total_run_ms(trace: &Trace) -> u64 {
    trace.jobs.iter().map(|job| job.actual_ms).sum()
}

proptest! {
    #![proptest_config(Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_job_ends_without_invariant_violation(draws in draws(), losses in losses()) {
        let trace = small_trace(&draws);
        let outcome = simulate(Planner::Policy, &trace, &losses);
        let outcome = outcome.map_err(|err| proptest::test_runner::TestCaseError::fail(err.to_string()))?;
        prop_assert!(outcome.logs.iter().all(|log| log.ended_at.is_some() && !log.retired));
    }

    #[test]
    fn reclaims_finish_within_grace_period(draws in draws()) {
        let outcome = run_simulation(Planner::Policy, &small_trace(&draws));
        let longest = outcome.reclaims.iter().max().copied().unwrap_or_default();
        prop_assert!(longest <= RECLAIM_BOUND, "{longest:?}");
    }

    #[test]
    fn plans_are_deterministic(draws in draws()) {
        let trace = small_trace(&draws);
        let first = run_simulation(Planner::Policy, &trace);
        let second = run_simulation(Planner::Policy, &trace);
        prop_assert_eq!(first.actions, second.actions);
    }

    /// No job waits for longer than the longest allowed wait plus twice the run time of all jobs, one after the other.
    #[test]
    fn no_job_starves(draws in draws()) {
        let trace = small_trace(&draws);
        let outcome = run_simulation(Planner::Policy, &trace);
        let longest_wait = trace.data_centre.policy.longest_wait_ms;
        let bound = longest_wait + 2 * total_run_ms(&trace);
        for (job, log) in trace.jobs.iter().zip(&outcome.logs) {
            let started = log.first_start.unwrap_or_default();
            prop_assert!(started.0 - job.submitted_at.0 <= bound);
        }
    }

    #[test]
    fn all_planners_finish_the_same_jobs(draws in draws()) {
        let trace = small_trace(&draws);
        let ended = |planner| {
            let outcome = run_simulation(planner, &trace);
            outcome.logs.iter().map(|log| log.ended_at.is_some()).collect::<Vec<_>>()
        };
        let naive = ended(Planner::Naive);
        prop_assert_eq!(&naive, &ended(Planner::Policy));
        prop_assert_eq!(&naive, &ended(Planner::FirstFit));
        prop_assert_eq!(&naive, &ended(Planner::Easy));
    }
}
