use lycheeyard_jobs::{Batch, BootTime, Job, Progress, TaskKey};
use lycheeyard_protocol::JobId;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// The durable records and the batch that is being written.
#[derive(Clone, Debug, Default)]
pub(super) struct Records {
    pub jobs: BTreeMap<JobId, Arc<Job>>,
    /// The cancelled jobs and the times of their cancellation.
    pub cancelled: BTreeMap<JobId, BootTime>,
    pub progress: BTreeMap<JobId, Progress>,
    /// Jobs whose records are archived, so that a new scheduler does not read them. The records stay here for the checks.
    pub archived: BTreeSet<JobId>,
    pub writing: Option<(BootTime, Batch)>,
    /// Tasks whose successful end the scheduler has acknowledged.
    pub done: BTreeSet<TaskKey>,
}

impl Records {
    /// Stores and returns the batch whose write is finished at `now`, if any.
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

    /// Whether the durable record of a task contains this run or a later one.
    pub fn has_run(&self, task: &TaskKey, run: lycheeyard_jobs::RunNumber) -> bool {
        let progress = self.progress.get(&task.step.job);
        let task = progress.and_then(|progress| progress.task(task));
        task.is_some_and(|task| task.run >= run)
    }
}
