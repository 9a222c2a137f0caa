use super::{
    headroom::Headroom,
    hosts::Hosts,
    pending_start::PendingStart,
    pending_step::PendingStep,
    permits::Permits,
    place::{Locality, choose_hosts, slots_on_empty_hosts},
    step_room::SiteRoom,
    step_wait::StepWait,
};
use crate::{
    StepKey, TaskKey, WorkerExclusion,
    scheduler::{JobEntry, JobScheduler, Now, Run, RunPhase},
};
use std::{collections::BTreeMap, time::Duration};

/// A step was passed over in the last planning round if that was no longer ago than this.
const LAST_ROUND: Duration = Duration::from_secs(1);

/// A start is confirmed sooner than this after its run was placed, unless the store or the worker is slow.
const START_TIME: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Returns what keeps a step from starting; `None` if its turn has not come or all its tasks are done.
    pub(crate) fn step_wait(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        site: &SiteRoom,
        now: Now,
    ) -> Option<StepWait> {
        if !entry.is_turn_of(key) {
            return None;
        }
        let policy = self.queue_policy(&entry.job);
        let pending = |may_begin| {
            let times = &self.run_times;
            PendingStep::for_step(entry, key.clone(), may_begin, policy, times, now.boot)
        };
        let Some(mut pending) = pending(entry.progress.tasks_that_may_begin()) else {
            let without_room = match pending(usize::MAX) {
                Some(_) => StepWait::RecordFull,
                None => StepWait::RestartDelay,
            };
            let of_runs = self.wait_for_runs(key, now);
            return Some(of_runs.unwrap_or(without_room));
        };
        if policy.advice.is_some() {
            pending.permits = Permits::Advised(self.advice.permits(key, now.boot));
        }
        Some(self.wait_of_pending(&pending, entry, site, now))
    }

    /// The run of a step for which it waits longest.
    fn wait_for_runs(&self, key: &StepKey, now: Now) -> Option<StepWait> {
        let waits = self.runs_of(key).map(|(task, run)| {
            let entry = self.workers.get(&run.worker.id);
            let silent = entry.filter(|entry| entry.is_unresponsive(now.boot));
            let until = silent.map(|entry| self.may_run_until(run, entry, now.boot));
            let is_starting = until.is_none() && is_starting(run, now);
            let is_ordered = run.phase != RunPhase::Planned;
            (!is_starting, is_ordered, until, task, run)
        });
        let longest =
            waits.max_by_key(|(is_late, is_ordered, until, ..)| (*is_late, *is_ordered, *until));
        let (is_late, is_ordered, until, task, run) = longest?;
        let start = PendingStart {
            task: TaskKey::clone(task),
            run: run.number,
            worker: run.worker.clone(),
            phase: run.phase,
            since: run.placed_at,
        };
        if !is_late {
            return Some(StepWait::Starting { start });
        }
        if !is_ordered {
            return Some(StepWait::RecordNotDurable { start });
        }
        let entry = self.workers.get(&start.worker.id);
        Some(StepWait::RunNotEnded {
            silent_since: entry.and_then(|entry| entry.silent_since),
            unlisted_since: entry.and_then(|entry| entry.unlisted_since),
            task: start.task,
            worker: start.worker,
            phase: run.phase,
            until,
        })
    }

    fn wait_of_pending(
        &self,
        pending: &PendingStep,
        entry: &JobEntry,
        site: &SiteRoom,
        now: Now,
    ) -> StepWait {
        if let Some(reservation) = self.reservations.get(&pending.key) {
            return StepWait::Reservation {
                until: reservation.expires_at,
            };
        }
        let lasting = pending.step().long_running.then(|| {
            let mut hosts = site.hosts.clone();
            hosts.mark_lasting_room(self);
            hosts
        });
        let hosts = lasting.as_ref().unwrap_or(&site.hosts);
        let any_rack = pending.on_any_rack();
        if slots_on_empty_hosts(hosts.usable(), &any_rack) < pending.min_tasks() {
            return StepWait::NoWorker {
                excluded: self.excluded_workers(pending, now),
            };
        }
        let fits = |hosts: &Hosts, pending: &PendingStep, locality| {
            choose_hosts(hosts.usable(), pending, locality, now).is_some()
        };
        if fits(hosts, pending, Locality::Local) {
            return self.wait_despite_room(pending, entry, hosts, now);
        }
        let permitted = PendingStep {
            permits: Permits::All,
            ..pending.clone()
        };
        if fits(hosts, &permitted, Locality::Local) {
            return StepWait::NoPermit;
        }
        if fits(hosts, pending, Locality::Any) {
            return StepWait::OtherRack;
        }
        if let Some(step) = self.reservations.keys().next() {
            let mut hosts = hosts.clone();
            hosts.release_all_reservations();
            if fits(&hosts, pending, Locality::Any) {
                return StepWait::Reserved { step: step.clone() };
            }
        }
        StepWait::NoRoom {
            excluded: self.excluded_workers(pending, now),
        }
    }

    /// What keeps a step from starting that fits on the hosts, drained ones included.
    fn wait_despite_room(
        &self,
        pending: &PendingStep,
        entry: &JobEntry,
        hosts: &Hosts,
        now: Now,
    ) -> StepWait {
        if Headroom::new(self, now).limit(pending, hosts).is_none() {
            return StepWait::Headroom;
        }
        let mut drained = self.drained_workers.keys();
        if let Some(step) = drained.find(|step| **step != pending.key) {
            return StepWait::Drained { step: step.clone() };
        }
        let ruled_out_at = entry.ruled_out_at;
        if ruled_out_at.is_some_and(|at| !at.after(LAST_ROUND).is_past(now.boot)) {
            return StepWait::EarlierFailure;
        }
        StepWait::NextRound
    }

    /// How many workers on which a task of a step fits receive no new runs, by reason.
    fn excluded_workers(
        &self,
        pending: &PendingStep,
        now: Now,
    ) -> BTreeMap<WorkerExclusion, usize> {
        let step = pending.step();
        let mut excluded = BTreeMap::new();
        for entry in self.workers.values() {
            let (Some(info), Some(reason)) = (&entry.info, entry.exclusion(now.boot)) else {
                continue;
            };
            if info.is_suitable(step, &pending.service) {
                *excluded.entry(reason).or_default() += 1;
            }
        }
        excluded
    }
}

/// Whether a run was placed a moment ago and is still to be started.
fn is_starting(run: &Run, now: Now) -> bool {
    let is_pending = matches!(run.phase, RunPhase::Planned | RunPhase::Ordered);
    let is_new = !run.placed_at.after(START_TIME).is_past(now.boot);
    is_pending && is_new && run.stop_reason.is_none()
}
