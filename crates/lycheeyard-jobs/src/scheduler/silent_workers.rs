use super::{Evidence, JobScheduler, Now, Run, WorkerEntry, incarnations::MAX_ORDER_DELAY};
use crate::{BootTime, TaskKey, WorkerKey};

impl JobScheduler {
    /// Ends the runs on unresponsive workers that have certainly ended, since their leases have expired.
    pub(super) fn end_runs_on_silent_workers(&mut self, now: Now) {
        let silent: Vec<WorkerKey> = self
            .workers
            .values()
            .filter(|entry| entry.lease_until.is_past(now.boot) && entry.is_unresponsive(now.boot))
            .filter(|entry| !entry.tasks.is_empty())
            .map(|entry| entry.key.clone())
            .collect();
        for worker in silent {
            self.await_report(&worker);
            if let Some(entry) = self.worker_mut(&worker) {
                entry.evidence = Evidence::Listing;
            }
            for task in self.ended_with_lease(&worker, now.boot) {
                self.end_run_as_lost(&task, now);
            }
        }
    }

    /// The tasks whose runs on a silent worker have certainly ended.
    fn ended_with_lease(&self, worker: &WorkerKey, now: BootTime) -> Vec<TaskKey> {
        let Some(entry) = self.workers.get(&worker.id) else {
            return Vec::new();
        };
        let tasks = entry.tasks.iter();
        let ended = tasks.filter(|task| {
            let run = self.runs.get(task);
            run.is_none_or(|run| self.may_run_until(run, entry).is_past(now))
        });
        ended.cloned().collect()
    }

    /// When a run has certainly ended if its worker stays silent.
    ///
    /// A worker may have started again unseen. A late copy of the start order may then begin the run on the new incarnation, for
    /// one lease, and late report requests and orders may extend that lease.
    fn may_run_until(&self, run: &Run, entry: &WorkerEntry) -> BootTime {
        if run.copies_until.is_past(entry.seen_at) {
            return entry.lease_until;
        }
        let late_extension_until = entry.lease_until.after(MAX_ORDER_DELAY);
        late_extension_until.max(self.lease_end(run.copies_until))
    }
}
