//! Estimates of run times that are wrong by a factor of several.
//!
//! Guards against trust in bad estimates where recorded run times are at hand, and against corrections of good ones.

use lycheeyard_jobs::RunTimeEstimator;
use lycheeyard_protocol::QueueId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TYPICAL_MS: f64 = 9000.0;

fn queue() -> QueueId {
    "grids".parse().expect("queue ID is valid")
}

fn millis(value: f64) -> u64 {
    // Between 1 ms and an hour.
    format!("{:.0}", value.clamp(1.0, 3.6e6))
        .parse()
        .expect("digits parse as a number")
}

/// Records run times that vary a little and estimates whose logarithm is off by up to `max_log_error`.
fn record_runs(max_log_error: f64) -> RunTimeEstimator {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut times = RunTimeEstimator::default();
    for _ in 0..60 {
        let took = TYPICAL_MS * rng.random_range(-0.2..0.2_f64).exp();
        let estimate = took * rng.random_range(-max_log_error..=max_log_error).exp();
        times.record(&queue(), millis(estimate), millis(took));
    }
    times
}

#[test]
fn replaces_bad_estimates_with_recorded_run_times() {
    let times = record_runs(2.0);
    for estimate in [900, 3000, 30_000, 90_000] {
        let corrected = times.corrected_ms(&queue(), estimate);
        assert!(
            (6000..13_000).contains(&corrected),
            "{estimate}: {corrected}"
        );
    }
}

#[test]
fn keeps_good_estimates() {
    let times = record_runs(0.01);
    for estimate in [7500, 9000, 11_000] {
        let corrected = times.corrected_ms(&queue(), estimate);
        assert!(
            corrected.abs_diff(estimate) * 10 < estimate,
            "{estimate}: {corrected}"
        );
    }
}

#[test]
fn returns_the_estimate_before_enough_runs_are_recorded() {
    let mut times = RunTimeEstimator::default();
    assert_eq!(times.corrected_ms(&queue(), 500), 500);
    times.record(&queue(), 500, 9000);
    assert_eq!(times.corrected_ms(&queue(), 500), 500);
}
