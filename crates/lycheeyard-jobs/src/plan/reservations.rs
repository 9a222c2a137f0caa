use super::{
    hosts::Hosts,
    pending_step::PendingStep,
    preempt::{PreemptionScope, choose_victims},
    reservation::{Reservation, ReservedRoom},
    round::Round,
    running_tasks::RunningTasks,
    victim::Preemption,
};
use crate::{
    BootTime, Resources, StepKey, TaskKey,
    scheduler::{JobScheduler, Now, StopReason},
};
use lycheeyard_protocol::WorkerId;

impl JobScheduler {
    /// Starts a step on its reserved workers once all of them have room and tickets. The reservation is dropped if it
    /// no longer matches the waiting tasks or the workers.
    pub(super) fn start_reserved(&mut self, pending: &PendingStep, hosts: &mut Hosts, now: Now) {
        hosts.release_reservation(self, &pending.key);
        let Some(reservation) = self.reservations.remove(&pending.key) else {
            return;
        };
        let reserved = reservation.tasks.iter().map(|(index, _)| *index);
        if !reserved.eq(pending.tasks.iter().copied()) {
            self.plan_due = true;
            return;
        }
        let Some(tasks) = reservation.on_hosts(hosts) else {
            self.plan_due = true;
            return;
        };
        let room = reservation.room(&tasks, hosts, |worker| self.stopping_on(worker, now.boot));
        if room == ReservedRoom::Never {
            self.plan_due = true;
            return;
        }
        let has_tickets = tasks.iter().all(|(_, host_index)| {
            let host = &hosts.usable()[*host_index];
            pending.permits.has_ticket(&host.key)
        });
        if room == ReservedRoom::Now && has_tickets {
            self.note_work(&pending.key, now);
            self.start_tasks(pending, &tasks, hosts, now);
            return;
        }
        if !has_tickets && !self.may_hold_without_tickets(&pending.key, now) {
            self.plan_due = true;
            return;
        }
        for (_, host_index) in tasks {
            hosts.allocate(host_index, &reservation.demand);
        }
        self.note_stages(pending, |stages| stages.rounds_reserved += 1);
        self.reservations.insert(pending.key.clone(), reservation);
    }

    /// The resources that the runs on a worker which are being stopped release, without those that have not ended in time.
    fn stopping_on(&self, worker: &WorkerId, now: BootTime) -> Resources {
        let tasks = self.workers.get(worker).map(|entry| &entry.tasks);
        let runs = tasks.into_iter().flatten();
        let runs = runs.filter_map(|task| self.runs.get(task));
        let stopping = runs.filter(|run| run.stop_reason.is_some() && !run.is_stop_overdue(now));
        stopping.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.demand)
        })
    }

    /// Stops other runs and reserves their resources for a step, where it may run relative to its data. Returns false if the cost is too high, the step
    /// would not keep the headroom free, or room was held without valid tickets for too long.
    pub(super) fn preempt(
        &mut self,
        pending: &PendingStep,
        round: &mut Round,
        scope: PreemptionScope,
    ) -> bool {
        let Round {
            hosts,
            guarantees,
            headroom,
            running_tasks,
            now,
            ..
        } = round;
        let runs = running_tasks.get_or_insert_with(|| RunningTasks::new(self, hosts, *now));
        let chosen = choose_victims(self, hosts.usable(), runs, pending, guarantees, scope);
        let Some(Preemption {
            hosts: host_indexes,
            victims,
        }) = chosen
        else {
            return false;
        };
        let released = victims.iter().filter_map(|task| self.runs.get(task));
        let released = released.map(|run| u64::from(run.demand.accelerators)).sum();
        if !headroom.admits(pending, hosts, released) {
            return false;
        }
        let lacks_ticket = |&host_index: &usize| {
            let host = &hosts.usable()[host_index];
            !pending.permits.has_ticket(&host.key)
        };
        if host_indexes.iter().any(lacks_ticket)
            && !self.may_hold_without_tickets(&pending.key, *now)
        {
            return false;
        }
        let demand = pending.step().reserved();
        let workers = host_indexes
            .iter()
            .map(|&host_index| hosts.usable()[host_index].id().clone());
        let reservation = Reservation {
            tasks: pending.tasks.iter().copied().zip(workers).collect(),
            demand,
            expires_at: self.stop_ends_by(now.boot),
        };
        for host_index in host_indexes {
            hosts.allocate(host_index, &demand);
        }
        self.reservations.insert(pending.key.clone(), reservation);
        self.note_stages(pending, |stages| stages.rounds_reserved += 1);
        for victim in &victims {
            self.stop_victim(victim, now.boot);
        }
        runs.mark_stopping(self, &victims);
        true
    }

    fn may_hold_without_tickets(&mut self, key: &StepKey, now: Now) -> bool {
        let hold_until = self.advice.hold_without_tickets(key, now.boot);
        !hold_until.is_past(now.boot)
    }

    fn stop_victim(&mut self, victim: &TaskKey, now: BootTime) {
        if !self.runs.contains_key(victim) {
            return;
        }
        if let Some(entry) = self.jobs.get_mut(&victim.step.job) {
            *entry.preemptions.entry(victim.step.clone()).or_insert(0) += 1;
        }
        self.stop_with_gang(victim, StopReason::Preempted, now);
    }
}
