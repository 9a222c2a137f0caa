use super::{JobScheduler, Now, Run, RunKind, RunPhase, StopReason};
use crate::TaskKey;
use lycheeyard_protocol::{JobId, WorkerId};
use std::time::Duration;

/// An order to stop is sent again after this.
const STOP_AGAIN: Duration = Duration::from_millis(600);
/// Work that has not advanced for this long stands still.
const STALL: Duration = Duration::from_secs(4);
/// Jobs that have ended are kept for this long.
const KEEP_ENDED: Duration = Duration::from_secs(300);

impl JobScheduler {
    /// Does what follows from the passing of time alone.
    pub fn tick(&mut self, now: Now) {
        self.open_due_occurrences(now);
        self.lose_lapsed(now);
        self.stop_stalled(now);
        self.stop_paced_out(now);
        self.plan_maintenance(now);
        self.evacuate(now);
        self.compare_workers(now);
        self.repeat_stops(now);
    }

    /// The jobs whose records are no longer needed; they are forgotten here.
    pub fn take_expired(&mut self, now: Now) -> Vec<JobId> {
        let expired = |entry: &super::JobEntry| {
            let ended = entry.progress.ended_at;
            ended.is_some_and(|ended| ended.after(KEEP_ENDED).is_past(now.wall))
                && entry.placed_tasks().is_empty()
        };
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(id, entry)| expired(entry) && !self.dirty_jobs.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ids {
            self.jobs.remove(id);
        }
        ids
    }

    fn open_due_occurrences(&mut self, now: Now) {
        for entry in self.jobs.values_mut() {
            if entry.job.schedule.is_none() || entry.progress.state.is_final() {
                continue;
            }
            self.plan_due |= entry.progress.open_due(&entry.job, now.wall);
        }
    }

    /// Ends the runs on workers whose leases have surely ended.
    fn lose_lapsed(&mut self, now: Now) {
        let lapsed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|entry| entry.lease_until.is_past(now.boot) && entry.is_silent(now.boot))
            .filter(|entry| !entry.tasks.is_empty())
            .map(|entry| entry.id().clone())
            .collect();
        for id in lapsed {
            let key = self.workers[&id].key.clone();
            self.worker_lost(&key, now);
        }
    }

    fn stop_stalled(&mut self, now: Now) {
        let stalled: Vec<(TaskKey, WorkerId)> = self
            .runs
            .iter()
            .filter(|(_, run)| is_stalled(run, now))
            .map(|(task, run)| (task.clone(), run.worker.id.clone()))
            .collect();
        for (task, worker) in stalled {
            if self
                .workers
                .get(&worker)
                .is_none_or(|entry| entry.is_silent(now.boot))
            {
                continue;
            }
            self.quarantine(&worker, now.boot);
            self.avoid_worker(&task, &worker);
            self.request_stop(&task, StopReason::Stalled);
        }
    }

    fn repeat_stops(&mut self, now: Now) {
        let due: Vec<TaskKey> = self
            .runs
            .iter_mut()
            .filter(|(_, run)| run.stop_reason.is_some() && run.phase != RunPhase::Planned)
            .filter_map(|(task, run)| {
                let sent_at = *run.stop_sent_at.get_or_insert(now.boot);
                let is_due = sent_at.after(STOP_AGAIN).is_past(now.boot);
                if is_due {
                    run.stop_sent_at = Some(now.boot);
                }
                is_due.then(|| task.clone())
            })
            .collect();
        for task in due {
            self.order_stop(&task);
        }
    }
}

fn is_stalled(run: &Run, now: Now) -> bool {
    run.phase == RunPhase::Present
        && run.stop_reason.is_none()
        && run.progress.0 < 100
        && run.kind != RunKind::Filling
        && run.advanced_at.after(STALL).is_past(now.boot)
}
