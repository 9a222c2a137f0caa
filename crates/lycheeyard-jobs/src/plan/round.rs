use super::{
    find_drain::find_drain,
    guarantees::Guarantees,
    headroom::Headroom,
    hosts::Hosts,
    pending_step::PendingStep,
    permits::Permits,
    place::{Locality, choose_hosts, slots_on_empty_hosts},
    placement_failures::PlacementFailures,
    preempt::{PreemptionScope, may_preempt},
    rank::Rank,
    room_deadlines::RoomPlace,
    running_tasks::RunningTasks,
    standing::Standing,
};
use crate::{
    StepKey,
    scheduler::{JobScheduler, Now, StartStages},
};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The maximum number of steps for which one round drains hosts: the first that does not fit, and an overdue one, which would
/// otherwise get no drain as long as others are in front of it.
const MAX_DRAINS: usize = 2;
/// The maximum number of steps without a guarantee for which one round looks for runs to preempt. The most urgent steps
/// come first, and the next round follows soon. Guaranteed steps are not limited: their number is limited by the
/// guarantees.
const MAX_PREEMPTION_ATTEMPTS: usize = 24;

/// The state of one planning round, shared by all its placements.
pub(super) struct Round {
    pub hosts: Hosts,
    pub guarantees: Guarantees,
    /// The workers that this round drains for steps that do not fit.
    drained_workers: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    pub headroom: Headroom,
    placement_failures: PlacementFailures,
    /// The steps for which there is no room in each place.
    pub scarce_room: BTreeMap<RoomPlace, PlacementFailures>,
    /// The runs on the hosts, once they are needed.
    pub running_tasks: Option<RunningTasks>,
    /// How many more steps without a guarantee may look for runs to preempt.
    preemption_attempts_left: usize,
    pub now: Now,
}

impl Round {
    fn may_attempt_preemption(&self, pending: &PendingStep) -> bool {
        pending.is_guaranteed || self.preemption_attempts_left > 0
    }

    /// The step for which this round drains a worker.
    pub fn drained_for(&self, worker: &WorkerId) -> Option<&StepKey> {
        let mut drained = self.drained_workers.iter();
        let drained = drained.find(|(_, workers)| workers.contains(worker));
        drained.map(|(key, _)| key)
    }

    fn may_drain(&self, pending: &PendingStep) -> bool {
        let is_overdue = Standing::of(pending, self.now.wall) == Standing::Overdue;
        let max_drains = if is_overdue { MAX_DRAINS } else { 1 };
        pending.needs_drain() && self.drained_workers.len() < max_drains
    }

    fn count_preemption_attempt(&mut self, pending: &PendingStep) {
        if !pending.is_guaranteed {
            self.preemption_attempts_left -= 1;
        }
    }
}

impl JobScheduler {
    /// Runs a planning round if one is due: assigns waiting tasks to workers and preempts runs that must make room for
    /// other work.
    ///
    /// Returns whether a round was due and there were tasks to place.
    pub fn plan(&mut self, now: Now) -> bool {
        if !std::mem::take(&mut self.plan_due) {
            return false;
        }
        self.reservations
            .retain(|_, reservation| !reservation.expires_at.is_past(now.boot));
        let mut pending_steps = self.pending_steps(now);
        if pending_steps.is_empty() {
            self.guaranteed_waits.clear();
            return false;
        }
        self.evaluate_new_workers(now);
        let mut guarantees = Guarantees::new(self);
        pending_steps.sort_by_cached_key(|pending| Rank::new(pending, now.wall));
        guarantees.mark_guaranteed(&mut pending_steps);
        let covered = pending_steps.iter().filter(|step| step.is_guaranteed);
        self.note_guaranteed_waits(covered.map(|step| &step.key), now.boot);
        pending_steps.sort_by_cached_key(|pending| Rank::new(pending, now.wall));
        let mut hosts = Hosts::new(self, now);
        if pending_steps
            .iter()
            .any(|pending| pending.step().long_running)
        {
            hosts.mark_lasting_room(self);
        }
        let mut round = Round {
            hosts,
            guarantees,
            drained_workers: BTreeMap::new(),
            headroom: Headroom::new(self, now),
            placement_failures: PlacementFailures::default(),
            scarce_room: BTreeMap::new(),
            running_tasks: None,
            preemption_attempts_left: MAX_PREEMPTION_ATTEMPTS,
            now,
        };
        for pending in &pending_steps {
            self.note_guarantee(pending);
            if pending.is_hopeless(now.wall) {
                self.note_hopeless(&pending.key);
            }
            self.place_step(pending, &mut round);
        }
        self.request_advice(&pending_steps, &round);
        self.drained_workers = round.drained_workers;
        true
    }

