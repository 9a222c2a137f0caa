//! Submissions that are well-formed, and so large or entangled that an instance could fail over them.

mod support;

use lycheeyard_jobs::{Progress, Schedule, Step, StepSet};
use lycheeyard_protocol::Timestamp;
use std::cell::Cell;
use support::{BULK, ORDINARY, job, site, step};

/// The largest record of a job of which nothing has begun, in bytes.
const MAX_UNBEGUN_BYTES: usize = 256 * 1024;

/// Steps of which each comes after all earlier ones.
fn chained_steps(count: usize) -> Vec<Step> {
    let chained = (0..count).map(|index| Step {
        after: StepSet::new(0..index).expect("steps exist"),
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

/// Guards against an instance that ends for lack of memory, against one whose successors end the same way, and against a record that the
/// store does not take: all occurrences of a schedule may be due at once. Those that are not opened at first have to be opened later.
#[test]
fn occurrences_that_are_due_at_once_are_opened_a_few_at_a_time() {
    const REPETITIONS: u32 = 200_005;
    let mut job = job(&site(1, 1), "often", ORDINARY, vec![step(1, 1, 100)]);
    job.schedule = Some(Schedule {
        repetitions: REPETITIONS,
        first_at: Timestamp(0),
        interval_ms: 0,
    });
    let now = Timestamp(1_700_000_000_000);
    let mut progress = Progress::default();
    while progress.opened < REPETITIONS {
        let first = progress.opened;
        assert!(progress.open_due(&job, now));
        assert!(progress.open.keys().copied().eq(first..progress.opened));
        let is_last = progress.opened == REPETITIONS;
        assert!(
            is_last || progress.opened - first > 1000,
            "{}",
            progress.opened
        );
        let record = serde_json::to_vec(&progress).expect("progress is encoded");
        assert!(record.len() <= MAX_UNBEGUN_BYTES, "{}", record.len());
        assert!(!progress.open_due(&job, now));
        progress.open.clear();
    }
}

/// Guards against a job of more tasks than an instance can hold or the store can record.
#[test]
fn job_of_too_many_tasks_is_rejected() {
    let site = site(1, 1);
    let steps = |count| vec![step(20_000, 1, 100); count];
    assert!(job(&site, "many", BULK, steps(5)).validate().is_ok());
    assert!(job(&site, "too-many", BULK, steps(6)).validate().is_err());
}
