use super::{JobScheduler, Now, Run, RunPhase, STABLE_AFTER, WorkerEntry};
use crate::{RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::JobState;
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

/// A run that may have crashed its worker.
#[derive(Clone, Debug)]
pub(crate) struct CrashSuspect {
    task: TaskKey,
    run: RunNumber,
    worker: WorkerKey,
    /// Whether it had started shortly before the crash.
    had_just_started: bool,
}

impl CrashSuspect {
    fn new(task: &TaskKey, run: &Run, had_just_started: bool) -> Self {
        Self {
            task: task.clone(),
            run: run.number,
            worker: run.worker.clone(),
            had_just_started,
        }
    }
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
            self.end_run_as_lost(task, now);
        }
        self.count_crashes(suspects, now);
    }

    /// The runs that may have crashed their worker: those that had just started, or, if there are none, all others but
    /// long-running ones.
    pub(super) fn crash_suspects(&self, tasks: &BTreeSet<TaskKey>) -> Vec<CrashSuspect> {
        let runs = tasks
            .iter()
            .filter_map(|task| Some((task, self.runs.get(task)?)));
        let (started, others): (Vec<_>, Vec<_>) = runs
            .filter(|(_, run)| self.may_have_crashed_worker(run))
            .partition(|(_, run)| self.has_just_started(run));
        let had_just_started = !started.is_empty();
        let suspects = if had_just_started {
            started
        } else {
            let others = others.into_iter();
            others
                .filter(|(_, run)| !run.kind.is_long_running())
                .collect()
        };
        let suspects = suspects.into_iter();
        suspects
            .map(|(task, run)| CrashSuspect::new(task, run, had_just_started))
            .collect()
    }

    /// Notes with each run that it may have crashed its worker's former incarnation. It did not if the present one has carried
    /// its order out.
    pub(super) fn note_crash_suspects(&mut self, suspects: &[CrashSuspect]) {
        for suspect in suspects {
            if let Some(run) = self.runs.get_mut(&suspect.task) {
                run.crash_suspect = Some(suspect.clone());
            }
        }
    }

    /// Counts a crash for the tasks of those runs that have ended with their worker. The others count once they are found absent
    /// from its present incarnation.
    pub(super) fn count_crashes_of_ended_runs(
        &mut self,
        mut suspects: Vec<CrashSuspect>,
        now: Now,
    ) {
        suspects.retain(|suspect| {
            let run = self.runs.get(&suspect.task);
            run.is_none_or(|run| run.number != suspect.run)
        });
        self.count_crashes(suspects, now);
    }

    /// Counts a crash for the task of each run, and ends the jobs of tasks that have crashed too many workers.
    pub(super) fn count_crashes(&mut self, suspects: Vec<CrashSuspect>, now: Now) {
        for suspect in suspects {
            let Some(crashes) = self.count_crash(&suspect) else {
                continue;
            };
            let is_given_up = crashes >= MAX_WORKER_CRASHES;
            if is_given_up {
                self.end_job(&suspect.task.step.job, JobState::Failed, now);
            }
            self.worker_crashes.push(WorkerCrash {
                task: suspect.task,
                run: suspect.run,
                worker: suspect.worker,
                crashes,
                is_given_up,
            });
        }
    }

    /// Adds a crash to a task's progress, and returns how many workers have crashed during its runs.
    fn count_crash(&mut self, suspect: &CrashSuspect) -> Option<u32> {
        let task = &suspect.task;
        let key = &task.step;
        let entry = self.jobs.get_mut(&key.job)?;
        if suspect.had_just_started {
            entry.isolated_tasks.insert(task.clone());
        }
        let step = entry.progress.step_mut(key.occurrence, key.step)?;
        let progress = step.tasks.get_mut(task.index)?;
        progress.worker_crashes = progress.worker_crashes.saturating_add(1);
        self.dirty_jobs.insert(key.job.clone());
        Some(progress.worker_crashes)
    }

    /// Whether a run may have crashed its worker, which had not announced that it leaves. A start order that got no answer
    /// is no evidence: the worker may have been cut off, or down, before the order reached it.
    fn may_have_crashed_worker(&self, run: &Run) -> bool {
        run.may_have_crashed_worker && !self.has_announced_end(&run.worker)
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
