use super::{JobScheduler, Run, RunKind};
use crate::{BootTime, RunEnd, TaskKey};
use lycheeyard_protocol::WorkerId;
use std::time::Duration;

/// So many failures in a row on one worker put it aside.
const FAILURES_TO_QUARANTINE: u32 = 2;
const QUARANTINE: Duration = Duration::from_secs(4);
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;

impl JobScheduler {
    /// Learns from a run that did the whole work near its data.
    pub(super) fn note_run_time(&mut self, task: &TaskKey, run: &Run, now: BootTime) {
        let is_usual = run.is_from_scratch && run.kind == RunKind::Batch;
        let Some(since) = run.present_since.filter(|_| is_usual) else {
            return;
        };
        let Some(entry) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some(step) = entry.job.steps.get(task.step.step) else {
            return;
        };
        let took = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        self.run_times
            .record(&entry.job.queue, step.expected_ms, took);
    }

    /// Keeps count of a worker's failures and puts it aside where they come in a row.
    pub(super) fn note_health(
        &mut self,
        task: &TaskKey,
        worker: &WorkerId,
        how: RunEnd,
        now: BootTime,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match how {
            RunEnd::Done => entry.failures = 0,
            RunEnd::Failed => {
                entry.failures += 1;
                if entry.failures >= FAILURES_TO_QUARANTINE {
                    let doublings = entry.failures - FAILURES_TO_QUARANTINE;
                    let factor = 1 << doublings.min(MAX_QUARANTINE_DOUBLINGS);
                    entry.quarantined_until = now.after(QUARANTINE * factor);
                }
                self.avoid_worker(task, worker);
            }
            _ => {}
        }
    }

    pub(crate) fn avoid_worker(&mut self, task: &TaskKey, worker: &WorkerId) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let avoid = job.avoided_workers.entry(task.step.clone()).or_default();
            avoid.insert(worker.clone());
        }
    }

    /// Puts a worker aside that does not do its work.
    pub(crate) fn quarantine(&mut self, worker: &WorkerId, now: BootTime) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.failures += FAILURES_TO_QUARANTINE;
            entry.quarantined_until = now.after(QUARANTINE);
        }
    }
}
