use super::{
    hosts::Hosts,
    pending_step::PendingStep,
    preempt::{Preemption, choose_victims},
    reservation::Reservation,
    round::Round,
};
use crate::scheduler::{JobScheduler, Now, StopReason};
use std::time::Duration;

/// A reservation is dropped if its victims have not ended within this time.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(4);

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
        let mut trial = hosts.clone();
        let mut tasks = Vec::new();
        for (index, worker) in &reservation.tasks {
            let Some(host_index) = trial.index_of(worker) else {
                self.plan_due = true;
                return;
            };
            if trial.as_slice()[host_index]
                .free()
                .can_fit(&reservation.demand)
            {
                trial.allocate(host_index, &reservation.demand);
                tasks.push((*index, host_index));
            }
        }
        let has_tickets = tasks.iter().all(|(_, host_index)| {
            pending
                .permits
                .has_ticket(&trial.as_slice()[*host_index].key)
        });
        if tasks.len() == reservation.tasks.len() && has_tickets {
            self.start_tasks(pending, &tasks, hosts, now);
            return;
        }
        for (_, worker) in &reservation.tasks {
            if let Some(host_index) = hosts.index_of(worker) {
                hosts.allocate(host_index, &reservation.demand);
            }
        }
        self.note_stages(pending, |stages| stages.rounds_reserved += 1);
        self.reservations.insert(pending.key.clone(), reservation);
    }

    /// Stops other runs and reserves their resources for a step. Returns false if the cost is too high or the step
    /// would not keep the headroom free.
    pub(super) fn preempt(&mut self, pending: &PendingStep, round: &mut Round) -> bool {
        let Round {
            hosts,
            guarantees,
            headroom,
            now,
            ..
        } = round;
        let chosen = choose_victims(self, hosts.as_slice(), pending, guarantees, *now);
        let Some(Preemption {
            hosts: host_indexes,
            victims,
        }) = chosen
        else {
            return false;
        };
        let released = victims.iter().filter_map(|task| self.runs.get(task));
        let released = released.map(|run| run.demand.accelerators).sum();
        if !headroom.admits(pending, hosts, released) {
            return false;
        }
        let demand = pending.step().reserved();
        let workers = host_indexes
            .iter()
            .map(|&host_index| hosts.as_slice()[host_index].id().clone());
        let reservation = Reservation {
            tasks: pending.tasks.iter().copied().zip(workers).collect(),
            demand,
            expires_at: now.boot.after(RESERVATION_TIMEOUT),
        };
        for host_index in host_indexes {
            hosts.allocate(host_index, &demand);
        }
        self.reservations.insert(pending.key.clone(), reservation);
        self.note_stages(pending, |stages| stages.rounds_reserved += 1);
        for victim in victims {
            self.stop_victim(&victim);
        }
        true
    }

    fn stop_victim(&mut self, victim: &crate::TaskKey) {
        if !self.runs.contains_key(victim) {
            return;
        }
        if let Some(entry) = self.jobs.get_mut(&victim.step.job) {
            *entry.preemptions.entry(victim.step.clone()).or_insert(0) += 1;
        }
        self.stop_with_gang(victim, StopReason::Preempted);
    }
}