    /// Makes a planning round due.
    pub fn request_plan(&mut self) {
        self.plan_due = true;
    }

    /// Whether a planning round is due.
    #[must_use]
    pub fn is_plan_due(&self) -> bool {
        self.plan_due
    }

    fn pending_steps(&self, now: Now) -> Vec<PendingStep> {
        let open = self
            .jobs
            .values()
            .filter(|entry| !entry.progress.state.is_final());
        open.flat_map(|entry| {
            let policy = self.queue_policy(&entry.job);
            let mut pending_steps = PendingStep::for_job(entry, policy, &self.run_times, now.boot);
            if policy.advice.is_some() {
                for pending in &mut pending_steps {
                    pending.permits = Permits::Advised(self.advice.permits(&pending.key, now.boot));
                }
            }
            pending_steps
        })
        .collect()
    }

    fn place_step(&mut self, pending: &PendingStep, round: &mut Round) {
        let now = round.now;
        if self.reservations.contains_key(&pending.key) {
            self.start_reserved(pending, &mut round.hosts, now);
            return;
        }
        if self.place_local(pending, round) {
            if let Some(rest) = self.remaining(pending, round.now) {
                self.place_fallback(&rest, round);
            }
        } else {
            self.place_fallback(pending, round);
        }
    }

    fn note_guarantee(&mut self, pending: &PendingStep) {
        let is_guaranteed = pending.is_guaranteed;
        self.note_stages(pending, |stages| stages.is_guaranteed = is_guaranteed);
    }

    /// Updates the stages of a job that are logged with its first start.
    pub(super) fn note_stages(
        &mut self,
        pending: &PendingStep,
        update: impl FnOnce(&mut StartStages),
    ) {
        if let Some(entry) = self.jobs.get_mut(&pending.key.job) {
            update(&mut entry.stages);
        }
    }

    /// Starts as many tasks of a step as fit where they run at full speed; false if none does.
    fn place_local(&mut self, pending: &PendingStep, round: &mut Round) -> bool {
        if round.placement_failures.rules_out(pending) {
            self.note_ruled_out(pending, round.now);
            return false;
        }
        let is_placed = self.try_place(pending, round, Locality::Local);
        if !is_placed {
            round.placement_failures.record(pending);
        }
        is_placed
    }

    fn note_ruled_out(&mut self, pending: &PendingStep, now: Now) {
        if let Some(entry) = self.jobs.get_mut(&pending.key.job) {
            entry.ruled_out_at = Some(now.boot);
        }
    }

    /// Tries the alternatives for a step that was not placed: preempt other runs, place it despite preferences, place it where it runs
    /// slower, or drain hosts for it.
    fn place_fallback(&mut self, pending: &PendingStep, round: &mut Round) {
        let now = round.now;
        if round.may_attempt_preemption(pending) && may_preempt(pending, now.wall) {
            round.count_preemption_attempt(pending);
            if self.preempt(pending, round, PreemptionScope::Local) {
                return;
            }
            self.note_stages(pending, |stages| stages.rounds_without_victims += 1);
        } else {
            self.note_stages(pending, |stages| stages.rounds_not_tried += 1);
        }
        if self.has_lent_room(pending) && self.preempt(pending, round, PreemptionScope::DrainedRoom)
        {
            return;
        }
        if self.place_despite_preferences(pending, round) {
            return;
        }
        if self.may_place_remote(pending, &round.hosts, now) {
            self.place_remote(pending, round);
            return;
        }
        if round.may_drain(pending) {
            self.drain_hosts(pending, round);
        }
    }

