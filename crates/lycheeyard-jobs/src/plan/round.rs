use super::{
    claim::Claim,
    guarantee::Guarantees,
    hosts::Hosts,
    order::Rank,
    place::{Reach, choose_hosts, fits_near_when_empty},
    preempt::{Preemption, choose_victims},
    unit::Unit,
};
use crate::{
    Checkpoint, Placement, RunNumber, TaskKey,
    scheduler::{JobScheduler, Now, Run, RunPhase, StopReason},
};
use lycheeyard_protocol::{JobState, Percent};
use std::time::Duration;

/// A claim whose victims have not gone by then is given up.
const CLAIM_LIFE: Duration = Duration::from_secs(4);

impl JobScheduler {
    /// Gives waiting tasks to workers, and stops work that must make room for other work.
    pub fn plan(&mut self, now: Now) {
        if !std::mem::take(&mut self.plan_due) {
            return;
        }
        self.claims
            .retain(|_, claim| !claim.expires_at.is_past(now.boot));
        let mut units = self.ready_units();
        if units.is_empty() {
            return;
        }
        let mut guarantees = Guarantees::of(self);
        units.sort_by_cached_key(|unit| Rank::of(unit, now.wall));
        guarantees.mark(&mut units);
        units.sort_by_cached_key(|unit| Rank::of(unit, now.wall));
        let mut hosts = Hosts::of(self, now);
        for unit in &units {
            self.place_unit(unit, &mut hosts, &guarantees, now);
        }
    }

