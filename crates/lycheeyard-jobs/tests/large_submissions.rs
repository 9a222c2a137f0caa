//! Submissions that are well-formed, and so large or entangled that an instance could fail over them.

mod support;

use lycheeyard_jobs::Step;
use std::cell::Cell;
use support::{ORDINARY, job, site, step};

/// Steps of which each comes after all earlier ones.
fn chained_steps(count: usize) -> Vec<Step> {
    let chained = (0..count).map(|index| Step {
        after: (0..index).collect(),
        ..step(1, 1, 100)
    });
    chained.collect()
}

/// Guards against a scheduler that stops for a submission: the paths through steps that each wait for all earlier ones are too many to
/// follow one by one.
#[test]
fn longest_path_looks_at_each_step_once() {
    let job = job(&site(1, 1), "chained", ORDINARY, chained_steps(20));
    let looked_at = Cell::new(0);
    let run_ms = |step: &Step| {
        looked_at.set(looked_at.get() + 1);
        step.expected_ms
    };
    assert_eq!(job.critical_path_ms(run_ms), 2000);
    assert_eq!(looked_at.take(), 20);
    assert_eq!(job.remaining_path_ms(5, run_ms), 1500);
    assert!(looked_at.get() <= 20);
}
