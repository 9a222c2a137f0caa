use super::order_lines::TaskList;
use lycheeyard_jobs::{RunNumber, StepKey, WorkerCrash};
use std::collections::BTreeMap;
use tracing::warn;

/// Logs the runs during which workers crashed, one line for each run of a step.
pub(super) fn log_worker_crashes(crashes: &[WorkerCrash]) {
    let mut lines: BTreeMap<(&StepKey, RunNumber), TaskList> = BTreeMap::new();
    for crash in crashes {
        let tasks = lines.entry((&crash.task.step, crash.run)).or_default();
        tasks.push(&crash.task, &crash.worker.id);
    }
    for ((step, run), tasks) in lines {
        warn!(job = %step.job, %step, %run, %tasks, "run: worker crashed");
    }
}
