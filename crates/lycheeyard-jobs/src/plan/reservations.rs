use super::{
    hosts::Hosts,
    preempt::{Preemption, choose_victims},
    reservation::Reservation,
    round::Round,
    unit::Unit,
};
use crate::scheduler::{JobScheduler, Now, StopReason};
use std::time::Duration;

/// A claim whose victims have not gone by then is given up.
const CLAIM_LIFE: Duration = Duration::from_secs(4);

impl JobScheduler {
    /// Starts a unit on the workers that were cleared for it, once they are.
    pub(super) fn try_claim(&mut self, unit: &Unit, hosts: &mut Hosts, now: Now) {
        hosts.release(self, &unit.key);
        let Some(claim) = self.reservations.remove(&unit.key) else {
            return;
        };
        let claimed = claim.tasks.iter().map(|(index, _)| *index);
        if !claimed.eq(unit.waiting.iter().copied()) {
            self.plan_due = true;
            return;
        }
        let mut trial = hosts.clone();
        let mut tasks = Vec::new();
        for (index, worker) in &claim.tasks {
            let Some(number) = trial.number(worker) else {
                self.plan_due = true;
                return;
            };
            if trial.rows()[number].free().can_fit(&claim.demand) {
                trial.take(number, &claim.demand);
                tasks.push((*index, number));
            }
        }
        let has_tickets = tasks
            .iter()
            .all(|(_, number)| unit.permits.has_ticket(&trial.rows()[*number].key));
        if tasks.len() == claim.tasks.len() && has_tickets {
            self.start_tasks(unit, &tasks, hosts, now);
            return;
        }
        for (_, worker) in &claim.tasks {
            if let Some(number) = hosts.number(worker) {
                hosts.take(number, &claim.demand);
            }
        }
        self.reservations.insert(unit.key.clone(), claim);
    }

    /// Stops other work to make room for a unit; false if that is not worth it.
    pub(super) fn preempt(&mut self, unit: &Unit, round: &mut Round) -> bool {
        let Round {
            hosts,
            guarantees,
            headroom,
            now,
            ..
        } = round;
        let chosen = choose_victims(self, hosts.rows(), unit, guarantees, *now);
        let Some(Preemption {
            hosts: numbers,
            victims,
        }) = chosen
        else {
            return false;
        };
        let given_back = victims.iter().filter_map(|task| self.runs.get(task));
        let given_back = given_back.map(|run| run.demand.accelerators).sum();
        if !headroom.admits(unit, hosts, given_back) {
            return false;
        }
        let demand = unit.step().reserved();
        let workers = numbers
            .iter()
            .map(|&number| hosts.rows()[number].id().clone());
        let claim = Reservation {
            tasks: unit.waiting.iter().copied().zip(workers).collect(),
            demand,
            expires_at: now.boot.after(CLAIM_LIFE),
        };
        for number in numbers {
            hosts.take(number, &demand);
        }
        self.reservations.insert(unit.key.clone(), claim);
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
        self.stop_whole(victim, StopReason::Preempted);
    }
}
