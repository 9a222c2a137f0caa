//! The measurement of store outages.

use lycheeyard_bench::{OutageCase, OutageWay, run_outage};

fn idle(way: OutageWay, outage_ms: u64) -> f64 {
    let case = OutageCase {
        seed: 1,
        outage_ms,
        way,
    };
    run_outage(case).expect("valid names")
}

#[test]
fn the_same_seed_gives_the_same_share() {
    let first = idle(OutageWay::StartNothing, 600_000);
    assert!((first - idle(OutageWay::StartNothing, 600_000)).abs() < f64::EPSILON);
}

#[test]
fn starting_nothing_idles_more_the_longer_the_outage() {
    let short = idle(OutageWay::StartNothing, 600_000);
    let long = idle(OutageWay::StartNothing, 7_200_000);
    let going_on = idle(OutageWay::GoOn, 7_200_000);
    assert!(short < long, "{short} {long}");
    // Where only large jobs wait, going on starts nothing either.
    assert!(going_on <= long, "{going_on} {long}");
}
