use super::running_tasks::RunningTasks;
use crate::{StepKey, TaskKey, scheduler::JobScheduler};
use std::collections::{BTreeMap, BTreeSet};

/// How many tasks of the steps that limit their unavailable tasks may still be stopped.
struct StopLimits<'a> {
    scheduler: &'a JobScheduler,
    left: BTreeMap<StepKey, u32>,
}

/// Returns the victims that may not be stopped together with the others, since their steps allow fewer tasks to be unavailable.
pub(super) fn surplus_victims(
    scheduler: &JobScheduler,
    runs: &RunningTasks,
    victims: &[TaskKey],
) -> BTreeSet<TaskKey> {
    let mut limits = StopLimits {
        scheduler,
        left: BTreeMap::new(),
    };
    let is_planned = |task: &TaskKey| runs.get(task).is_some_and(|run| run.is_planned);
    let surplus = victims.iter().filter(|task| !is_planned(task));
    let surplus = surplus.filter(|task| !limits.take(task));
    surplus.cloned().collect()
}

/// Returns the runs of all steps that limit their unavailable tasks.
pub(super) fn limited_runs(scheduler: &JobScheduler, runs: &RunningTasks) -> BTreeSet<TaskKey> {
    let is_limited = |task: &TaskKey| {
        let step = scheduler.step(&task.step);
        step.is_some_and(|step| step.long_running && step.max_unavailable.is_some())
    };
    let started = runs.iter().filter(|run| !run.is_planned);
    let limited = started.filter(|run| is_limited(&run.task));
    limited.map(|run| run.task.clone()).collect()
}

impl StopLimits<'_> {
    /// Counts a task as stopped; false if its step allows no more.
    fn take(&mut self, task: &TaskKey) -> bool {
        let Some(step) = self.scheduler.step(&task.step) else {
            return true;
        };
        let Some(max_unavailable) = step.max_unavailable.filter(|_| step.long_running) else {
            return true;
        };
        let left = self.left.entry(task.step.clone()).or_insert_with(|| {
            let unavailable = self.scheduler.unavailable_tasks(&task.step, step);
            max_unavailable.saturating_sub(unavailable)
        });
        if step.gang {
            // Its members are stopped together.
            return *left >= step.tasks;
        }
        let may_stop = *left > 0;
        *left = left.saturating_sub(1);
        may_stop
    }
}
