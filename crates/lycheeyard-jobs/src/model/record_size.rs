//! Bounds on the size of a job's progress record, whose limit is that of a value in the store: 1 MiB.
//!
//! A task that has begun and is not done takes about 500 bytes at most, with the longest checkpoint and worker id. `MAX_BEGUN_TASKS` of
//! them, and `MAX_OPEN_BYTES` or one occurrence for what else is open, stay below the limit.

use super::{
    Checkpoint, Job, MAX_JOB_TASKS, Step,
    task_list::{MAX_LISTED_TASKS, TASKS_PER_DIGIT},
};

/// The maximum number of tasks of a job that have begun and are not done.
pub(super) const MAX_BEGUN_TASKS: usize = 1200;
/// A checkpoint whose stored form is longer than this is not kept.
const MAX_CHECKPOINT_BYTES: usize = 256;
/// Further occurrences of a job are opened while the open ones take no more than this, without the tasks that have begun.
const MAX_OPEN_BYTES: usize = 256 * 1024;
/// The stored size of an occurrence without its steps.
const OCCURRENCE_BYTES: usize = 16;
/// The stored size of a step without its tasks and its checkpoint.
const STEP_BYTES: usize = 112;
/// The stored size of a task of a short list that has not begun or is done, with its numbers of runs and failures.
const LISTED_TASK_BYTES: usize = 64;

/// Returns how many occurrences of a job may be open at a time, by the size of their record and the memory that their tasks take; one
/// always may.
pub(super) fn max_open_occurrences(job: &Job) -> usize {
    let steps: usize = job.steps.iter().map(step_bytes).sum();
    let by_size = MAX_OPEN_BYTES / (OCCURRENCE_BYTES + steps);
    let by_tasks = usize::try_from(MAX_JOB_TASKS / job.tasks().max(1)).unwrap_or(usize::MAX);
    by_size.min(by_tasks).max(1)
}

fn step_bytes(step: &Step) -> usize {
    let tasks = step.tasks as usize;
    let tasks = if tasks <= MAX_LISTED_TASKS {
        tasks * LISTED_TASK_BYTES
    } else {
        tasks.div_ceil(TASKS_PER_DIGIT)
    };
    let checkpoint = if step.gang { MAX_CHECKPOINT_BYTES } else { 0 };
    STEP_BYTES + checkpoint + tasks
}

impl Checkpoint {
    /// Whether the record of a job has room for it.
    #[must_use]
    pub fn is_storable(&self) -> bool {
        let bytes = self.0.bytes().map(stored_bytes);
        bytes.sum::<usize>() <= MAX_CHECKPOINT_BYTES
    }
}

/// Returns the number of bytes that a byte of a string takes in JSON.
fn stored_bytes(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        byte if byte.is_ascii_control() => 6,
        _ => 1,
    }
}
