use super::{JobScheduler, Run, RunKind};
use crate::{BootTime, RunEnd, TaskKey, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::time::Duration;

/// A worker is quarantined after this many consecutive failures.
const FAILURES_TO_QUARANTINE: u32 = 2;
/// The first quarantine. It doubles with each further consecutive failure.
const BASE_QUARANTINE: Duration = Duration::from_secs(4);
const MAX_QUARANTINE_DOUBLINGS: u32 = 4;
/// How long a worker that has refused a start for lack of room receives no new runs.
const FULL_WORKER_PAUSE: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Records the run time of a batch run that did all of the work, without a checkpoint and near its data.
    pub(super) fn record_run_time(&mut self, task: &TaskKey, run: &Run, now: BootTime) {
        let is_representative = run.has_representative_run_time && run.kind == RunKind::Batch;
        let Some(since) = run.present_since.filter(|_| is_representative) else {
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

    /// Counts the consecutive failures of a worker and quarantines it when there are too many.
    pub(super) fn record_health(
        &mut self,
        task: &TaskKey,
        worker: &WorkerId,
        outcome: RunEnd,
        now: BootTime,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match outcome {
            RunEnd::Done => entry.failures = 0,
            RunEnd::Failed => {
                entry.failures = entry.failures.saturating_add(1);
                if entry.failures >= FAILURES_TO_QUARANTINE {
                    let doublings = entry.failures - FAILURES_TO_QUARANTINE;
                    let factor = 1 << doublings.min(MAX_QUARANTINE_DOUBLINGS);
                    entry.quarantined_until = now.after(BASE_QUARANTINE * factor);
                }
                self.avoid_worker(task, worker);
            }
            _ => {}
        }
    }

    /// Makes later runs of the task's step prefer other workers.
    pub(crate) fn avoid_worker(&mut self, task: &TaskKey, worker: &WorkerId) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            let avoided = job.avoided_workers.entry(task.step.clone()).or_default();
            avoided.insert(worker.clone());
        }
    }

    /// Places no new runs for a while on a worker that has refused one for lack of room: it has less than it is known to have.
    pub(super) fn pause_full_worker(&mut self, worker: &WorkerKey, now: BootTime) {
        if let Some(entry) = self.worker_mut(worker) {
            entry.full_until = now.after(FULL_WORKER_PAUSE);
        }
    }

    /// Quarantines a worker on which a run makes no progress.
    pub(crate) fn quarantine(&mut self, worker: &WorkerId, now: BootTime) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.failures = entry.failures.saturating_add(FAILURES_TO_QUARANTINE);
            entry.quarantined_until = now.after(BASE_QUARANTINE);
        }
    }
}
