use super::{JobScheduler, Now, Run, RunPhase, STABLE_AFTER, WorkerEntry};
use crate::{RunEnd, RunNumber, TaskKey, WorkerKey};
use std::collections::BTreeSet;

/// A job is given up once this many workers have crashed during runs of one task. One crash may have another cause, and a
/// task that shared the worker of a crashing one must not be given up with it.
const MAX_WORKER_CRASHES: u32 = 3;

/// A run during which its worker crashed, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerCrash {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The incarnation of the worker that crashed.
    pub worker: WorkerKey,
    /// How many workers have crashed during runs of the task.
    pub crashes: u32,
    /// Whether the job is given up for it.
    pub is_given_up: bool,
}

impl JobScheduler {
    /// Takes the runs during which workers crashed since the last call.
    pub fn take_worker_crashes(&mut self) -> Vec<WorkerCrash> {
        std::mem::take(&mut self.worker_crashes)
    }

    /// Ends the runs of a worker's incarnation, which has ended.
    pub(crate) fn end_runs_with_worker(&mut self, tasks: &BTreeSet<TaskKey>, now: Now) {
        let suspects = self.crash_suspects(tasks);
        for task in tasks {
            if suspects.contains(task) {
                self.end_run_as_crashed(task, now);
            } else {
                self.end_run_as_lost(task, now);
            }
        }
    }

    fn end_run_as_crashed(&mut self, task: &TaskKey, now: Now) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let (number, worker) = (run.number, run.worker.clone());
        if self.has_just_started(run)
            && let Some(entry) = self.jobs.get_mut(&task.step.job)
        {
            entry.isolated_tasks.insert(task.clone());
        }
        self.end_run(task, number, RunEnd::WorkerCrashed, None, now);
        self.worker_crashes.push(WorkerCrash {
            task: task.clone(),
            run: number,
            worker,
            crashes: self.worker_crashes_of(task),
            is_given_up: self.has_crashed_too_many_workers(task),
        });
    }

    /// The tasks that may have crashed their worker: those that had just started, or, if there are none, all others but
    /// long-running ones.
    fn crash_suspects(&self, tasks: &BTreeSet<TaskKey>) -> BTreeSet<TaskKey> {
        let runs = tasks
            .iter()
            .filter_map(|task| Some((task, self.runs.get(task)?)));
        let (started, others): (Vec<_>, Vec<_>) = runs
            .filter(|(_, run)| self.may_have_crashed_worker(run))
            .partition(|(_, run)| self.has_just_started(run));
        let others = others
            .into_iter()
            .filter(|(_, run)| started.is_empty() && !run.kind.is_long_running());
        let others: Vec<_> = others.collect();
        let suspects = started.into_iter().chain(others);
        suspects.map(|(task, _)| task.clone()).collect()
    }

    /// Whether so many workers have crashed during runs of a task that its job is given up.
    pub(crate) fn has_crashed_too_many_workers(&self, task: &TaskKey) -> bool {
        self.worker_crashes_of(task) >= MAX_WORKER_CRASHES
    }

    fn worker_crashes_of(&self, task: &TaskKey) -> u32 {
        let entry = self.jobs.get(&task.step.job);
        let progress = entry.and_then(|entry| entry.progress.task(task));
        progress.map_or(0, |task| task.worker_crashes)
    }

    /// Whether the order to start a run was sent, and its worker had not announced that it leaves.
    fn may_have_crashed_worker(&self, run: &Run) -> bool {
        run.phase != RunPhase::Planned && !self.has_announced_end(&run.worker)
    }

    /// Whether a worker had announced that it leaves, or its machine was about to be taken down.
    fn has_announced_end(&self, key: &WorkerKey) -> bool {
        let entry = self.workers.get(&key.id);
        let entry = entry.filter(|entry| entry.key == *key && entry.info.is_some());
        entry.is_some_and(WorkerEntry::is_leaving)
    }

    /// Whether a run had started less than `STABLE_AFTER` before the last report of its worker, or had not been confirmed.
    fn has_just_started(&self, run: &Run) -> bool {
        let Some(since) = run.present_since else {
            return run.phase == RunPhase::Ordered;
        };
        let entry = self.workers.get(&run.worker.id);
        let reported_at = entry.map(|entry| entry.last_report_at);
        reported_at.is_none_or(|at| !since.after(STABLE_AFTER).is_past(at))
    }
}
