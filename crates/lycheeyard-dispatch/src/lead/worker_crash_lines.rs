use super::order_lines::TaskList;
use lycheeyard_jobs::{RunNumber, StepKey, WorkerCrash};
use std::collections::BTreeMap;
use tracing::warn;

/// Logs the runs during which workers crashed, one line for those tasks of a step's run under which equally many workers have
/// crashed, and the jobs that are given up for it.
pub(super) fn log_worker_crashes(crashes: &[WorkerCrash]) {
    let mut lines: BTreeMap<(&StepKey, RunNumber, u32), TaskList> = BTreeMap::new();
    for crash in crashes {
        let key = (&crash.task.step, crash.run, crash.crashes);
        let tasks = lines.entry(key).or_default();
        tasks.push(&crash.task, &crash.worker.id);
    }
    for ((step, run, crashes), tasks) in lines {
        warn!(job = %step.job, %step, %run, crashes, %tasks, "run: worker crashed");
    }
    for crash in crashes.iter().filter(|crash| crash.is_given_up) {
        warn!(job = %crash.task.step.job, task = %crash.task, crashes = crash.crashes, "job: given up, since it crashes workers");
    }
}