    /// Whether runs use room that is drained for a step, since a deadline has let them start there.
    fn has_lent_room(&self, pending: &PendingStep) -> bool {
        let key = &pending.key;
        self.drained_workers.contains_key(key)
            && self.runs.values().any(|run| run.is_in_room_of(key))
    }

    /// Drains the hosts on which the step is expected to fit first, so that later steps of the round do not take them.
    fn drain_hosts(&self, pending: &PendingStep, round: &mut Round) {
        let Some(drain) = find_drain(self, &round.hosts, pending, round.now) else {
            return;
        };
        round.hosts.add_drain(&drain, &pending.step().reserved());
        let drained = drain.slots.keys();
        let drained = drained.map(|&host_index| round.hosts.usable()[host_index].id().clone());
        round
            .drained_workers
            .insert(pending.key.clone(), drained.collect());
    }

    /// Starts the tasks of a step that fit on any rack, and lets the rest of a guaranteed one preempt other runs there.
    fn place_remote(&mut self, pending: &PendingStep, round: &mut Round) {
        let is_placed = self.try_place(pending, round, Locality::Any);
        if !pending.is_guaranteed {
            return;
        }
        if !is_placed {
            self.preempt(pending, round, PreemptionScope::AnyRack);
        } else if let Some(rest) = self.remaining(pending, round.now) {
            self.preempt(&rest, round, PreemptionScope::AnyRack);
        }
    }

    /// Whether a step may be placed on any rack: it has waited for at least the extra run time that a remote rack
    /// costs, it could not run locally even on empty hosts, or its organisation's guarantee covers it and its rack is not to be had.
    fn may_place_remote(&self, pending: &PendingStep, hosts: &Hosts, now: Now) -> bool {
        if !pending.has_locality() {
            return false;
        }
        let extra_factor = self.limits.remote_slowdown.saturating_sub(1);
        let extra_ms = pending.expected_ms.saturating_mul(u64::from(extra_factor));
        let due = pending.job.due_at(pending.key.occurrence);
        due.after(Duration::from_millis(extra_ms)).is_past(now.wall)
            || (pending.is_guaranteed && self.may_leave_rack(&pending.key, now.boot))
            || slots_on_empty_hosts(hosts.usable(), pending) < pending.min_tasks()
    }

    /// Starts the tasks of a step that fit and keep the headroom free; false if there are none.
    fn try_place(&mut self, pending: &PendingStep, round: &mut Round, locality: Locality) -> bool {
        let Some(part) = round.headroom.limit(pending, &round.hosts) else {
            return false;
        };
        let Some(chosen) = choose_hosts(round.hosts.usable(), &part, locality, round.now) else {
            return false;
        };
        let tasks: Vec<(usize, usize)> = part.tasks.iter().copied().zip(chosen).collect();
        self.note_work(&part.key, round.now);
        self.start_tasks(&part, &tasks, &mut round.hosts, round.now);
        true
    }

    /// Returns the tasks of a step that still wait after some were placed; `None` if there are none.
    pub(super) fn remaining(&self, pending: &PendingStep, now: Now) -> Option<PendingStep> {
        let entry = self.jobs.get(&pending.key.job)?;
        let policy = self.queue_policy(&entry.job);
        let may_begin = entry.progress.tasks_that_may_begin();
        let key = pending.key.clone();
        let rest = PendingStep::for_step(entry, key, may_begin, policy, &self.run_times, now.boot)?;
        Some(PendingStep {
            is_guaranteed: pending.is_guaranteed,
            permits: pending.permits.clone(),
            ..rest
        })
    }
}
