//! A guaranteed job starts no later than it would in a private cluster of the size of its organisation's guarantee,
//! except for the time that reclaims take. Otherwise sharing accelerators would cost an organisation its guarantee.

mod support;

use lycheeyard_bench::jobs::{Planner, Trace, simulate};
use lycheeyard_protocol::OrganisationId;
use proptest::{
    prelude::{Strategy, any, prop, proptest},
    prop_assert,
    test_runner::{Config, RngSeed},
};
use support::{JobDraw, data_centre, small_trace};

/// Duration of a reclaim: the grace period, the confirmation of the workers and one planning round, in milliseconds.
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
        .prop_map(|(owner, is_whole, other, gap, run, tenths, flags)| {
            let shape = if is_whole { [5, 3, 2][owner] } else { other };
            let flags = if is_whole { flags & !1 } else { flags | 1 };
            (owner, shape, gap, run, tenths, flags)
        });
    prop::collection::vec(one, 1..50)
}

/// A trace of only an organisation's guaranteed jobs, on one rack that is its guarantee, with their original numbers.
fn private_trace(trace: &Trace, organisation: &OrganisationId) -> (Trace, Vec<usize>) {
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

    /// Each earlier reclaim delays the start of the jobs behind it by at most one reclaim duration.
    #[test]
    fn guaranteed_jobs_start_no_later_than_in_private_cluster(draws in draws()) {
        let trace = small_trace(&draws);
        let shared = simulate(Planner::Policy, &trace, &[]).expect("all jobs of the shared trace end");
        for organisation in trace.organisations.keys() {
            let (private, numbers) = private_trace(&trace, organisation);
            let alone = simulate(Planner::Naive, &private, &[]).expect("all jobs of the private trace end");
            for (position, (number, log)) in numbers.iter().zip(&alone.logs).enumerate() {
                let reclaims = u64::try_from(position + 1).unwrap();
                let started = shared.logs[*number].first_start.unwrap_or_default().0;
                let bound = log.first_start.unwrap_or_default().0 + reclaims * RECLAIM_MS;
                prop_assert!(
                    started <= bound,
                    "{organisation} job {number} started at {started} ms, after the bound of {bound} ms"
                );
            }
        }
    }
}
