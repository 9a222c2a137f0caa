use super::{drain::Drain, host::Host, lasting_room::mark_lasting_room};
use crate::{Resources, StepKey, WorkerKey, scheduler::JobScheduler, scheduler::Now};
use lycheeyard_protocol::{Percent, ServiceId, WorkerId};
use std::collections::BTreeMap;

/// The workers that accept runs in this round, addressed by index.
#[derive(Clone, Debug)]
pub(super) struct Hosts {
    hosts: Vec<Host>,
    indexes: BTreeMap<WorkerId, usize>,
}

impl Hosts {
    pub fn new(scheduler: &JobScheduler, now: Now) -> Self {
        let mut reserved: BTreeMap<&WorkerId, Resources> = BTreeMap::new();
        for reservation in scheduler.reservations.values() {
            for (_, worker) in &reservation.tasks {
                let sum = reserved.entry(worker).or_default();
                *sum = sum.saturating_add(&reservation.demand);
            }
        }
        let mut hosts = Vec::new();
        let mut indexes = BTreeMap::new();
        for entry in scheduler.workers.values() {
            let Some(info) = entry.info.as_ref().filter(|_| entry.accepts_runs(now.boot)) else {
                continue;
            };
            let reserved = reserved.get(entry.id()).copied().unwrap_or_default();
            indexes.insert(entry.id().clone(), hosts.len());
            hosts.push(Host::new(entry, info, &reserved));
        }
        Self { hosts, indexes }
    }

    /// Marks the hosts that long-running tasks are to use; without it all are.
    pub fn mark_lasting_room(&mut self, scheduler: &JobScheduler) {
        mark_lasting_room(scheduler, &mut self.hosts);
    }

    pub fn as_slice(&self) -> &[Host] {
        &self.hosts
    }

    pub fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.indexes.get(id).copied()
    }

    /// Returns the index of an incarnation of a worker.
    pub fn index_of_key(&self, key: &WorkerKey) -> Option<usize> {
        let index = self.index_of(&key.id)?;
        (self.hosts[index].key == *key).then_some(index)
    }

    /// Returns the free and the total number of accelerators on the hosts of a service.
    pub fn accelerators(&self, service: &ServiceId) -> (u64, u64) {
        let hosts = self.hosts.iter().filter(|host| host.service == *service);
        hosts.fold((0, 0), |(free, all), host| {
            (
                free + u64::from(host.free().accelerators),
                all + u64::from(host.capacity.accelerators),
            )
        })
    }

    /// Returns how much of the capacity of the hosts of a service runs use, with accelerators counted as cores.
    pub fn in_use(&self, service: &ServiceId) -> Percent {
        let hosts = self.hosts.iter().filter(|host| host.service == *service);
        let (used, all) = hosts.fold((0_u64, 0_u64), |(used, all), host| {
            (
                used.saturating_add(host.used.weighted_cpu_milli()),
                all.saturating_add(host.capacity.weighted_cpu_milli()),
            )
        });
        let percent = used.saturating_mul(100) / all.max(1);
        Percent(u8::try_from(percent).unwrap_or(u8::MAX))
    }

    pub fn allocate(&mut self, index: usize, demand: &Resources) {
        let host = &mut self.hosts[index];
        host.allocated = host.allocated.saturating_add(demand);
    }

    /// Drains hosts for a step that is expected to start there at `drain.starts_at`.
    pub fn add_drain(&mut self, drain: &Drain, demand: &Resources) {
        for (&index, &slots) in &drain.slots {
            let entries = (0..slots).map(|_| (*demand, drain.starts_at));
            self.hosts[index].drained_demand.extend(entries);
        }
    }

    /// Frees the resources of all reservations.
    pub fn release_all_reservations(&mut self) {
        for host in &mut self.hosts {
            host.allocated = host.used;
        }
    }

    /// Frees the resources of a step's reservation.
    pub fn release_reservation(&mut self, scheduler: &JobScheduler, key: &StepKey) {
        let Some(reservation) = scheduler.reservations.get(key) else {
            return;
        };
        for (_, worker) in &reservation.tasks {
            let Some(index) = self.index_of(worker) else {
                continue;
            };
            let host = &mut self.hosts[index];
            host.allocated = host.allocated.saturating_sub(&reservation.demand);
        }
    }
}
