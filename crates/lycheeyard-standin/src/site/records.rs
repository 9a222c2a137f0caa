use lycheeyard_jobs::{Batch, BootTime, Job, Progress, TaskKey};
use lycheeyard_protocol::JobId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// What is durable, and what is being written.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    pub jobs: BTreeMap<JobId, Arc<Job>>,
    /// The cancelled jobs and when they were cancelled.
    pub cancelled: BTreeMap<JobId, BootTime>,
    pub progress: BTreeMap<JobId, Progress>,
    pub writing: Option<(BootTime, Batch)>,
    /// Tasks that were done when their end was acknowledged.
    pub done: BTreeSet<TaskKey>,
}

impl Records {
    /// The batch that is durable by now, if there is one.
    pub fn finish_write(&mut self, now: BootTime) -> Option<Batch> {
        let (at, _) = self.writing.as_ref()?;
        if !at.is_past(now) {
            return None;
        }
        let (_, batch) = self.writing.take()?;
        for change in &batch.changes {
            self.progress
                .insert(change.job.clone(), change.progress.clone());
        }
        Some(batch)
    }

    /// Whether the durable record names a run.
    pub fn names(&self, task: &TaskKey, run: lycheeyard_jobs::RunNumber) -> bool {
        let progress = self.progress.get(&task.step.job);
        let task = progress.and_then(|progress| progress.task(task));
        task.is_some_and(|task| task.run >= run)
    }
}
