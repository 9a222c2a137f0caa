use super::{
    Checkpoint, Job, RunNumber, TaskKey, WorkerKey,
    record_size::{MAX_BEGUN_TASKS, max_open_occurrences},
    task_list,
};
use lycheeyard_protocol::{Incarnation, JobState, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The stored progress of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The state of the job.
    pub state: JobState,
    /// When the job ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Timestamp>,
    /// The occurrences that are due and not done, by number.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub open: BTreeMap<u32, Vec<StepProgress>>,
    /// The number of occurrences opened so far, done ones included.
    pub opened: u32,
}

/// The progress of a step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StepProgress {
    /// The tasks in the order of their positions.
    #[serde(with = "task_list")]
    pub tasks: Vec<TaskProgress>,
    /// How many runs of the gang have failed.
    #[serde(skip_serializing_if = "is_zero")]
    pub gang_failures: u32,
    /// The last run of the gang that failed, so that the failures of its members count once.
    #[serde(skip_serializing_if = "is_first")]
    pub failed_run: RunNumber,
    /// The newest checkpoint of a gang.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gang_checkpoint: Option<Checkpoint>,
}

/// The progress of a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskProgress {
    /// The number of the last run, or 0 before the first.
    #[serde(rename = "r")]
    pub run: RunNumber,
    /// How many runs have failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// How many workers have crashed during its runs.
    #[serde(rename = "x", skip_serializing_if = "is_zero")]
    pub worker_crashes: u32,
    /// Whether a run has completed the task.
    #[serde(rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// The newest checkpoint.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
    /// The worker of the last run, until that run has ended.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Whether the worker in `placement` is known to have begun the last run. Older records lack it.
    #[serde(rename = "b", skip_serializing_if = "is_false")]
    pub has_begun: bool,
    /// Whether every copy of the last run's start order was answered, so that none can begin it any more. Older records lack it.
    #[serde(rename = "a", skip_serializing_if = "is_false")]
    pub is_answered: bool,
}

/// The worker, and its incarnation, on which a run was ordered to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement(pub WorkerId, pub Incarnation);

impl Placement {
    /// Returns the key of the worker incarnation.
    #[must_use]
    pub fn worker(&self) -> WorkerKey {
        WorkerKey {
            id: self.0.clone(),
            incarnation: self.1,
        }
    }
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            state: JobState::Queued,
            ended_at: None,
            open: BTreeMap::new(),
            opened: 0,
        }
    }
}

impl Progress {
    /// Returns the progress of a task, if its occurrence is open.
    #[must_use]
    pub fn task(&self, key: &TaskKey) -> Option<&TaskProgress> {
        let steps = self.open.get(&key.step.occurrence)?;
        steps.get(key.step.step)?.tasks.get(key.index)
    }

    /// Returns how many more tasks may begin before others are done, so that the record stays small enough for the store.
    #[must_use]
    pub fn tasks_that_may_begin(&self) -> usize {
        let steps = self.open.values().flatten();
        let tasks: usize = steps.clone().map(|step| step.tasks.len()).sum();
        if tasks <= MAX_BEGUN_TASKS {
            return tasks;
        }
        let tasks = steps.flat_map(|step| &step.tasks);
        let begun = tasks.filter(|task| task.is_begun()).count();
        MAX_BEGUN_TASKS.saturating_sub(begun)
    }

    /// Whether the job has ended and no run of it is left.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let mut steps = self.open.values().flatten();
        self.state.is_final() && steps.all(StepProgress::is_idle)
    }

    /// Returns the mutable progress of a step, if its occurrence is open.
    pub fn step_mut(&mut self, occurrence: u32, step: usize) -> Option<&mut StepProgress> {
        self.open.get_mut(&occurrence)?.get_mut(step)
    }

    /// Opens the occurrences that are due at `now`, and returns whether there were any. A job without a schedule is due
    /// immediately, whatever its submission time, since the clock of the instance that accepted it may be ahead.
    ///
    /// More occurrences than the job's record has room for are opened once others are done, the earliest first.
    pub fn open_due(&mut self, job: &Job, now: Timestamp) -> bool {
        let before = self.opened;
        let is_due = |number| job.schedule.is_none() || job.due_at(number).is_past(now);
        let max_open = max_open_occurrences(job);
        let has_room = |open: &BTreeMap<_, _>| open.len() < max_open;
        while self.opened < job.occurrences() && is_due(self.opened) && has_room(&self.open) {
            let steps = job.steps.iter().map(|step| StepProgress {
                tasks: vec![TaskProgress::default(); step.tasks as usize],
                ..StepProgress::default()
            });
            self.open.insert(self.opened, steps.collect());
            self.opened += 1;
        }
        self.opened != before
    }
}

impl TaskProgress {
    /// Whether the task has begun and is not done, or a run of it is left.
    #[must_use]
    pub fn is_begun(&self) -> bool {
        self.placement.is_some() || (!self.done && self.run != RunNumber(0))
    }
}

impl StepProgress {
    /// Whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Whether no task has a run that has not ended.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.placement.is_none())
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_first(value: &RunNumber) -> bool {
    *value == RunNumber(0)
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}
