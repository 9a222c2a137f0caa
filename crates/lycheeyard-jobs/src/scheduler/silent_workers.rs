use super::{
    Evidence, JobScheduler, Now, Run, StopReason, WorkerEntry, incarnations::MAX_ORDER_DELAY,
    reports::UNLISTED_MARGIN,
};
use crate::{BootTime, TaskKey, WorkerKey};
use std::time::Duration;

/// How long before the lease of a silent worker counts as expired its unreported runs are stopped. By then the lease has expired on
/// the clock of the incarnation that is known, and an answer arrives before its runs start elsewhere.
const CLOSING_TIME: Duration = Duration::from_millis(600);

/// The part of [`MAX_ORDER_DELAY`] in which a worker is found that has started again. The next incarnation of a worker that is gone is asked
/// all the time.
const ASKING_TIME: Duration = Duration::from_secs(2);

impl JobScheduler {
    /// Stops the runs on silent workers that no report has listed, shortly before the leases count as expired.
    ///
    /// An answer to an order does not tell the incarnation. The worker may have started again unseen before it confirmed such a run, and
    /// late report requests for the former incarnation then extend the lease there.
    pub(super) fn close_runs_on_silent_workers(&mut self, now: Now) {
        let is_due = |entry: &&WorkerEntry| {
            let due_at = entry.lease_until;
            entry.is_unresponsive(now.boot) && due_at.is_past(now.boot.after(CLOSING_TIME))
        };
        let silent = self.workers.values().filter(is_due);
        let tasks: Vec<TaskKey> = silent
            .flat_map(|entry| entry.tasks.iter().cloned())
            .collect();
        for task in tasks {
            let run = self.runs.get_mut(&task);
            let Some(run) = run.filter(|run| run.may_be_unseen() && run.closing_since.is_none())
            else {
                continue;
            };
            run.closing_since = Some(now.boot);
            self.request_stop(&task, StopReason::Unanswered, now.boot);
        }
    }

    /// Whether copies of start orders may reach the next incarnation of a worker that does not answer.
    pub(super) fn awaits_next_incarnation(&self, entry: &WorkerEntry, now: BootTime) -> bool {
        let may_be_late = |task: &TaskKey| {
            let run = self.runs.get(task);
            run.is_some_and(|run| !run.copies_until.is_past(now))
        };
        entry.silent_since.is_some()
            && (entry.has_late_copies(now) || entry.tasks.iter().any(may_be_late))
    }

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
            run.is_none_or(|run| self.may_run_until(run, entry, now).is_past(now))
        });
        ended.cloned().collect()
    }

    /// When a run has certainly ended if its worker stays silent.
    ///
    /// A worker may have started again unseen. A late copy of the start order may then begin the run on the new incarnation, for
    /// one lease, and late report requests and orders may extend that lease. Once no copy can begin the run on a next incarnation of a worker
    /// that is gone, and none has answered or is listed, there is none that has it.
    pub(crate) fn may_run_until(&self, run: &Run, entry: &WorkerEntry, now: BootTime) -> BootTime {
        if entry.is_gone(now) {
            return entry.lease_until.max(copies_begin_until(run, entry));
        }
        let lease_until = entry.lease_until.max(entry.late_lease_until);
        if run.copies_until.is_past(entry.seen_at) {
            let longest_stop = self.limits.stop_timeout + UNLISTED_MARGIN;
            let stopped = run.closed_at.map(|at| at.after(longest_stop));
            return stopped.map_or(lease_until, |at| at.max(lease_until));
        }
        let late_extension_until = entry.lease_until.after(MAX_ORDER_DELAY);
        let late_extension_until = late_extension_until.max(entry.late_lease_until);
        late_extension_until.max(self.lease_end(run.copies_until))
    }
}

/// Until when a copy of a run's start order may begin it on the next incarnation of a worker that is gone.
fn copies_begin_until(run: &Run, entry: &WorkerEntry) -> BootTime {
    if run.copies_until.is_past(entry.seen_at) {
        return BootTime(0);
    }
    let asking_ms = u64::try_from(ASKING_TIME.as_millis()).unwrap_or(u64::MAX);
    BootTime(run.copies_until.0.saturating_sub(asking_ms))
}
