//! Random traces in virtual time: invariants of every plan, and comparisons with plain planners.
//!
//! The simulator refuses overlapping accelerators, partial or scattered gangs, unusable workers and stops of work that
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

/// The grace, the workers' confirmation and one planning round.
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
    let one =
        (1..10_u32, 0..10_000_000_u64, 1_000..2_000_000_u64).prop_map(|(worker, from, lasts)| {
            let worker = format!("w{worker:03}").parse().unwrap();
            (worker, Timestamp(from), Timestamp(from + lasts))
        });
    prop::collection::vec(one, 0..4)
}

fn play(planner: Planner, trace: &Trace) -> Simulation {
    simulate(planner, trace, &[]).unwrap_or_else(|err| panic!("{planner}: {err}"))
}

/// The time until which all work would end if jobs ran one after the other.
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
    fn every_job_ends_and_no_invariant_breaks(draws in draws(), losses in losses()) {
        let trace = small_trace(&draws);
        let outcome = simulate(Planner::Policy, &trace, &losses);
        let outcome = outcome.map_err(|err| proptest::test_runner::TestCaseError::fail(err.to_string()))?;
        prop_assert!(outcome.logs.iter().all(|log| log.ended_at.is_some() && !log.retired));
    }

    #[test]
    fn reclaims_succeed_within_the_grace(draws in draws()) {
        let outcome = play(Planner::Policy, &small_trace(&draws));
        let longest = outcome.reclaims.iter().max().copied().unwrap_or_default();
        prop_assert!(longest <= RECLAIM_BOUND, "{longest:?}");
    }

    #[test]
    fn plans_are_deterministic(draws in draws()) {
        let trace = small_trace(&draws);
        let first = play(Planner::Policy, &trace);
        let second = play(Planner::Policy, &trace);
        prop_assert_eq!(first.actions, second.actions);
    }

    /// No job waits for longer than the longest wait and the work of all others, one after the other.
    #[test]
    fn no_job_starves(draws in draws()) {
        let trace = small_trace(&draws);
        let outcome = play(Planner::Policy, &trace);
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
            let outcome = play(planner, &trace);
            outcome.logs.iter().map(|log| log.ended_at.is_some()).collect::<Vec<_>>()
        };
        let naive = ended(Planner::Naive);
        prop_assert_eq!(&naive, &ended(Planner::Policy));
        prop_assert_eq!(&naive, &ended(Planner::FirstFit));
        prop_assert_eq!(&naive, &ended(Planner::Easy));
    }
}
