use super::{drain::Drain, host::Host};
use crate::{Resources, StepKey, scheduler::JobScheduler, scheduler::Now};
use lycheeyard_protocol::{ServiceId, WorkerId};
use std::collections::BTreeMap;

/// The workers that take runs in this round.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    rows: Vec<Host>,
    numbers: BTreeMap<WorkerId, usize>,
}

impl Hosts {
    pub fn of(scheduler: &JobScheduler, now: Now) -> Self {
        let mut claimed: BTreeMap<&WorkerId, Resources> = BTreeMap::new();
        for claim in scheduler.reservations.values() {
            for (_, worker) in &claim.tasks {
                let sum = claimed.entry(worker).or_default();
                *sum = sum.saturating_add(&claim.demand);
            }
        }
        let mut rows = Vec::new();
        let mut numbers = BTreeMap::new();
        for entry in scheduler.workers.values() {
            let Some(info) = entry.info.as_ref().filter(|_| entry.takes_runs(now.boot)) else {
                continue;
            };
            let claimed = claimed.get(entry.id()).copied().unwrap_or_default();
            numbers.insert(entry.id().clone(), rows.len());
            rows.push(Host::new(entry, info, &entry.used.saturating_add(&claimed)));
        }
        Self { rows, numbers }
    }

    pub fn rows(&self) -> &[Host] {
        &self.rows
    }

    pub fn number(&self, id: &WorkerId) -> Option<usize> {
        self.numbers.get(id).copied()
    }

    /// The accelerators of a service's hosts that are free, and all of them.
    pub fn accelerators(&self, service: &ServiceId) -> (u32, u32) {
        let rows = self.rows.iter().filter(|host| host.service == *service);
        rows.fold((0, 0), |(free, all), host| {
            (
                free + host.free().accelerators,
                all + host.capacity.accelerators,
            )
        })
    }

    pub fn take(&mut self, number: usize, demand: &Resources) {
        let host = &mut self.rows[number];
        host.held = host.held.saturating_add(demand);
    }

    /// Keeps hosts for a unit that is expected to fit there soon.
    pub fn keep(&mut self, drain: &Drain, demand: &Resources) {
        for (&number, &slots) in &drain.slots {
            let kept = (0..slots).map(|_| (*demand, drain.starts_at));
            self.rows[number].kept.extend(kept);
        }
    }

    /// Gives the resources of a claim back to the workers that it names.
    pub fn release(&mut self, scheduler: &JobScheduler, key: &StepKey) {
        let Some(claim) = scheduler.reservations.get(key) else {
            return;
        };
        for (_, worker) in &claim.tasks {
            let Some(number) = self.number(worker) else {
                continue;
            };
            let host = &mut self.rows[number];
            host.held = host.held.saturating_sub(&claim.demand);
        }
    }
}
