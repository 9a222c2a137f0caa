use super::{JobScheduler, Now, Run, RunKind, RunPhase, StopReason};
use crate::TaskKey;
use lycheeyard_protocol::WorkerId;
use std::time::Duration;

/// A stop order is sent again after this, until the run has ended.
pub(super) const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// A run without progress for this long counts as stalled, or for longer if its next percent may take longer.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// A percent of a run may take this many times as long as expected: workers differ in speed, and run times are only estimated.
const MAX_PERCENT_FACTOR: u64 = 4;
const PERCENT: u64 = 100;

impl JobScheduler {
    /// Handles everything that depends on time alone. The driver calls it regularly.
    pub fn tick(&mut self, now: Now) {
        self.open_due_occurrences(now);
        self.note_unlisted_workers(now);
        self.close_runs_on_silent_workers(now);
        self.end_runs_on_silent_workers(now);
        self.stop_stalled(now);
        self.stop_cpu_starved(now);
        self.plan_maintenance(now);
        self.evacuate(now);
        self.update_speeds(now);
        self.resend_stops(now);
        self.apply_remembered_listings(now);
        self.forget_other_incarnations(now);
    }

    fn open_due_occurrences(&mut self, now: Now) {
        for entry in self.jobs.values_mut() {
            if entry.job.schedule.is_none() || entry.progress.state.is_final() {
                continue;
            }
            self.plan_due |= entry.progress.open_due(&entry.job, now.wall);
        }
    }

    /// Stops runs that make no progress on responsive workers, and quarantines those workers.
    fn stop_stalled(&mut self, now: Now) {
        let stalled: Vec<(TaskKey, WorkerId)> = self
            .runs
            .iter()
            .filter(|(task, run)| {
                is_stalled(run, MIN_STALL_TIMEOUT, now)
                    && is_stalled(run, self.stall_timeout(task), now)
            })
            .map(|(task, run)| (task.clone(), run.worker.id.clone()))
            .collect();
        for (task, worker) in stalled {
            if self
                .workers
                .get(&worker)
                .is_none_or(|entry| entry.is_unresponsive(now.boot))
            {
                continue;
            }
            self.quarantine(&worker, now.boot);
            self.avoid_worker(&task, &worker);
            self.request_stop(&task, StopReason::Stalled, now.boot);
        }
    }

    /// How long a run of a task may take for a percent of its work, also off the rack of its data or with its gang on several racks.
    fn stall_timeout(&self, task: &TaskKey) -> Duration {
        let entry = self.jobs.get(&task.step.job);
        let expected_ms = entry.map_or(0, |entry| {
            let step = entry.job.steps.get(task.step.step);
            let expected_ms = step.map_or(0, |step| step.expected_ms);
            self.run_times
                .corrected_ms(&entry.job.queue, expected_ms)
                .max(expected_ms)
        });
        let remote_ms = expected_ms.saturating_mul(u64::from(self.limits.remote_slowdown));
        let percent_ms = remote_ms.saturating_mul(MAX_PERCENT_FACTOR) / PERCENT;
        MIN_STALL_TIMEOUT.max(Duration::from_millis(percent_ms))
    }

    /// Sends stop orders again for runs that have not ended yet.
    fn resend_stops(&mut self, now: Now) {
        let due: Vec<TaskKey> = self
            .runs
            .iter_mut()
            .filter(|(_, run)| run.stop_reason.is_some() && run.phase != RunPhase::Planned)
            .filter_map(|(task, run)| {
                let sent_at = *run.stop_sent_at.get_or_insert(now.boot);
                let is_due = sent_at.after(STOP_RETRY_INTERVAL).is_past(now.boot);
                if is_due {
                    run.stop_sent_at = Some(now.boot);
                }
                is_due.then(|| task.clone())
            })
            .collect();
        for task in due {
            self.push_requested_stop(&task);
        }
    }
}

fn is_stalled(run: &Run, timeout: Duration, now: Now) -> bool {
    run.phase == RunPhase::Present
        && run.stop_reason.is_none()
        && run.progress.0 < 100
        && run.kind != RunKind::BestEffort
        && run.progressed_at.after(timeout).is_past(now.boot)
}
