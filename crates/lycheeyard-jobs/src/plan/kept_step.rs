use super::{
    host::Host,
    pending_step::PendingStep,
    place::{Locality, choose_hosts_by, slots_on},
    round::Round,
    speed_preference::SpeedPreference,
    step_room::AMPLE_TIMES,
};
use crate::{
    StepKey,
    scheduler::{JobScheduler, Now},
};
use std::time::Duration;

/// For how long preferences may keep a step from ample room while nothing of its job is at work. Callers are promised 3 s; a
/// planning round may come late twice, before the deadline is set and after it has passed.
const MAX_WAIT: Duration = Duration::from_secs(2);

impl JobScheduler {
    /// Starts the least that can start together of a step that preferences have kept from ample room until its deadline, also where
    /// room is left free for urgent work or drained for other steps. Returns whether it was started.
    pub(super) fn place_kept_step(&mut self, pending: &PendingStep, round: &mut Round) -> bool {
        let now = round.now;
        if self.is_at_work(pending, now) || !has_ample_room(pending, round) {
            self.clear_deadline(&pending.key);
            return false;
        }
        if !self.is_kept_for_long(&pending.key, now) {
            return false;
        }
        let part = least_part(pending);
        let hosts = round.hosts.as_slice();
        let preference = SpeedPreference::beside_urgent_steps(&part, now.wall);
        let chosen = choose_hosts_by(hosts, &part, Locality::Local, preference, Host::free);
        let Some(chosen) = chosen else {
            return false;
        };
        let tasks: Vec<(usize, usize)> = part.tasks.iter().copied().zip(chosen).collect();
        self.start_tasks(&part, &tasks, &mut round.hosts, now);
        true
    }

    /// Forgets since when a step has been kept from room.
    pub(super) fn clear_deadline(&mut self, key: &StepKey) {
        if let Some(entry) = self.jobs.get_mut(&key.job) {
            entry.kept_until.remove(key);
        }
    }

    /// Whether the deadline of a step has passed; sets it if it has none.
    fn is_kept_for_long(&mut self, key: &StepKey, now: Now) -> bool {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        let until = entry.kept_until.entry(key.clone());
        until
            .or_insert_with(|| now.boot.after(MAX_WAIT))
            .is_past(now.boot)
    }

    /// Whether the step has to wait for others of its job: something of the job is at work on a worker that reports. Each task of a
    /// long-running step counts for itself.
    fn is_at_work(&self, pending: &PendingStep, now: Now) -> bool {
        if pending.step().long_running {
            return false;
        }
        self.runs_of_job(&pending.key.job).any(|(_, run)| {
            let worker = self.workers.get(&run.worker.id);
            let reports = worker.is_some_and(|worker| !worker.is_unresponsive(now.boot));
            reports && run.stop_reason.is_none()
        })
    }
}

/// Whether the least that can start together of a step fits [`AMPLE_TIMES`] times.
fn has_ample_room(pending: &PendingStep, round: &mut Round) -> bool {
    if round.scarce_room.rules_out(pending) {
        return false;
    }
    let hosts = round.hosts.as_slice();
    let slots = slots_on(hosts, pending, Locality::Local, Host::free);
    let is_ample = slots >= pending.min_tasks().saturating_mul(AMPLE_TIMES);
    if !is_ample {
        round.scarce_room.record(pending);
    }
    is_ample
}

/// The tasks that have to start: one task, all members of a gang, or all tasks of a long-running step.
fn least_part(pending: &PendingStep) -> PendingStep {
    let mut part = pending.clone();
    if !part.step().long_running {
        part.tasks.truncate(pending.min_tasks());
    }
    part
}
