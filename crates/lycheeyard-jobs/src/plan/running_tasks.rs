use super::hosts::Hosts;
use crate::{
    Job, Resources, StepKey, TaskKey,
    scheduler::{JobScheduler, Now, RunPhase},
};
use std::{collections::BTreeSet, sync::Arc};

/// A run on a host as a planning round sees it.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent"
)]
pub(super) struct RunningTask {
    pub task: TaskKey,
    pub job: Arc<Job>,
    /// The index of its host.
    pub host: usize,
    pub demand: Resources,
    pub priority: u32,
    /// What its stop would cost, before the weight that depends on the step that needs room.
    pub stop_cost: u64,
    /// Whether it runs until its job is cancelled, so that only guaranteed steps may preempt it.
    pub is_long_running: bool,
    /// Whether its start waits for the record of its job; it ends as soon as it is stopped.
    pub is_planned: bool,
    /// Whether a deadline has let it start so recently that only guaranteed steps may preempt it.
    pub is_kept: bool,
    pub is_stopping: bool,
    /// Whether a stop was requested and it has not ended in time, so that its room cannot be relied upon.
    pub is_stop_overdue: bool,
    /// The step for which its room is drained, if a deadline has let it start there.
    pub drained_for: Option<StepKey>,
}

/// The runs on the hosts when a planning round first looks for runs to stop. They are collected once, since a round may do so
/// for many steps; runs that it starts later are not among them.
#[derive(Clone, Debug)]
pub(super) struct RunningTasks(Vec<RunningTask>);

impl RunningTasks {
    pub fn new(scheduler: &JobScheduler, hosts: &Hosts, now: Now) -> Self {
        let runs = scheduler.runs.iter();
        let running = runs.filter_map(|(task, run)| {
            let host = hosts.index_of_key(&run.worker)?;
            let job = scheduler.jobs.get(&task.step.job)?.job.clone();
            Some(RunningTask {
                priority: scheduler.queue_policy(&job).priority,
                host,
                demand: run.demand,
                stop_cost: scheduler.stop_cost(task, run, now.boot),
                is_long_running: run.kind.is_long_running(),
                is_planned: run.phase == RunPhase::Planned,
                is_kept: run.is_kept(now.boot),
                is_stopping: run.stop_reason.is_some(),
                is_stop_overdue: run.is_stop_overdue(now.boot),
                drained_for: run
                    .late_start
                    .as_ref()
                    .and_then(|start| start.drained_for.clone()),
                task: task.clone(),
                job,
            })
        });
        Self(running.collect())
    }

    /// Returns the run of a task.
    pub fn get(&self, task: &TaskKey) -> Option<&RunningTask> {
        // The runs are in the order of their tasks.
        let position = self.0.binary_search_by(|running| running.task.cmp(task));
        position.ok().map(|position| &self.0[position])
    }

    pub fn iter(&self) -> impl Iterator<Item = &RunningTask> {
        self.0.iter()
    }

    /// Notes that the runs of these tasks are stopped, with the other members of their gangs. Planned ones have ended, but
    /// the hosts of the round still count their resources.
    pub fn mark_stopping(&mut self, scheduler: &JobScheduler, victims: &[TaskKey]) {
        let steps: BTreeSet<&StepKey> = victims.iter().map(|task| &task.step).collect();
        for running in &mut self.0 {
            if !running.is_stopping && steps.contains(&running.task.step) {
                let run = scheduler.runs.get(&running.task);
                running.is_stopping = run.is_none_or(|run| run.stop_reason.is_some());
            }
        }
    }
}
