//! Estimates of run times that are wrong by a factor of several.

use lycheeyard_jobs::RunTimeEstimator;
use lycheeyard_protocol::QueueId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const USUAL_MS: f64 = 9000.0;

fn queue() -> QueueId {
    "grids".parse().expect("a queue")
}

fn millis(value: f64) -> u64 {
    // Between 1 ms and an hour.
    format!("{:.0}", value.clamp(1.0, 3.6e6))
        .parse()
        .expect("a number")
}

/// Feeds run times that vary a little and estimates that are off by up to `off` in the exponent.
fn learn(off: f64) -> RunTimeEstimator {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut times = RunTimeEstimator::default();
    for _ in 0..60 {
        let took = USUAL_MS * rng.random_range(-0.2..0.2_f64).exp();
        let estimate = took * rng.random_range(-off..=off).exp();
        times.record(&queue(), millis(estimate), millis(took));
    }
    times
}

#[test]
fn bad_estimates_give_way_to_what_was_seen() {
    let times = learn(2.0);
    for estimate in [900, 3000, 30_000, 90_000] {
        let corrected = times.corrected_ms(&queue(), estimate);
        assert!(
            (6000..13_000).contains(&corrected),
            "{estimate}: {corrected}"
        );
    }
}

#[test]
fn good_estimates_are_kept() {
    let times = learn(0.01);
    for estimate in [7500, 9000, 11_000] {
        let corrected = times.corrected_ms(&queue(), estimate);
        assert!(
            corrected.abs_diff(estimate) * 10 < estimate,
            "{estimate}: {corrected}"
        );
    }
}

#[test]
fn nothing_is_corrected_before_enough_was_seen() {
    let mut times = RunTimeEstimator::default();
    assert_eq!(times.corrected_ms(&queue(), 500), 500);
    times.record(&queue(), 500, 9000);
    assert_eq!(times.corrected_ms(&queue(), 500), 500);
}
