use super::order_lines::TaskList;
use crate::metrics::record_run_end;
use lycheeyard_jobs::{Batch, JobScheduler, RunEnd, RunNumber, StepKey, WorkerReport};
use lycheeyard_protocol::JobId;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;
use tracing::info;

/// How long the first end of a line waits for others.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Logs run ends, one line for the tasks of one run of a step that end in the same way at about the same time.
#[derive(Debug, Default)]
pub(super) struct RunEndLines {
    waiting: BTreeMap<(StepKey, RunNumber, RunEnd), TaskList>,
    /// When the waiting ends are logged.
    due_at: Option<Instant>,
}

impl RunEndLines {
    /// Counts the run ends that a report lists, and adds those that no earlier report of this term listed.
    pub fn add(&mut self, report: &WorkerReport, scheduler: &JobScheduler) {
        let last_recorded = scheduler.recorded_end(&report.worker);
        for end in &report.ended {
            record_run_end(end.outcome);
            if end.number <= last_recorded {
                continue;
            }
            let key = (end.task.step.clone(), end.run, end.outcome);
            let tasks = self.waiting.entry(key).or_default();
            tasks.push(&end.task, &report.worker.id);
            self.due_at
                .get_or_insert_with(|| Instant::now() + MAX_DELAY);
        }
    }

    /// Logs the waiting ends if they are due.
    pub fn log_due(&mut self) {
        if self.due_at.is_some_and(|due_at| due_at <= Instant::now()) {
            self.log_all();
        }
    }

    /// Logs the jobs that have ended with the records of a batch, after their waiting run ends.
    pub fn log_ended_jobs(&mut self, batch: &Batch) {
        let settled = batch
            .changes
            .iter()
            .filter(|change| change.progress.is_settled());
        for change in settled {
            self.log_of_job(&change.job);
            info!(job = %change.job, state = %change.progress.state, "job: ended");
        }
    }

    fn log_of_job(&mut self, id: &JobId) {
        let waiting = std::mem::take(&mut self.waiting);
        let (of_job, others) = waiting
            .into_iter()
            .partition(|((step, ..), _)| step.job == *id);
        self.waiting = others;
        log_lines(of_job);
    }

    fn log_all(&mut self) {
        self.due_at = None;
        log_lines(std::mem::take(&mut self.waiting));
    }
}

fn log_lines(lines: BTreeMap<(StepKey, RunNumber, RunEnd), TaskList>) {
    for ((step, run, how), tasks) in lines {
        info!(job = %step.job, %step, %run, %how, %tasks, "run: ended");
    }
}

impl Drop for RunEndLines {
    /// Logs what is waiting when the term ends.
    fn drop(&mut self) {
        self.log_all();
    }
}
