use super::{JobScheduler, Now, Run, RunPhase, StopReason};
use crate::{Step, StepKey, TaskKey};
use lycheeyard_protocol::Percent;
use std::collections::BTreeSet;

/// The progress that a long-running task reports once it has fully started.
const FULLY_STARTED: Percent = Percent(100);

impl JobScheduler {
    /// Stops long-running tasks on workers that are about to leave or whose data centre is evacuated, so that they restart
    /// on other workers. Other runs there continue.
    ///
    /// A task is stopped only while fewer tasks of its step are unavailable than the step allows.
    pub(super) fn evacuate(&mut self, now: Now) {
        let mut leaving: Vec<TaskKey> = Vec::new();
        for entry in self.workers.values() {
            if entry.is_being_emptied() {
                leaving.extend(entry.tasks.iter().cloned());
            }
        }
        let mut steps = BTreeSet::new();
        for task in leaving {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let may_evacuate = run.kind.is_long_running()
                && run.phase == RunPhase::Present
                && run.stop_reason.is_none();
            if may_evacuate
                && steps.insert(task.step.clone())
                && self.is_evacuation_allowed(&task, now)
            {
                self.stop_with_gang(&task, StopReason::Evacuated, now.boot);
            }
        }
    }

    /// Whether one more task of the step may be unavailable, and another worker has capacity for this one.
    fn is_evacuation_allowed(&self, task: &TaskKey, now: Now) -> bool {
        let Some(step) = self.step(&task.step) else {
            return false;
        };
        let unavailable = self.unavailable_tasks(&task.step, step);
        unavailable < step.max_unavailable.unwrap_or(1).max(1)
            && self.has_capacity_for(task, step, now)
    }

    /// How many tasks of a long-running step are not fully started, or are being stopped.
    pub(crate) fn unavailable_tasks(&self, key: &StepKey, step: &Step) -> u32 {
        let is_available = |run: &Run| {
            run.phase == RunPhase::Present
                && run.stop_reason.is_none()
                && run.progress == FULLY_STARTED
        };
        let runs = self.runs_of(key);
        let available = runs.filter(|(_, run)| is_available(run)).count();
        step.tasks
            .saturating_sub(u32::try_from(available).unwrap_or(u32::MAX))
    }

    /// Whether a worker that accepts new runs has capacity for the task.
    fn has_capacity_for(&self, task: &TaskKey, step: &Step, now: Now) -> bool {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let service = &self.queue_policy(&entry.job).service;
        self.workers.values().any(|entry| {
            let Some(info) = entry.info.as_ref().filter(|_| entry.accepts_runs(now.boot)) else {
                return false;
            };
            info.service == *service
                && !entry.is_over_capacity()
                && step.accepts_labels(&info.labels)
                && info
                    .capacity
                    .saturating_sub(&entry.used)
                    .can_fit(&step.reserved())
        })
    }
}
