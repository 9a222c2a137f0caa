//! Sharing safety: a guaranteed job starts no later than in a private cluster of its organisation's guarantees.

mod support;

use lycheeyard_bench::jobs::{Planner, Trace, simulate};
use lycheeyard_protocol::OrganisationId;
use proptest::{
    prelude::{Strategy, any, prop, proptest},
    prop_assert,
    test_runner::{Config, RngSeed},
};
use support::{JobDraw, data_centre, small_trace};

/// The grace, the workers' confirmation and one planning round, in milliseconds.
const RECLAIM_MS: u64 = 2_000 + 300 + 200;

/// Jobs whose shape is the whole guarantee of anise (3x4), basil (2x4) or cress (1x4), or ordinary borrowers.
fn draws() -> impl Strategy<Value = Vec<JobDraw>> {
    let one = (
        0..3_usize,
        any::<bool>(),
        0..7_usize,
        0..400_000_u64,
        30_000..2_000_000_u64,
        1..100_u64,
        any::<u8>(),
    )
        .prop_map(|(owner, whole, other, gap, run, tenths, flags)| {
            let shape = if whole { [5, 3, 2][owner] } else { other };
            let flags = if whole { flags & !1 } else { flags | 1 };
            (owner, shape, gap, run, tenths, flags)
        });
    prop::collection::vec(one, 1..50)
}

/// Only an organisation's guaranteed jobs, on one rack that is its guarantee.
fn private(trace: &Trace, organisation: &OrganisationId) -> (Trace, Vec<usize>) {
    let guarantee = &trace.organisations[organisation].guarantees[0];
    let workers = vec![guarantee.shape.accelerators(); usize::from(guarantee.shape.workers())];
    let numbers: Vec<usize> = (0..trace.jobs.len())
        .filter(|&number| {
            let spec = &trace.jobs[number].spec;
            spec.organisation == *organisation && spec.guaranteed
        })
        .collect();
    let private = Trace {
        data_centre: data_centre(&[workers.as_slice()]),
        organisations: trace.organisations.clone(),
        jobs: numbers
            .iter()
            .map(|&number| trace.jobs[number].clone())
            .collect(),
    };
    (private, numbers)
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Each reclaim that came before adds at most one grace to the start of the jobs behind it.
    #[test]
    fn guaranteed_jobs_start_as_in_a_private_cluster(draws in draws()) {
        let trace = small_trace(&draws);
        let shared = simulate(Planner::Policy, &trace, &[]).expect("the shared trace ends");
        for organisation in trace.organisations.keys() {
            let (private, numbers) = private(&trace, organisation);
            let alone = simulate(Planner::Naive, &private, &[]).expect("the private trace ends");
            for (position, (number, log)) in numbers.iter().zip(&alone.logs).enumerate() {
                let reclaims = u64::try_from(position + 1).unwrap();
                let started = shared.logs[*number].first_start.unwrap_or_default().0;
                let bound = log.first_start.unwrap_or_default().0 + reclaims * RECLAIM_MS;
                prop_assert!(
                    started <= bound,
                    "{organisation} job {number}: {started} after {bound}"
                );
            }
        }
    }
}
