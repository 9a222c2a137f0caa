use super::{Restart, StartStages, StepPaces};
use crate::{
    BootTime, EndNumber, Job, Progress, StepKey, StepProgress, TaskKey, WorkerKey,
    plan::RoomDeadlines,
};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// A job and its scheduling state.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub job: Arc<Job>,
    pub progress: Progress,
    /// Whether a record of the job's progress is in the store, or in a batch that is to be written.
    pub has_record: bool,
    /// How its first start came about in this term.
    pub stages: StartStages,
    /// Whether it was found in this term that the job cannot be done while its result is of use.
    pub is_hopeless: bool,
    /// When a step of it was last passed over in a planning round, since a smaller one did not fit.
    pub ruled_out_at: Option<BootTime>,
    /// Until when preferences may keep steps from room, for those that they keep.
    pub room_deadlines: BTreeMap<StepKey, RoomDeadlines>,
    /// The run ends that its progress contains since it was last taken for writing.
    pub unwritten_ends: Vec<(WorkerKey, EndNumber)>,
    /// How many runs of each step were preempted.
    pub preemptions: BTreeMap<StepKey, u32>,
    /// Restart delays of long-running tasks that failed soon after their start.
    pub restarts: BTreeMap<TaskKey, Restart>,
    /// The workers on which a run of each step failed or made no progress; later runs prefer other workers.
    pub avoided_workers: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    /// The paces of the latest ended runs of each open step, with which others are compared.
    pub paces: BTreeMap<StepKey, StepPaces>,
    /// Tasks that had just started when their worker crashed; later runs prefer workers without runs.
    pub isolated_tasks: BTreeSet<TaskKey>,
}

impl JobEntry {
    pub fn new(job: Arc<Job>, progress: Option<Progress>) -> Self {
        Self {
            job,
            has_record: progress.is_some(),
            progress: progress.unwrap_or_default(),
            stages: StartStages::default(),
            is_hopeless: false,
            ruled_out_at: None,
            room_deadlines: BTreeMap::new(),
            unwritten_ends: Vec::new(),
            preemptions: BTreeMap::new(),
            restarts: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
            paces: BTreeMap::new(),
            isolated_tasks: BTreeSet::new(),
        }
    }

    pub fn key(&self, occurrence: u32, step: usize) -> StepKey {
        StepKey {
            job: self.job.id.clone(),
            occurrence,
            step,
        }
    }

    /// The steps of the open occurrences, in their order.
    pub fn open_steps(&self) -> impl Iterator<Item = StepKey> {
        let occurrences = self.progress.open.keys();
        occurrences.flat_map(move |&occurrence| {
            let steps = 0..self.job.steps.len();
            steps.map(move |step| self.key(occurrence, step))
        })
    }

    /// Whether the steps before a step are done and it is not.
    pub fn is_turn_of(&self, key: &StepKey) -> bool {
        let steps = self.progress.open.get(&key.occurrence);
        let definition = self.job.steps.get(key.step);
        let (Some(steps), Some(definition)) = (steps, definition) else {
            return false;
        };
        let is_done = |step: usize| steps.get(step).map(StepProgress::is_done);
        let mut before = definition.after.iter();
        before.all(|step| is_done(step) == Some(true)) && is_done(key.step) == Some(false)
    }

    /// Whether the restart delay of a task, if it has one, is over.
    pub fn may_start(&self, step: &StepKey, index: usize, now: BootTime) -> bool {
        if self.restarts.is_empty() {
            return true;
        }
        let restart = self.restarts.get(&step.task(index));
        restart.is_none_or(|restart| restart.not_before.is_past(now))
    }

    /// Whether tasks of a step are to run on workers without other runs if possible.
    pub fn prefers_idle_workers(&self, step: &StepKey, tasks: &[usize]) -> bool {
        let mut isolated = self.isolated_tasks.iter();
        isolated.any(|task| task.step == *step && tasks.contains(&task.index))
    }

    /// The tasks whose last run has not ended, according to the job's progress.
    pub fn placed_tasks(&self) -> Vec<TaskKey> {
        let mut placed = Vec::new();
        for (&occurrence, steps) in &self.progress.open {
            for (number, step) in steps.iter().enumerate() {
                let key = self.key(occurrence, number);
                let tasks = step.tasks.iter().enumerate();
                let tasks = tasks.filter(|(_, task)| task.placement.is_some());
                placed.extend(tasks.map(|(index, _)| key.task(index)));
            }
        }
        placed
    }
}
