use super::{JobScheduler, Now, Run, RunPhase, StopReason};
use crate::{Step, StepKey, TaskKey};
use lycheeyard_protocol::Percent;
use std::collections::BTreeSet;

/// A long-running task is at work once it reports all of its start as done.
const AT_WORK: Percent = Percent(100);

impl JobScheduler {
    /// Stops long-running tasks on workers that are about to leave, so that they are soon at work elsewhere; of
    /// each step only as many at a time as may be away.
    pub(super) fn evacuate(&mut self, now: Now) {
        let mut leaving: Vec<TaskKey> = Vec::new();
        for entry in self.workers.values() {
            if entry.is_leaving() {
                leaving.extend(entry.tasks.iter().cloned());
            }
        }
        let mut steps = BTreeSet::new();
        for task in leaving {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            let may_move = run.kind.is_long_running()
                && run.phase == RunPhase::Present
                && run.stop_reason.is_none();
            if may_move && steps.insert(task.step.clone()) && self.may_leave(&task, now) {
                self.stop_with_gang(&task, StopReason::Evacuated);
            }
        }
    }

    /// Whether a task may be away for a while, and there is room for it elsewhere.
    fn may_leave(&self, task: &TaskKey, now: Now) -> bool {
        let Some(step) = self.step(&task.step) else {
            return false;
        };
        let away = self.tasks_away(&task.step, step);
        away < step.max_unavailable.unwrap_or(1).max(1) && self.has_room_for(task, step, now)
    }

    /// How many tasks of a long-running step are not at work.
    fn tasks_away(&self, key: &StepKey, step: &Step) -> u32 {
        let is_at_work = |run: &Run| {
            run.phase == RunPhase::Present && run.stop_reason.is_none() && run.progress == AT_WORK
        };
        let runs = self.runs_of(key);
        let at_work = runs.filter(|(_, run)| is_at_work(run)).count();
        step.tasks
            .saturating_sub(u32::try_from(at_work).unwrap_or(u32::MAX))
    }

    fn has_room_for(&self, task: &TaskKey, step: &Step, now: Now) -> bool {
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let service = &self.queue_policy(&entry.job).service;
        self.workers.values().any(|entry| {
            let Some(info) = entry.info.as_ref().filter(|_| entry.accepts_runs(now.boot)) else {
                return false;
            };
            info.service == *service
                && step.accepts_labels(&info.labels)
                && info
                    .capacity
                    .saturating_sub(&entry.used)
                    .can_fit(&step.reserved())
        })
    }
}
