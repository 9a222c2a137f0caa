use super::{
    drain::find_drain,
    guarantee::Guarantees,
    headroom::Headroom,
    hosts::Hosts,
    misfits::Misfits,
    order::Rank,
    permits::Permits,
    place::{Reach, choose_hosts, slots_when_empty},
    preempt::may_preempt,
    unit::Unit,
};
use crate::{
    StepKey,
    scheduler::{JobScheduler, Now},
};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// So many units that do not fit have hosts kept for them in a round.
const MAX_DRAINS: usize = 1;
/// So many units, the most urgent ones, look for work to stop in a round; the next round follows soon.
const MAX_PREEMPTIONS: usize = 24;

/// What a round shares between the units that it places.
pub(super) struct Round {
    pub hosts: Hosts,
    pub guarantees: Guarantees,
    /// The workers that this round keeps for steps that do not fit.
    drains: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    pub headroom: Headroom,
    misfits: Misfits,
    /// How many more units may look for work to stop.
    preemptions: usize,
    pub now: Now,
}

impl JobScheduler {
    /// Gives waiting tasks to workers, and stops work that must make room for other work.
    ///
    /// Returns whether there was something to plan.
    pub fn plan(&mut self, now: Now) -> bool {
        if !std::mem::take(&mut self.plan_due) {
            return false;
        }
        self.reservations
            .retain(|_, claim| !claim.expires_at.is_past(now.boot));
        let mut units = self.ready_units(now);
        if units.is_empty() {
            return false;
        }
        let mut guarantees = Guarantees::of(self);
        units.sort_by_cached_key(|unit| Rank::of(unit, now.wall));
        guarantees.mark(&mut units);
        units.sort_by_cached_key(|unit| Rank::of(unit, now.wall));
        let mut round = Round {
            hosts: Hosts::of(self, now),
            guarantees,
            drains: BTreeMap::new(),
            headroom: Headroom::of(self, now),
            misfits: Misfits::default(),
            preemptions: MAX_PREEMPTIONS,
            now,
        };
        for unit in &units {
            self.place_unit(unit, &mut round);
        }
        self.request_advice(&units, &round);
        self.drains = round.drains;
        true
    }

    /// Asks for a plan at the next opportunity.
    pub fn request_plan(&mut self) {
        self.plan_due = true;
    }

    fn ready_units(&self, now: Now) -> Vec<Unit> {
        let live = self
            .jobs
            .values()
            .filter(|entry| !entry.progress.state.is_final());
        live.flat_map(|entry| {
            let policy = self.queue_policy(&entry.job);
            let mut units = Unit::of(entry, policy, &self.run_times, now.boot);
            if policy.advice.is_some() {
                for unit in &mut units {
                    unit.permits = Permits::Advised(self.advice.permits(&unit.key, now.boot));
                }
            }
            units
        })
        .collect()
    }

    fn place_unit(&mut self, unit: &Unit, round: &mut Round) {
        let now = round.now;
        if self.reservations.contains_key(&unit.key) {
            self.try_claim(unit, &mut round.hosts, now);
            return;
        }
        if self.place_near(unit, round) {
            if let Some(rest) = self.remaining(unit, round.now) {
                self.place_otherwise(&rest, round);
            }
        } else {
            self.place_otherwise(unit, round);
        }
    }

    /// Places a part of a unit at least where it runs at full speed.
    fn place_near(&mut self, unit: &Unit, round: &mut Round) -> bool {
        if round.misfits.covers(unit) {
            return false;
        }
        let is_placed = self.try_reach(unit, round, Reach::Near);
        if !is_placed {
            round.misfits.note(unit);
        }
        is_placed
    }

    /// Makes room for a unit that does not fit, places it where it runs slower, or keeps hosts for it.
    fn place_otherwise(&mut self, unit: &Unit, round: &mut Round) {
        let now = round.now;
        if round.preemptions > 0 && may_preempt(unit, now.wall) {
            round.preemptions -= 1;
            if self.preempt(unit, round) {
                return;
            }
        }
        if self.is_worth_going_far(unit, &round.hosts, now) {
            self.try_reach(unit, round, Reach::Far);
            return;
        }
        if round.drains.len() < MAX_DRAINS && unit.needs_drain() {
            self.keep_hosts(unit, round);
        }
    }

    /// Keeps later units of the round off the hosts on which this one will fit first.
    fn keep_hosts(&self, unit: &Unit, round: &mut Round) {
        let Some(drain) = find_drain(self, &round.hosts, unit, round.now) else {
            return;
        };
        round.hosts.keep(&drain, &unit.step().reserved());
        let kept = drain.slots.keys();
        let kept = kept.map(|&number| round.hosts.rows()[number].id().clone());
        round.drains.insert(unit.key.clone(), kept.collect());
    }

    /// Whether a unit has waited for as long as it would lose elsewhere, or has no chance near.
    fn is_worth_going_far(&self, unit: &Unit, hosts: &Hosts, now: Now) -> bool {
        if !unit.has_locality() {
            return false;
        }
        let extra = unit.expected_ms * u64::from(self.limits.remote_slowdown.saturating_sub(1));
        let due = unit.job.due_at(unit.key.occurrence);
        due.after(Duration::from_millis(extra)).is_past(now.wall)
            || slots_when_empty(hosts.rows(), unit) < unit.least_tasks()
    }

    /// Places what fits of a unit beside the headroom; false if that is nothing.
    fn try_reach(&mut self, unit: &Unit, round: &mut Round, reach: Reach) -> bool {
        let Some(part) = round.headroom.limit(unit, &round.hosts) else {
            return false;
        };
        let Some(chosen) = choose_hosts(round.hosts.rows(), &part, reach, round.now.boot) else {
            return false;
        };
        let tasks: Vec<(usize, usize)> = part.waiting.iter().copied().zip(chosen).collect();
        self.start_tasks(&part, &tasks, &mut round.hosts, round.now);
        true
    }

    /// What still waits of a unit after a part of it was placed.
    pub(super) fn remaining(&self, unit: &Unit, now: Now) -> Option<Unit> {
        let entry = self.jobs.get(&unit.key.job)?;
        let policy = self.queue_policy(&entry.job);
        let (occurrence, step) = (unit.key.occurrence, unit.key.step);
        let rest = Unit::of_step(entry, occurrence, step, policy, &self.run_times, now.boot)?;
        Some(Unit {
            is_guaranteed: unit.is_guaranteed,
            permits: unit.permits.clone(),
            ..rest
        })
    }
}