    /// When a plan is due again although nothing has happened.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.claims.is_empty()
            || self
                .jobs
                .values()
                .any(|entry| !entry.progress.state.is_final() && !entry.progress.open.is_empty())
    }

    /// Asks for a plan at the next opportunity.
    pub fn request_plan(&mut self) {
        self.plan_due = true;
    }

    fn ready_units(&self) -> Vec<Unit> {
        let live = self
            .jobs
            .values()
            .filter(|entry| !entry.progress.state.is_final());
        live.flat_map(|entry| Unit::of(entry, self.queue_policy(&entry.job)))
            .collect()
    }

    fn place_unit(&mut self, unit: &Unit, hosts: &mut Hosts, guarantees: &Guarantees, now: Now) {
        if self.claims.contains_key(&unit.key) {
            self.try_claim(unit, hosts, now);
            return;
        }
        self.try_reach(unit, hosts, Reach::Near, now);
        let Some(unit) = &self.remaining(unit) else {
            return;
        };
        if unit.priority == 0 && self.preempt(unit, hosts, guarantees, now) {
            return;
        }
        let fits_near = fits_near_when_empty(hosts.rows(), unit);
        let step = unit.step();
        let extra = step.expected_ms * u64::from(self.limits.far_factor.saturating_sub(1));
        let patience = Duration::from_millis(extra);
        let due = unit.job.due_at(unit.key.occurrence);
        if !fits_near || due.after(patience).is_past(now.wall) {
            self.try_reach(unit, hosts, Reach::Far, now);
        }
    }

    fn try_reach(&mut self, unit: &Unit, hosts: &mut Hosts, reach: Reach, now: Now) {
        if let Some(chosen) = choose_hosts(hosts.rows(), unit, reach) {
            let tasks: Vec<(usize, usize)> = unit.waiting.iter().copied().zip(chosen).collect();
            self.start_tasks(unit, &tasks, hosts, now);
        }
    }

    /// What still waits of a unit after a part of it was placed.
    fn remaining(&self, unit: &Unit) -> Option<Unit> {
        let entry = self.jobs.get(&unit.key.job)?;
        let policy = self.queue_policy(&entry.job);
        let rest = Unit::of_step(entry, unit.key.occurrence, unit.key.step, policy)?;
        Some(Unit {
            is_guaranteed: unit.is_guaranteed,
            ..rest
        })
    }

    /// Starts a unit on the workers that were cleared for it, once they are.
    fn try_claim(&mut self, unit: &Unit, hosts: &mut Hosts, now: Now) {
        hosts.release(self, &unit.key);
        let Some(claim) = self.claims.remove(&unit.key) else {
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
            if trial.rows()[number].free().holds(&claim.demand) {
                trial.take(number, &claim.demand);
                tasks.push((*index, number));
            }
        }
        if tasks.len() == claim.tasks.len() {
            self.start_tasks(unit, &tasks, hosts, now);
            return;
        }
        for (_, worker) in &claim.tasks {
            if let Some(number) = hosts.number(worker) {
                hosts.take(number, &claim.demand);
            }
        }
        self.claims.insert(unit.key.clone(), claim);
    }

    fn preempt(
        &mut self,
        unit: &Unit,
        hosts: &mut Hosts,
        guarantees: &Guarantees,
        now: Now,
    ) -> bool {
        let chosen = choose_victims(self, hosts.rows(), unit, guarantees, now);
        let Some(Preemption {
            hosts: numbers,
            victims,
        }) = chosen
        else {
            return false;
        };
        let demand = unit.step().demand;
        let workers = numbers
            .iter()
            .map(|&number| hosts.rows()[number].id().clone());
        let tasks = unit.waiting.iter().copied().zip(workers).collect();
        let claim = Claim {
            tasks,
            demand,
            expires_at: now.boot.after(CLAIM_LIFE),
        };
        for number in numbers {
            hosts.take(number, &demand);
        }
        self.claims.insert(unit.key.clone(), claim);
        for victim in victims {
            let number = self.runs.get(&victim).map(|run| run.number);
            self.request_stop(&victim, StopReason::Preempted);
            if let Some(number) = number {
                self.stop_gang(&victim, number);
            }
        }
        true
    }

    fn start_tasks(&mut self, unit: &Unit, tasks: &[(usize, usize)], hosts: &mut Hosts, now: Now) {
        let demand = unit.step().demand;
        let Some(number) = self.next_run(unit, tasks) else {
            return;
        };
        for &(index, host) in tasks {
            hosts.take(host, &demand);
            let worker = hosts.rows()[host].key.clone();
            let task = unit.key.task(index);
            let Some((number, checkpoint)) = self.record_start(&task, number, &worker) else {
                continue;
            };
            let run = Run {
                number,
                worker,
                demand,
                phase: RunPhase::Planned,
                stop: None,
                stop_sent_at: None,
                absent_after: now.boot,
                absent_since: None,
                present_since: None,
                done: Percent(0),
                advanced_at: now.boot,
                checkpoint,
                saved: Percent(0),
            };
            self.hold_resources(&task, &run, now.boot);
            self.runs.insert(task.clone(), run);
            self.planned.push((task, number));
        }
        self.dirty.insert(unit.key.job.clone());
    }

    /// The number of a gang's next run, which its members share.
    fn next_run(&self, unit: &Unit, tasks: &[(usize, usize)]) -> Option<RunNumber> {
        let progress = &self.jobs.get(&unit.key.job)?.progress;
        let numbers = tasks
            .iter()
            .filter_map(|(index, _)| progress.task(&unit.key.task(*index)));
        numbers.map(|task| RunNumber(task.run.0 + 1)).max()
    }

    fn record_start(
        &mut self,
        task: &TaskKey,
        gang_run: RunNumber,
        worker: &crate::WorkerKey,
    ) -> Option<(RunNumber, Option<Checkpoint>)> {
        let entry = self.jobs.get_mut(&task.step.job)?;
        let is_gang = entry.job.steps.get(task.step.step)?.gang;
        if entry.progress.state == JobState::Queued {
            entry.progress.state = JobState::Running;
        }
        let step = entry
            .progress
            .step_mut(task.step.occurrence, task.step.step)?;
        let gang_checkpoint = step.gang_checkpoint.clone();
        let progress = step.tasks.get_mut(task.index)?;
        progress.run = if is_gang {
            gang_run
        } else {
            RunNumber(progress.run.0 + 1)
        };
        progress.placement = Some(Placement(worker.id.clone(), worker.incarnation));
        let checkpoint = if is_gang {
            gang_checkpoint
        } else {
            progress.checkpoint.clone()
        };
        Some((progress.run, checkpoint))
    }
}
