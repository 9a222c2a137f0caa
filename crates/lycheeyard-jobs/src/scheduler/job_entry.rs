use super::Restart;
use crate::{BootTime, Job, Progress, StepKey, TaskKey};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// A job and what the scheduler knows of it.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub job: Arc<Job>,
    pub progress: Progress,
    /// Whether a record of its progress is in the store.
    pub has_record: bool,
    /// How often runs of a step made room for others.
    pub preemptions: BTreeMap<StepKey, u32>,
    /// The long-running tasks that ended early, and when they may start again.
    pub restarts: BTreeMap<TaskKey, Restart>,
    /// The workers on which tasks of a step failed.
    pub avoided_workers: BTreeMap<StepKey, BTreeSet<WorkerId>>,
}

impl JobEntry {
    pub fn new(job: Arc<Job>, progress: Option<Progress>) -> Self {
        Self {
            job,
            has_record: progress.is_some(),
            progress: progress.unwrap_or_default(),
            preemptions: BTreeMap::new(),
            restarts: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
        }
    }

    pub fn key(&self, occurrence: u32, step: usize) -> StepKey {
        StepKey {
            job: self.job.id.clone(),
            occurrence,
            step,
        }
    }

    /// Whether nothing puts the next start of a task off.
    pub fn may_start(&self, step: &StepKey, index: usize, now: BootTime) -> bool {
        if self.restarts.is_empty() {
            return true;
        }
        let restart = self.restarts.get(&step.task(index));
        restart.is_none_or(|restart| restart.not_before.is_past(now))
    }

    /// The tasks whose last run has not ended.
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
