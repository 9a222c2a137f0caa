use super::{
    pending_step::PendingStep,
    place::{Locality, choose_hosts},
    round::Round,
};
use crate::scheduler::{JobScheduler, Now};
use std::time::Duration;

/// How long a job of which nothing runs waits for a better placement while most of the room of its service is free.
const MAX_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(6);
/// Room that is drained for a step which is expected to start within this time is not taken as a last resort.
const SHORT_DRAIN: Duration = Duration::from_secs(5);

impl JobScheduler {
    /// Starts what may start together of a step, if nothing of its job has run for long although most of the room of its service is
    /// free: also where room is drained for long for other steps or left free for urgent work, and on workers in quarantine if it fits on no
    /// others, and off the rack of its data. Returns whether it was started.
    pub(super) fn place_as_last_resort(
        &mut self,
        pending: &PendingStep,
        round: &mut Round,
    ) -> bool {
        let has_waited = self.has_waited_for_long(pending, round.now);
        if !has_waited
            || !round.hosts.is_mostly_free(&pending.service)
            || round.last_resort_failures.rules_out(pending)
        {
            return false;
        }
        let mut part = pending.clone();
        part.tasks.truncate(pending.min_tasks());
        let hosts = round
            .hosts
            .as_last_resort(round.now.boot.after(SHORT_DRAIN));
        let near_data = choose_hosts(&hosts, &part, Locality::Local, round.now);
        let chosen = near_data.or_else(|| choose_hosts(&hosts, &part, Locality::Any, round.now));
        let Some(chosen) = chosen else {
            round.last_resort_failures.record(pending);
            return false;
        };
        let tasks: Vec<(usize, usize)> = part.tasks.iter().copied().zip(chosen).collect();
        self.start_tasks(&part, &tasks, &mut round.hosts, round.now);
        true
    }

    /// Whether planning rounds have found for [`MAX_WAIT_BESIDE_ROOM`] that a step waits and nothing of its job runs.
    fn has_waited_for_long(&mut self, pending: &PendingStep, now: Now) -> bool {
        let id = &pending.key.job;
        let Some(entry) = self.jobs.get(id) else {
            return false;
        };
        let mut runs = self.runs_of_job(entry);
        let is_at_work = runs.any(|(_, run)| {
            let worker = self.workers.get(&run.worker.id);
            let reports = worker.is_some_and(|worker| !worker.is_unresponsive(now.boot));
            reports && run.stop_reason.is_none()
        });
        drop(runs);
        let Some(entry) = self.jobs.get_mut(id) else {
            return false;
        };
        if is_at_work {
            entry.kept_since = None;
            return false;
        }
        let since = *entry.kept_since.get_or_insert(now.boot);
        since.after(MAX_WAIT_BESIDE_ROOM).is_past(now.boot)
    }
}
