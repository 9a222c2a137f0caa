//! Checks the simulation of store outages: it is deterministic, and it shows more idle accelerators the longer a scheduler
//! starts nothing.

use lycheeyard_bench::{OutageCase, OutagePolicy, run_outage};

fn idle_share(policy: OutagePolicy, outage_ms: u64) -> f64 {
    let case = OutageCase {
        seed: 1,
        outage_ms,
        policy,
    };
    run_outage(case).expect("generated names are valid")
}

#[test]
fn same_seed_gives_same_idle_share() {
    let first = idle_share(OutagePolicy::StartNothing, 600_000);
    assert!((first - idle_share(OutagePolicy::StartNothing, 600_000)).abs() < f64::EPSILON);
}

#[test]
fn idle_share_grows_with_outage_when_nothing_starts() {
    let short = idle_share(OutagePolicy::StartNothing, 600_000);
    let long = idle_share(OutagePolicy::StartNothing, 7_200_000);
    let keep_starting = idle_share(OutagePolicy::KeepStarting, 7_200_000);
    assert!(short < long, "{short} {long}");
    // If only large jobs wait, `KeepStarting` cannot start any either.
    assert!(keep_starting <= long, "{keep_starting} {long}");
}
