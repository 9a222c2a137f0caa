//! Submissions that are well-formed, and so large or entangled that an instance could fail over them.

mod support;

use lycheeyard_jobs::{Progress, Schedule, Step};
use lycheeyard_protocol::Timestamp;
use std::cell::Cell;
use support::{BULK, ORDINARY, job, site, step};

/// The largest number of open tasks of a job.
const MAX_OPEN_TASKS: u32 = 100_000;

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

/// Guards against an instance that ends for lack of memory, and against one whose successors end the same way: all occurrences of a
/// schedule may be due at once. Those that are not opened at first have to be opened later.
#[test]
fn occurrences_that_are_due_at_once_are_opened_a_few_at_a_time() {
    let mut job = job(&site(1, 1), "often", ORDINARY, vec![step(1, 1, 100)]);
    job.schedule = Some(Schedule {
        repetitions: 2 * MAX_OPEN_TASKS + 5,
        first_at: Timestamp(0),
        interval_ms: 0,
    });
    let now = Timestamp(1_700_000_000_000);
    let mut progress = Progress::default();
    for opened in [MAX_OPEN_TASKS, 2 * MAX_OPEN_TASKS, 2 * MAX_OPEN_TASKS + 5] {
        assert!(progress.open_due(&job, now));
        assert_eq!(progress.opened, opened);
        assert!(!progress.open_due(&job, now) || opened < MAX_OPEN_TASKS);
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
