use super::{
    hosts::Hosts,
    pending_step::PendingStep,
    place::{Locality, choose_hosts, slots_on_empty_hosts},
    round::Round,
};
use crate::scheduler::{JobScheduler, Now};
use std::time::Duration;

/// How long a job of which nothing runs waits for a better placement while most of the room of its service is free.
const MAX_WAIT_BESIDE_ROOM: Duration = Duration::from_secs(6);
/// How long such a job waits for workers in quarantine if no others can run it, also if they were empty.
const MAX_WAIT_FOR_QUARANTINE: Duration = Duration::from_secs(1);
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
        let Some(waited) = self.time_without_runs(pending, round.now) else {
            return false;
        };
        if waited < MAX_WAIT_FOR_QUARANTINE
            || !round.hosts.is_mostly_free(&pending.service)
            || round.last_resort_failures.rules_out(pending)
            || waited < max_wait(pending, &round.hosts)
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

    /// For how long planning rounds have found that a step waits and nothing of its job runs; `None` if something runs.
    fn time_without_runs(&mut self, pending: &PendingStep, now: Now) -> Option<Duration> {
        let id = &pending.key.job;
        let mut runs = self.runs_of_job(self.jobs.get(id)?);
        let is_at_work = runs.any(|(_, run)| {
            let worker = self.workers.get(&run.worker.id);
            let reports = worker.is_some_and(|worker| !worker.is_unresponsive(now.boot));
            reports && run.stop_reason.is_none()
        });
        drop(runs);
        let entry = self.jobs.get_mut(id)?;
        if is_at_work {
            entry.kept_since = None;
            return None;
        }
        let since = *entry.kept_since.get_or_insert(now.boot);
        Some(now.boot.since(since))
    }
}

fn max_wait(pending: &PendingStep, hosts: &Hosts) -> Duration {
    let slots = slots_on_empty_hosts(hosts.as_slice(), &pending.on_any_rack());
    if slots < pending.min_tasks() {
        MAX_WAIT_FOR_QUARANTINE
    } else {
        MAX_WAIT_BESIDE_ROOM
    }
}
