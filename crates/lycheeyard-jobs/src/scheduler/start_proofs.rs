use super::{JobScheduler, RunPhase};
use crate::{TaskKey, TaskProgress};

impl JobScheduler {
    /// Records that the worker in a run's placement has begun the run, so that a successor knows.
    pub(super) fn record_begun(&mut self, task: &TaskKey) {
        self.record_proof(task, |progress| &mut progress.has_begun);
    }

    /// Records that every copy of a run's start order was answered, or is not carried out any more, so that a successor waits for none.
    pub(super) fn record_answered(&mut self, task: &TaskKey) {
        self.record_proof(task, |progress| &mut progress.is_answered);
    }

    /// Writes the proofs of the other tasks of a step that have waited for the outcome of a start order, which proves nothing.
    pub(super) fn write_proofs(&mut self, task: &TaskKey) {
        if !self.awaits_outcomes_beside(task) {
            self.dirty_jobs.insert(task.step.job.clone());
        }
    }

    /// Sets a flag in a task's progress. The record is written once no other start order of the step waits for its outcome, so that
    /// the starts of a step take one more write.
    fn record_proof(&mut self, task: &TaskKey, flag: fn(&mut TaskProgress) -> &mut bool) {
        let awaits_others = self.awaits_outcomes_beside(task);
        let key = &task.step;
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let step = entry.progress.step_mut(key.occurrence, key.step);
        let Some(progress) = step.and_then(|step| step.tasks.get_mut(task.index)) else {
            return;
        };
        let was_set = std::mem::replace(flag(progress), true);
        if !was_set && !awaits_others {
            self.dirty_jobs.insert(key.job.clone());
        }
    }

    /// Whether start orders of other tasks of a step have no outcome yet.
    fn awaits_outcomes_beside(&self, task: &TaskKey) -> bool {
        let mut runs = self.runs_of(&task.step);
        runs.any(|(other, run)| {
            other != task && run.phase == RunPhase::Ordered && run.awaits_outcome
        })
    }
}
